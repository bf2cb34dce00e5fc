/*
 * stragglers.h: servers that are slow for moments (prefix sg_).
 *
 * Found from the instance's own running work: progress that comes several
 * times slower than the server's normal, or not at all. Such a server is
 * ejected, within a bound for each zone; its running work goes on elsewhere
 * from the tokens it has; one request at a time probes it until its pace is
 * normal. An attempt that stays without a first token while its server goes
 * on is hedged under a budget; whichever makes a token first stays.
 */
#ifndef LACEWING_DECISIONS_STRAGGLERS_H
#define LACEWING_DECISIONS_STRAGGLERS_H

#include "state.h"

/* commands */
/* Attempts came or went: sees that silence will be noticed. */
void sg_schedule(dp_policy *policy, dp_server *server);
/* Progress may be overdue, or a probe due. */
void sg_on_timer(dp_policy *policy, dp_server *server);
/* Progress of a server was taken in. */
void sg_after_progress(dp_policy *policy, dp_server *server);
/* Time between two reports of progress of one attempt. */
void sg_note_gap(dp_policy *policy, uint64_t gap_us);

#endif
