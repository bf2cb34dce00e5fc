#include "quota.h"

#include "lacewing/hash.h"
#include <glib.h>
#include <math.h>
#include <string.h>

/* Part of a burst that is used: the rest covers what other instances admit
   before they are heard. */
#define _QT_BURST_PART 0.8
/* The bucket's level is brought back to zero within about this time. */
#define _QT_LEVEL_S 1.0
/* Time constant of the rate at which requests are asked for. */
#define _QT_ASKED_DECAY_US 1000000.0
/* The same for the counts that tell the parts of the instances: long enough
   to change little while an instance is not heard. */
#define _QT_PART_DECAY_US 5000000.0
/* For this long after the first quotas are known, the others' counts are not:
   two messages of each are needed, which come every 270 ms at most, and some
   are lost. */
#define _QT_STARTING_US 2000000
/* An instance that is not heard for this long keeps its part of the quotas:
   messages come every 90 to 270 ms and some are lost. */
#define _QT_UNHEARD_US 1000000
/* After this time, the part of an unheard instance is used again if most of
   the quota is held by instances that are heard: it has ended, or is cut off
   for so long that its callers have gone elsewhere. */
#define _QT_RECLAIM_US 20000000
/* Sums are sent at these intervals, sooner where the quota is nearly used up:
   that saves most of the bytes for workspaces far below their quota. */
#define _QT_REPORT_US 500000
#define _QT_REPORT_BUSY_US 150000
#define _QT_BUSY_PART 0.75
/* Times that a changed sum is sent, as messages may be lost. */
#define _QT_REPEATS 3
/* Shortest time after which a refused caller comes back, and the largest
   multiple of it by the excess of demand. */
#define _QT_MIN_RETRY_MS 500.0
#define _QT_MAX_RETRY_FACTOR 6.0

/* A count that decays with a time constant. */
typedef struct _qt_count {
    double sum;
    uint64_t at_us; /* when the sum was computed */
} _qt_count;

typedef struct _qt_peer {
    char *instance;
    uint64_t heard_us;
    bool unheard;
} _qt_peer;

/* Of one workspace at another instance. */
typedef struct _qt_peer_use {
    uint64_t incarnation; /* of the sums */
    uint64_t admitted;
    uint64_t refused;
    _qt_count asked;  /* for its part of the quota */
    double lost_part; /* of the quota, since the instance is not heard */
} _qt_peer_use;

typedef struct _qt_quota {
    uint32_t hash;
    double per_s; /* 0: no limit */
    double burst;
    uint32_t generation;   /* of qt_quotas, when it was set last */
    double level;          /* of the shared bucket */
    uint64_t level_us;     /* when it was computed */
    _qt_count asked;       /* over all instances */
    _qt_count asked_parts; /* the same, slower: to tell their parts */
    _qt_count own_asked;   /* at this instance */
    uint64_t admitted;     /* here, since the start */
    uint64_t refused;
    uint32_t repeats_left;
    uint64_t reported_us;
    double lost_part;      /* sum over unheard instances */
    GHashTable *peer_uses; /* _qt_peer -> _qt_peer_use */
} _qt_quota;

struct qt_quotas {
    GHashTable *by_name; /* name -> _qt_quota */
    GHashTable *by_hash; /* hash of the name -> _qt_quota, not owned */
    GHashTable *peers;   /* instance -> _qt_peer */
    uint32_t instance_count;
    uint64_t started_us; /* when the first quotas were known; 0: not yet */
    uint32_t generation; /* counts the calls of qt_set_limits() */
};

/* -- private: rates and the bucket ---------------------------------------- */

static double
_qt_query_count(const _qt_count *count, double decay_us, uint64_t now_us)
{
    return now_us > count->at_us
               ? count->sum * exp(-(double)(now_us - count->at_us) / decay_us)
               : count->sum;
}

static void
_qt_add(_qt_count *count, double decay_us, double amount, uint64_t now_us)
{
    count->sum = _qt_query_count(count, decay_us, now_us) + amount;
    count->at_us = MAX(count->at_us, now_us);
}

static void
_qt_add_asked(_qt_quota *quota, double amount, uint64_t now_us)
{
    _qt_add(&quota->asked, _QT_ASKED_DECAY_US, amount, now_us);
    _qt_add(&quota->asked_parts, _QT_PART_DECAY_US, amount, now_us);
}

static double
_qt_heard_part(const _qt_quota *quota)
{
    return MAX(1.0 - quota->lost_part, 0.0);
}

static bool
_qt_is_starting(const qt_quotas *quotas, uint64_t now_us)
{
    return now_us < quotas->started_us + _QT_STARTING_US;
}

/* Returns the part of the quota that this instance and those that it hears use
   together; while it starts, that is an equal part for itself. */
static double
_qt_usable_part(const qt_quotas *quotas, const _qt_quota *quota,
                uint64_t now_us)
{
    return _qt_is_starting(quotas, now_us)
               ? 1.0 / MAX(quotas->instance_count, 1)
               : _qt_heard_part(quota);
}

static void
_qt_fill(const qt_quotas *quotas, _qt_quota *quota, uint64_t now_us)
{
    double part = _qt_usable_part(quotas, quota, now_us);
    if (now_us > quota->level_us) {
        double elapsed_s = (double)(now_us - quota->level_us) / G_USEC_PER_SEC;
        quota->level += elapsed_s * quota->per_s * part;
        quota->level_us = now_us;
    }
    quota->level = MIN(quota->level, quota->burst * _QT_BURST_PART * part);
}

/* -- private: other instances --------------------------------------------- */

static void
_qt_free_peer(void *data)
{
    g_free(((_qt_peer *)data)->instance);
    g_free(data);
}

static void
_qt_free_quota(void *data)
{
    g_hash_table_unref(((_qt_quota *)data)->peer_uses);
    g_free(data);
}

/* Returns what is known of a workspace's use at another instance; creates it
   on first use. */
static _qt_peer_use *
_qt_get_peer_use(_qt_quota *quota, const _qt_peer *peer)
{
    _qt_peer_use *use = g_hash_table_lookup(quota->peer_uses, (gpointer)peer);
    if (!use) {
        use = g_new0(_qt_peer_use, 1);
        g_hash_table_insert(quota->peer_uses, (gpointer)peer, use);
    }
    return use;
}

/* Keeps the part of the quota for an instance that is no longer heard: half by
   what it asked for and half by the number of instances, as demand moves. */
static void
_qt_keep_part(_qt_quota *quota, const _qt_peer *lost, guint instance_count,
              uint64_t now_us)
{
    _qt_peer_use *use = _qt_get_peer_use(quota, lost);
    double asked = _qt_query_count(&use->asked, _QT_PART_DECAY_US, now_us);
    double all =
        _qt_query_count(&quota->asked_parts, _QT_PART_DECAY_US, now_us);
    use->lost_part = 0.5 / instance_count;
    if (all > 0) {
        use->lost_part += 0.5 * MIN(asked / all, 1.0);
    }
    quota->lost_part += use->lost_part;
}

static void
_qt_return_part(_qt_quota *quota, const _qt_peer *peer)
{
    _qt_peer_use *use = g_hash_table_lookup(quota->peer_uses, (gpointer)peer);
    if (use) {
        quota->lost_part = MAX(quota->lost_part - use->lost_part, 0.0);
        use->lost_part = 0;
    }
}

static void
_qt_lose_peer(qt_quotas *quotas, _qt_peer *peer, uint64_t now_us)
{
    GHashTableIter iter;
    gpointer quota;
    peer->unheard = true;
    g_hash_table_iter_init(&iter, quotas->by_name);
    while (g_hash_table_iter_next(&iter, NULL, &quota)) {
        _qt_keep_part(quota, peer, g_hash_table_size(quotas->peers) + 1,
                      now_us);
    }
}

/* Returns the parts that are kept for the instance. */
static void
_qt_regain_peer(qt_quotas *quotas, _qt_peer *peer)
{
    GHashTableIter iter;
    gpointer quota;
    peer->unheard = false;
    g_hash_table_iter_init(&iter, quotas->by_name);
    while (g_hash_table_iter_next(&iter, NULL, &quota)) {
        _qt_return_part(quota, peer);
    }
}

static void
_qt_forget_peer(qt_quotas *quotas, _qt_peer *peer)
{
    GHashTableIter iter;
    gpointer quota;
    _qt_regain_peer(quotas, peer);
    g_hash_table_iter_init(&iter, quotas->by_name);
    while (g_hash_table_iter_next(&iter, NULL, &quota)) {
        g_hash_table_remove(((_qt_quota *)quota)->peer_uses, peer);
    }
}

/* Notices the instances that are no longer heard. */
static void
_qt_review_peers(qt_quotas *quotas, uint64_t now_us)
{
    guint unheard_count = 0;
    GHashTableIter iter;
    gpointer data;
    g_hash_table_iter_init(&iter, quotas->peers);
    while (g_hash_table_iter_next(&iter, NULL, &data)) {
        _qt_peer *peer = data;
        if (!peer->unheard && now_us >= peer->heard_us + _QT_UNHEARD_US) {
            _qt_lose_peer(quotas, peer, now_us);
        }
        unheard_count += peer->unheard;
    }
    if (2 * unheard_count >= g_hash_table_size(quotas->peers) + 1) {
        return;
    }
    g_hash_table_iter_init(&iter, quotas->peers);
    while (unheard_count && g_hash_table_iter_next(&iter, NULL, &data)) {
        _qt_peer *peer = data;
        if (peer->unheard && now_us >= peer->heard_us + _QT_RECLAIM_US) {
            _qt_forget_peer(quotas, peer);
            g_hash_table_iter_remove(&iter);
        }
    }
}

static _qt_peer *
_qt_get_peer(qt_quotas *quotas, const char *instance)
{
    _qt_peer *peer = g_hash_table_lookup(quotas->peers, instance);
    if (!peer) {
        peer = g_new0(_qt_peer, 1);
        peer->instance = g_strdup(instance);
        g_hash_table_insert(quotas->peers, peer->instance, peer);
    }
    return peer;
}

/* -- public --------------------------------------------------------------- */

qt_quotas *
qt_create(void)
{
    qt_quotas *quotas = g_new0(qt_quotas, 1);
    quotas->by_name =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, _qt_free_quota);
    quotas->by_hash = g_hash_table_new(NULL, NULL);
    quotas->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, _qt_free_peer);
    return quotas;
}

void
qt_destroy(qt_quotas *quotas)
{
    if (quotas) {
        g_hash_table_unref(quotas->by_hash);
        g_hash_table_unref(quotas->by_name);
        g_hash_table_unref(quotas->peers);
        g_free(quotas);
    }
}

void
qt_set_instance_count(qt_quotas *quotas, uint32_t count)
{
    quotas->instance_count = count;
}

typedef struct _qt_setting {
    qt_quotas *quotas;
    uint64_t now_us;
} _qt_setting;

static void
_qt_set_limit(const wp_workspace *workspace, void *user_data)
{
    const _qt_setting *setting = user_data;
    qt_quotas *quotas = setting->quotas;
    _qt_quota *quota = g_hash_table_lookup(quotas->by_name, workspace->name);
    if (quota) {
        _qt_fill(quotas, quota, setting->now_us);
    }
    else {
        quota = g_new0(_qt_quota, 1);
        quota->hash = (uint32_t)hs_u64(workspace->name);
        quota->level_us = setting->now_us;
        quota->peer_uses = g_hash_table_new_full(NULL, NULL, NULL, g_free);
        g_hash_table_insert(quotas->by_name, g_strdup(workspace->name), quota);
        g_hash_table_insert(quotas->by_hash, GUINT_TO_POINTER(quota->hash),
                            quota);
    }
    quota->per_s = workspace->per_s;
    quota->burst = workspace->burst;
    quota->generation = quotas->generation;
}

static gboolean
_qt_is_outdated(gpointer name, gpointer data, gpointer user_data)
{
    (void)name;
    const _qt_quota *quota = data;
    qt_quotas *quotas = user_data;
    if (quota->generation == quotas->generation) {
        return FALSE;
    }
    g_hash_table_remove(quotas->by_hash, GUINT_TO_POINTER(quota->hash));
    return TRUE;
}

void
qt_set_limits(qt_quotas *quotas, const wp_table *workspaces, uint64_t now_us)
{
    quotas->generation++;
    if (workspaces && quotas->started_us == 0) {
        quotas->started_us = now_us;
    }
    if (workspaces) {
        wp_each(workspaces, _qt_set_limit,
                &(_qt_setting){.quotas = quotas, .now_us = now_us});
    }
    g_hash_table_foreach_remove(quotas->by_name, _qt_is_outdated, quotas);
}

/* Returns the probability at which a request is admitted now. */
static double
_qt_admitted_part(const qt_quotas *quotas, const _qt_quota *quota,
                  uint64_t now_us)
{
    const _qt_count *asked =
        _qt_is_starting(quotas, now_us) ? &quota->own_asked : &quota->asked;
    double asked_per_s = _qt_query_count(asked, _QT_ASKED_DECAY_US, now_us) /
                         (_QT_ASKED_DECAY_US / G_USEC_PER_SEC);
    double room_per_s = quota->per_s * _qt_usable_part(quotas, quota, now_us) +
                        quota->level / _QT_LEVEL_S;
    return asked_per_s > 0 ? CLAMP(room_per_s / asked_per_s, 0.0, 1.0) : 1.0;
}

/* Returns when a refused caller comes back: when the bucket is no longer
   overdrawn, and later the more is asked for, so that callers come back at
   about the rate at which they can be admitted. */
static uint32_t
_qt_retry_ms(const _qt_quota *quota, double admitted_part, double draw)
{
    double per_s = MAX(quota->per_s * _qt_heard_part(quota), 1.0);
    double overdrawn_ms = MAX(-quota->level, 0.0) / per_s * 1000.0;
    double factor = MIN(1.0 / MAX(admitted_part, 0.01), _QT_MAX_RETRY_FACTOR);
    return (uint32_t)(overdrawn_ms + _QT_MIN_RETRY_MS * (1.0 + draw * factor));
}

qt_verdict
qt_admit(qt_quotas *quotas, const char *workspace, uint32_t amount,
         double draw, uint64_t now_us)
{
    _qt_quota *quota = g_hash_table_lookup(quotas->by_name, workspace);
    if (!quota || quota->per_s <= 0) {
        return (qt_verdict){.admitted = true};
    }
    _qt_fill(quotas, quota, now_us);
    _qt_add_asked(quota, amount, now_us);
    _qt_add(&quota->own_asked, _QT_ASKED_DECAY_US, amount, now_us);
    quota->repeats_left = _QT_REPEATS;
    double part = _qt_admitted_part(quotas, quota, now_us);
    if (draw < part) {
        quota->level -= amount;
        quota->admitted += amount;
        return (qt_verdict){.admitted = true};
    }
    quota->refused += amount;
    /* The draw is at least the admitted part here; its rest is uniform. */
    double rest = (draw - part) / (1.0 - part);
    return (qt_verdict){.retry_ms = _qt_retry_ms(quota, part, rest)};
}

void
qt_refund(qt_quotas *quotas, const char *workspace, uint32_t amount,
          uint64_t now_us)
{
    _qt_quota *quota = g_hash_table_lookup(quotas->by_name, workspace);
    if (quota && quota->per_s > 0) {
        _qt_fill(quotas, quota, now_us);
        quota->level += amount;
        quota->admitted -= MIN(amount, quota->admitted);
        _qt_add_asked(quota, -(double)amount, now_us);
        _qt_add(&quota->own_asked, _QT_ASKED_DECAY_US, -(double)amount,
                now_us);
        quota->repeats_left = _QT_REPEATS;
    }
}

void
qt_note_heard(qt_quotas *quotas, const char *instance, uint64_t now_us)
{
    if (g_hash_table_size(quotas->by_name) == 0) {
        return;
    }
    _qt_peer *peer = _qt_get_peer(quotas, instance);
    if (peer->unheard) {
        _qt_regain_peer(quotas, peer);
    }
    peer->heard_us = now_us;
}

void
qt_feed(qt_quotas *quotas, const char *instance, uint64_t incarnation,
        const qt_use *use, uint64_t now_us)
{
    const _qt_peer *peer = _qt_get_peer(quotas, instance);
    _qt_quota *quota =
        g_hash_table_lookup(quotas->by_hash, GUINT_TO_POINTER(use->workspace));
    if (!quota) {
        return;
    }
    _qt_peer_use *known = _qt_get_peer_use(quota, peer);
    if (known->incarnation != incarnation) {
        /* What it admitted before this instance knew it may be long past, and
           a late message of the process before has large sums. */
        known->admitted = use->admitted;
        known->refused = use->refused;
    }
    known->incarnation = incarnation;
    /* A refund lowers a sum; a message may arrive after a later one. */
    double admitted = (double)use->admitted - (double)known->admitted;
    double refused = (double)use->refused - (double)known->refused;
    double asked = admitted + refused;
    known->admitted = use->admitted;
    known->refused = use->refused;
    _qt_fill(quotas, quota, now_us);
    if (!_qt_is_starting(quotas, now_us)) {
        quota->level -= admitted;
    }
    _qt_add(&known->asked, _QT_PART_DECAY_US, asked, now_us);
    _qt_add_asked(quota, asked, now_us);
}

void
qt_each_unreported(qt_quotas *quotas, uint64_t now_us, qt_use_callback call,
                   void *user_data)
{
    _qt_review_peers(quotas, now_us);
    GHashTableIter iter;
    gpointer data;
    g_hash_table_iter_init(&iter, quotas->by_name);
    while (g_hash_table_iter_next(&iter, NULL, &data)) {
        _qt_quota *quota = data;
        bool busy = _qt_query_count(&quota->asked, _QT_ASKED_DECAY_US,
                                    now_us) > quota->per_s * _QT_BUSY_PART;
        uint64_t interval_us = busy ? _QT_REPORT_BUSY_US : _QT_REPORT_US;
        if (quota->repeats_left &&
            now_us >= quota->reported_us + interval_us) {
            quota->repeats_left--;
            quota->reported_us = now_us;
            call(&(qt_use){.workspace = quota->hash,
                           .admitted = quota->admitted,
                           .refused = quota->refused},
                 user_data);
        }
    }
}

double
qt_query_heard_part(const qt_quotas *quotas, const char *workspace)
{
    const _qt_quota *quota = g_hash_table_lookup(quotas->by_name, workspace);
    return quota ? _qt_heard_part(quota) : 1.0;
}
