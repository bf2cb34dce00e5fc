/* The figures of docs/MEASURES.md. */
#include "measures.h"
#include "bound.h"
#include <glib.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics_double.h>
#include <math.h>
#include <string.h>

/* -- private: times of a run ---------------------------------------------- */

typedef enum ms_work {
    MS_WORK_ALL = 0,
    MS_WORK_SHORT,
    MS_WORK_LONG,
} ms_work;

static bool
_counts(const ar_request *request, ms_work work)
{
    return request->measured && (work == MS_WORK_ALL ||
                                 request->long_work == (work == MS_WORK_LONG));
}

static double
_time_ms(const ar_request *request, const wd_outcome *outcome)
{
    uint64_t end_us =
        outcome->end == WD_ANSWERED ? outcome->end_us : request->deadline_us;
    return (double)(end_us - request->at_us) / 1000;
}

static double
_p99_ms(const rn_runs *runs, ar_scenario scenario, wd_policy_kind policy,
        ms_work work)
{
    const ar_trace *trace = rn_query_trace(runs, scenario);
    const wd_result *result = rn_query(runs, scenario, policy);
    double *times = g_new(double, trace->count);
    size_t count = 0;
    for (uint32_t i = 0; i < trace->count; i++) {
        if (_counts(&trace->requests[i], work)) {
            times[count++] =
                _time_ms(&trace->requests[i], &result->outcomes[i]);
        }
    }
    gsl_sort(times, 1, count);
    double p99_ms = gsl_stats_quantile_from_sorted_data(times, 1, count, 0.99);
    g_free(times);
    return p99_ms;
}

static uint32_t
_count(const rn_runs *runs, ar_scenario scenario, wd_policy_kind policy,
       ms_work work, bool answered_only)
{
    const ar_trace *trace = rn_query_trace(runs, scenario);
    const wd_result *result = rn_query(runs, scenario, policy);
    uint32_t count = 0;
    for (uint32_t i = 0; i < trace->count; i++) {
        bool answered = result->outcomes[i].end == WD_ANSWERED;
        count +=
            _counts(&trace->requests[i], work) && (answered || !answered_only);
    }
    return count;
}

static double
_share(const rn_runs *runs, ar_scenario scenario, wd_policy_kind policy)
{
    double all = _count(runs, scenario, policy, MS_WORK_ALL, false);
    return _count(runs, scenario, policy, MS_WORK_ALL, true) / all;
}

/* -- private: measures ---------------------------------------------------- */

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
        sum_ms += outcome->end == WD_ANSWERED
                      ? (double)outcome->stall_us / 1000
                      : _time_ms(request, outcome);
    }
    return sum_ms / count;
}

static double
_batch(const rn_runs *runs, wd_policy_kind policy)
{
    en_totals window = rn_query(runs, AR_STEADY, policy)->window;
    return (double)window.tokens / (double)window.steps;
}

static double
_crest(const rn_runs *runs, wd_policy_kind policy)
{
    return _share(runs, AR_CREST, policy);
}

static double
_crest_bound(const rn_runs *runs, wd_policy_kind policy)
{
    double bound = bo_query_share(rn_query_desc(runs)->deployment,
                                  rn_query_trace(runs, AR_CREST));
    return _share(runs, AR_CREST, policy) / bound;
}

static double
_collapse(const rn_runs *runs, wd_policy_kind policy)
{
    double twice = _count(runs, AR_DOUBLE, policy, MS_WORK_ALL, true);
    return twice / _count(runs, AR_NOMINAL, policy, MS_WORK_ALL, true);
}

static double
_head_of_line(const rn_runs *runs, wd_policy_kind policy)
{
    return _p99_ms(runs, AR_NOMINAL, policy, MS_WORK_SHORT) /
           _p99_ms(runs, AR_SHORT_ONLY, policy, MS_WORK_SHORT);
}

static double
_long_tail(const rn_runs *runs, wd_policy_kind policy)
{
    return _p99_ms(runs, AR_NOMINAL, policy, MS_WORK_LONG);
}

static double
_starved(const rn_runs *runs, wd_policy_kind policy)
{
    return _count(runs, AR_NOMINAL, policy, MS_WORK_LONG, false) -
           _count(runs, AR_NOMINAL, policy, MS_WORK_LONG, true);
}

static double
_slowed(const rn_runs *runs, wd_policy_kind policy)
{
    return _p99_ms(runs, AR_SLOWED, policy, MS_WORK_SHORT) /
           _p99_ms(runs, AR_NOMINAL, policy, MS_WORK_SHORT);
}

static double
_extra_work(const rn_runs *runs, wd_policy_kind policy)
{
    const wd_result *result = rn_query(runs, AR_SLOWED, policy);
    return 1 - (double)result->useful_tokens / (double)result->all.tokens;
}

/* -- private: the table --------------------------------------------------- */

typedef enum ms_figure {
    MS_FIGURE_OURS = 0,
    MS_FIGURE_RATIO,
} ms_figure;

typedef struct ms_measure {
    const char *name;
    uint32_t scenarios;
    double (*query)(const rn_runs *runs, wd_policy_kind policy);
    ms_figure figure; /* that the target is about */
    bool at_least;    /* the target is a lower bound */
    double target;
} ms_measure;

#define BIT(scenario) (1u << (scenario))

static const ms_measure measures[] = {
    {"load_stall", BIT(AR_STEADY), _load_stall, MS_FIGURE_RATIO, false,
     1.0 / 3},
    {"batch", BIT(AR_STEADY), _batch, MS_FIGURE_RATIO, true, 1.3},
    {"crest", BIT(AR_CREST), _crest, MS_FIGURE_RATIO, true, 1.5},
    {"crest_bound", BIT(AR_CREST), _crest_bound, MS_FIGURE_OURS, true, 0.9},
    {"collapse", BIT(AR_DOUBLE) | BIT(AR_NOMINAL), _collapse, MS_FIGURE_OURS,
     true, 0.95},
    {"head_of_line", BIT(AR_NOMINAL) | BIT(AR_SHORT_ONLY), _head_of_line,
     MS_FIGURE_OURS, false, 1.3},
    {"long_tail", BIT(AR_NOMINAL), _long_tail, MS_FIGURE_RATIO, false, 1.5},
    {"starved", BIT(AR_NOMINAL), _starved, MS_FIGURE_OURS, false, 0},
    {"slowed", BIT(AR_SLOWED) | BIT(AR_NOMINAL), _slowed, MS_FIGURE_OURS,
     false, 1.5},
    {"extra_work", BIT(AR_SLOWED), _extra_work, MS_FIGURE_OURS, false, 0.05},
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
    double figure =
        measure->figure == MS_FIGURE_RATIO ? line.ratio : line.ours;
    line.met = measure->at_least ? figure >= measure->target
                                 : figure <= measure->target;
    for (int i = 0; i < AR_SCENARIO_NUM; i++) {
        if (measure->scenarios & BIT(i)) {
            const wd_result *result =
                rn_query(runs, (ar_scenario)i, WD_POLICY_OURS);
            line.violations += result->violation_count;
        }
    }
    return line;
}
