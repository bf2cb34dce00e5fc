/* The plain services that calls go to, and the choice among them. */
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
_cs_allowed(const _cs_call *call, const _cs_server *server)
{
    if (server->leaving) {
        return false;
    }
    return !call->servers[0] ||
           g_strv_contains((const char *const *)call->servers, server->name);
}

/* Less is better: resting servers last, then other zones. */
static uint32_t
_cs_rank(const cs_calls *calls, const _cs_server *server)
{
    uint32_t rank = strcmp(server->zone, calls->zone) == 0 ? 0 : 1;
    if (server->rests_until_us > _cs_now_us(calls)) {
        rank += 2;
    }
    return rank;
}

typedef struct _cs_choice {
    _cs_server *server;
    uint32_t rank;
    uint32_t turn;
} _cs_choice;

static int
_cs_compare(const void *a, const void *b)
{
    const _cs_choice *left = a;
    const _cs_choice *right = b;
    if (left->rank != right->rank) {
        return left->rank < right->rank ? -1 : 1;
    }
    return left->turn < right->turn ? -1 : left->turn > right->turn;
}

/* The call->skip-th best server; NULL when there are not so many. */
_cs_server *
_cs_choose(const _cs_call *call)
{
    cs_calls *calls = call->calls;
    g_autoptr(GArray) choices = g_array_new(FALSE, FALSE, sizeof(_cs_choice));
    g_autoptr(GList) names = g_hash_table_get_keys(calls->servers);
    names = g_list_sort(names, (GCompareFunc)strcmp);
    uint32_t count = g_hash_table_size(calls->servers);
    uint32_t position = 0;
    for (GList *item = names; item; item = item->next, position++) {
        _cs_server *server = g_hash_table_lookup(calls->servers, item->data);
        if (_cs_allowed(call, server)) {
            _cs_choice choice = {
                .server = server,
                .rank = _cs_rank(calls, server),
                .turn = (uint32_t)((position + call->id) % count)};
            g_array_append_val(choices, choice);
        }
    }
    g_array_sort(choices, _cs_compare);
    if (call->skip >= choices->len) {
        return NULL;
    }
    return g_array_index(choices, _cs_choice, call->skip).server;
}

/* -- from the configuration -- */

static void
_cs_add_server(cs_calls *calls, const dc_server *desc)
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
_cs_sends_to(void *key, void *value, void *name)
{
    (void)key;
    const _cs_call *call = value;
    return call->sending && strcmp(call->server, name) == 0;
}

/* Servers that are no longer configured, or elsewhere now. One with a call
   open stays, without new calls, until a later configuration. */
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
        if (!g_hash_table_find(calls->calls, _cs_sends_to, server->name)) {
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
            _cs_add_server(calls, desc);
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
