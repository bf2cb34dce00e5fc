#include "actions.h"
#include "adapters.h"
#include "copies.h"
#include "events.h"
#include "pace.h"
#include "placement.h"
#include "requests.h"
#include "routing.h"
#include "servers.h"

/* Defaults of lwd_desc. */
#define _LWD_SEED 1
#define _LWD_SERVERS 640
#define _LWD_ADAPTERS 16384
#define _LWD_REQUESTS 8192
#define _LWD_ACTIONS 8192
#define _LWD_LOADS_PER_S_MILLI 1000
#define _LWD_LOADS_IN_TRANSIT 1
#define _LWD_LOAD_MS 250
#define _LWD_HOP_US 1000
#define _LWD_FIRST_TOKEN_MS 700
#define _LWD_TOKEN_INTERVAL_MS 55
#define _LWD_EJECT_SHARE_PCT 34
#define _LWD_HEDGE_BUDGET_PCT 3
#define _LWD_RETRY_BUDGET_PCT 10
#define _LWD_POISON_DEATHS 2
/* Pool sizes that lwd_desc does not set. */
#define _LWD_ATTEMPTS 8192 /* at most; no more than request_capacity */
#define _LWD_COPIES_PER_SERVER 32
/* Retries and hedges allowed before any request has succeeded. */
#define _LWD_INITIAL_RETRIES 32.0
#define _LWD_INITIAL_HEDGES 1.0

/* A field that is 0 takes its default. */
#define _LWD_DEFAULT(field, value) ((field) ? (field) : (value))

/* -- private: creation ---------------------------------------------------- */

static lwd_desc
_lwd_apply_defaults(const lwd_desc *desc)
{
    lwd_desc out = *desc;
    out.seed = _LWD_DEFAULT(desc->seed, _LWD_SEED);
    out.server_capacity = _LWD_DEFAULT(desc->server_capacity, _LWD_SERVERS);
    out.adapter_capacity = _LWD_DEFAULT(desc->adapter_capacity, _LWD_ADAPTERS);
    out.request_capacity = _LWD_DEFAULT(desc->request_capacity, _LWD_REQUESTS);
    out.action_capacity = _LWD_DEFAULT(desc->action_capacity, _LWD_ACTIONS);
    out.loads_per_s_milli =
        _LWD_DEFAULT(desc->loads_per_s_milli, _LWD_LOADS_PER_S_MILLI);
    out.loads_in_transit =
        _LWD_DEFAULT(desc->loads_in_transit, _LWD_LOADS_IN_TRANSIT);
    out.load_ms = _LWD_DEFAULT(desc->load_ms, _LWD_LOAD_MS);
    out.hop_us = _LWD_DEFAULT(desc->hop_us, _LWD_HOP_US);
    out.first_token_target_ms =
        _LWD_DEFAULT(desc->first_token_target_ms, _LWD_FIRST_TOKEN_MS);
    out.token_interval_ms =
        _LWD_DEFAULT(desc->token_interval_ms, _LWD_TOKEN_INTERVAL_MS);
    out.eject_share_pct =
        _LWD_DEFAULT(desc->eject_share_pct, _LWD_EJECT_SHARE_PCT);
    out.hedge_budget_pct =
        _LWD_DEFAULT(desc->hedge_budget_pct, _LWD_HEDGE_BUDGET_PCT);
    out.retry_budget_pct =
        _LWD_DEFAULT(desc->retry_budget_pct, _LWD_RETRY_BUDGET_PCT);
    out.poison_deaths = _LWD_DEFAULT(desc->poison_deaths, _LWD_POISON_DEATHS);
    return out;
}

/* Sizes the pools. Ids of servers and adapters have 32 bits, those of other
   items have 64. */
static void
_lwd_setup_pools(dp_policy *policy)
{
    const lwd_desc *desc = &policy->desc;
    uint32_t attempts = MIN(desc->request_capacity, _LWD_ATTEMPTS);
    uint32_t copies = desc->server_capacity * _LWD_COPIES_PER_SERVER;
    po_setup(&policy->servers, &(po_desc){.capacity = desc->server_capacity,
                                          .item_bytes = sizeof(dp_server),
                                          .index_bits = 16,
                                          .generation_bits = 16});
    po_setup(&policy->adapters, &(po_desc){.capacity = desc->adapter_capacity,
                                           .item_bytes = sizeof(dp_adapter),
                                           .index_bits = 16,
                                           .generation_bits = 16});
    po_setup(&policy->requests, &(po_desc){.capacity = desc->request_capacity,
                                           .item_bytes = sizeof(dp_request),
                                           .index_bits = 32,
                                           .generation_bits = 32});
    po_setup(&policy->attempts, &(po_desc){.capacity = attempts,
                                           .item_bytes = sizeof(dp_attempt),
                                           .index_bits = 32,
                                           .generation_bits = 32});
    po_setup(&policy->copies, &(po_desc){.capacity = copies,
                                         .item_bytes = sizeof(dp_copy),
                                         .index_bits = 32,
                                         .generation_bits = 32});
    uint32_t buckets = 1;
    while (buckets * 2 <= copies) {
        buckets *= 2;
    }
    policy->copy_buckets = g_new0(dp_copy *, buckets);
    policy->copy_bucket_mask = buckets - 1;
}

static void
_lwd_destroy(lwd_policy *base)
{
    dp_policy *policy = (dp_policy *)base;
    po_shutdown(&policy->servers);
    po_shutdown(&policy->adapters);
    po_shutdown(&policy->requests);
    po_shutdown(&policy->attempts);
    po_shutdown(&policy->copies);
    g_free(policy->copy_buckets);
    g_free(policy->actions);
    g_hash_table_unref(policy->adapter_tags);
    g_free(policy);
}

/* -- private: functions of the table -------------------------------------- */

static lwd_server
_lwd_make_server(lwd_policy *base, uint64_t now_us,
                 const lwd_server_desc *desc)
{
    dp_policy *policy = (dp_policy *)base;
    ti_advance(policy, now_us);
    dp_server *server = sv_make(policy, desc);
    return server ? server->id : (lwd_server){0};
}

static void
_lwd_destroy_server(lwd_policy *base, uint64_t now_us, lwd_server id)
{
    dp_policy *policy = (dp_policy *)base;
    ti_advance(policy, now_us);
    dp_server *server = po_query_item(&policy->servers, id.id);
    if (server) {
        sv_destroy(policy, server);
    }
}

static lwd_adapter
_lwd_make_adapter(lwd_policy *base, uint64_t now_us,
                  const lwd_adapter_desc *desc)
{
    dp_policy *policy = (dp_policy *)base;
    ti_advance(policy, now_us);
    dp_adapter *adapter = ad_make(policy, desc);
    return adapter ? adapter->id : (lwd_adapter){0};
}

static void
_lwd_destroy_adapter(lwd_policy *base, uint64_t now_us, lwd_adapter id)
{
    dp_policy *policy = (dp_policy *)base;
    ti_advance(policy, now_us);
    dp_adapter *adapter = po_query_item(&policy->adapters, id.id);
    if (adapter && !adapter->destroyed) {
        ad_destroy(policy, adapter);
    }
}

static lwd_request
_lwd_make_request(lwd_policy *base, uint64_t now_us,
                  const lwd_request_desc *desc)
{
    dp_policy *policy = (dp_policy *)base;
    ti_advance(policy, now_us);
    dp_adapter *adapter = po_query_item(&policy->adapters, desc->adapter.id);
    if (!adapter || adapter->destroyed) {
        er_set(&policy->status, ER_UNKNOWN_MODEL, "adapter %u is not known",
               desc->adapter.id);
        return (lwd_request){0};
    }
    if (!ac_query_accepts_work(policy)) {
        er_set(&policy->status, ER_POOL_FULL, "action queue is half full");
        return (lwd_request){0};
    }
    return rq_make(policy, adapter, desc);
}

static er_code
_lwd_feed(lwd_policy *base, uint64_t now_us, const lwd_event *event)
{
    dp_policy *policy = (dp_policy *)base;
    /* The event comes before the timers: it may cancel a timer that is due,
       such as the timeout of a load that it reports as done. */
    ti_set_time(policy, now_us);
    er_code code = ev_feed(policy, event);
    ti_advance(policy, now_us);
    return code;
}

static bool
_lwd_next_action(lwd_policy *base, lwd_action *action)
{
    return ac_next((dp_policy *)base, action);
}

static uint64_t
_lwd_query_wakeup_us(const lwd_policy *base)
{
    const dp_policy *policy = (const dp_policy *)base;
    const hp_node *least = hp_query_least(&policy->timers);
    return least ? least->key : UINT64_MAX;
}

static const lwd_policy_vt _lwd_vt = {
    .destroy = _lwd_destroy,
    .make_server = _lwd_make_server,
    .destroy_server = _lwd_destroy_server,
    .make_adapter = _lwd_make_adapter,
    .destroy_adapter = _lwd_destroy_adapter,
    .make_request = _lwd_make_request,
    .feed = _lwd_feed,
    .next_action = _lwd_next_action,
    .query_wakeup_us = _lwd_query_wakeup_us,
};

/* -- commands ------------------------------------------------------------- */

lwd_policy *
lwd_create(const lwd_desc *desc)
{
    dp_policy *policy = g_new0(dp_policy, 1);
    policy->base.vt = &_lwd_vt;
    policy->desc = _lwd_apply_defaults(desc);
    policy->random = policy->desc.seed;
    policy->homes_epoch = 1; /* adapters begin at 0: without homes */
    policy->retry_budget = _LWD_INITIAL_RETRIES;
    policy->hedge_budget = _LWD_INITIAL_HEDGES;
    policy->actions = g_new0(dp_action, policy->desc.action_capacity);
    policy->adapter_tags = g_hash_table_new(g_int64_hash, g_int64_equal);
    _lwd_setup_pools(policy);
    pc_setup(policy);
    return &policy->base;
}

void
lwd_destroy(lwd_policy *policy)
{
    if (policy) {
        policy->vt->destroy(policy);
    }
}

lwd_server
lwd_make_server(lwd_policy *policy, uint64_t now_us,
                const lwd_server_desc *desc)
{
    return policy->vt->make_server(policy, now_us, desc);
}

void
lwd_destroy_server(lwd_policy *policy, uint64_t now_us, lwd_server server)
{
    policy->vt->destroy_server(policy, now_us, server);
}

lwd_adapter
lwd_make_adapter(lwd_policy *policy, uint64_t now_us,
                 const lwd_adapter_desc *desc)
{
    return policy->vt->make_adapter(policy, now_us, desc);
}

void
lwd_destroy_adapter(lwd_policy *policy, uint64_t now_us, lwd_adapter adapter)
{
    policy->vt->destroy_adapter(policy, now_us, adapter);
}

lwd_request
lwd_make_request(lwd_policy *policy, uint64_t now_us,
                 const lwd_request_desc *desc)
{
    return policy->vt->make_request(policy, now_us, desc);
}

er_code
lwd_feed(lwd_policy *policy, uint64_t now_us, const lwd_event *event)
{
    return policy->vt->feed(policy, now_us, event);
}

bool
lwd_next_action(lwd_policy *policy, lwd_action *action)
{
    return policy->vt->next_action(policy, action);
}

uint64_t
lwd_query_wakeup_us(const lwd_policy *policy)
{
    return policy->vt->query_wakeup_us(policy);
}

void
lwd_set_limits(lwd_policy *base, const lwd_desc *desc)
{
    dp_policy *policy = (dp_policy *)base;
    lwd_desc limits = _lwd_apply_defaults(desc);
    policy->desc.load_ms = limits.load_ms;
    policy->desc.first_token_target_ms = limits.first_token_target_ms;
    policy->desc.token_interval_ms = limits.token_interval_ms;
    policy->desc.eject_share_pct = limits.eject_share_pct;
    policy->desc.hedge_budget_pct = limits.hedge_budget_pct;
    policy->desc.retry_budget_pct = limits.retry_budget_pct;
    policy->desc.poison_deaths = limits.poison_deaths;
}
