#include "migration.h"

#include "pace.h"
#include "placement.h"
#include "requests.h"
#include "servers.h"

/* Tokens made, as divisors of max_tokens. */
#define _MG_JUDGED_DIVISOR 8  /* made here before an attempt is judged */
#define _MG_MOVABLE_DIVISOR 4 /* made before entry: the attempt stays */

/* Lengthens the interval, to allow for prefills of other requests. */
#define _MG_PREFILL_FACTOR 1.15
#define _MG_FASTER_FACTOR 0.7 /* of the interval; more isn't worth a move */
/* Work moves only while the pending requests are at most the own slots divided
   by this. */
#define _MG_PENDING_DIVISOR 8

/* Returns whether the attempt may move and its answer would end after the
   deadline here if it reached max_tokens. */
static bool
_mg_may_be_late(const dp_policy *policy, const dp_attempt *attempt)
{
    const dp_request *request = attempt->request;
    if (!request || !attempt->is_long || request->left_slow_server ||
        request->deadline_us == 0 || attempt->tokens >= request->max_tokens) {
        return false;
    }
    uint32_t made = attempt->tokens - request->tokens_at_entry;
    if (made < request->max_tokens / _MG_JUDGED_DIVISOR ||
        request->tokens_at_entry >=
            request->max_tokens / _MG_MOVABLE_DIVISOR) {
        return false;
    }
    double remaining = request->max_tokens - attempt->tokens;
    double interval_us = pc_query_interval_us(policy, attempt->server,
                                              attempt->server->running);
    return (double)policy->now_us +
               remaining * interval_us * _MG_PREFILL_FACTOR >
           (double)request->deadline_us;
}

/* Returns the present interval between tokens: for a server of another
   instance the one in its summary, else the expected one. */
static double
_mg_interval_us(const dp_policy *policy, const dp_server *server)
{
    if (!server->desc.owned && server->last_summary.token_interval_us > 0) {
        return server->last_summary.token_interval_us;
    }
    return pc_query_interval_us(policy, server, MAX(server->running, 1));
}

dp_server *
mg_query_faster_server(dp_policy *policy, const dp_request *request,
                       const dp_server *left, double factor)
{
    if (!left || request->class_ != DP_CLASS_LONG ||
        request->resume_from == 0) {
        return NULL;
    }
    pl_refresh_homes(policy, request->adapter);
    dp_server *best = NULL;
    double best_us = _mg_interval_us(policy, left) * factor;
    for (uint32_t at = 0; at < request->adapter->home_count; at++) {
        dp_server *server =
            sv_query_by_index(policy, request->adapter->homes[at]);
        if (!server || server->desc.owned ||
            server->desc.owner == left->desc.owner ||
            server->state != LWD_SERVER_READY ||
            server->last_summary.ejected ||
            server->last_summary.running + server->forwarded_since >=
                server->desc.slots) {
            continue;
        }
        double interval_us = _mg_interval_us(policy, server);
        if (interval_us < best_us) {
            best = server;
            best_us = interval_us;
        }
    }
    return best;
}

/* Moves the attempt if another instance has a faster server. */
static void
_mg_move_attempt(dp_policy *policy, dp_attempt *attempt)
{
    dp_request *request = attempt->request;
    dp_server *faster = mg_query_faster_server(
        policy, request, attempt->server, _MG_FASTER_FACTOR);
    if (faster && request->forwarded) {
        rq_return_to_entry(policy, attempt);
    }
    else if (faster) {
        request->left_slow_server = true;
        rq_cancel_and_forward(policy, request, faster);
    }
}

void
mg_move_late_work(dp_policy *policy, dp_server *server)
{
    if (policy->pending_count > policy->own_slots / _MG_PENDING_DIVISOR ||
        !dp_feature_enabled(policy, LWD_FEATURE_ORDER)) {
        return;
    }
    const li_link *link = server->attempts.first;
    for (; link; link = link->next) {
        dp_attempt *attempt = LI_ITEM(link, dp_attempt, server_link);
        if (_mg_may_be_late(policy, attempt)) {
            _mg_move_attempt(policy, attempt);
            return;
        }
    }
}
