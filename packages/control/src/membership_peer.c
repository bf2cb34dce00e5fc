#include "membership_internal.h"

#include <string.h>

/* -- private: creation and identity --------------------------------------- */

_mb_peer *
_mb_peer_find(const mb_machine *mb, const char *instance)
{
    return g_hash_table_lookup(mb->peers, instance);
}

_mb_peer *
_mb_peer_add(mb_machine *mb, uint64_t now_us, const char *instance,
             const char *zone, const char *address)
{
    if (g_hash_table_size(mb->peers) >= mb->desc.peer_capacity ||
        strcmp(instance, mb->desc.instance) == 0) {
        return NULL;
    }
    _mb_peer *peer = g_new0(_mb_peer, 1);
    peer->instance = g_strdup(instance);
    peer->zone = g_strdup(zone);
    peer->same_zone = strcmp(zone, mb->desc.zone) == 0;
    peer->address = g_strdup(address);
    peer->last_alive_us = now_us;
    peer->leaving_sent_counts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_hash_table_insert(mb->peers, peer->instance, peer);
    g_ptr_array_add(mb->peer_list, peer);
    mb->links_stale = true;
    return peer;
}

void
_mb_peer_free(void *data)
{
    _mb_peer *peer = data;
    g_hash_table_unref(peer->leaving_sent_counts);
    g_free(peer->instance);
    g_free(peer->zone);
    g_free(peer->address);
    g_free(peer);
}

void
_mb_peer_set_address(mb_machine *mb, _mb_peer *peer, const char *zone,
                     const char *address)
{
    if (address && *address && strcmp(peer->address, address) != 0) {
        g_free(peer->address);
        peer->address = g_strdup(address);
    }
    if (zone && *zone && strcmp(peer->zone, zone) != 0) {
        g_free(peer->zone);
        peer->zone = g_strdup(zone);
        peer->same_zone = strcmp(zone, mb->desc.zone) == 0;
        mb->links_stale = true;
    }
}

void
_mb_peer_set_incarnation(mb_machine *mb, _mb_peer *peer, uint64_t incarnation)
{
    peer->incarnation = incarnation;
    peer->sequence = 0;
    peer->direct_sequence = 0;
    peer->config_version = 0;
    peer->heard_directly = false;
    peer->may_watch_us = false;
    peer->last_unsolicited_us = 0;
    peer->state = CO_PEER_STARTING;
    memset(peer->sent, 0, sizeof(peer->sent));
    g_hash_table_remove_all(peer->leaving_sent_counts);
    mb->links_stale = true;
}

/* -- private: state ------------------------------------------------------- */

bool
_mb_peer_alive(const _mb_peer *peer)
{
    return peer->incarnation != 0 && peer->state != CO_PEER_DEAD &&
           peer->state != CO_PEER_DEFAULT;
}

void
_mb_peer_set_state(mb_machine *mb, _mb_peer *peer, co_peer_state state,
                   uint64_t now_us)
{
    /* An incarnation that is leaving never becomes ready again. */
    bool was_leaving = peer->state == CO_PEER_LEAVING || peer->listed_leaving;
    if (was_leaving && state == CO_PEER_READY) {
        state = CO_PEER_LEAVING;
    }
    if (peer->state == state) {
        return;
    }
    if ((peer->state == CO_PEER_DEAD) != (state == CO_PEER_DEAD)) {
        mb->links_stale = true;
        peer->dead_us = now_us;
        peer->next_send_us = now_us;
    }
    peer->state = state;
    if (state != CO_PEER_SUSPECT) {
        peer->recent_until_us = now_us + _MB_RECENT_CHANGE_US;
    }
}

void
_mb_peer_report(mb_machine *mb, _mb_peer *peer)
{
    if (peer->reported_state == peer->state &&
        peer->reported_incarnation == peer->incarnation) {
        return;
    }
    peer->reported_state = peer->state;
    peer->reported_incarnation = peer->incarnation;
    mb_action *action = _co_outbox_push(mb->outbox);
    action->type = MB_ACTION_PEER_CHANGED;
    action->instance = _co_outbox_copy_text(mb->outbox, peer->instance);
    action->zone = _co_outbox_copy_text(mb->outbox, peer->zone);
    action->address = _co_outbox_copy_text(mb->outbox, peer->address);
    action->incarnation = peer->incarnation;
    action->state = peer->state;
}

void
_mb_peer_check_timeouts(mb_machine *mb, _mb_peer *peer, uint64_t now_us)
{
    if (!_mb_peer_alive(peer)) {
        return;
    }
    /* Direct heartbeats are only expected on a link. */
    bool direct = peer->linked && peer->heard_directly;
    uint64_t seen_us = direct ? peer->last_direct_us : peer->last_alive_us;
    bool remote = !peer->same_zone;
    /* Across zones heartbeats are rarer, so the time-outs are longer and cover
       at least as many of them. */
    uint32_t factor =
        remote ? 1 + mb->desc.remote_period_ms / mb->desc.period_ms : 1;
    uint32_t dead_ms =
        direct ? mb->desc.dead_ms * factor : mb->desc.indirect_dead_ms;
    uint64_t silent_us = now_us - MIN(seen_us, now_us);
    if (silent_us >= _co_ms_to_us(dead_ms)) {
        _mb_peer_set_state(mb, peer, CO_PEER_DEAD, now_us);
    }
    else if (direct &&
             silent_us >= _co_ms_to_us(mb->desc.suspect_ms * factor)) {
        _mb_peer_set_state(mb, peer, CO_PEER_SUSPECT, now_us);
    }
    _mb_peer_report(mb, peer);
}
