/*
 * prefix_cache.h: the prompt prefixes that an engine holds (prefix px_).
 *
 *     px_cache cache = {0};
 *     px_use use = px_touch(&cache, prefix);
 *
 * Limits: PX_PREFIXES entries, the least recently used gives way.
 */
#ifndef BENCH_PREFIX_CACHE_H
#define BENCH_PREFIX_CACHE_H

#include <stdbool.h>
#include <stdint.h>

#define PX_PREFIXES 48

typedef struct px_cache {
    uint64_t prefixes[PX_PREFIXES]; /* oldest first */
    uint32_t count;
} px_cache;

typedef struct px_use {
    bool held;        /* before this use */
    uint64_t evicted; /* what gave way; 0 nothing */
} px_use;

px_use px_touch(px_cache *cache, uint64_t prefix);

#endif
