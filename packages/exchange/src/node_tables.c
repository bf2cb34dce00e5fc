#include "node_private.h"

#include "lacewing/counter.h"
#include "lacewing/hash.h"
#include "lacewing/histogram.h"
#include "lacewing/log.h"
#include <string.h>

/* Servers that are missing from the list after the store was unreachable are
   kept for this long, to be listed again; the platform states about 2 s. */
#define _ND_UNLISTED_GRACE_US 1700000
/* Least time before a table is read because another instance has a different
   digest; up to twice as long by chance. Rows that go through relays arrive
   some ten ms later. For the own table the wait is a few times longer, as
   nothing there is needed within less than a lease. */
#define _ND_GOSSIP_GRACE_US 300000
#define _ND_OWN_GOSSIP_GRACE_US 1500000
/* For this long after its last report, a holder's report of what a server has
   loaded takes precedence over the list. */
#define _ND_HOLDER_REPORT_VALID_US 4000000
/* A transaction takes some ms; a slow store answers within this time. */
#define _ND_TX_TIMEOUT_MS 1200

/* -- private: digests of tables ------------------------------------------- */

/* Returns the digest of a row from its key and the parts of its content that
   matter here: one number, or two. */
static uint64_t
_nd_digest_row(const char *key, uint64_t first, uint64_t second)
{
    g_autofree char *text = g_strdup_printf(
        "%s/%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT, key, first, second);
    return hs_u64(text);
}

uint64_t
nd_query_digest(const nd_node *node, kr_table table)
{
    return table == KR_OWN ? le_query_digest(node->lease)
                           : kr_query_digest(node->known_rows, table);
}

wt_watch *
nd_query_watch(const nd_node *node, kr_table table)
{
    return table == KR_OPERATOR  ? node->operator_watch
           : table == KR_SERVERS ? node->server_watch
                                 : node->own_watch;
}

/* Returns whether a table is to be read from the store now, given whether
   another instance has the same digest of it. Changed rows may arrive after
   the digest: those of the own table, which all instances write, if there are
   many instances, and those of the other tables if they go through relays.
   Then the read is delayed by a random time, so that not all read at once. */
static bool
_nd_is_refetch_due(nd_node *node, kr_table table, bool same, uint64_t now_us)
{
    if (same) {
        node->refetch_us[table] = 0;
        return false;
    }
    if (table == KR_OWN ? !gp_query_polling_shared(node->peers)
                        : !gp_query_relayed(node->peers)) {
        return true;
    }
    uint64_t grace_us =
        table == KR_OWN ? _ND_OWN_GOSSIP_GRACE_US : _ND_GOSSIP_GRACE_US;
    if (node->refetch_us[table] == 0) {
        node->refetch_us[table] =
            now_us + grace_us + (uint64_t)g_random_int_range(0, (int)grace_us);
    }
    return now_us >= node->refetch_us[table];
}

/* An equal digest puts the next call to the store off, except for the own
   table. A different one that is newer than this instance's means that the
   store has changes. */
void
nd_on_peer_digest(kr_table table, const gp_table_digest *known,
                  void *user_data)
{
    nd_node *node = user_data;
    wt_watch *watch = nd_query_watch(node, table);
    bool same = known->digest == nd_query_digest(node, table);
    if (same && table != KR_OWN) {
        wt_note_fresh(watch, known->at_us);
    }
    uint64_t now_us = lp_query_now_us(node->desc.loop);
    if (_nd_is_refetch_due(node, table, same, now_us) &&
        known->at_us > wt_query_fresh_us(watch)) {
        node->refetch_us[table] = 0;
        wt_poll_now(watch);
    }
}

/* -- private: configuration ----------------------------------------------- */

void
nd_add_lease_candidate(fl_server *server, void *user_data)
{
    nd_node *node = user_data;
    const rc_service *service =
        node->config ? rc_query_service(node->config, server->service) : NULL;
    if (server->state == FL_READY && service && service->engine) {
        le_put_server(node->lease, server->id, server->zone);
    }
}

/* An older configuration never replaces a newer one. A restored store may give
   the same number to another one. */
static bool
_nd_config_is_newer(const nd_node *node, const rc_table *table,
                    uint64_t row_version)
{
    if (!node->config) {
        return true;
    }
    uint64_t number = rc_query_version(table);
    uint64_t present = rc_query_version(node->config);
    return number > present ||
           (number == present && dl_query_era(row_version) >
                                     dl_query_era(node->config_row_version));
}

static void
_nd_apply_config(nd_node *node, rc_table *table, uint64_t row_version)
{
    if (!_nd_config_is_newer(node, table, row_version)) {
        return;
    }
    node->config_row_version = row_version;
    rc_unref(node->config);
    node->config = rc_ref(table);
    xc_set_table(node->core, table);
    qt_set_limits(node->quotas, rc_query_workspaces(table),
                  lp_query_now_us(node->desc.loop));
    or_set_table(node->orderer, table);
    cr_set_limits(node->caller_port, rc_query_limits(table));
    fl_each_server(node->fleet, nd_add_lease_candidate, node);
    ct_set(CT_CONFIG_VERSION, (int64_t)rc_query_version(table));
    g_autofree char *version =
        g_strdup_printf("%" G_GUINT64_FORMAT, rc_query_version(table));
    g_autofree char *routes =
        g_strdup_printf("%u", rc_query_route_count(table));
    lg_write(LG_CONFIG_IN_FORCE, "version", version, "routes", routes, NULL);
}

static void
_nd_apply_operator_row(nd_node *node, const dl_row *row, bool from_store)
{
    dl_operator read = {0};
    er_status status = {0};
    if (kr_query_stale(node->known_rows, KR_OPERATOR, row)) {
        return;
    }
    if (node->desc.dialect->read_operator(row, &read, &status) != ER_OK) {
        lg_write(LG_ROW_REFUSED, "key", row->key, "why", status.message, NULL);
        return;
    }
    if (read.kind == DL_OPERATOR_CONFIG) {
        _nd_apply_config(node, read.config, row->version);
    }
    kr_put(node->known_rows, KR_OPERATOR, row,
           row->value ? _nd_digest_row(row->key, row->version, 0) : 0,
           from_store);
    if (read.kind == DL_OPERATOR_VERSION) {
        /* The version may have been published at any time since the table was
           last known to be up to date. */
        fl_declare_version(node->fleet, read.model, read.adapter, read.version,
                           wt_query_fresh_us(node->operator_watch));
        lg_write(LG_VERSION_NEW, "key", row->key, NULL);
    }
    dl_clear_operator(&read);
}

static void
_nd_on_operator_row(const dl_row *row, void *user_data)
{
    _nd_apply_operator_row(user_data, row, true);
}

/* -- private: servers ----------------------------------------------------- */

void
nd_wake_waiting_requests(fl_server *server, void *user_data)
{
    nd_node *node = user_data;
    g_autoptr(GPtrArray) adapters = g_ptr_array_new();
    for (guint i = 0; i < server->copies->len; i++) {
        const fl_copy *copy = server->copies->pdata[i];
        if (!copy->loading && copy->adapter->waiting.length) {
            g_ptr_array_add(adapters, copy->adapter);
        }
    }
    for (guint i = 0; i < adapters->len; i++) {
        xc_dispatch_waiting(node->core, adapters->pdata[i]);
    }
}

/* Applies what the list says that a server has loaded, unless this instance
   holds the server or its holder reported recently. */
static void
_nd_apply_listed_models(nd_node *node, fl_server *server,
                        const dl_server *entry)
{
    uint64_t now_us = lp_query_now_us(node->desc.loop);
    uint64_t reported_us = gp_query_state_received_us(node->peers, server);
    bool holder_reported =
        reported_us && now_us < reported_us + _ND_HOLDER_REPORT_VALID_US;
    if (!entry->models || server->orders || holder_reported) {
        return;
    }
    for (guint i = 0; i < entry->models->len; i++) {
        const dl_model *model = &g_array_index(entry->models, dl_model, i);
        fl_put_copy_by_name(node->fleet, server, model->name, NULL,
                            model->version, false, now_us);
        for (guint j = 0; j < model->adapters->len; j++) {
            const dl_adapter *adapter =
                &g_array_index(model->adapters, dl_adapter, j);
            fl_put_copy_by_name(node->fleet, server, model->name,
                                adapter->name, adapter->version, false,
                                now_us);
        }
    }
    nd_wake_waiting_requests(server, node);
}

static void
_nd_remove_server(nd_node *node, const char *id)
{
    fl_server *server = fl_query_server(node->fleet, id);
    if (server) {
        lg_write(LG_SERVER_GONE, "server", id, NULL);
        or_remove_server(node->orderer, server);
        xc_close_idle_connections(node->core, server);
        le_remove_server(node->lease, id);
        fl_remove_server(node->fleet, id);
    }
    g_hash_table_remove(node->unlisted_servers, id);
}

/* Removes a server that is missing from the list: at once, or after a grace
   time if the store was unreachable shortly before. */
static void
_nd_on_server_unlisted(nd_node *node, const char *id)
{
    uint64_t now_us = lp_query_now_us(node->desc.loop);
    uint64_t until_us =
        wt_query_regained_us(node->server_watch) + _ND_UNLISTED_GRACE_US;
    if (wt_query_outage_us(node->server_watch) && now_us < until_us) {
        uint64_t *when = g_new(uint64_t, 1);
        *when = until_us;
        g_hash_table_insert(node->unlisted_servers, g_strdup(id), when);
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
    nt_notice notice_before = before ? before->notice : (nt_notice){0};
    if (before && (strcmp(before->address, entry->address) != 0 ||
                   strcmp(before->service, entry->service) != 0)) {
        _nd_remove_server(node, entry->id);
        state_before = FL_GONE;
    }
    bool is_new_process = fl_put_server(node->fleet, entry, &server);
    g_hash_table_remove(node->unlisted_servers, entry->id);
    if (is_new_process) {
        lg_write(LG_SERVER_STARTED, "server", server->id, "service",
                 server->service, "address", server->address, "zone",
                 server->zone, "software", server->software, NULL);
        xc_close_idle_connections(node->core, server);
        node->streams.servers_noted_us = 0;
    }
    if (server->state == FL_LEAVING && state_before != FL_LEAVING) {
        nd_begin_leaving(node, server);
    }
    if (server->state == FL_READY && state_before == FL_LEAVING) {
        nd_end_leaving(node, server, &notice_before);
    }
    nd_add_lease_candidate(server, node);
    _nd_apply_listed_models(node, server, entry);
}

static void
_nd_apply_server_row(nd_node *node, const dl_row *row, bool from_store)
{
    if (kr_query_stale(node->known_rows, KR_SERVERS, row)) {
        return;
    }
    if (!row->value) {
        kr_put(node->known_rows, KR_SERVERS, row, 0, from_store);
        _nd_on_server_unlisted(node, row->key);
        return;
    }
    dl_server entry = {0};
    er_status status = {0};
    if (node->desc.dialect->read_server(row, &entry, &status) != ER_OK) {
        lg_write(LG_ROW_REFUSED, "key", row->key, "why", status.message, NULL);
        return;
    }
    bool restored = row->version <= node->restored_version;
    if (restored && fl_query_removed(node->fleet, entry.id, entry.born_ms)) {
        /* It left after the copy was made; if it did not, it writes its entry
           again. */
        dl_clear_server(&entry);
        return;
    }
    if (restored) {
        entry.version = 0;
        g_clear_pointer(&entry.models, g_array_unref);
    }
    if (node->servers_in_read) {
        g_hash_table_add(node->servers_in_read, g_strdup(row->key));
    }
    kr_put(node->known_rows, KR_SERVERS, row,
           _nd_digest_row(row->key, entry.born_ms, entry.state), from_store);
    _nd_put_server(node, &entry);
    dl_clear_server(&entry);
}

static void
_nd_on_server_row(const dl_row *row, void *user_data)
{
    _nd_apply_server_row(user_data, row, true);
}

static void
_nd_on_server_read_began(uint64_t version, bool restored, void *user_data)
{
    nd_node *node = user_data;
    if (restored) {
        node->restored_version = version;
        kr_clear(node->known_rows, KR_SERVERS);
    }
    g_clear_pointer(&node->servers_in_read, g_hash_table_unref);
    node->servers_in_read =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static void
_nd_collect_id(fl_server *server, void *user_data)
{
    g_ptr_array_add(user_data, server->id);
}

static void
_nd_on_server_read_ended(void *user_data)
{
    nd_node *node = user_data;
    g_autoptr(GHashTable) read = g_steal_pointer(&node->servers_in_read);
    g_autoptr(GPtrArray) ids = g_ptr_array_new();
    fl_each_server(node->fleet, _nd_collect_id, ids);
    for (guint i = 0; i < ids->len; i++) {
        if (!g_hash_table_contains(read, ids->pdata[i])) {
            g_autofree char *id = g_strdup(ids->pdata[i]);
            kr_drop(node->known_rows, KR_SERVERS, id);
            _nd_on_server_unlisted(node, id);
        }
    }
    node->servers_known = true;
}

void
nd_remove_unlisted_servers(nd_node *node)
{
    uint64_t now_us = lp_query_now_us(node->desc.loop);
    g_autoptr(GPtrArray) ids = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer id;
    gpointer when;
    g_hash_table_iter_init(&iter, node->unlisted_servers);
    while (g_hash_table_iter_next(&iter, &id, &when)) {
        if (now_us >= *(uint64_t *)when) {
            g_ptr_array_add(ids, g_strdup(id));
        }
    }
    for (guint i = 0; i < ids->len; i++) {
        _nd_remove_server(node, ids->pdata[i]);
    }
}

/* -- private: own table ---------------------------------------------------

   The lease of another instance ends a fixed time after its row was seen. The
   row may have been written after the iteration of the loop that reads it
   began, so the clock is read here instead of taking the loop's time. */

static void
_nd_on_own_row(const dl_row *row, void *user_data)
{
    nd_node *node = user_data;
    le_feed_row(node->lease, lp_query_clock_us(), row);
}

static void
_nd_on_own_began(uint64_t version, bool restored, void *user_data)
{
    (void)restored;
    le_begin_read(((nd_node *)user_data)->lease, lp_query_clock_us(), version);
}

static void
_nd_on_own_ended(void *user_data)
{
    nd_node *node = user_data;
    le_end_read(node->lease, lp_query_clock_us());
}

static void
_nd_on_own_fresh(uint64_t version, void *user_data)
{
    nd_node *node = user_data;
    fl_note_store_version(node->fleet, version,
                          wt_query_fresh_us(node->own_watch));
    uint64_t regained_us = wt_query_regained_us(node->own_watch);
    if (regained_us != node->own_recovery_us) {
        node->own_recovery_us = regained_us;
        le_note_store_interruption(node->lease);
    }
    le_note_store_answer(node->lease, lp_query_now_us(node->desc.loop));
    wt_set_pause(node->own_watch, le_query_read_pause_ms(node->lease));
}

/* Sends a message only if the table changed, as each instance follows the own
   table itself. */
static void
_nd_send_own_changes(nd_node *node)
{
    uint64_t digest = le_query_digest(node->lease);
    if (digest == node->sent_own_digest) {
        return;
    }
    node->sent_own_digest = digest;
    for (guint i = 0; i < node->tx_rows->len; i++) {
        const dl_row *row = &g_array_index(node->tx_rows, dl_row, i);
        kr_put(node->known_rows, KR_OWN, row, row->value ? row->version : 0,
               true);
    }
    nd_send_table(node, KR_OWN);
}

/* Ignores rows of a table that was not read yet, as the read of the whole
   table is in progress. A row of a later era says that the store was restored,
   and nothing of the rows that were lost. */
void
nd_on_peer_row(kr_table table, const dl_row *row, void *user_data)
{
    nd_node *node = user_data;
    wt_watch *watch = nd_query_watch(node, table);
    if (row->version <= wt_query_version(watch)) {
        return;
    }
    if (dl_query_era(row->version) != wt_query_era(watch)) {
        wt_poll_now(watch);
        return;
    }
    if (table == KR_OPERATOR && node->config) {
        _nd_apply_operator_row(node, row, false);
    }
    else if (table == KR_SERVERS && node->servers_known) {
        _nd_apply_server_row(node, row, false);
    }
    else if (table == KR_OWN && wt_query_version(node->own_watch)) {
        le_feed_row(node->lease, lp_query_clock_us(), row);
    }
}

static void
_nd_on_operator_read_began(uint64_t version, bool restored, void *user_data)
{
    (void)version;
    nd_node *node = user_data;
    if (restored) {
        kr_clear(node->known_rows, KR_OPERATOR);
    }
}

static void
_nd_ignore(void *user_data)
{
    (void)user_data;
}

/* Sends the result to other instances, which saves them their own requests to
   the store. */
static void
_nd_on_operator_fresh(uint64_t version, void *user_data)
{
    (void)version;
    nd_send_table(user_data, KR_OPERATOR);
}

static void
_nd_on_servers_fresh(uint64_t version, void *user_data)
{
    nd_node *node = user_data;
    fl_note_store_version(node->fleet, version,
                          wt_query_fresh_us(node->server_watch));
    nd_send_table(node, KR_SERVERS);
}

const wt_callbacks nd_operator_callbacks = {.row = _nd_on_operator_row,
                                            .read_began =
                                                _nd_on_operator_read_began,
                                            .read_ended = _nd_ignore,
                                            .fresh = _nd_on_operator_fresh};
const wt_callbacks nd_server_callbacks = {
    .row = _nd_on_server_row,
    .read_began = _nd_on_server_read_began,
    .read_ended = _nd_on_server_read_ended,
    .fresh = _nd_on_servers_fresh};
const wt_callbacks nd_own_callbacks = {.row = _nd_on_own_row,
                                       .read_began = _nd_on_own_began,
                                       .read_ended = _nd_on_own_ended,
                                       .fresh = _nd_on_own_fresh};

/* Handles the store's answer to a transaction. Status 412: a condition was not
   met; the answer has the current rows. */
static void
_nd_on_tx_answer(const hc_answer *answer, void *user_data)
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
        const dl_dialect *dialect = node->desc.dialect;
        const char *era =
            h1_query_header(answer->head, dialect->headers[DL_STORE_ERA]);
        er_code read = dialect->read_rows(answer->bytes, answer->count, era,
                                          &rows, &status);
        code = read == ER_OK ? code : ER_PLATFORM_DOWN;
    }
    hg_observe(HG_STORE_CALL, HG_WRITE, now_us - node->tx_sent_us);
    le_feed_result(node->lease, lp_query_clock_us(), code, rows.version,
                   rows.rows);
    if (code != ER_OK) {
        lg_write(LG_CLAIM_FAILED, "why", er_query_name(code), NULL);
    }
    if (code == ER_CONFLICT || !le_query_table_known(node->lease)) {
        wt_read_again(node->own_watch);
    }
    if (code == ER_OK) {
        node->own_written_us = now_us;
        for (guint i = 0; i < node->tx_rows->len; i++) {
            g_array_index(node->tx_rows, dl_row, i).version = rows.version;
        }
        _nd_send_own_changes(node);
    }
    dl_clear_rows(&rows);
}

static void
_nd_log_lease_change(const le_change *change, void *user_data)
{
    (void)user_data;
    char version[24];
    char age[24];
    char holder_age[24];
    g_snprintf(version, sizeof(version), "%" G_GUINT64_FORMAT,
               change->version);
    g_snprintf(age, sizeof(age), "%" G_GUINT64_FORMAT, change->age_us / 1000);
    g_snprintf(holder_age, sizeof(holder_age), "%" G_GUINT64_FORMAT,
               change->holder_age_us / 1000);
    lg_write(LG_HOLDER_WRITE, "kind", change->kind, "server",
             change->server ? change->server : "-", "holder",
             change->holder ? change->holder : "-", "why", change->why,
             "version", version, "age_ms", age, "holder_age_ms", holder_age,
             NULL);
}

void
nd_send_lease_tx(nd_node *node)
{
    dl_tx tx;
    if (!le_next_tx(node->lease, lp_query_now_us(node->desc.loop), &tx)) {
        return;
    }
    const dl_dialect *dialect = node->desc.dialect;
    tx.table = dialect->own_table;
    GString *body = dialect->write_tx(&tx);
    g_array_set_size(node->tx_rows, 0);
    for (size_t i = 0; i < tx.write_count; i++) {
        const dl_write *write = &tx.writes[i];
        dl_row row = {.key = g_strdup(write->key),
                      .value =
                          write->value ? g_bytes_ref(write->value) : NULL};
        g_array_append_val(node->tx_rows, row);
    }
    node->tx_sent_us = lp_query_now_us(node->desc.loop);
    ct_add(CT_STORE_CALLS, 1);
    lg_write(LG_STORE_REQUEST, "table", tx.table, "why", "transaction", NULL);
    le_each_change(node->lease, node->tx_sent_us, _nd_log_lease_change, node);
    hc_call(node->client, &(hc_request){.address = node->desc.settings->store,
                                        .method = "POST",
                                        .path = dialect->tx_path,
                                        .type = dialect->body_type,
                                        .body = body->str,
                                        .body_count = body->len,
                                        .timeout_ms = _ND_TX_TIMEOUT_MS,
                                        .done = _nd_on_tx_answer,
                                        .user_data = node});
    g_string_free(body, TRUE);
}
