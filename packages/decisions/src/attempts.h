/*
 * attempts.h: one run of a request on an own server (prefix at_).
 *
 * A cancelled attempt keeps its copy in use until the engine can no longer
 * run it, so that no adapter is evicted under it.
 */
#ifndef LACEWING_DECISIONS_ATTEMPTS_H
#define LACEWING_DECISIONS_ATTEMPTS_H

#include "state.h"

/* commands */
/* A new attempt that goes on from request->resume_from; NULL when the pool is
   full. */
dp_attempt *at_open(dp_policy *policy, dp_request *request, dp_copy *copy,
                    bool hedge);
/* Takes in progress. */
void at_progress(dp_policy *policy, dp_attempt *attempt, uint32_t tokens);
/* It ended by itself; its id is stale from now on. */
void at_close(dp_policy *policy, dp_attempt *attempt);
/* Orders it to stop. */
void at_cancel(dp_policy *policy, dp_attempt *attempt);
/* A cancelled attempt is over. */
void at_forget(dp_policy *policy, dp_attempt *attempt);
void at_on_timer(dp_policy *policy, dp_attempt *attempt);

/* queries */
dp_attempt *at_query_other(const dp_request *request,
                           const dp_attempt *attempt);

#endif
