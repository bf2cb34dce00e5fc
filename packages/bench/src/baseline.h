/*
 * baseline.h: the naive policy that the project's policy is compared with
 * (prefix bl_).
 *
 * It sends each request to the server with the least reported load, evicts the
 * least recently used adapter, serves first come, first served, and limits
 * nothing. A request whose adapter is resident is sent at once, ahead of older
 * ones that wait for a load. Each server loads one adapter at a time: the
 * baseline gives better figures that way than with all loads ordered at once.
 *
 * It implements lwd_policy_vt, as the project's policy does, and owns every
 * server. It keeps all guarantees that the checker counts, except for the
 * limits of the weight store, which it does not know.
 *
 *     lwd_policy *policy = bl_create();
 *     lwd_server server = lwd_make_server(policy, now_us, &server_desc);
 *     lwd_destroy(policy);
 *
 * Limits: one instance that owns all servers. Never forwards, hedges or
 * pauses; refuses only when no server is usable. Allocates during operation.
 */
#ifndef BENCH_BASELINE_H
#define BENCH_BASELINE_H

#include "lacewing/decisions.h"

lwd_policy *bl_create(void);

#endif
