#include "membership_internal.h"

#include <string.h>

/* -- private: links ------------------------------------------------------- */

typedef struct _mb_ranked_peer {
    _mb_peer *peer;
    uint64_t hash;
} _mb_ranked_peer;

static int
_mb_ranked_peer_compare(const void *a, const void *b)
{
    const _mb_ranked_peer *left = a;
    const _mb_ranked_peer *right = b;
    if (left->hash != right->hash) {
        return left->hash < right->hash ? -1 : 1;
    }
    return strcmp(left->peer->instance, right->peer->instance);
}

/* Returns the peers of our zone that are not dead, on a ring ordered by the
   hashes of their names and starting at our own hash. */
static GArray *
_mb_zone_ring(const mb_machine *mb)
{
    GArray *ring = g_array_new(FALSE, FALSE, sizeof(_mb_ranked_peer));
    uint64_t own = _co_hash(mb->desc.instance, "", 0);
    for (guint i = 0; i < mb->peer_list->len; i++) {
        _mb_peer *peer = mb->peer_list->pdata[i];
        if (peer->state == CO_PEER_DEAD || !peer->same_zone) {
            continue;
        }
        _mb_ranked_peer ranked = {
            .peer = peer, .hash = _co_hash(peer->instance, "", 0) - own};
        g_array_append_val(ring, ranked);
    }
    g_array_sort(ring, _mb_ranked_peer_compare);
    return ring;
}

/* Links all peers of our zone if there are at most zone_links, else the
   nearest ones on both sides of us on the ring. */
static void
_mb_link_zone(mb_machine *mb)
{
    g_autoptr(GArray) ring = _mb_zone_ring(mb);
    guint side = (mb->desc.zone_links + 1) / 2; /* links on each side */
    for (guint i = 0; i < ring->len; i++) {
        bool wanted = ring->len <= mb->desc.zone_links || i < side ||
                      i >= ring->len - side;
        if (wanted) {
            g_array_index(ring, _mb_ranked_peer, i).peer->linked = true;
        }
    }
}

/* Returns a hash of both names that is the same at both ends, so that links
   tend to be mutual. */
static uint64_t
_mb_pair_hash(const mb_machine *mb, const _mb_peer *peer)
{
    const char *own = mb->desc.instance;
    bool smaller = strcmp(own, peer->instance) < 0;
    return smaller ? _co_hash(own, peer->instance, 0)
                   : _co_hash(peer->instance, own, 0);
}

/* Links the remote_links peers of another zone with the lowest hashes. */
static void
_mb_link_remote_zone(mb_machine *mb, const char *zone)
{
    g_autoptr(GArray) ranked_peers =
        g_array_new(FALSE, FALSE, sizeof(_mb_ranked_peer));
    for (guint i = 0; i < mb->peer_list->len; i++) {
        _mb_peer *peer = mb->peer_list->pdata[i];
        if (peer->state != CO_PEER_DEAD && strcmp(peer->zone, zone) == 0) {
            _mb_ranked_peer ranked = {.peer = peer,
                                      .hash = _mb_pair_hash(mb, peer)};
            g_array_append_val(ranked_peers, ranked);
        }
    }
    g_array_sort(ranked_peers, _mb_ranked_peer_compare);
    for (guint i = 0; i < ranked_peers->len && i < mb->desc.remote_links;
         i++) {
        g_array_index(ranked_peers, _mb_ranked_peer, i).peer->linked = true;
    }
}

static void
_mb_link_remote(mb_machine *mb)
{
    g_autoptr(GHashTable) zones = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < mb->peer_list->len; i++) {
        const _mb_peer *peer = mb->peer_list->pdata[i];
        if (!peer->same_zone && g_hash_table_add(zones, peer->zone)) {
            _mb_link_remote_zone(mb, peer->zone);
        }
    }
}

void
_mb_update_links(mb_machine *mb, uint64_t now_us)
{
    if (!mb->links_stale) {
        return;
    }
    mb->links_stale = false;
    for (guint i = 0; i < mb->peer_list->len; i++) {
        _mb_peer *peer = mb->peer_list->pdata[i];
        peer->linked = false;
    }
    _mb_link_zone(mb);
    _mb_link_remote(mb);
    for (guint i = 0; i < mb->peer_list->len; i++) {
        _mb_peer *peer = mb->peer_list->pdata[i];
        if (peer->linked && !peer->heard_directly) {
            peer->next_send_us = MIN(peer->next_send_us, now_us);
        }
    }
}

/* -- private: contents of heartbeats -------------------------------------- */

/* Copies a peer for a heartbeat. Suspicion is local and is sent as ready. */
static mb_peer
_mb_copy_peer(mb_machine *mb, const _mb_peer *peer)
{
    bool suspect = peer->state == CO_PEER_SUSPECT;
    return (mb_peer){
        .instance = _co_outbox_copy_text(mb->outbox, peer->instance),
        .zone = _co_outbox_copy_text(mb->outbox, peer->zone),
        .address = _co_outbox_copy_text(mb->outbox, peer->address),
        .incarnation = peer->incarnation,
        .sequence = peer->sequence,
        .config_version = peer->config_version,
        .state = suspect ? CO_PEER_READY : peer->state,
    };
}

/* Adds peers whose state changed within _MB_RECENT_CHANGE_US; returns their
   number. */
static size_t
_mb_sample_recent_changes(mb_machine *mb, const _mb_peer *receiver,
                          uint64_t now_us, mb_peer *sample, size_t limit)
{
    size_t count = 0;
    for (guint i = 0; i < mb->peer_list->len && count < limit; i++) {
        const _mb_peer *peer = mb->peer_list->pdata[i];
        if (peer != receiver && peer->incarnation &&
            now_us < peer->recent_until_us) {
            sample[count++] = _mb_copy_peer(mb, peer);
        }
    }
    return count;
}

/* Fills the sample with recent changes, then with the next live peers in
   round-robin order; returns its size. */
static size_t
_mb_build_sample(mb_machine *mb, const _mb_peer *receiver, uint64_t now_us,
                 mb_peer *sample)
{
    bool same_zone = receiver->same_zone;
    size_t rotating =
        MIN(mb->desc.sample_peers * (same_zone ? 1 : 2), MB_SAMPLE_MAX);
    size_t count = _mb_sample_recent_changes(mb, receiver, now_us, sample,
                                             MB_SAMPLE_MAX - rotating);
    size_t limit = count + rotating;
    guint total = mb->peer_list->len;
    for (guint i = 0; i < total && count < limit; i++) {
        const _mb_peer *peer =
            mb->peer_list->pdata[mb->sample_cursor++ % total];
        if (peer != receiver && _mb_peer_alive(peer)) {
            sample[count++] = _mb_copy_peer(mb, peer);
        }
    }
    return count;
}

/* Collects leaving servers, newest first, that were named to this peer in
   fewer than leaving_repeats heartbeats; returns their number. */
static size_t
_mb_collect_leaving_servers(mb_machine *mb, _mb_peer *peer, const char **names)
{
    size_t count = 0;
    for (guint i = mb->leaving_servers->len;
         i > 0 && count < MB_LEAVING_SERVERS_MAX; i--) {
        const char *name = mb->leaving_servers->pdata[i - 1];
        guint times = GPOINTER_TO_UINT(
            g_hash_table_lookup(peer->leaving_sent_counts, name));
        if (times >= mb->desc.leaving_repeats) {
            continue;
        }
        g_hash_table_insert(peer->leaving_sent_counts, g_strdup(name),
                            GUINT_TO_POINTER(times + 1));
        names[count++] = _co_outbox_copy_text(mb->outbox, name);
    }
    return count;
}

static uint64_t
_mb_period_us(const mb_machine *mb, const _mb_peer *peer)
{
    if (peer->state == CO_PEER_DEAD || !peer->incarnation) {
        return _MB_DEAD_PROBE_PERIOD_US;
    }
    return _co_ms_to_us(peer->same_zone ? mb->desc.period_ms
                                        : mb->desc.remote_period_ms);
}

/* Returns true when heartbeats go to the peer only because it links to us and
   we do not link to it. Answers are not answered in turn, so they end when
   the peer drops its link: three periods after its last heartbeat that was no
   answer. */
static bool
_mb_is_answer(const mb_machine *mb, const _mb_peer *peer, uint64_t now_us)
{
    uint64_t timeout_us = 3 * _mb_period_us(mb, peer);
    return !peer->linked && peer->heard_directly &&
           peer->last_unsolicited_us &&
           now_us - peer->last_unsolicited_us < timeout_us;
}

static bool
_mb_asks_to_watch(const _mb_peer *peer)
{
    return peer->linked && peer->same_zone;
}

static void
_mb_send_heartbeat(mb_machine *mb, _mb_peer *peer, uint64_t now_us)
{
    uint64_t sequence = ++mb->sequence;
    size_t slot = sequence % _MB_SENT_TIMES;
    peer->sent[slot].sequence = sequence;
    peer->sent[slot].sent_us = now_us;
    bool watch = _mb_asks_to_watch(peer);
    if (watch) {
        peer->may_watch_us = true;
        peer->watch_sequence = sequence;
    }
    mb_action *action = _co_outbox_push(mb->outbox);
    mb_peer *sample = g_new0(mb_peer, MB_SAMPLE_MAX);
    const char **leaving = g_new0(const char *, MB_LEAVING_SERVERS_MAX);
    _co_outbox_take_memory(mb->outbox, sample);
    _co_outbox_take_memory(mb->outbox, leaving);
    action->type = MB_ACTION_SEND;
    action->instance = _co_outbox_copy_text(mb->outbox, peer->instance);
    action->zone = _co_outbox_copy_text(mb->outbox, peer->zone);
    action->address = _co_outbox_copy_text(mb->outbox, peer->address);
    action->incarnation = peer->incarnation;
    action->heartbeat = (mb_heartbeat){
        .incarnation = mb->incarnation,
        .sequence = sequence,
        .ack_sequence = peer->incarnation > peer->refused_incarnation
                            ? peer->direct_sequence
                            : 0,
        .ack_incarnation = peer->incarnation,
        .config_version = mb->config_version,
        .state = mb->state,
        .watch = watch,
        .answer = _mb_is_answer(mb, peer, now_us),
        .peers = sample,
        .peer_count = _mb_build_sample(mb, peer, now_us, sample),
        .leaving_servers = leaving,
        .leaving_count = _mb_collect_leaving_servers(mb, peer, leaving),
    };
}

/* -- private: times of heartbeats ----------------------------------------- */

/* Returns true for linked peers, peers that may watch us, peers that link to
   us, and dead or unheard-of ones, which may only be cut off. */
static bool
_mb_gets_heartbeats(const mb_machine *mb, const _mb_peer *peer,
                    uint64_t now_us)
{
    if (peer->linked || peer->may_watch_us || peer->state == CO_PEER_DEAD ||
        !peer->incarnation) {
        return true;
    }
    return _mb_is_answer(mb, peer, now_us);
}

void
_mb_send_due(mb_machine *mb, uint64_t now_us)
{
    for (guint i = 0; i < mb->peer_list->len; i++) {
        _mb_peer *peer = mb->peer_list->pdata[i];
        if (peer->next_send_us > now_us ||
            !_mb_gets_heartbeats(mb, peer, now_us)) {
            continue;
        }
        peer->next_send_us = now_us + _mb_period_us(mb, peer);
        _mb_send_heartbeat(mb, peer, now_us);
    }
}

void
_mb_schedule_send_to_linked(mb_machine *mb, uint64_t now_us)
{
    for (guint i = 0; i < mb->peer_list->len; i++) {
        _mb_peer *peer = mb->peer_list->pdata[i];
        if (peer->linked) {
            peer->next_send_us = now_us;
        }
    }
    mb->next_work_us = now_us;
}
