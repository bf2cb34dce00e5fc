#include "lease_private.h"

#include <string.h>

/* A server that the instance meant for it does not claim is anybody's. */
#define _LE_LEFT_MS 4000
/* From the first registration to the first claim, so that instances that
   start together share the servers. */
#define _LE_SETTLE_MS 1000

/* Of many instances so many hold the servers of a zone that each has about
   three: as in the deployments that are served now. */
#define _LE_SERVERS_EACH 3

/* -- private: who should have what ---------------------------------------- */

static gint
_le_by_name(gconstpointer a, gconstpointer b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

uint64_t
le_takeover_us(const le_lease *lease, const le_peer_row *peer)
{
    return peer->valid_us + lease->quiet_us;
}

static bool
_le_peer_alive(const le_lease *lease, const le_peer_row *peer, uint64_t now_us)
{
    if (le_is_self(lease, peer->instance)) {
        return lease->registered && !lease->leaving;
    }
    return !peer->public.leaving &&
           now_us < peer->seen_us + le_takeover_us(lease, peer);
}

/* Names of the live instances of a zone, or of all; sorted. */
static GPtrArray *
_le_live_names(const le_lease *lease, const char *zone, uint64_t now_us)
{
    GPtrArray *names = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const le_peer_row *peer = value;
        if (_le_peer_alive(lease, peer, now_us) &&
            (!zone || strcmp(zone, peer->zone) == 0)) {
            g_ptr_array_add(names, peer->instance);
        }
    }
    g_ptr_array_sort(names, _le_by_name);
    return names;
}

/* Place of a server among those of its zone, by id, and their number. */
static uint32_t
_le_rank(const le_lease *lease, const le_server_row *server, uint32_t *count)
{
    uint32_t rank = 0;
    *count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const le_server_row *other = value;
        if (other->zone && strcmp(other->zone, server->zone) == 0) {
            rank += strcmp(other->id, server->id) < 0;
            (*count)++;
        }
    }
    return rank;
}

/* The instance that a server falls to when it is free: of its zone if there
   is one, else of all. Free the name with g_free(). */
char *
le_meant_for(const le_lease *lease, const le_server_row *server,
             uint64_t now_us)
{
    g_autoptr(GPtrArray) names = _le_live_names(lease, server->zone, now_us);
    if (names->len == 0) {
        g_ptr_array_unref(names);
        names = _le_live_names(lease, NULL, now_us);
    }
    uint32_t servers = 0;
    uint32_t rank = _le_rank(lease, server, &servers);
    uint32_t holders = names->len;
    if (le_query_live(lease) > lease->many) {
        holders =
            MIN(holders, (servers + _LE_SERVERS_EACH - 1) / _LE_SERVERS_EACH);
    }
    return holders ? g_strdup(names->pdata[rank % holders]) : NULL;
}

static bool
_le_meant_for_self(const le_lease *lease, const le_server_row *server,
                   uint64_t now_us)
{
    g_autofree char *meant = le_meant_for(lease, server, now_us);
    return meant && le_is_self(lease, meant);
}

bool
le_is_holder(const le_lease *lease, uint64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const le_server_row *server = value;
        if (le_row_is_own(lease, server) ||
            (server->zone && _le_meant_for_self(lease, server, now_us))) {
            return true;
        }
    }
    return false;
}

/* The row names this incarnation, whether it orders still or not. */
bool
le_row_is_own(const le_lease *lease, const le_server_row *server)
{
    return server->holder && le_is_self(lease, server->holder) &&
           server->incarnation == lease->incarnation && !server->given_up;
}

bool
le_holds(const le_lease *lease, const le_server_row *server)
{
    return le_row_is_own(lease, server) && !server->giving;
}

le_state
le_state_of(const le_lease *lease, const le_server_row *server)
{
    if (!server->holder) {
        return LE_STATE_NO_HOLDER;
    }
    if (le_is_self(lease, server->holder) &&
        (server->incarnation != lease->incarnation || server->giving)) {
        return server->giving ? LE_STATE_OURS_GIVING : LE_STATE_OURS_BEFORE;
    }
    if (server->given_up) {
        return LE_STATE_GIVEN_UP;
    }
    if (le_is_self(lease, server->holder)) {
        return LE_STATE_OURS;
    }
    const le_peer_row *holder =
        g_hash_table_lookup(lease->peers, server->holder);
    if (!holder) {
        return LE_STATE_HOLDER_GONE;
    }
    return holder->public.incarnation == server->incarnation
               ? LE_STATE_DEFAULT
               : LE_STATE_HOLDER_ANEW;
}

/* When a server in this state may be claimed; 0: at any time. */
static uint64_t
_le_free_us(const le_lease *lease, const le_server_row *server, le_state state)
{
    const le_peer_row *holder;
    switch (state) {
    case LE_STATE_NO_HOLDER:
        return server->since_us;
    case LE_STATE_GIVEN_UP:
        return server->since_us + lease->quiet_us;
    case LE_STATE_HOLDER_ANEW:
        holder = g_hash_table_lookup(lease->peers, server->holder);
        return holder->seen_us + lease->quiet_us;
    default:
        return 0;
    }
}

bool
le_may_claim(const le_lease *lease, le_server_row *server, uint64_t now_us)
{
    le_state state = le_state_of(lease, server);
    if (!server->zone || state == LE_STATE_DEFAULT || state == LE_STATE_OURS) {
        return false;
    }
    if (state == LE_STATE_OURS_BEFORE || state == LE_STATE_OURS_GIVING) {
        /* One machine is one holder. A new row also undoes a transaction of
           ours that may yet be carried out. */
        return true;
    }
    if (now_us < _le_free_us(lease, server, state) ||
        now_us < lease->registered_us + _LE_SETTLE_MS * 1000ULL) {
        return false;
    }
    if (server->free_us == 0) {
        server->free_us = now_us;
    }
    return _le_meant_for_self(lease, server, now_us) ||
           now_us >= server->free_us + _LE_LEFT_MS * 1000ULL;
}
