#include "attempts.h"

#include "actions.h"
#include "copies.h"
#include "lengths.h"
#include "pace.h"
#include "stragglers.h"

/* A cancelled attempt whose end was not reported counts as ended after this
   time. */
#define _AT_CANCEL_TIMEOUT_MS 500

/* -- private: totals of the server ---------------------------------------- */

/* Sets the attempt's part of the server's running_tokens. */
static void
_at_set_counted_tokens(dp_attempt *attempt, uint32_t remaining)
{
    dp_server *server = attempt->server;
    server->running_tokens += remaining - attempt->counted_tokens;
    attempt->counted_tokens = remaining;
}

static void
_at_attach(dp_request *request, dp_attempt *attempt)
{
    uint32_t index = request->attempts[0] ? 1 : 0;
    g_assert(!request->attempts[index]);
    request->attempts[index] = attempt;
}

static void
_at_detach(dp_attempt *attempt)
{
    dp_request *request = attempt->request;
    uint32_t index = request->attempts[0] == attempt ? 0 : 1;
    request->attempts[index] = NULL;
    attempt->request = NULL;
}

/* Takes the attempt out of its server's totals and out of its request. */
static void
_at_free_slot(dp_policy *policy, dp_attempt *attempt)
{
    dp_server *server = attempt->server;
    _at_set_counted_tokens(attempt, 0);
    server->running--;
    server->long_running -= attempt->is_long ? 1 : 0;
    server->suspects_running -= attempt->suspect ? 1 : 0;
    if (!attempt->first_token) {
        server->prefill_tokens -= attempt->prefill_tokens;
    }
    _at_detach(attempt);
    sg_schedule_check(policy, server);
}

/* Records the pace of an attempt since its last progress. The server's pace is
   left alone if a prefill ran on it meanwhile, which slows the other
   attempts. */
static void
_at_observe_pace(dp_policy *policy, const dp_attempt *attempt,
                 uint32_t new_tokens)
{
    dp_server *server = attempt->server;
    uint64_t time_us = policy->now_us - attempt->last_progress_us;
    sg_learn_report_gap(policy, time_us);
    if (server->prefill_tokens == 0 &&
        server->prefills_done == attempt->prefills_at_last_progress) {
        pc_observe_progress(policy, server, server->running, time_us,
                            new_tokens);
    }
}

/* -- commands ------------------------------------------------------------- */

dp_attempt *
at_open(dp_policy *policy, dp_request *request, dp_copy *copy, bool hedge)
{
    uint64_t id = 0;
    dp_attempt *attempt = po_make(&policy->attempts, &id);
    if (!attempt) {
        er_set(&policy->status, ER_POOL_FULL, "pool of attempts is full");
        return NULL;
    }
    dp_server *server = copy->server;
    *attempt = (dp_attempt){
        .id = {id},
        .request = request,
        .server = server,
        .copy = copy,
        .adapter = request->adapter->id,
        .sent_us = policy->now_us,
        .last_progress_us = policy->now_us,
        .tokens = request->resume_from,
        .prefill_tokens = request->prompt_tokens + request->resume_from,
        .hedge = hedge,
        .is_long = request->class_ == DP_CLASS_LONG,
        .suspect = request->class_ == DP_CLASS_SUSPECT,
    };
    _at_attach(request, attempt);
    li_append(&server->attempts, &attempt->server_link);
    if (server->running == 0) {
        server->pace.last_progress_us = policy->now_us;
    }
    server->running++;
    server->long_running += attempt->is_long ? 1 : 0;
    server->suspects_running += attempt->suspect ? 1 : 0;
    server->prefill_tokens += attempt->prefill_tokens;
    _at_set_counted_tokens(attempt,
                           le_query_remaining(request, attempt->tokens));
    cp_begin_use(copy);
    request->phase = DP_PHASE_RUNNING;
    sg_schedule_check(policy, server);
    return attempt;
}

void
at_on_progress(dp_policy *policy, dp_attempt *attempt, uint32_t tokens)
{
    dp_server *server = attempt->server;
    if (tokens < attempt->tokens) {
        return; /* a report that came twice or out of order */
    }
    uint32_t new_tokens = tokens - attempt->tokens;
    if (attempt->first_token && new_tokens > 0) {
        _at_observe_pace(policy, attempt, new_tokens);
    }
    if (!attempt->first_token) {
        attempt->first_token = true;
        attempt->first_token_us = policy->now_us;
        attempt->tokens_at_first_token = tokens;
        server->prefill_tokens -= attempt->prefill_tokens;
        server->prefills_done++;
    }
    attempt->prefills_at_last_progress = server->prefills_done;
    attempt->tokens = tokens;
    attempt->last_progress_us = policy->now_us;
    server->pace.last_progress_us = policy->now_us;
    _at_set_counted_tokens(attempt,
                           le_query_remaining(attempt->request, tokens));
    attempt->request->resume_from = MAX(attempt->request->resume_from, tokens);
}

void
at_close(dp_policy *policy, dp_attempt *attempt)
{
    if (attempt->request) {
        _at_free_slot(policy, attempt);
    }
    at_release(policy, attempt);
}

void
at_cancel(dp_policy *policy, dp_attempt *attempt)
{
    ac_stop_attempt(policy, attempt, LWD_ACTION_CANCEL);
    _at_free_slot(policy, attempt);
    ti_set(policy, &attempt->timer, DP_TIMER_ATTEMPT,
           policy->now_us + _AT_CANCEL_TIMEOUT_MS * DP_US_PER_MS);
}

void
at_release(dp_policy *policy, dp_attempt *attempt)
{
    dp_copy *copy = attempt->copy;
    ti_clear(policy, &attempt->timer);
    li_remove(&attempt->server->attempts, &attempt->server_link);
    po_destroy(&policy->attempts, attempt);
    if (copy) {
        cp_end_use(policy, copy);
    }
}

void
at_on_timer(dp_policy *policy, dp_attempt *attempt)
{
    at_release(policy, attempt);
}

/* -- queries -------------------------------------------------------------- */

dp_attempt *
at_query_other_attempt(const dp_request *request, const dp_attempt *attempt)
{
    return request->attempts[0] == attempt ? request->attempts[1]
                                           : request->attempts[0];
}
