#include "membership_internal.h"

#include <string.h>

/* -- private: whom -------------------------------------------------------- */

typedef struct _mb_rank {
    _mb_peer *peer;
    uint64_t hash;
} _mb_rank;

static int
_mb_rank_compare(const void *a, const void *b)
{
    const _mb_rank *left = a;
    const _mb_rank *right = b;
    if (left->hash != right->hash) {
        return left->hash < right->hash ? -1 : 1;
    }
    return strcmp(left->peer->instance, right->peer->instance);
}

/* Peers of the own zone that are not dead, in the order of the names' hashes
   as seen from our own. */
static GArray *
_mb_zone_ring(const mb_machine *mb)
{
    GArray *ring = g_array_new(FALSE, FALSE, sizeof(_mb_rank));
    uint64_t own = _co_hash(mb->desc.instance, "", 0);
    for (guint i = 0; i < mb->order->len; i++) {
        _mb_peer *peer = mb->order->pdata[i];
        if (peer->state == CO_PEER_DEAD || !peer->near) {
            continue;
        }
        _mb_rank rank = {.peer = peer,
                         .hash = _co_hash(peer->instance, "", 0) - own};
        g_array_append_val(ring, rank);
    }
    g_array_sort(ring, _mb_rank_compare);
    return ring;
}

static void
_mb_link_zone(mb_machine *mb)
{
    g_autoptr(GArray) ring = _mb_zone_ring(mb);
    guint side = (mb->desc.zone_links + 1) / 2;
    for (guint i = 0; i < ring->len; i++) {
        bool wanted = ring->len <= mb->desc.zone_links || i < side ||
                      i >= ring->len - side;
        if (wanted) {
            g_array_index(ring, _mb_rank, i).peer->linked = true;
        }
    }
}

/* The same hash of both names at both ends, so that links tend to be mutual.
 */
static uint64_t
_mb_pair_hash(const mb_machine *mb, const _mb_peer *peer)
{
    const char *own = mb->desc.instance;
    bool smaller = strcmp(own, peer->instance) < 0;
    return smaller ? _co_hash(own, peer->instance, 0)
                   : _co_hash(peer->instance, own, 0);
}

static void
_mb_link_remote_zone(mb_machine *mb, const char *zone)
{
    g_autoptr(GArray) ranks = g_array_new(FALSE, FALSE, sizeof(_mb_rank));
    for (guint i = 0; i < mb->order->len; i++) {
        _mb_peer *peer = mb->order->pdata[i];
        if (peer->state != CO_PEER_DEAD && strcmp(peer->zone, zone) == 0) {
            _mb_rank rank = {.peer = peer, .hash = _mb_pair_hash(mb, peer)};
            g_array_append_val(ranks, rank);
        }
    }
    g_array_sort(ranks, _mb_rank_compare);
    for (guint i = 0; i < ranks->len && i < mb->desc.remote_links; i++) {
        g_array_index(ranks, _mb_rank, i).peer->linked = true;
    }
}

static void
_mb_link_remote(mb_machine *mb)
{
    g_autoptr(GHashTable) zones = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < mb->order->len; i++) {
        const _mb_peer *peer = mb->order->pdata[i];
        if (!peer->near && g_hash_table_add(zones, peer->zone)) {
            _mb_link_remote_zone(mb, peer->zone);
        }
    }
}

void
_mb_links_work_out(mb_machine *mb, uint64_t now_us)
{
    if (!mb->links_stale) {
        return;
    }
    mb->links_stale = false;
    for (guint i = 0; i < mb->order->len; i++) {
        _mb_peer *peer = mb->order->pdata[i];
        peer->linked = false;
    }
    _mb_link_zone(mb);
    _mb_link_remote(mb);
    for (guint i = 0; i < mb->order->len; i++) {
        _mb_peer *peer = mb->order->pdata[i];
        if (peer->linked && !peer->direct) {
            peer->send_us = MIN(peer->send_us, now_us);
        }
    }
}

/* -- private: what -------------------------------------------------------- */

static mb_peer
_mb_copy(mb_machine *mb, const _mb_peer *peer)
{
    bool suspect = peer->state == CO_PEER_SUSPECT;
    return (mb_peer){
        .instance = _co_outbox_text(mb->out, peer->instance),
        .zone = _co_outbox_text(mb->out, peer->zone),
        .address = _co_outbox_text(mb->out, peer->address),
        .incarnation = peer->incarnation,
        .sequence = peer->sequence,
        .config_version = peer->config_version,
        .state = suspect ? CO_PEER_READY : peer->state,
    };
}

/* Peers whose state changed lately. */
static size_t
_mb_sample_news(mb_machine *mb, const _mb_peer *receiver, uint64_t now_us,
                mb_peer *sample, size_t most)
{
    size_t count = 0;
    for (guint i = 0; i < mb->order->len && count < most; i++) {
        const _mb_peer *peer = mb->order->pdata[i];
        if (peer != receiver && peer->incarnation && now_us < peer->news_us) {
            sample[count++] = _mb_copy(mb, peer);
        }
    }
    return count;
}

/* A turn of the peers that are known to live, after the news. */
static size_t
_mb_sample(mb_machine *mb, const _mb_peer *receiver, uint64_t now_us,
           mb_peer *sample)
{
    bool near = receiver->near;
    size_t turn = MIN(mb->desc.sample * (near ? 1 : 2), MB_SAMPLE);
    size_t count =
        _mb_sample_news(mb, receiver, now_us, sample, MB_SAMPLE - turn);
    size_t most = count + turn;
    guint total = mb->order->len;
    for (guint i = 0; i < total && count < most; i++) {
        const _mb_peer *peer = mb->order->pdata[mb->sample_cursor++ % total];
        if (peer != receiver && _mb_peer_alive(peer)) {
            sample[count++] = _mb_copy(mb, peer);
        }
    }
    return count;
}

/* Leaving servers that this peer has not been told of often enough. */
static size_t
_mb_leaving(mb_machine *mb, _mb_peer *peer, const char **names)
{
    size_t count = 0;
    for (guint i = mb->leaving->len; i > 0 && count < MB_LEAVING_SERVERS;
         i--) {
        const char *name = mb->leaving->pdata[i - 1];
        guint times = GPOINTER_TO_UINT(g_hash_table_lookup(peer->named, name));
        if (times >= mb->desc.leaving_repeat) {
            continue;
        }
        g_hash_table_insert(peer->named, g_strdup(name),
                            GUINT_TO_POINTER(times + 1));
        names[count++] = _co_outbox_text(mb->out, name);
    }
    return count;
}

static uint64_t
_mb_period_us(const mb_machine *mb, const _mb_peer *peer)
{
    if (peer->state == CO_PEER_DEAD || !peer->incarnation) {
        return _MB_PROBE_US;
    }
    return _co_us(peer->near ? mb->desc.period_ms : mb->desc.remote_period_ms);
}

/* Not linked by our plan, but by its. An answer calls for no answer, so that
   such a link ends with the plan that made it. */
static bool
_mb_is_answer(const mb_machine *mb, const _mb_peer *peer, uint64_t now_us)
{
    uint64_t wait_us = 3 * _mb_period_us(mb, peer);
    return !peer->linked && peer->direct && peer->asked_us &&
           now_us - peer->asked_us < wait_us;
}

static bool
_mb_asks_to_watch(const _mb_peer *peer)
{
    return peer->linked && peer->near;
}

static void
_mb_send(mb_machine *mb, _mb_peer *peer, uint64_t now_us)
{
    uint64_t sequence = ++mb->sequence;
    size_t slot = sequence % _MB_SENT_RING;
    peer->sent[slot].sequence = sequence;
    peer->sent[slot].sent_us = now_us;
    bool watch = _mb_asks_to_watch(peer);
    if (watch) {
        peer->watched = true;
        peer->watch_sequence = sequence;
    }
    mb_action *action = _co_outbox_push(mb->out);
    mb_peer *sample = g_new0(mb_peer, MB_SAMPLE);
    const char **leaving = g_new0(const char *, MB_LEAVING_SERVERS);
    _co_outbox_keep(mb->out, sample);
    _co_outbox_keep(mb->out, leaving);
    action->type = MB_ACTION_SEND;
    action->instance = _co_outbox_text(mb->out, peer->instance);
    action->zone = _co_outbox_text(mb->out, peer->zone);
    action->address = _co_outbox_text(mb->out, peer->address);
    action->incarnation = peer->incarnation;
    action->heartbeat = (mb_heartbeat){
        .incarnation = mb->incarnation,
        .sequence = sequence,
        .ack_sequence =
            peer->incarnation > peer->refused ? peer->heard_sequence : 0,
        .ack_incarnation = peer->incarnation,
        .config_version = mb->config_version,
        .state = mb->state,
        .watch = watch,
        .answer = _mb_is_answer(mb, peer, now_us),
        .peers = sample,
        .peer_count = _mb_sample(mb, peer, now_us, sample),
        .leaving_servers = leaving,
        .leaving_count = _mb_leaving(mb, peer, leaving),
    };
}

/* -- private: when -------------------------------------------------------- */

/* Linked peers, whoever asks us by its plan, and now and then the dead that
   the platform still lists or that may be cut off. */
static bool
_mb_gets_heartbeats(const mb_machine *mb, const _mb_peer *peer,
                    uint64_t now_us)
{
    if (peer->linked || peer->watched || peer->state == CO_PEER_DEAD ||
        !peer->incarnation) {
        return true;
    }
    return _mb_is_answer(mb, peer, now_us);
}

void
_mb_send_due(mb_machine *mb, uint64_t now_us)
{
    for (guint i = 0; i < mb->order->len; i++) {
        _mb_peer *peer = mb->order->pdata[i];
        if (peer->send_us > now_us || !_mb_gets_heartbeats(mb, peer, now_us)) {
            continue;
        }
        peer->send_us = now_us + _mb_period_us(mb, peer);
        _mb_send(mb, peer, now_us);
    }
}

void
_mb_send_soon(mb_machine *mb, uint64_t now_us)
{
    for (guint i = 0; i < mb->order->len; i++) {
        _mb_peer *peer = mb->order->pdata[i];
        if (peer->linked) {
            peer->send_us = now_us;
        }
    }
    mb->work_us = now_us;
}
