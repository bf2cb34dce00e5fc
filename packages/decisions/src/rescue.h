/*
 * rescue.h: long work on a server too slow for its deadline (prefix rs_).
 *
 * Once a part of a long answer is made, its server's pace says whether it
 * would end in time even if it got as long as it may. If not, and in calm
 * times, it moves once: a forwarded one goes back to its entry, an entry's
 * own goes on to a faster server of another instance. What is made is kept.
 */
#ifndef LACEWING_DECISIONS_RESCUE_H
#define LACEWING_DECISIONS_RESCUE_H

#include "state.h"

/* commands */
/* Moves at most one of the server's attempts. */
void rs_check(dp_policy *policy, dp_server *server);

/* queries */
/* The fastest home of another instance for long work that has begun; NULL
   when none is clearly faster than the server it leaves. */
dp_server *rs_query_faster(dp_policy *policy, const dp_request *request,
                           const dp_server *left);

#endif
