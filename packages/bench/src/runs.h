/*
 * runs.h: the runs that the measures need, in parallel (prefix rn_).
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
    uint32_t scenarios; /* bits by ar_scenario */
    uint32_t parts_off; /* lwd_feature bits */
    bool ours_only;
} rn_desc;

typedef struct rn_runs rn_runs;

/* Makes the runs of all descriptions at once; runs[i] is of descs[i].
   Threads: 0 means one for each processor. */
void rn_create_all(const rn_desc *descs, uint32_t count, uint32_t threads,
                   rn_runs **runs);
void rn_destroy(rn_runs *runs);

/* queries */
const rn_desc *rn_query_desc(const rn_runs *runs);
const ar_trace *rn_query_trace(const rn_runs *runs, ar_scenario scenario);
/* NULL when the run was not asked for. */
const wd_result *rn_query(const rn_runs *runs, ar_scenario scenario,
                          wd_policy_kind policy);

#endif
