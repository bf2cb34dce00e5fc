/*
 * bound.h: upper bound on the share answered in time (prefix bo_).
 *
 * Taken from a trace with every length known. All servers together are one
 * machine that always runs full batches with every prompt's prefix held and
 * every adapter at hand, and could begin with any request when the measured
 * time begins. The most requests that such a machine ends by their deadlines
 * is found exactly (Moore and Hodgson); no policy can answer more.
 *
 *     double share = bo_query_share(deployment, trace);
 *
 * Limits: counts measured requests only, as if there were no others.
 */
#ifndef BENCH_BOUND_H
#define BENCH_BOUND_H

#include "arrivals.h"

/* Share of the measured requests, 0..1. */
double bo_query_share(const ar_deployment *deployment, const ar_trace *trace);

#endif
