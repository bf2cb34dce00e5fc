/*
 * bound.h: upper bound on the share answered in time (prefix bo_).
 *
 * The bound is computed from a trace, with the length of every answer known.
 * It treats all servers together as one machine that always runs full batches,
 * has every prompt's prefix cached and every adapter resident, and may start
 * any request at the start of the measured period. The largest number of
 * requests that this machine completes by their deadlines is computed exactly
 * (algorithm of Moore and Hodgson); no policy can answer more.
 *
 *     double share = bo_query_answered_share(deployment, trace);
 *
 * Limits: only measured requests are considered, as if there were no others.
 */
#ifndef BENCH_BOUND_H
#define BENCH_BOUND_H

#include "arrivals.h"

/* Returns the bound as a share of the measured requests, 0..1. */
double bo_query_answered_share(const ar_deployment *deployment,
                               const ar_trace *trace);

#endif
