#include "membership_internal.h"

#include <string.h>

/* -- private: what is said of peers --------------------------------------- */

/* Another saw it die. Who had a sign of life lately knows better. */
static void
_mb_take_death(mb_machine *mb, uint64_t now_us, _mb_peer *peer,
               const mb_peer *seen)
{
    bool fresh = now_us - peer->evidence_us < _co_us(mb->desc.dead_ms);
    bool near = seen->sequence + _MB_SLACK >= peer->sequence;
    if (seen->incarnation == peer->incarnation && near && !fresh) {
        peer->sequence = MAX(peer->sequence, seen->sequence);
        _mb_peer_set_state(mb, peer, CO_PEER_DEAD, now_us);
        _mb_peer_tell(mb, peer);
    }
}

/* Somebody takes us for dead: the next heartbeat is newer than any word. */
static void
_mb_refute(mb_machine *mb, uint64_t now_us, const mb_peer *seen)
{
    bool ours =
        seen->state == CO_PEER_DEAD && seen->incarnation == mb->incarnation;
    if (ours && now_us >= mb->refuted_us + _MB_REFUTE_US) {
        mb->refuted_us = now_us;
        mb->sequence += 2 * _MB_SLACK;
        _mb_send_soon(mb, now_us);
    }
}

static void
_mb_take_sampled(mb_machine *mb, uint64_t now_us, const mb_peer *seen)
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
        peer = _mb_peer_make(mb, now_us, seen->instance, seen->zone,
                             seen->address);
    }
    if (!peer || seen->incarnation < peer->incarnation) {
        return;
    }
    if (seen->state == CO_PEER_DEAD) {
        _mb_take_death(mb, now_us, peer, seen);
        return;
    }
    bool newer_life = seen->incarnation > peer->incarnation;
    if (!newer_life && seen->sequence <= peer->sequence) {
        return;
    }
    bool late = peer->state == CO_PEER_DEAD &&
                seen->sequence <= peer->sequence + _MB_SLACK;
    if (!newer_life && late) {
        return; /* said before it died */
    }
    if (newer_life) {
        _mb_peer_set_incarnation(mb, peer, seen->incarnation);
        _mb_peer_set_address(mb, peer, seen->zone, seen->address);
    }
    peer->sequence = seen->sequence;
    peer->config_version = MAX(peer->config_version, seen->config_version);
    /* Only the peer itself makes its sequence grow: it lives. */
    peer->evidence_us = now_us;
    if (!(peer->linked && peer->direct) || peer->state == CO_PEER_DEAD) {
        _mb_peer_set_state(mb, peer, seen->state, now_us);
    }
    _mb_peer_tell(mb, peer);
}

void
_mb_note_leaving_server(mb_machine *mb, uint64_t now_us, const char *server)
{
    if (g_hash_table_contains(mb->leaving_set, server)) {
        return;
    }
    char *name = g_strdup(server);
    g_hash_table_add(mb->leaving_set, name);
    g_ptr_array_add(mb->leaving, name);
    mb_action *action = _co_outbox_push(mb->out);
    action->type = MB_ACTION_SERVER_LEAVING;
    action->server = _co_outbox_text(mb->out, server);
    _mb_send_soon(mb, now_us);
}

static void
_mb_take_ack(mb_machine *mb, const _mb_peer *peer,
             const mb_heartbeat *heartbeat)
{
    if (heartbeat->ack_incarnation != mb->incarnation ||
        !heartbeat->ack_sequence) {
        return;
    }
    size_t slot = heartbeat->ack_sequence % _MB_SENT_RING;
    if (peer->sent[slot].sequence != heartbeat->ack_sequence) {
        return;
    }
    mb_action *action = _co_outbox_push(mb->out);
    action->type = MB_ACTION_ACKED;
    action->instance = _co_outbox_text(mb->out, peer->instance);
    action->zone = _co_outbox_text(mb->out, peer->zone);
    action->incarnation = peer->incarnation;
    action->sent_us = peer->sent[slot].sent_us;
}

/* It has seen a heartbeat that no longer asks it to watch. */
static void
_mb_take_unwatched(mb_machine *mb, _mb_peer *peer,
                   const mb_heartbeat *heartbeat)
{
    bool ours = heartbeat->ack_incarnation == mb->incarnation;
    if (!peer->watched || !ours ||
        heartbeat->ack_sequence <= peer->watch_sequence) {
        return;
    }
    peer->watched = false;
    mb_action *action = _co_outbox_push(mb->out);
    action->type = MB_ACTION_UNWATCHED;
    action->instance = _co_outbox_text(mb->out, peer->instance);
    action->zone = _co_outbox_text(mb->out, peer->zone);
    action->incarnation = peer->incarnation;
}

static void
_mb_say_heard(mb_machine *mb, const _mb_peer *peer,
              const mb_heartbeat *heartbeat)
{
    mb_action *action = _co_outbox_push(mb->out);
    action->type = MB_ACTION_HEARD;
    action->instance = _co_outbox_text(mb->out, peer->instance);
    action->zone = _co_outbox_text(mb->out, peer->zone);
    action->names_us =
        heartbeat->watch && heartbeat->ack_incarnation == mb->incarnation;
    action->incarnation = peer->incarnation;
    action->version = peer->config_version;
}

/* The sender itself; NULL when its heartbeat is older than one known. */
static _mb_peer *
_mb_take_sender(mb_machine *mb, uint64_t now_us, const mb_event *event)
{
    const mb_heartbeat *heartbeat = event->heartbeat;
    _mb_peer *peer = _mb_peer_find(mb, event->instance);
    if (!peer) {
        peer = _mb_peer_make(mb, now_us, event->instance, event->zone,
                             event->address);
    }
    if (!peer || heartbeat->incarnation < peer->incarnation) {
        return NULL;
    }
    if (heartbeat->incarnation > peer->incarnation) {
        _mb_peer_set_incarnation(mb, peer, heartbeat->incarnation);
    }
    else if (heartbeat->sequence <= peer->heard_sequence) {
        return NULL;
    }
    _mb_peer_set_address(mb, peer, event->zone, event->address);
    peer->heard_sequence = heartbeat->sequence;
    peer->sequence = MAX(peer->sequence, heartbeat->sequence);
    peer->config_version = heartbeat->config_version;
    if (!peer->direct) {
        peer->send_us = now_us;
    }
    peer->direct = true;
    peer->heard_us = now_us;
    peer->asked_us = heartbeat->answer ? peer->asked_us : now_us;
    peer->evidence_us = now_us;
    _mb_peer_set_state(mb, peer, heartbeat->state, now_us);
    return peer;
}

er_code
_mb_take_heartbeat(mb_machine *mb, uint64_t now_us, const mb_event *event)
{
    const mb_heartbeat *heartbeat = event->heartbeat;
    if (!event->instance || !event->zone || !event->address || !heartbeat ||
        !heartbeat->incarnation) {
        return ER_BAD_REQUEST;
    }
    _mb_peer *peer = _mb_take_sender(mb, now_us, event);
    if (!peer) {
        return ER_STALE;
    }
    _mb_peer_tell(mb, peer);
    _mb_say_heard(mb, peer, heartbeat);
    _mb_take_ack(mb, peer, heartbeat);
    _mb_take_unwatched(mb, peer, heartbeat);
    for (size_t i = 0; i < heartbeat->peer_count; i++) {
        _mb_take_sampled(mb, now_us, &heartbeat->peers[i]);
    }
    for (size_t i = 0; i < heartbeat->leaving_count; i++) {
        _mb_note_leaving_server(mb, now_us, heartbeat->leaving_servers[i]);
    }
    return ER_OK;
}

er_code
_mb_take_listed(mb_machine *mb, uint64_t now_us, const mb_event *event)
{
    if (!event->instance || !event->zone || !event->address) {
        return ER_BAD_REQUEST;
    }
    _mb_peer *peer = _mb_peer_find(mb, event->instance);
    if (!peer) {
        peer = _mb_peer_make(mb, now_us, event->instance, event->zone,
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
    _mb_peer_tell(mb, peer);
    return ER_OK;
}

void
_mb_take_unlisted(mb_machine *mb, const char *instance)
{
    _mb_peer *peer = _mb_peer_find(mb, instance);
    if (peer) {
        peer->listed = false;
        peer->listed_leaving = false;
    }
}

void
_mb_take_refused(mb_machine *mb, const mb_event *event)
{
    _mb_peer *peer = _mb_peer_find(mb, event->instance);
    if (peer) {
        peer->refused = MAX(peer->refused, event->incarnation);
    }
}
