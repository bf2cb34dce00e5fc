#include "rate.h"

#include <glib.h>

#define _LM_UNIT 1000000000.0 /* one request, in rate_milli times us */

struct lm_limiter {
    GHashTable *buckets; /* name -> _lm_bucket */
};

typedef struct _lm_bucket {
    double level; /* requests */
    uint64_t filled_us;
} _lm_bucket;

lm_limiter *
lm_create(void)
{
    lm_limiter *limiter = g_new0(lm_limiter, 1);
    limiter->buckets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return limiter;
}

void
lm_destroy(lm_limiter *limiter)
{
    if (limiter) {
        g_hash_table_unref(limiter->buckets);
        g_free(limiter);
    }
}

static _lm_bucket *
_lm_find(lm_limiter *limiter, const char *name, double depth, uint64_t now_us)
{
    _lm_bucket *bucket = g_hash_table_lookup(limiter->buckets, name);
    if (!bucket) {
        bucket = g_new0(_lm_bucket, 1);
        bucket->level = depth;
        bucket->filled_us = now_us;
        g_hash_table_insert(limiter->buckets, g_strdup(name), bucket);
    }
    return bucket;
}

bool
lm_take(lm_limiter *limiter, const char *name, uint64_t rate_milli,
        uint64_t now_us, uint32_t *wait_ms)
{
    double depth = MAX(1.0, (double)rate_milli / 1000.0);
    _lm_bucket *bucket = _lm_find(limiter, name, depth, now_us);
    double elapsed_us = (double)(now_us - bucket->filled_us);
    bucket->level += elapsed_us * (double)rate_milli / _LM_UNIT;
    bucket->level = MIN(bucket->level, depth);
    bucket->filled_us = now_us;
    if (bucket->level >= 1.0) {
        bucket->level -= 1.0;
        return true;
    }
    double missing = 1.0 - bucket->level;
    *wait_ms = (uint32_t)(missing * 1e6 / (double)rate_milli) + 1;
    return false;
}
