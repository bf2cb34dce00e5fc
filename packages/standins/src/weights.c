#include "weights.h"

#include <glib.h>

#define _WT_DEFAULT_FETCHES_PER_S 6.0
#define _WT_DEFAULT_BURST_FETCHES 2
#define _WT_DEFAULT_FETCH_MS 250
#define _WT_DEFAULT_FULL_SPEED_FETCHES 16

struct wt_weights {
    wt_desc desc;
    double tokens;          /* of the bucket: fetches that may begin now */
    uint64_t refilled_us;   /* time of the last refill */
    uint32_t in_transit;    /* fetches */
    uint32_t failures_left; /* number of next fetches that fail */
};

wt_weights *
wt_create(const wt_desc *desc)
{
    wt_weights *weights = g_new0(wt_weights, 1);
    weights->desc = (wt_desc){
        .fetches_per_s = desc->fetches_per_s > 0 ? desc->fetches_per_s
                                                 : _WT_DEFAULT_FETCHES_PER_S,
        .burst_fetches = desc->burst_fetches ? desc->burst_fetches
                                             : _WT_DEFAULT_BURST_FETCHES,
        .fetch_ms = desc->fetch_ms ? desc->fetch_ms : _WT_DEFAULT_FETCH_MS,
        .full_speed_fetches = desc->full_speed_fetches
                                  ? desc->full_speed_fetches
                                  : _WT_DEFAULT_FULL_SPEED_FETCHES,
    };
    weights->tokens = weights->desc.burst_fetches;
    return weights;
}

void
wt_destroy(wt_weights *weights)
{
    g_free(weights);
}

static void
_wt_refill(wt_weights *weights, uint64_t now_us)
{
    double passed_s = (double)(now_us - weights->refilled_us) / 1e6;
    weights->tokens += passed_s * weights->desc.fetches_per_s;
    weights->tokens = MIN(weights->tokens, weights->desc.burst_fetches);
    weights->refilled_us = now_us;
}

wt_result
wt_begin_fetch(wt_weights *weights, uint64_t now_us, uint32_t *duration_ms)
{
    _wt_refill(weights, now_us);
    if (weights->tokens < 1) {
        return WT_RATE_LIMITED;
    }
    weights->tokens -= 1;
    if (weights->failures_left) {
        weights->failures_left--;
        return WT_FAILED;
    }
    weights->in_transit++;
    uint32_t effective_fetches =
        MAX(weights->in_transit, weights->desc.full_speed_fetches);
    *duration_ms = weights->desc.fetch_ms * effective_fetches /
                   weights->desc.full_speed_fetches;
    return WT_RESULT_DEFAULT;
}

void
wt_end_fetch(wt_weights *weights)
{
    weights->in_transit--;
}

void
wt_fail_next(wt_weights *weights, uint32_t count)
{
    weights->failures_left = count;
}

uint32_t
wt_query_in_transit(const wt_weights *weights)
{
    return weights->in_transit;
}
