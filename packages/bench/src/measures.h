/*
 * measures.h: the measures that docs/MEASURES.md defines (prefix ms_).
 *
 * Each measure is computed for the project's policy ("ours") and for the
 * baseline, and has a target. A request that was refused or late counts with
 * the whole time from its arrival to its deadline.
 *
 *     for (uint32_t i = 0; i < ms_query_count(); i++) {
 *         ms_line line = ms_query_line(i, runs);
 *         print(&line, seed);
 *     }
 *
 * Limits: the runs must include the scenarios that the measure needs, see
 * ms_query_scenarios().
 */
#ifndef BENCH_MEASURES_H
#define BENCH_MEASURES_H

#include "runs.h"

typedef struct ms_line {
    const char *measure;
    const char *deployment;
    double baseline;
    double ours;
    double ratio;        /* ours / baseline; 1 if both are 0 */
    uint32_t violations; /* by our policy, in the scenarios of the measure */
    bool has_target;
    bool target_met;
} ms_line;

/* queries */
uint32_t ms_query_count(void);
const char *ms_query_name(uint32_t index);
/* Returns the index of a measure; UINT32_MAX if the name is unknown. */
uint32_t ms_query_index(const char *name);
/* Returns the scenarios that a measure needs, as bits by ar_scenario. */
uint32_t ms_query_scenarios(uint32_t index);
/* Returns the values of both policies, their ratio and whether the target is
   met. */
ms_line ms_query_line(uint32_t index, const rn_runs *runs);
/* Returns the value of our policy alone. */
double ms_query_ours(uint32_t index, const rn_runs *runs);
double ms_query_ratio(double baseline, double ours);

#endif
