/* The plain services as configured, and the choice of one for a call. */
#include "calls_private.h"

#include <string.h>

void
_cs_server_free(void *data)
{
    _cs_server *server = data;
    be_destroy(server->backend);
    g_free(server->name);
    g_free(server->zone);
    g_free(server);
}

/* -- private: choice of a server ------------------------------------------ */

static bool
_cs_is_eligible(const _cs_call *call, const _cs_server *server)
{
    if (server->leaving) {
        return false;
    }
    return !call->servers[0] ||
           g_strv_contains((const char *const *)call->servers, server->name);
}

/* Returns the rank, lower is better: this zone, other zones, this zone in
   cooldown, other zones in cooldown. */
static uint32_t
_cs_server_rank(const cs_calls *calls, const _cs_server *server)
{
    uint32_t rank = strcmp(server->zone, calls->zone) == 0 ? 0 : 1;
    if (server->cooldown_until_us > _cs_now_us(calls)) {
        rank += 2;
    }
    return rank;
}

typedef struct _cs_candidate {
    _cs_server *server;
    uint32_t rank;
    uint32_t tie_break; /* spreads calls over servers of equal rank */
} _cs_candidate;

static int
_cs_compare_candidates(const void *a, const void *b)
{
    const _cs_candidate *left = a;
    const _cs_candidate *right = b;
    if (left->rank != right->rank) {
        return left->rank < right->rank ? -1 : 1;
    }
    return left->tie_break < right->tie_break
               ? -1
               : left->tie_break > right->tie_break;
}

_cs_server *
_cs_choose_server(const _cs_call *call)
{
    cs_calls *calls = call->calls;
    g_autoptr(GArray) candidates =
        g_array_new(FALSE, FALSE, sizeof(_cs_candidate));
    g_autoptr(GList) names = g_hash_table_get_keys(calls->servers);
    names = g_list_sort(names, (GCompareFunc)strcmp);
    uint32_t count = g_hash_table_size(calls->servers);
    uint32_t position = 0;
    for (GList *item = names; item; item = item->next, position++) {
        _cs_server *server = g_hash_table_lookup(calls->servers, item->data);
        if (_cs_is_eligible(call, server)) {
            _cs_candidate candidate = {
                .server = server,
                .rank = _cs_server_rank(calls, server),
                .tie_break = (uint32_t)((position + call->id) % count)};
            g_array_append_val(candidates, candidate);
        }
    }
    g_array_sort(candidates, _cs_compare_candidates);
    if (call->next_candidate >= candidates->len) {
        return NULL;
    }
    return g_array_index(candidates, _cs_candidate, call->next_candidate)
        .server;
}

/* -- private: configuration ----------------------------------------------- */

/* Adds the server or updates its state. One that is still kept at its former
   address is left as it is until a later configuration. */
static void
_cs_update_server(cs_calls *calls, const dc_server *desc)
{
    _cs_server *server = g_hash_table_lookup(calls->servers, desc->name);
    if (server &&
        strcmp(be_query_address(server->backend), desc->address) != 0) {
        return;
    }
    if (!server) {
        server = g_new0(_cs_server, 1);
        server->name = g_strdup(desc->name);
        server->zone = g_strdup(desc->zone);
        server->backend = be_create(
            &(be_desc){.address = desc->address, .timers = calls->timers});
        be_set_fence(server->backend, 0, calls->instance);
        g_hash_table_insert(calls->servers, server->name, server);
    }
    server->leaving = desc->state == DC_SERVER_DRAIN ||
                      g_hash_table_contains(calls->leaving, desc->name);
}

static gboolean
_cs_has_attempt_at(void *key, void *value, void *name)
{
    (void)key;
    const _cs_call *call = value;
    return call->in_flight && strcmp(call->server, name) == 0;
}

/* Removes servers that are no longer configured or have another address now.
   One with a request in flight stays, without new calls, until a later
   configuration. */
static void
_cs_remove_servers(cs_calls *calls, const dc_config *config)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, calls->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _cs_server *server = value;
        const dc_server *desc = dc_query_server(config, server->name);
        if (desc && desc->kind == DC_SERVER_SERVICE &&
            strcmp(be_query_address(server->backend), desc->address) == 0) {
            continue;
        }
        server->leaving = true;
        if (!g_hash_table_find(calls->calls, _cs_has_attempt_at,
                               server->name)) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

void
cs_set_config(cs_calls *calls, const dc_config *config)
{
    _cs_remove_servers(calls, config);
    for (uint32_t i = 0; i < dc_query_count(config, DC_SERVER); i++) {
        const dc_server *desc = dc_query_server_at(config, i);
        if (desc->kind == DC_SERVER_SERVICE) {
            _cs_update_server(calls, desc);
        }
    }
}

void
cs_set_leaving(cs_calls *calls, const char *name)
{
    g_hash_table_add(calls->leaving, g_strdup(name));
    _cs_server *server = g_hash_table_lookup(calls->servers, name);
    if (server) {
        server->leaving = true;
    }
}
