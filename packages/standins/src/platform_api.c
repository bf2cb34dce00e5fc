#include "platform_api.h"

#include "instance_list.h"
#include "lacewing/store.h"
#include "table_api.h"

struct pa_platform {
    sh_shell *shell;
    ta_api *table;
    GHashTable *objects; /* name -> GBytes */
    il_list *instances;
    wt_store *weights;
    uint64_t fetch_count; /* weight fetches, refused ones included */
};

/* A weight fetch that is answered when its simulated duration is over. */
typedef struct _pa_fetch {
    pa_platform *platform;
    SoupServerMessage *message;
} _pa_fetch;

#define _PA_OBJECTS_PATH "/objects/"

/* -- private: weights ----------------------------------------------------- */

static gboolean
_pa_on_fetch_end(void *data)
{
    g_autofree _pa_fetch *fetch = data;
    wt_end_fetch(fetch->platform->weights);
    sh_answer(fetch->platform->shell, fetch->message, 200, "{}");
    g_object_unref(fetch->message);
    return G_SOURCE_REMOVE;
}

static void
_pa_record_fetch(pa_platform *platform, JsonObject *body, wt_result result)
{
    static const char *const result_names[WT_RESULT_NUM] = {
        [WT_RESULT_DEFAULT] = "begun",
        [WT_RATE_LIMITED] = "over_rate",
        [WT_FAILED] = "failed",
    };
    hs_history *history = sh_query_history(platform->shell);
    hs_begin(history, "fetch");
    hs_add_text(history, "adapter", sh_query_text(body, "adapter", ""));
    hs_add_text(history, "version", sh_query_text(body, "version", ""));
    hs_add_text(history, "server", sh_query_text(body, "server", ""));
    hs_add_text(history, "result", result_names[result]);
    hs_add_int(history, "in_transit", wt_query_in_transit(platform->weights));
    hs_end(history);
}

static void
_pa_fetch_weights(pa_platform *platform, SoupServerMessage *message)
{
    g_autoptr(JsonNode) root = sh_query_body(message);
    if (!root) {
        sh_answer(platform->shell, message, 400, "{}");
        return;
    }
    uint32_t duration_ms = 0;
    wt_result result = wt_begin_fetch(
        platform->weights, (uint64_t)g_get_monotonic_time(), &duration_ms);
    _pa_record_fetch(platform, json_node_get_object(root), result);
    platform->fetch_count++;
    if (result != WT_RESULT_DEFAULT) {
        uint32_t status = result == WT_RATE_LIMITED ? 429 : 503;
        sh_answer(platform->shell, message, status, "{}");
        return;
    }
    _pa_fetch *fetch = g_new0(_pa_fetch, 1);
    fetch->platform = platform;
    fetch->message = g_object_ref(message);
    g_timeout_add(duration_ms, _pa_on_fetch_end, fetch);
}

/* -- private: objects ----------------------------------------------------- */

static void
_pa_put_object(pa_platform *platform, SoupServerMessage *message,
               const char *name)
{
    SoupMessageBody *body = soup_server_message_get_request_body(message);
    GBytes *value = soup_message_body_flatten(body);
    g_hash_table_replace(platform->objects, g_strdup(name), value);
    sh_answer(platform->shell, message, 200, "{}");
}

static void
_pa_get_object(pa_platform *platform, SoupServerMessage *message,
               const char *name)
{
    GBytes *value = g_hash_table_lookup(platform->objects, name);
    if (!value) {
        sh_answer(platform->shell, message, 404, "{}");
        return;
    }
    gsize size = 0;
    const char *data = g_bytes_get_data(value, &size);
    g_autofree char *text = g_strndup(data ? data : "", size);
    sh_answer(platform->shell, message, 200, text);
}

/* -- private: calls ------------------------------------------------------- */

static void
_pa_on_call(SoupServerMessage *message, const char *path, GHashTable *query,
            void *user_data)
{
    pa_platform *platform = user_data;
    const char *method = soup_server_message_get_method(message);
    if (g_str_has_prefix(path, "/table/")) {
        ta_handle(platform->table, message, path, query);
    }
    else if (g_str_equal(path, "/instances")) {
        g_autofree char *page = il_query_json(platform->instances);
        sh_answer(platform->shell, message, 200, page);
    }
    else if (g_str_equal(path, "/weights/fetch")) {
        _pa_fetch_weights(platform, message);
    }
    else if (g_str_has_prefix(path, _PA_OBJECTS_PATH)) {
        const char *name = path + strlen(_PA_OBJECTS_PATH);
        if (g_str_equal(method, "PUT")) {
            _pa_put_object(platform, message, name);
        }
        else {
            _pa_get_object(platform, message, name);
        }
    }
    else {
        sh_answer(platform->shell, message, 404, "{}");
    }
}

static bool
_pa_on_order(const char *order, JsonObject *body, void *user_data)
{
    pa_platform *platform = user_data;
    if (g_str_equal(order, "fail_loads")) {
        wt_fail_next(platform->weights,
                     (uint32_t)sh_query_int(body, "count", 1));
        return true;
    }
    il_change change = {
        .name = sh_query_text(body, "name", NULL),
        .zone = sh_query_text(body, "zone", NULL),
        .address = sh_query_text(body, "address", NULL),
        .kind = sh_query_text(body, "kind", NULL),
        .leaving = g_str_equal(order, "leaving"),
        .gone = g_str_equal(order, "gone"),
        .lag_ms = (uint32_t)sh_query_int(body, "lag_ms", 0),
    };
    bool known_order =
        change.leaving || change.gone || g_str_equal(order, "instance");
    if (!known_order || !change.name) {
        return false;
    }
    il_set(platform->instances, &change);
    return true;
}

static const char *
_pa_on_zone_query(const char *name, void *user_data)
{
    return il_query_zone(((pa_platform *)user_data)->instances, name);
}

static char *
_pa_on_stats(void *user_data)
{
    pa_platform *platform = user_data;
    return g_strdup_printf(
        "{\"commits\":%" G_GUINT64_FORMAT ",\"reads\":%" G_GUINT64_FORMAT
        ",\"fetches\":%" G_GUINT64_FORMAT "}",
        ta_query_commits(platform->table), ta_query_reads(platform->table),
        platform->fetch_count);
}

/* text: "NAME,ZONE,ADDRESS,KIND" */
static bool
_pa_add_instance(pa_platform *platform, const char *text)
{
    g_auto(GStrv) parts = g_strsplit(text, ",", -1);
    if (g_strv_length(parts) != 4) {
        return false;
    }
    il_set(platform->instances, &(il_change){.name = parts[0],
                                             .zone = parts[1],
                                             .address = parts[2],
                                             .kind = parts[3]});
    return true;
}

/* -- public --------------------------------------------------------------- */

pa_platform *
pa_create(const pa_desc *desc, er_status *status)
{
    pa_platform *platform = g_new0(pa_platform, 1);
    platform->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                              (GDestroyNotify)g_bytes_unref);
    platform->instances = il_create();
    platform->weights = wt_create(&desc->weights);
    sh_desc shell = desc->shell;
    shell.handle = _pa_on_call;
    shell.order = _pa_on_order;
    shell.zone = _pa_on_zone_query;
    shell.stats = _pa_on_stats;
    shell.user_data = platform;
    platform->shell = sh_create(&shell, status);
    if (!platform->shell) {
        pa_destroy(platform);
        return NULL;
    }
    platform->table = ta_create(platform->shell);
    const char *const *entry = desc->instances;
    for (; entry && *entry; entry++) {
        if (!_pa_add_instance(platform, *entry)) {
            er_set(status, ER_BAD_REQUEST,
                   "instance \"%s\" is not of the form "
                   "NAME,ZONE,ADDRESS,KIND",
                   *entry);
            pa_destroy(platform);
            return NULL;
        }
    }
    return platform;
}

void
pa_destroy(pa_platform *platform)
{
    if (!platform) {
        return;
    }
    ta_destroy(platform->table);
    sh_destroy(platform->shell);
    wt_destroy(platform->weights);
    il_destroy(platform->instances);
    g_hash_table_unref(platform->objects);
    g_free(platform);
}

void
pa_run(pa_platform *platform)
{
    sh_run(platform->shell);
}
