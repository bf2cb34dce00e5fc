#include "loads.h"

#include "actions.h"
#include "adapters.h"
#include "admission.h"
#include "copies.h"
#include "order.h"
#include "placement.h"
#include "requests.h"
#include "routing.h"
#include "servers.h"
#include <math.h>

#define _LD_MILLI_LOAD_US 1000000000U /* a load per 1000 s */
#define _LD_BURST 2                   /* loads that the bucket holds */
#define _LD_ROOMS_AHEAD 1             /* places made before they are due */
#define _LD_WORK_BONUS_MS 2000        /* of age, for each request served */
#define _LD_AHEAD_S 4.0               /* requests of this time ahead count */
#define _LD_HOT_BENEFIT 2.0      /* requests served: loaded before others */
#define _LD_EXTRA_PENALTY_MS 500 /* a further copy waits behind these */
#define _LD_PATIENCE_MS 20000    /* longest start of work that has time */
#define _LD_GAIN_MS 2400  /* less waiting that a further copy must bring */
#define _LD_SCARCE_PCT 25 /* of the wait for a load, at least */
#define _LD_SPARE_PCT 80  /* of the expected work, left after a load */
#define _LD_BACKOFF_MS 200
#define _LD_BACKOFF_DOUBLINGS 6
#define _LD_FAILURES_MAX 4     /* in a row, then its requests are refused */
#define _LD_PREFETCH_MARGIN 1. /* logarithm: e times as popular */
#define _LD_RECHECK_MS 100     /* for places that settling servers free */
#define _LD_STARTS 4           /* places sought in one call */

/* -- private: what is wanted ---------------------------------------------- */

/* Time by which the work of an adapter must start: the earliest over the best
   of each class. */
static uint64_t
_ld_latest_us(const dp_policy *policy, const dp_adapter *adapter)
{
    uint64_t latest_us = UINT64_MAX;
    for (uint32_t class_ = 0; class_ < DP_CLASS_NUM; class_++) {
        hp_node *least = hp_query_least(&adapter->pending[class_]);
        const dp_request *request = HP_ITEM(least, dp_request, pending);
        if (!request) {
            continue;
        }
        /* The caller of an answer that has begun waits in the middle. */
        uint64_t patience_us =
            request->resume_from > 0 ? 0 : _LD_PATIENCE_MS * DP_US_PER_MS;
        uint64_t give_up_us = am_query_latest_start_us(policy, request);
        latest_us = MIN(latest_us, give_up_us);
        latest_us = MIN(latest_us, request->entered_us + patience_us);
    }
    return latest_us;
}

/* Requests that a load would serve: those that wait and those expected
   soon. */
static double
_ld_benefit(const dp_policy *policy, const dp_adapter *adapter)
{
    return adapter->pending_count +
           pl_query_recent_rate(policy, adapter) * _LD_AHEAD_S;
}

static uint64_t
_ld_key(const dp_policy *policy, const dp_adapter *adapter)
{
    if (!dp_part_on(policy, LWD_PART_LOADS)) {
        return policy->now_us; /* first come, first served */
    }
    double bonus_us = _ld_benefit(policy, adapter) * _LD_WORK_BONUS_MS * 1000;
    uint64_t most_us = DP_US_PER_S * 3600;
    uint64_t bonus = (uint64_t)MIN(bonus_us, (double)most_us);
    uint64_t key = _ld_latest_us(policy, adapter) + most_us - bonus;
    if (adapter->extra) {
        key += _LD_EXTRA_PENALTY_MS * DP_US_PER_MS;
    }
    return key;
}

/* True when waiting for the copies there are costs more than a load. */
static bool
_ld_extra_pays(dp_policy *policy, dp_adapter *adapter)
{
    if (!dp_part_on(policy, LWD_PART_PLACEMENT)) {
        return false;
    }
    uint64_t wait_us = rt_query_adapter_wait_us(policy, adapter);
    uint64_t load_us = ld_query_adapter_wait_us(policy, adapter);
    return wait_us > load_us + ld_query_gain_us(policy);
}

void
ld_consider(dp_policy *policy, dp_adapter *adapter)
{
    hp_remove(&policy->wanted, &adapter->wanted);
    if (adapter->pending_count == 0 || adapter->coming > 0 ||
        adapter->delayed || adapter->destroyed) {
        return;
    }
    adapter->extra = ad_query_usable_copies(adapter) > 0;
    if (adapter->extra && !_ld_extra_pays(policy, adapter)) {
        return;
    }
    hp_push(&policy->wanted, &adapter->wanted, _ld_key(policy, adapter));
}

/* -- private: budget ------------------------------------------------------ */

static uint64_t
_ld_interval_us(const dp_policy *policy)
{
    uint32_t rate = MAX(policy->desc.loads_per_s_milli, 1);
    return (_LD_MILLI_LOAD_US + rate - 1) / rate;
}

/* The bucket is kept as the time at which it would be full less one. */
static bool
_ld_in_budget(const dp_policy *policy)
{
    return policy->desc.loads_per_s_milli > 0 &&
           policy->in_transit < policy->desc.loads_in_transit &&
           policy->now_us >= policy->next_load_us;
}

static void
_ld_spend(dp_policy *policy)
{
    uint32_t burst = MIN(_LD_BURST, policy->desc.loads_in_transit);
    uint64_t saved_us = (burst - 1) * _ld_interval_us(policy);
    uint64_t earliest_us =
        policy->now_us > saved_us ? policy->now_us - saved_us : 0;
    policy->next_load_us =
        MAX(policy->next_load_us, earliest_us) + _ld_interval_us(policy);
}

/* Nothing was ordered for so long that the bucket is full. */
static bool
_ld_budget_spare(const dp_policy *policy)
{
    return policy->now_us >= policy->next_load_us + _ld_interval_us(policy);
}

static void
_ld_order(dp_policy *policy, dp_copy *copy)
{
    _ld_spend(policy);
    cp_set_state(policy, copy, DP_COPY_LOADING);
    ac_order(policy, copy, LWD_ACTION_LOAD);
}

/* -- private: places ------------------------------------------------------ */

/* Keeps a place for the adapter, by an eviction if need be. */
static dp_copy *
_ld_make_place(dp_policy *policy, dp_server *server, dp_adapter *adapter)
{
    if (server->places < server->desc.adapter_slots) {
        return cp_make(policy, server, adapter, DP_COPY_ORDERED);
    }
    dp_copy *victim = pl_choose_victim(policy, server);
    if (!victim) {
        return NULL;
    }
    dp_copy *copy = cp_make(policy, server, adapter, DP_COPY_ROOM);
    if (copy) {
        victim->successor = copy;
        copy->predecessor = victim;
        cp_evict(policy, victim);
    }
    return copy;
}

/* A load for this one request would come too late for its deadline. */
static bool
_ld_too_late(const dp_policy *policy, const dp_adapter *adapter)
{
    if (adapter->pending_count != 1 ||
        !dp_part_on(policy, LWD_PART_ADMISSION)) {
        return false;
    }
    const dp_request *request = NULL;
    for (uint32_t class_ = 0; class_ < DP_CLASS_NUM && !request; class_++) {
        hp_node *least = hp_query_least(&adapter->pending[class_]);
        request = HP_ITEM(least, dp_request, pending);
    }
    uint64_t latest_us = am_query_latest_start_us(policy, request);
    if (latest_us == UINT64_MAX) {
        return false;
    }
    uint64_t work_us = request->deadline_us - latest_us;
    uint64_t need_us =
        policy->desc.load_ms * DP_US_PER_MS + work_us * _LD_SPARE_PCT / 100;
    return latest_us < policy->now_us + need_us;
}

/* Seeks a place for the most urgent wanted adapters. */
static void
_ld_start_wanted(dp_policy *policy)
{
    dp_adapter *without_place[_LD_STARTS];
    uint32_t failed = 0;
    uint32_t bound = _LD_ROOMS_AHEAD;
    while (policy->rooms < bound && failed < _LD_STARTS) {
        hp_node *node = hp_pop(&policy->wanted);
        if (!node) {
            break;
        }
        dp_adapter *adapter = HP_ITEM(node, dp_adapter, wanted);
        if (adapter->extra && !_ld_extra_pays(policy, adapter)) {
            continue;
        }
        if (_ld_too_late(policy, adapter)) {
            rq_refuse_pending(policy, adapter, ER_DEADLINE);
            continue;
        }
        dp_server *server = pl_choose_server(policy, adapter, -INFINITY);
        if (!server || !_ld_make_place(policy, server, adapter)) {
            without_place[failed++] = adapter;
        }
    }
    for (uint32_t at = 0; at < failed; at++) {
        hp_push(&policy->wanted, &without_place[at]->wanted,
                _ld_key(policy, without_place[at]));
    }
}

/* Uses spare budget for the most popular adapter that is held nowhere. */
static void
_ld_start_prefetch(dp_policy *policy)
{
    if (policy->rooms > 0 || policy->in_transit > 0 ||
        hp_query_least(&policy->wanted) || !_ld_budget_spare(policy) ||
        !dp_part_on(policy, LWD_PART_LOADS)) {
        return;
    }
    dp_adapter *adapter =
        HP_ITEM(hp_query_least(&policy->absent), dp_adapter, absent);
    if (!adapter || adapter->delayed) {
        return;
    }
    dp_server *server = pl_choose_server(policy, adapter, _LD_PREFETCH_MARGIN);
    dp_copy *copy = server ? _ld_make_place(policy, server, adapter) : NULL;
    if (copy) {
        copy->prefetched = true;
    }
}

static void
_ld_set_timer(dp_policy *policy)
{
    if (policy->ordered.count == 0 && policy->wanted.count == 0) {
        return;
    }
    uint64_t at_us = policy->next_load_us;
    if (at_us <= policy->now_us) {
        at_us = policy->now_us + _LD_RECHECK_MS * DP_US_PER_MS;
    }
    ti_set(policy, &policy->loads_timer, DP_TIMER_LOADS, at_us);
}

void
ld_pump(dp_policy *policy)
{
    if (!ac_query_has_room(policy)) {
        return;
    }
    _ld_start_wanted(policy);
    _ld_start_prefetch(policy);
    while (policy->ordered.first && _ld_in_budget(policy)) {
        dp_copy *copy = LI_ITEM(policy->ordered.first, dp_copy, ordered);
        bool wanted = copy->adapter->pending_count > 0 || copy->prefetched;
        if (!wanted || !sv_query_usable(copy->server)) {
            cp_destroy(policy, copy); /* it serves nobody any more */
        }
        else {
            _ld_order(policy, copy);
        }
    }
    _ld_set_timer(policy);
}

/* -- events --------------------------------------------------------------- */

er_code
ld_on_done(dp_policy *policy, dp_server *server, dp_adapter *adapter)
{
    dp_copy *copy = cp_query_find(policy, server, adapter);
    if (!copy || copy->state != DP_COPY_LOADING) {
        return er_set(&policy->status, ER_STALE, "no such load");
    }
    adapter->load_failures = 0;
    adapter->failed_on = NULL;
    cp_set_state(policy, copy, DP_COPY_RESIDENT);
    or_fill(policy, server);
    ld_consider(policy, adapter);
    ld_pump(policy);
    return ER_OK;
}

void
ld_after_failure(dp_policy *policy, dp_adapter *adapter, dp_server *server)
{
    adapter->load_failures++;
    adapter->failed_on = server;
    if (adapter->load_failures >= _LD_FAILURES_MAX) {
        adapter->load_failures = 0;
        rq_refuse_pending(policy, adapter, ER_LOAD_FAILED);
    }
    uint32_t doublings = MIN(adapter->load_failures, _LD_BACKOFF_DOUBLINGS);
    /* The first try elsewhere goes at once. */
    uint64_t delay_ms =
        doublings > 1 ? (uint64_t)_LD_BACKOFF_MS << (doublings - 2) : 0;
    delay_ms += rd_next(policy, delay_ms / 2 + 1);
    adapter->delayed = true;
    ti_set(policy, &adapter->timer, DP_TIMER_ADAPTER,
           policy->now_us + delay_ms * DP_US_PER_MS);
}

er_code
ld_on_failed(dp_policy *policy, dp_server *server, dp_adapter *adapter)
{
    dp_copy *copy = cp_query_find(policy, server, adapter);
    if (!copy || copy->state != DP_COPY_LOADING) {
        return er_set(&policy->status, ER_STALE, "no such load");
    }
    adapter->requests++; /* holds it over the copy's end */
    ld_after_failure(policy, adapter, server);
    cp_destroy(policy, copy);
    ad_on_request_ended(policy, adapter);
    ld_pump(policy);
    return ER_OK;
}

void
ld_on_delay_over(dp_policy *policy, dp_adapter *adapter)
{
    adapter->delayed = false;
    ld_consider(policy, adapter);
    ld_pump(policy);
}

void
ld_set_share(dp_policy *policy, uint32_t loads_per_s_milli,
             uint32_t loads_in_transit)
{
    policy->desc.loads_per_s_milli = loads_per_s_milli;
    policy->desc.loads_in_transit = loads_in_transit;
    ld_pump(policy);
}

uint64_t
ld_query_wait_us(const dp_policy *policy)
{
    uint64_t load_us = policy->desc.load_ms * DP_US_PER_MS;
    if (policy->desc.loads_per_s_milli == 0) {
        return load_us + DP_US_PER_S * 3600;
    }
    uint64_t before = policy->wanted.count + policy->rooms;
    uint64_t ready_us = policy->next_load_us > policy->now_us
                            ? policy->next_load_us - policy->now_us
                            : 0;
    return load_us + ready_us + before * _ld_interval_us(policy);
}

uint64_t
ld_query_adapter_wait_us(const dp_policy *policy, const dp_adapter *adapter)
{
    uint64_t wait_us = ld_query_wait_us(policy);
    if (policy->desc.loads_per_s_milli == 0 ||
        _ld_benefit(policy, adapter) < _LD_HOT_BENEFIT) {
        return wait_us;
    }
    uint64_t soon_us =
        policy->desc.load_ms * DP_US_PER_MS + _ld_interval_us(policy);
    return MIN(wait_us, soon_us);
}

uint64_t
ld_query_gain_us(const dp_policy *policy)
{
    uint64_t scarce_us = ld_query_wait_us(policy) * _LD_SCARCE_PCT / 100;
    return MAX(scarce_us, _LD_GAIN_MS * DP_US_PER_MS);
}

uint64_t
ld_query_coming_us(const dp_policy *policy, const dp_copy *copy)
{
    uint64_t load_us = policy->desc.load_ms * DP_US_PER_MS;
    if (copy->state == DP_COPY_LOADING) {
        return load_us;
    }
    return load_us + _ld_interval_us(policy);
}
