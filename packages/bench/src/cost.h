/*
 * cost.h: time and memory of decisions (prefix co_).
 *
 * One instance of a policy among six, with its share of the servers, is
 * driven without any fake: requests enter at a fixed rate and everything that
 * it orders is answered at once or after a fixed time. A decision is one
 * request with all its events and actions.
 *
 *     co_figures figures = co_query(&(co_desc){.servers = 120,
 *         .adapters = 13000, .seed = 7});
 *
 * Limits: measured by the processor's clock, so the figures differ a little
 * from run to run; not while other threads run.
 */
#ifndef BENCH_COST_H
#define BENCH_COST_H

#include "world.h"

typedef struct co_desc {
    uint32_t servers;
    uint32_t adapters;
    uint32_t seed;
    wd_policy_kind policy;
} co_desc;

typedef struct co_figures {
    double us;             /* of one decision */
    double bytes;          /* allocated and kept by one decision */
    double instance_bytes; /* of the policy with servers and adapters */
} co_figures;

co_figures co_query(const co_desc *desc);

#endif
