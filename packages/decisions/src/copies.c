#include "copies.h"

#include "actions.h"
#include "adapters.h"
#include "loads.h"
#include "order.h"
#include "placement.h"
#include "servers.h"
#include "summaries.h"

#define _CP_LATE_LOADS 40 /* load times until a load counts as lost */
#define _CP_LATE_EVICT_MS 2000

/* -- private: the table of copies ----------------------------------------- */

static dp_copy **
_cp_bucket(const dp_policy *policy, const dp_server *server,
           const dp_adapter *adapter)
{
    uint64_t pair = (uint64_t)server->id.id << 32 | adapter->id.id;
    return &policy->copy_buckets[rd_mix(pair) & policy->copy_bucket_mask];
}

static void
_cp_unhash(dp_policy *policy, dp_copy *copy)
{
    dp_copy **at = _cp_bucket(policy, copy->server, copy->adapter);
    while (*at != copy) {
        at = &(*at)->next_hashed;
    }
    *at = copy->next_hashed;
}

dp_copy *
cp_query_find(const dp_policy *policy, const dp_server *server,
              const dp_adapter *adapter)
{
    dp_copy *copy = *_cp_bucket(policy, server, adapter);
    while (copy && (copy->server != server || copy->adapter != adapter)) {
        copy = copy->next_hashed;
    }
    return copy;
}

/* -- private: what follows from the state --------------------------------- */

static bool
_cp_is_coming(const dp_copy *copy)
{
    return copy->state == DP_COPY_ROOM || copy->state == DP_COPY_ORDERED ||
           copy->state == DP_COPY_LOADING;
}

static void
_cp_refresh_idle(dp_copy *copy)
{
    dp_server *server = copy->server;
    hp_remove(&server->idle, &copy->idle);
    if (server->desc.owned && copy->state == DP_COPY_RESIDENT &&
        copy->running == 0 && copy->adapter->pending_count == 0) {
        hp_push(&server->idle, &copy->idle,
                pl_query_key(pl_query_worth(copy->adapter)));
    }
}

static void
_cp_set_active(dp_copy *copy, bool active)
{
    if (copy->is_active == active) {
        return;
    }
    copy->is_active = active;
    if (active) {
        li_append(&copy->server->active, &copy->active);
    }
    else {
        li_remove(&copy->server->active, &copy->active);
    }
}

static void
_cp_refresh_one(dp_copy *copy)
{
    bool told = copy->server->desc.owned && cp_query_told(copy);
    _cp_set_active(copy, told && copy->adapter->pending_count > 0);
    _cp_refresh_idle(copy);
}

void
cp_refresh_active(dp_adapter *adapter)
{
    li_link *link = adapter->copies.first;
    for (; link; link = link->next) {
        _cp_refresh_one(LI_ITEM(link, dp_copy, of_adapter));
    }
}

/* The worth of each copy changes with their number. */
static void
_cp_refresh_worth(const dp_adapter *adapter)
{
    const li_link *link = adapter->copies.first;
    for (; link; link = link->next) {
        _cp_refresh_idle(LI_ITEM(link, dp_copy, of_adapter));
    }
}

/* Takes a copy out of, or into, what is counted by state. */
static void
_cp_count(dp_policy *policy, dp_copy *copy, int sign)
{
    dp_server *server = copy->server;
    if (!server->desc.owned) {
        return;
    }
    uint32_t one = (uint32_t)sign;
    if (copy->state == DP_COPY_RESIDENT) {
        copy->adapter->own_resident += one;
        _cp_refresh_worth(copy->adapter);
    }
    if (_cp_is_coming(copy)) {
        copy->adapter->coming += one;
    }
    if (copy->state == DP_COPY_LOADING) {
        server->loading += one;
        policy->in_transit += one;
    }
    if (copy->state == DP_COPY_ROOM || copy->state == DP_COPY_ORDERED) {
        policy->rooms += one;
    }
}

static void
_cp_leave_state(dp_policy *policy, dp_copy *copy)
{
    if (copy->state == DP_COPY_ORDERED) {
        li_remove(&policy->ordered, &copy->ordered);
    }
    ti_clear(policy, &copy->timer);
    _cp_count(policy, copy, -1);
}

static void
_cp_enter_state(dp_policy *policy, dp_copy *copy, dp_copy_state state)
{
    copy->state = (uint8_t)state;
    _cp_count(policy, copy, 1);
    uint64_t late_us = 0;
    if (state == DP_COPY_ORDERED) {
        li_append(&policy->ordered, &copy->ordered);
    }
    if (state == DP_COPY_LOADING) {
        late_us = (uint64_t)policy->desc.load_ms * _CP_LATE_LOADS;
    }
    if (state == DP_COPY_EVICTING) {
        late_us = _CP_LATE_EVICT_MS;
    }
    if (late_us > 0) {
        ti_set(policy, &copy->timer, DP_TIMER_COPY,
               policy->now_us + late_us * DP_US_PER_MS);
    }
}

/* Attempts that ran on an earlier copy of the adapter use this one. */
static void
_cp_adopt_attempts(dp_copy *copy)
{
    li_link *link = copy->server->attempts.first;
    for (; link; link = link->next) {
        dp_attempt *attempt = LI_ITEM(link, dp_attempt, of_server);
        if (!attempt->copy && attempt->adapter.id == copy->adapter->id.id) {
            attempt->copy = copy;
            copy->running++;
        }
    }
}

/* -- commands ------------------------------------------------------------- */

dp_copy *
cp_make(dp_policy *policy, dp_server *server, dp_adapter *adapter,
        dp_copy_state state)
{
    uint64_t id = 0;
    dp_copy *copy = po_make(&policy->copies, &id);
    if (!copy) {
        er_set(&policy->status, ER_POOL_FULL, "no copy left in the pool");
        return NULL;
    }
    copy->told_us = policy->now_us;
    copy->server = server;
    copy->adapter = adapter;
    dp_copy **bucket = _cp_bucket(policy, server, adapter);
    copy->next_hashed = *bucket;
    *bucket = copy;
    li_append(&server->copies, &copy->of_server);
    li_append(&adapter->copies, &copy->of_adapter);
    server->places++;
    _cp_adopt_attempts(copy);
    hp_remove(&policy->absent, &adapter->absent);
    _cp_enter_state(policy, copy, state);
    _cp_refresh_one(copy);
    if (cp_query_told(copy)) {
        sm_note_change(policy, server, adapter, true);
    }
    return copy;
}

/* Attempts that still use the copy go on without it. */
static void
_cp_forget_in_attempts(dp_copy *copy)
{
    li_link *link = copy->server->attempts.first;
    for (; link; link = link->next) {
        dp_attempt *attempt = LI_ITEM(link, dp_attempt, of_server);
        if (attempt->copy == copy) {
            attempt->copy = NULL;
        }
    }
}

void
cp_destroy(dp_policy *policy, dp_copy *copy)
{
    dp_server *server = copy->server;
    dp_adapter *adapter = copy->adapter;
    dp_copy *successor = copy->successor;
    _cp_forget_in_attempts(copy);
    if (cp_query_told(copy)) {
        sm_note_change(policy, server, adapter, false);
    }
    if (copy->predecessor) {
        copy->predecessor->successor = NULL;
    }
    _cp_set_active(copy, false);
    _cp_leave_state(policy, copy);
    hp_remove(&server->idle, &copy->idle);
    _cp_unhash(policy, copy);
    li_remove(&server->copies, &copy->of_server);
    li_remove(&adapter->copies, &copy->of_adapter);
    server->places--;
    po_destroy(&policy->copies, copy);
    if (successor) {
        successor->predecessor = NULL;
        cp_set_state(policy, successor, DP_COPY_ORDERED);
    }
    ad_on_copy_removed(policy, adapter);
}

void
cp_set_state(dp_policy *policy, dp_copy *copy, dp_copy_state state)
{
    bool was_told = cp_query_told(copy);
    _cp_leave_state(policy, copy);
    _cp_enter_state(policy, copy, state);
    _cp_refresh_one(copy);
    if (cp_query_told(copy) != was_told) {
        sm_note_change(policy, copy->server, copy->adapter, !was_told);
    }
}

void
cp_evict(dp_policy *policy, dp_copy *copy)
{
    g_assert(policy->now_us >= copy->server->settle_us);
    cp_set_state(policy, copy, DP_COPY_EVICTING);
    ac_order(policy, copy, LWD_ACTION_EVICT);
}

void
cp_begin_use(dp_copy *copy)
{
    copy->running++;
    copy->prefetched = false;
    hp_remove(&copy->server->idle, &copy->idle);
}

void
cp_end_use(dp_policy *policy, dp_copy *copy)
{
    copy->running--;
    if (copy->running > 0) {
        return;
    }
    _cp_refresh_idle(copy);
    ad_on_copy_idle(policy, copy);
}

void
cp_on_timer(dp_policy *policy, dp_copy *copy)
{
    if (policy->now_us < copy->server->settle_us) {
        ti_set(policy, &copy->timer, DP_TIMER_COPY, copy->server->settle_us);
        return;
    }
    if (copy->state == DP_COPY_EVICTING) {
        cp_evict(policy, copy);
        return;
    }
    /* The load's answer is lost: the engine may hold it or not. */
    dp_adapter *adapter = copy->adapter;
    cp_evict(policy, copy);
    ld_after_failure(policy, adapter, copy->server);
}

/* -- events of own servers ------------------------------------------------ */

er_code
cp_on_listed(dp_policy *policy, dp_server *server, dp_adapter *adapter,
             bool resident)
{
    dp_copy *copy = cp_query_find(policy, server, adapter);
    if (!copy && resident) {
        copy = cp_make(policy, server, adapter, DP_COPY_RESIDENT);
        return copy ? ER_OK : ER_POOL_FULL;
    }
    if (!copy) {
        return ER_OK;
    }
    if (resident && copy->state == DP_COPY_LOADING) {
        cp_set_state(policy, copy, DP_COPY_RESIDENT);
    }
    /* A list that lacks an adapter in use was taken before its load. */
    if (!resident && copy->state == DP_COPY_RESIDENT && copy->running == 0) {
        cp_destroy(policy, copy);
    }
    return ER_OK;
}

er_code
cp_on_evicted(dp_policy *policy, dp_server *server, dp_adapter *adapter)
{
    dp_copy *copy = cp_query_find(policy, server, adapter);
    if (!copy || copy->state != DP_COPY_EVICTING) {
        return er_set(&policy->status, ER_STALE, "no such eviction");
    }
    cp_destroy(policy, copy);
    ld_pump(policy);
    return ER_OK;
}

bool
cp_query_resident(const dp_copy *copy)
{
    return copy->state == DP_COPY_RESIDENT;
}

bool
cp_query_told(const dp_copy *copy)
{
    return copy->state == DP_COPY_RESIDENT || _cp_is_coming(copy);
}
