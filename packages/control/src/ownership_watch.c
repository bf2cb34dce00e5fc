#include "ownership_internal.h"

/* -- private: who is watched ---------------------------------------------- */

static char *
_ow_peer_key(const _ow_peer *peer)
{
    return g_strdup_printf("%s/%" G_GUINT64_FORMAT, peer->instance,
                           peer->incarnation);
}

static char *
_ow_peer_row(const _ow_peer *peer)
{
    return g_strdup_printf("live/%s/%s/%" G_GUINT64_FORMAT, peer->zone,
                           peer->instance, peer->incarnation);
}

static _ow_peer *
_ow_peer_of(const ow_machine *ow, const _ow_call *call)
{
    _ow_peer *peer = g_hash_table_lookup(ow->peers, call->name);
    return peer && peer->call == call->number ? peer : NULL;
}

/* A server of ours to look after names this peer as its owner. */
static bool
_ow_owns_covered(const ow_machine *ow, const _ow_peer *peer)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, ow->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const _ow_server *server = value;
        bool owns = server->row.version != 0 &&
                    server->row.incarnation == peer->incarnation &&
                    g_str_equal(server->row.instance, peer->instance);
        if (owns && _ow_spread_covers(ow, server)) {
            return true;
        }
    }
    return false;
}

static bool
_ow_watched(const ow_machine *ow, const _ow_peer *peer)
{
    bool quiet = !_ow_peer_alive(peer) || peer->gone;
    if (!quiet || peer->final || peer->incarnation == 0) {
        return false;
    }
    bool self = peer->incarnation == ow->incarnation &&
                g_str_equal(peer->instance, ow->instance);
    if (self) {
        return false;
    }
    return g_str_equal(peer->zone, ow->zone) || _ow_owns_covered(ow, peer);
}

/* -- private: ending ------------------------------------------------------ */

/* Time from which this daemon may end a peer whose row it has read. */
static uint64_t
_ow_end_us(const ow_machine *ow, const _ow_peer *peer)
{
    if (peer->gone) {
        return 0;
    }
    uint64_t wait_us =
        peer->direct ? ow->lease_us : _co_ms_to_us(ow->desc.lease_far_ms);
    if (ow->desc.unsafe_skip_row_wait) {
        return peer->heard_us + wait_us;
    }
    return MAX(peer->row_seen_us, peer->heard_us) + wait_us;
}

static bool
_ow_may_end(const ow_machine *ow, const _ow_peer *peer, uint64_t now_us)
{
    g_autofree char *key = _ow_peer_key(peer);
    uint64_t turn_us = _ow_spread_rank(ow, key) * _OW_RANK_US;
    bool ready = ow->renew_call == 0 && ow->live_version != 0 && !ow->stopping;
    /* An heir that has never had a live row must not get one any more. */
    bool heir = peer->ended && _ow_owns_covered(ow, peer);
    return ready && (peer->row_version != 0 || heir) &&
           now_us >= _ow_end_us(ow, peer) + turn_us;
}

void
_ow_refuse(ow_machine *ow, const char *instance, uint64_t incarnation)
{
    ow_action *action = _ow_act(ow, OW_ACTION_REFUSE, NULL);
    action->instance = _co_outbox_copy_text(ow->box, instance);
    action->incarnation = incarnation;
}

static void
_ow_end(ow_machine *ow, _ow_peer *peer, uint64_t now_us)
{
    g_autofree char *key = _ow_peer_key(peer);
    g_autofree char *row = _ow_peer_row(peer);
    _ow_call *open = _ow_call_open(ow, now_us, _OW_CALL_END, key);
    /* With the own row in it, a daemon that was itself ended ends nobody. */
    ow->renew_call = open->number;
    peer->call = open->number;
    _co_call *call = _co_commit_new(open->number);
    _ow_lease_add(ow, call);
    /* Never deleted: a version that starts anew could fit an old renewal. */
    _co_commit_add(call, row, peer->row_version, _OW_TOMBSTONE);
    _ow_refuse(ow, peer->instance, peer->incarnation);
    _ow_call_send(ow, call);
}

static void
_ow_read(ow_machine *ow, _ow_peer *peer, uint64_t now_us)
{
    g_autofree char *key = _ow_peer_key(peer);
    g_autofree char *row = _ow_peer_row(peer);
    _ow_call *open = _ow_call_open(ow, now_us, _OW_CALL_WATCH, key);
    peer->call = open->number;
    _ow_call_send(ow, _co_read_new(open->number, row));
}

static void
_ow_seen(ow_machine *ow, _ow_peer *peer, const pf_row *row, uint64_t now_us)
{
    if (row->version == 0) {
        bool was = peer->row_version != 0 || peer->named;
        _ow_peer_end(peer, now_us);
        peer->final = was;
        peer->watch_us = now_us + _OW_ABSENT_US;
        return;
    }
    if (_ow_is_tombstone(row)) {
        _ow_peer_end(peer, now_us);
        peer->final = true;
        return;
    }
    peer->ended = false;
    if (row->version != peer->row_version) {
        peer->row_version = row->version;
        peer->row_seen_us = now_us;
    }
    peer->watch_us =
        MAX(_ow_end_us(ow, peer), now_us + _co_ms_to_us(ow->desc.watch_ms));
}

void
_ow_watch_result(ow_machine *ow, uint64_t now_us, const _ow_call *call,
                 const co_table_result *result)
{
    _ow_peer *peer = _ow_peer_of(ow, call);
    if (!peer) {
        return;
    }
    peer->call = 0;
    peer->watch_us = now_us + _OW_RETRY_US;
    if (result->code != ER_OK || result->read->count == 0) {
        return;
    }
    _ow_seen(ow, peer, &result->read->rows[0], now_us);
    if (!peer->final && _ow_watched(ow, peer) &&
        _ow_may_end(ow, peer, now_us)) {
        _ow_end(ow, peer, now_us);
    }
}

void
_ow_end_result(ow_machine *ow, uint64_t now_us, const _ow_call *call,
               const co_table_result *result)
{
    _ow_peer *peer = _ow_peer_of(ow, call);
    bool own = call->incarnation == ow->incarnation;
    if (ow->renew_call == call->number) {
        ow->renew_call = 0;
    }
    if (peer) {
        peer->call = 0;
        peer->watch_us = now_us + _co_ms_to_us(ow->desc.watch_ms);
    }
    if (result->code == ER_OK) {
        if (own) {
            _ow_lease_renewed(ow, call, result->commit->versions[0]);
        }
        if (peer) {
            _ow_peer_end(peer, now_us);
            peer->final = true;
        }
        return;
    }
    if (result->code != ER_CONFLICT) {
        ow->renew_us = now_us;
        return;
    }
    if (own && result->commit->rows[0].key) {
        _ow_lease_conflict(ow, now_us, &result->commit->rows[0]);
    }
    if (peer && result->commit->rows[1].key) {
        _ow_seen(ow, peer, &result->commit->rows[1], now_us);
    }
}

static gboolean
_ow_forgotten(void *key, void *value, void *user_data)
{
    (void)key;
    const _ow_peer *peer = value;
    uint64_t now_us = *(const uint64_t *)user_data;
    return peer->ended && peer->call == 0 &&
           now_us > peer->ended_us + _OW_FORGET_US;
}

void
_ow_watch_work(ow_machine *ow, uint64_t now_us)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, ow->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _ow_peer *peer = value;
        if (peer->call == 0 && now_us >= peer->watch_us &&
            _ow_watched(ow, peer)) {
            _ow_read(ow, peer, now_us);
        }
    }
    g_hash_table_foreach_remove(ow->peers, _ow_forgotten, &now_us);
}
