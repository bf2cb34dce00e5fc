/*
 * poison.h: requests that crash backend servers (prefix ps_).
 *
 * Content that was running when a server died is suspect, under whatever
 * request it comes back; this is told to the peers. Suspects run one to a
 * server, so that the next death names its cause. Enough deaths convict;
 * a whole answer clears.
 */
#ifndef LACEWING_DECISIONS_POISON_H
#define LACEWING_DECISIONS_POISON_H

#include "state.h"

/* commands */
/* A server died with the request running; the peers are told. */
void ps_note_death(dp_policy *policy, const dp_request *request);
/* A peer saw so many deaths with the content in all. */
void ps_on_peer(dp_policy *policy, uint64_t fingerprint, uint32_t deaths);
void ps_note_success(dp_policy *policy, const dp_request *request);

/* queries; a fingerprint of 0 is never suspect */
bool ps_query_suspect(const dp_policy *policy, uint64_t fingerprint);
bool ps_query_convicted(const dp_policy *policy, uint64_t fingerprint);

#endif
