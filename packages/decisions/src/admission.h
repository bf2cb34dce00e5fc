/*
 * admission.h: what is taken in, and the budgets of repeats (prefix am_).
 *
 * A request is refused at once when its expected wait and work pass its
 * deadline. When work waits, a team that holds more than its share of it is
 * refused before the others. Retries take from a budget that successes fill.
 */
#ifndef LACEWING_DECISIONS_ADMISSION_H
#define LACEWING_DECISIONS_ADMISSION_H

#include "state.h"

/* commands */
/* Counts a request to its team, and out of it. */
void am_enter(dp_policy *policy, dp_request *request, uint32_t team_weight);
void am_leave(dp_policy *policy, dp_request *request);
void am_note_success(dp_policy *policy);
/* Takes one retry or one hedge from its budget; false when it is spent. */
bool am_take_retry(dp_policy *policy);
bool am_take_hedge(dp_policy *policy);

/* queries */
/* Why a request that would wait so long is refused; ER_OK: it is not. */
er_code am_query_refusal(const dp_policy *policy, const dp_request *request,
                         uint64_t wait_us);
/* Time at which it is given up if it still does not run; UINT64_MAX: never. */
uint64_t am_query_give_up_us(const dp_policy *policy,
                             const dp_request *request);
/* When a caller may come back, in ms: for such a wait, and in general. */
uint32_t am_query_retry_after_ms(const dp_policy *policy, uint64_t wait_us);
uint32_t am_query_retry_ms(const dp_policy *policy);

#endif
