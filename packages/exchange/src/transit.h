/*
 * transit.h: how many adapters one instance lets travel from the weight store
 * at once (prefix ts_).
 *
 * The store serves a number of loads at full speed, over all servers; beyond
 * it each takes longer in proportion, so more of them at once bring nothing
 * sooner and only hold places. Nobody tells that number, and what the others
 * load is not known in time; but each load's own duration shows it. A
 * ts_share grows by a part of a load for each round of loads that came at the
 * usual speed and shrinks after each slow one, so that the shares of all
 * instances settle where the store is used in full and none waits there.
 *
 *     if (ts_query_may_load(share, under_way)) { order it }
 *     ts_feed_load(share, duration_ms);
 *
 * Answers the load of more adapters asked for than the store can bring.
 *
 * No sockets and no clock.
 */
#ifndef LACEWING_TRANSIT_H
#define LACEWING_TRANSIT_H

#include <stdbool.h>
#include <stdint.h>

typedef struct ts_share {
    double loads;    /* at once */
    double usual_ms; /* of a load at full speed: the least that was seen */
} ts_share;

void ts_setup(ts_share *share);
/* A load from the store is done. */
void ts_feed_load(ts_share *share, double duration_ms);

/* queries */
bool ts_query_may_load(const ts_share *share, uint32_t under_way);

#endif
