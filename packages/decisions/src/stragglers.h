/*
 * stragglers.h: servers that are temporarily slow (prefix sg_).
 *
 * They are found from the instance's own running work: progress that is
 * several times slower than the server's normal pace, or none at all. Such a
 * server is ejected, within a bound for each zone. Its running work moves to
 * other servers, where it resumes from the tokens that it has. One request at
 * a time probes the server until its pace is normal. An attempt that stays
 * without a first token although its server makes progress is hedged, within
 * a budget; the attempt that makes a token first is kept.
 */
#ifndef LACEWING_DECISIONS_STRAGGLERS_H
#define LACEWING_DECISIONS_STRAGGLERS_H

#include "state.h"

/* commands */
/* Sets the timer that notices missing progress, if attempts run and it is not
   set. */
void sg_schedule_check(dp_policy *policy, dp_server *server);
/* Ejects a server whose progress is overdue, hedges attempts without a first
   token, and starts a probe that is due. */
void sg_on_timer(dp_policy *policy, dp_server *server);
/* Ejects or readmits a server by its pace, after an observation of it. */
void sg_after_progress(dp_policy *policy, dp_server *server);
/* Learns the usual time between two reports of progress of one attempt. */
void sg_learn_report_gap(dp_policy *policy, uint64_t gap_us);

#endif
