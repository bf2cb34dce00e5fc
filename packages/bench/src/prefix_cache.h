/*
 * prefix_cache.h: LRU cache of prompt prefixes of an engine (prefix px_).
 *
 *     px_cache cache = {0};
 *     px_touch_result use = px_touch(&cache, prefix);
 *
 * Limits: PX_PREFIXES entries; the least recently used is evicted. 0 is no
 * prefix.
 */
#ifndef BENCH_PREFIX_CACHE_H
#define BENCH_PREFIX_CACHE_H

#include <stdbool.h>
#include <stdint.h>

#define PX_PREFIXES 48

typedef struct px_cache {
    uint64_t prefixes[PX_PREFIXES]; /* least recently used first */
    uint32_t count;
} px_cache;

typedef struct px_touch_result {
    bool hit;         /* was cached before */
    uint64_t evicted; /* prefix that was evicted; 0: none */
} px_touch_result;

/* Looks up a prefix, inserts it if missing, and marks it as most recently
   used. */
px_touch_result px_touch(px_cache *cache, uint64_t prefix);

#endif
