/* The measures that docs/MEASURES.md defines. */
#include "measures.h"
#include "bound.h"
#include <glib.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics_double.h>
#include <math.h>
#include <string.h>

/* -- private: latencies and counts ---------------------------------------- */

typedef enum ms_work_class {
    MS_WORK_ALL = 0,
    MS_WORK_SHORT,
    MS_WORK_LONG,
} ms_work_class;

static bool
_is_counted(const ar_request *request, ms_work_class work_class)
{
    return request->measured &&
           (work_class == MS_WORK_ALL ||
            request->long_work == (work_class == MS_WORK_LONG));
}

/* Returns the latency of a request; up to its deadline if it was refused or
   late. */
static double
_latency_ms(const ar_request *request, const wd_outcome *outcome)
{
    uint64_t end_us = outcome->status == WD_ANSWERED ? outcome->end_us
                                                     : request->deadline_us;
    return (double)(end_us - request->at_us) / 1000;
}

static double
_p99_ms(const rn_runs *runs, ar_scenario scenario, wd_policy_kind policy,
        ms_work_class work_class)
{
    const ar_trace *trace = rn_query_trace(runs, scenario);
    const wd_result *result = rn_query(runs, scenario, policy);
    double *times = g_new(double, trace->count);
    size_t count = 0;
    for (uint32_t i = 0; i < trace->count; i++) {
        if (_is_counted(&trace->requests[i], work_class)) {
            times[count++] =
                _latency_ms(&trace->requests[i], &result->outcomes[i]);
        }
    }
    gsl_sort(times, 1, count);
    double p99_ms = gsl_stats_quantile_from_sorted_data(times, 1, count, 0.99);
    g_free(times);
    return p99_ms;
}

static uint32_t
_count(const rn_runs *runs, ar_scenario scenario, wd_policy_kind policy,
       ms_work_class work_class, bool answered_only)
{
    const ar_trace *trace = rn_query_trace(runs, scenario);
    const wd_result *result = rn_query(runs, scenario, policy);
    uint32_t count = 0;
    for (uint32_t i = 0; i < trace->count; i++) {
        bool answered = result->outcomes[i].status == WD_ANSWERED;
        count += _is_counted(&trace->requests[i], work_class) &&
                 (answered || !answered_only);
    }
    return count;
}

static double
_answered_share(const rn_runs *runs, ar_scenario scenario,
                wd_policy_kind policy)
{
    double all = _count(runs, scenario, policy, MS_WORK_ALL, false);
    return _count(runs, scenario, policy, MS_WORK_ALL, true) / all;
}

/* -- private: measures ---------------------------------------------------- */

/* Mean time that a request waits for adapter loads, in ms. */
static double
_load_stall(const rn_runs *runs, wd_policy_kind policy)
{
    const ar_trace *trace = rn_query_trace(runs, AR_STEADY);
    const wd_result *result = rn_query(runs, AR_STEADY, policy);
    double sum_ms = 0;
    uint32_t count = 0;
    for (uint32_t i = 0; i < trace->count; i++) {
        const ar_request *request = &trace->requests[i];
        const wd_outcome *outcome = &result->outcomes[i];
        if (!request->measured) {
            continue;
        }
        count++;
        sum_ms += outcome->status == WD_ANSWERED
                      ? (double)outcome->stall_us / 1000
                      : _latency_ms(request, outcome);
    }
    return sum_ms / count;
}

/* Mean number of jobs in the batch of a step. */
static double
_batch(const rn_runs *runs, wd_policy_kind policy)
{
    en_totals window = rn_query(runs, AR_STEADY, policy)->window;
    return (double)window.tokens / (double)window.steps;
}

/* Share of the requests answered in time during the load spike. */
static double
_crest(const rn_runs *runs, wd_policy_kind policy)
{
    return _answered_share(runs, AR_CREST, policy);
}

/* The same, over the upper bound of bound.h. */
static double
_crest_bound(const rn_runs *runs, wd_policy_kind policy)
{
    double bound = bo_query_answered_share(rn_query_desc(runs)->deployment,
                                           rn_query_trace(runs, AR_CREST));
    return _answered_share(runs, AR_CREST, policy) / bound;
}

/* Requests answered in time at 2x, over those at 1x. */
static double
_collapse(const rn_runs *runs, wd_policy_kind policy)
{
    double twice = _count(runs, AR_DOUBLE, policy, MS_WORK_ALL, true);
    return twice / _count(runs, AR_NOMINAL, policy, MS_WORK_ALL, true);
}

/* p99 latency of short requests among long ones, over that without long
   ones. */
static double
_head_of_line(const rn_runs *runs, wd_policy_kind policy)
{
    return _p99_ms(runs, AR_NOMINAL, policy, MS_WORK_SHORT) /
           _p99_ms(runs, AR_SHORT_ONLY, policy, MS_WORK_SHORT);
}

/* p99 latency of long requests, in ms. */
static double
_long_tail(const rn_runs *runs, wd_policy_kind policy)
{
    return _p99_ms(runs, AR_NOMINAL, policy, MS_WORK_LONG);
}

/* Number of long requests that were not answered in time. */
static double
_starved(const rn_runs *runs, wd_policy_kind policy)
{
    return _count(runs, AR_NOMINAL, policy, MS_WORK_LONG, false) -
           _count(runs, AR_NOMINAL, policy, MS_WORK_LONG, true);
}

/* p99 latency of short requests with slowed servers, over that without. */
static double
_slowed(const rn_runs *runs, wd_policy_kind policy)
{
    return _p99_ms(runs, AR_SLOWED, policy, MS_WORK_SHORT) /
           _p99_ms(runs, AR_NOMINAL, policy, MS_WORK_SHORT);
}

/* Share of the generated tokens that belong to no answer in time. */
static double
_extra_work(const rn_runs *runs, wd_policy_kind policy)
{
    const wd_result *result = rn_query(runs, AR_SLOWED, policy);
    return 1 -
           (double)result->useful_tokens / (double)result->whole_run.tokens;
}

/* -- private: list of measures -------------------------------------------- */

typedef enum ms_value {
    MS_VALUE_OURS = 0,
    MS_VALUE_RATIO,
} ms_value;

typedef struct ms_measure {
    const char *name;
    uint32_t scenarios;
    double (*query)(const rn_runs *runs, wd_policy_kind policy);
    ms_value target_of; /* the value that the target applies to */
    bool at_least;      /* the target is a lower bound, else an upper bound */
    double target;
} ms_measure;

#define BIT(scenario) (1u << (scenario))

static const ms_measure measures[] = {
    {"load_stall", BIT(AR_STEADY), _load_stall, MS_VALUE_RATIO, false,
     1.0 / 3},
    {"batch", BIT(AR_STEADY), _batch, MS_VALUE_RATIO, true, 1.3},
    {"crest", BIT(AR_CREST), _crest, MS_VALUE_RATIO, true, 1.5},
    {"crest_bound", BIT(AR_CREST), _crest_bound, MS_VALUE_OURS, true, 0.9},
    {"collapse", BIT(AR_DOUBLE) | BIT(AR_NOMINAL), _collapse, MS_VALUE_OURS,
     true, 0.95},
    {"head_of_line", BIT(AR_NOMINAL) | BIT(AR_SHORT_ONLY), _head_of_line,
     MS_VALUE_OURS, false, 1.3},
    {"long_tail", BIT(AR_NOMINAL), _long_tail, MS_VALUE_RATIO, false, 1.5},
    {"starved", BIT(AR_NOMINAL), _starved, MS_VALUE_OURS, false, 0},
    {"slowed", BIT(AR_SLOWED) | BIT(AR_NOMINAL), _slowed, MS_VALUE_OURS, false,
     1.5},
    {"extra_work", BIT(AR_SLOWED), _extra_work, MS_VALUE_OURS, false, 0.05},
};

/* -- queries -------------------------------------------------------------- */

uint32_t
ms_query_count(void)
{
    return G_N_ELEMENTS(measures);
}

const char *
ms_query_name(uint32_t index)
{
    return measures[index].name;
}

uint32_t
ms_query_index(const char *name)
{
    for (uint32_t i = 0; i < G_N_ELEMENTS(measures); i++) {
        if (strcmp(measures[i].name, name) == 0) {
            return i;
        }
    }
    return UINT32_MAX;
}

uint32_t
ms_query_scenarios(uint32_t index)
{
    return measures[index].scenarios;
}

double
ms_query_ratio(double baseline, double ours)
{
    return baseline == 0 && ours == 0 ? 1 : ours / baseline;
}

double
ms_query_ours(uint32_t index, const rn_runs *runs)
{
    return measures[index].query(runs, WD_POLICY_OURS);
}

ms_line
ms_query_line(uint32_t index, const rn_runs *runs)
{
    const ms_measure *measure = &measures[index];
    ms_line line = {
        .measure = measure->name,
        .deployment = rn_query_desc(runs)->deployment->name,
        .baseline = measure->query(runs, WD_POLICY_BASELINE),
        .ours = measure->query(runs, WD_POLICY_OURS),
        .has_target = true,
    };
    line.ratio = ms_query_ratio(line.baseline, line.ours);
    double value =
        measure->target_of == MS_VALUE_RATIO ? line.ratio : line.ours;
    line.target_met = measure->at_least ? value >= measure->target
                                        : value <= measure->target;
    for (int i = 0; i < AR_SCENARIO_NUM; i++) {
        if (measure->scenarios & BIT(i)) {
            const wd_result *result =
                rn_query(runs, (ar_scenario)i, WD_POLICY_OURS);
            line.violations += result->violation_count;
        }
    }
    return line;
}
