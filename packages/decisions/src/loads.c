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

/* A rate of 1 milli-load per second is a load per 1000 s. */
#define _LD_US_PER_MILLI_LOAD 1000000000U
#define _LD_BUCKET_LOADS 2            /* capacity of the token bucket */
#define _LD_RESERVED_SLOTS_MAX 1      /* reservations ahead of the budget */
#define _LD_BONUS_PER_REQUEST_MS 2000 /* makes the key earlier */
/* A load serves the pending requests and those expected within this time. */
#define _LD_FORECAST_S 4.0
/* An adapter whose load serves this many requests is expected to be loaded
   before the others. */
#define _LD_HOT_REQUESTS 2.0
#define _LD_EXTRA_PENALTY_MS 500 /* makes the key of a further copy later */
/* A new answer is queued for a load as if it had to start within this time of
   its entry, even if its deadline is later. */
#define _LD_START_LIMIT_MS 20000
#define _LD_MIN_GAIN_MS 2400    /* of waiting saved by a further copy */
#define _LD_MIN_GAIN_PCT 25     /* of the wait for a load */
#define _LD_WORK_LEFT_PCT 80    /* of the expected work, after a load */
#define _LD_BACKOFF_MS 200      /* after 2 failures in a row; then doubled */
#define _LD_BACKOFF_DOUBLINGS 6 /* more failures in a row count as these */
#define _LD_FAILURES_MAX 4      /* in a row, then its requests are refused */
#define _LD_PREFETCH_MARGIN 1.  /* logarithm: e times as popular */
/* While loads wait, slots are sought at this period too: some get free without
   an event, as when a handover ends. */
#define _LD_RECHECK_MS 100
#define _LD_FAILED_TRIES_MAX 4 /* reservations that may fail in one call */

/* -- private: the queue for loads ----------------------------------------- */

/* Returns the time by which the pending requests of an adapter must start: the
   earliest over the first request of each class. */
static uint64_t
_ld_latest_start_us(const dp_policy *policy, const dp_adapter *adapter)
{
    uint64_t latest_us = UINT64_MAX;
    for (uint32_t class_ = 0; class_ < DP_CLASS_NUM; class_++) {
        hp_node *least = hp_query_least(&adapter->pending[class_]);
        const dp_request *request = HP_ITEM(least, dp_request, pending);
        if (!request) {
            continue;
        }
        /* An answer that has begun is stalled until the load, so it is treated
           as overdue from its entry. */
        uint64_t limit_us =
            request->resume_from > 0 ? 0 : _LD_START_LIMIT_MS * DP_US_PER_MS;
        uint64_t give_up_us = am_query_latest_start_us(policy, request);
        latest_us = MIN(latest_us, give_up_us);
        latest_us = MIN(latest_us, request->entered_us + limit_us);
    }
    return latest_us;
}

/* Returns how many requests a load would serve: those pending and those
   expected soon. */
static double
_ld_requests_served(const dp_policy *policy, const dp_adapter *adapter)
{
    return adapter->pending_count +
           pl_query_recent_request_rate(policy, adapter) * _LD_FORECAST_S;
}

/* Returns the key of an adapter in load_queue: its latest start, less a bonus
   for the requests that the load serves. The bonus is at most an hour, and an
   hour is added to all keys so that none falls below 0. */
static uint64_t
_ld_key(const dp_policy *policy, const dp_adapter *adapter)
{
    if (!dp_feature_enabled(policy, LWD_FEATURE_LOADS)) {
        return policy->now_us; /* first come, first served */
    }
    double bonus_us =
        _ld_requests_served(policy, adapter) * _LD_BONUS_PER_REQUEST_MS * 1000;
    uint64_t max_bonus_us = DP_US_PER_S * 3600;
    uint64_t bonus = (uint64_t)MIN(bonus_us, (double)max_bonus_us);
    uint64_t key = _ld_latest_start_us(policy, adapter) + max_bonus_us - bonus;
    if (adapter->needs_extra_copy) {
        key += _LD_EXTRA_PENALTY_MS * DP_US_PER_MS;
    }
    return key;
}

/* Returns whether a further copy shortens the wait by more than the minimum
   gain. */
static bool
_ld_extra_copy_pays(dp_policy *policy, dp_adapter *adapter)
{
    if (!dp_feature_enabled(policy, LWD_FEATURE_PLACEMENT)) {
        return false;
    }
    uint64_t wait_us = rt_query_adapter_wait_us(policy, adapter);
    uint64_t load_us = ld_query_adapter_wait_us(policy, adapter);
    return wait_us > load_us + ld_query_min_gain_us(policy);
}

void
ld_update_queue_entry(dp_policy *policy, dp_adapter *adapter)
{
    hp_remove(&policy->load_queue, &adapter->load_node);
    if (adapter->pending_count == 0 || adapter->incoming_copies > 0 ||
        adapter->in_load_backoff || adapter->destroyed) {
        return;
    }
    adapter->needs_extra_copy = ad_query_usable_copies(adapter) > 0;
    if (adapter->needs_extra_copy && !_ld_extra_copy_pays(policy, adapter)) {
        return;
    }
    hp_push(&policy->load_queue, &adapter->load_node,
            _ld_key(policy, adapter));
}

/* -- private: budget ------------------------------------------------------ */

static uint64_t
_ld_interval_us(const dp_policy *policy)
{
    uint32_t rate = MAX(policy->desc.loads_per_s_milli, 1);
    return (_LD_US_PER_MILLI_LOAD + rate - 1) / rate;
}

/* The token bucket is stored as next_load_us, the time from which it holds a
   token. */
static bool
_ld_within_budget(const dp_policy *policy)
{
    return policy->desc.loads_per_s_milli > 0 &&
           policy->in_transit < policy->desc.loads_in_transit &&
           policy->now_us >= policy->next_load_us;
}

static void
_ld_take_budget(dp_policy *policy)
{
    uint32_t burst = MIN(_LD_BUCKET_LOADS, policy->desc.loads_in_transit);
    uint64_t saved_us = (burst - 1) * _ld_interval_us(policy);
    uint64_t earliest_us =
        policy->now_us > saved_us ? policy->now_us - saved_us : 0;
    policy->next_load_us =
        MAX(policy->next_load_us, earliest_us) + _ld_interval_us(policy);
}

/* Returns whether the bucket holds both its tokens. */
static bool
_ld_bucket_is_full(const dp_policy *policy)
{
    return policy->now_us >= policy->next_load_us + _ld_interval_us(policy);
}

static void
_ld_order_load(dp_policy *policy, dp_copy *copy)
{
    _ld_take_budget(policy);
    cp_set_state(policy, copy, DP_COPY_LOADING);
    ac_load_or_evict(policy, copy, LWD_ACTION_LOAD);
}

/* -- private: reservations ------------------------------------------------ */

/* Reserves an adapter slot of the server for the adapter; evicts a copy if no
   slot is free. Returns NULL when that is impossible. */
static dp_copy *
_ld_reserve_slot(dp_policy *policy, dp_server *server, dp_adapter *adapter)
{
    if (server->occupied_slots < server->desc.adapter_slots) {
        return cp_make(policy, server, adapter, DP_COPY_AWAITING_BUDGET);
    }
    dp_copy *victim = pl_choose_victim(policy, server);
    if (!victim) {
        return NULL;
    }
    dp_copy *copy =
        cp_make(policy, server, adapter, DP_COPY_AWAITING_EVICTION);
    if (copy) {
        victim->successor = copy;
        copy->predecessor = victim;
        cp_evict(policy, victim);
    }
    return copy;
}

/* Returns whether the only pending request of the adapter would miss its
   deadline even if its load were ordered now: less than _LD_WORK_LEFT_PCT of
   its expected work would fit after the load. */
static bool
_ld_misses_deadline(const dp_policy *policy, const dp_adapter *adapter)
{
    if (adapter->pending_count != 1 ||
        !dp_feature_enabled(policy, LWD_FEATURE_ADMISSION)) {
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
    uint64_t need_us = policy->desc.load_ms * DP_US_PER_MS +
                       work_us * _LD_WORK_LEFT_PCT / 100;
    return latest_us < policy->now_us + need_us;
}

/* Reserves adapter slots for the first adapters of the queue; refuses requests
   that a load would serve too late. */
static void
_ld_reserve_for_queue(dp_policy *policy)
{
    dp_adapter *without_slot[_LD_FAILED_TRIES_MAX];
    uint32_t failed = 0;
    uint32_t bound = _LD_RESERVED_SLOTS_MAX;
    while (policy->reserved_copies < bound && failed < _LD_FAILED_TRIES_MAX) {
        hp_node *node = hp_pop(&policy->load_queue);
        if (!node) {
            break;
        }
        dp_adapter *adapter = HP_ITEM(node, dp_adapter, load_node);
        if (adapter->needs_extra_copy &&
            !_ld_extra_copy_pays(policy, adapter)) {
            continue;
        }
        if (_ld_misses_deadline(policy, adapter)) {
            rq_refuse_pending(policy, adapter, ER_DEADLINE);
            continue;
        }
        dp_server *server = pl_choose_server(policy, adapter, -INFINITY);
        if (!server || !_ld_reserve_slot(policy, server, adapter)) {
            without_slot[failed++] = adapter;
        }
    }
    for (uint32_t at = 0; at < failed; at++) {
        hp_push(&policy->load_queue, &without_slot[at]->load_node,
                _ld_key(policy, without_slot[at]));
    }
}

/* Reserves a slot for the most popular adapter that is held nowhere, if the
   budget is unused. */
static void
_ld_reserve_for_prefetch(dp_policy *policy)
{
    if (policy->reserved_copies > 0 || policy->in_transit > 0 ||
        hp_query_least(&policy->load_queue) || !_ld_bucket_is_full(policy) ||
        !dp_feature_enabled(policy, LWD_FEATURE_LOADS)) {
        return;
    }
    dp_adapter *adapter = HP_ITEM(hp_query_least(&policy->absent_adapters),
                                  dp_adapter, absent_node);
    if (!adapter || adapter->in_load_backoff) {
        return;
    }
    dp_server *server = pl_choose_server(policy, adapter, _LD_PREFETCH_MARGIN);
    dp_copy *copy = server ? _ld_reserve_slot(policy, server, adapter) : NULL;
    if (copy) {
        copy->prefetched = true;
    }
}

static void
_ld_set_timer(dp_policy *policy)
{
    if (policy->budget_queue.count == 0 && policy->load_queue.count == 0) {
        return;
    }
    uint64_t at_us = policy->next_load_us;
    if (at_us <= policy->now_us) {
        at_us = policy->now_us + _LD_RECHECK_MS * DP_US_PER_MS;
    }
    ti_set(policy, &policy->loads_timer, DP_TIMER_LOADS, at_us);
}

void
ld_start_due_loads(dp_policy *policy)
{
    if (!ac_query_accepts_work(policy)) {
        return;
    }
    _ld_reserve_for_queue(policy);
    _ld_reserve_for_prefetch(policy);
    while (policy->budget_queue.first && _ld_within_budget(policy)) {
        dp_copy *copy =
            LI_ITEM(policy->budget_queue.first, dp_copy, budget_link);
        bool wanted = copy->adapter->pending_count > 0 || copy->prefetched;
        if (!wanted || !sv_query_usable(copy->server)) {
            cp_destroy(policy, copy); /* no request needs it any more */
        }
        else {
            _ld_order_load(policy, copy);
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
        return er_set(&policy->status, ER_STALE,
                      "no load of the adapter is under way on the server");
    }
    adapter->load_failures = 0;
    adapter->failed_on = NULL;
    cp_set_state(policy, copy, DP_COPY_RESIDENT);
    or_fill_slots(policy, server);
    ld_update_queue_entry(policy, adapter);
    ld_start_due_loads(policy);
    return ER_OK;
}

void
ld_start_backoff(dp_policy *policy, dp_adapter *adapter, dp_server *server)
{
    adapter->load_failures++;
    adapter->failed_on = server;
    if (adapter->load_failures >= _LD_FAILURES_MAX) {
        adapter->load_failures = 0;
        rq_refuse_pending(policy, adapter, ER_LOAD_FAILED);
    }
    uint32_t doublings = MIN(adapter->load_failures, _LD_BACKOFF_DOUBLINGS);
    /* The first retry has no delay: pl_choose_server() prefers servers other
       than failed_on. */
    uint64_t delay_ms =
        doublings > 1 ? (uint64_t)_LD_BACKOFF_MS << (doublings - 2) : 0;
    delay_ms += rd_next(policy, delay_ms / 2 + 1);
    adapter->in_load_backoff = true;
    ti_set(policy, &adapter->timer, DP_TIMER_ADAPTER,
           policy->now_us + delay_ms * DP_US_PER_MS);
}

er_code
ld_on_failed(dp_policy *policy, dp_server *server, dp_adapter *adapter)
{
    dp_copy *copy = cp_query_find(policy, server, adapter);
    if (!copy || copy->state != DP_COPY_LOADING) {
        return er_set(&policy->status, ER_STALE,
                      "no load of the adapter is under way on the server");
    }
    adapter->requests++; /* keeps the adapter while its copy is destroyed */
    ld_start_backoff(policy, adapter, server);
    cp_destroy(policy, copy);
    ad_on_request_ended(policy, adapter);
    ld_start_due_loads(policy);
    return ER_OK;
}

void
ld_on_backoff_end(dp_policy *policy, dp_adapter *adapter)
{
    adapter->in_load_backoff = false;
    ld_update_queue_entry(policy, adapter);
    ld_start_due_loads(policy);
}

void
ld_set_share(dp_policy *policy, uint32_t loads_per_s_milli,
             uint32_t loads_in_transit)
{
    policy->desc.loads_per_s_milli = loads_per_s_milli;
    policy->desc.loads_in_transit = loads_in_transit;
    ld_start_due_loads(policy);
}

uint64_t
ld_query_wait_us(const dp_policy *policy)
{
    uint64_t load_us = policy->desc.load_ms * DP_US_PER_MS;
    if (policy->desc.loads_per_s_milli == 0) {
        /* No load is allowed: an hour stands for an unlimited wait. */
        return load_us + DP_US_PER_S * 3600;
    }
    uint64_t queued = policy->load_queue.count + policy->reserved_copies;
    uint64_t ready_us = policy->next_load_us > policy->now_us
                            ? policy->next_load_us - policy->now_us
                            : 0;
    return load_us + ready_us + queued * _ld_interval_us(policy);
}

uint64_t
ld_query_adapter_wait_us(const dp_policy *policy, const dp_adapter *adapter)
{
    uint64_t wait_us = ld_query_wait_us(policy);
    if (policy->desc.loads_per_s_milli == 0 ||
        _ld_requests_served(policy, adapter) < _LD_HOT_REQUESTS) {
        return wait_us;
    }
    uint64_t next_load_wait_us =
        policy->desc.load_ms * DP_US_PER_MS + _ld_interval_us(policy);
    return MIN(wait_us, next_load_wait_us);
}

uint64_t
ld_query_min_gain_us(const dp_policy *policy)
{
    uint64_t relative_us = ld_query_wait_us(policy) * _LD_MIN_GAIN_PCT / 100;
    return MAX(relative_us, _LD_MIN_GAIN_MS * DP_US_PER_MS);
}

uint64_t
ld_query_time_to_resident_us(const dp_policy *policy, const dp_copy *copy)
{
    uint64_t load_us = policy->desc.load_ms * DP_US_PER_MS;
    if (copy->state == DP_COPY_LOADING) {
        return load_us;
    }
    return load_us + _ld_interval_us(policy);
}
