#include "ownership_internal.h"

/* -- private: incarnations ------------------------------------------------ */

/* Marks the older incarnations of an instance as dead when a newer one is
   known: they no longer run, though their live rows may still exist. */
static void
_ow_mark_older_dead(ow_machine *ow, const _ow_peer *newer)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, ow->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _ow_peer *peer = value;
        if (peer->incarnation < newer->incarnation &&
            g_str_equal(peer->instance, newer->instance)) {
            peer->state = CO_PEER_DEAD;
        }
    }
}

/* Merges the entry of a peer without a known incarnation into the one with it:
   a heartbeat sent before counts as sent to this incarnation. */
static void
_ow_merge_unknown_incarnation(ow_machine *ow, _ow_peer *peer)
{
    _ow_peer *unknown = _ow_peer_find(ow, peer->instance, 0);
    if (unknown && unknown != peer) {
        peer->heartbeat_sent = peer->heartbeat_sent || unknown->heartbeat_sent;
        g_autofree char *key = g_strdup_printf("%s/0", peer->instance);
        g_hash_table_remove(ow->peers, key);
    }
}

/* -- private: events of peers --------------------------------------------- */

/* A peer cannot end this incarnation before it has heard of it and then waited
   for the lease time, so the first heartbeat to it counts as acknowledged,
   unless the lease has lapsed. */
static void
_ow_feed_heartbeat_sent(ow_machine *ow, uint64_t now_us, _ow_peer *peer)
{
    if (!peer->heartbeat_sent &&
        _ow_lease_use(ow, now_us, peer->zone, false) == OW_USE_FULL) {
        peer->acked_us = now_us;
    }
    peer->heartbeat_sent = true;
}

er_code
_ow_feed_peer(ow_machine *ow, uint64_t now_us, const ow_event *event)
{
    if (!event->instance || g_str_equal(event->instance, ow->instance)) {
        return ER_BAD_REQUEST;
    }
    _ow_peer *peer =
        _ow_peer_get(ow, event->instance, event->zone, event->incarnation);
    if (!peer) {
        return ER_POOL_FULL;
    }
    if (event->zone && !g_str_equal(event->zone, peer->zone)) {
        g_free(peer->zone);
        peer->zone = g_strdup(event->zone);
    }
    if (event->incarnation) {
        _ow_merge_unknown_incarnation(ow, peer);
    }
    switch (event->type) {
    case OW_EVENT_HEARTBEAT_SENT:
        _ow_feed_heartbeat_sent(ow, now_us, peer);
        return ER_OK;
    case OW_EVENT_PEER_STOPPED_WATCHING:
        peer->heartbeat_sent = false;
        return ER_OK;
    case OW_EVENT_HEARTBEAT_RECEIVED:
        peer->heard_us = now_us;
        peer->direct_contact = event->asks_to_watch;
        return ER_OK;
    case OW_EVENT_HEARTBEAT_ACKED:
        peer->acked_us = MAX(peer->acked_us, event->sent_us);
        return ER_OK;
    default:
        break;
    }
    if (peer->state != event->state) {
        peer->state = event->state;
        peer->next_read_us = now_us;
        _ow_mark_older_dead(ow, peer);
        if (_ow_peer_alive(peer)) {
            _ow_peer_unmark_ended(peer, now_us);
        }
        ow->last_change_us = now_us;
        ow->assignment_stale = true;
    }
    return ER_OK;
}

er_code
_ow_feed_instance_gone(ow_machine *ow, uint64_t now_us, const ow_event *event)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, ow->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _ow_peer *peer = value;
        if (event->instance && g_str_equal(peer->instance, event->instance)) {
            peer->instance_gone = true;
            peer->next_read_us = now_us;
            ow->assignment_stale = true;
        }
    }
    return event->instance ? ER_OK : ER_BAD_REQUEST;
}

/* -- private: events of servers ------------------------------------------- */

/* Applies a peer's report of an owner with a higher fence than the known one.
   The row of a server that this daemon may own or take is read next; if the
   report names another daemon, the server is not used until then. */
static er_code
_ow_feed_owner_reported(ow_machine *ow, uint64_t now_us, const ow_event *event,
                        _ow_server *server)
{
    if (!event->instance || event->fence <= server->row.fence) {
        return event->instance ? ER_OK : ER_BAD_REQUEST;
    }
    bool ours = g_str_equal(event->instance, ow->instance);
    if (ours || server->state != _OW_SERVER_OTHER ||
        _ow_is_responsible(ow, server)) {
        server->read_needed = true;
        server->contested = server->contested || !ours;
        server->retry_us = 0;
        _ow_server_work(ow, now_us);
        return ER_OK;
    }
    /* A peer's report is used for routing only; version 0 marks it as not
       read from the table. */
    _ow_row_clear(&server->row);
    server->row.instance = g_strdup(event->instance);
    server->row.zone = g_strdup(server->zone);
    server->row.from = g_strdup(_OW_NO_INSTANCE);
    server->row.fence = event->fence;
    ow_action *action = _ow_push_action(ow, OW_ACTION_OWNER_CHANGED, server);
    action->instance = _co_outbox_copy_text(ow->outbox, event->instance);
    action->fence = event->fence;
    return ER_OK;
}

/* Allows evictions once the owner that handed the server over has no stream or
   order open on it. */
static void
_ow_feed_old_owner_drained(ow_machine *ow, uint64_t now_us,
                           const ow_event *event, _ow_server *server)
{
    bool matches = server->state == _OW_SERVER_OWNED && event->instance &&
                   server->row.acquisition == _OW_ACQUIRED_HANDOVER &&
                   server->row.from_fence == event->fence &&
                   g_str_equal(server->row.from, event->instance);
    if (matches && server->evict_after_us > now_us) {
        _ow_set_evict_after(ow, server, now_us);
    }
}

/* Requests of others on the engine block evictions for order_lifetime_ms,
   unless the engine checks fences and evictions are allowed already. If there
   are none, an engine that checks fences accepts no more from an old owner, so
   evictions are allowed. */
static void
_ow_feed_foreign_requests(ow_machine *ow, uint64_t now_us,
                          const ow_event *event, _ow_server *server)
{
    if (server->state != _OW_SERVER_OWNED) {
        return;
    }
    bool evictions_blocked = now_us < server->evict_after_us;
    if (event->foreign_requests > 0 &&
        (evictions_blocked || !server->checks_fence)) {
        _ow_set_evict_after(ow, server,
                            now_us + _co_ms_to_us(ow->desc.order_lifetime_ms));
    }
    if (event->foreign_requests == 0 && evictions_blocked &&
        server->checks_fence) {
        _ow_set_evict_after(ow, server, now_us);
    }
}

static void
_ow_feed_streams_ended(ow_machine *ow, const ow_event *event,
                       _ow_server *server)
{
    if (!server->handed_to || event->fence != server->handed_fence) {
        return;
    }
    ow_action *action = _ow_push_action(ow, OW_ACTION_NOTIFY_DRAINED, server);
    action->instance = _co_outbox_copy_text(ow->outbox, server->handed_to);
    action->fence = server->handed_fence;
    g_clear_pointer(&server->handed_to, g_free);
}

er_code
_ow_feed_server(ow_machine *ow, uint64_t now_us, const ow_event *event)
{
    _ow_server *server =
        event->server ? g_hash_table_lookup(ow->servers, event->server) : NULL;
    if (!server) {
        return event->server ? ER_NOT_FOUND : ER_BAD_REQUEST;
    }
    switch (event->type) {
    case OW_EVENT_OWNER_REPORTED:
        return _ow_feed_owner_reported(ow, now_us, event, server);
    case OW_EVENT_OLD_OWNER_DRAINED:
        _ow_feed_old_owner_drained(ow, now_us, event, server);
        break;
    case OW_EVENT_FOREIGN_REQUESTS:
        _ow_feed_foreign_requests(ow, now_us, event, server);
        break;
    case OW_EVENT_STREAMS_ENDED:
        _ow_feed_streams_ended(ow, event, server);
        break;
    case OW_EVENT_PROBE_RESULT:
        server->probe_ok_us = event->reachable ? now_us : 0;
        break;
    default:
        server->read_needed = true;
        server->retry_us = 0;
        break;
    }
    return ER_OK;
}
