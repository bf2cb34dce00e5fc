#include "weights.h"

#include <glib.h>

#define _WT_LOADS_PER_S 6.0
#define _WT_AT_ONCE 2
#define _WT_LOAD_MS 250
#define _WT_FULL_SPEED 16

struct wt_weights {
    wt_desc desc;
    double tokens; /* loads that may begin now */
    uint64_t filled_us;
    uint32_t in_transit;
    uint32_t failing; /* fetches still to fail */
};

wt_weights *
wt_create(const wt_desc *desc)
{
    wt_weights *weights = g_new0(wt_weights, 1);
    weights->desc = (wt_desc){
        .loads_per_s =
            desc->loads_per_s > 0 ? desc->loads_per_s : _WT_LOADS_PER_S,
        .at_once = desc->at_once ? desc->at_once : _WT_AT_ONCE,
        .load_ms = desc->load_ms ? desc->load_ms : _WT_LOAD_MS,
        .full_speed = desc->full_speed ? desc->full_speed : _WT_FULL_SPEED,
    };
    weights->tokens = weights->desc.at_once;
    return weights;
}

void
wt_destroy(wt_weights *weights)
{
    g_free(weights);
}

static void
_wt_fill(wt_weights *weights, uint64_t now_us)
{
    double passed_s = (double)(now_us - weights->filled_us) / 1e6;
    weights->tokens += passed_s * weights->desc.loads_per_s;
    weights->tokens = MIN(weights->tokens, weights->desc.at_once);
    weights->filled_us = now_us;
}

wt_start
wt_begin(wt_weights *weights, uint64_t now_us, uint32_t *duration_ms)
{
    _wt_fill(weights, now_us);
    if (weights->tokens < 1) {
        return WT_OVER_RATE;
    }
    weights->tokens -= 1;
    if (weights->failing) {
        weights->failing--;
        return WT_FAILS;
    }
    weights->in_transit++;
    uint32_t crowd = MAX(weights->in_transit, weights->desc.full_speed);
    *duration_ms = weights->desc.load_ms * crowd / weights->desc.full_speed;
    return WT_START_DEFAULT;
}

void
wt_end(wt_weights *weights)
{
    weights->in_transit--;
}

void
wt_fail(wt_weights *weights, uint32_t count)
{
    weights->failing = count;
}

uint32_t
wt_query_in_transit(const wt_weights *weights)
{
    return weights->in_transit;
}
