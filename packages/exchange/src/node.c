#include "node_private.h"

#include "lacewing/counter.h"
#include "lacewing/log.h"
#include <string.h>

/* Between zones a datagram and its answer take some ms. */
#define _ND_ASK_ANSWER_US 150000
/* About the time of a lease, after which another instance may hold it. */
#define _ND_HOLDER_SILENT_US 3000000
/* A turn of the loop that took as long is logged: what came meanwhile was
   not read. */
#define _ND_LONG_TURN_US 100000
/* Left of the grace period when the last answers are broken off. */
#define _ND_LAST_US 500000
/* Loads under way of servers held here are looked at this often: one that is
   at hand takes 25 ms. */
#define _ND_FAST_MS 20
/* Requests that wait or time out, leases, words to other instances. */
#define _ND_BEAT_MS 50
/* Callers' time-outs, idle connections, lapsed servers, words that are passed
   on: each second beat. Passed on each 20 ms, they woke each of 195 instances
   up 150 times a second. */
#define _ND_SLOW_BEATS 2
/* Requests under way that changed are told to each other instance this often,
   at 72 instances three times as rarely; still more rarely, more streams were
   late (docs/MEASURES.md). */
#define _ND_TELL_LOADS_US 90000
/* What servers hold is told again, for datagrams that were lost. */
#define _ND_TELL_SERVERS_US 1000000
/* Above so many instances the pauses grow with their number, up to three
   times: each tells all others. */
#define _ND_TELL_INSTANCES 24
#define _ND_TELL_MOST 72
/* A leaving server gets nothing new within the drain time: the list is read
   this many times in it. */
#define _ND_SERVER_READS 4
/* Calls of the operator's table, over all instances, in the time that a
   configuration has. */
#define _ND_OPERATOR_READS 4
/* The store answers at once: while it holds a call of one instance, others
   that have not heard of it ask as well. */
#define _ND_FEED_WAIT_MS 1
/* Until the first answer. */
#define _ND_OWN_TABLE_PAUSE_MS 400
/* A configuration is the newest when the store said so this lately. */
#define _ND_CONFIG_FRESH_US 4000000
/* The platform asks once a second and takes an instance out after two
   misses. */
#define _ND_NOTICE_US 2600000

static void _nd_hurry(nd_node *node);

/* -- private: adapters ---------------------------------------------------- */

static void
_nd_on_ask(fl_server *server, fl_adapter *adapter, const char *request,
           void *user_data)
{
    nd_node *node = user_data;
    server->asks++;
    if (!or_want(node->orderer, server, adapter) &&
        gp_ask(node->peers, server, adapter, request) &&
        server->asked_us == 0) {
        /* The turn may have begun long before. */
        server->asked_us = lp_query_clock_us();
    }
    _nd_hurry(node);
}

static bool
_nd_on_asked(fl_server *server, fl_adapter *adapter, const char *request,
             void *user_data)
{
    nd_node *node = user_data;
    bool held = or_want(node->orderer, server, adapter);
    if (request) {
        lg_write(LG_ORDER_ASKED, "request", request, "server", server->id,
                 "adapter", adapter->key, "held", held ? "yes" : "no", NULL);
    }
    _nd_hurry(node);
    return held;
}

static bool
_nd_on_room(fl_server *server, int32_t *out, void *user_data)
{
    return or_query_room(((nd_node *)user_data)->orderer, server, out);
}

static void
_nd_on_held_changed(fl_server *server, void *user_data)
{
    nd_node *node = user_data;
    gp_tell_server(node->peers, server, or_query_number(server), false);
    nd_wake_server(server, node);
}

static void
_nd_on_mismatch(fl_server *server, fl_adapter *adapter, void *user_data)
{
    nd_node *node = user_data;
    if (or_query_held(server)) {
        or_mismatch(node->orderer, server);
        return;
    }
    fl_drop_copy(server, adapter);
}

static uint32_t
_nd_live(void *user_data)
{
    return le_query_live(((nd_node *)user_data)->lease);
}

static uint32_t
_nd_others(void *user_data)
{
    return le_query_others(((nd_node *)user_data)->lease);
}

static bool
_nd_config_fresh(void *user_data)
{
    nd_node *node = user_data;
    uint64_t fresh_us = wt_query_fresh_us(node->operator_watch);
    return fresh_us && wt_query_reachable(node->operator_watch) &&
           lp_query_now_us(node->desc.loop) < fresh_us + _ND_CONFIG_FRESH_US;
}

static const xc_calls _nd_core_calls = {.request_load = _nd_on_ask,
                                        .mismatch = _nd_on_mismatch,
                                        .server_notice = nd_on_heard,
                                        .count_live = _nd_live,
                                        .count_staying_peers = _nd_others,
                                        .config_fresh = _nd_config_fresh};
static const gp_calls _nd_peer_calls = {.number = or_query_number,
                                        .row = nd_on_told_row,
                                        .known = nd_on_known,
                                        .asked = _nd_on_asked,
                                        .leaving = nd_on_told_leaving,
                                        .room = _nd_on_room,
                                        .changed = nd_wake_server};

/* -- private: pages ------------------------------------------------------- */

static bool
_nd_ready(const nd_node *node)
{
    return node->table && node->servers_known && !node->stop_us;
}

static void *
_nd_on_page(cr_conn *conn, const h1_head *head, const char *body,
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
    cr_respond(conn, &(cr_answer){.status = !known            ? 404
                                            : _nd_ready(node) ? 200
                                                              : 503});
    return NULL;
}

static void
_nd_on_page_gone(void *request, void *user_data)
{
    (void)request;
    (void)user_data;
}

static const cr_calls _nd_page_calls = {.request = _nd_on_page,
                                        .gone = _nd_on_page_gone};

/* -- private: time -------------------------------------------------------- */

static void
_nd_look(nd_node *node)
{
    xc_tick(node->core);
    or_tick(node->orderer);
}

static void
_nd_on_fast(uint64_t now_us, void *user_data)
{
    (void)now_us;
    nd_node *node = user_data;
    node->fast.id = 0;
    _nd_look(node);
    _nd_hurry(node);
}

/* Looks again soon if there is anything to look at. */
static void
_nd_hurry(nd_node *node)
{
    if (node->fast.id == 0 && or_query_loading(node->orderer)) {
        node->fast = tm_make_timer(node->timers,
                                   &(tm_timer_desc){.period_ms = _ND_FAST_MS,
                                                    .once = true,
                                                    .call = _nd_on_fast,
                                                    .user_data = node});
    }
}

typedef struct _nd_silence {
    nd_node *node;
    const char *holder;
    uint64_t until_us;
} _nd_silence;

static void
_nd_pass_over(fl_server *server, void *user_data)
{
    const _nd_silence *silence = user_data;
    const char *holder = le_query_holder(silence->node->lease, server->id);
    if (g_strcmp0(holder, silence->holder) == 0) {
        server->asked_us = 0;
        server->holder_silent_until_us = silence->until_us;
    }
}

/* A holder answers each ask at once. One that does not is gone, cut off, or
   has no lease any more: others are asked for some time. */
static void
_nd_note_silence(nd_node *node, fl_server *server, uint64_t now_us)
{
    if (server->asked_us == 0 ||
        now_us < server->asked_us + _ND_ASK_ANSWER_US) {
        return;
    }
    _nd_silence silence = {.node = node,
                           .holder = le_query_holder(node->lease, server->id),
                           .until_us = now_us + _ND_HOLDER_SILENT_US};
    server->asked_us = 0;
    lg_write(LG_HOLDER_SILENT, "server", server->id, NULL);
    if (silence.holder) {
        fl_each_server(node->fleet, _nd_pass_over, &silence);
    }
}

static void
_nd_mark_orders(fl_server *server, void *user_data)
{
    nd_node *node = user_data;
    uint64_t now_us = lp_query_now_us(node->desc.loop);
    if (or_query_held(server)) {
        server->asked_us = 0; /* it came to us meanwhile */
    }
    _nd_note_silence(node, server, now_us);
    server->orders_possible =
        or_query_held(server) ||
        (now_us >= server->holder_silent_until_us &&
         le_query_holder(node->lease, server->id) != NULL);
}

static void
_nd_control(nd_node *node)
{
    nd_write_tx(node);
    fl_each_server(node->fleet, _nd_mark_orders, node);
    bool held = le_query_held(node->lease, lp_query_now_us(node->desc.loop));
    if (held != node->lease_held) {
        node->lease_held = held;
        lg_write(held ? LG_LEASE_GOT : LG_LEASE_GONE, NULL);
    }
}

static void
_nd_tell_held(fl_server *server, void *user_data)
{
    nd_node *node = user_data;
    if (or_query_held(server)) {
        gp_tell_server(node->peers, server, or_query_number(server), true);
    }
}

static gp_known
_nd_known(const nd_node *node, nw_table table)
{
    gp_known known = {nd_query_digest(node, table),
                      wt_query_fresh_us(nd_watch_of(node, table))};
    if (table == NW_OWN) {
        known.at_us = MAX(known.at_us, node->own_written_us);
    }
    return known;
}

void
nd_tell_table(nd_node *node, nw_table table)
{
    gp_known known = _nd_known(node, table);
    gp_tell_table(node->peers, table, &known,
                  nw_query_rows(node->news, table));
    nw_clear_rows(node->news, table);
}

/* Words are rarer where many instances tell them to each other. */
static uint64_t
_nd_tell_pause_us(const nd_node *node, uint64_t pause_us)
{
    uint32_t live = le_query_live(node->lease);
    return pause_us * CLAMP(live, _ND_TELL_INSTANCES, _ND_TELL_MOST) /
           _ND_TELL_INSTANCES;
}

static void
_nd_tell(nd_node *node)
{
    uint64_t clock_us = lp_query_now_us(node->desc.loop);
    if (clock_us >=
        node->told_loads_us + _nd_tell_pause_us(node, _ND_TELL_LOADS_US)) {
        node->told_loads_us = clock_us;
        gp_known own = _nd_known(node, NW_OWN);
        gp_tell_load(node->peers, &own);
    }
    if (clock_us >=
        node->told_servers_us + _nd_tell_pause_us(node, _ND_TELL_SERVERS_US)) {
        node->told_servers_us = clock_us;
        fl_each_server(node->fleet, _nd_tell_held, node);
    }
}

static void
_nd_end_stop(nd_node *node)
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

static void
_nd_look_at_stop(nd_node *node)
{
    uint64_t now_us = lp_query_now_us(node->desc.loop);
    uint64_t grace_us =
        (uint64_t)(node->desc.settings->grace_s * G_USEC_PER_SEC);
    uint64_t last_us = node->stop_us + grace_us - _ND_LAST_US;
    bool noticed = now_us >= node->stop_us + _ND_NOTICE_US;
    xc_set_leave_time(node->core, last_us, noticed);
    if (!noticed) {
        return;
    }
    cr_close_idle(node->callers);
    bool idle = cr_query_busy_connections(node->callers) == 0 &&
                cr_query_open_connections(node->callers) == 0;
    if (idle || now_us >= last_us) {
        le_leave(node->lease);
    }
    if ((idle && le_query_given_up(node->lease)) ||
        now_us >= last_us + _ND_LAST_US / 2) {
        _nd_end_stop(node);
    }
}

static void
_nd_look_slowly(nd_node *node)
{
    uint64_t clock_us = lp_query_now_us(node->desc.loop);
    cr_tick(node->callers, clock_us);
    cr_tick(node->pages, clock_us);
    nd_end_lapsed(node);
    nd_look_at_notices(node);
    wt_set_turn(node->operator_watch, gp_query_turn(node->peers, NW_OPERATOR));
    wt_set_turn(node->server_watch, gp_query_turn(node->peers, NW_SERVERS));
    if (!node->ready_said && _nd_ready(node)) {
        node->ready_said = true;
        lg_write(LG_PEER_READY, NULL);
    }
    if (node->stop_us) {
        _nd_look_at_stop(node);
    }
}

static void
_nd_note_long_turn(nd_node *node)
{
    uint64_t longest_us = lp_take_longest_turn_us(node->desc.loop);
    if (longest_us < _ND_LONG_TURN_US) {
        return;
    }
    char ms[24];
    g_snprintf(ms, sizeof(ms), "%" G_GUINT64_FORMAT, longest_us / 1000);
    ct_add(CT_LONG_TURNS, 1);
    lg_write(LG_TURN_LONG, "ms", ms, NULL);
}

static void
_nd_on_beat(uint64_t now_us, void *user_data)
{
    (void)now_us;
    nd_node *node = user_data;
    _nd_note_long_turn(node);
    _nd_look(node);
    _nd_control(node);
    _nd_tell(node);
    if (++node->beats % _ND_SLOW_BEATS == 0) {
        _nd_look_slowly(node);
        gp_pass_on(node->peers);
    }
    _nd_hurry(node);
}

/* -- private: making ------------------------------------------------------ */

static wt_watch *
_nd_watch(nd_node *node, const char *table, uint32_t pause_ms,
          const wt_calls *calls)
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
                                .calls = calls,
                                .user_data = node});
}

static void
_nd_make_watches(nd_node *node)
{
    const dl_dialect *dialect = node->desc.dialect;
    const nd_settings *settings = node->desc.settings;
    node->operator_watch = _nd_watch(
        node, dialect->operator_table,
        settings->config_apply_ms / _ND_OPERATOR_READS, &nd_operator_calls);
    node->server_watch =
        _nd_watch(node, dialect->server_table,
                  settings->drain_ms / _ND_SERVER_READS, &nd_server_calls);
    node->own_watch = _nd_watch(node, dialect->own_table,
                                _ND_OWN_TABLE_PAUSE_MS, &nd_own_calls);
}

static char *
_nd_peer_address(const nd_settings *settings)
{
    g_auto(GStrv) ports = g_strsplit(settings->peer_ports, ",", 2);
    return g_strdup_printf("%s:%s", settings->peer_ip,
                           ports[0] ? ports[0] : "0");
}

static void
_nd_make_parts(nd_node *node, const char *peer_address)
{
    const nd_settings *settings = node->desc.settings;
    lp_loop *loop = node->desc.loop;
    node->timers = tm_create(&(tm_desc){0});
    node->hub = nc_create(&(nc_hub_desc){.loop = loop});
    node->client = hc_create(
        &(hc_desc){.hub = node->hub, .loop = loop, .timers = node->timers});
    node->fleet = fl_create(&(fl_desc){.version_ms = settings->version_ms,
                                       .drain_ms = settings->drain_ms,
                                       .pause_most_s = settings->pause_most_s,
                                       .seed = g_random_int() | 1U});
    node->lease =
        le_create(&(le_desc){.instance = settings->instance,
                             .zone = settings->zone,
                             .address = peer_address,
                             .link_mbps = (uint32_t)settings->link_mbps,
                             .incarnation = node->incarnation,
                             .lease_ms = settings->lease_ms});
    node->orderer = or_create(&(or_desc){.client = node->client,
                                         .loop = loop,
                                         .fleet = node->fleet,
                                         .lease = node->lease,
                                         .dialect = node->desc.dialect,
                                         .instance = settings->instance,
                                         .changed = _nd_on_held_changed,
                                         .heard = nd_on_heard,
                                         .user_data = node});
    node->core = xc_create(&(xc_desc){
        .loop = loop,
        .hub = node->hub,
        .fleet = node->fleet,
        .dialect = node->desc.dialect,
        .zone = settings->zone,
        .retry_ratio = settings->retry_ratio,
        .retry_slack = settings->retry_slack,
        .retry_window_ms = (uint32_t)(settings->retry_window_s * 1000),
        .calls = &_nd_core_calls,
        .user_data = node});
}

static bool
_nd_make_ports(nd_node *node, const char *peer_address, er_status *status)
{
    const nd_settings *settings = node->desc.settings;
    node->peers =
        gp_create(&(gp_desc){.loop = node->desc.loop,
                             .fleet = node->fleet,
                             .lease = node->lease,
                             .instance = settings->instance,
                             .zone = settings->zone,
                             .address = peer_address,
                             .link_mbps = (uint32_t)settings->link_mbps,
                             .incarnation = node->incarnation,
                             .calls = &_nd_peer_calls,
                             .user_data = node},
                  status);
    node->pages = cr_create(&(cr_desc){.hub = node->hub,
                                       .loop = node->desc.loop,
                                       .address = settings->ready,
                                       .calls = &_nd_page_calls,
                                       .user_data = node},
                            status);
    node->callers = cr_create(&(cr_desc){.hub = node->hub,
                                         .loop = node->desc.loop,
                                         .address = settings->listen,
                                         .calls = xc_query_caller_calls(),
                                         .user_data = node->core},
                              status);
    return node->peers && node->pages && node->callers;
}

nd_node *
nd_create(const nd_desc *desc, er_status *status)
{
    g_assert(desc->settings && desc->dialect && desc->loop);
    nd_node *node = g_new0(nd_node, 1);
    node->desc = *desc;
    node->incarnation = ((uint64_t)g_random_int() << 20) | 1;
    node->store.watches = g_ptr_array_new();
    node->news = nw_create();
    node->tx_rows = dl_make_rows();
    node->lapsed =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_autofree char *peer_address = _nd_peer_address(desc->settings);
    _nd_make_parts(node, peer_address);
    if (!_nd_make_ports(node, peer_address, status)) {
        nd_destroy(node);
        return NULL;
    }
    _nd_make_watches(node);
    node->beat =
        tm_make_timer(node->timers, &(tm_timer_desc){.period_ms = _ND_BEAT_MS,
                                                     .call = _nd_on_beat,
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
    cr_destroy(node->callers);
    cr_destroy(node->pages);
    xc_destroy(node->core);
    hc_destroy(node->client);
    or_destroy(node->orderer);
    gp_destroy(node->peers);
    le_destroy(node->lease);
    fl_destroy(node->fleet);
    tm_destroy(node->timers);
    nc_destroy(node->hub);
    rc_unref(node->table);
    g_hash_table_unref(node->lapsed);
    nw_destroy(node->news);
    g_ptr_array_unref(node->store.watches);
    g_array_unref(node->tx_rows);
    g_clear_pointer(&node->read_servers, g_hash_table_unref);
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
    cr_disable_keep_alive(node->callers);
}
