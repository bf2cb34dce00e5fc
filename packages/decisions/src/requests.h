/*
 * requests.h: life cycle of requests (prefix rq_).
 *
 * A request is pending, running on an own server, forwarded to another
 * instance, or delayed before a retry. It ends exactly once: it is answered,
 * its caller leaves, or it is refused. Ending it cancels its attempts and
 * frees its slot in the pool.
 */
#ifndef LACEWING_DECISIONS_REQUESTS_H
#define LACEWING_DECISIONS_REQUESTS_H

#include "state.h"

/* commands */
/* Admits and routes a new request, which may be refused within this call.
   Returns id 0 if the pool is full. */
lwd_request rq_make(dp_policy *policy, dp_adapter *adapter,
                    const lwd_request_desc *desc);
/* Ends the request: the attempt completed the answer. tokens: its length. */
void rq_finish(dp_policy *policy, dp_attempt *attempt, uint32_t tokens);
/* Handles an attempt that ended early: retries the request or refuses it,
   unless its other attempt still runs. */
void rq_attempt_failed(dp_policy *policy, dp_attempt *attempt,
                       lwd_failure failure);
/* Closes the paused attempt and makes the request pending again, unless its
   other attempt still runs. */
void rq_on_attempt_paused(dp_policy *policy, dp_attempt *attempt);
/* Cancels the attempt. Unless the other one still runs, routes the request
   again; it resumes from the tokens already made. */
void rq_cancel_and_reroute(dp_policy *policy, dp_attempt *attempt);
/* Refuses a forwarded request, so that the instance that forwarded it routes
   it again; it resumes from the tokens already made. */
void rq_return_to_entry(dp_policy *policy, dp_attempt *attempt);
/* Cancels the request's attempts and forwards it to the owner of target. */
void rq_cancel_and_forward(dp_policy *policy, dp_request *request,
                           dp_server *target);
void rq_on_caller_gone(dp_policy *policy, dp_request *request);
void rq_forward_finished(dp_policy *policy, dp_request *request,
                         uint32_t tokens);
/* Handles a forwarded request that came back: retries it, or refuses it if
   another instance would refuse it for the same reason. */
void rq_forward_failed(dp_policy *policy, dp_request *request,
                       const lwd_event *event);
/* Refuses all pending requests of an adapter. */
void rq_refuse_pending(dp_policy *policy, dp_adapter *adapter, er_code reason);
/* Routes all pending requests again if no own server is usable. */
void rq_reroute_pending(dp_policy *policy);
/* Cancels all forwards to a server that is being removed and routes their
   requests again. */
void rq_on_server_removed(dp_policy *policy, dp_server *server);
/* Ends the delay of a delayed request; refuses a pending one, whose latest
   start has passed. */
void rq_on_timer(dp_policy *policy, dp_request *request);

#endif
