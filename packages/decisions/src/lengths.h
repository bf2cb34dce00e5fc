/*
 * lengths.h: expected lengths of answers (prefix le_).
 *
 * Learned per operation and adapter, and per operation alone until enough
 * answers of the adapter were seen; bounded by the request's max_tokens.
 */
#ifndef LACEWING_DECISIONS_LENGTHS_H
#define LACEWING_DECISIONS_LENGTHS_H

#include "state.h"

/* Takes in the length of a whole answer. */
void le_learn(dp_policy *policy, const dp_request *request, uint32_t tokens);

/* queries */
/* Tokens of the whole answer; at least 1. */
uint32_t le_query_expected(const dp_policy *policy, const dp_request *request);
/* True when that was learned from answers of the operation. */
bool le_query_known(const dp_policy *policy, const dp_request *request);
/* Tokens still to come after so many; at least 1. */
uint32_t le_query_remaining(const dp_request *request, uint32_t made);
/* Tokens of a pending request that short work may have to wait for. */
uint32_t le_query_ahead(const dp_policy *policy, const dp_request *request);
/* True for work that is long against the usual. */
bool le_query_is_long(const dp_policy *policy, const dp_request *request);

#endif
