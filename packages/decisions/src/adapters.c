#include "adapters.h"

#include "copies.h"
#include "loads.h"
#include "placement.h"
#include "requests.h"
#include "servers.h"

dp_adapter *
ad_make(dp_policy *policy, const lwd_adapter_desc *desc)
{
    uint64_t id = 0;
    dp_adapter *adapter = po_make(&policy->adapters, &id);
    if (!adapter) {
        er_set(&policy->status, ER_POOL_FULL, "pool of adapters is full");
        return NULL;
    }
    adapter->id.id = (uint32_t)id;
    adapter->desc = *desc;
    if (adapter->desc.hash == 0) {
        adapter->desc.hash = rd_mix(desc->tag);
    }
    adapter->popularity = PL_POPULARITY_NEVER_USED;
    adapter->recent = PL_POPULARITY_NEVER_USED;
    g_hash_table_insert(policy->adapter_tags, &adapter->desc.tag, adapter);
    return adapter;
}

/* Frees a destroyed adapter that has no requests and no copies any more. */
static void
_ad_free_if_unused(dp_policy *policy, dp_adapter *adapter)
{
    if (!adapter->destroyed || adapter->requests > 0 ||
        adapter->copies.count > 0) {
        return;
    }
    hp_remove(&policy->load_queue, &adapter->load_node);
    hp_remove(&policy->absent_adapters, &adapter->absent_node);
    ti_clear(policy, &adapter->timer);
    po_destroy(&policy->adapters, adapter);
}

/* Orders the eviction of idle copies on own servers, and drops the records of
   copies on other servers. An own server is left alone until its handover is
   over. */
static void
_ad_drop_copies(dp_policy *policy, dp_adapter *adapter)
{
    li_link *link = adapter->copies.first;
    while (link) {
        dp_copy *copy = LI_ITEM(link, dp_copy, adapter_link);
        link = link->next;
        if (!copy->server->desc.owned) {
            cp_destroy(policy, copy);
        }
        else if (copy->evictable_node.queued &&
                 policy->now_us >= copy->server->handover_until_us) {
            cp_evict(policy, copy);
        }
    }
}

void
ad_destroy(dp_policy *policy, dp_adapter *adapter)
{
    if (ad_query_by_tag(policy, adapter->desc.tag) == adapter) {
        g_hash_table_remove(policy->adapter_tags, &adapter->desc.tag);
    }
    adapter->destroyed = true;
    adapter->requests++; /* keeps it from being freed in this call */
    rq_refuse_pending(policy, adapter, ER_UNKNOWN_MODEL);
    _ad_drop_copies(policy, adapter);
    adapter->requests--;
    _ad_free_if_unused(policy, adapter);
}

void
ad_on_copy_removed(dp_policy *policy, dp_adapter *adapter)
{
    if (adapter->destroyed) {
        _ad_free_if_unused(policy, adapter);
        return;
    }
    if (adapter->copies.count == 0 && !adapter->absent_node.queued) {
        hp_push(&policy->absent_adapters, &adapter->absent_node,
                UINT64_MAX - pl_query_heap_key(adapter->popularity));
    }
    ld_update_queue_entry(policy, adapter);
}

void
ad_on_copy_idle(dp_policy *policy, dp_copy *copy)
{
    if (copy->adapter->destroyed && copy->evictable_node.queued &&
        policy->now_us >= copy->server->handover_until_us) {
        cp_evict(policy, copy);
        return;
    }
    ld_start_due_loads(policy);
}

void
ad_on_request_ended(dp_policy *policy, dp_adapter *adapter)
{
    adapter->requests--;
    _ad_free_if_unused(policy, adapter);
}

uint32_t
ad_query_usable_copies(const dp_adapter *adapter)
{
    uint32_t usable = 0;
    const li_link *link = adapter->copies.first;
    for (; link; link = link->next) {
        const dp_copy *copy = LI_ITEM(link, const dp_copy, adapter_link);
        if (cp_query_resident(copy) && sv_query_usable(copy->server)) {
            usable++;
        }
    }
    return usable;
}

dp_adapter *
ad_query_by_tag(const dp_policy *policy, uint64_t tag)
{
    return g_hash_table_lookup(policy->adapter_tags, &tag);
}
