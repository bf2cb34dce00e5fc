#include "summaries.h"

#include "actions.h"
#include "adapters.h"
#include "copies.h"
#include "loads.h"
#include "order.h"
#include "pace.h"
#include "routing.h"
#include "servers.h"

#define _SM_PERIOD_MS 250
/* A copy that no summary has listed for this time is dropped. An owner repeats
   each adapter within about a second. */
#define _SM_RESIDENCY_EXPIRY_MS 10000
/* From a change of residency to its summary, so that several share one. */
#define _SM_CHANGE_DELAY_MS 20

/* -- commands ------------------------------------------------------------- */

void
sm_schedule(dp_policy *policy, dp_server *server)
{
    if (!server->desc.owned) {
        ti_clear(policy, &server->summary_timer);
        return;
    }
    if (!server->summary_timer.node.queued) {
        ti_set(policy, &server->summary_timer, DP_TIMER_SUMMARY,
               policy->now_us + _SM_PERIOD_MS * DP_US_PER_MS);
    }
}

void
sm_note_change(dp_policy *policy, dp_server *server, const dp_adapter *adapter,
               bool resident)
{
    if (!server->desc.owned || !server->summary_timer.node.queued) {
        return;
    }
    if (server->change_count == DP_CHANGES) {
        /* Drops the oldest; the adapters repeated in rotation and the expiry
           at the peers make up for it. */
        server->change_first = (server->change_first + 1) % DP_CHANGES;
        server->change_count--;
    }
    uint32_t at = (server->change_first + server->change_count) % DP_CHANGES;
    server->changes[at].adapter_tag = adapter->desc.tag;
    server->changes[at].resident = resident;
    server->change_count++;
    ti_set(policy, &server->summary_timer, DP_TIMER_SUMMARY,
           MIN(server->summary_timer.node.key,
               policy->now_us + _SM_CHANGE_DELAY_MS * DP_US_PER_MS));
}

void
sm_on_timer(dp_policy *policy, dp_server *server)
{
    ac_publish_summary(policy, server);
    sm_schedule(policy, server);
}

static void
_sm_add_change(lwd_summary *summary, uint64_t tag, bool resident)
{
    summary->changes[summary->change_count].adapter_tag = tag;
    summary->changes[summary->change_count].resident = resident;
    summary->change_count++;
}

static void
_sm_move_changes(dp_server *server, lwd_summary *summary)
{
    while (server->change_count > 0 &&
           summary->change_count < LWD_SUMMARY_CHANGES) {
        uint32_t at = server->change_first;
        _sm_add_change(summary, server->changes[at].adapter_tag,
                       server->changes[at].resident);
        server->change_first = (at + 1) % DP_CHANGES;
        server->change_count--;
    }
}

/* Fills free entries with adapters that the server holds or will hold, those
   that were not listed for the longest time first. */
static void
_sm_add_advertised(dp_server *server, lwd_summary *summary)
{
    uint32_t left = server->copies.count;
    while (left > 0 && summary->change_count < LWD_SUMMARY_CHANGES) {
        li_link *link = server->copies.first;
        dp_copy *copy = LI_ITEM(link, dp_copy, server_link);
        li_remove(&server->copies, link);
        li_append(&server->copies, link);
        left--;
        if (cp_query_advertised(copy)) {
            _sm_add_change(summary, copy->adapter->desc.tag, true);
        }
    }
}

void
sm_fill(dp_policy *policy, lwd_server id, lwd_summary *summary)
{
    dp_server *server = po_query_item(&policy->servers, id.id);
    if (!server) {
        return;
    }
    uint32_t batch = MAX(server->running, 1);
    *summary = (lwd_summary){
        .sequence = ++server->summary_sequence,
        .running = server->running,
        .waiting = rt_query_waiting_requests(server),
        .backlog_ms =
            (uint32_t)(rt_query_wait_us(policy, server) / DP_US_PER_MS),
        .load_wait_ms = (uint32_t)(ld_query_wait_us(policy) / DP_US_PER_MS),
        .token_interval_us =
            (uint32_t)pc_query_interval_us(policy, server, batch),
        .ejected = server->ejected,
    };
    _sm_move_changes(server, summary);
    _sm_add_advertised(server, summary);
}

/* -- a peer's summary ----------------------------------------------------- */

static void
_sm_apply_change(dp_policy *policy, dp_server *server, uint64_t tag,
                 bool resident)
{
    dp_adapter *adapter = ad_query_by_tag(policy, tag);
    if (!adapter) {
        return;
    }
    dp_copy *copy = cp_query_find(policy, server, adapter);
    if (resident && !copy) {
        cp_make(policy, server, adapter, DP_COPY_RESIDENT);
    }
    else if (resident) {
        copy->last_reported_us = policy->now_us;
        li_remove(&server->copies, &copy->server_link);
        li_append(&server->copies, &copy->server_link);
    }
    else if (copy) {
        cp_destroy(policy, copy);
    }
}

/* Removes copies that no summary has listed for long: the change that removed
   them was lost. */
static void
_sm_expire_copies(dp_policy *policy, dp_server *server)
{
    for (;;) {
        dp_copy *oldest = LI_ITEM(server->copies.first, dp_copy, server_link);
        if (!oldest ||
            policy->now_us < oldest->last_reported_us +
                                 _SM_RESIDENCY_EXPIRY_MS * DP_US_PER_MS) {
            return;
        }
        cp_destroy(policy, oldest);
    }
}

er_code
sm_receive(dp_policy *policy, dp_server *server, const lwd_summary *summary)
{
    if (server->desc.owned ||
        (server->last_summary.sequence &&
         summary->sequence <= server->last_summary.sequence)) {
        return er_set(&policy->status, ER_STALE,
                      "summary of an own server or not newer than the last");
    }
    server->last_summary = *summary;
    server->forwarded_since = 0;
    uint32_t count = MIN(summary->change_count, LWD_SUMMARY_CHANGES);
    for (uint32_t at = 0; at < count; at++) {
        _sm_apply_change(policy, server, summary->changes[at].adapter_tag,
                         summary->changes[at].resident);
    }
    _sm_expire_copies(policy, server);
    return ER_OK;
}
