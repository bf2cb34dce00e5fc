#include "lease_private.h"

#include <string.h>

/* Time that the preferred holder has to claim a free server; then any instance
   may claim it. */
#define _LE_PREFERRED_CLAIM_MS 4000
/* Pause between registration and the first claim, so that instances that
   start together share the servers. */
#define _LE_SETTLE_MS 1000

/* Above subset_threshold instances, as many hold the servers of a zone that
   each has about three, as in the deployments served at present. */
#define _LE_SERVERS_PER_HOLDER 3

/* -- private: holders and claims ------------------------------------------ */

static gint
_le_compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

uint64_t
le_takeover_delay_us(const le_lease *lease, const le_peer_row *peer)
{
    return peer->valid_us + lease->guard_us;
}

static bool
_le_peer_eligible(const le_lease *lease, const le_peer_row *peer,
                  uint64_t now_us)
{
    if (le_is_self(lease, peer->instance)) {
        return lease->registered && !lease->leaving;
    }
    return !peer->public.leaving &&
           now_us < peer->version_since_us + le_takeover_delay_us(lease, peer);
}

/* Returns the sorted names of the instances that may hold servers, of a zone
   or, if zone is NULL, of all. */
static GPtrArray *
_le_eligible_names(const le_lease *lease, const char *zone, uint64_t now_us)
{
    GPtrArray *names = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const le_peer_row *peer = value;
        if (_le_peer_eligible(lease, peer, now_us) &&
            (!zone || strcmp(zone, peer->zone) == 0)) {
            g_ptr_array_add(names, peer->instance);
        }
    }
    g_ptr_array_sort(names, _le_compare_names);
    return names;
}

/* Returns the rank of a server among the listed ones of its zone, by id, and
   their number. */
static uint32_t
_le_rank_in_zone(const le_lease *lease, const le_server_row *server,
                 uint32_t *count)
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

char *
le_preferred_holder(const le_lease *lease, const le_server_row *server,
                    uint64_t now_us)
{
    g_autoptr(GPtrArray) names =
        _le_eligible_names(lease, server->zone, now_us);
    if (names->len == 0) {
        g_ptr_array_unref(names);
        names = _le_eligible_names(lease, NULL, now_us);
    }
    uint32_t servers = 0;
    uint32_t rank = _le_rank_in_zone(lease, server, &servers);
    uint32_t holders = names->len;
    if (le_query_live_count(lease) > lease->subset_threshold) {
        holders = MIN(holders, (servers + _LE_SERVERS_PER_HOLDER - 1) /
                                   _LE_SERVERS_PER_HOLDER);
    }
    return holders ? g_strdup(names->pdata[rank % holders]) : NULL;
}

static bool
_le_prefers_self(const le_lease *lease, const le_server_row *server,
                 uint64_t now_us)
{
    g_autofree char *preferred = le_preferred_holder(lease, server, now_us);
    return preferred && le_is_self(lease, preferred);
}

bool
le_expects_servers(const le_lease *lease, uint64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const le_server_row *server = value;
        if (le_row_is_own(lease, server) ||
            (server->zone && _le_prefers_self(lease, server, now_us))) {
            return true;
        }
    }
    return false;
}

bool
le_row_is_own(const le_lease *lease, const le_server_row *server)
{
    return server->holder && le_is_self(lease, server->holder) &&
           server->incarnation == lease->incarnation && !server->given_up;
}

bool
le_holds_server(const le_lease *lease, const le_server_row *server)
{
    return le_row_is_own(lease, server) && !server->giving_up &&
           (!server->outdated || server->held_before);
}

le_holder_state
le_holder_state_of(const le_lease *lease, const le_server_row *server)
{
    if (!server->holder) {
        return LE_STATE_NO_HOLDER;
    }
    if (le_is_self(lease, server->holder) &&
        (server->incarnation != lease->incarnation || server->giving_up)) {
        return server->giving_up ? LE_STATE_OURS_GIVING_UP
                                 : LE_STATE_OURS_OTHER_INCARNATION;
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
               ? LE_STATE_HELD_BY_PEER
               : LE_STATE_HOLDER_RESTARTED;
}

/* Returns when a server in this state may be claimed; 0: at any time. */
static uint64_t
_le_claimable_us(const le_lease *lease, const le_server_row *server,
                 le_holder_state state)
{
    const le_peer_row *holder;
    switch (state) {
    case LE_STATE_NO_HOLDER:
        return server->row_since_us;
    case LE_STATE_GIVEN_UP:
        return server->row_since_us + lease->guard_us;
    case LE_STATE_HOLDER_RESTARTED:
        holder = g_hash_table_lookup(lease->peers, server->holder);
        return holder->version_since_us + lease->guard_us;
    default:
        return 0;
    }
}

bool
le_may_claim(const le_lease *lease, le_server_row *server, uint64_t now_us)
{
    le_holder_state state = le_holder_state_of(lease, server);
    if (!server->zone) {
        return false;
    }
    if (server->outdated) {
        if (server->held_before) {
            return state != LE_STATE_OURS;
        }
        if (now_us < lease->restored_until_us) {
            return false;
        }
    }
    if (state == LE_STATE_HELD_BY_PEER ||
        (state == LE_STATE_OURS && !server->outdated)) {
        return false;
    }
    if (state == LE_STATE_OURS || state == LE_STATE_OURS_OTHER_INCARNATION ||
        state == LE_STATE_OURS_GIVING_UP) {
        /* An instance counts as one holder over all its incarnations. A new
           row also makes our earlier transaction fail if the store has yet to
           carry it out. */
        return true;
    }
    if (now_us < _le_claimable_us(lease, server, state) ||
        now_us < lease->registered_us + _LE_SETTLE_MS * 1000ULL) {
        return false;
    }
    if (server->claimable_since_us == 0) {
        server->claimable_since_us = now_us;
    }
    return _le_prefers_self(lease, server, now_us) ||
           now_us >=
               server->claimable_since_us + _LE_PREFERRED_CLAIM_MS * 1000ULL;
}
