/*
 * loads.h: which adapter is loaded next, and when (prefix ld_).
 *
 * An adapter with pending requests needs a load when it has no usable copy, or
 * when its copies are so busy that a further copy saves more waiting than it
 * costs. Such adapters stand in one heap (policy->load_queue), by the latest
 * start and the number of the requests that the load would serve. An adapter
 * has at most one load pending at a time. The server is chosen as late as
 * possible: one reservation ahead of the order, so that the eviction which
 * frees the adapter slot is under way before the budget allows the load.
 *
 * Orders keep to the instance's share of the weight store: a token bucket
 * limits their rate, and a bound limits the loads in transit. When no adapter
 * waits for a load and the bucket is full, the most popular adapter that is
 * held nowhere is prefetched, if it is much more popular than the adapter that
 * is evicted for it.
 */
#ifndef LACEWING_DECISIONS_LOADS_H
#define LACEWING_DECISIONS_LOADS_H

#include "state.h"

/* commands */
/* Queues the adapter for a load if its pending requests need one, else removes
   it from the queue. */
void ld_update_queue_entry(dp_policy *policy, dp_adapter *adapter);
/* Reserves adapter slots for the first queued adapters and orders the loads
   that the budget allows. */
void ld_start_due_loads(dp_policy *policy);
/* Handle the end of an ordered load. ER_STALE: none was ordered. */
er_code ld_on_done(dp_policy *policy, dp_server *server, dp_adapter *adapter);
er_code ld_on_failed(dp_policy *policy, dp_server *server,
                     dp_adapter *adapter);
/* Delays the next load of an adapter after one that failed; after several
   failures in a row, its pending requests are refused. */
void ld_start_backoff(dp_policy *policy, dp_adapter *adapter,
                      dp_server *server);
/* Handles the end of the delay after a failed load. */
void ld_on_backoff_end(dp_policy *policy, dp_adapter *adapter);
/* Sets the instance's share of the weight store. */
void ld_set_share(dp_policy *policy, uint32_t loads_per_s_milli,
                  uint32_t loads_in_transit);

/* queries */
/* Returns the expected wait of a request for an adapter that is held nowhere:
   its load after all those that are queued. */
uint64_t ld_query_wait_us(const dp_policy *policy);
/* Returns the expected time until a copy with a pending load is resident. */
uint64_t ld_query_time_to_resident_us(const dp_policy *policy,
                                      const dp_copy *copy);
/* Returns by how much a further copy of an adapter must shorten the wait to be
   worth its load; it grows with the wait for loads. */
uint64_t ld_query_min_gain_us(const dp_policy *policy);
/* Returns ld_query_wait_us() for this adapter; shorter for one with many
   requests, as it is loaded before others. */
uint64_t ld_query_adapter_wait_us(const dp_policy *policy,
                                  const dp_adapter *adapter);

#endif
