#include "stragglers.h"

#include "adapters.h"
#include "admission.h"
#include "attempts.h"
#include "lengths.h"
#include "loads.h"
#include "migration.h"
#include "order.h"
#include "pace.h"
#include "requests.h"
#include "routing.h"
#include "servers.h"

#define _SG_SLOW_FACTOR 3.0       /* times the normal interval: ejected */
#define _SG_RECOVERED_FACTOR 1.6  /* times the normal interval: readmitted */
#define _SG_SILENCE_GAPS 2.5      /* usual gaps between reports */
#define _SG_PREFILL_SLACK 1.5     /* times the expected prefill */
#define _SG_FIRST_GAP_US 120000.0 /* initial progress_interval_us */
#define _SG_GAP_WEIGHT 0.01       /* of one gap in the average */
#define _SG_MIN_OBSERVATIONS 4    /* before the pace can eject a server */
#define _SG_PROBE_MS 400          /* from an ejection to the first probe */
#define _SG_PROBE_DOUBLINGS 3     /* of that time, by repeated ejections */
#define _SG_HEDGE_FACTOR 2        /* times the first-token target */

/* -- private: silence ----------------------------------------------------- */

/* Returns the longest time without progress that is still normal. */
static uint64_t
_sg_silence_limit_us(const dp_policy *policy, const dp_server *server)
{
    double gap_us = policy->progress_interval_us > 0
                        ? policy->progress_interval_us
                        : _SG_FIRST_GAP_US;
    double interval_us =
        pc_query_interval_us(policy, server, server->desc.slots);
    double prefill_us =
        (double)pc_query_prefill_us(server, server->prefill_tokens) *
        server->pace.normal;
    return (uint64_t)(gap_us * _SG_SILENCE_GAPS + interval_us +
                      prefill_us * _SG_PREFILL_SLACK);
}

void
sg_learn_report_gap(dp_policy *policy, uint64_t gap_us)
{
    if (policy->progress_interval_us == 0) {
        policy->progress_interval_us = _SG_FIRST_GAP_US;
    }
    /* A stall must not raise the usual gap by much. */
    double bounded = MIN((double)gap_us, 2 * policy->progress_interval_us);
    policy->progress_interval_us +=
        _SG_GAP_WEIGHT * (bounded - policy->progress_interval_us);
}

void
sg_schedule_check(dp_policy *policy, dp_server *server)
{
    if (server->running > 0 && !server->progress_timer.node.queued) {
        ti_set(policy, &server->progress_timer, DP_TIMER_SERVER,
               policy->now_us + _sg_silence_limit_us(policy, server));
    }
}

/* -- private: ejection ---------------------------------------------------- */

/* Returns whether the server may be ejected. One that is ejected already may
   be ejected again, which delays its next probe. */
static bool
_sg_may_eject(const dp_policy *policy, const dp_server *server)
{
    const dp_zone *zone = &policy->zones[server->zone_slot];
    uint32_t share = zone->servers * policy->desc.eject_share_pct / 100;
    uint32_t bound = MAX(share, 1);
    return dp_feature_enabled(policy, LWD_FEATURE_STRAGGLERS) &&
           server->state == LWD_SERVER_READY && server->desc.owned &&
           (server->ejected ||
            (zone->ejected < bound && policy->usable_own > 1));
}

/* Returns whether the attempt would end sooner on another server, the prefill
   of its tokens and the wait for a load included. */
static bool
_sg_move_pays(dp_policy *policy, const dp_attempt *attempt)
{
    const dp_request *request = attempt->request;
    const dp_server *server = attempt->server;
    double remaining = le_query_remaining(request, attempt->tokens);
    double normal_us =
        pc_query_interval_us(policy, server, server->desc.slots);
    double stay_us = remaining * normal_us *
                     MAX(pc_query_slowness(server), _SG_SLOW_FACTOR);
    double move_us = remaining * normal_us;
    move_us += (double)pc_query_prefill_us(server, request->prompt_tokens +
                                                       attempt->tokens);
    if (!rt_query_free_copy(policy, request, server)) {
        move_us += (double)ld_query_wait_us(policy);
    }
    return move_us < stay_us;
}

static void
_sg_move_work(dp_policy *policy, dp_server *server)
{
    li_link *link = server->attempts.first;
    while (link) {
        dp_attempt *attempt = LI_ITEM(link, dp_attempt, server_link);
        link = link->next;
        if (attempt->request && _sg_move_pays(policy, attempt)) {
            rq_cancel_and_reroute(policy, attempt);
        }
    }
}

/* Queues loads for adapters of the server that need a copy elsewhere now. */
static void
_sg_reconsider_loads(dp_policy *policy, dp_server *server)
{
    const li_link *link = server->active_copies.first;
    for (; link; link = link->next) {
        ld_update_queue_entry(policy,
                              LI_ITEM(link, dp_copy, active_link)->adapter);
    }
    ld_start_due_loads(policy);
}

static void
_sg_eject(dp_policy *policy, dp_server *server)
{
    uint32_t doublings = MIN(server->ejections, _SG_PROBE_DOUBLINGS);
    uint64_t probe_delay_ms = (uint64_t)_SG_PROBE_MS << doublings;
    sv_set_ejected(policy, server, true);
    server->ejections++;
    server->probe_us = policy->now_us + probe_delay_ms * DP_US_PER_MS;
    _sg_move_work(policy, server);
    _sg_reconsider_loads(policy, server);
    rq_reroute_pending(policy);
    ti_set(policy, &server->progress_timer, DP_TIMER_SERVER, server->probe_us);
}

static void
_sg_readmit(dp_policy *policy, dp_server *server)
{
    sv_set_ejected(policy, server, false);
    server->ejections = 0;
    or_fill_slots(policy, server);
}

/* -- private: hedges ------------------------------------------------------ */

static bool
_sg_first_token_overdue(const dp_policy *policy, const dp_attempt *attempt)
{
    if (!attempt->request || attempt->first_token || attempt->hedge) {
        return false;
    }
    uint64_t limit_us =
        _SG_HEDGE_FACTOR * policy->desc.first_token_target_ms * DP_US_PER_MS;
    return policy->now_us - attempt->sent_us > limit_us;
}

static void
_sg_hedge_overdue(dp_policy *policy, dp_server *server)
{
    const li_link *link = server->attempts.first;
    for (; link; link = link->next) {
        dp_attempt *attempt = LI_ITEM(link, dp_attempt, server_link);
        if (!_sg_first_token_overdue(policy, attempt) ||
            at_query_other_attempt(attempt->request, attempt)) {
            continue;
        }
        dp_copy *copy = rt_query_free_copy(policy, attempt->request, server);
        if (copy && am_take_hedge(policy)) {
            or_send(policy, attempt->request, copy, true);
        }
    }
}

/* -- events --------------------------------------------------------------- */

void
sg_on_timer(dp_policy *policy, dp_server *server)
{
    if (server->ejected && policy->now_us >= server->probe_us &&
        server->running == 0) {
        /* Only the pace of the probe decides on the readmission. */
        pc_reset(server);
        or_fill_slots(policy, server);
    }
    if (server->running == 0) {
        return;
    }
    uint64_t limit_us = _sg_silence_limit_us(policy, server);
    uint64_t due_us = server->pace.last_progress_us + limit_us;
    if (policy->now_us >= due_us && _sg_may_eject(policy, server)) {
        _sg_eject(policy, server);
        return;
    }
    if (dp_feature_enabled(policy, LWD_FEATURE_STRAGGLERS)) {
        _sg_hedge_overdue(policy, server);
    }
    mg_move_late_work(policy, server);
    ti_set(policy, &server->progress_timer, DP_TIMER_SERVER,
           MAX(due_us, policy->now_us + limit_us / 2));
}

void
sg_after_progress(dp_policy *policy, dp_server *server)
{
    if (server->pace.observations < _SG_MIN_OBSERVATIONS && !server->ejected) {
        return;
    }
    double slowness = pc_query_slowness(server);
    if (slowness > _SG_SLOW_FACTOR && _sg_may_eject(policy, server)) {
        if (!server->ejected || policy->now_us >= server->probe_us) {
            _sg_eject(policy, server);
        }
        return;
    }
    if (server->ejected && slowness < _SG_RECOVERED_FACTOR &&
        server->pace.observations > 0) {
        _sg_readmit(policy, server);
    }
}
