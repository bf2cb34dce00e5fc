/*
 * load_limit.h: limit of the adapters that one instance has loading from the
 * weight store at once (prefix ll_).
 *
 * The store serves a number of loads at full speed, over all servers. Beyond
 * that, each load takes longer in proportion, so more loads at once finish no
 * sooner and only hold places at the servers. The number is not known, and
 * neither is in time what other instances load, but the duration of each load
 * shows whether the store is overloaded. So the limit adapts: it grows by a
 * part of a load for each round of loads that took their usual time, and
 * shrinks after each slow load. The limits of all instances settle where the
 * store is used in full and no load queues there.
 *
 *     if (ll_query_may_load(limit, in_flight)) { order the load }
 *     ll_feed_load(limit, duration_ms);
 *
 * It is made for a demand for more adapters than the store can deliver. It
 * uses no sockets and no clock.
 */
#ifndef LACEWING_LOAD_LIMIT_H
#define LACEWING_LOAD_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

typedef struct ll_limit {
    double max_loads;   /* loads at once */
    double baseline_ms; /* of a load at full speed: the shortest seen */
} ll_limit;

void ll_setup(ll_limit *limit);
/* Adapts the limit to the duration of a load from the store. */
void ll_feed_load(ll_limit *limit, double duration_ms);

/* queries */
/* True if one more load may begin. */
bool ll_query_may_load(const ll_limit *limit, uint32_t in_flight);

#endif
