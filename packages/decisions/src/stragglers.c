#include "stragglers.h"

#include "adapters.h"
#include "admission.h"
#include "attempts.h"
#include "lengths.h"
#include "loads.h"
#include "order.h"
#include "pace.h"
#include "requests.h"
#include "rescue.h"
#include "routing.h"
#include "servers.h"

#define _SG_SLOW 3.0          /* times the normal: a straggler */
#define _SG_RECOVERED 1.6     /* times the normal: in use again */
#define _SG_SILENT_GAPS 2.5   /* usual gaps of progress */
#define _SG_PREFILL_SLACK 1.5 /* of the expected prefill */
#define _SG_FIRST_GAP_US 120000.0
#define _SG_GAP_WEIGHT 0.01
#define _SG_SEEN_ENOUGH 4 /* observations that make a normal */
#define _SG_PROBE_MS 400
#define _SG_PROBE_DOUBLINGS 3
#define _SG_HEDGE_FACTOR 2 /* times the first-token target */

/* -- private: silence ----------------------------------------------------- */

/* Longest time without progress that is still normal. */
static uint64_t
_sg_patience_us(const dp_policy *policy, const dp_server *server)
{
    double gap_us =
        policy->report_gap_us > 0 ? policy->report_gap_us : _SG_FIRST_GAP_US;
    double step_us = pc_query_interval_us(policy, server, server->desc.slots);
    double prefill_us =
        (double)pc_query_prefill_us(server, server->prefill_tokens) *
        server->pace.normal;
    return (uint64_t)(gap_us * _SG_SILENT_GAPS + step_us +
                      prefill_us * _SG_PREFILL_SLACK);
}

void
sg_note_gap(dp_policy *policy, uint64_t gap_us)
{
    if (policy->report_gap_us == 0) {
        policy->report_gap_us = _SG_FIRST_GAP_US;
    }
    double bounded = MIN((double)gap_us, 2 * policy->report_gap_us);
    policy->report_gap_us +=
        _SG_GAP_WEIGHT * (bounded - policy->report_gap_us);
}

void
sg_schedule(dp_policy *policy, dp_server *server)
{
    if (server->running > 0 && !server->progress_timer.node.queued) {
        ti_set(policy, &server->progress_timer, DP_TIMER_SERVER,
               policy->now_us + _sg_patience_us(policy, server));
    }
}

/* -- private: ejection ---------------------------------------------------- */

static bool
_sg_may_eject(const dp_policy *policy, const dp_server *server)
{
    const dp_zone *zone = &policy->zones[server->zone_slot];
    uint32_t share = zone->servers * policy->desc.eject_share_pct / 100;
    uint32_t bound = MAX(share, 1);
    return dp_part_on(policy, LWD_PART_STRAGGLERS) &&
           server->state == LWD_SERVER_READY && server->desc.owned &&
           (server->ejected ||
            (zone->ejected < bound && policy->usable_own > 1));
}

/* True when the rest of the work is done sooner on another server. */
static bool
_sg_move_pays(dp_policy *policy, const dp_attempt *attempt)
{
    const dp_request *request = attempt->request;
    const dp_server *server = attempt->server;
    double rest = le_query_remaining(request, attempt->tokens);
    double normal_us =
        pc_query_interval_us(policy, server, server->desc.slots);
    double stay_us =
        rest * normal_us * MAX(pc_query_slowness(server), _SG_SLOW);
    double move_us = rest * normal_us;
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
        dp_attempt *attempt = LI_ITEM(link, dp_attempt, of_server);
        link = link->next;
        if (attempt->request && _sg_move_pays(policy, attempt)) {
            rq_cancel_and_reroute(policy, attempt);
        }
    }
}

/* Adapters with pending work may need a copy elsewhere now. */
static void
_sg_reconsider_loads(dp_policy *policy, dp_server *server)
{
    const li_link *link = server->active.first;
    for (; link; link = link->next) {
        ld_consider(policy, LI_ITEM(link, dp_copy, active)->adapter);
    }
    ld_pump(policy);
}

static void
_sg_eject(dp_policy *policy, dp_server *server)
{
    uint32_t doublings = MIN(server->ejections, _SG_PROBE_DOUBLINGS);
    uint64_t rest_ms = (uint64_t)_SG_PROBE_MS << doublings;
    sv_set_ejected(policy, server, true);
    server->ejections++;
    server->probe_us = policy->now_us + rest_ms * DP_US_PER_MS;
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
    or_fill(policy, server);
}

/* -- private: hedges ------------------------------------------------------ */

static bool
_sg_is_overdue(const dp_policy *policy, const dp_attempt *attempt)
{
    if (!attempt->request || attempt->first_token || attempt->hedge) {
        return false;
    }
    uint64_t patience_us =
        _SG_HEDGE_FACTOR * policy->desc.first_token_target_ms * DP_US_PER_MS;
    return policy->now_us - attempt->sent_us > patience_us;
}

static void
_sg_hedge_overdue(dp_policy *policy, dp_server *server)
{
    const li_link *link = server->attempts.first;
    for (; link; link = link->next) {
        dp_attempt *attempt = LI_ITEM(link, dp_attempt, of_server);
        if (!_sg_is_overdue(policy, attempt) ||
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
        /* The probe's pace counts alone. */
        pc_reset(server);
        or_fill(policy, server);
    }
    if (server->running == 0) {
        return;
    }
    uint64_t patience_us = _sg_patience_us(policy, server);
    uint64_t due_us = server->pace.last_us + patience_us;
    if (policy->now_us >= due_us && _sg_may_eject(policy, server)) {
        _sg_eject(policy, server);
        return;
    }
    if (dp_part_on(policy, LWD_PART_STRAGGLERS)) {
        _sg_hedge_overdue(policy, server);
    }
    rs_check(policy, server);
    ti_set(policy, &server->progress_timer, DP_TIMER_SERVER,
           MAX(due_us, policy->now_us + patience_us / 2));
}

void
sg_after_progress(dp_policy *policy, dp_server *server)
{
    if (server->pace.observations < _SG_SEEN_ENOUGH && !server->ejected) {
        return;
    }
    double slowness = pc_query_slowness(server);
    if (slowness > _SG_SLOW && _sg_may_eject(policy, server)) {
        if (!server->ejected || policy->now_us >= server->probe_us) {
            _sg_eject(policy, server);
        }
        return;
    }
    if (server->ejected && slowness < _SG_RECOVERED &&
        server->pace.observations > 0) {
        _sg_readmit(policy, server);
    }
}
