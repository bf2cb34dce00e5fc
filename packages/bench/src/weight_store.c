/* Fake of the rate-limited weight store. */
#include "weight_store.h"
#include <glib.h>

#define US_PER_1000_S 1000000000ULL

struct ws_store {
    ws_desc desc;
    GRand *random;
    uint64_t bucket_full_us; /* time at which the token bucket is full again */
    uint32_t in_transit;
};

ws_store *
ws_create(const ws_desc *desc)
{
    ws_store *store = g_new0(ws_store, 1);
    store->desc = *desc;
    store->desc.burst_loads = desc->burst_loads ? desc->burst_loads : 2;
    store->desc.load_ms = desc->load_ms ? desc->load_ms : 250;
    store->desc.loads_in_transit_max =
        desc->loads_in_transit_max ? desc->loads_in_transit_max : 16;
    store->desc.failure_per_mille =
        desc->failure_per_mille ? desc->failure_per_mille : 10;
    store->random = g_rand_new_with_seed(desc->seed);
    return store;
}

void
ws_destroy(ws_store *store)
{
    g_rand_free(store->random);
    g_free(store);
}

/* Takes one token from a bucket of desc.burst_loads and returns when the load
   starts. The state of the bucket is the time at which it is full again; each
   load moves that time on by one interval (generic cell rate algorithm). */
static uint64_t
_reserve_start_us(ws_store *store, uint64_t now_us)
{
    uint64_t interval_us = US_PER_1000_S / store->desc.loads_per_s_milli;
    uint64_t burst_us = interval_us * (store->desc.burst_loads - 1);
    uint64_t full_us = MAX(store->bucket_full_us, now_us);
    uint64_t start_us =
        full_us > now_us + burst_us ? full_us - burst_us : now_us;
    store->bucket_full_us = full_us + interval_us;
    return start_us;
}

ws_load
ws_start(ws_store *store, uint64_t now_us)
{
    store->in_transit++;
    uint64_t start_us = _reserve_start_us(store, now_us);
    uint64_t time_us = store->desc.load_ms * 1000ULL;
    if (store->in_transit > store->desc.loads_in_transit_max) {
        time_us =
            time_us * store->in_transit / store->desc.loads_in_transit_max;
    }
    uint32_t draw = (uint32_t)g_rand_int_range(store->random, 0, 1000);
    return (ws_load){.done_us = start_us + time_us,
                     .failed = draw < store->desc.failure_per_mille};
}

void
ws_finish(ws_store *store)
{
    g_assert(store->in_transit > 0);
    store->in_transit--;
}

uint32_t
ws_query_in_transit(const ws_store *store)
{
    return store->in_transit;
}
