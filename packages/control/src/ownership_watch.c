#include "ownership_internal.h"

/* -- private: which peers are watched ------------------------------------- */

static char *
_ow_peer_key(const _ow_peer *peer)
{
    return g_strdup_printf("%s/%" G_GUINT64_FORMAT, peer->instance,
                           peer->incarnation);
}

static char *
_ow_peer_row_key(const _ow_peer *peer)
{
    return g_strdup_printf("live/%s/%s/%" G_GUINT64_FORMAT, peer->zone,
                           peer->instance, peer->incarnation);
}

static _ow_peer *
_ow_find_call_peer(const ow_machine *ow, const _ow_call *call)
{
    _ow_peer *peer = g_hash_table_lookup(ow->peers, call->name);
    return peer && peer->open_call == call->number ? peer : NULL;
}

/* Returns whether the peer owns a server that this daemon may take. */
static bool
_ow_owns_takeable_server(const ow_machine *ow, const _ow_peer *peer)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, ow->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const _ow_server *server = value;
        bool owns = server->row.version != 0 &&
                    server->row.incarnation == peer->incarnation &&
                    g_str_equal(server->row.instance, peer->instance);
        if (owns && _ow_is_responsible(ow, server)) {
            return true;
        }
    }
    return false;
}

/* Returns whether to read the peer's live row in order to end its incarnation:
   the peer is not alive, and it is of the own zone or owns a server that this
   daemon may take. */
static bool
_ow_must_watch(const ow_machine *ow, const _ow_peer *peer)
{
    bool inactive = !_ow_peer_alive(peer) || peer->instance_gone;
    if (!inactive || peer->ended_finally || peer->incarnation == 0) {
        return false;
    }
    bool self = peer->incarnation == ow->incarnation &&
                g_str_equal(peer->instance, ow->instance);
    if (self) {
        return false;
    }
    return g_str_equal(peer->zone, ow->zone) ||
           _ow_owns_takeable_server(ow, peer);
}

/* -- private: ending incarnations ----------------------------------------- */

/* Returns the time from which this daemon may end a peer whose live row it has
   read. */
static uint64_t
_ow_earliest_end_us(const ow_machine *ow, const _ow_peer *peer)
{
    if (peer->instance_gone) {
        return 0;
    }
    uint64_t wait_us = peer->direct_contact
                           ? ow->lease_us
                           : _co_ms_to_us(ow->desc.lease_indirect_ms);
    if (ow->desc.unsafe_skip_row_wait) {
        return peer->heard_us + wait_us;
    }
    return MAX(peer->row_changed_us, peer->heard_us) + wait_us;
}

static bool
_ow_may_end(const ow_machine *ow, const _ow_peer *peer, uint64_t now_us)
{
    g_autofree char *key = _ow_peer_key(peer);
    uint64_t rank_delay_us = _ow_rank(ow, key) * _OW_RANK_DELAY_US;
    bool ready = ow->renew_call == 0 && ow->live_version != 0 && !ow->stopping;
    /* A peer that got a server by a hand-over but never had a live row must
       not create one any more. */
    bool handed_over = peer->ended && _ow_owns_takeable_server(ow, peer);
    return ready && (peer->row_version != 0 || handed_over) &&
           now_us >= _ow_earliest_end_us(ow, peer) + rank_delay_us;
}

void
_ow_refuse_acks(ow_machine *ow, const char *instance, uint64_t incarnation)
{
    ow_action *action = _ow_push_action(ow, OW_ACTION_REFUSE_ACKS, NULL);
    action->instance = _co_outbox_copy_text(ow->outbox, instance);
    action->incarnation = incarnation;
}

static void
_ow_end_peer(ow_machine *ow, _ow_peer *peer, uint64_t now_us)
{
    g_autofree char *key = _ow_peer_key(peer);
    g_autofree char *row = _ow_peer_row_key(peer);
    _ow_call *open = _ow_call_open(ow, now_us, _OW_CALL_END_PEER, key);
    /* The commit includes the own renewal, so that a daemon whose own
       incarnation was ended cannot end another. */
    ow->renew_call = open->number;
    peer->open_call = open->number;
    _co_call *call = _co_commit_new(open->number);
    _ow_add_renewal(ow, call);
    /* A tombstone is written and the row never deleted: the versions of a new
       row could match the condition of an old renewal still under way. */
    _co_commit_add(call, row, peer->row_version, _OW_TOMBSTONE);
    _ow_refuse_acks(ow, peer->instance, peer->incarnation);
    _ow_call_send(ow, call);
}

static void
_ow_read_live_row(ow_machine *ow, _ow_peer *peer, uint64_t now_us)
{
    g_autofree char *key = _ow_peer_key(peer);
    g_autofree char *row = _ow_peer_row_key(peer);
    _ow_call *open = _ow_call_open(ow, now_us, _OW_CALL_READ_PEER, key);
    peer->open_call = open->number;
    _ow_call_send(ow, _co_read_new(open->number, row));
}

/* Stores what a read or a failed condition told about a peer's live row. An
   absent row ends the peer finally only if it existed before: otherwise it may
   yet be created. */
static void
_ow_note_live_row(ow_machine *ow, _ow_peer *peer, const pf_row *row,
                  uint64_t now_us)
{
    if (row->version == 0) {
        bool existed = peer->row_version != 0 || peer->row_existed;
        _ow_peer_mark_ended(peer, now_us);
        peer->ended_finally = existed;
        peer->next_read_us = now_us + _OW_ABSENT_REREAD_US;
        return;
    }
    if (_ow_is_tombstone(row)) {
        _ow_peer_mark_ended(peer, now_us);
        peer->ended_finally = true;
        return;
    }
    peer->ended = false;
    if (row->version != peer->row_version) {
        peer->row_version = row->version;
        peer->row_changed_us = now_us;
    }
    peer->next_read_us =
        MAX(_ow_earliest_end_us(ow, peer),
            now_us + _co_ms_to_us(ow->desc.watch_interval_ms));
}

void
_ow_watch_result(ow_machine *ow, uint64_t now_us, const _ow_call *call,
                 const co_table_result *result)
{
    _ow_peer *peer = _ow_find_call_peer(ow, call);
    if (!peer) {
        return;
    }
    peer->open_call = 0;
    peer->next_read_us = now_us + _OW_RETRY_US;
    if (result->code != ER_OK || result->read->count == 0) {
        return;
    }
    _ow_note_live_row(ow, peer, &result->read->rows[0], now_us);
    if (!peer->ended_finally && _ow_must_watch(ow, peer) &&
        _ow_may_end(ow, peer, now_us)) {
        _ow_end_peer(ow, peer, now_us);
    }
}

void
_ow_end_result(ow_machine *ow, uint64_t now_us, const _ow_call *call,
               const co_table_result *result)
{
    _ow_peer *peer = _ow_find_call_peer(ow, call);
    bool same_incarnation = call->incarnation == ow->incarnation;
    if (ow->renew_call == call->number) {
        ow->renew_call = 0;
    }
    if (peer) {
        peer->open_call = 0;
        peer->next_read_us = now_us + _co_ms_to_us(ow->desc.watch_interval_ms);
    }
    if (result->code == ER_OK) {
        if (same_incarnation) {
            _ow_lease_renewed(ow, call, result->commit->versions[0]);
        }
        if (peer) {
            _ow_peer_mark_ended(peer, now_us);
            peer->ended_finally = true;
        }
        return;
    }
    if (result->code != ER_CONFLICT) {
        ow->next_renew_us = now_us;
        return;
    }
    if (same_incarnation && result->commit->rows[0].key) {
        _ow_lease_conflict(ow, now_us, &result->commit->rows[0]);
    }
    if (peer && result->commit->rows[1].key) {
        _ow_note_live_row(ow, peer, &result->commit->rows[1], now_us);
    }
}

static gboolean
_ow_peer_expired(void *key, void *value, void *user_data)
{
    (void)key;
    const _ow_peer *peer = value;
    uint64_t now_us = *(const uint64_t *)user_data;
    return peer->ended && peer->open_call == 0 &&
           now_us > peer->ended_us + _OW_PEER_RETENTION_US;
}

void
_ow_watch_work(ow_machine *ow, uint64_t now_us)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, ow->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _ow_peer *peer = value;
        if (peer->open_call == 0 && now_us >= peer->next_read_us &&
            _ow_must_watch(ow, peer)) {
            _ow_read_live_row(ow, peer, now_us);
        }
    }
    g_hash_table_foreach_remove(ow->peers, _ow_peer_expired, &now_us);
}
