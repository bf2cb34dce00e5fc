#include "lacewing/exchange.h"

#include "caller.h"
#include "exchange.h"
#include "gossip.h"
#include "lacewing/call.h"
#include "lacewing/counter.h"
#include "lacewing/hash.h"
#include "lacewing/log.h"
#include "lease.h"
#include "orderer.h"
#include "watch.h"
#include <string.h>

/* Requests that wait or time out are looked at this often. */
#define _ND_TICK_MS 20
/* Callers' time-outs, idle connections, lapsed servers. */
#define _ND_SLOW_TICK_MS 100
#define _ND_CONTROL_MS 50
/* Requests under way are told to other instances this often; more rarely the
   more there are. */
#define _ND_TELL_MS 250
#define _ND_TELL_MS_PER_PEER 8
/* What servers hold is told again, for datagrams that were lost. */
#define _ND_TELL_SERVERS_US 1000000
/* A leaving server gets nothing new within the drain time: the list is read
   this many times in it. */
#define _ND_SERVER_READS 4
/* Calls of the operator's table, over all instances, in the time that a
   configuration has; the store holds each for a short while. */
#define _ND_OPERATOR_READS 4
#define _ND_OPERATOR_WAIT_MS 100
/* Until the first answer. */
#define _ND_OWN_TABLE_PAUSE_MS 400
/* A configuration is the newest when the store said so this lately. */
#define _ND_CONFIG_FRESH_US 4000000
/* Servers that are missing after the store was away have this long to come
   back; the platform's word is about 2 s. */
#define _ND_LAPSED_US 1700000
/* The word of a holder counts more than the list for this long. */
#define _ND_HOLDER_WORD_US 4000000
/* The platform asks once a second and takes an instance out after two
   misses. */
#define _ND_NOTICE_US 2600000
/* Left of the grace period when the last answers are broken off. */
#define _ND_LAST_US 500000
#define _ND_TX_TIMEOUT_MS 1200

struct nd_node {
    nd_desc desc;
    tm_service *timers;
    nc_hub *hub;
    hc_client *client;
    fl_fleet *fleet;
    le_lease *lease;
    or_orderer *orderer;
    gp_peers *peers;
    xc_core *core;
    cr_port *callers;
    cr_port *pages;
    wt_watch *operator_watch;
    wt_watch *server_watch;
    wt_watch *own_watch;
    rc_table *table;
    GHashTable *lapsed;       /* server id -> when it goes, in us */
    GHashTable *read_servers; /* ids of the read under way; or NULL */
    bool servers_known;
    GHashTable *row_digests; /* key of a row -> its digest, both tables */
    uint64_t digests[GP_TABLE_NUM];
    uint64_t own_regained_us;
    uint64_t own_written_us; /* when a transaction of the own table held */
    bool lease_held;
    bool ready_said;
    tm_timer ticks[4];
    uint64_t told_servers_us;
    uint64_t incarnation;
    uint64_t stop_us; /* when the stop began; 0: none */
    bool idle_closed;
    bool stopped;
};

/* -- private: digests of tables ------------------------------------------ */

/* Replaces a row's part in the digest of its table; 0: the row is gone. */
static void
_nd_digest(nd_node *node, gp_table table, const char *key, uint64_t digest)
{
    g_autofree char *name = g_strdup_printf("%d/%s", (int)table, key);
    uint64_t *old = g_hash_table_lookup(node->row_digests, name);
    node->digests[table] ^= old ? *old : 0;
    node->digests[table] ^= digest;
    if (digest == 0) {
        g_hash_table_remove(node->row_digests, name);
        return;
    }
    uint64_t *kept = g_new(uint64_t, 1);
    *kept = digest;
    g_hash_table_replace(node->row_digests, g_steal_pointer(&name), kept);
}

static uint64_t
_nd_digest_of(const char *key, uint64_t number, uint64_t other)
{
    g_autofree char *text = g_strdup_printf(
        "%s/%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT, key, number, other);
    return hs_u64(text);
}

static wt_watch *
_nd_watch_of(const nd_node *node, gp_table table)
{
    return table == GP_OPERATOR  ? node->operator_watch
           : table == GP_SERVERS ? node->server_watch
                                 : node->own_watch;
}

/* Another instance knows as much: no need to ask. It knows something else,
   and later: the store has news. */
static void
_nd_on_known(gp_table table, const gp_known *known, void *user_data)
{
    nd_node *node = user_data;
    wt_watch *watch = _nd_watch_of(node, table);
    bool same = known->digest == node->digests[table];
    if (same && table != GP_OWN) {
        wt_note_fresh(watch, known->at_us);
    }
    else if (!same && known->at_us > wt_query_fresh_us(watch)) {
        wt_ask_now(watch);
    }
}

/* -- private: configuration
 * --------------------------------------------------------- */

/* Servers that run models take orders, from whoever holds their lease. */
static void
_nd_offer(fl_server *server, void *user_data)
{
    nd_node *node = user_data;
    const rc_service *service =
        node->table ? rc_query_service(node->table, server->service) : NULL;
    if (server->state == FL_READY && service && service->engine) {
        le_put_server(node->lease, server->id, server->zone);
    }
}

static void
_nd_take_config(nd_node *node, rc_table *table)
{
    if (node->table &&
        rc_query_version(table) <= rc_query_version(node->table)) {
        return; /* never back to an older one */
    }
    rc_unref(node->table);
    node->table = rc_ref(table);
    xc_set_table(node->core, table);
    or_set_table(node->orderer, table);
    cr_set_limits(node->callers, rc_query_limits(table));
    fl_each_server(node->fleet, _nd_offer, node);
    ct_set(CT_CONFIG_VERSION, (int64_t)rc_query_version(table));
    g_autofree char *version =
        g_strdup_printf("%" G_GUINT64_FORMAT, rc_query_version(table));
    g_autofree char *routes =
        g_strdup_printf("%u", rc_query_route_count(table));
    lg_write(LG_CONFIG_IN_FORCE, "version", version, "routes", routes, NULL);
}

static void
_nd_on_operator_row(const dl_row *row, void *user_data)
{
    nd_node *node = user_data;
    dl_operator read = {0};
    er_status status = {0};
    if (node->desc.dialect->read_operator(row, &read, &status) != ER_OK) {
        lg_write(LG_ROW_REFUSED, "key", row->key, "why", status.message, NULL);
        return;
    }
    if (read.kind == DL_OPERATOR_CONFIG) {
        _nd_take_config(node, read.config);
    }
    _nd_digest(node, GP_OPERATOR, row->key,
               row->value ? _nd_digest_of(row->key, row->version, 0) : 0);
    if (read.kind == DL_OPERATOR_VERSION) {
        fl_declare_version(node->fleet, read.model, read.adapter, read.version,
                           lp_query_now_us(node->desc.loop));
        lg_write(LG_VERSION_NEW, "key", row->key, NULL);
    }
    dl_clear_operator(&read);
}

/* -- private: servers
 * ----------------------------------------------------------------- */

static void
_nd_wake_server(fl_server *server, void *user_data)
{
    nd_node *node = user_data;
    g_autoptr(GPtrArray) held = g_ptr_array_new();
    for (guint i = 0; i < server->copies->len; i++) {
        const fl_copy *copy = server->copies->pdata[i];
        if (!copy->loading && copy->adapter->waiting.length) {
            g_ptr_array_add(held, copy->adapter);
        }
    }
    for (guint i = 0; i < held->len; i++) {
        xc_wake(node->core, held->pdata[i]);
    }
}

/* What the list says that a server holds, where no holder tells better. */
static void
_nd_take_models(nd_node *node, fl_server *server, const dl_server *entry)
{
    uint64_t now_us = lp_query_now_us(node->desc.loop);
    uint64_t told_us = gp_query_told_us(node->peers, server);
    bool told = told_us && now_us < told_us + _ND_HOLDER_WORD_US;
    if (!entry->models || server->orders || told) {
        return;
    }
    for (guint i = 0; i < entry->models->len; i++) {
        const dl_model *model = &g_array_index(entry->models, dl_model, i);
        fl_put_copy(server, fl_intern(node->fleet, model->name),
                    model->version, false, now_us);
        for (guint j = 0; j < model->adapters->len; j++) {
            const dl_adapter *adapter =
                &g_array_index(model->adapters, dl_adapter, j);
            g_autofree char *key =
                g_strdup_printf("%s/%s", model->name, adapter->name);
            fl_put_copy(server, fl_intern(node->fleet, key), adapter->version,
                        false, now_us);
        }
    }
    _nd_wake_server(server, node);
}

static void
_nd_remove_server(nd_node *node, const char *id)
{
    fl_server *server = fl_query_server(node->fleet, id);
    if (server) {
        lg_write(LG_SERVER_GONE, "server", id, NULL);
        or_forget_server(node->orderer, server);
        xc_drop_server(node->core, server);
        le_remove_server(node->lease, id);
        fl_remove_server(node->fleet, id);
    }
    g_hash_table_remove(node->lapsed, id);
}

static void
_nd_lapse_server(nd_node *node, const char *id)
{
    uint64_t now_us = lp_query_now_us(node->desc.loop);
    uint64_t until_us =
        wt_query_regained_us(node->server_watch) + _ND_LAPSED_US;
    if (wt_query_gap_us(node->server_watch) && now_us < until_us) {
        uint64_t *when = g_new(uint64_t, 1);
        *when = until_us;
        g_hash_table_insert(node->lapsed, g_strdup(id), when);
        return;
    }
    _nd_remove_server(node, id);
}

static void
_nd_put_server(nd_node *node, const dl_server *entry)
{
    fl_server *server = NULL;
    fl_server *before = fl_query_server(node->fleet, entry->id);
    fl_state state_before = before ? before->state : FL_GONE;
    if (before && (strcmp(before->address, entry->address) != 0 ||
                   strcmp(before->service, entry->service) != 0)) {
        _nd_remove_server(node, entry->id);
        state_before = FL_GONE;
    }
    bool anew = fl_put_server(node->fleet, entry, &server);
    g_hash_table_remove(node->lapsed, entry->id);
    if (anew) {
        lg_write(LG_SERVER_SEEN, "server", server->id, "service",
                 server->service, "address", server->address, "zone",
                 server->zone, NULL);
        xc_drop_server(node->core, server);
    }
    if (server->state == FL_LEAVING && state_before != FL_LEAVING) {
        lg_write(LG_SERVER_LEAVES, "server", server->id, NULL);
        xc_drop_server(node->core, server);
        le_remove_server(node->lease, server->id);
    }
    _nd_offer(server, node);
    _nd_take_models(node, server, entry);
}

static void
_nd_on_server_row(const dl_row *row, void *user_data)
{
    nd_node *node = user_data;
    if (!row->value) {
        _nd_digest(node, GP_SERVERS, row->key, 0);
        _nd_lapse_server(node, row->key);
        return;
    }
    dl_server entry = {0};
    er_status status = {0};
    if (node->desc.dialect->read_server(row, &entry, &status) != ER_OK) {
        lg_write(LG_ROW_REFUSED, "key", row->key, "why", status.message, NULL);
        return;
    }
    if (node->read_servers) {
        g_hash_table_add(node->read_servers, g_strdup(row->key));
    }
    _nd_digest(node, GP_SERVERS, row->key,
               _nd_digest_of(row->key, entry.born_ms, entry.state));
    _nd_put_server(node, &entry);
    dl_clear_server(&entry);
}

static void
_nd_on_servers_began(void *user_data)
{
    nd_node *node = user_data;
    g_clear_pointer(&node->read_servers, g_hash_table_unref);
    node->read_servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static void
_nd_note_missing(fl_server *server, void *user_data)
{
    g_ptr_array_add(user_data, server->id);
}

static void
_nd_on_servers_ended(void *user_data)
{
    nd_node *node = user_data;
    g_autoptr(GHashTable) read = g_steal_pointer(&node->read_servers);
    g_autoptr(GPtrArray) ids = g_ptr_array_new();
    fl_each_server(node->fleet, _nd_note_missing, ids);
    for (guint i = 0; i < ids->len; i++) {
        if (!g_hash_table_contains(read, ids->pdata[i])) {
            g_autofree char *id = g_strdup(ids->pdata[i]);
            _nd_digest(node, GP_SERVERS, id, 0);
            _nd_lapse_server(node, id);
        }
    }
    node->servers_known = true;
}

static void
_nd_end_lapsed(nd_node *node)
{
    uint64_t now_us = lp_query_now_us(node->desc.loop);
    g_autoptr(GPtrArray) ids = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer id;
    gpointer when;
    g_hash_table_iter_init(&iter, node->lapsed);
    while (g_hash_table_iter_next(&iter, &id, &when)) {
        if (now_us >= *(uint64_t *)when) {
            g_ptr_array_add(ids, g_strdup(id));
        }
    }
    for (guint i = 0; i < ids->len; i++) {
        _nd_remove_server(node, ids->pdata[i]);
    }
}

/* -- private: own table
 * ------------------------------------------------------------------ */

static void
_nd_on_own_row(const dl_row *row, void *user_data)
{
    nd_node *node = user_data;
    le_feed_row(node->lease, lp_query_now_us(node->desc.loop), row);
}

static void
_nd_on_own_began(void *user_data)
{
    le_begin_read(((nd_node *)user_data)->lease);
}

static void
_nd_on_own_ended(void *user_data)
{
    nd_node *node = user_data;
    le_end_read(node->lease, lp_query_now_us(node->desc.loop));
}

static void
_nd_on_own_fresh(uint64_t version, void *user_data)
{
    nd_node *node = user_data;
    uint64_t regained_us = wt_query_regained_us(node->own_watch);
    if (regained_us != node->own_regained_us) {
        node->own_regained_us = regained_us;
        le_note_interruption(node->lease);
    }
    le_feed_fresh(node->lease, lp_query_now_us(node->desc.loop), version);
    wt_set_pause(node->own_watch, le_query_pause_ms(node->lease));
}

static void
_nd_ignore(void *user_data)
{
    (void)user_data;
}

static void _nd_tell(nd_node *node);

/* What was asked of the store spares the others their calls. */
static void
_nd_on_fresh(uint64_t version, void *user_data)
{
    (void)version;
    _nd_tell(user_data);
}

static const wt_calls _nd_operator_calls = {.row = _nd_on_operator_row,
                                            .read_began = _nd_ignore,
                                            .read_ended = _nd_ignore,
                                            .fresh = _nd_on_fresh};
static const wt_calls _nd_server_calls = {.row = _nd_on_server_row,
                                          .read_began = _nd_on_servers_began,
                                          .read_ended = _nd_on_servers_ended,
                                          .fresh = _nd_on_fresh};
static const wt_calls _nd_own_calls = {.row = _nd_on_own_row,
                                       .read_began = _nd_on_own_began,
                                       .read_ended = _nd_on_own_ended,
                                       .fresh = _nd_on_own_fresh};

static void
_nd_on_tx(const hc_answer *answer, void *user_data)
{
    nd_node *node = user_data;
    uint64_t now_us = lp_query_now_us(node->desc.loop);
    dl_rows rows = {0};
    er_status status = {0};
    er_code code = answer->code;
    if (code == ER_OK) {
        code = answer->status == 200   ? ER_OK
               : answer->status == 412 ? ER_CONFLICT
                                       : ER_PLATFORM_DOWN;
    }
    if (code == ER_OK || code == ER_CONFLICT) {
        er_code read = node->desc.dialect->read_rows(
            answer->bytes, answer->count, &rows, &status);
        code = read == ER_OK ? code : ER_PLATFORM_DOWN;
    }
    le_feed_result(node->lease, now_us, code, rows.version, rows.rows);
    if (code != ER_OK) {
        lg_write(LG_CLAIM_FAILED, "why", er_query_name(code), NULL);
    }
    if (code == ER_CONFLICT) {
        wt_read_again(node->own_watch);
    }
    node->own_written_us = code == ER_OK ? now_us : node->own_written_us;
    dl_clear_rows(&rows);
}

static void
_nd_write_tx(nd_node *node)
{
    dl_tx tx;
    if (!le_next_tx(node->lease, lp_query_now_us(node->desc.loop), &tx)) {
        return;
    }
    const dl_dialect *dialect = node->desc.dialect;
    tx.table = dialect->own_table;
    GString *body = dialect->write_tx(&tx);
    ct_add(CT_STORE_CALLS, 1);
    hc_call(node->client, &(hc_request){.address = node->desc.settings->store,
                                        .method = "POST",
                                        .path = dialect->tx_path,
                                        .type = dialect->body_type,
                                        .body = body->str,
                                        .body_count = body->len,
                                        .timeout_ms = _ND_TX_TIMEOUT_MS,
                                        .done = _nd_on_tx,
                                        .user_data = node});
    g_string_free(body, TRUE);
}

/* -- private: adapters
 * ---------------------------------------------------------------------- */

static void
_nd_on_ask(fl_server *server, fl_adapter *adapter, void *user_data)
{
    nd_node *node = user_data;
    if (!or_want(node->orderer, server, adapter)) {
        gp_ask(node->peers, server, adapter);
    }
}

static void
_nd_on_asked(fl_server *server, fl_adapter *adapter, void *user_data)
{
    nd_node *node = user_data;
    or_want(node->orderer, server, adapter);
}

static void
_nd_on_held_changed(fl_server *server, void *user_data)
{
    nd_node *node = user_data;
    gp_tell_server(node->peers, server, or_query_number(server));
    _nd_wake_server(server, node);
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

static bool
_nd_config_fresh(void *user_data)
{
    nd_node *node = user_data;
    uint64_t fresh_us = wt_query_fresh_us(node->operator_watch);
    return fresh_us && wt_query_reachable(node->operator_watch) &&
           lp_query_now_us(node->desc.loop) < fresh_us + _ND_CONFIG_FRESH_US;
}

static const xc_calls _nd_core_calls = {.ask = _nd_on_ask,
                                        .mismatch = _nd_on_mismatch,
                                        .live = _nd_live,
                                        .config_fresh = _nd_config_fresh};
static const gp_calls _nd_peer_calls = {
    .known = _nd_on_known, .asked = _nd_on_asked, .changed = _nd_wake_server};

/* -- private: pages
 * ---------------------------------------------------------------------------
 */

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

/* -- private: time
 * ------------------------------------------------------------------------------
 */

static void
_nd_on_tick(uint64_t now_us, void *user_data)
{
    (void)now_us;
    nd_node *node = user_data;
    xc_tick(node->core);
    or_tick(node->orderer);
}

static void
_nd_mark_orders(fl_server *server, void *user_data)
{
    nd_node *node = user_data;
    server->orders_possible = or_query_held(server) ||
                              le_query_holder(node->lease, server->id) != NULL;
}

static void
_nd_on_control_tick(uint64_t now_us, void *user_data)
{
    (void)now_us;
    nd_node *node = user_data;
    _nd_write_tx(node);
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
        gp_tell_server(node->peers, server, or_query_number(server));
    }
}

static void
_nd_tell(nd_node *node)
{
    node->digests[GP_OWN] = le_query_digest(node->lease);
    gp_known known[GP_TABLE_NUM];
    for (int i = 0; i < GP_TABLE_NUM; i++) {
        known[i] =
            (gp_known){node->digests[i],
                       wt_query_fresh_us(_nd_watch_of(node, (gp_table)i))};
    }
    known[GP_OWN].at_us = MAX(known[GP_OWN].at_us, node->own_written_us);
    gp_tell_load(node->peers, known);
}

static void
_nd_on_tell_tick(uint64_t now_us, void *user_data)
{
    (void)now_us;
    nd_node *node = user_data;
    uint64_t clock_us = lp_query_now_us(node->desc.loop);
    _nd_tell(node);
    if (clock_us >= node->told_servers_us + _ND_TELL_SERVERS_US) {
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
    if (now_us < node->stop_us + _ND_NOTICE_US) {
        return;
    }
    xc_set_leave(node->core, node->stop_us + grace_us - _ND_LAST_US);
    cr_close_idle(node->callers);
    bool idle =
        cr_query_busy(node->callers) == 0 && cr_query_open(node->callers) == 0;
    uint64_t last_us = node->stop_us + grace_us - _ND_LAST_US;
    if (idle || now_us >= last_us) {
        le_leave(node->lease);
    }
    if ((idle && le_query_given_up(node->lease)) ||
        now_us >= last_us + _ND_LAST_US / 2) {
        _nd_end_stop(node);
    }
}

static void
_nd_on_slow_tick(uint64_t now_us, void *user_data)
{
    (void)now_us;
    nd_node *node = user_data;
    uint64_t clock_us = lp_query_now_us(node->desc.loop);
    cr_tick(node->callers, clock_us);
    cr_tick(node->pages, clock_us);
    _nd_end_lapsed(node);
    if (!node->ready_said && _nd_ready(node)) {
        node->ready_said = true;
        lg_write(LG_PEER_READY, NULL);
    }
    if (node->stop_us) {
        _nd_look_at_stop(node);
    }
}

/* -- private: making
 * -------------------------------------------------------------------------------
 */

static wt_watch *
_nd_watch(nd_node *node, const char *table, uint32_t pause_ms,
          uint32_t wait_ms, const wt_calls *calls)
{
    return wt_create(&(wt_desc){.client = node->client,
                                .loop = node->desc.loop,
                                .timers = node->timers,
                                .dialect = node->desc.dialect,
                                .address = node->desc.settings->store,
                                .table = table,
                                .pause_ms = pause_ms,
                                .wait_ms = wait_ms,
                                .calls = calls,
                                .user_data = node});
}

static void
_nd_make_watches(nd_node *node)
{
    const dl_dialect *dialect = node->desc.dialect;
    const nd_settings *settings = node->desc.settings;
    node->operator_watch =
        _nd_watch(node, dialect->operator_table,
                  settings->config_apply_ms / _ND_OPERATOR_READS,
                  _ND_OPERATOR_WAIT_MS, &_nd_operator_calls);
    node->server_watch = _nd_watch(node, dialect->server_table,
                                   settings->drain_ms / _ND_SERVER_READS, 100,
                                   &_nd_server_calls);
    node->own_watch = _nd_watch(node, dialect->own_table,
                                _ND_OWN_TABLE_PAUSE_MS, 100, &_nd_own_calls);
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
                                       .seed = g_random_int() | 1U});
    node->lease = le_create(&(le_desc){.instance = settings->instance,
                                       .zone = settings->zone,
                                       .address = peer_address,
                                       .incarnation = node->incarnation,
                                       .lease_ms = settings->lease_ms});
    node->orderer = or_create(&(or_desc){.client = node->client,
                                         .loop = loop,
                                         .fleet = node->fleet,
                                         .lease = node->lease,
                                         .dialect = node->desc.dialect,
                                         .instance = settings->instance,
                                         .changed = _nd_on_held_changed,
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
    node->peers = gp_create(&(gp_desc){.loop = node->desc.loop,
                                       .fleet = node->fleet,
                                       .lease = node->lease,
                                       .instance = settings->instance,
                                       .address = peer_address,
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

static tm_timer
_nd_every(nd_node *node, uint32_t period_ms, tm_call call)
{
    return tm_make_timer(node->timers, &(tm_timer_desc){.period_ms = period_ms,
                                                        .call = call,
                                                        .user_data = node});
}

nd_node *
nd_create(const nd_desc *desc, er_status *status)
{
    g_assert(desc->settings && desc->dialect && desc->loop);
    nd_node *node = g_new0(nd_node, 1);
    node->desc = *desc;
    node->incarnation = ((uint64_t)g_random_int() << 20) | 1;
    node->row_digests =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    node->lapsed =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_autofree char *peer_address = _nd_peer_address(desc->settings);
    _nd_make_parts(node, peer_address);
    if (!_nd_make_ports(node, peer_address, status)) {
        nd_destroy(node);
        return NULL;
    }
    _nd_make_watches(node);
    node->ticks[0] = _nd_every(node, _ND_TICK_MS, _nd_on_tick);
    node->ticks[1] = _nd_every(node, _ND_CONTROL_MS, _nd_on_control_tick);
    node->ticks[2] = _nd_every(node, _ND_SLOW_TICK_MS, _nd_on_slow_tick);
    node->ticks[3] = _nd_every(node, _ND_TELL_MS, _nd_on_tell_tick);
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
    g_hash_table_unref(node->row_digests);
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
    cr_leave(node->callers);
}
