/*
 * lengths.h: expected lengths of answers (prefix le_).
 *
 * Mean lengths are learned per operation and adapter, and per operation alone;
 * the latter is used until enough answers of the adapter were seen. With
 * neither, half of max_tokens is expected. Expectations are bounded by the
 * request's max_tokens. A median over all answers tells long work from short.
 */
#ifndef LACEWING_DECISIONS_LENGTHS_H
#define LACEWING_DECISIONS_LENGTHS_H

#include "state.h"

/* Learns from the length of a complete answer. */
void le_learn(dp_policy *policy, const dp_request *request, uint32_t tokens);

/* queries */
/* Returns the expected tokens of the whole answer; at least 1. */
uint32_t le_query_expected(const dp_policy *policy, const dp_request *request);
/* Returns whether enough answers of the operation were seen to expect a
   length. */
bool le_query_is_learned(const dp_policy *policy, const dp_request *request);
/* Returns the expected tokens after those made so far; at least 1. */
uint32_t le_query_remaining(const dp_request *request, uint32_t made);
/* Returns what a pending request adds to the expected wait of others, in
   tokens: its remaining tokens, but no more than the limit of short work, as
   short work overtakes long work. */
uint32_t le_query_backlog_tokens(const dp_policy *policy,
                                 const dp_request *request);
/* Returns whether the expected answer is long: a multiple of the median
   length. */
bool le_query_is_long(const dp_policy *policy, const dp_request *request);

#endif
