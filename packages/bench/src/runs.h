/*
 * runs.h: the runs of a deployment that the measures need (prefix rn_).
 *
 * Runs each scenario under the project's policy and, unless ours_only is set,
 * under the baseline with the same trace. The runs are spread over threads.
 *
 *     rn_runs *runs;
 *     rn_create_all(&(rn_desc){.seed = 7,
 *         .scenarios = 1u << AR_NOMINAL, .deployment = deployment}, 1, 0,
 *         &runs);
 *     const wd_result *ours =
 *         rn_query(runs, AR_NOMINAL, WD_POLICY_OURS);
 *     rn_destroy(runs);
 *
 * Limits: results do not depend on the number of threads.
 */
#ifndef BENCH_RUNS_H
#define BENCH_RUNS_H

#include "world.h"

typedef struct rn_desc {
    const ar_deployment *deployment; /* required */
    uint32_t seed;
    uint32_t scenarios;         /* bits by ar_scenario */
    uint32_t disabled_features; /* of our policy, lwd_feature bits */
    bool ours_only;             /* without the runs of the baseline */
} rn_desc;

typedef struct rn_runs rn_runs;

/* Executes the runs of all descriptions in one thread pool; runs[i] belongs to
   descs[i]. threads: 0 means one for each processor. */
void rn_create_all(const rn_desc *descs, uint32_t count, uint32_t threads,
                   rn_runs **runs);
void rn_destroy(rn_runs *runs);

/* queries */
const rn_desc *rn_query_desc(const rn_runs *runs);
const ar_trace *rn_query_trace(const rn_runs *runs, ar_scenario scenario);
/* Returns NULL if the run was not requested. */
const wd_result *rn_query(const rn_runs *runs, ar_scenario scenario,
                          wd_policy_kind policy);

#endif
