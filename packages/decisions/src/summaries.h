/*
 * summaries.h: the state of servers that owners gossip to peers (prefix sm_).
 *
 * An owner sends a summary of each of its servers at a fixed period, and
 * sooner when residency changes. Changes that do not fit wait for the next
 * summary. Free entries repeat adapters that the server holds, in rotation,
 * so that peers recover from a lost summary.
 */
#ifndef LACEWING_DECISIONS_SUMMARIES_H
#define LACEWING_DECISIONS_SUMMARIES_H

#include "state.h"

/* commands */
/* Starts the periodic summaries of an owned server; stops those of a server
   that is not owned. */
void sm_schedule(dp_policy *policy, dp_server *server);
/* Records that an adapter came to an owned server or left it, and brings the
   next summary forward. */
void sm_note_change(dp_policy *policy, dp_server *server,
                    const dp_adapter *adapter, bool resident);
/* Queues the summary of a server and sets the timer for the next. */
void sm_on_timer(dp_policy *policy, dp_server *server);
/* Applies a peer's summary. ER_STALE: not newer than the last one, or of an
   own server. */
er_code sm_receive(dp_policy *policy, dp_server *server,
                   const lwd_summary *summary);
/* Fills a summary when its action is taken out; the changes in it are removed
   from the server's queue. */
void sm_fill(dp_policy *policy, lwd_server id, lwd_summary *summary);

#endif
