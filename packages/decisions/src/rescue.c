#include "rescue.h"

#include "pace.h"
#include "placement.h"
#include "requests.h"
#include "servers.h"

#define _RS_SEEN_PART 8   /* of max_tokens, made here before it is judged */
#define _RS_STAYS_PART 4  /* of max_tokens: with so many it moves no more */
#define _RS_PREFILLS 1.15 /* times the pace, for prefills of others */
#define _RS_FASTER 0.7    /* of its interval at most, that makes a move pay */
#define _RS_CALM_PART 8   /* of the own slots: pending work in calm times */

/* Its answer, if it gets as long as it may, ends after its deadline here. */
static bool
_rs_may_be_late(const dp_policy *policy, const dp_attempt *attempt)
{
    const dp_request *request = attempt->request;
    if (!request || !attempt->long_work || request->rescued ||
        request->deadline_us == 0 || attempt->tokens >= request->max_tokens) {
        return false;
    }
    uint32_t made = attempt->tokens - request->entered_tokens;
    if (made < request->max_tokens / _RS_SEEN_PART ||
        request->entered_tokens >= request->max_tokens / _RS_STAYS_PART) {
        return false;
    }
    double rest = request->max_tokens - attempt->tokens;
    double interval_us = pc_query_interval_us(policy, attempt->server,
                                              attempt->server->running);
    return (double)policy->now_us + rest * interval_us * _RS_PREFILLS >
           (double)request->deadline_us;
}

static double
_rs_interval_us(const dp_policy *policy, const dp_server *server)
{
    if (!server->desc.owned && server->told.token_interval_us > 0) {
        return server->told.token_interval_us;
    }
    return pc_query_interval_us(policy, server, MAX(server->running, 1));
}

dp_server *
rs_query_faster(dp_policy *policy, const dp_request *request,
                const dp_server *left, double factor)
{
    if (!left || request->class_ != DP_CLASS_LONG ||
        request->resume_from == 0) {
        return NULL;
    }
    pl_refresh_homes(policy, request->adapter);
    dp_server *best = NULL;
    double best_us = _rs_interval_us(policy, left) * factor;
    for (uint32_t at = 0; at < request->adapter->home_count; at++) {
        dp_server *server =
            sv_query_by_index(policy, request->adapter->homes[at]);
        if (!server || server->desc.owned ||
            server->desc.owner == left->desc.owner ||
            server->state != LWD_SERVER_READY || server->told.ejected ||
            server->told.running + server->forwarded_since >=
                server->desc.slots) {
            continue;
        }
        double interval_us = _rs_interval_us(policy, server);
        if (interval_us < best_us) {
            best = server;
            best_us = interval_us;
        }
    }
    return best;
}

static void
_rs_move(dp_policy *policy, dp_attempt *attempt)
{
    dp_request *request = attempt->request;
    dp_server *faster =
        rs_query_faster(policy, request, attempt->server, _RS_FASTER);
    if (faster && request->forwarded) {
        rq_return_to_entry(policy, attempt);
    }
    else if (faster) {
        request->rescued = true;
        rq_cancel_and_forward(policy, attempt, faster);
    }
}

void
rs_check(dp_policy *policy, dp_server *server)
{
    if (policy->pending_count > policy->own_slots / _RS_CALM_PART ||
        !dp_part_on(policy, LWD_PART_ORDER)) {
        return;
    }
    const li_link *link = server->attempts.first;
    for (; link; link = link->next) {
        dp_attempt *attempt = LI_ITEM(link, dp_attempt, of_server);
        if (_rs_may_be_late(policy, attempt)) {
            _rs_move(policy, attempt);
            return;
        }
    }
}
