/*
 * prefix_cache.h: a cache of prompt prefixes with least-recently-used
 * eviction, and its change events (prefix pc_).
 *
 * A prefix is identified by the first 16 hex digits of the MD5 of the
 * prompt's first PC_PREFIX_BYTES bytes. Each addition and eviction is an
 * event. Events are published with a delay, and some are left out, so that
 * readers have to handle stale and missing events; a gap in the sequence
 * numbers shows that one is missing.
 *
 *     pc_cache *cache = pc_create(&(pc_desc){.lag_ms = 500});
 *     bool cached = pc_touch(cache, now_us, prompt);
 *     char *json = pc_query_events_json(cache, now_us, 0);
 *
 * Limits: keeps the latest PC_EVENTS_MAX events.
 */
#ifndef LACEWING_STANDIN_PREFIX_CACHE_H
#define LACEWING_STANDIN_PREFIX_CACHE_H

#include <stdbool.h>
#include <stdint.h>

#define PC_PREFIX_BYTES 256
#define PC_EVENTS_MAX 4096

typedef struct pc_desc {
    uint32_t capacity;  /* cached prefixes; default 256 */
    uint32_t lag_ms;    /* from an event to its publication; default 500 */
    uint32_t gap_every; /* every gap_every-th event is lost; default 13 */
} pc_desc;

typedef struct pc_cache pc_cache;

pc_cache *pc_create(const pc_desc *desc);
void pc_destroy(pc_cache *cache);
/* Marks the prompt's prefix as the most recently used and adds it if it is
   new. Returns whether it was cached before. */
bool pc_touch(pc_cache *cache, uint64_t now_us, const char *prompt);
/* Evicts all prefixes, with an event for each. */
void pc_clear(pc_cache *cache, uint64_t now_us);

/* queries */
/* Body of GET /v1/cache_events: the published events whose sequence number
   is greater than after; free with g_free(). */
char *pc_query_events_json(const pc_cache *cache, uint64_t now_us,
                           uint64_t after);

#endif
