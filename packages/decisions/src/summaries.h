/*
 * summaries.h: what owners tell their peers of servers (prefix sm_).
 *
 * An owner tells of each of its servers at a fixed period, and sooner when
 * residency changes. Changes that do not fit wait for the next summary; free
 * places are filled with adapters held, in turn, so that a lost summary is
 * made good.
 */
#ifndef LACEWING_DECISIONS_SUMMARIES_H
#define LACEWING_DECISIONS_SUMMARIES_H

#include "state.h"

/* commands */
/* Starts or ends the summaries of a server as it is owned or not. */
void sm_schedule(dp_policy *policy, dp_server *server);
/* Notes that an adapter came to or left an owned server. */
void sm_note_change(dp_policy *policy, dp_server *server,
                    const dp_adapter *adapter, bool resident);
/* The summary timer of a server has fired. */
void sm_on_timer(dp_policy *policy, dp_server *server);
/* Takes in a peer's summary. ER_STALE: older than one taken in before. */
er_code sm_receive(dp_policy *policy, dp_server *server,
                   const lwd_summary *summary);
/* Fills a summary that is being taken out and uses up its changes. */
void sm_fill(dp_policy *policy, lwd_server id, lwd_summary *summary);

#endif
