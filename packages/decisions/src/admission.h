/*
 * admission.h: admission control, and budgets of retries and hedges (prefix
 * am_).
 *
 * A request is refused at once if its expected wait and work exceed its
 * deadline. When requests wait, a team that holds more than its weighted
 * share of the expected tokens is refused earlier than the others. Each
 * success adds a fraction of a retry and of a hedge to their budgets.
 */
#ifndef LACEWING_DECISIONS_ADMISSION_H
#define LACEWING_DECISIONS_ADMISSION_H

#include "state.h"

/* commands */
/* Adds a request to the totals of its team, or removes it. */
void am_add_request(dp_policy *policy, dp_request *request,
                    uint32_t team_weight);
void am_remove_request(dp_policy *policy, dp_request *request);
/* Credits one success to the budgets of retries and hedges. */
void am_refill_budgets(dp_policy *policy);
/* Takes one retry or one hedge from its budget. Returns false, and takes
   nothing, if less than one is left. */
bool am_take_retry(dp_policy *policy);
bool am_take_hedge(dp_policy *policy);

/* queries */
/* Returns why a request with this expected wait is to be refused, or ER_OK
   if it is admitted. */
er_code am_query_refusal(const dp_policy *policy, const dp_request *request,
                         uint64_t wait_us);
/* Returns the latest time at which the request must start to meet its
   deadline, always in the future; UINT64_MAX if it has no deadline. */
uint64_t am_query_latest_start_us(const dp_policy *policy,
                                  const dp_request *request);
/* Returns after how long a refused caller should retry, given an expected
   wait, or given the backlog of all own servers. */
uint32_t am_query_retry_after_ms(const dp_policy *policy, uint64_t wait_us);
uint32_t am_query_backlog_retry_ms(const dp_policy *policy);

#endif
