#include "ownership_internal.h"

/* A daemon that could own a server. */
typedef struct _ow_daemon {
    const char *instance;
    uint64_t incarnation;
    uint32_t count; /* servers assigned to it */
} _ow_daemon;

/* -- private: candidates -------------------------------------------------- */

/* Collects the zones that have another daemon which is not leaving or dead. */
static void
_ow_update_daemon_zones(ow_machine *ow)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_remove_all(ow->daemon_zones);
    g_hash_table_iter_init(&iter, ow->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const _ow_peer *peer = value;
        bool present = peer->state == CO_PEER_STARTING ||
                       peer->state == CO_PEER_READY ||
                       peer->state == CO_PEER_SUSPECT;
        if (present && !peer->ended && !peer->instance_gone) {
            g_hash_table_add(ow->daemon_zones, g_strdup(peer->zone));
        }
    }
}

bool
_ow_is_responsible(const ow_machine *ow, const _ow_server *server)
{
    return g_str_equal(server->zone, ow->zone) ||
           !g_hash_table_contains(ow->daemon_zones, server->zone);
}

/* Returns the daemons that could own servers of a zone: its ready daemons, or
   those of all zones if it has none, and also if this daemon is the last of
   its zone and is stopping. */
static GArray *
_ow_candidates(const ow_machine *ow, const char *zone)
{
    bool uncovered = !g_str_equal(zone, ow->zone) &&
                     !g_hash_table_contains(ow->daemon_zones, zone);
    bool last_stopping = g_str_equal(zone, ow->zone) && ow->stopping &&
                         !g_hash_table_contains(ow->daemon_zones, zone);
    GArray *daemons = g_array_new(FALSE, TRUE, sizeof(_ow_daemon));
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, ow->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const _ow_peer *peer = value;
        bool fits =
            uncovered || last_stopping || g_str_equal(peer->zone, zone);
        if (fits && peer->state == CO_PEER_READY && !peer->ended &&
            !peer->instance_gone && peer->incarnation != 0) {
            _ow_daemon daemon = {.instance = peer->instance,
                                 .incarnation = peer->incarnation};
            g_array_append_val(daemons, daemon);
        }
    }
    if (!ow->stopping && (uncovered || g_str_equal(zone, ow->zone))) {
        _ow_daemon self = {.instance = ow->instance,
                           .incarnation = ow->incarnation};
        g_array_append_val(daemons, self);
    }
    return daemons;
}

/* -- private: rendezvous hashing with bounded load ------------------------ */

/* Returns the daemon with the highest score among those with fewer than
   max_count servers. */
static _ow_daemon *
_ow_best_candidate(const GArray *daemons, const char *server,
                   uint32_t max_count)
{
    _ow_daemon *best = NULL;
    uint64_t best_score = 0;
    for (guint i = 0; i < daemons->len; i++) {
        _ow_daemon *daemon = &g_array_index(daemons, _ow_daemon, i);
        uint64_t score = _co_hash(server, daemon->instance, 0);
        if (daemon->count < max_count && (!best || score > best_score)) {
            best = daemon;
            best_score = score;
        }
    }
    return best;
}

static int
_ow_compare_names(const void *a, const void *b)
{
    const _ow_server *left = *(_ow_server *const *)a;
    const _ow_server *right = *(_ow_server *const *)b;
    return g_strcmp0(left->name, right->name);
}

/* Assigns each server of a zone to a daemon, at most the average rounded up to
   each, so that few servers move when a daemon comes or goes. */
static void
_ow_assign_zone(ow_machine *ow, const char *zone, GPtrArray *servers)
{
    g_autoptr(GArray) daemons = _ow_candidates(ow, zone);
    if (daemons->len == 0) {
        return;
    }
    uint32_t max_count = (servers->len + daemons->len - 1) / daemons->len;
    g_ptr_array_sort(servers, _ow_compare_names);
    for (guint i = 0; i < servers->len; i++) {
        _ow_server *server = servers->pdata[i];
        _ow_daemon *daemon =
            _ow_best_candidate(daemons, server->name, max_count);
        daemon->count++;
        server->preferred_owner = daemon->instance;
        server->preferred_incarnation = daemon->incarnation;
    }
}

void
_ow_assign_owners(ow_machine *ow)
{
    if (!ow->assignment_stale) {
        return;
    }
    ow->assignment_stale = false;
    _ow_update_daemon_zones(ow);
    g_autoptr(GHashTable) zones = g_hash_table_new_full(
        g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_ptr_array_unref);
    GHashTableIter iter;
    void *key;
    void *value;
    g_hash_table_iter_init(&iter, ow->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _ow_server *server = value;
        server->preferred_owner = NULL;
        if (!_ow_is_responsible(ow, server) &&
            server->state == _OW_SERVER_OTHER) {
            continue;
        }
        GPtrArray *servers = g_hash_table_lookup(zones, server->zone);
        if (!servers) {
            servers = g_ptr_array_new();
            g_hash_table_insert(zones, server->zone, servers);
        }
        g_ptr_array_add(servers, server);
    }
    g_hash_table_iter_init(&iter, zones);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        _ow_assign_zone(ow, key, value);
    }
}

uint32_t
_ow_rank(const ow_machine *ow, const char *name)
{
    uint64_t own = _co_hash(name, ow->instance, 0);
    uint32_t rank = 0;
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, ow->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const _ow_peer *peer = value;
        if (peer->state == CO_PEER_READY && !peer->ended &&
            g_str_equal(peer->zone, ow->zone)) {
            rank += _co_hash(name, peer->instance, 0) > own;
        }
    }
    return rank;
}
