/*
 * weight_store.h: fake of the rate-limited weight store (prefix ws_).
 *
 * A load waits for its turn at the store's rate, with two at once, and then
 * takes a quarter second; with more loads in transit than the bound it takes
 * longer in proportion. Some loads fail at the end of their time.
 *
 *     ws_store *store = ws_create(&(ws_desc){.loads_per_s_milli = 6000});
 *     ws_load load = ws_start(store, now_us);
 *     ... at load.done_us: ws_finish(store);
 *     ws_destroy(store);
 *
 * Limits: one thread; times never run backwards.
 */
#ifndef BENCH_WEIGHT_STORE_H
#define BENCH_WEIGHT_STORE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct ws_desc {
    uint32_t seed;
    uint32_t loads_per_s_milli; /* loads per 1000 s; required */
    uint32_t at_once;           /* at full speed; default 2 */
    uint32_t load_ms;           /* one load; default 250 */
    uint32_t transit_bound;     /* loads at no loss of speed; default 16 */
    uint32_t failure_per_mille; /* default 10 */
} ws_desc;

typedef struct ws_store ws_store;

typedef struct ws_load {
    uint64_t done_us;
    bool failed;
} ws_load;

ws_store *ws_create(const ws_desc *desc);
void ws_destroy(ws_store *store);
/* Orders one load and says how it will end. */
ws_load ws_start(ws_store *store, uint64_t now_us);
/* To be called when a load's time has come. */
void ws_finish(ws_store *store);

/* queries */
uint32_t ws_query_in_transit(const ws_store *store);

#endif
