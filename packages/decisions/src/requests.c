#include "requests.h"

#include "actions.h"
#include "adapters.h"
#include "admission.h"
#include "attempts.h"
#include "copies.h"
#include "lengths.h"
#include "loads.h"
#include "migration.h"
#include "order.h"
#include "pace.h"
#include "placement.h"
#include "poison.h"
#include "routing.h"
#include "servers.h"
#include <math.h>

#define _RQ_RETRIES_MAX 6
#define _RQ_FORWARDS_MAX 6
#define _RQ_BACKOFF_FIRST_MS 5 /* longest delay before the first retry */
#define _RQ_BACKOFF_DOUBLINGS_MAX 7
/* How long a request waits for a server to come into use: this time, but at
   most the time to its deadline divided by the divisor. */
#define _RQ_NO_SERVER_WAIT_US UINT64_C(3000000)
#define _RQ_NO_SERVER_WAIT_DIVISOR 4
#define _RQ_NO_SERVER_RECHECK_US UINT64_C(50000)
#define _RQ_DEFAULT_PROMPT_TOKENS 1
#define _RQ_DEFAULT_MAX_TOKENS 256

/* -- private: end of a request -------------------------------------------- */

/* Undoes what the current phase holds: place in the pending queue, count of
   forwards, timer. */
static void
_rq_leave_phase(dp_policy *policy, dp_request *request)
{
    if (request->phase == DP_PHASE_PENDING) {
        or_dequeue(policy, request);
    }
    if (request->phase == DP_PHASE_FORWARDED) {
        request->target->forwarded--;
    }
    ti_clear(policy, &request->timer);
    request->phase = DP_PHASE_DEFAULT;
}

/* Cancels the request's attempts; freed takes the servers of their slots. */
static void
_rq_cancel_attempts(dp_policy *policy, dp_request *request,
                    dp_server *freed[2])
{
    for (uint32_t index = 0; index < 2; index++) {
        dp_attempt *attempt = request->attempts[index];
        freed[index] = attempt ? attempt->server : NULL;
        if (attempt) {
            at_cancel(policy, attempt);
        }
    }
}

static void
_rq_fill_slots(dp_policy *policy, dp_server *const freed[2])
{
    for (uint32_t index = 0; index < 2; index++) {
        if (freed[index]) {
            or_fill_slots(policy, freed[index]);
        }
    }
}

/* Cancels the request's attempts, frees it, and fills the freed slots. */
static void
_rq_end(dp_policy *policy, dp_request *request)
{
    _rq_leave_phase(policy, request);
    dp_server *freed[2];
    _rq_cancel_attempts(policy, request, freed);
    dp_adapter *adapter = request->adapter;
    am_remove_request(policy, request);
    po_destroy(&policy->requests, request);
    ad_on_request_ended(policy, adapter);
    _rq_fill_slots(policy, freed);
}

/* Refuses the request and ends it. It may have run if it had an attempt. */
static void
_rq_refuse(dp_policy *policy, dp_request *request, er_code reason,
           uint32_t retry_after_ms)
{
    for (uint32_t index = 0; index < 2; index++) {
        if (request->attempts[index]) {
            request->may_have_run = true;
            at_cancel(policy, request->attempts[index]);
        }
    }
    ac_refuse(policy, request, reason, retry_after_ms, request->may_have_run);
    _rq_end(policy, request);
}

/* -- private: routing ----------------------------------------------------- */

static void
_rq_forward(dp_policy *policy, dp_request *request, dp_server *server)
{
    request->target = server;
    request->phase = DP_PHASE_FORWARDED;
    request->forwards++;
    server->forwarded++;
    server->forwarded_since++;
    ac_forward(policy, request);
}

/* Sets the timer that refuses the request if it has not started in time. */
static void
_rq_set_latest_start_timer(dp_policy *policy, dp_request *request)
{
    uint64_t at_us = am_query_latest_start_us(policy, request);
    if (at_us != UINT64_MAX) {
        ti_set(policy, &request->timer, DP_TIMER_REQUEST, at_us);
    }
}

/* Queues the request for an own server and orders a load if one is due. */
static void
_rq_make_pending(dp_policy *policy, dp_request *request)
{
    or_enqueue(policy, request);
    _rq_set_latest_start_timer(policy, request);
    ld_update_queue_entry(policy, request->adapter);
    ld_start_due_loads(policy);
}

/* Returns true if some server is not leaving: it may come into use again by a
   change of its owner or by a restart. */
static bool
_rq_may_server_return(const dp_policy *policy)
{
    for (uint32_t i = 0; i < policy->servers.used_slots; i++) {
        const dp_server *server = sv_query_by_index(policy, i);
        if (server && server->state != LWD_SERVER_LEAVING) {
            return true;
        }
    }
    return false;
}

/* Handles a request that no server can take now: routes it again at
   intervals for a limited time, then refuses it. One forwarded to this
   instance is refused at once, so that the instance that forwarded it
   routes it again. */
static void
_rq_on_no_server(dp_policy *policy, dp_request *request)
{
    uint64_t now_us = policy->now_us;
    request->no_server_since_us =
        request->no_server_since_us ? request->no_server_since_us : now_us;
    uint64_t wait_max_us = _RQ_NO_SERVER_WAIT_US;
    if (request->deadline_us) {
        uint64_t left_us =
            request->deadline_us -
            MIN(request->no_server_since_us, request->deadline_us);
        wait_max_us = MIN(wait_max_us, left_us / _RQ_NO_SERVER_WAIT_DIVISOR);
    }
    if (request->forwarded ||
        now_us >= request->no_server_since_us + wait_max_us ||
        !_rq_may_server_return(policy)) {
        _rq_refuse(policy, request, ER_NO_SERVER,
                   am_query_backlog_retry_ms(policy));
        return;
    }
    request->phase = DP_PHASE_DELAYED;
    ti_set(policy, &request->timer, DP_TIMER_REQUEST,
           now_us + _RQ_NO_SERVER_RECHECK_US);
}

/* Routes the request: sends it to an own server, forwards it, makes it pending
   or refuses it. The request may have been freed afterwards. */
static void
_rq_submit(dp_policy *policy, dp_request *request)
{
    ti_clear(policy, &request->timer);
    or_classify(policy, request);
    rt_route route = rt_query_route(policy, request);
    if (route.kind == RT_NONE) {
        _rq_on_no_server(policy, request);
        return;
    }
    request->no_server_since_us = 0;
    er_code refusal = am_query_refusal(policy, request, route.wait_us);
    if (refusal != ER_OK) {
        _rq_refuse(policy, request, refusal,
                   am_query_retry_after_ms(policy, route.wait_us));
        return;
    }
    if (route.kind == RT_FORWARD) {
        _rq_forward(policy, request, route.server);
        return;
    }
    if (route.kind == RT_SEND && or_send(policy, request, route.copy, false)) {
        return;
    }
    _rq_make_pending(policy, request);
}

/* -- commands: new requests ----------------------------------------------- */

static void
_rq_init(dp_policy *policy, dp_request *request, const lwd_request_desc *desc)
{
    request->tag = desc->tag;
    request->entered_us = policy->now_us;
    request->deadline_us = desc->deadline_us;
    request->fingerprint = desc->fingerprint;
    request->prefix = desc->prefix;
    request->team = desc->team;
    request->operation = desc->operation % DP_OPERATIONS;
    request->prompt_tokens =
        desc->prompt_tokens ? desc->prompt_tokens : _RQ_DEFAULT_PROMPT_TOKENS;
    request->max_tokens =
        desc->max_tokens ? desc->max_tokens : _RQ_DEFAULT_MAX_TOKENS;
    request->resume_from = desc->resume_from;
    request->forwarded = desc->forwarded;
    request->tokens_at_entry = desc->resume_from;
    request->expected_tokens = le_query_expected(policy, request);
}

lwd_request
rq_make(dp_policy *policy, dp_adapter *adapter, const lwd_request_desc *desc)
{
    uint64_t id = 0;
    dp_request *request = po_make(&policy->requests, &id);
    if (!request) {
        er_set(&policy->status, ER_POOL_FULL, "pool of requests is full");
        return (lwd_request){0};
    }
    lwd_request handle = {id};
    request->id = handle;
    request->adapter = adapter;
    adapter->requests++;
    _rq_init(policy, request, desc);
    pl_record_request(policy, adapter);
    am_add_request(policy, request, desc->team_weight);
    if (ps_query_is_poison(policy, request->fingerprint)) {
        _rq_refuse(policy, request, ER_POISON, 0);
        return handle;
    }
    _rq_submit(policy, request);
    return handle;
}

/* -- commands: end of a request ------------------------------------------- */

void
rq_finish(dp_policy *policy, dp_attempt *attempt, uint32_t tokens)
{
    dp_request *request = attempt->request;
    dp_server *server = attempt->server;
    le_learn(policy, request, tokens);
    pc_learn_token_time(policy, policy->now_us - attempt->first_token_us,
                        tokens - MIN(tokens, attempt->tokens_at_first_token));
    am_refill_budgets(policy);
    ps_note_success(policy, request);
    at_close(policy, attempt);
    _rq_end(policy, request);
    or_fill_slots(policy, server);
}

void
rq_on_caller_gone(dp_policy *policy, dp_request *request)
{
    if (request->phase == DP_PHASE_FORWARDED) {
        ac_cancel_forward(policy, request);
    }
    _rq_end(policy, request);
}

void
rq_forward_finished(dp_policy *policy, dp_request *request, uint32_t tokens)
{
    le_learn(policy, request, tokens);
    am_refill_budgets(policy);
    _rq_end(policy, request);
}

void
rq_refuse_pending(dp_policy *policy, dp_adapter *adapter, er_code reason)
{
    for (uint32_t class_ = 0; class_ < DP_CLASS_NUM; class_++) {
        hp_node *least = hp_query_least(&adapter->pending[class_]);
        while (least) {
            _rq_refuse(policy, HP_ITEM(least, dp_request, pending), reason,
                       am_query_backlog_retry_ms(policy));
            least = hp_query_least(&adapter->pending[class_]);
        }
    }
}

/* -- commands: retries and moves ------------------------------------------ */

/* Returns true if one more retry is allowed, and takes it from the budget. A
   request that resumes from tokens already made repeats no work and takes
   nothing. */
static bool
_rq_take_retry(dp_policy *policy, const dp_request *request)
{
    if (request->retries >= _RQ_RETRIES_MAX) {
        return false;
    }
    return request->resume_from > 0 || am_take_retry(policy);
}

/* Routes the request again after a random delay, whose upper bound grows
   fourfold with each retry up to a limit. Refuses it if no retry is left. */
static void
_rq_retry(dp_policy *policy, dp_request *request)
{
    if (!_rq_take_retry(policy, request)) {
        _rq_refuse(policy, request, ER_SERVER_FAILED,
                   am_query_backlog_retry_ms(policy));
        return;
    }
    uint32_t doublings = MIN(2u * request->retries, _RQ_BACKOFF_DOUBLINGS_MAX);
    uint64_t delay_max_us = (_RQ_BACKOFF_FIRST_MS * DP_US_PER_MS) << doublings;
    request->retries++;
    request->phase = DP_PHASE_DELAYED;
    ti_set(policy, &request->timer, DP_TIMER_REQUEST,
           policy->now_us + delay_max_us / 2 +
               rd_next(policy, delay_max_us / 2));
}

void
rq_attempt_failed(dp_policy *policy, dp_attempt *attempt, lwd_failure failure)
{
    dp_request *request = attempt->request;
    dp_server *server = attempt->server;
    dp_copy *copy = attempt->copy;
    if (failure == LWD_FAILURE_DIED) {
        ps_note_death(policy, request);
    }
    if (failure == LWD_FAILURE_BROKEN || failure == LWD_FAILURE_DIED) {
        request->may_have_run = true;
    }
    at_close(policy, attempt);
    if (failure == LWD_FAILURE_NOT_RESIDENT && copy) {
        /* at_close() may have removed the copy. */
        copy = cp_query_find(policy, server, request->adapter);
        if (copy && cp_query_resident(copy)) {
            cp_destroy(policy, copy);
        }
    }
    if (failure == LWD_FAILURE_FENCED) {
        /* A newer fencing token: another instance owns the server now. */
        sv_set_owner(policy, server, server->desc.owner, false, 0);
    }
    if (ps_query_is_poison(policy, request->fingerprint)) {
        _rq_refuse(policy, request, ER_POISON, 0);
    }
    else if (!request->attempts[0] && !request->attempts[1]) {
        _rq_retry(policy, request);
    }
    or_fill_slots(policy, server);
}

void
rq_on_attempt_paused(dp_policy *policy, dp_attempt *attempt)
{
    dp_request *request = attempt->request;
    dp_server *server = attempt->server;
    request->may_have_run = true;
    at_close(policy, attempt);
    if (!request->attempts[0] && !request->attempts[1]) {
        _rq_make_pending(policy, request);
    }
    or_fill_slots(policy, server);
}

void
rq_cancel_and_reroute(dp_policy *policy, dp_attempt *attempt)
{
    dp_request *request = attempt->request;
    request->may_have_run = true;
    at_cancel(policy, attempt);
    request->moves++;
    if (request->attempts[0] || request->attempts[1]) {
        return;
    }
    if (ps_query_is_poison(policy, request->fingerprint)) {
        _rq_refuse(policy, request, ER_POISON, 0);
        return;
    }
    request->phase = DP_PHASE_DEFAULT;
    _rq_submit(policy, request);
}

void
rq_return_to_entry(dp_policy *policy, dp_attempt *attempt)
{
    dp_server *server = attempt->server;
    _rq_refuse(policy, attempt->request, ER_SERVER_FAILED, 0);
    or_fill_slots(policy, server);
}

void
rq_cancel_and_forward(dp_policy *policy, dp_request *request,
                      dp_server *target)
{
    request->may_have_run = true;
    dp_server *freed[2];
    _rq_cancel_attempts(policy, request, freed);
    _rq_forward(policy, request, target);
    _rq_fill_slots(policy, freed);
}

/* Returns true if another instance would refuse for the same reason. */
static bool
_rq_is_final_refusal(er_code reason)
{
    switch (reason) {
    case ER_POISON:
    case ER_UNKNOWN_MODEL:
    case ER_DEADLINE:
    case ER_OVERLOADED:
    case ER_SHARE_EXCEEDED:
    case ER_OUTCOME_UNKNOWN:
        return true;
    default:
        return false;
    }
}

void
rq_forward_failed(dp_policy *policy, dp_request *request,
                  const lwd_event *event)
{
    request->resume_from = MAX(request->resume_from, event->tokens);
    if (event->failure != LWD_FAILURE_NOT_STARTED) {
        request->may_have_run = true;
    }
    request->target->forwarded--;
    request->phase = DP_PHASE_DEFAULT;
    if (_rq_is_final_refusal(event->reason)) {
        _rq_refuse(policy, request, event->reason, event->retry_after_ms);
        return;
    }
    if (request->forwards >= _RQ_FORWARDS_MAX) {
        _rq_refuse(policy, request, ER_SERVER_FAILED,
                   am_query_backlog_retry_ms(policy));
        return;
    }
    _rq_retry(policy, request);
}

void
rq_on_server_removed(dp_policy *policy, dp_server *server)
{
    const po_pool *pool = &policy->requests;
    for (uint32_t slot = 0; server->forwarded && slot < pool->used_slots;
         slot++) {
        dp_request *request =
            (dp_request *)(void *)(pool->items +
                                   (size_t)slot * pool->desc.item_bytes);
        if (!pool->live[slot] || request->target != server) {
            continue;
        }
        if (request->phase == DP_PHASE_FORWARDED) {
            ac_cancel_forward(policy, request);
            server->forwarded--;
            request->may_have_run = true;
            request->phase = DP_PHASE_DEFAULT;
            request->target = NULL;
            _rq_submit(policy, request);
        }
        else {
            request->target = NULL;
        }
    }
}

void
rq_reroute_pending(dp_policy *policy)
{
    if (policy->usable_own > 0 || policy->pending_count == 0) {
        return;
    }
    const po_pool *pool = &policy->requests;
    for (uint32_t slot = 0; slot < pool->used_slots; slot++) {
        dp_request *request =
            (dp_request *)(void *)(pool->items +
                                   (size_t)slot * pool->desc.item_bytes);
        if (pool->live[slot] && request->phase == DP_PHASE_PENDING) {
            _rq_leave_phase(policy, request);
            _rq_submit(policy, request);
        }
    }
}

void
rq_on_timer(dp_policy *policy, dp_request *request)
{
    if (request->phase == DP_PHASE_DELAYED) {
        request->phase = DP_PHASE_DEFAULT;
        /* A forward of long work that came back with tokens goes to the
           fastest server of another instance, whatever its pace. */
        dp_server *faster =
            mg_query_faster_server(policy, request, request->target, INFINITY);
        if (faster) {
            _rq_forward(policy, request, faster);
            return;
        }
        _rq_submit(policy, request);
        return;
    }
    if (request->phase == DP_PHASE_PENDING) {
        _rq_refuse(policy, request, ER_DEADLINE,
                   am_query_backlog_retry_ms(policy));
    }
}
