#include "actions.h"

#include "summaries.h"

/* Appends an action; returns NULL when the queue is full. */
static dp_action *
_ac_add(dp_policy *policy, lwd_action_type type)
{
    uint32_t capacity = policy->desc.action_capacity;
    if (policy->action_count == capacity) {
        er_set(&policy->status, ER_POOL_FULL,
               "action queue is full (%u actions)", capacity);
        return NULL;
    }
    uint32_t slot = (policy->action_first + policy->action_count) % capacity;
    policy->action_count++;
    policy->actions[slot] = (dp_action){.type = (uint8_t)type};
    return &policy->actions[slot];
}

static void
_ac_set_server(dp_action *action, const dp_server *server)
{
    action->server = server->id.id;
    action->server_tag = server->desc.tag;
    action->instance = server->desc.owner;
}

static void
_ac_set_adapter(dp_action *action, const dp_adapter *adapter)
{
    action->adapter = adapter->id.id;
    action->adapter_tag = adapter->desc.tag;
}

static void
_ac_set_request(dp_action *action, const dp_request *request)
{
    action->request = request->id.id;
    action->tag = request->tag;
    _ac_set_adapter(action, request->adapter);
}

void
ac_send(dp_policy *policy, const dp_attempt *attempt, uint32_t priority)
{
    dp_action *action = _ac_add(policy, LWD_ACTION_SEND);
    if (!action) {
        return;
    }
    _ac_set_request(action, attempt->request);
    _ac_set_server(action, attempt->server);
    action->attempt = attempt->id.id;
    action->priority = priority;
    action->resume_from = attempt->tokens;
    action->hedge = attempt->hedge;
}

static void
_ac_add_forward(dp_policy *policy, const dp_request *request,
                lwd_action_type type)
{
    dp_action *action = _ac_add(policy, type);
    if (!action) {
        return;
    }
    _ac_set_request(action, request);
    _ac_set_server(action, request->target);
    action->resume_from = request->resume_from;
}

void
ac_forward(dp_policy *policy, const dp_request *request)
{
    _ac_add_forward(policy, request, LWD_ACTION_FORWARD);
}

void
ac_cancel_forward(dp_policy *policy, const dp_request *request)
{
    _ac_add_forward(policy, request, LWD_ACTION_CANCEL_FORWARD);
}

void
ac_refuse(dp_policy *policy, const dp_request *request, er_code reason,
          uint32_t retry_after_ms, bool ran)
{
    dp_action *action = _ac_add(policy, LWD_ACTION_REFUSE);
    if (!action) {
        return;
    }
    _ac_set_request(action, request);
    action->reason = (uint16_t)reason;
    action->retry_after_ms = retry_after_ms;
    action->ran = ran;
}

void
ac_stop_attempt(dp_policy *policy, const dp_attempt *attempt,
                lwd_action_type type)
{
    dp_action *action = _ac_add(policy, type);
    if (!action) {
        return;
    }
    _ac_set_request(action, attempt->request);
    _ac_set_server(action, attempt->server);
    action->attempt = attempt->id.id;
}

void
ac_load_or_evict(dp_policy *policy, const dp_copy *copy, lwd_action_type type)
{
    dp_action *action = _ac_add(policy, type);
    if (!action) {
        return;
    }
    _ac_set_server(action, copy->server);
    _ac_set_adapter(action, copy->adapter);
}

void
ac_publish_summary(dp_policy *policy, const dp_server *server)
{
    dp_action *action = _ac_add(policy, LWD_ACTION_SUMMARY);
    if (action) {
        _ac_set_server(action, server);
    }
}

void
ac_publish_suspect(dp_policy *policy, uint64_t fingerprint, uint32_t deaths)
{
    dp_action *action = _ac_add(policy, LWD_ACTION_SUSPECT);
    if (action) {
        action->fingerprint = fingerprint;
        action->deaths = deaths;
    }
}

bool
ac_next(dp_policy *policy, lwd_action *action)
{
    if (policy->action_count == 0) {
        policy->action_first = 0;
        return false;
    }
    const dp_action *from = &policy->actions[policy->action_first];
    policy->action_first =
        (policy->action_first + 1) % policy->desc.action_capacity;
    policy->action_count--;
    *action = (lwd_action){
        .type = (lwd_action_type)from->type,
        .request = {from->request},
        .tag = from->tag,
        .attempt = {from->attempt},
        .server = {from->server},
        .adapter = {from->adapter},
        .server_tag = from->server_tag,
        .adapter_tag = from->adapter_tag,
        .instance = from->instance,
        .priority = from->priority,
        .resume_from = from->resume_from,
        .retry_after_ms = from->retry_after_ms,
        .deaths = from->deaths,
        .reason = (er_code)from->reason,
        .fingerprint = from->fingerprint,
        .ran = from->ran,
        .hedge = from->hedge,
    };
    if (action->type == LWD_ACTION_SUMMARY) {
        sm_fill(policy, action->server, &action->summary);
    }
    return true;
}

bool
ac_query_accepts_work(const dp_policy *policy)
{
    return policy->action_count < policy->desc.action_capacity / 2;
}
