#include "order.h"

#include "actions.h"
#include "attempts.h"
#include "copies.h"
#include "lengths.h"
#include "poison.h"
#include "servers.h"

#define _OR_WORK_WEIGHT 4     /* of the expected time of work against age */
#define _OR_SLACK_PCT 200     /* of the expected work, left to the deadline */
#define _OR_LONG_SLOTS_PCT 50 /* of a server's slots */
#define _OR_PRIORITY_STEP_MS 100 /* of the key, for one step of priority */

uint64_t
or_query_key(const dp_policy *policy, const dp_request *request)
{
    if (!dp_feature_enabled(policy, LWD_FEATURE_ORDER)) {
        return request->entered_us;
    }
    uint64_t remaining = le_query_remaining(request, request->resume_from);
    uint64_t work_us = remaining * (uint64_t)policy->mean_token_us;
    uint64_t key = request->entered_us + work_us * _OR_WORK_WEIGHT;
    uint64_t slack_us = work_us * _OR_SLACK_PCT / 100;
    if (request->class_ == DP_CLASS_LONG) {
        /* The answer may reach max_tokens, so time for that is kept. */
        uint64_t max_remaining =
            request->max_tokens -
            MIN(request->resume_from, request->max_tokens);
        slack_us =
            MAX(slack_us, max_remaining * (uint64_t)policy->mean_token_us);
    }
    if (request->deadline_us > request->entered_us + slack_us) {
        key = MIN(key, request->deadline_us - slack_us);
    }
    return key;
}

static dp_class
_or_class(const dp_policy *policy, const dp_request *request)
{
    if (ps_query_suspect(policy, request->fingerprint)) {
        return DP_CLASS_SUSPECT;
    }
    if (dp_feature_enabled(policy, LWD_FEATURE_ORDER) &&
        le_query_is_long(policy, request)) {
        return DP_CLASS_LONG;
    }
    return DP_CLASS_SHORT;
}

void
or_classify(const dp_policy *policy, dp_request *request)
{
    request->class_ = (uint8_t)_or_class(policy, request);
}

void
or_enqueue(dp_policy *policy, dp_request *request)
{
    dp_adapter *adapter = request->adapter;
    or_classify(policy, request);
    request->phase = DP_PHASE_PENDING;
    request->pending_tokens = le_query_backlog_tokens(policy, request);
    hp_push(&adapter->pending[request->class_], &request->pending,
            or_query_key(policy, request));
    adapter->pending_tokens += request->pending_tokens;
    policy->pending_tokens += request->pending_tokens;
    policy->pending_count++;
    adapter->pending_count++;
    if (adapter->pending_count == 1) {
        cp_refresh_active(adapter);
    }
}

void
or_dequeue(dp_policy *policy, dp_request *request)
{
    dp_adapter *adapter = request->adapter;
    hp_remove(&adapter->pending[request->class_], &request->pending);
    adapter->pending_tokens -= request->pending_tokens;
    policy->pending_tokens -= request->pending_tokens;
    policy->pending_count--;
    adapter->pending_count--;
    if (adapter->pending_count == 0) {
        hp_remove(&policy->load_queue, &adapter->load_node);
        cp_refresh_active(adapter);
    }
}

bool
or_query_admits(const dp_policy *policy, const dp_server *server,
                dp_class class_)
{
    if (class_ == DP_CLASS_LONG) {
        uint32_t bound = server->desc.slots * _OR_LONG_SLOTS_PCT / 100;
        return server->long_running < MAX(bound, 1) ||
               policy->pending_count == 0;
    }
    if (class_ == DP_CLASS_SUSPECT) {
        return server->suspects_running == 0;
    }
    return true;
}

bool
or_send(dp_policy *policy, dp_request *request, dp_copy *copy, bool hedge)
{
    if (!ac_query_accepts_work(policy)) {
        return false;
    }
    dp_attempt *attempt = at_open(policy, request, copy, hedge);
    if (!attempt) {
        return false;
    }
    uint64_t key = or_query_key(policy, request);
    uint64_t delay_us =
        key > request->entered_us ? key - request->entered_us : 0;
    ac_send(policy, attempt,
            (uint32_t)(delay_us / (_OR_PRIORITY_STEP_MS * DP_US_PER_MS)));
    return true;
}

/* Returns the pending request with the least key that the server may take, and
   its copy; NULL when there is none. */
static dp_request *
_or_best(const dp_policy *policy, const dp_server *server, dp_copy **copy)
{
    hp_node *best = NULL;
    const li_link *link = server->active_copies.first;
    for (; link; link = link->next) {
        dp_copy *candidate = LI_ITEM(link, dp_copy, active_link);
        if (!cp_query_resident(candidate)) {
            continue;
        }
        for (uint32_t class_ = 0; class_ < DP_CLASS_NUM; class_++) {
            hp_node *least =
                hp_query_least(&candidate->adapter->pending[class_]);
            if (!least || (best && least->key >= best->key) ||
                !or_query_admits(policy, server, class_)) {
                continue;
            }
            best = least;
            *copy = candidate;
        }
    }
    return HP_ITEM(best, dp_request, pending);
}

const dp_request *
or_query_best(const dp_policy *policy, const dp_server *server)
{
    dp_copy *copy = NULL;
    return _or_best(policy, server, &copy);
}

void
or_fill_slots(dp_policy *policy, dp_server *server)
{
    while (sv_query_can_start_attempt(policy, server) &&
           ac_query_accepts_work(policy)) {
        dp_copy *copy = NULL;
        dp_request *request = _or_best(policy, server, &copy);
        if (!request) {
            return;
        }
        or_dequeue(policy, request);
        if (!or_send(policy, request, copy, false)) {
            or_enqueue(policy, request);
            return;
        }
    }
}
