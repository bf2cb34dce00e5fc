/*
 * migration.h: moves long work off servers too slow for its deadline
 * (prefix mg_).
 *
 * Once part of a long answer is made, the server's pace tells whether an
 * answer of max_tokens would end before the deadline. If not, the attempt
 * moves, provided that few requests are pending and a home server of another
 * instance is faster. A request moves twice at most: a forwarded one returns
 * to its entry instance, which forwards it to another owner; one that entered
 * here is forwarded at once. The tokens made so far are kept.
 */
#ifndef LACEWING_DECISIONS_MIGRATION_H
#define LACEWING_DECISIONS_MIGRATION_H

#include "state.h"

/* commands */
/* Moves the first of the server's attempts that may miss its deadline. */
void mg_move_late_work(dp_policy *policy, dp_server *server);

/* queries */
/* Returns the home server with the shortest interval between tokens, among
   those with a free slot that belong neither to this instance nor to the owner
   of the server that long work leaves. NULL when no interval is below factor
   times that of the server left. */
dp_server *mg_query_faster_server(dp_policy *policy, const dp_request *request,
                                  const dp_server *left, double factor);

#endif
