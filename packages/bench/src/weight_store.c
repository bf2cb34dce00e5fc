/* Fake of the rate-limited weight store. */
#include "weight_store.h"
#include <glib.h>

#define MILLI_LOAD_US 1000000000ULL

struct ws_store {
    ws_desc desc;
    GRand *random;
    uint64_t turn_us; /* time at which the rate is next free */
    uint32_t in_transit;
};

ws_store *
ws_create(const ws_desc *desc)
{
    ws_store *store = g_new0(ws_store, 1);
    store->desc = *desc;
    store->desc.at_once = desc->at_once ? desc->at_once : 2;
    store->desc.load_ms = desc->load_ms ? desc->load_ms : 250;
    store->desc.transit_bound = desc->transit_bound ? desc->transit_bound : 16;
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

/* A rate with a burst of desc.at_once, kept as the time of the next turn. */
static uint64_t
_take_turn(ws_store *store, uint64_t now_us)
{
    uint64_t interval_us = MILLI_LOAD_US / store->desc.loads_per_s_milli;
    uint64_t burst_us = interval_us * (store->desc.at_once - 1);
    uint64_t turn_us = MAX(store->turn_us, now_us);
    uint64_t start_us =
        turn_us > now_us + burst_us ? turn_us - burst_us : now_us;
    store->turn_us = turn_us + interval_us;
    return start_us;
}

ws_load
ws_start(ws_store *store, uint64_t now_us)
{
    store->in_transit++;
    uint64_t start_us = _take_turn(store, now_us);
    uint64_t time_us = store->desc.load_ms * 1000ULL;
    if (store->in_transit > store->desc.transit_bound) {
        time_us = time_us * store->in_transit / store->desc.transit_bound;
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
