/*
 * spread.h: chooses a server where many instances choose at the same moment
 * (prefix sd_).
 *
 * What an instance knows of a server's load is about a tenth of a second old.
 * If all instances send to the server that costs least by what they know, it
 * is overrun until the next reports, and others idle. Here each instance draws
 * among the candidates, so that what all of them send meanwhile raises the
 * cost of the cheap ones to one level, and leaves out those above it.
 *
 *     sd_candidate candidates[] = {{.cost = 4, .slope = 1}, ...};
 *     uint32_t at = sd_choose(candidates, 4, 16.0, g_rand_double(random));
 *
 * With nothing unseen, the choice is the cheapest candidate. No further
 * messages are needed. Answers bursts and services with few servers and many
 * instances; no sockets and no clock.
 */
#ifndef LACEWING_SPREAD_H
#define LACEWING_SPREAD_H

#include <stdint.h>

typedef struct sd_candidate {
    double cost;  /* of the next request there, by what is known */
    double slope; /* by how much each further request raises it; above 0 */
} sd_candidate;

/* Returns the index of the chosen candidate. count: at least 1. unseen:
   requests that others send to the candidates, about which nothing is known
   yet. draw: a random number from 0 to below 1. */
uint32_t sd_choose(const sd_candidate *candidates, uint32_t count,
                   double unseen, double draw);

#endif
