#include "workload.h"

#include <glib.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <inttypes.h>
#include <math.h>

#define _WL_RATE 10.0
#define _WL_ADAPTERS 64
#define _WL_ZIPF 1.0
#define _WL_SHORT_TOKENS 20
#define _WL_LONG_TOKENS 400
#define _WL_RESEND_MAX_MS 1500
#define _WL_US_PER_S 1e6

struct wl_workload {
    wl_desc desc;
    gsl_rng *random;
    gsl_ran_discrete_t *popularity;
    double at_us;    /* of the last item, from the start */
    uint64_t number; /* of the next item */
};

/* -- private -------------------------------------------------------------- */

static gsl_ran_discrete_t *
_wl_create_popularity(const wl_desc *desc)
{
    g_autofree double *weights = g_new(double, desc->adapters);
    for (uint32_t i = 0; i < desc->adapters; i++) {
        weights[i] = 1.0 / pow(i + 1.0, desc->zipf);
    }
    return gsl_ran_discrete_preproc(desc->adapters, weights);
}

static void
_wl_draw_draft(wl_workload *work, wl_item *item)
{
    uint32_t adapter =
        (uint32_t)gsl_ran_discrete(work->random, work->popularity);
    uint32_t version =
        1 + (uint32_t)gsl_rng_uniform_int(work->random, work->desc.versions);
    wl_query_model(work, adapter, version, item->model);
    item->is_long = gsl_rng_uniform(work->random) < work->desc.long_share;
    item->stream = gsl_rng_uniform(work->random) < work->desc.stream_share;
    double mean =
        item->is_long ? work->desc.long_tokens : work->desc.short_tokens;
    double tokens = mean * (0.5 + gsl_rng_uniform(work->random));
    item->max_tokens = (uint32_t)MAX(tokens, 1.0);
    g_snprintf(item->prompt, sizeof(item->prompt), "order %" PRIu64,
               item->number);
}

static void
_wl_draw_booking(wl_workload *work, wl_item *item)
{
    g_snprintf(item->key, sizeof(item->key), "%s-%" PRIu64 "-%" PRIu64,
               work->desc.key_prefix, work->desc.seed, item->number);
    item->resend = gsl_rng_uniform(work->random) < work->desc.resend_share;
    item->resend_ms =
        (uint32_t)gsl_rng_uniform_int(work->random, _WL_RESEND_MAX_MS);
}

static wl_kind
_wl_draw_kind(wl_workload *work)
{
    double draw = gsl_rng_uniform(work->random);
    if (draw < work->desc.booking_share) {
        return WL_BOOKING;
    }
    bool is_lookup = draw < work->desc.booking_share + work->desc.lookup_share;
    return is_lookup ? WL_LOOKUP : WL_KIND_DEFAULT;
}

/* -- public --------------------------------------------------------------- */

wl_workload *
wl_create(const wl_desc *desc)
{
    wl_workload *work = g_new0(wl_workload, 1);
    wl_desc *resolved = &work->desc;
    *resolved = *desc;
    resolved->seed = desc->seed ? desc->seed : 1;
    resolved->rate = desc->rate > 0 ? desc->rate : _WL_RATE;
    resolved->adapters = desc->adapters ? desc->adapters : _WL_ADAPTERS;
    resolved->versions = desc->versions ? desc->versions : 1;
    resolved->zipf = desc->zipf > 0 ? desc->zipf : _WL_ZIPF;
    resolved->prefix = desc->prefix ? desc->prefix : "adapter-";
    resolved->key_prefix = desc->key_prefix ? desc->key_prefix : "booking";
    resolved->short_tokens =
        desc->short_tokens ? desc->short_tokens : _WL_SHORT_TOKENS;
    resolved->long_tokens =
        desc->long_tokens ? desc->long_tokens : _WL_LONG_TOKENS;
    work->random = gsl_rng_alloc(gsl_rng_mt19937);
    gsl_rng_set(work->random, resolved->seed);
    work->popularity = _wl_create_popularity(resolved);
    return work;
}

void
wl_destroy(wl_workload *work)
{
    gsl_ran_discrete_free(work->popularity);
    gsl_rng_free(work->random);
    g_free(work);
}

void
wl_next(wl_workload *work, wl_item *item)
{
    *item = (wl_item){0};
    work->at_us +=
        gsl_ran_exponential(work->random, _WL_US_PER_S / work->desc.rate);
    item->at_us = (uint64_t)work->at_us;
    item->number = work->number++;
    item->target = (uint32_t)gsl_rng_uniform_int(work->random, 1U << 20);
    item->kind = _wl_draw_kind(work);
    if (item->kind == WL_KIND_DEFAULT) {
        _wl_draw_draft(work, item);
    }
    else if (item->kind == WL_BOOKING) {
        _wl_draw_booking(work, item);
    }
}

void
wl_query_model(const wl_workload *work, uint32_t adapter, uint32_t version,
               char model[WL_TEXT_BYTES])
{
    g_snprintf(model, WL_TEXT_BYTES, "%s%u@v%u", work->desc.prefix, adapter,
               version);
}
