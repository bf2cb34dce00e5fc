#include "shop.h"

#include "lacewing/hash.h"
#include "lacewing/standin_text.h"
#include <json-glib/json-glib.h>
#include <string.h>

#define _SP_READY_TIMEOUT_MS 15000

char *
sp_config_text(void)
{
    g_autofree char *shop = hs_sha256(SHOP_KEY);
    g_autofree char *other = hs_sha256(OTHER_KEY);
    GString *text = g_string_new("");
    g_string_append_printf(
        text,
        "[limits]\nloads_per_s = 60\nloads_at_once = 6\n"
        "loads_in_transit = 16\nload_ms = 250\nentry_instances = 3\n"
        "body_bytes_max = 65536\n"
        "[model base]\n[team shop]\nkeys = caller:%s\n"
        "[team other]\nkeys = caller:%s\n"
        "[operation quote]\nkind = draft\nidempotent = true\n"
        "deadline_ms = 15000\nmax_tokens = 512\n"
        "[operation stock]\nkind = call\nidempotent = true\n"
        "deadline_ms = 5000\n"
        "[operation dispatch]\nkind = call\nidempotent = false\n"
        "deadline_ms = 5000\n",
        shop, other);
    for (uint32_t i = 0; i < SHOP_ADAPTERS; i++) {
        g_string_append_printf(text,
                               "[adapter shop-%u]\nmodel = base\n"
                               "team = shop\nversions = v1;v2\n"
                               "shares = 90;10\n",
                               i);
    }
    return g_string_free(text, FALSE);
}

void
sp_add_members(hn_fleet *fleet)
{
    static const char *const engines[] = {"e1", "e2", "e3", "e4"};
    for (uint32_t i = 0; i < G_N_ELEMENTS(engines); i++) {
        hn_add_server(fleet, &(hn_server_desc){.name = engines[i],
                                               .zone = i < 2 ? "z1" : "z2",
                                               .checks_fence = i % 2 == 0});
    }
    hn_add_server(
        fleet, &(hn_server_desc){.name = "s1", .zone = "z1", .service = true});
    hn_add_server(
        fleet, &(hn_server_desc){.name = "s2", .zone = "z2", .service = true});
    hn_add_daemon(fleet, &(hn_daemon_desc){.name = "a", .zone = "z1"});
    hn_add_daemon(fleet, &(hn_daemon_desc){.name = "b", .zone = "z1"});
    hn_add_daemon(fleet, &(hn_daemon_desc){.name = "c", .zone = "z2"});
}

hn_fleet *
sp_start(bool tls)
{
    hn_fleet *fleet = hn_create(&(hn_desc){.tls = tls});
    g_autofree char *config = sp_config_text();
    sp_add_members(fleet);
    bool started =
        hn_start(fleet, config) && hn_wait_ready(fleet, _SP_READY_TIMEOUT_MS);
    if (!started) {
        hn_destroy(fleet);
        g_error("the sample deployment did not start or become ready");
    }
    return fleet;
}

void
sp_complete(hn_fleet *fleet, const char *daemon, const char *model,
            const char *prompt, uint32_t tokens, ht_response *response)
{
    g_autofree char *url = g_strdup_printf(
        "%s/v1/completions", hn_query_url(hn_find(fleet, daemon)));
    g_autofree char *body = g_strdup_printf(
        "{\"model\":\"%s\",\"prompt\":\"%s\",\"max_tokens\":%u}", model,
        prompt, tokens);
    ht_send_request(&(ht_desc){.url = url,
                               .body = body,
                               .key = SHOP_KEY,
                               .ca = hn_query_ca(fleet)},
                    response);
}

bool
sp_is_expected(const ht_response *response, const char *model,
               const char *prompt, uint32_t tokens)
{
    g_autofree char *text = ht_query_text(response);
    g_autofree char *expected = tx_query_answer(model, prompt, tokens);
    return text && strcmp(text, expected) == 0;
}

void
sp_book(hn_fleet *fleet, const char *daemon, const char *key, const char *body,
        ht_response *response)
{
    g_autofree char *url = g_strdup_printf(
        "%s/v1/services/dispatch", hn_query_url(hn_find(fleet, daemon)));
    ht_send_request(
        &(ht_desc){
            .url = url, .body = body, .key = SHOP_KEY, .idempotency_key = key},
        response);
}

/* Adds the runs in the history of one service to runs, which maps an
   idempotency key to the number of its runs. */
static void
_sp_add_runs(hn_member *service, GHashTable *runs)
{
    g_autofree char *text = NULL;
    g_file_get_contents(hn_query_history(service), &text, NULL, NULL);
    g_auto(GStrv) lines = g_strsplit(text ? text : "", "\n", -1);
    for (char **line = lines; *line; line++) {
        g_autoptr(JsonParser) parser = json_parser_new();
        if (!json_parser_load_from_data(parser, *line, -1, NULL) ||
            !json_parser_get_root(parser)) {
            continue;
        }
        JsonObject *run = json_node_get_object(json_parser_get_root(parser));
        const char *key =
            json_object_get_string_member_with_default(run, "key", NULL);
        if (key && *key) {
            guint count = GPOINTER_TO_UINT(g_hash_table_lookup(runs, key)) + 1;
            g_hash_table_insert(runs, g_strdup(key), GUINT_TO_POINTER(count));
        }
    }
}

static GHashTable *
_sp_count_runs(hn_fleet *fleet)
{
    GHashTable *runs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    _sp_add_runs(hn_find(fleet, "s1"), runs);
    _sp_add_runs(hn_find(fleet, "s2"), runs);
    return runs;
}

uint32_t
sp_query_runs(hn_fleet *fleet, const char *key)
{
    g_autoptr(GHashTable) runs = _sp_count_runs(fleet);
    return GPOINTER_TO_UINT(g_hash_table_lookup(runs, key));
}

uint32_t
sp_query_duplicate_runs(hn_fleet *fleet)
{
    g_autoptr(GHashTable) runs = _sp_count_runs(fleet);
    uint32_t duplicates = 0;
    GHashTableIter iter;
    void *count;
    g_hash_table_iter_init(&iter, runs);
    while (g_hash_table_iter_next(&iter, NULL, &count)) {
        duplicates += GPOINTER_TO_UINT(count) - 1;
    }
    return duplicates;
}
