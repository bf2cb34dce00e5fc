/*
 * baseline.h: the naive policy that every figure is held against (prefix
 * bl_).
 *
 * Least reported load, least recently used adapter evicted, first come first
 * served, no limits. A request whose adapter is held is sent at once; the
 * others have theirs loaded one after the other on each server, which serves
 * the naive rule better than to order all loads together. It is driven like
 * the project's own policy, through lwd_policy_vt, and owns every server. It
 * keeps the promises that the checker counts, but for the weight store's
 * budget, which it does not know.
 *
 *     lwd_policy *policy = bl_create();
 *     lwd_server server = lwd_make_server(policy, now_us, &server_desc);
 *     lwd_destroy(policy);
 *
 * Limits: one instance that owns all servers; never forwards, hedges, pauses
 * or refuses, except when no server is up at all. Allocates as it goes.
 */
#ifndef BENCH_BASELINE_H
#define BENCH_BASELINE_H

#include "lacewing/decisions.h"

lwd_policy *bl_create(void);

#endif
