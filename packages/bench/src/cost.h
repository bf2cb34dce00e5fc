/*
 * cost.h: processor time and memory of decisions (prefix co_).
 *
 * Drives one instance out of six, with its share of the servers, without any
 * fake: requests arrive at a fixed rate, and all loads and sends that the
 * policy orders complete after a fixed time. A decision is one request with
 * all its events and actions.
 *
 *     co_result result = co_query(&(co_desc){.servers = 120,
 *         .adapters = 13000, .seed = 7});
 *
 * Limits: the time is read from the processor clock of the thread, so results
 * vary a little from run to run. Not to be used while other threads run.
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

typedef struct co_result {
    double decision_us;    /* processor time of one decision */
    double decision_bytes; /* heap memory that one decision keeps */
    double instance_bytes; /* heap memory of the policy with its servers and
                              adapters, before any request */
} co_result;

co_result co_query(const co_desc *desc);

#endif
