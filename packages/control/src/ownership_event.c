#include "ownership_internal.h"

/* -- private: incarnations ------------------------------------------------ */

/* A newer incarnation of an instance has come: the older are not there any
   more, though their rows may be. */
static void
_ow_peer_replaced(ow_machine *ow, const _ow_peer *newer)
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

/* A peer's incarnation has become known: what was sent before counts as sent
   to it. */
static void
_ow_peer_named(ow_machine *ow, _ow_peer *peer)
{
    _ow_peer *unnamed = _ow_peer_find(ow, peer->instance, 0);
    if (unnamed && unnamed != peer) {
        peer->sent = peer->sent || unnamed->sent;
        g_autofree char *key = g_strdup_printf("%s/0", peer->instance);
        g_hash_table_remove(ow->peers, key);
    }
}

/* -- private: events of peers --------------------------------------------- */

/* A peer cannot end us before it has heard of us and then not, so the first
   heartbeat to it counts as acknowledged, but for one after a lapse. */
static void
_ow_feed_sent(ow_machine *ow, uint64_t now_us, _ow_peer *peer)
{
    if (!peer->sent &&
        _ow_lease_use(ow, now_us, peer->zone, false) == OW_USE_FULL) {
        peer->acked_us = now_us;
    }
    peer->sent = true;
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
        _ow_peer_named(ow, peer);
    }
    switch (event->type) {
    case OW_EVENT_SENT:
        _ow_feed_sent(ow, now_us, peer);
        return ER_OK;
    case OW_EVENT_UNWATCHED:
        peer->sent = false;
        return ER_OK;
    case OW_EVENT_HEARD:
        peer->heard_us = now_us;
        peer->direct = event->names_us;
        return ER_OK;
    case OW_EVENT_ACKED:
        peer->acked_us = MAX(peer->acked_us, event->sent_us);
        return ER_OK;
    default:
        break;
    }
    if (peer->state != event->state) {
        peer->state = event->state;
        peer->watch_us = now_us;
        _ow_peer_replaced(ow, peer);
        if (_ow_peer_alive(peer)) {
            _ow_peer_back(peer, now_us);
        }
        ow->changed_us = now_us;
        ow->spread_dirty = true;
    }
    return ER_OK;
}

er_code
_ow_feed_gone(ow_machine *ow, uint64_t now_us, const ow_event *event)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, ow->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _ow_peer *peer = value;
        if (event->instance && g_str_equal(peer->instance, event->instance)) {
            peer->gone = true;
            peer->watch_us = now_us;
            ow->spread_dirty = true;
        }
    }
    return event->instance ? ER_OK : ER_BAD_REQUEST;
}

/* -- private: events of servers ------------------------------------------- */

static er_code
_ow_feed_owner(ow_machine *ow, uint64_t now_us, const ow_event *event,
               _ow_server *server)
{
    if (!event->instance || event->fence <= server->row.fence) {
        return event->instance ? ER_OK : ER_BAD_REQUEST;
    }
    bool ours = g_str_equal(event->instance, ow->instance);
    if (ours || server->state != _OW_SERVER_OTHER ||
        _ow_spread_covers(ow, server)) {
        server->read_wanted = true;
        server->contested = server->contested || !ours;
        server->try_us = 0;
        _ow_server_work(ow, now_us);
        return ER_OK;
    }
    /* Hearsay serves for routing; the version stays that of no row. */
    _ow_row_clear(&server->row);
    server->row.instance = g_strdup(event->instance);
    server->row.zone = g_strdup(server->zone);
    server->row.from = g_strdup(_OW_NOBODY);
    server->row.fence = event->fence;
    ow_action *action = _ow_act(ow, OW_ACTION_OWNER, server);
    action->instance = _co_outbox_copy_text(ow->box, event->instance);
    action->fence = event->fence;
    return ER_OK;
}

static void
_ow_feed_drained(ow_machine *ow, uint64_t now_us, const ow_event *event,
                 _ow_server *server)
{
    bool fits = server->state == _OW_SERVER_OWNED && event->instance &&
                server->row.how == _OW_HOW_PLANNED &&
                server->row.from_fence == event->fence &&
                g_str_equal(server->row.from, event->instance);
    if (fits && server->settle_us > now_us) {
        _ow_settle_set(ow, server, now_us);
    }
}

static void
_ow_feed_foreign(ow_machine *ow, uint64_t now_us, const ow_event *event,
                 _ow_server *server)
{
    if (server->state != _OW_SERVER_OWNED) {
        return;
    }
    bool settling = now_us < server->settle_us;
    if (event->foreign > 0 && (settling || !server->checks_fence)) {
        _ow_settle_set(ow, server,
                       now_us + _co_ms_to_us(ow->desc.order_life_ms));
    }
    if (event->foreign == 0 && settling && server->checks_fence) {
        _ow_settle_set(ow, server, now_us);
    }
}

static void
_ow_feed_idle(ow_machine *ow, const ow_event *event, _ow_server *server)
{
    if (!server->handed_to || event->fence != server->handed_fence) {
        return;
    }
    ow_action *action = _ow_act(ow, OW_ACTION_TELL_DRAINED, server);
    action->instance = _co_outbox_copy_text(ow->box, server->handed_to);
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
    case OW_EVENT_OWNER:
        return _ow_feed_owner(ow, now_us, event, server);
    case OW_EVENT_DRAINED:
        _ow_feed_drained(ow, now_us, event, server);
        break;
    case OW_EVENT_FOREIGN:
        _ow_feed_foreign(ow, now_us, event, server);
        break;
    case OW_EVENT_IDLE:
        _ow_feed_idle(ow, event, server);
        break;
    case OW_EVENT_REACHED:
        server->reached_us = event->reached ? now_us : 0;
        break;
    default:
        server->read_wanted = true;
        server->try_us = 0;
        break;
    }
    return ER_OK;
}
