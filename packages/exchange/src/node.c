#include "node_private.h"

#include "lacewing/counter.h"
#include "lacewing/hash.h"
#include "lacewing/log.h"
#include <string.h>

/* Within this time a holder answers a load request. A datagram between zones
   and its answer take some ms. */
#define _ND_HOLDER_ANSWER_TIMEOUT_US 150000
/* A holder that did not answer is asked nothing for this long: about the time
   of a lease, after which another instance may hold it. */
#define _ND_HOLDER_COOLDOWN_US 3000000
/* The part of the instance's memory that buffered answers of servers may take;
   answers to callers, streams and requests need the rest. */
#define _ND_ANSWER_MEMORY_PART 4
/* Iterations of the loop of at least this length are logged: input that
   arrived meanwhile was not read. */
#define _ND_LONG_TURN_US 100000
/* Part of the grace period that is left when the last answers are broken
   off. */
#define _ND_STOP_RESERVE_US 500000
/* Period in which loads in progress at servers held here, and servers that
   broke off answers, are checked: a load of an adapter that is at hand takes
   25 ms. */
#define _ND_FAST_TICK_MS 20
/* Period of waiting requests and their time-outs, of leases, and of messages
   to other instances. */
#define _ND_TICK_MS 50
/* Callers' time-outs, idle connections, unlisted servers and relayed messages
   are handled on each second tick. Relaying every 20 ms woke each of 195
   instances up 150 times a second. */
#define _ND_TICKS_PER_SLOW_TICK 2
/* Interval in which changed counts of requests in flight are sent to every
   other instance; three times as long at 72 instances. A longer one made more
   streams late (docs/MEASURES.md). */
#define _ND_SEND_LOADS_US 90000
/* Interval in which the state of held servers is sent again, as datagrams may
   be lost. */
#define _ND_SEND_SERVERS_US 1000000
/* Above this number of instances the two intervals grow in proportion to the
   number, as each instance sends to all others, up to three times at
   _ND_MAX_INTERVAL_INSTANCES. */
#define _ND_BASE_INTERVAL_INSTANCES 24
#define _ND_MAX_INTERVAL_INSTANCES 72
/* Reads of the list of servers within drain_ms, after which a leaving server
   gets no new requests. */
#define _ND_SERVER_READS_PER_DRAIN 4
/* Reads of the operator's table, over all instances, within config_apply_ms,
   the time in which a configuration must be in force. */
#define _ND_OPERATOR_READS_PER_APPLY 4
/* The store is to answer at once: while it holds a call of one instance, the
   others, which have received nothing from that one, ask as well. */
#define _ND_FEED_WAIT_MS 1
/* Pause between reads of the own table until the first answer. */
#define _ND_OWN_TABLE_INITIAL_PAUSE_MS 400
/* The configuration counts as the newest if the store confirmed it at most
   this long ago. */
#define _ND_CONFIG_MAX_AGE_US 4000000
/* Time until the platform sends no more callers to a stopping instance: it
   checks /readyz once a second and removes an instance after two misses. */
#define _ND_STOP_DETECTION_US 2600000

/* -- private: adapters ---------------------------------------------------- */

/* Orders a load if this instance holds the server, else asks its holder. */
static void
_nd_on_load_wanted(fl_server *server, fl_adapter *adapter, const char *request,
                   void *user_data)
{
    nd_node *node = user_data;
    server->requested_loads++;
    if (!or_request_load(node->orderer, server, adapter) &&
        gp_request_load(node->peers, server, adapter, request) &&
        server->unanswered_load_request_us == 0) {
        /* The loop's time is that of the start of the iteration, which may
           be long ago. */
        server->unanswered_load_request_us = lp_query_clock_us();
    }
    nd_start_fast_timer(node);
}

/* Another instance asks for a load. Returns whether this instance holds the
   server. */
static bool
_nd_on_peer_load_request(fl_server *server, fl_adapter *adapter,
                         const char *request, void *user_data)
{
    nd_node *node = user_data;
    bool held = or_request_load(node->orderer, server, adapter);
    if (request) {
        lg_write(LG_LOAD_REQUESTED, "request", request, "server", server->id,
                 "adapter", adapter->key, "held", held ? "yes" : "no", NULL);
    }
    nd_start_fast_timer(node);
    return held;
}

static bool
_nd_on_load_capacity(fl_server *server, int32_t *out, void *user_data)
{
    return or_query_load_capacity(((nd_node *)user_data)->orderer, server,
                                  out);
}

static void
_nd_on_held_server_changed(fl_server *server, void *user_data)
{
    nd_node *node = user_data;
    gp_broadcast_server_state(node->peers, server, or_query_revision(server),
                              false);
    nd_wake_waiting_requests(server, node);
}

/* The server answered that it does not have the adapter loaded. */
static void
_nd_on_adapter_mismatch(fl_server *server, fl_adapter *adapter,
                        void *user_data)
{
    nd_node *node = user_data;
    if (or_query_held(server)) {
        or_invalidate(node->orderer, server);
        return;
    }
    fl_drop_copy(server, adapter);
}

static uint32_t
_nd_query_live_count(void *user_data)
{
    return le_query_live_count(((nd_node *)user_data)->lease);
}

static uint32_t
_nd_query_other_count(void *user_data)
{
    return le_query_live_peer_count(((nd_node *)user_data)->lease);
}

static bool
_nd_query_config_fresh(void *user_data)
{
    nd_node *node = user_data;
    uint64_t fresh_us = wt_query_fresh_us(node->operator_watch);
    return fresh_us && wt_query_reachable(node->operator_watch) &&
           lp_query_now_us(node->desc.loop) < fresh_us + _ND_CONFIG_MAX_AGE_US;
}

static const xc_callbacks _nd_core_callbacks = {
    .request_load = _nd_on_load_wanted,
    .mismatch = _nd_on_adapter_mismatch,
    .server_notice = nd_on_server_notice,
    .answer_broken = nd_on_answer_broken,
    .answer_good = nd_on_answer_good,
    .may_probe = nd_may_probe_content,
    .count_live = _nd_query_live_count,
    .count_staying_peers = _nd_query_other_count,
    .config_fresh = _nd_query_config_fresh,
    .find_origins = nd_find_origins,
    .stream_began = nd_on_stream_began,
    .origins_known = nd_query_origins_known,
    .store_lost_by_most = nd_query_store_lost_by_most};
static const gp_callbacks _nd_peer_callbacks = {
    .revision = or_query_revision,
    .row = nd_on_peer_row,
    .table_digest = nd_on_peer_digest,
    .load_requested = _nd_on_peer_load_request,
    .server_leaving = nd_on_peer_leaving,
    .server_limit = nd_on_peer_limit,
    .permits_asked = nd_on_permits_asked,
    .permits_granted = nd_on_permits_granted,
    .crash = nd_on_peer_crash,
    .blocked = nd_on_peer_block,
    .cleared = nd_on_peer_cleared,
    .load_capacity = _nd_on_load_capacity,
    .origins = nd_query_own_origins,
    .peer_origins = nd_on_peer_origins,
    .server_changed = nd_wake_waiting_requests};

/* -- private: /readyz and /metrics ---------------------------------------- */

static bool
_nd_query_ready(const nd_node *node)
{
    return node->config && node->servers_known && !node->stop_us;
}

static void *
_nd_on_status_request(cr_conn *conn, const h1_head *head, const char *body,
                      size_t body_count, void *user_data)
{
    (void)body;
    (void)body_count;
    nd_node *node = user_data;
    if (g_str_has_prefix(head->target, "/metrics")) {
        g_autofree char *text = ct_query_text();
        cr_respond(conn,
                   &(cr_answer){.status = 200,
                                .headers = "Content-Type: text/plain\r\n",
                                .body = text,
                                .body_count = strlen(text)});
        return NULL;
    }
    bool known = strcmp(head->target, "/readyz") == 0;
    cr_respond(conn, &(cr_answer){.status = !known                  ? 404
                                            : _nd_query_ready(node) ? 200
                                                                    : 503});
    return NULL;
}

static void
_nd_on_status_client_gone(void *request, cr_gone_reason why, void *user_data)
{
    (void)request;
    (void)why;
    (void)user_data;
}

static const cr_callbacks _nd_status_callbacks = {
    .request = _nd_on_status_request, .gone = _nd_on_status_client_gone};

/* -- private: periodic work ----------------------------------------------- */

/* Handles the waiting requests and the orders that are due. */
static void
_nd_run_due_work(nd_node *node)
{
    xc_tick(node->core);
    or_tick(node->orderer);
    cw_tick(node->crash_watch, lp_query_now_us(node->desc.loop));
    su_tick(node->suspects, lp_query_now_us(node->desc.loop));
}

static void
_nd_on_fast_timer(uint64_t now_us, void *user_data)
{
    (void)now_us;
    nd_node *node = user_data;
    node->fast_timer.id = 0;
    _nd_run_due_work(node);
    nd_start_fast_timer(node);
}

void
nd_start_fast_timer(nd_node *node)
{
    if (node->fast_timer.id == 0 && (or_query_work_pending(node->orderer) ||
                                     cw_query_pending(node->crash_watch) ||
                                     su_query_pending(node->suspects))) {
        node->fast_timer = tm_make_timer(
            node->timers, &(tm_timer_desc){.period_ms = _ND_FAST_TICK_MS,
                                           .once = true,
                                           .call = _nd_on_fast_timer,
                                           .user_data = node});
    }
}

typedef struct _nd_silent_holder {
    nd_node *node;
    const char *holder;
    uint64_t until_us;
} _nd_silent_holder;

static void
_nd_mark_holder_silent(fl_server *server, void *user_data)
{
    const _nd_silent_holder *silent = user_data;
    const char *holder = le_query_holder(silent->node->lease, server->id);
    if (g_strcmp0(holder, silent->holder) == 0) {
        server->unanswered_load_request_us = 0;
        server->holder_silent_until_us = silent->until_us;
    }
}

/* A holder answers each load request at once. One that does not is gone, cut
   off, or has lost its lease: none of its servers is used for loads during
   the cooldown. */
static void
_nd_check_holder_answer(nd_node *node, fl_server *server, uint64_t now_us)
{
    if (server->unanswered_load_request_us == 0 ||
        now_us < server->unanswered_load_request_us +
                     _ND_HOLDER_ANSWER_TIMEOUT_US) {
        return;
    }
    _nd_silent_holder silent = {.node = node,
                                .holder =
                                    le_query_holder(node->lease, server->id),
                                .until_us = now_us + _ND_HOLDER_COOLDOWN_US};
    server->unanswered_load_request_us = 0;
    lg_write(LG_HOLDER_SILENT, "server", server->id, NULL);
    if (silent.holder) {
        fl_each_server(node->fleet, _nd_mark_holder_silent, &silent);
    }
}

/* Updates whether the server can be given orders: by this instance if it is
   the holder, else by a holder that answers. */
static void
_nd_update_orders_possible(fl_server *server, void *user_data)
{
    nd_node *node = user_data;
    uint64_t now_us = lp_query_now_us(node->desc.loop);
    if (or_query_held(server)) {
        server->unanswered_load_request_us =
            0; /* this instance became its holder */
    }
    _nd_check_holder_answer(node, server, now_us);
    server->orders_possible =
        or_query_held(server) ||
        (now_us >= server->holder_silent_until_us &&
         le_query_holder(node->lease, server->id) != NULL);
}

static void
_nd_update_leases(nd_node *node)
{
    nd_send_lease_tx(node);
    fl_each_server(node->fleet, _nd_update_orders_possible, node);
    bool held =
        le_query_lease_valid(node->lease, lp_query_now_us(node->desc.loop));
    if (held != node->lease_held) {
        node->lease_held = held;
        lg_write(held ? LG_LEASE_ACQUIRED : LG_LEASE_LOST, NULL);
    }
}

static void
_nd_send_server_state(fl_server *server, void *user_data)
{
    nd_node *node = user_data;
    if (or_query_held(server)) {
        gp_broadcast_server_state(node->peers, server,
                                  or_query_revision(server), true);
    }
}

/* Returns the digest of a table and the time at which it was up to date; for
   the own table a successful write counts as well. */
static gp_table_digest
_nd_query_table_state(const nd_node *node, kr_table table)
{
    gp_table_digest known = {nd_query_digest(node, table),
                             wt_query_fresh_us(nd_query_watch(node, table))};
    if (table == KR_OWN) {
        known.at_us = MAX(known.at_us, node->own_written_us);
    }
    return known;
}

void
nd_send_table(nd_node *node, kr_table table)
{
    gp_table_digest known = _nd_query_table_state(node, table);
    gp_broadcast_table(node->peers, table, &known,
                       kr_query_changed_rows(node->known_rows, table));
    kr_clear_changed_rows(node->known_rows, table);
}

/* Returns the interval, lengthened where many instances send to each other. */
static uint64_t
_nd_query_send_interval_us(const nd_node *node, uint64_t base_us)
{
    uint32_t live = le_query_live_count(node->lease);
    return base_us *
           CLAMP(live, _ND_BASE_INTERVAL_INSTANCES,
                 _ND_MAX_INTERVAL_INSTANCES) /
           _ND_BASE_INTERVAL_INSTANCES;
}

static void
_nd_send_periodic_updates(nd_node *node)
{
    uint64_t now_us = lp_query_now_us(node->desc.loop);
    uint64_t interval_us = _nd_query_send_interval_us(node, _ND_SEND_LOADS_US);
    if (now_us >= node->loads_sent_us + interval_us) {
        node->loads_sent_us = now_us;
        qt_set_instance_count(node->quotas, le_query_live_count(node->lease));
        /* Others send at the same interval. */
        fl_set_report_age_ms(node->fleet, (double)interval_us / 2000.0);
        gp_table_digest own = _nd_query_table_state(node, KR_OWN);
        gp_broadcast_loads(node->peers, &own);
    }
    if (now_us >= node->servers_sent_us +
                      _nd_query_send_interval_us(node, _ND_SEND_SERVERS_US)) {
        node->servers_sent_us = now_us;
        fl_each_server(node->fleet, _nd_send_server_state, node);
        nd_send_blocks(node);
    }
}

static void
_nd_finish_stop(nd_node *node)
{
    if (node->stopped) {
        return;
    }
    node->stopped = true;
    lg_write(LG_STOPPED, NULL);
    if (node->desc.stopped) {
        node->desc.stopped(node->desc.user_data);
    }
}

/* Advances a stop. Idle connections are closed once the platform should have
   detected the stop. When no connection is left, or at the deadline, the
   leases are given up. The stop is complete when that is stored, or when half
   of the reserve has passed. */
static void
_nd_continue_stop(nd_node *node)
{
    uint64_t now_us = lp_query_now_us(node->desc.loop);
    uint64_t grace_us =
        (uint64_t)(node->desc.settings->grace_s * G_USEC_PER_SEC);
    uint64_t deadline_us = node->stop_us + grace_us - _ND_STOP_RESERVE_US;
    bool stop_detected = now_us >= node->stop_us + _ND_STOP_DETECTION_US;
    xc_set_leave_time(node->core, deadline_us, stop_detected);
    if (!stop_detected) {
        return;
    }
    cr_close_idle(node->caller_port);
    bool idle = cr_query_busy_connections(node->caller_port) == 0 &&
                cr_query_open_connections(node->caller_port) == 0;
    if (idle || now_us >= deadline_us) {
        le_leave(node->lease);
    }
    if ((idle && le_query_all_given_up(node->lease)) ||
        now_us >= deadline_us + _ND_STOP_RESERVE_US / 2) {
        _nd_finish_stop(node);
    }
}

static void
_nd_run_slow_work(nd_node *node)
{
    uint64_t now_us = lp_query_now_us(node->desc.loop);
    cr_tick(node->caller_port, now_us);
    cr_tick(node->status_port, now_us);
    nd_remove_unlisted_servers(node);
    nd_review_notices(node);
    wt_set_poll_rank(node->operator_watch,
                     gp_query_poll_position(node->peers, KR_OPERATOR));
    wt_set_poll_rank(node->server_watch,
                     gp_query_poll_position(node->peers, KR_SERVERS));
    if (!node->ready_logged && _nd_query_ready(node)) {
        node->ready_logged = true;
        lg_write(LG_PEER_READY, NULL);
    }
    if (node->stop_us) {
        _nd_continue_stop(node);
    }
}

static void
_nd_log_long_turn(nd_node *node)
{
    uint64_t longest_us = lp_take_longest_turn_us(node->desc.loop);
    if (longest_us < _ND_LONG_TURN_US) {
        return;
    }
    char ms[24];
    g_snprintf(ms, sizeof(ms), "%" G_GUINT64_FORMAT, longest_us / 1000);
    ct_add(CT_LONG_TURNS, 1);
    lg_write(LG_LONG_TURN, "ms", ms, NULL);
}

static void
_nd_on_tick(uint64_t now_us, void *user_data)
{
    (void)now_us;
    nd_node *node = user_data;
    _nd_log_long_turn(node);
    _nd_run_due_work(node);
    nd_run_limits(node);
    _nd_update_leases(node);
    _nd_send_periodic_updates(node);
    nd_run_streams(node);
    if (++node->tick_count % _ND_TICKS_PER_SLOW_TICK == 0) {
        _nd_run_slow_work(node);
        gp_flush_relayed(node->peers);
    }
    nd_start_fast_timer(node);
}

/* -- private: setup ------------------------------------------------------- */

static wt_watch *
_nd_create_watch(nd_node *node, const char *table, uint32_t pause_ms,
                 const wt_callbacks *callbacks)
{
    return wt_create(&(wt_desc){.client = node->client,
                                .loop = node->desc.loop,
                                .timers = node->timers,
                                .dialect = node->desc.dialect,
                                .address = node->desc.settings->store,
                                .table = table,
                                .pause_ms = pause_ms,
                                .wait_ms = _ND_FEED_WAIT_MS,
                                .group = &node->store,
                                .callbacks = callbacks,
                                .user_data = node});
}

static void
_nd_create_watches(nd_node *node)
{
    const dl_dialect *dialect = node->desc.dialect;
    const nd_settings *settings = node->desc.settings;
    node->operator_watch = _nd_create_watch(node, dialect->operator_table,
                                            settings->config_apply_ms /
                                                _ND_OPERATOR_READS_PER_APPLY,
                                            &nd_operator_callbacks);
    node->server_watch = _nd_create_watch(
        node, dialect->server_table,
        settings->drain_ms / _ND_SERVER_READS_PER_DRAIN, &nd_server_callbacks);
    node->own_watch =
        _nd_create_watch(node, dialect->own_table,
                         _ND_OWN_TABLE_INITIAL_PAUSE_MS, &nd_own_callbacks);
}

static char *
_nd_peer_address(const nd_settings *settings)
{
    g_auto(GStrv) ports = g_strsplit(settings->peer_ports, ",", 2);
    return g_strdup_printf("%s:%s", settings->peer_ip,
                           ports[0] ? ports[0] : "0");
}

static void
_nd_create_parts(nd_node *node, const char *peer_address)
{
    const nd_settings *settings = node->desc.settings;
    lp_loop *loop = node->desc.loop;
    node->timers = tm_create(&(tm_desc){0});
    node->hub = nc_create(&(nc_hub_desc){.loop = loop});
    node->client = hc_create(
        &(hc_desc){.hub = node->hub, .loop = loop, .timers = node->timers});
    node->fleet = fl_create(&(fl_desc){.rollout_ms = settings->version_ms,
                                       .drain_ms = settings->drain_ms,
                                       .max_pause_s = settings->pause_most_s,
                                       .seed = g_random_int() | 1U});
    node->lease =
        le_create(&(le_desc){.instance = settings->instance,
                             .zone = settings->zone,
                             .address = peer_address,
                             .link_mbps = (uint32_t)settings->link_mbps,
                             .incarnation = node->incarnation,
                             .lease_ms = settings->lease_ms});
    node->orderer =
        or_create(&(or_desc){.client = node->client,
                             .loop = loop,
                             .fleet = node->fleet,
                             .lease = node->lease,
                             .dialect = node->desc.dialect,
                             .instance = settings->instance,
                             .server_changed = _nd_on_held_server_changed,
                             .server_notice = nd_on_server_notice,
                             .user_data = node});
    node->crash_watch = cw_create(
        &(cw_desc){.callbacks = &nd_crash_callbacks, .user_data = node});
    node->suspects = su_create(&(su_desc){.callbacks = &nd_suspects_callbacks,
                                          .seed = node->incarnation,
                                          .user_data = node});
    node->quotas = qt_create();
    g_autofree char *row_key = nd_make_streams_key(settings->instance);
    node->origins = so_create(&(so_desc){.writer = hs_u64(row_key),
                                         .incarnation = node->incarnation});
    node->streams.obsolete = g_ptr_array_new_with_free_func(g_free);
    node->streams.peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    node->core = xc_create(&(xc_desc){
        .loop = loop,
        .hub = node->hub,
        .fleet = node->fleet,
        .suspects = node->suspects,
        .quotas = node->quotas,
        .origins = node->origins,
        .dialect = node->desc.dialect,
        .zone = settings->zone,
        .max_answer_bytes =
            settings->memory_mb * UINT64_C(1000000) / _ND_ANSWER_MEMORY_PART,
        .retry_ratio = settings->retry_ratio,
        .retry_slack = settings->retry_slack,
        .retry_window_ms = (uint32_t)(settings->retry_window_s * 1000),
        .callbacks = &_nd_core_callbacks,
        .user_data = node});
}

static bool
_nd_create_ports(nd_node *node, const char *peer_address, er_status *status)
{
    const nd_settings *settings = node->desc.settings;
    node->peers =
        gp_create(&(gp_desc){.loop = node->desc.loop,
                             .fleet = node->fleet,
                             .lease = node->lease,
                             .quotas = node->quotas,
                             .instance = settings->instance,
                             .zone = settings->zone,
                             .address = peer_address,
                             .link_mbps = (uint32_t)settings->link_mbps,
                             .incarnation = node->incarnation,
                             .callbacks = &_nd_peer_callbacks,
                             .user_data = node},
                  status);
    node->status_port =
        cr_create(&(cr_desc){.hub = node->hub,
                             .loop = node->desc.loop,
                             .address = settings->ready,
                             .callbacks = &_nd_status_callbacks,
                             .user_data = node},
                  status);
    node->caller_port =
        cr_create(&(cr_desc){.hub = node->hub,
                             .loop = node->desc.loop,
                             .address = settings->listen,
                             .callbacks = xc_query_caller_callbacks(),
                             .user_data = node->core},
                  status);
    return node->peers && node->status_port && node->caller_port;
}

nd_node *
nd_create(const nd_desc *desc, er_status *status)
{
    g_assert(desc->settings && desc->dialect && desc->loop);
    nd_node *node = g_new0(nd_node, 1);
    node->desc = *desc;
    /* The lower bits count the registrations of this process, see
       le_drop_registration(). */
    node->incarnation = ((uint64_t)g_random_int() << 20) | 1;
    node->store.watches = g_ptr_array_new();
    node->known_rows = kr_create();
    node->limit_shares = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                               (GDestroyNotify)ls_destroy);
    node->tx_rows = dl_make_rows();
    node->unlisted_servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_autofree char *peer_address = _nd_peer_address(desc->settings);
    _nd_create_parts(node, peer_address);
    if (!_nd_create_ports(node, peer_address, status)) {
        nd_destroy(node);
        return NULL;
    }
    _nd_create_watches(node);
    node->tick =
        tm_make_timer(node->timers, &(tm_timer_desc){.period_ms = _ND_TICK_MS,
                                                     .call = _nd_on_tick,
                                                     .user_data = node});
    return node;
}

void
nd_destroy(nd_node *node)
{
    if (!node) {
        return;
    }
    wt_destroy(node->operator_watch);
    wt_destroy(node->server_watch);
    wt_destroy(node->own_watch);
    cr_destroy(node->caller_port);
    cr_destroy(node->status_port);
    xc_destroy(node->core);
    cw_destroy(node->crash_watch);
    qt_destroy(node->quotas);
    so_destroy(node->origins);
    g_ptr_array_unref(node->streams.obsolete);
    g_hash_table_unref(node->streams.peers);
    g_free(node->streams.page_after);
    su_destroy(node->suspects);
    hc_destroy(node->client);
    or_destroy(node->orderer);
    gp_destroy(node->peers);
    le_destroy(node->lease);
    fl_destroy(node->fleet);
    tm_destroy(node->timers);
    nc_destroy(node->hub);
    rc_unref(node->config);
    g_hash_table_unref(node->unlisted_servers);
    kr_destroy(node->known_rows);
    g_hash_table_unref(node->limit_shares);
    g_ptr_array_unref(node->store.watches);
    g_array_unref(node->tx_rows);
    g_clear_pointer(&node->servers_in_read, g_hash_table_unref);
    g_free(node);
}

void
nd_reload(nd_node *node, const nd_settings *settings)
{
    (void)node;
    lg_write(LG_SETTINGS_READ, "instance", settings->instance, NULL);
}

void
nd_stop(nd_node *node)
{
    if (node->stop_us) {
        return;
    }
    node->stop_us = lp_query_now_us(node->desc.loop);
    lg_write(LG_STOPPING, NULL);
    le_announce_leave(node->lease);
    cr_disable_keep_alive(node->caller_port);
}
