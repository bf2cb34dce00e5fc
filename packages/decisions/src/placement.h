/*
 * placement.h: which server should hold which adapter (prefix pl_).
 *
 * Each adapter has a few home servers (at most DP_HOMES) by rendezvous
 * hashing, the same on all instances. Its popularity is a count of requests
 * that decays exponentially. It is stored as the logarithm of the count scaled
 * up by the age of the policy, so it needs no update as time passes. Of the
 * idle adapters of a server, the one with the least popularity per own copy is
 * evicted. A new copy goes to the home server with the least expected cost:
 * its own wait plus the reload of what is evicted.
 */
#ifndef LACEWING_DECISIONS_PLACEMENT_H
#define LACEWING_DECISIONS_PLACEMENT_H

#include "state.h"

#define PL_POPULARITY_NEVER_USED (-1e5) /* below all others */

/* commands */
/* Counts a request for the adapter. */
void pl_record_request(dp_policy *policy, dp_adapter *adapter);
/* Recomputes the home servers of an adapter if the servers have changed. */
void pl_refresh_homes(dp_policy *policy, dp_adapter *adapter);
/* Returns the copy to evict on an own server; NULL before the server's
   handover_until_us, or when all copies are in use or pinned. */
dp_copy *pl_choose_victim(dp_policy *policy, dp_server *server);
/* Returns the own server to load an adapter on; NULL when none has a free
   adapter slot or a copy that may be evicted. margin: how much more popular
   the adapter must be than the one that is evicted, as a difference of
   logarithms; -INFINITY accepts any, and servers other than the homes too. */
dp_server *pl_choose_server(dp_policy *policy, dp_adapter *adapter,
                            double margin);

/* queries */
/* Returns the popularity per resident own copy, as a logarithm; INFINITY when
   all copies are pinned. */
double pl_query_popularity_per_copy(const dp_adapter *adapter);
/* Converts a logarithm to a heap key of the same order. */
uint64_t pl_query_heap_key(double logarithm);
/* Returns the requests a second for the adapter, averaged over about 100 s. */
double pl_query_request_rate(const dp_policy *policy,
                             const dp_adapter *adapter);
/* Returns the same, averaged over about 4 s. */
double pl_query_recent_request_rate(const dp_policy *policy,
                                    const dp_adapter *adapter);

#endif
