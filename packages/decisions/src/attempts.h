/*
 * attempts.h: runs of requests on own servers (prefix at_).
 *
 * A request has at most two attempts at a time: the second is a hedge. An
 * attempt is open until it ends by itself (at_close) or is cancelled
 * (at_cancel). A cancelled attempt no longer belongs to its request, but
 * keeps its copy in use until the engine can no longer be running it, so that
 * the adapter is not evicted under a running attempt.
 */
#ifndef LACEWING_DECISIONS_ATTEMPTS_H
#define LACEWING_DECISIONS_ATTEMPTS_H

#include "state.h"

/* commands */
/* Opens an attempt that resumes from request->resume_from. Returns NULL if
   the pool is full. */
dp_attempt *at_open(dp_policy *policy, dp_request *request, dp_copy *copy,
                    bool hedge);
/* Records a progress report; tokens counts from the first of the answer. */
void at_on_progress(dp_policy *policy, dp_attempt *attempt, uint32_t tokens);
/* Frees the slot and the attempt, which has ended by itself. Its id is stale
   from then on. */
void at_close(dp_policy *policy, dp_attempt *attempt);
/* Frees the slot and orders the engine to stop; the attempt itself stays
   until at_release. */
void at_cancel(dp_policy *policy, dp_attempt *attempt);
/* Frees an attempt that has given back its slot, and ends the use of its
   copy. */
void at_release(dp_policy *policy, dp_attempt *attempt);
/* Releases a cancelled attempt whose end was not reported in time. */
void at_on_timer(dp_policy *policy, dp_attempt *attempt);

/* queries */
/* Returns the request's other attempt, or NULL. */
dp_attempt *at_query_other_attempt(const dp_request *request,
                                   const dp_attempt *attempt);

#endif
