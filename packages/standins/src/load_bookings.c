#include "load_bookings.h"

#include "shell.h"

typedef struct _lb_booking {
    uint32_t results;
    uint32_t not_run; /* refusals that state "not_run" */
    uint32_t runs;    /* in the histories read */
    char *text;       /* of the first successful answer */
    bool differing;
} _lb_booking;

struct lb_bookings {
    GHashTable *keys; /* key -> _lb_booking */
    uint64_t results;
    bool has_history;
};

/* -- private -------------------------------------------------------------- */

static void
_lb_free(void *data)
{
    _lb_booking *booking = data;
    g_free(booking->text);
    g_free(booking);
}

static void
_lb_count_run(lb_bookings *bookings, JsonObject *event)
{
    const char *name = sh_query_text(event, "event", "");
    const char *key = sh_query_text(event, "key", NULL);
    if (!key || !g_str_equal(name, "run")) {
        return;
    }
    _lb_booking *booking = g_hash_table_lookup(bookings->keys, key);
    if (booking) {
        booking->runs++;
    }
}

static JsonArray *
_lb_query_events(JsonNode *root)
{
    JsonObject *object = root && JSON_NODE_HOLDS_OBJECT(root)
                             ? json_node_get_object(root)
                             : NULL;
    JsonNode *node = object ? json_object_get_member(object, "events") : NULL;
    return node && JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node)
                                               : NULL;
}

static void
_lb_add_to_counts(const _lb_booking *booking, lb_counts *counts)
{
    bool all_not_run =
        booking->results && booking->results == booking->not_run;
    counts->doubled += booking->runs > 1;
    counts->lost += booking->text && !booking->runs;
    counts->false_not_run += all_not_run && booking->runs;
}

/* -- public --------------------------------------------------------------- */

lb_bookings *
lb_create(void)
{
    lb_bookings *bookings = g_new0(lb_bookings, 1);
    bookings->keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, _lb_free);
    return bookings;
}

void
lb_destroy(lb_bookings *bookings)
{
    g_hash_table_unref(bookings->keys);
    g_free(bookings);
}

void
lb_add_key(lb_bookings *bookings, const char *key)
{
    g_hash_table_insert(bookings->keys, g_strdup(key), g_new0(_lb_booking, 1));
}

void
lb_add_result(lb_bookings *bookings, const char *key, const lc_result *result)
{
    _lb_booking *booking = g_hash_table_lookup(bookings->keys, key);
    g_assert(booking);
    bookings->results++;
    booking->results++;
    if (result->outcome == LC_REFUSED) {
        booking->not_run += g_str_equal(result->ran, "not_run");
    }
    if (result->outcome != LC_OUTCOME_DEFAULT) {
        return;
    }
    if (!booking->text) {
        booking->text = g_strdup(result->text);
    }
    else if (!g_str_equal(booking->text, result->text)) {
        booking->differing = true;
    }
}

bool
lb_read_history(lb_bookings *bookings, const char *url)
{
    g_autofree char *page = g_strconcat(url, "/control/history", NULL);
    g_autoptr(SoupSession) session = soup_session_new();
    g_autoptr(SoupMessage) message = soup_message_new("GET", page);
    g_autoptr(GBytes) body =
        message ? soup_session_send_and_read(session, message, NULL, NULL)
                : NULL;
    gsize size = 0;
    const char *data = body ? g_bytes_get_data(body, &size) : NULL;
    g_autofree char *text = g_strndup(data ? data : "", size);
    g_autoptr(JsonNode) root = json_from_string(text, NULL);
    JsonArray *events = _lb_query_events(root);
    if (!events) {
        return false;
    }
    for (guint i = 0; i < json_array_get_length(events); i++) {
        _lb_count_run(bookings, json_array_get_object_element(events, i));
    }
    bookings->has_history = true;
    return true;
}

lb_counts
lb_query_counts(const lb_bookings *bookings)
{
    lb_counts counts = {.keys = g_hash_table_size(bookings->keys),
                        .results = bookings->results};
    GHashTableIter iter;
    void *item;
    g_hash_table_iter_init(&iter, bookings->keys);
    while (g_hash_table_iter_next(&iter, NULL, &item)) {
        const _lb_booking *booking = item;
        counts.differing += booking->differing;
        if (bookings->has_history) {
            _lb_add_to_counts(booking, &counts);
        }
    }
    return counts;
}
