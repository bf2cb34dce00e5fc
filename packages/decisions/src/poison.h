/*
 * poison.h: requests that crash backend servers (prefix ps_).
 *
 * Content that was running when a server died is suspect. It is known by its
 * fingerprint, so it stays suspect when it returns in another request, and the
 * peers are told of it. Suspects run one to a server, so that the next death
 * has a single possible cause. Content with poison_deaths deaths is poison
 * and is refused; a complete answer clears a suspect. The table is bounded:
 * a new entry may replace the one with the fewest deaths.
 */
#ifndef LACEWING_DECISIONS_POISON_H
#define LACEWING_DECISIONS_POISON_H

#include "state.h"

/* commands */
/* Counts a death of a server that was running the request; tells the peers. */
void ps_note_death(dp_policy *policy, const dp_request *request);
/* Counts a death that a peer reported; deaths: all that the peer counted, this
   one included. */
void ps_on_peer_report(dp_policy *policy, uint64_t fingerprint,
                       uint32_t deaths);
/* Clears a suspect after a complete answer; poison stays. */
void ps_note_success(dp_policy *policy, const dp_request *request);

/* queries; a fingerprint of 0 is never suspect or poison */
bool ps_query_suspect(const dp_policy *policy, uint64_t fingerprint);
bool ps_query_is_poison(const dp_policy *policy, uint64_t fingerprint);

#endif
