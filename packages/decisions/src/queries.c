#include "copies.h"
#include "pace.h"
#include "routing.h"
#include "state.h"

lwd_resource_state
lwd_query_server_state(const lwd_policy *base, lwd_server server)
{
    const dp_policy *policy = (const dp_policy *)base;
    const dp_server *item = po_query_item(&policy->servers, server.id);
    if (!item) {
        return LWD_STATE_INITIAL;
    }
    return item->state == LWD_SERVER_READY && !item->ejected
               ? LWD_STATE_VALID
               : LWD_STATE_FAILED;
}

lwd_resource_state
lwd_query_adapter_state(const lwd_policy *base, lwd_adapter adapter)
{
    const dp_policy *policy = (const dp_policy *)base;
    const dp_adapter *item = po_query_item(&policy->adapters, adapter.id);
    if (!item || item->destroyed) {
        return LWD_STATE_INITIAL;
    }
    if (item->in_load_backoff) {
        return LWD_STATE_FAILED;
    }
    return item->copies.count > 0 ? LWD_STATE_VALID : LWD_STATE_ALLOC;
}

lwd_resource_state
lwd_query_request_state(const lwd_policy *base, lwd_request request)
{
    const dp_policy *policy = (const dp_policy *)base;
    const dp_request *item = po_query_item(&policy->requests, request.id);
    if (!item) {
        return LWD_STATE_INITIAL;
    }
    if (item->phase == DP_PHASE_DELAYED) {
        return LWD_STATE_FAILED;
    }
    return item->phase == DP_PHASE_PENDING ? LWD_STATE_ALLOC : LWD_STATE_VALID;
}

/* Fills in what only the owner knows, from its last summary. */
static void
_lwd_fill_from_summary(const dp_server *server, lwd_server_info *info)
{
    info->running = server->last_summary.running;
    info->waiting = server->last_summary.waiting + server->forwarded_since;
    info->backlog_ms = server->last_summary.backlog_ms;
    info->token_interval_us = server->last_summary.token_interval_us;
    info->ejected = server->last_summary.ejected;
}

bool
lwd_query_server_info(const lwd_policy *base, lwd_server server,
                      lwd_server_info *info)
{
    const dp_policy *policy = (const dp_policy *)base;
    const dp_server *item = po_query_item(&policy->servers, server.id);
    if (!item) {
        return false;
    }
    uint64_t wait_us = rt_query_wait_us(policy, item);
    *info = (lwd_server_info){
        .tag = item->desc.tag,
        .running = item->running,
        .waiting = rt_query_waiting_requests(item),
        .backlog_ms = (uint32_t)(wait_us / DP_US_PER_MS),
        .token_interval_us = (uint32_t)pc_query_interval_us(
            policy, item, MAX(item->running, 1)),
        .resident = item->occupied_slots - item->loading,
        .loading = item->loading,
        .owner = item->desc.owner,
        .owned = item->desc.owned,
        .ejected = item->ejected,
        .leaving = item->state == LWD_SERVER_LEAVING,
    };
    if (!item->desc.owned) {
        _lwd_fill_from_summary(item, info);
    }
    return true;
}

bool
lwd_query_resident(const lwd_policy *base, lwd_server server,
                   lwd_adapter adapter)
{
    const dp_policy *policy = (const dp_policy *)base;
    const dp_server *on = po_query_item(&policy->servers, server.id);
    const dp_adapter *held = po_query_item(&policy->adapters, adapter.id);
    const dp_copy *copy = on && held ? cp_query_find(policy, on, held) : NULL;
    return copy && cp_query_resident(copy);
}

size_t
lwd_query_bytes(const lwd_policy *base)
{
    const dp_policy *policy = (const dp_policy *)base;
    size_t buckets = (size_t)policy->copy_bucket_mask + 1;
    /* adapter_tags holds a key, a hash and a value for each entry; the factor
       of 2 below allows for its empty slots. */
    size_t tag_bytes = 2 * sizeof(void *) + sizeof(guint);
    return sizeof(*policy) + po_query_bytes(&policy->servers) +
           po_query_bytes(&policy->adapters) +
           po_query_bytes(&policy->requests) +
           po_query_bytes(&policy->attempts) +
           po_query_bytes(&policy->copies) + buckets * sizeof(dp_copy *) +
           (size_t)policy->desc.action_capacity * sizeof(dp_action) +
           2 * (size_t)policy->desc.adapter_capacity * tag_bytes;
}

const er_status *
lwd_query_last_status(const lwd_policy *base)
{
    return &((const dp_policy *)base)->status;
}
