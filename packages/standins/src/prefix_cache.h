/*
 * prefix_cache.h: cached prompt prefixes and their late, gapped events
 * (prefix pc_).
 *
 * The prefix of a prompt is the first 16 hex digits of the MD5 of its first
 * PC_PREFIX_BYTES bytes.
 *
 *     pc_cache *cache = pc_create(&(pc_desc){.lag_ms = 500});
 *     bool cached = pc_touch(cache, now_us, prompt);
 *
 * Limits: PC_EVENTS events are kept.
 */
#ifndef LACEWING_STANDIN_PREFIX_CACHE_H
#define LACEWING_STANDIN_PREFIX_CACHE_H

#include <stdbool.h>
#include <stdint.h>

#define PC_PREFIX_BYTES 256
#define PC_EVENTS 4096

typedef struct pc_desc {
    uint32_t capacity;  /* prefixes held; default 256 */
    uint32_t lag_ms;    /* before an event is published; default 500 */
    uint32_t gap_every; /* every so many events one is lost; default 13 */
} pc_desc;

typedef struct pc_cache pc_cache;

pc_cache *pc_create(const pc_desc *desc);
void pc_destroy(pc_cache *cache);
/* Uses a prompt's prefix; true when it was cached. */
bool pc_touch(pc_cache *cache, uint64_t now_us, const char *prompt);
void pc_clear(pc_cache *cache, uint64_t now_us);

/* queries */
/* Body of GET /v1/cache_events; free with g_free(). */
char *pc_query_json(const pc_cache *cache, uint64_t now_us, uint64_t after);

#endif
