/*
 * measures.h: the figures of docs/MEASURES.md (prefix ms_).
 *
 *     for (uint32_t i = 0; i < ms_query_count(); i++) {
 *         ms_line line = ms_query_line(i, runs);
 *         print(&line, seed);
 *     }
 *
 * Refused or late requests stand in every figure with the whole time to
 * their deadline as their time.
 *
 * Limits: the runs must hold the scenarios that the measure names.
 */
#ifndef BENCH_MEASURES_H
#define BENCH_MEASURES_H

#include "runs.h"

typedef struct ms_line {
    const char *measure;
    const char *deployment;
    double baseline;
    double ours;
    double ratio; /* ours / baseline; 1 when both are 0 */
    uint32_t violations;
    bool has_target;
    bool met;
} ms_line;

/* queries */
uint32_t ms_query_count(void);
const char *ms_query_name(uint32_t index);
/* Index of a name; UINT32_MAX when there is none. */
uint32_t ms_query_index(const char *name);
/* The scenarios it needs, bits by ar_scenario. */
uint32_t ms_query_scenarios(uint32_t index);
/* Both policies' figures, their ratio and whether the target is met. */
ms_line ms_query_line(uint32_t index, const rn_runs *runs);
/* Our figure alone. */
double ms_query_ours(uint32_t index, const rn_runs *runs);
double ms_query_ratio(double baseline, double ours);

#endif
