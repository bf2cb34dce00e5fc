/*
 * placement.h: which server should hold which adapter (prefix pl_).
 *
 * Each adapter has a few home servers by rendezvous hashing, the same on all
 * instances. Popularity is a count of requests that decays in seconds, kept
 * as a logarithm that needs no touching as time passes. The adapter that is
 * evicted is the one with the least popularity for each copy among those not
 * in use; the server that takes a new copy is the home that loses least and
 * is least loaded.
 */
#ifndef LACEWING_DECISIONS_PLACEMENT_H
#define LACEWING_DECISIONS_PLACEMENT_H

#include "state.h"

#define PL_NEVER (-1e5) /* popularity of what was never used */

/* commands */
/* Counts a request on the adapter. */
void pl_note_use(dp_policy *policy, dp_adapter *adapter);
/* Computes the homes again if the servers have changed. */
void pl_refresh_homes(dp_policy *policy, dp_adapter *adapter);
/* The copy to evict on an own server; NULL when all are needed. */
dp_copy *pl_choose_victim(dp_policy *policy, dp_server *server);
/* The own server to load an adapter on; NULL when there is none with room.
   margin: how much more popular the adapter must be than what gives way, as a
   difference of logarithms; -INFINITY for any. */
dp_server *pl_choose_server(dp_policy *policy, dp_adapter *adapter,
                            double margin);

/* queries */
/* Popularity for each copy that there is. */
double pl_query_worth(const dp_adapter *adapter);
/* A heap key that orders by a logarithm. */
uint64_t pl_query_key(double logarithm);
/* Requests a second for the adapter lately. */
double pl_query_rate(const dp_policy *policy, const dp_adapter *adapter);
/* The same over the last seconds. */
double pl_query_recent_rate(const dp_policy *policy,
                            const dp_adapter *adapter);

#endif
