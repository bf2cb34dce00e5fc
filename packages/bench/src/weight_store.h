/*
 * weight_store.h: fake of the rate-limited weight store (prefix ws_).
 *
 * The rate of loads is limited by a token bucket with a burst of two. A load
 * waits for its token and then takes a quarter second; with more loads in
 * transit than loads_in_transit_max it takes longer in proportion. Some loads
 * fail at the end of their time.
 *
 *     ws_store *store = ws_create(&(ws_desc){.loads_per_s_milli = 6000});
 *     ws_load load = ws_start(store, now_us);
 *     ws_finish(store); // at load.done_us
 *     ws_destroy(store);
 *
 * Limits: one thread; now_us never decreases.
 */
#ifndef BENCH_WEIGHT_STORE_H
#define BENCH_WEIGHT_STORE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct ws_desc {
    uint32_t seed;
    uint32_t loads_per_s_milli;    /* loads per 1000 s; required */
    uint32_t burst_loads;          /* start without waiting; default 2 */
    uint32_t load_ms;              /* time of one load; default 250 */
    uint32_t loads_in_transit_max; /* beyond it, loads slow down; default 16 */
    uint32_t failure_per_mille;    /* of loads; default 10 */
} ws_desc;

typedef struct ws_store ws_store;

typedef struct ws_load {
    uint64_t done_us;
    bool failed;
} ws_load;

ws_store *ws_create(const ws_desc *desc);
void ws_destroy(ws_store *store);
/* Starts one load and returns when and how it will end. */
ws_load ws_start(ws_store *store, uint64_t now_us);
/* Must be called once for each load, at its done_us. */
void ws_finish(ws_store *store);

/* queries */
uint32_t ws_query_in_transit(const ws_store *store);

#endif
