#include "copies.h"

#include "actions.h"
#include "adapters.h"
#include "loads.h"
#include "order.h"
#include "placement.h"
#include "servers.h"
#include "summaries.h"

/* A load without an answer counts as lost after this multiple of load_ms: 10 s
   at the default. */
#define _CP_LOAD_TIMEOUT_FACTOR 40
/* An eviction without an answer is ordered again after this time. */
#define _CP_EVICT_TIMEOUT_MS 2000

/* -- private: the table of copies ----------------------------------------- */

static dp_copy **
_cp_bucket(const dp_policy *policy, const dp_server *server,
           const dp_adapter *adapter)
{
    uint64_t pair = (uint64_t)server->id.id << 32 | adapter->id.id;
    return &policy->copy_buckets[rd_mix(pair) & policy->copy_bucket_mask];
}

static void
_cp_remove_from_table(dp_policy *policy, dp_copy *copy)
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

/* -- private: lists, heap and counts by state ----------------------------- */

static bool
_cp_is_load_pending(const dp_copy *copy)
{
    return copy->state == DP_COPY_AWAITING_EVICTION ||
           copy->state == DP_COPY_AWAITING_BUDGET ||
           copy->state == DP_COPY_LOADING;
}

/* Puts the copy into its server's heap of evictable copies, with a current
   key, or removes it. A pinned copy has the greatest key there. */
static void
_cp_refresh_evictable(dp_copy *copy)
{
    dp_server *server = copy->server;
    hp_remove(&server->evictable, &copy->evictable_node);
    if (server->desc.owned && copy->state == DP_COPY_RESIDENT &&
        copy->running == 0 && copy->adapter->pending_count == 0) {
        hp_push(
            &server->evictable, &copy->evictable_node,
            pl_query_heap_key(pl_query_popularity_per_copy(copy->adapter)));
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
        li_append(&copy->server->active_copies, &copy->active_link);
    }
    else {
        li_remove(&copy->server->active_copies, &copy->active_link);
    }
}

/* Adds the copy to the active list and the heap of evictable copies of its
   server where it belongs there, else removes it. */
static void
_cp_refresh_lists(dp_copy *copy)
{
    bool advertised = copy->server->desc.owned && cp_query_advertised(copy);
    _cp_set_active(copy, advertised && copy->adapter->pending_count > 0);
    _cp_refresh_evictable(copy);
}

void
cp_refresh_active(dp_adapter *adapter)
{
    li_link *link = adapter->copies.first;
    for (; link; link = link->next) {
        _cp_refresh_lists(LI_ITEM(link, dp_copy, adapter_link));
    }
}

/* Updates the eviction keys of all copies: the popularity per copy depends on
   the number of copies. */
static void
_cp_refresh_evictable_copies(const dp_adapter *adapter)
{
    const li_link *link = adapter->copies.first;
    for (; link; link = link->next) {
        _cp_refresh_evictable(LI_ITEM(link, dp_copy, adapter_link));
    }
}

/* Adds the copy to the counts of its state (sign 1) or removes it from them
   (sign -1). */
static void
_cp_update_counts(dp_policy *policy, dp_copy *copy, int sign)
{
    dp_server *server = copy->server;
    if (!server->desc.owned) {
        return;
    }
    uint32_t one = (uint32_t)sign;
    if (copy->state == DP_COPY_RESIDENT) {
        copy->adapter->own_resident += one;
        _cp_refresh_evictable_copies(copy->adapter);
    }
    if (_cp_is_load_pending(copy)) {
        copy->adapter->incoming_copies += one;
    }
    if (copy->state == DP_COPY_LOADING) {
        server->loading += one;
        policy->in_transit += one;
    }
    if (copy->state == DP_COPY_AWAITING_EVICTION ||
        copy->state == DP_COPY_AWAITING_BUDGET) {
        policy->reserved_copies += one;
    }
}

static void
_cp_leave_state(dp_policy *policy, dp_copy *copy)
{
    if (copy->state == DP_COPY_AWAITING_BUDGET) {
        li_remove(&policy->budget_queue, &copy->budget_link);
    }
    ti_clear(policy, &copy->timer);
    _cp_update_counts(policy, copy, -1);
}

static void
_cp_enter_state(dp_policy *policy, dp_copy *copy, dp_copy_state state)
{
    copy->state = (uint8_t)state;
    _cp_update_counts(policy, copy, 1);
    uint64_t timeout_ms = 0;
    if (state == DP_COPY_AWAITING_BUDGET) {
        li_append(&policy->budget_queue, &copy->budget_link);
    }
    if (state == DP_COPY_LOADING) {
        timeout_ms = (uint64_t)policy->desc.load_ms * _CP_LOAD_TIMEOUT_FACTOR;
    }
    if (state == DP_COPY_EVICTING) {
        timeout_ms = _CP_EVICT_TIMEOUT_MS;
    }
    if (timeout_ms > 0) {
        ti_set(policy, &copy->timer, DP_TIMER_COPY,
               policy->now_us + timeout_ms * DP_US_PER_MS);
    }
}

/* Attaches attempts that began on an earlier copy of the adapter. */
static void
_cp_attach_attempts(dp_copy *copy)
{
    li_link *link = copy->server->attempts.first;
    for (; link; link = link->next) {
        dp_attempt *attempt = LI_ITEM(link, dp_attempt, server_link);
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
        er_set(&policy->status, ER_POOL_FULL, "pool of copies is full");
        return NULL;
    }
    copy->last_reported_us = policy->now_us;
    copy->server = server;
    copy->adapter = adapter;
    dp_copy **bucket = _cp_bucket(policy, server, adapter);
    copy->next_hashed = *bucket;
    *bucket = copy;
    li_append(&server->copies, &copy->server_link);
    li_append(&adapter->copies, &copy->adapter_link);
    server->occupied_slots++;
    _cp_attach_attempts(copy);
    hp_remove(&policy->absent_adapters, &adapter->absent_node);
    _cp_enter_state(policy, copy, state);
    _cp_refresh_lists(copy);
    if (cp_query_advertised(copy)) {
        sm_note_change(policy, server, adapter, true);
    }
    return copy;
}

/* Attempts that still use the copy go on without one. */
static void
_cp_detach_attempts(dp_copy *copy)
{
    li_link *link = copy->server->attempts.first;
    for (; link; link = link->next) {
        dp_attempt *attempt = LI_ITEM(link, dp_attempt, server_link);
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
    _cp_detach_attempts(copy);
    if (cp_query_advertised(copy)) {
        sm_note_change(policy, server, adapter, false);
    }
    if (copy->predecessor) {
        copy->predecessor->successor = NULL;
    }
    _cp_set_active(copy, false);
    _cp_leave_state(policy, copy);
    hp_remove(&server->evictable, &copy->evictable_node);
    _cp_remove_from_table(policy, copy);
    li_remove(&server->copies, &copy->server_link);
    li_remove(&adapter->copies, &copy->adapter_link);
    server->occupied_slots--;
    po_destroy(&policy->copies, copy);
    if (successor) {
        successor->predecessor = NULL;
        cp_set_state(policy, successor, DP_COPY_AWAITING_BUDGET);
    }
    ad_on_copy_removed(policy, adapter);
}

void
cp_set_state(dp_policy *policy, dp_copy *copy, dp_copy_state state)
{
    bool was_advertised = cp_query_advertised(copy);
    _cp_leave_state(policy, copy);
    _cp_enter_state(policy, copy, state);
    _cp_refresh_lists(copy);
    if (cp_query_advertised(copy) != was_advertised) {
        sm_note_change(policy, copy->server, copy->adapter, !was_advertised);
    }
}

void
cp_evict(dp_policy *policy, dp_copy *copy)
{
    g_assert(policy->now_us >= copy->server->handover_until_us);
    cp_set_state(policy, copy, DP_COPY_EVICTING);
    ac_load_or_evict(policy, copy, LWD_ACTION_EVICT);
}

void
cp_begin_use(dp_copy *copy)
{
    copy->running++;
    copy->prefetched = false;
    hp_remove(&copy->server->evictable, &copy->evictable_node);
}

void
cp_end_use(dp_policy *policy, dp_copy *copy)
{
    copy->running--;
    if (copy->running > 0) {
        return;
    }
    _cp_refresh_evictable(copy);
    ad_on_copy_idle(policy, copy);
}

void
cp_on_timer(dp_policy *policy, dp_copy *copy)
{
    if (policy->now_us < copy->server->handover_until_us) {
        ti_set(policy, &copy->timer, DP_TIMER_COPY,
               copy->server->handover_until_us);
        return;
    }
    if (copy->state == DP_COPY_EVICTING) {
        cp_evict(policy, copy);
        return;
    }
    /* The answer to the load is lost: the engine may hold the adapter. */
    dp_adapter *adapter = copy->adapter;
    cp_evict(policy, copy);
    ld_start_backoff(policy, adapter, copy->server);
}

/* -- events of own servers ------------------------------------------------ */

er_code
cp_on_residency_report(dp_policy *policy, dp_server *server,
                       dp_adapter *adapter, bool resident)
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
    /* An adapter in use must be held: a report that it is not was made before
       its load. */
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
        return er_set(&policy->status, ER_STALE,
                      "no eviction of the adapter is under way on the server");
    }
    cp_destroy(policy, copy);
    ld_start_due_loads(policy);
    return ER_OK;
}

bool
cp_query_resident(const dp_copy *copy)
{
    return copy->state == DP_COPY_RESIDENT;
}

bool
cp_query_advertised(const dp_copy *copy)
{
    return copy->state == DP_COPY_RESIDENT || _cp_is_load_pending(copy);
}
