#include "membership_internal.h"

#include <string.h>

/* -- private: received heartbeats ----------------------------------------- */

/* Applies another daemon's report that a peer died. The report is ignored
   while we had a sign of life of the peer within dead_ms, or when it is based
   on a much older sequence than ours. */
static void
_mb_on_reported_death(mb_machine *mb, uint64_t now_us, _mb_peer *peer,
                      const mb_peer *seen)
{
    bool fresh = now_us - peer->last_alive_us < _co_ms_to_us(mb->desc.dead_ms);
    bool current = seen->sequence + _MB_SEQUENCE_SLACK >= peer->sequence;
    if (seen->incarnation == peer->incarnation && current && !fresh) {
        peer->sequence = MAX(peer->sequence, seen->sequence);
        _mb_peer_set_state(mb, peer, CO_PEER_DEAD, now_us);
        _mb_peer_report(mb, peer);
    }
}

/* Refutes a report that our own incarnation is dead: raises the sequence
   beyond that of any such report and sends heartbeats at once. */
static void
_mb_refute(mb_machine *mb, uint64_t now_us, const mb_peer *seen)
{
    bool ours =
        seen->state == CO_PEER_DEAD && seen->incarnation == mb->incarnation;
    if (ours && now_us >= mb->last_refuted_us + _MB_REFUTE_INTERVAL_US) {
        mb->last_refuted_us = now_us;
        mb->sequence += 2 * _MB_SEQUENCE_SLACK;
        _mb_schedule_send_to_linked(mb, now_us);
    }
}

/* Applies what a heartbeat's sender knows of one peer. */
static void
_mb_on_sampled_peer(mb_machine *mb, uint64_t now_us, const mb_peer *seen)
{
    if (!seen->instance || !seen->incarnation) {
        return;
    }
    if (strcmp(seen->instance, mb->desc.instance) == 0) {
        _mb_refute(mb, now_us, seen);
        return;
    }
    _mb_peer *peer = _mb_peer_find(mb, seen->instance);
    if (!peer && seen->state != CO_PEER_DEAD) {
        peer = _mb_peer_add(mb, now_us, seen->instance, seen->zone,
                            seen->address);
    }
    if (!peer || seen->incarnation < peer->incarnation) {
        return;
    }
    if (seen->state == CO_PEER_DEAD) {
        _mb_on_reported_death(mb, now_us, peer, seen);
        return;
    }
    bool newer_incarnation = seen->incarnation > peer->incarnation;
    if (!newer_incarnation && seen->sequence <= peer->sequence) {
        return;
    }
    bool late = peer->state == CO_PEER_DEAD &&
                seen->sequence <= peer->sequence + _MB_SEQUENCE_SLACK;
    if (!newer_incarnation && late) {
        return; /* may have been sent before it died */
    }
    if (newer_incarnation) {
        _mb_peer_set_incarnation(mb, peer, seen->incarnation);
        _mb_peer_set_address(mb, peer, seen->zone, seen->address);
    }
    peer->sequence = seen->sequence;
    peer->config_version = MAX(peer->config_version, seen->config_version);
    /* Only the peer itself raises its sequence, so it is alive. */
    peer->last_alive_us = now_us;
    /* The state of a linked peer comes from its own heartbeats. */
    if (!(peer->linked && peer->heard_directly) ||
        peer->state == CO_PEER_DEAD) {
        _mb_peer_set_state(mb, peer, seen->state, now_us);
    }
    _mb_peer_report(mb, peer);
}

void
_mb_add_leaving_server(mb_machine *mb, uint64_t now_us, const char *server)
{
    if (g_hash_table_contains(mb->leaving_set, server)) {
        return;
    }
    char *name = g_strdup(server);
    g_hash_table_add(mb->leaving_set, name);
    g_ptr_array_add(mb->leaving_servers, name);
    mb_action *action = _co_outbox_push(mb->outbox);
    action->type = MB_ACTION_SERVER_LEAVING;
    action->server = _co_outbox_copy_text(mb->outbox, server);
    _mb_schedule_send_to_linked(mb, now_us);
}

/* Reports which of our heartbeats the peer has acknowledged, if its send time
   is still kept. */
static void
_mb_on_ack(mb_machine *mb, const _mb_peer *peer, const mb_heartbeat *heartbeat)
{
    if (heartbeat->ack_incarnation != mb->incarnation ||
        !heartbeat->ack_sequence) {
        return;
    }
    size_t slot = heartbeat->ack_sequence % _MB_SENT_TIMES;
    if (peer->sent[slot].sequence != heartbeat->ack_sequence) {
        return;
    }
    mb_action *action = _co_outbox_push(mb->outbox);
    action->type = MB_ACTION_HEARTBEAT_ACKED;
    action->instance = _co_outbox_copy_text(mb->outbox, peer->instance);
    action->zone = _co_outbox_copy_text(mb->outbox, peer->zone);
    action->incarnation = peer->incarnation;
    action->sent_us = peer->sent[slot].sent_us;
}

/* Reports that the peer has acknowledged a heartbeat newer than the last one
   that asked it to watch. */
static void
_mb_check_stopped_watching(mb_machine *mb, _mb_peer *peer,
                           const mb_heartbeat *heartbeat)
{
    bool ours = heartbeat->ack_incarnation == mb->incarnation;
    if (!peer->may_watch_us || !ours ||
        heartbeat->ack_sequence <= peer->watch_sequence) {
        return;
    }
    peer->may_watch_us = false;
    mb_action *action = _co_outbox_push(mb->outbox);
    action->type = MB_ACTION_PEER_STOPPED_WATCHING;
    action->instance = _co_outbox_copy_text(mb->outbox, peer->instance);
    action->zone = _co_outbox_copy_text(mb->outbox, peer->zone);
    action->incarnation = peer->incarnation;
}

static void
_mb_report_heartbeat(mb_machine *mb, const _mb_peer *peer,
                     const mb_heartbeat *heartbeat)
{
    mb_action *action = _co_outbox_push(mb->outbox);
    action->type = MB_ACTION_HEARTBEAT_RECEIVED;
    action->instance = _co_outbox_copy_text(mb->outbox, peer->instance);
    action->zone = _co_outbox_copy_text(mb->outbox, peer->zone);
    action->asks_to_watch =
        heartbeat->watch && heartbeat->ack_incarnation == mb->incarnation;
    action->incarnation = peer->incarnation;
    action->version = peer->config_version;
}

/* Updates the sender from its heartbeat and returns it. Returns NULL when the
   heartbeat is not newer than one received before, or at peer_capacity. */
static _mb_peer *
_mb_update_sender(mb_machine *mb, uint64_t now_us, const mb_event *event)
{
    const mb_heartbeat *heartbeat = event->heartbeat;
    _mb_peer *peer = _mb_peer_find(mb, event->instance);
    if (!peer) {
        peer = _mb_peer_add(mb, now_us, event->instance, event->zone,
                            event->address);
    }
    if (!peer || heartbeat->incarnation < peer->incarnation) {
        return NULL;
    }
    if (heartbeat->incarnation > peer->incarnation) {
        _mb_peer_set_incarnation(mb, peer, heartbeat->incarnation);
    }
    else if (heartbeat->sequence <= peer->direct_sequence) {
        return NULL;
    }
    _mb_peer_set_address(mb, peer, event->zone, event->address);
    peer->direct_sequence = heartbeat->sequence;
    peer->sequence = MAX(peer->sequence, heartbeat->sequence);
    peer->config_version = heartbeat->config_version;
    if (!peer->heard_directly) {
        peer->next_send_us = now_us;
    }
    peer->heard_directly = true;
    peer->last_direct_us = now_us;
    peer->last_unsolicited_us =
        heartbeat->answer ? peer->last_unsolicited_us : now_us;
    peer->last_alive_us = now_us;
    _mb_peer_set_state(mb, peer, heartbeat->state, now_us);
    return peer;
}

er_code
_mb_on_heartbeat(mb_machine *mb, uint64_t now_us, const mb_event *event)
{
    const mb_heartbeat *heartbeat = event->heartbeat;
    if (!event->instance || !event->zone || !event->address || !heartbeat ||
        !heartbeat->incarnation) {
        return ER_BAD_REQUEST;
    }
    _mb_peer *peer = _mb_update_sender(mb, now_us, event);
    if (!peer) {
        return ER_STALE;
    }
    _mb_peer_report(mb, peer);
    _mb_report_heartbeat(mb, peer, heartbeat);
    _mb_on_ack(mb, peer, heartbeat);
    _mb_check_stopped_watching(mb, peer, heartbeat);
    for (size_t i = 0; i < heartbeat->peer_count; i++) {
        _mb_on_sampled_peer(mb, now_us, &heartbeat->peers[i]);
    }
    for (size_t i = 0; i < heartbeat->leaving_count; i++) {
        _mb_add_leaving_server(mb, now_us, heartbeat->leaving_servers[i]);
    }
    return ER_OK;
}

er_code
_mb_on_listed(mb_machine *mb, uint64_t now_us, const mb_event *event)
{
    if (!event->instance || !event->zone || !event->address) {
        return ER_BAD_REQUEST;
    }
    _mb_peer *peer = _mb_peer_find(mb, event->instance);
    if (!peer) {
        peer = _mb_peer_add(mb, now_us, event->instance, event->zone,
                            event->address);
    }
    if (!peer) {
        return ER_OK;
    }
    peer->listed = true;
    if (!peer->incarnation) {
        _mb_peer_set_address(mb, peer, event->zone, event->address);
    }
    if (mb->desc.unsafe_list_revives && peer->state == CO_PEER_DEAD) {
        _mb_peer_set_state(mb, peer, CO_PEER_READY, now_us);
    }
    if (event->leaving) {
        peer->listed_leaving = true;
        if (peer->state == CO_PEER_READY) {
            _mb_peer_set_state(mb, peer, CO_PEER_LEAVING, now_us);
        }
    }
    _mb_peer_report(mb, peer);
    return ER_OK;
}

void
_mb_on_unlisted(mb_machine *mb, const char *instance)
{
    _mb_peer *peer = _mb_peer_find(mb, instance);
    if (peer) {
        peer->listed = false;
        peer->listed_leaving = false;
    }
}

void
_mb_on_refuse_acks(mb_machine *mb, const mb_event *event)
{
    _mb_peer *peer = _mb_peer_find(mb, event->instance);
    if (peer) {
        peer->refused_incarnation =
            MAX(peer->refused_incarnation, event->incarnation);
    }
}
