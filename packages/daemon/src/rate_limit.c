#include "rate_limit.h"

#include <glib.h>

/* One request in the unit of rate_milli times microseconds. */
#define _LM_REQUEST_UNITS 1000000000.0

struct lm_limiter {
    GHashTable *buckets; /* name -> _lm_bucket */
};

typedef struct _lm_bucket {
    double tokens; /* one for each request */
    uint64_t refilled_us;
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
_lm_find_or_create(lm_limiter *limiter, const char *name, double capacity,
                   uint64_t now_us)
{
    _lm_bucket *bucket = g_hash_table_lookup(limiter->buckets, name);
    if (!bucket) {
        bucket = g_new0(_lm_bucket, 1);
        bucket->tokens = capacity;
        bucket->refilled_us = now_us;
        g_hash_table_insert(limiter->buckets, g_strdup(name), bucket);
    }
    return bucket;
}

bool
lm_take(lm_limiter *limiter, const char *name, uint64_t rate_milli,
        uint64_t now_us, uint32_t *wait_ms)
{
    double capacity = MAX(1.0, (double)rate_milli / 1000.0);
    _lm_bucket *bucket = _lm_find_or_create(limiter, name, capacity, now_us);
    double elapsed_us = (double)(now_us - bucket->refilled_us);
    bucket->tokens += elapsed_us * (double)rate_milli / _LM_REQUEST_UNITS;
    bucket->tokens = MIN(bucket->tokens, capacity);
    bucket->refilled_us = now_us;
    if (bucket->tokens >= 1.0) {
        bucket->tokens -= 1.0;
        return true;
    }
    double missing = 1.0 - bucket->tokens;
    /* rate_milli requests are refilled in 1000 s, which are 1e6 ms. */
    *wait_ms = (uint32_t)(missing * 1e6 / (double)rate_milli) + 1;
    return false;
}
