#include "pauses.h"

#include "actions.h"
#include "copies.h"
#include "order.h"
#include "pace.h"
#include "routing.h"
#include "servers.h"

#define _PA_PAUSES_MAX 1    /* of one request */
#define _PA_LEAST_TOKENS 32 /* made in a run before it may be paused */
#define _PA_GAIN 4          /* times the cost, that must be spared */
#define _PA_PREFILLS 1.3    /* times the pace, for prefills of others */
#define _PA_PAUSE_US 15e6   /* that a pause may last */
#define _PA_COPIES_MAX 8    /* looked at for one request */

/* Time that all the streams of a server lose when the attempt goes on. */
static double
_pa_cost_us(const dp_attempt *attempt)
{
    const dp_server *server = attempt->server;
    uint32_t tokens = attempt->request->prompt_tokens + attempt->tokens;
    return (double)pc_query_prefill_us(server, tokens) * server->pace.normal *
           server->running;
}

/* It ends in time after a pause even if it gets as long as it may, here. */
static bool
_pa_has_time(const dp_policy *policy, const dp_attempt *attempt)
{
    const dp_request *request = attempt->request;
    const dp_server *server = attempt->server;
    if (request->deadline_us == 0) {
        return true;
    }
    uint32_t made = MIN(attempt->tokens, request->max_tokens);
    double rest_us = (request->max_tokens - made) *
                     pc_query_interval_us(policy, server, server->desc.slots);
    return (double)policy->now_us + rest_us * _PA_PREFILLS + _PA_PAUSE_US <
           (double)request->deadline_us;
}

static bool
_pa_may_pause(const dp_policy *policy, const dp_attempt *attempt,
              const dp_request *before)
{
    const dp_request *request = attempt->request;
    return request && attempt->long_work && attempt->first_token &&
           !attempt->pausing && request->pauses < _PA_PAUSES_MAX &&
           attempt->tokens >= attempt->first_tokens + _PA_LEAST_TOKENS &&
           _pa_has_time(policy, attempt) &&
           or_query_key(policy, request) > or_query_key(policy, before);
}

/* The attempt that costs least to pause; NULL when none may be. */
static dp_attempt *
_pa_cheapest(const dp_policy *policy, const dp_server *server,
             const dp_request *before)
{
    dp_attempt *best = NULL;
    const li_link *link = server->attempts.first;
    for (; link; link = link->next) {
        dp_attempt *attempt = LI_ITEM(link, dp_attempt, of_server);
        if (_pa_may_pause(policy, attempt, before) &&
            (!best || attempt->tokens < best->tokens)) {
            best = attempt;
        }
    }
    return best;
}

static bool
_pa_is_full(const dp_copy *copy)
{
    const dp_server *server = copy->server;
    return cp_query_resident(copy) && sv_query_usable(server) &&
           server->desc.pausable && server->pausing == 0 &&
           server->long_running > 0 && server->running >= server->desc.slots;
}

static void
_pa_pause(dp_policy *policy, dp_attempt *attempt)
{
    attempt->pausing = true;
    attempt->request->pauses++;
    attempt->request->paused_us = policy->now_us;
    attempt->server->pausing++;
    ac_stop(policy, attempt, LWD_ACTION_PAUSE);
}

void
pa_consider(dp_policy *policy, const dp_request *request)
{
    if (request->class_ != DP_CLASS_SHORT ||
        !dp_part_on(policy, LWD_PART_ORDER)) {
        return;
    }
    uint32_t seen = 0;
    const li_link *link = request->adapter->copies.first;
    for (; link && seen < _PA_COPIES_MAX; link = link->next, seen++) {
        const dp_copy *copy = LI_ITEM(link, const dp_copy, of_adapter);
        if (!_pa_is_full(copy)) {
            continue;
        }
        dp_attempt *attempt = _pa_cheapest(policy, copy->server, request);
        double spared_us = (double)rt_query_wait_us(policy, copy->server) *
                           MAX(rt_query_waiting(copy->server), 1);
        if (attempt && spared_us > _PA_GAIN * _pa_cost_us(attempt)) {
            _pa_pause(policy, attempt);
            return;
        }
    }
}
