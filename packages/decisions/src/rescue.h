/*
 * rescue.h: long work on a server too slow for its deadline (prefix rs_).
 *
 * Once a part of a long answer is made, its server's pace says whether it
 * would end in time even if it got as long as it may. If not, in calm times
 * and when another instance has a faster server, it moves, twice at most: a
 * forwarded one goes back to its entry, which sends it on; an entry's own is
 * sent on at once. What is made is kept.
 */
#ifndef LACEWING_DECISIONS_RESCUE_H
#define LACEWING_DECISIONS_RESCUE_H

#include "state.h"

/* commands */
/* Moves at most one of the server's attempts. */
void rs_check(dp_policy *policy, dp_server *server);

/* queries */
/* The fastest home of another instance than the owner of the server that
   long work leaves; NULL when none has less than factor times its time
   between tokens. */
dp_server *rs_query_faster(dp_policy *policy, const dp_request *request,
                           const dp_server *left, double factor);

#endif
