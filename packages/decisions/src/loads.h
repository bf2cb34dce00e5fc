/*
 * loads.h: which adapter is loaded next, and when (prefix ld_).
 *
 * An adapter with pending requests and no usable copy is wanted; so is one
 * whose copies are so busy that a further copy pays. Wanted adapters stand in
 * one heap, by age and amount of their waiting work, and each is loaded once
 * at a time. The server is chosen last, when the order is due. Orders keep to
 * the instance's share of the weight store: a token bucket and a bound of
 * loads in transit. Room is made ahead of the order. When nothing is wanted
 * and the bucket is full, the most popular adapter that is held nowhere is
 * loaded in the place of a much less popular one.
 */
#ifndef LACEWING_DECISIONS_LOADS_H
#define LACEWING_DECISIONS_LOADS_H

#include "state.h"

/* commands */
/* Wants the adapter or not, as its pending work asks. */
void ld_consider(dp_policy *policy, dp_adapter *adapter);
/* Orders what is due and within the budget. */
void ld_pump(dp_policy *policy);
er_code ld_on_done(dp_policy *policy, dp_server *server, dp_adapter *adapter);
er_code ld_on_failed(dp_policy *policy, dp_server *server,
                     dp_adapter *adapter);
/* Delays the next load of an adapter after one that failed. */
void ld_after_failure(dp_policy *policy, dp_adapter *adapter,
                      dp_server *server);
/* The delay after a failed load is over. */
void ld_on_delay_over(dp_policy *policy, dp_adapter *adapter);
void ld_set_share(dp_policy *policy, uint32_t loads_per_s_milli,
                  uint32_t loads_in_transit);

/* queries */
/* Expected wait of a request for an adapter that is held nowhere. */
uint64_t ld_query_wait_us(const dp_policy *policy);
/* Expected wait until a copy on its way is held. */
uint64_t ld_query_coming_us(const dp_policy *policy, const dp_copy *copy);
/* Less waiting that a further copy of an adapter must bring; it grows as
   loads are scarce. */
uint64_t ld_query_gain_us(const dp_policy *policy);
/* The same for this adapter; a popular one is loaded before others. */
uint64_t ld_query_adapter_wait_us(const dp_policy *policy,
                                  const dp_adapter *adapter);

#endif
