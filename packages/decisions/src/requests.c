#include "requests.h"

#include "actions.h"
#include "adapters.h"
#include "admission.h"
#include "attempts.h"
#include "copies.h"
#include "lengths.h"
#include "loads.h"
#include "order.h"
#include "pace.h"
#include "placement.h"
#include "poison.h"
#include "rescue.h"
#include "routing.h"
#include "servers.h"
#include <math.h>

#define _RQ_RETRIES_MAX 6
#define _RQ_FORWARDS_MAX 6
#define _RQ_BACKOFF_MS 5
#define _RQ_BACKOFF_DOUBLINGS 7
#define _RQ_PATIENCE_US UINT64_C(3000000) /* for a server to come into use */
#define _RQ_PATIENCE_SHARE 4 /* at most this part of the time left */
#define _RQ_LOOK_AGAIN_US UINT64_C(50000)
#define _RQ_PROMPT_TOKENS 1
#define _RQ_MAX_TOKENS 256

/* -- private: ends -------------------------------------------------------- */

/* Takes the request out of wherever it stands. */
static void
_rq_withdraw(dp_policy *policy, dp_request *request)
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

static void
_rq_end(dp_policy *policy, dp_request *request)
{
    _rq_withdraw(policy, request);
    dp_server *left[2] = {NULL, NULL};
    for (uint32_t at = 0; at < 2; at++) {
        dp_attempt *attempt = request->attempts[at];
        if (attempt) {
            left[at] = attempt->server;
            at_cancel(policy, attempt);
        }
    }
    dp_adapter *adapter = request->adapter;
    am_leave(policy, request);
    po_destroy(&policy->requests, request);
    ad_on_request_ended(policy, adapter);
    for (uint32_t at = 0; at < 2; at++) {
        if (left[at]) {
            or_fill_slots(policy, left[at]);
        }
    }
}

static void
_rq_refuse(dp_policy *policy, dp_request *request, er_code reason,
           uint32_t retry_after_ms)
{
    for (uint32_t at = 0; at < 2; at++) {
        if (request->attempts[at]) {
            request->may_have_run = true;
            at_cancel(policy, request->attempts[at]);
        }
    }
    ac_refuse(policy, request, reason, retry_after_ms, request->may_have_run);
    _rq_end(policy, request);
}

/* -- private: routes ------------------------------------------------------ */

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

/* Sets when it is to be given up if it still has not run by then. */
static void
_rq_set_give_up(dp_policy *policy, dp_request *request)
{
    uint64_t at_us = am_query_give_up_us(policy, request);
    if (at_us != UINT64_MAX) {
        ti_set(policy, &request->timer, DP_TIMER_REQUEST, at_us);
    }
}

static void
_rq_wait(dp_policy *policy, dp_request *request)
{
    or_enqueue(policy, request);
    _rq_set_give_up(policy, request);
    ld_update_queue_entry(policy, request->adapter);
    ld_start_due_loads(policy);
}

/* Whether there are servers that may come into use again: an owner changed,
   or they restart. */
static bool
_rq_servers_may_come(const dp_policy *policy)
{
    for (uint32_t i = 0; i < policy->servers.used_slots; i++) {
        const dp_server *server = sv_query_at(policy, i);
        if (server && server->state != LWD_SERVER_LEAVING) {
            return true;
        }
    }
    return false;
}

/* No server can take it now: looks again for a while, then refuses. One that
   was forwarded goes back to its entry at once. */
static void
_rq_no_server(dp_policy *policy, dp_request *request)
{
    uint64_t now_us = policy->now_us;
    request->no_server_since_us =
        request->no_server_since_us ? request->no_server_since_us : now_us;
    uint64_t patience_us = _RQ_PATIENCE_US;
    if (request->deadline_us) {
        uint64_t left_us =
            request->deadline_us -
            MIN(request->no_server_since_us, request->deadline_us);
        patience_us = MIN(patience_us, left_us / _RQ_PATIENCE_SHARE);
    }
    if (request->forwarded ||
        now_us >= request->no_server_since_us + patience_us ||
        !_rq_servers_may_come(policy)) {
        _rq_refuse(policy, request, ER_NO_SERVER, am_query_retry_ms(policy));
        return;
    }
    request->phase = DP_PHASE_DELAYED;
    ti_set(policy, &request->timer, DP_TIMER_REQUEST,
           now_us + _RQ_LOOK_AGAIN_US);
}

/* Sends it where it goes now; the request may end by this. */
static void
_rq_submit(dp_policy *policy, dp_request *request)
{
    ti_clear(policy, &request->timer);
    or_classify(policy, request);
    rt_route route = rt_query_route(policy, request);
    if (route.kind == RT_NONE) {
        _rq_no_server(policy, request);
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
    _rq_wait(policy, request);
}

/* -- commands: entry ------------------------------------------------------ */

static void
_rq_fill(dp_policy *policy, dp_request *request, const lwd_request_desc *desc)
{
    request->tag = desc->tag;
    request->entered_us = policy->now_us;
    request->deadline_us = desc->deadline_us;
    request->fingerprint = desc->fingerprint;
    request->prefix = desc->prefix;
    request->team = desc->team;
    request->operation = desc->operation % DP_OPERATIONS;
    request->prompt_tokens =
        desc->prompt_tokens ? desc->prompt_tokens : _RQ_PROMPT_TOKENS;
    request->max_tokens = desc->max_tokens ? desc->max_tokens : _RQ_MAX_TOKENS;
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
        er_set(&policy->status, ER_POOL_FULL, "no request left in the pool");
        return (lwd_request){0};
    }
    lwd_request made = {id};
    request->id = made;
    request->adapter = adapter;
    adapter->requests++;
    _rq_fill(policy, request, desc);
    pl_record_request(policy, adapter);
    am_enter(policy, request, desc->team_weight);
    if (ps_query_is_poison(policy, request->fingerprint)) {
        _rq_refuse(policy, request, ER_POISON, 0);
        return made;
    }
    _rq_submit(policy, request);
    return made;
}

/* -- commands: ends ------------------------------------------------------- */

void
rq_finish(dp_policy *policy, dp_attempt *attempt, uint32_t tokens)
{
    dp_request *request = attempt->request;
    dp_server *server = attempt->server;
    le_learn(policy, request, tokens);
    pc_learn_token_time(policy, policy->now_us - attempt->first_token_us,
                        tokens - MIN(tokens, attempt->tokens_at_first_token));
    am_note_success(policy);
    ps_note_success(policy, request);
    at_close(policy, attempt);
    _rq_end(policy, request);
    or_fill_slots(policy, server);
}

void
rq_caller_gone(dp_policy *policy, dp_request *request)
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
    am_note_success(policy);
    _rq_end(policy, request);
}

void
rq_refuse_pending(dp_policy *policy, dp_adapter *adapter, er_code reason)
{
    for (uint32_t class_ = 0; class_ < DP_CLASS_NUM; class_++) {
        hp_node *least = hp_query_least(&adapter->pending[class_]);
        while (least) {
            _rq_refuse(policy, HP_ITEM(least, dp_request, pending), reason,
                       am_query_retry_ms(policy));
            least = hp_query_least(&adapter->pending[class_]);
        }
    }
}

/* -- commands: other places ----------------------------------------------- */

/* A retry within the budget. One that goes on from tokens already made
   repeats no work and needs none. */
static bool
_rq_may_retry(dp_policy *policy, const dp_request *request)
{
    if (request->retries >= _RQ_RETRIES_MAX) {
        return false;
    }
    return request->resume_from > 0 || am_take_retry(policy);
}

/* Tries again after a short delay that grows, within bounds and budget. */
static void
_rq_retry(dp_policy *policy, dp_request *request)
{
    if (!_rq_may_retry(policy, request)) {
        _rq_refuse(policy, request, ER_SERVER_FAILED,
                   am_query_retry_ms(policy));
        return;
    }
    uint32_t doublings = MIN(2u * request->retries, _RQ_BACKOFF_DOUBLINGS);
    uint64_t most_us = (_RQ_BACKOFF_MS * DP_US_PER_MS) << doublings;
    request->retries++;
    request->phase = DP_PHASE_DELAYED;
    ti_set(policy, &request->timer, DP_TIMER_REQUEST,
           policy->now_us + most_us / 2 + rd_next(policy, most_us / 2));
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
        copy = cp_query_find(policy, server, request->adapter);
        if (copy && cp_query_resident(copy)) {
            cp_destroy(policy, copy);
        }
    }
    if (failure == LWD_FAILURE_FENCED) {
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
rq_paused(dp_policy *policy, dp_attempt *attempt)
{
    dp_request *request = attempt->request;
    dp_server *server = attempt->server;
    request->may_have_run = true;
    at_close(policy, attempt);
    if (!request->attempts[0] && !request->attempts[1]) {
        _rq_wait(policy, request);
    }
    or_fill_slots(policy, server);
}

void
rq_move(dp_policy *policy, dp_attempt *attempt)
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
rq_hand_back(dp_policy *policy, dp_attempt *attempt)
{
    dp_server *server = attempt->server;
    _rq_refuse(policy, attempt->request, ER_SERVER_FAILED, 0);
    or_fill_slots(policy, server);
}

void
rq_forward_on(dp_policy *policy, dp_attempt *attempt, dp_server *target)
{
    dp_request *request = attempt->request;
    dp_server *server = attempt->server;
    request->may_have_run = true;
    at_cancel(policy, attempt);
    _rq_forward(policy, request, target);
    or_fill_slots(policy, server);
}

/* True for what no other instance can change. */
static bool
_rq_is_final(er_code reason)
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
    if (_rq_is_final(event->reason)) {
        _rq_refuse(policy, request, event->reason, event->retry_after_ms);
        return;
    }
    if (request->forwards >= _RQ_FORWARDS_MAX) {
        _rq_refuse(policy, request, ER_SERVER_FAILED,
                   am_query_retry_ms(policy));
        return;
    }
    _rq_retry(policy, request);
}

/* A forwarded request finds its target gone: it is tried again. */
void
rq_on_target_gone(dp_policy *policy, dp_server *server)
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
rq_reroute_stranded(dp_policy *policy)
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
            _rq_withdraw(policy, request);
            _rq_submit(policy, request);
        }
    }
}

void
rq_on_timer(dp_policy *policy, dp_request *request)
{
    if (request->phase == DP_PHASE_DELAYED) {
        request->phase = DP_PHASE_DEFAULT;
        dp_server *faster =
            rs_query_faster_server(policy, request, request->target, INFINITY);
        if (faster) {
            _rq_forward(policy, request, faster);
            return;
        }
        _rq_submit(policy, request);
        return;
    }
    if (request->phase == DP_PHASE_PENDING) {
        _rq_refuse(policy, request, ER_DEADLINE, am_query_retry_ms(policy));
    }
}
