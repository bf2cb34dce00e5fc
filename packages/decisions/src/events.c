#include "events.h"

#include "attempts.h"
#include "copies.h"
#include "loads.h"
#include "poison.h"
#include "requests.h"
#include "routing.h"
#include "servers.h"
#include "stragglers.h"
#include "summaries.h"

/* -- private: ids --------------------------------------------------------- */

/* Returns the item of an id. Returns NULL and sets ER_STALE or ER_INVALID_ID
   when there is none. */
static void *
_ev_find(dp_policy *policy, const po_pool *pool, uint64_t id, const char *kind)
{
    void *item = po_query_item(pool, id);
    if (!item) {
        bool stale = po_query_stale(pool, id);
        er_set(&policy->status, stale ? ER_STALE : ER_INVALID_ID,
               "no %s has id %" G_GUINT64_FORMAT, kind, id);
    }
    return item;
}

static dp_server *
_ev_find_server(dp_policy *policy, const lwd_event *event)
{
    return _ev_find(policy, &policy->servers, event->server.id, "server");
}

static dp_adapter *
_ev_find_adapter(dp_policy *policy, const lwd_event *event)
{
    dp_adapter *adapter =
        _ev_find(policy, &policy->adapters, event->adapter.id, "adapter");
    return adapter;
}

/* -- private: attempts ---------------------------------------------------- */

/* Handles an event of a cancelled attempt. Its answer is discarded; once it
   has ended, its adapter may be evicted. */
static er_code
_ev_on_cancelled(dp_policy *policy, dp_attempt *attempt, lwd_event_type type)
{
    if (type == LWD_EVENT_FINISHED || type == LWD_EVENT_FAILED ||
        type == LWD_EVENT_PAUSED) {
        at_release(policy, attempt);
    }
    return er_set(&policy->status, ER_STALE, "attempt was cancelled");
}

static void
_ev_on_first_token(dp_policy *policy, dp_attempt *attempt, uint32_t tokens)
{
    dp_attempt *other = at_query_other_attempt(attempt->request, attempt);
    dp_server *server = attempt->server;
    at_on_progress(policy, attempt, MAX(attempt->tokens + 1, tokens));
    if (other) {
        at_cancel(policy, other);
    }
    sg_after_progress(policy, server);
}

static er_code
_ev_on_attempt(dp_policy *policy, const lwd_event *event)
{
    dp_attempt *attempt =
        _ev_find(policy, &policy->attempts, event->attempt.id, "attempt");
    if (!attempt) {
        return policy->status.code;
    }
    if (!attempt->request) {
        return _ev_on_cancelled(policy, attempt, event->type);
    }
    dp_server *server = attempt->server;
    switch (event->type) {
    case LWD_EVENT_FIRST_TOKEN:
        if (!attempt->first_token) {
            _ev_on_first_token(policy, attempt, event->tokens);
        }
        break;
    case LWD_EVENT_PROGRESS:
        at_on_progress(policy, attempt, event->tokens);
        sg_after_progress(policy, server);
        break;
    case LWD_EVENT_FINISHED:
        at_on_progress(policy, attempt, event->tokens);
        rq_finish(policy, attempt, event->tokens);
        break;
    case LWD_EVENT_FAILED:
        at_on_progress(policy, attempt, event->tokens);
        rq_attempt_failed(policy, attempt, event->failure);
        break;
    default:
        at_on_progress(policy, attempt, event->tokens);
        rq_on_attempt_paused(policy, attempt);
        break;
    }
    return ER_OK;
}

/* -- private: requests ---------------------------------------------------- */

static er_code
_ev_on_request(dp_policy *policy, const lwd_event *event)
{
    dp_request *request =
        _ev_find(policy, &policy->requests, event->request.id, "request");
    if (!request) {
        return policy->status.code;
    }
    if (event->type == LWD_EVENT_CALLER_GONE) {
        rq_on_caller_gone(policy, request);
        return ER_OK;
    }
    if (request->phase != DP_PHASE_FORWARDED) {
        return er_set(&policy->status, ER_STALE, "request is not forwarded");
    }
    if (event->type == LWD_EVENT_FORWARD_FINISHED) {
        rq_forward_finished(policy, request, event->tokens);
    }
    else {
        rq_forward_failed(policy, request, event);
    }
    return ER_OK;
}

/* -- private: servers ----------------------------------------------------- */

static er_code
_ev_on_copy(dp_policy *policy, const lwd_event *event)
{
    dp_server *server = _ev_find_server(policy, event);
    dp_adapter *adapter = server ? _ev_find_adapter(policy, event) : NULL;
    if (!server || !adapter) {
        return policy->status.code;
    }
    if (!server->desc.owned) {
        return er_set(&policy->status, ER_STALE,
                      "server is not owned by this instance");
    }
    switch (event->type) {
    case LWD_EVENT_RESIDENT:
        return cp_on_residency_report(policy, server, adapter,
                                      event->resident);
    case LWD_EVENT_LOAD_DONE:
        return ld_on_done(policy, server, adapter);
    case LWD_EVENT_LOAD_FAILED:
        return ld_on_failed(policy, server, adapter);
    default:
        return cp_on_evicted(policy, server, adapter);
    }
}

static er_code
_ev_on_server(dp_policy *policy, const lwd_event *event)
{
    dp_server *server = _ev_find_server(policy, event);
    if (!server) {
        return policy->status.code;
    }
    switch (event->type) {
    case LWD_EVENT_SERVER_STATE:
        if (event->server_state >= LWD_SERVER_STATE_NUM) {
            return er_set(&policy->status, ER_BAD_REQUEST,
                          "server_state of the event is invalid");
        }
        sv_set_state(policy, server,
                     event->server_state ? event->server_state
                                         : LWD_SERVER_READY);
        return ER_OK;
    case LWD_EVENT_OWNER:
        sv_set_owner(policy, server, event->owner, event->owned,
                     event->handover_until_us);
        return ER_OK;
    case LWD_EVENT_CACHE:
        rt_on_prefix_cache(policy, server, event->prefix, event->resident);
        return ER_OK;
    case LWD_EVENT_SUMMARY:
        if (!event->summary) {
            return er_set(&policy->status, ER_BAD_REQUEST,
                          "summary event carries no summary");
        }
        return sm_receive(policy, server, event->summary);
    default:
        return ER_OK; /* load report: the policy's own count is newer */
    }
}

/* -- dispatch table ------------------------------------------------------- */

typedef er_code (*_ev_handler)(dp_policy *policy, const lwd_event *event);

static er_code
_ev_on_tick(dp_policy *policy, const lwd_event *event)
{
    (void)policy;
    (void)event;
    return ER_OK; /* the caller sets the time and fires timers */
}

static er_code
_ev_on_weight_share(dp_policy *policy, const lwd_event *event)
{
    ld_set_share(policy, event->loads_per_s_milli, event->loads_in_transit);
    return ER_OK;
}

static er_code
_ev_on_suspect(dp_policy *policy, const lwd_event *event)
{
    ps_on_peer_report(policy, event->fingerprint, event->deaths);
    return ER_OK;
}

static const _ev_handler _ev_handlers[LWD_EVENT_NUM] = {
    [LWD_EVENT_TICK] = _ev_on_tick,
    [LWD_EVENT_CALLER_GONE] = _ev_on_request,
    [LWD_EVENT_FIRST_TOKEN] = _ev_on_attempt,
    [LWD_EVENT_PROGRESS] = _ev_on_attempt,
    [LWD_EVENT_FINISHED] = _ev_on_attempt,
    [LWD_EVENT_FAILED] = _ev_on_attempt,
    [LWD_EVENT_PAUSED] = _ev_on_attempt,
    [LWD_EVENT_FORWARD_FINISHED] = _ev_on_request,
    [LWD_EVENT_FORWARD_FAILED] = _ev_on_request,
    [LWD_EVENT_SERVER_STATE] = _ev_on_server,
    [LWD_EVENT_OWNER] = _ev_on_server,
    [LWD_EVENT_RESIDENT] = _ev_on_copy,
    [LWD_EVENT_LOAD_DONE] = _ev_on_copy,
    [LWD_EVENT_LOAD_FAILED] = _ev_on_copy,
    [LWD_EVENT_EVICT_DONE] = _ev_on_copy,
    [LWD_EVENT_LOAD_REPORT] = _ev_on_server,
    [LWD_EVENT_CACHE] = _ev_on_server,
    [LWD_EVENT_SUMMARY] = _ev_on_server,
    [LWD_EVENT_WEIGHT_SHARE] = _ev_on_weight_share,
    [LWD_EVENT_SUSPECT] = _ev_on_suspect,
};

er_code
ev_feed(dp_policy *policy, const lwd_event *event)
{
    bool known = (uint32_t)event->type < LWD_EVENT_NUM &&
                 _ev_handlers[event->type] != NULL;
    if (!known) {
        return er_set(&policy->status, ER_BAD_REQUEST, "unknown event type %d",
                      (int)event->type);
    }
    return _ev_handlers[event->type](policy, event);
}
