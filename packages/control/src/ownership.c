#include "ownership_internal.h"

#include <string.h>

/* Spreads the scans of the daemons of a zone. */
#define _OW_SCAN_JITTER_PCT 20

/* -- private: calls and actions ------------------------------------------- */

static void
_ow_call_clear(void *data)
{
    _ow_call *call = data;
    g_free(call->name);
    g_free(call);
}

_ow_call *
_ow_call_open(ow_machine *ow, uint64_t now_us, _ow_call_kind kind,
              const char *name)
{
    _ow_call *call = g_new0(_ow_call, 1);
    call->kind = kind;
    call->number = ow->next_number++;
    call->sent_us = now_us;
    call->incarnation = ow->incarnation;
    call->name = g_strdup(name);
    g_hash_table_insert(ow->calls, &call->number, call);
    return call;
}

void
_ow_call_send(ow_machine *ow, _co_call *call)
{
    ow_action *action = _ow_push_action(ow, OW_ACTION_TABLE, NULL);
    action->table = *_co_outbox_take_call(ow->outbox, call);
}

ow_action *
_ow_push_action(ow_machine *ow, ow_action_type type, const _ow_server *server)
{
    ow_action *action = _co_outbox_push(ow->outbox);
    action->type = type;
    if (server) {
        action->server = _co_outbox_copy_text(ow->outbox, server->name);
    }
    return action;
}

/* -- private: peers ------------------------------------------------------- */

static void
_ow_peer_free(void *data)
{
    _ow_peer *peer = data;
    g_free(peer->instance);
    g_free(peer->zone);
    g_free(peer);
}

_ow_peer *
_ow_peer_find(const ow_machine *ow, const char *instance, uint64_t incarnation)
{
    g_autofree char *key =
        g_strdup_printf("%s/%" G_GUINT64_FORMAT, instance, incarnation);
    return g_hash_table_lookup(ow->peers, key);
}

_ow_peer *
_ow_peer_get(ow_machine *ow, const char *instance, const char *zone,
             uint64_t incarnation)
{
    _ow_peer *peer = _ow_peer_find(ow, instance, incarnation);
    if (peer) {
        return peer;
    }
    /* There is an entry for each incarnation, and ended ones are kept for
       _OW_PEER_RETENTION_US. */
    if (g_hash_table_size(ow->peers) >= 4 * ow->desc.peer_capacity) {
        return NULL;
    }
    peer = g_new0(_ow_peer, 1);
    peer->instance = g_strdup(instance);
    peer->zone = g_strdup(zone ? zone : _OW_NO_INSTANCE);
    peer->incarnation = incarnation;
    g_hash_table_insert(
        ow->peers,
        g_strdup_printf("%s/%" G_GUINT64_FORMAT, instance, incarnation), peer);
    return peer;
}

bool
_ow_peer_alive(const _ow_peer *peer)
{
    return peer->state == CO_PEER_STARTING || peer->state == CO_PEER_READY ||
           peer->state == CO_PEER_LEAVING;
}

void
_ow_peer_mark_ended(_ow_peer *peer, uint64_t now_us)
{
    peer->ended_us = peer->ended ? peer->ended_us : now_us;
    peer->ended = true;
}

void
_ow_peer_unmark_ended(_ow_peer *peer, uint64_t now_us)
{
    if (!peer->ended_finally) {
        peer->ended = false;
        peer->next_read_us = now_us;
        peer->open_call = 0; /* ignores the result of an older read */
    }
}

/* -- private: servers ----------------------------------------------------- */

static void
_ow_server_free(void *data)
{
    _ow_server *server = data;
    _ow_row_clear(&server->row);
    g_free(server->name);
    g_free(server->zone);
    g_free(server->committed_value);
    g_free(server->handed_to);
    g_free(server);
}

static _ow_server *
_ow_server_get(ow_machine *ow, const ow_server_desc *desc)
{
    _ow_server *server = g_hash_table_lookup(ow->servers, desc->name);
    if (server || g_hash_table_size(ow->servers) >= ow->desc.server_capacity) {
        return server;
    }
    server = g_new0(_ow_server, 1);
    server->name = g_strdup(desc->name);
    server->zone = g_strdup(desc->zone);
    g_hash_table_insert(ow->servers, server->name, server);
    return server;
}

static gboolean
_ow_remove_unconfigured(void *key, void *value, void *user_data)
{
    (void)key;
    ow_machine *ow = user_data;
    _ow_server *server = value;
    if (server->configured) {
        return FALSE;
    }
    _ow_server_lose(ow, server, true);
    return TRUE;
}

void
ow_set_servers(ow_machine *ow, uint64_t now_us, const ow_server_desc *servers,
               size_t count)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, ow->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((_ow_server *)value)->configured = false;
    }
    for (size_t i = 0; i < count; i++) {
        _ow_server *server = _ow_server_get(ow, &servers[i]);
        if (server) {
            server->configured = true;
            server->checks_fence = servers[i].checks_fence;
            server->leaving = servers[i].leaving;
        }
    }
    g_hash_table_foreach_remove(ow->servers, _ow_remove_unconfigured, ow);
    ow->assignment_stale = true;
    ow->last_change_us = now_us;
    ow->next_scan_us = MIN(ow->next_scan_us, now_us);
}

/* -- private: scans ------------------------------------------------------- */

static void
_ow_scan_zone(ow_machine *ow, uint64_t now_us, const char *zone,
              const char *after)
{
    g_autofree char *prefix = g_strdup_printf("owner/%s/", zone);
    _ow_call *open = _ow_call_open(ow, now_us, _OW_CALL_SCAN_OWNERS, zone);
    _ow_call_send(ow,
                  _co_scan_new(open->number, prefix, after, _OW_SCAN_ROWS));
}

/* Scans the owner rows of each zone that this daemon is responsible for. */
static void
_ow_scan_work(ow_machine *ow, uint64_t now_us)
{
    if (now_us < ow->next_scan_us) {
        return;
    }
    ow->next_scan_us =
        now_us + _co_jitter_us(ow->rand,
                               _co_ms_to_us(ow->desc.scan_interval_ms),
                               _OW_SCAN_JITTER_PCT);
    g_autoptr(GHashTable) zones = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, ow->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _ow_server *server = value;
        if (_ow_is_responsible(ow, server) &&
            g_hash_table_add(zones, server->zone)) {
            _ow_scan_zone(ow, now_us, server->zone, NULL);
        }
    }
}

static void
_ow_scan_result(ow_machine *ow, uint64_t now_us, const _ow_call *call,
                const co_table_result *result)
{
    if (result->code != ER_OK) {
        ow->next_scan_us = MIN(ow->next_scan_us, now_us + _OW_RETRY_US);
        return;
    }
    const pf_read_result *read = result->read;
    for (size_t i = 0; i < read->count; i++) {
        const char *slash = strrchr(read->rows[i].key, '/');
        _ow_server *server =
            slash ? g_hash_table_lookup(ow->servers, slash + 1) : NULL;
        if (server && g_str_equal(server->zone, call->name)) {
            _ow_row_update(ow, now_us, server, &read->rows[i]);
        }
    }
    if (read->count == _OW_SCAN_ROWS) {
        _ow_scan_zone(ow, now_us, call->name, read->rows[read->count - 1].key);
        return;
    }
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, ow->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _ow_server *server = value;
        server->row_known =
            server->row_known || g_str_equal(server->zone, call->name);
    }
}

/* -- private: periodic work ----------------------------------------------- */

/* Runs everything that is due, and notes whether this process was paused since
   the last run. */
static void
_ow_work(ow_machine *ow, uint64_t now_us)
{
    ow->paused = ow->paused ||
                 (ow->started && now_us > ow->last_work_us + ow->usable_us);
    ow->last_work_us = now_us;
    if (!ow->started) {
        ow->started = true;
        ow->started_us = now_us;
    }
    _ow_assign_owners(ow);
    _ow_lease_work(ow, now_us);
    _ow_watch_work(ow, now_us);
    if (!ow->live_row_deleted) {
        _ow_scan_work(ow, now_us);
        _ow_server_work(ow, now_us);
    }
}

static er_code
_ow_feed_table(ow_machine *ow, uint64_t now_us, const co_table_result *result)
{
    if (!result) {
        return ER_BAD_REQUEST;
    }
    _ow_call *call = g_hash_table_lookup(ow->calls, &result->number);
    if (!call) {
        return ER_STALE;
    }
    g_hash_table_steal(ow->calls, &result->number);
    if (_co_is_table_answer(result->code)) {
        ow->last_answered_us = MAX(ow->last_answered_us, call->sent_us);
    }
    else {
        ow->failed = true;
        ow->last_failed_us = MAX(ow->last_failed_us, call->sent_us);
    }
    switch (call->kind) {
    case _OW_CALL_RENEW:
        _ow_lease_result(ow, now_us, call, result);
        break;
    case _OW_CALL_READ_CREATED:
        _ow_create_result(ow, now_us, call, result);
        break;
    case _OW_CALL_DELETE:
        _ow_delete_result(ow, now_us, result);
        break;
    case _OW_CALL_SCAN_OWNERS:
        _ow_scan_result(ow, now_us, call, result);
        break;
    case _OW_CALL_READ_PEER:
        _ow_watch_result(ow, now_us, call, result);
        break;
    case _OW_CALL_END_PEER:
        _ow_end_result(ow, now_us, call, result);
        break;
    default:
        _ow_server_result(ow, now_us, call, result);
        break;
    }
    _ow_call_clear(call);
    _ow_work(ow, now_us);
    return ER_OK;
}

er_code
ow_feed(ow_machine *ow, uint64_t now_us, const ow_event *event)
{
    switch (event->type) {
    case OW_EVENT_TICK:
        _ow_work(ow, now_us);
        return ER_OK;
    case OW_EVENT_TABLE:
        return _ow_feed_table(ow, now_us, event->table);
    case OW_EVENT_PEER_STATE:
    case OW_EVENT_HEARTBEAT_SENT:
    case OW_EVENT_PEER_STOPPED_WATCHING:
    case OW_EVENT_HEARTBEAT_RECEIVED:
    case OW_EVENT_HEARTBEAT_ACKED:
        return _ow_feed_peer(ow, now_us, event);
    case OW_EVENT_INSTANCE_GONE:
        return _ow_feed_instance_gone(ow, now_us, event);
    case OW_EVENT_OWNER_REPORTED:
    case OW_EVENT_OLD_OWNER_DRAINED:
    case OW_EVENT_FOREIGN_REQUESTS:
    case OW_EVENT_STREAMS_ENDED:
    case OW_EVENT_PROBE_RESULT:
    case OW_EVENT_FENCE_REFUSED:
        return _ow_feed_server(ow, now_us, event);
    default:
        return ER_BAD_REQUEST;
    }
}

/* -- creation and stop ---------------------------------------------------- */

static ow_desc
_ow_apply_defaults(const ow_desc *desc)
{
    ow_desc out = *desc;
    out.seed = desc->seed ? desc->seed : 1;
    out.lease_ms = _co_or_default(desc->lease_ms, 2500);
    out.lease_margin_ms = _co_or_default(desc->lease_margin_ms, 200);
    out.lease_indirect_ms = _co_or_default(desc->lease_indirect_ms, 12000);
    out.renew_ms = _co_or_default(desc->renew_ms, 5000);
    out.renew_fast_ms = _co_or_default(desc->renew_fast_ms, 1000);
    out.scan_interval_ms = _co_or_default(desc->scan_interval_ms, 3000);
    out.watch_interval_ms = _co_or_default(desc->watch_interval_ms, 250);
    out.table_silence_ms = _co_or_default(desc->table_silence_ms, 6000);
    out.rebalance_quiet_ms = _co_or_default(desc->rebalance_quiet_ms, 10000);
    out.order_lifetime_ms = _co_or_default(desc->order_lifetime_ms, 120000);
    out.server_capacity = _co_or_default(desc->server_capacity, 1024);
    out.peer_capacity = _co_or_default(desc->peer_capacity, 1024);
    return out;
}

ow_machine *
ow_create(const ow_desc *desc)
{
    if (!desc->instance || !desc->zone || !desc->incarnation) {
        return NULL;
    }
    ow_machine *ow = g_new0(ow_machine, 1);
    ow->desc = _ow_apply_defaults(desc);
    ow->instance = g_strdup(desc->instance);
    ow->zone = g_strdup(desc->zone);
    ow->incarnation = desc->incarnation;
    ow->lease_us = _co_ms_to_us(ow->desc.lease_ms);
    ow->usable_us = _co_ms_to_us(ow->desc.lease_ms - ow->desc.lease_margin_ms);
    ow->rand = g_rand_new_with_seed((guint32)ow->desc.seed);
    ow->outbox = _co_outbox_new(sizeof(ow_action));
    ow->servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, _ow_server_free);
    ow->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, _ow_peer_free);
    ow->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                      _ow_call_clear);
    ow->daemon_zones =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    ow->next_number = 1;
    return ow;
}

void
ow_destroy(ow_machine *ow)
{
    if (ow) {
        g_hash_table_unref(ow->servers);
        g_hash_table_unref(ow->peers);
        g_hash_table_unref(ow->calls);
        g_hash_table_unref(ow->daemon_zones);
        _co_outbox_free(ow->outbox);
        g_rand_free(ow->rand);
        g_free(ow->instance);
        g_free(ow->zone);
        g_free(ow);
    }
}

void
ow_stop(ow_machine *ow, uint64_t now_us)
{
    ow->stopping = true;
    ow->assignment_stale = true;
    _ow_work(ow, now_us);
}

bool
ow_next_action(ow_machine *ow, ow_action *action)
{
    return _co_outbox_pop(ow->outbox, action);
}

/* -- queries -------------------------------------------------------------- */

uint64_t
ow_query_wakeup_us(const ow_machine *ow)
{
    return ow->started ? ow->last_work_us + _OW_WORK_INTERVAL_US : 0;
}

ow_use
ow_query_use(const ow_machine *ow, uint64_t now_us, const char *name,
             uint64_t *fence)
{
    const _ow_server *server = g_hash_table_lookup(ow->servers, name);
    if (!server || server->contested || server->state == _OW_SERVER_OTHER ||
        server->state == _OW_SERVER_TAKING) {
        return OW_USE_NONE;
    }
    if (fence) {
        *fence = server->fence;
    }
    ow_use use = _ow_lease_use(ow, now_us, server->zone, server->checks_fence);
    if (use == OW_USE_FULL && now_us < server->evict_after_us) {
        use = OW_USE_NO_EVICTIONS;
    }
    /* The new owner may have the server already, and it evicts nothing for
       order_lifetime_ms unless it learns that the server is drained. Orders
       go out only in the first half of that time, so that they end within
       the second. */
    if (server->state == _OW_SERVER_HANDING_OVER && use != OW_USE_NONE) {
        uint64_t half_lifetime_us =
            _co_ms_to_us(ow->desc.order_lifetime_ms) / 2;
        use = now_us < server->handover_started_us + half_lifetime_us
                  ? OW_USE_NO_EVICTIONS
                  : OW_USE_NONE;
    }
    return use;
}

const char *
ow_query_owner(const ow_machine *ow, const char *name, uint64_t *fence)
{
    const _ow_server *server = g_hash_table_lookup(ow->servers, name);
    if (!server || !server->row.instance ||
        g_str_equal(server->row.instance, _OW_NO_INSTANCE)) {
        return NULL;
    }
    if (fence) {
        *fence = server->row.fence;
    }
    return server->row.instance;
}

uint32_t
ow_query_owned_count(const ow_machine *ow)
{
    GHashTableIter iter;
    void *value;
    uint32_t count = 0;
    g_hash_table_iter_init(&iter, ow->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const _ow_server *server = value;
        count += server->state == _OW_SERVER_OWNED ||
                 server->state == _OW_SERVER_HANDING_OVER;
    }
    return count;
}

bool
ow_query_stopped(const ow_machine *ow)
{
    return ow->stopping && ow->live_row_deleted;
}
