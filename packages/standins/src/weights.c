#include "weights.h"

#include <glib.h>

#define _WT_DEFAULT_FETCHES_PER_S 6.0
#define _WT_DEFAULT_BURST_FETCHES 2
#define _WT_DEFAULT_FETCH_MS 250
#define _WT_DEFAULT_FULL_SPEED_FETCHES 16

struct wt_store {
    wt_desc desc;
    double tokens;          /* of the bucket: fetches that may begin now */
    uint64_t refilled_us;   /* time of the last refill */
    uint32_t in_transit;    /* fetches */
    uint32_t failures_left; /* number of next fetches that fail */
};

wt_store *
wt_create(const wt_desc *desc)
{
    wt_store *store = g_new0(wt_store, 1);
    store->desc = (wt_desc){
        .fetches_per_s = desc->fetches_per_s > 0 ? desc->fetches_per_s
                                                 : _WT_DEFAULT_FETCHES_PER_S,
        .burst_fetches = desc->burst_fetches ? desc->burst_fetches
                                             : _WT_DEFAULT_BURST_FETCHES,
        .fetch_ms = desc->fetch_ms ? desc->fetch_ms : _WT_DEFAULT_FETCH_MS,
        .full_speed_fetches = desc->full_speed_fetches
                                  ? desc->full_speed_fetches
                                  : _WT_DEFAULT_FULL_SPEED_FETCHES,
    };
    store->tokens = store->desc.burst_fetches;
    return store;
}

void
wt_destroy(wt_store *store)
{
    g_free(store);
}

static void
_wt_refill(wt_store *store, uint64_t now_us)
{
    double passed_s = (double)(now_us - store->refilled_us) / 1e6;
    store->tokens += passed_s * store->desc.fetches_per_s;
    store->tokens = MIN(store->tokens, store->desc.burst_fetches);
    store->refilled_us = now_us;
}

wt_result
wt_begin_fetch(wt_store *store, uint64_t now_us, uint32_t *duration_ms)
{
    _wt_refill(store, now_us);
    if (store->tokens < 1) {
        return WT_RATE_LIMITED;
    }
    store->tokens -= 1;
    if (store->failures_left) {
        store->failures_left--;
        return WT_FAILED;
    }
    store->in_transit++;
    uint32_t effective_fetches =
        MAX(store->in_transit, store->desc.full_speed_fetches);
    *duration_ms = store->desc.fetch_ms * effective_fetches /
                   store->desc.full_speed_fetches;
    return WT_RESULT_DEFAULT;
}

void
wt_end_fetch(wt_store *store)
{
    store->in_transit--;
}

void
wt_fail_next(wt_store *store, uint32_t count)
{
    store->failures_left = count;
}

uint32_t
wt_query_in_transit(const wt_store *store)
{
    return store->in_transit;
}
