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

static void *
_ev_item(dp_policy *policy, const po_pool *pool, uint64_t id, const char *kind)
{
    void *item = po_query_item(pool, id);
    if (!item) {
        bool stale = po_query_stale(pool, id);
        er_set(&policy->status, stale ? ER_STALE : ER_INVALID_ID,
               "no %s %" G_GUINT64_FORMAT, kind, id);
    }
    return item;
}

static dp_server *
_ev_server(dp_policy *policy, const lwd_event *event)
{
    return _ev_item(policy, &policy->servers, event->server.id, "server");
}

static dp_adapter *
_ev_adapter(dp_policy *policy, const lwd_event *event)
{
    dp_adapter *adapter =
        _ev_item(policy, &policy->adapters, event->adapter.id, "adapter");
    return adapter;
}

/* -- private: attempts ---------------------------------------------------- */

/* A cancelled attempt tells that it is over: it answers nothing any more, but
   its adapter is free to go. */
static er_code
_ev_closing(dp_policy *policy, dp_attempt *attempt, lwd_event_type type)
{
    if (type == LWD_EVENT_FINISHED || type == LWD_EVENT_FAILED ||
        type == LWD_EVENT_PAUSED) {
        at_release(policy, attempt);
    }
    return er_set(&policy->status, ER_STALE, "attempt was cancelled");
}

static void
_ev_first_token(dp_policy *policy, dp_attempt *attempt)
{
    dp_attempt *other = at_query_other_attempt(attempt->request, attempt);
    dp_server *server = attempt->server;
    at_on_progress(policy, attempt, attempt->tokens + 1);
    if (other) {
        at_cancel(policy, other);
    }
    sg_after_progress(policy, server);
}

static er_code
_ev_attempt(dp_policy *policy, const lwd_event *event)
{
    dp_attempt *attempt =
        _ev_item(policy, &policy->attempts, event->attempt.id, "attempt");
    if (!attempt) {
        return policy->status.code;
    }
    if (!attempt->request) {
        return _ev_closing(policy, attempt, event->type);
    }
    dp_server *server = attempt->server;
    switch (event->type) {
    case LWD_EVENT_FIRST_TOKEN:
        if (!attempt->first_token) {
            _ev_first_token(policy, attempt);
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
_ev_request(dp_policy *policy, const lwd_event *event)
{
    dp_request *request =
        _ev_item(policy, &policy->requests, event->request.id, "request");
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
_ev_copy(dp_policy *policy, const lwd_event *event)
{
    dp_server *server = _ev_server(policy, event);
    dp_adapter *adapter = server ? _ev_adapter(policy, event) : NULL;
    if (!server || !adapter) {
        return policy->status.code;
    }
    if (!server->desc.owned) {
        return er_set(&policy->status, ER_STALE, "server is not owned");
    }
    switch (event->type) {
    case LWD_EVENT_RESIDENT:
        return cp_on_listed(policy, server, adapter, event->resident);
    case LWD_EVENT_LOAD_DONE:
        return ld_on_done(policy, server, adapter);
    case LWD_EVENT_LOAD_FAILED:
        return ld_on_failed(policy, server, adapter);
    default:
        return cp_on_evicted(policy, server, adapter);
    }
}

static er_code
_ev_server_event(dp_policy *policy, const lwd_event *event)
{
    dp_server *server = _ev_server(policy, event);
    if (!server) {
        return policy->status.code;
    }
    switch (event->type) {
    case LWD_EVENT_SERVER_STATE:
        if (event->server_state >= LWD_SERVER_STATE_NUM) {
            return er_set(&policy->status, ER_BAD_REQUEST, "server state");
        }
        sv_set_state(policy, server,
                     event->server_state ? event->server_state
                                         : LWD_SERVER_READY);
        return ER_OK;
    case LWD_EVENT_OWNER:
        sv_set_owner(policy, server, event->owner, event->owned,
                     event->settle_us);
        return ER_OK;
    case LWD_EVENT_CACHE:
        rt_on_cache(policy, server, event->prefix, event->resident);
        return ER_OK;
    case LWD_EVENT_SUMMARY:
        if (!event->summary) {
            return er_set(&policy->status, ER_BAD_REQUEST, "no summary");
        }
        return sm_receive(policy, server, event->summary);
    default:
        return ER_OK; /* a load report: its own count is newer */
    }
}

/* -- the table of events -------------------------------------------------- */

typedef er_code (*_ev_call)(dp_policy *policy, const lwd_event *event);

static er_code
_ev_tick(dp_policy *policy, const lwd_event *event)
{
    (void)policy;
    (void)event;
    return ER_OK; /* the time was taken already */
}

static er_code
_ev_weight_share(dp_policy *policy, const lwd_event *event)
{
    ld_set_share(policy, event->loads_per_s_milli, event->loads_in_transit);
    return ER_OK;
}

static er_code
_ev_suspect(dp_policy *policy, const lwd_event *event)
{
    ps_on_peer(policy, event->fingerprint, event->deaths);
    return ER_OK;
}

static const _ev_call _ev_calls[LWD_EVENT_NUM] = {
    [LWD_EVENT_TICK] = _ev_tick,
    [LWD_EVENT_CALLER_GONE] = _ev_request,
    [LWD_EVENT_FIRST_TOKEN] = _ev_attempt,
    [LWD_EVENT_PROGRESS] = _ev_attempt,
    [LWD_EVENT_FINISHED] = _ev_attempt,
    [LWD_EVENT_FAILED] = _ev_attempt,
    [LWD_EVENT_PAUSED] = _ev_attempt,
    [LWD_EVENT_FORWARD_FINISHED] = _ev_request,
    [LWD_EVENT_FORWARD_FAILED] = _ev_request,
    [LWD_EVENT_SERVER_STATE] = _ev_server_event,
    [LWD_EVENT_OWNER] = _ev_server_event,
    [LWD_EVENT_RESIDENT] = _ev_copy,
    [LWD_EVENT_LOAD_DONE] = _ev_copy,
    [LWD_EVENT_LOAD_FAILED] = _ev_copy,
    [LWD_EVENT_EVICT_DONE] = _ev_copy,
    [LWD_EVENT_LOAD_REPORT] = _ev_server_event,
    [LWD_EVENT_CACHE] = _ev_server_event,
    [LWD_EVENT_SUMMARY] = _ev_server_event,
    [LWD_EVENT_WEIGHT_SHARE] = _ev_weight_share,
    [LWD_EVENT_SUSPECT] = _ev_suspect,
};

er_code
ev_feed(dp_policy *policy, const lwd_event *event)
{
    bool known = (uint32_t)event->type < LWD_EVENT_NUM &&
                 _ev_calls[event->type] != NULL;
    if (!known) {
        return er_set(&policy->status, ER_BAD_REQUEST, "event type %d",
                      (int)event->type);
    }
    return _ev_calls[event->type](policy, event);
}
