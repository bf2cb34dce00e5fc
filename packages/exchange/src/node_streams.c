#include "node_private.h"

#include "lacewing/counter.h"
#include "lacewing/hash.h"
#include "lacewing/histogram.h"
#include "lacewing/log.h"
#include <string.h>

/* Interval in which servers in the list are noted, and old streams removed. */
#define _ND_NOTE_SERVERS_US 500000
/* Mean time between two writes of changed streams, at least, for each
   instance: all instances together then make 125 writes a second, of the 200
   that the store takes in one part. */
#define _ND_WRITE_STREAMS_PER_INSTANCE_US 8000
/* So many writes may come sooner. A stream is written as it begins, since it
   is lost if all instances end before. */
#define _ND_WRITE_STREAMS_BURST 4
/* The row is written this often without a change, as it says for how long the
   service stays mixed. */
#define _ND_REWRITE_STREAMS_US 5000000
/* Shortest time between two reads. */
#define _ND_READ_STREAMS_US 100000
/* Pause before the read at the start is tried again. */
#define _ND_RETRY_FIRST_READ_US 500000
/* A call takes some ms; a slow store answers within this time. */
#define _ND_STREAMS_TIMEOUT_MS 1000
/* A write without an answer takes effect within this time, or never. */
#define _ND_LATE_WRITE_US 5000000
/* Oldest list of servers by which a stream is taken for one of the base. It is
   well below the time for which rows say that a service is mixed after the
   last server of a version has gone (so_desc.memory_us), so that a whole
   change of versions cannot have come and gone since. */
#define _ND_MAX_LIST_AGE_US 20000000
/* Most rows of instances that are gone to remove in one transaction. */
#define _ND_MAX_REMOVED_ROWS 50

/* -- private: the store's clock ------------------------------------------- */

static uint64_t
_nd_store_now_ms(const nd_node *node, uint64_t now_us)
{
    return node->streams.store_now_ms +
           (now_us - node->streams.store_now_us) / 1000;
}

/* Notes the store's era. After a restoration the row is written again at once.
 */
static void
_nd_note_era(nd_node *node, uint64_t era)
{
    if (era > node->streams.era) {
        if (node->streams.known) {
            so_note_restored(node->origins, lp_query_now_us(node->desc.loop));
            node->streams.stored_ms = 0;
        }
        node->streams.era = era;
    }
}

/* Parses an answer of the store and takes its time. Returns false if it has
   failed. */
static bool
_nd_read_answer(nd_node *node, const hc_answer *answer, dl_rows *rows)
{
    const dl_dialect *dialect = node->desc.dialect;
    er_status status = {0};
    if (answer->code != ER_OK || answer->status != 200) {
        return false;
    }
    const char *era =
        h1_query_header(answer->head, dialect->headers[DL_STORE_ERA]);
    if (dialect->read_rows(answer->bytes, answer->count, era, rows, &status) !=
        ER_OK) {
        return false;
    }
    _nd_note_era(node, dl_query_era(rows->version));
    node->streams.store_now_ms = rows->now_ms;
    node->streams.store_now_us = lp_query_now_us(node->desc.loop);
    return true;
}

/* -- private: reading ----------------------------------------------------- */

char *
nd_make_streams_key(const char *instance)
{
    return g_strconcat("s/", instance, NULL);
}

static void
_nd_apply_streams_row(nd_node *node, const dl_row *row, uint64_t store_now_ms)
{
    g_autofree char *own_key =
        nd_make_streams_key(node->desc.settings->instance);
    bool own = strcmp(row->key, own_key) == 0;
    if (!row->value) {
        return;
    }
    if (!so_read_row(node->origins, hs_u64(row->key), row->value,
                     lp_query_now_us(node->desc.loop), store_now_ms)) {
        lg_write(LG_ROW_REFUSED, "key", row->key, "why",
                 "not a row of streams", NULL);
    }
    node->streams.written = node->streams.written || own;
    if (!own && so_query_row_expired(row->value, store_now_ms) &&
        node->streams.obsolete->len < _ND_MAX_REMOVED_ROWS) {
        g_ptr_array_add(node->streams.obsolete, g_strdup(row->key));
    }
}

static void _nd_read_page(nd_node *node);

static void
_nd_end_read(nd_node *node)
{
    node->streams.reading = false;
    g_clear_pointer(&node->streams.page_after, g_free);
}

static void
_nd_on_page(const hc_answer *answer, void *user_data)
{
    nd_node *node = user_data;
    dl_rows rows = {0};
    if (!_nd_read_answer(node, answer, &rows)) {
        _nd_end_read(node);
        return;
    }
    for (guint i = 0; i < rows.rows->len; i++) {
        _nd_apply_streams_row(node, &g_array_index(rows.rows, dl_row, i),
                              rows.now_ms);
    }
    if (rows.more && rows.rows->len) {
        g_free(node->streams.page_after);
        node->streams.page_after =
            g_strdup(g_array_index(rows.rows, dl_row, rows.rows->len - 1).key);
        _nd_read_page(node);
    }
    else {
        _nd_end_read(node);
        so_end_read(node->origins);
        node->streams.known = true;
        node->streams.wanted = false;
        node->streams.servers_noted_us = 0;
        hg_observe(HG_STORE_CALL, HG_READ,
                   lp_query_now_us(node->desc.loop) -
                       node->streams.read_began_us);
        xc_note_origins_read(node->core, node->streams.read_began_us,
                             rows.now_ms);
    }
    dl_clear_rows(&rows);
}

static void
_nd_read_page(nd_node *node)
{
    const dl_dialect *dialect = node->desc.dialect;
    g_autoptr(GString) path = dialect->write_get_path(
        dialect->stream_table, node->streams.page_after);
    ct_add(CT_STORE_CALLS, 1);
    lg_write(LG_STORE_REQUEST, "table", dialect->stream_table, "why",
             node->streams.wanted ? "a caller takes up a stream" : "start",
             NULL);
    hc_call(node->client, &(hc_request){.address = node->desc.settings->store,
                                        .method = "GET",
                                        .path = path->str,
                                        .timeout_ms = _ND_STREAMS_TIMEOUT_MS,
                                        .done = _nd_on_page,
                                        .user_data = node});
}

static void
_nd_read_if_due(nd_node *node, uint64_t now_us)
{
    uint64_t pause_us = node->streams.wanted   ? _ND_READ_STREAMS_US
                        : !node->streams.known ? _ND_RETRY_FIRST_READ_US
                                               : UINT64_MAX;
    if (node->streams.reading || pause_us == UINT64_MAX ||
        now_us < node->streams.read_began_us + pause_us) {
        return;
    }
    node->streams.reading = true;
    /* Not the loop's time: what comes from callers before the call must not
       count as come after it, see xc_note_origins_read(). */
    node->streams.read_began_us = lp_query_clock_us();
    g_ptr_array_set_size(node->streams.obsolete, 0);
    so_begin_read(node->origins);
    _nd_read_page(node);
}

/* -- private: writing ----------------------------------------------------- */

static void
_nd_on_written(const hc_answer *answer, void *user_data)
{
    nd_node *node = user_data;
    dl_rows rows = {0};
    node->streams.writing = false;
    hg_observe(HG_STORE_CALL, HG_WRITE,
               lp_query_now_us(node->desc.loop) - node->streams.wrote_us);
    if (_nd_read_answer(node, answer, &rows)) {
        so_note_row_stored(node->origins);
        node->streams.stored_ms = node->streams.sent_store_ms;
        node->streams.stored_further_revision =
            node->streams.sent_further_revision;
        if (node->streams.wrote_us >= node->streams.late_write_us) {
            node->streams.late_write_us = 0;
        }
        g_ptr_array_set_size(node->streams.obsolete, 0);
        dl_clear_rows(&rows);
    }
    else {
        node->streams.written_revision = 0; /* it is written again */
        if (answer->code != ER_OK) {
            node->streams.late_write_us =
                lp_query_now_us(node->desc.loop) + _ND_LATE_WRITE_US;
        }
    }
}

/* Writes or, value NULL, removes the row of this instance. */
static void
_nd_write_row(nd_node *node, GBytes *value, uint64_t now_us)
{
    const dl_dialect *dialect = node->desc.dialect;
    g_autofree char *key = nd_make_streams_key(node->desc.settings->instance);
    dl_write writes[1 + _ND_MAX_REMOVED_ROWS] = {{key, value}};
    size_t count = 1;
    for (guint i = 0; i < node->streams.obsolete->len; i++) {
        writes[count++] = (dl_write){node->streams.obsolete->pdata[i], NULL};
    }
    g_autoptr(GString) body =
        dialect->write_tx(&(dl_tx){.table = dialect->stream_table,
                                   .writes = writes,
                                   .write_count = count});
    node->streams.writing = true;
    node->streams.written = value != NULL;
    node->streams.wrote_us = now_us;
    node->streams.sent_store_ms = _nd_store_now_ms(node, now_us);
    node->streams.sent_further_revision =
        so_query_further_revision(node->origins);
    so_note_row_sent(node->origins, now_us);
    node->streams.written_revision = so_query_revision(node->origins);
    ct_add(CT_STORE_CALLS, 1);
    lg_write(LG_STORE_REQUEST, "table", dialect->stream_table, "why",
             value ? "streams have changed" : "one software version is left",
             NULL);
    hc_call(node->client, &(hc_request){.address = node->desc.settings->store,
                                        .method = "POST",
                                        .path = dialect->tx_path,
                                        .type = dialect->body_type,
                                        .body = body->str,
                                        .body_count = body->len,
                                        .timeout_ms = _ND_STREAMS_TIMEOUT_MS,
                                        .done = _nd_on_written,
                                        .user_data = node});
}

static uint64_t
_nd_write_interval_us(const nd_node *node)
{
    return MAX(le_query_live_count(node->lease), 1) *
           _ND_WRITE_STREAMS_PER_INSTANCE_US;
}

static bool
_nd_is_write_due(const nd_node *node, uint64_t now_us)
{
    bool changed =
        so_query_revision(node->origins) != node->streams.written_revision;
    uint64_t ahead_us = _nd_write_interval_us(node) * _ND_WRITE_STREAMS_BURST;
    return changed ? now_us + ahead_us >= node->streams.paced_until_us
                   : now_us >= node->streams.wrote_us + _ND_REWRITE_STREAMS_US;
}

/* The row may hold streams of an earlier process, so it is not written before
   the first read. */
static void
_nd_write_if_due(nd_node *node, uint64_t now_us)
{
    if (node->streams.writing || !node->streams.known) {
        return;
    }
    if (!so_query_any_mixed(node->origins, now_us)) {
        if (node->streams.written) {
            _nd_write_row(node, NULL, now_us);
        }
        return;
    }
    if (_nd_is_write_due(node, now_us)) {
        node->streams.paced_until_us =
            MAX(now_us, node->streams.paced_until_us) +
            _nd_write_interval_us(node);
        g_autoptr(GBytes) row = so_write_row(node->origins, now_us,
                                             _nd_store_now_ms(node, now_us));
        _nd_write_row(node, row, now_us);
    }
}

/* -- private: servers ----------------------------------------------------- */

static void
_nd_note_server(fl_server *server, void *user_data)
{
    nd_node *node = user_data;
    so_note_server(node->origins, hs_u64(server->service),
                   server->software_hash, lp_query_now_us(node->desc.loop));
}

static void
_nd_note_servers(nd_node *node, uint64_t now_us)
{
    bool before = node->streams.mixed;
    node->streams.servers_noted_us = now_us;
    fl_each_server(node->fleet, _nd_note_server, node);
    if (node->streams.known) {
        so_end_list(node->origins, now_us);
    }
    so_expire(node->origins, now_us);
    node->streams.mixed = so_query_any_mixed(node->origins, now_us);
    if (node->streams.mixed != before) {
        lg_write(before ? LG_SOFTWARE_UNIFORM : LG_SOFTWARE_MIXED, NULL);
    }
}

static void
_nd_note_store_lost(nd_node *node, uint64_t now_us)
{
    if (wt_query_reachable(node->server_watch)) {
        node->streams.store_lost_us = 0;
    }
    else if (!node->streams.store_lost_us) {
        node->streams.store_lost_us = now_us;
    }
}

/* -- public --------------------------------------------------------------- */

void
nd_run_streams(nd_node *node)
{
    uint64_t now_us = lp_query_now_us(node->desc.loop);
    _nd_note_era(node, wt_query_era(node->own_watch));
    _nd_note_store_lost(node, now_us);
    if (now_us >= node->streams.servers_noted_us + _ND_NOTE_SERVERS_US) {
        _nd_note_servers(node, now_us);
    }
    _nd_read_if_due(node, now_us);
    _nd_write_if_due(node, now_us);
}

void
nd_find_origins(void *user_data)
{
    nd_node *node = user_data;
    node->streams.wanted = true;
    _nd_read_if_due(node, lp_query_now_us(node->desc.loop));
}

/* Written at once, unless the last write was too short ago: a stream that is
   not written when all instances end cannot be taken up again. */
void
nd_on_stream_began(void *user_data)
{
    nd_node *node = user_data;
    _nd_write_if_due(node, lp_query_now_us(node->desc.loop));
}

/* Returns whether the list of servers was known at most _ND_MAX_LIST_AGE_US
   before at_us. */
static bool
_nd_query_list_recent(const nd_node *node, uint64_t at_us)
{
    uint64_t fresh_us = wt_query_fresh_us(node->server_watch);
    return fresh_us && at_us < fresh_us + _ND_MAX_LIST_AGE_US;
}

bool
nd_query_origins_known(void *user_data)
{
    const nd_node *node = user_data;
    /* The loop's time may be that before the instance stood still. */
    return node->streams.known &&
           _nd_query_list_recent(node, lp_query_clock_us());
}

/* -- public: reports of other instances ----------------------------------- */

/* Returns the time of the store's clock before which all streams began here
   that are in the stored row, see so_progress. This instance's view of that
   clock is never ahead of it. */
static uint64_t
_nd_query_written_ms(const nd_node *node, uint64_t now_us)
{
    if (!node->streams.stored_ms || node->streams.late_write_us ||
        !so_query_row_complete(node->origins)) {
        return 0;
    }
    return so_query_further_revision(node->origins) ==
                   node->streams.stored_further_revision
               ? _nd_store_now_ms(node, now_us)
               : node->streams.stored_ms;
}

bool
nd_query_own_origins(gp_origins *out, void *user_data)
{
    const nd_node *node = user_data;
    uint64_t now_us = lp_query_now_us(node->desc.loop);
    out->store_lost = !wt_query_reachable(node->server_watch);
    out->mixed = so_query_any_mixed(node->origins, now_us);
    out->written_ms = out->mixed ? _nd_query_written_ms(node, now_us) : 0;
    return out->store_lost || out->mixed;
}

void
nd_on_peer_origins(const char *instance, uint64_t incarnation,
                   const gp_origins *known, void *user_data)
{
    nd_node *node = user_data;
    g_autofree char *key = nd_make_streams_key(instance);
    so_note_progress(node->origins,
                     &(so_progress){.writer = hs_u64(key),
                                    .incarnation = incarnation,
                                    .written_ms = known->written_ms});
    nd_peer_origins *peer = g_hash_table_lookup(node->streams.peers, instance);
    if (!peer) {
        peer = g_new0(nd_peer_origins, 1);
        g_hash_table_insert(node->streams.peers, g_strdup(instance), peer);
    }
    peer->known = *known;
    peer->heard_us = lp_query_clock_us();
}

typedef struct _nd_vote {
    const nd_node *node;
    uint64_t since_us;
    uint32_t lost;  /* instances that have lost the store */
    uint32_t other; /* all others that are known */
} _nd_vote;

static void
_nd_count_vote(const le_peer *peer, void *user_data)
{
    _nd_vote *vote = user_data;
    const nd_peer_origins *report =
        g_hash_table_lookup(vote->node->streams.peers, peer->instance);
    bool lost = report && report->heard_us > vote->since_us &&
                report->known.store_lost && !report->known.mixed;
    vote->lost += lost;
    vote->other += !lost;
}

bool
nd_query_store_lost_by_most(uint64_t since_us, void *user_data)
{
    const nd_node *node = user_data;
    gp_origins own = {0};
    nd_query_own_origins(&own, user_data);
    if (!own.store_lost || own.mixed || !node->streams.known ||
        !node->streams.store_lost_us ||
        !_nd_query_list_recent(node, node->streams.store_lost_us)) {
        return false;
    }
    _nd_vote vote = {.node = node, .since_us = since_us};
    le_each_peer(node->lease, _nd_count_vote, &vote);
    /* An instance alone cannot tell a lost store from being cut off. */
    return vote.lost > 0 && vote.lost + 1 > vote.other;
}
