/*
 * requests.h: the life of requests (prefix rq_).
 *
 * A request is pending, running, forwarded or delayed before a retry, and
 * ends once: answered, left by its caller, or refused.
 */
#ifndef LACEWING_DECISIONS_REQUESTS_H
#define LACEWING_DECISIONS_REQUESTS_H

#include "state.h"

/* commands */
/* Takes in a request, which may end at once; id 0 when the pool is full. */
lwd_request rq_make(dp_policy *policy, dp_adapter *adapter,
                    const lwd_request_desc *desc);
/* The attempt answered it whole. */
void rq_finish(dp_policy *policy, dp_attempt *attempt, uint32_t tokens);
/* The attempt ended early. */
void rq_attempt_failed(dp_policy *policy, dp_attempt *attempt,
                       lwd_failure failure);
/* The attempt has paused; the request is pending again. */
void rq_paused(dp_policy *policy, dp_attempt *attempt);
/* Stops the attempt; the request goes on elsewhere from what it has. */
void rq_move(dp_policy *policy, dp_attempt *attempt);
/* Gives a forwarded request back to the instance it came from, which goes on
   elsewhere from the tokens made. */
void rq_hand_back(dp_policy *policy, dp_attempt *attempt);
/* Stops the attempt; the request goes on at a server of another instance. */
void rq_forward_on(dp_policy *policy, dp_attempt *attempt, dp_server *target);
void rq_caller_gone(dp_policy *policy, dp_request *request);
void rq_forward_finished(dp_policy *policy, dp_request *request,
                         uint32_t tokens);
void rq_forward_failed(dp_policy *policy, dp_request *request,
                       const lwd_event *event);
/* Refuses what is pending on an adapter. */
void rq_refuse_pending(dp_policy *policy, dp_adapter *adapter, er_code reason);
/* Finds new places for pending work that no own server can take now. */
void rq_reroute_stranded(dp_policy *policy);
/* A server of another instance is unknown from now on. */
void rq_on_target_gone(dp_policy *policy, dp_server *server);
void rq_on_timer(dp_policy *policy, dp_request *request);

#endif
