#include "adapters.h"
#include "attempts.h"
#include "copies.h"
#include "loads.h"
#include "requests.h"
#include "state.h"
#include "stragglers.h"
#include "summaries.h"

void
ti_set(dp_policy *policy, dp_timer *timer, dp_timer_kind kind, uint64_t at_us)
{
    hp_remove(&policy->timers, &timer->node);
    timer->kind = kind;
    hp_push(&policy->timers, &timer->node, at_us);
}

void
ti_clear(dp_policy *policy, dp_timer *timer)
{
    hp_remove(&policy->timers, &timer->node);
}

static void
_ti_fire(dp_policy *policy, dp_timer *timer)
{
    switch (timer->kind) {
    case DP_TIMER_REQUEST:
        rq_on_timer(policy, LI_ITEM(timer, dp_request, timer));
        break;
    case DP_TIMER_COPY:
        cp_on_timer(policy, LI_ITEM(timer, dp_copy, timer));
        break;
    case DP_TIMER_ATTEMPT:
        at_on_timer(policy, LI_ITEM(timer, dp_attempt, timer));
        break;
    case DP_TIMER_SERVER:
        sg_on_timer(policy, LI_ITEM(timer, dp_server, progress_timer));
        break;
    case DP_TIMER_SUMMARY:
        sm_on_timer(policy, LI_ITEM(timer, dp_server, summary_timer));
        break;
    case DP_TIMER_ADAPTER:
        ld_on_backoff_end(policy, LI_ITEM(timer, dp_adapter, timer));
        break;
    case DP_TIMER_LOADS:
        ld_start_due_loads(policy);
        break;
    default:
        break;
    }
}

void
ti_set_time(dp_policy *policy, uint64_t now_us)
{
    policy->now_us = MAX(policy->now_us, now_us);
}

void
ti_advance(dp_policy *policy, uint64_t now_us)
{
    ti_set_time(policy, now_us);
    for (;;) {
        hp_node *node = hp_query_least(&policy->timers);
        if (!node || node->key > policy->now_us) {
            return;
        }
        hp_remove(&policy->timers, node);
        _ti_fire(policy, HP_ITEM(node, dp_timer, node));
    }
}
