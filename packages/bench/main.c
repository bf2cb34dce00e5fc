/*
 * lacewing-bench: compares the project's policy with a naive baseline.
 *
 * Simulates the deployments of arrivals.c in virtual time under both policies.
 * Prints one line for each measure that docs/MEASURES.md defines, then one for
 * each target:
 *
 *     lacewing-bench --seed 7 --measure all --deployment trust
 *
 * "--measure cost" measures processor time and memory of the policies instead
 * of a simulation. "--measure ablation" prints a Markdown table of all
 * measures with one part of the policy disabled at a time; "--part-off"
 * disables one part for the other measures.
 *
 * Exit status: 0; 1 if a violation was counted, except with "ablation"; 2 if
 * an option is invalid. A missed target does not change it.
 */
#include "cost.h"
#include "measures.h"
#include <glib.h>
#include <stdio.h>
#include <string.h>

#define DEPLOYMENTS_MAX 8
#define EXIT_VIOLATIONS 1
#define EXIT_BAD_OPTIONS 2

typedef struct bench_options {
    gint seed;
    gchar *measure;
    gchar *deployment;
    gchar *disabled_feature;
    gint threads;
} bench_options;

/* A part of the policy that can be disabled. */
typedef struct bench_feature {
    const char *name;
    uint32_t bit; /* lwd_feature */
} bench_feature;

static const bench_feature features[] = {
    {"none", 0},
    {"placement", LWD_FEATURE_PLACEMENT},
    {"loads", LWD_FEATURE_LOADS},
    {"routing", LWD_FEATURE_ROUTING},
    {"order", LWD_FEATURE_ORDER},
    {"admission", LWD_FEATURE_ADMISSION},
    {"stragglers", LWD_FEATURE_STRAGGLERS},
};

/* -- output --------------------------------------------------------------- */

static void
_print_line(const ms_line *line, gint seed)
{
    printf("measure=%s deployment=%s seed=%d baseline=%.4g ours=%.4g "
           "ratio=%.3g violations=%u\n",
           line->measure, line->deployment, seed, line->baseline, line->ours,
           line->ratio, line->violations);
}

static void
_print_target(const ms_line *line, gint seed)
{
    if (line->has_target) {
        printf("target=%s measure=%s deployment=%s seed=%d\n",
               line->target_met ? "met" : "missed", line->measure,
               line->deployment, seed);
    }
}

static void
_print_violations(const rn_runs *runs)
{
    for (int i = 0; i < AR_SCENARIO_NUM; i++) {
        const wd_result *result =
            rn_query(runs, (ar_scenario)i, WD_POLICY_OURS);
        for (int k = 0; result != NULL && k < VC_KIND_NUM; k++) {
            if (result->violations[k] > 0) {
                fprintf(stderr,
                        "violation=%s deployment=%s scenario=%d "
                        "count=%u\n",
                        vc_query_name((vc_kind)k),
                        rn_query_desc(runs)->deployment->name, i,
                        result->violations[k]);
            }
        }
    }
}

/* -- cost of decisions ---------------------------------------------------- */

static const uint32_t cost_servers[] = {22, 120, 600};
static const uint32_t cost_adapters[] = {3000, 13000};
#define COST_TARGET_SERVERS 120 /* the target holds for this number */
#define COST_TARGET_US 10.0     /* for one decision */

static void
_add_cost_line(GArray *lines, const char *measure, const co_desc *desc,
               double baseline, double ours)
{
    g_autofree char *name =
        g_strdup_printf("%s_s%u_a%u", measure, desc->servers, desc->adapters);
    ms_line line = {.measure = g_intern_string(name),
                    .deployment = "all",
                    .baseline = baseline,
                    .ours = ours,
                    .ratio = ms_query_ratio(baseline, ours)};
    bool is_time = strcmp(measure, "cost_us") == 0;
    line.has_target = is_time && desc->servers == COST_TARGET_SERVERS;
    line.target_met = ours < COST_TARGET_US;
    g_array_append_val(lines, line);
}

/* Adds the growth of the time per decision from the least to the largest
   number of servers. The baseline column is the growth of that number itself;
   the target is to grow less. */
static void
_add_growth_line(GArray *lines, uint32_t adapters, const double decision_us[2])
{
    g_autofree char *name = g_strdup_printf("cost_growth_a%u", adapters);
    ms_line line = {.measure = g_intern_string(name),
                    .deployment = "all",
                    .baseline = (double)cost_servers[2] / cost_servers[0],
                    .ours = decision_us[1] / decision_us[0],
                    .has_target = true};
    line.ratio = ms_query_ratio(line.baseline, line.ours);
    line.target_met = line.ratio < 1;
    g_array_append_val(lines, line);
}

static void
_add_cost(GArray *lines, gint seed)
{
    for (size_t a = 0; a < G_N_ELEMENTS(cost_adapters); a++) {
        double decision_us[2] = {0};
        for (size_t s = 0; s < G_N_ELEMENTS(cost_servers); s++) {
            co_desc desc = {.servers = cost_servers[s],
                            .adapters = cost_adapters[a],
                            .seed = (uint32_t)seed,
                            .policy = WD_POLICY_BASELINE};
            co_result baseline = co_query(&desc);
            desc.policy = WD_POLICY_OURS;
            co_result ours = co_query(&desc);
            decision_us[s == 0 ? 0 : 1] = ours.decision_us;
            _add_cost_line(lines, "cost_us", &desc, baseline.decision_us,
                           ours.decision_us);
            _add_cost_line(lines, "cost_bytes", &desc, baseline.decision_bytes,
                           ours.decision_bytes);
            _add_cost_line(lines, "cost_instance_bytes", &desc,
                           baseline.instance_bytes, ours.instance_bytes);
        }
        _add_growth_line(lines, cost_adapters[a], decision_us);
    }
}

/* -- measures ------------------------------------------------------------- */

static bool
_is_selected(const bench_options *options, const char *measure)
{
    return strcmp(options->measure, "all") == 0 ||
           strcmp(options->measure, measure) == 0;
}

static uint32_t
_selected_scenarios(const bench_options *options)
{
    uint32_t scenarios = 0;
    for (uint32_t i = 0; i < ms_query_count(); i++) {
        if (_is_selected(options, ms_query_name(i))) {
            scenarios |= ms_query_scenarios(i);
        }
    }
    return scenarios;
}

static uint32_t
_describe_runs(const bench_options *options, rn_desc *descs)
{
    uint32_t count = 0;
    for (uint32_t i = 0; ar_query_deployment_at(i) != NULL; i++) {
        const ar_deployment *deployment = ar_query_deployment_at(i);
        if (strcmp(options->deployment, "all") == 0 ||
            strcmp(options->deployment, deployment->name) == 0) {
            descs[count++] =
                (rn_desc){.deployment = deployment,
                          .seed = (uint32_t)options->seed,
                          .scenarios = _selected_scenarios(options)};
        }
    }
    return count;
}

static uint32_t
_feature_bit(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(features); i++) {
        if (strcmp(features[i].name, name) == 0) {
            return features[i].bit;
        }
    }
    return UINT32_MAX;
}

static int
_run_measures(const bench_options *options)
{
    rn_desc descs[DEPLOYMENTS_MAX];
    rn_runs *runs[DEPLOYMENTS_MAX];
    g_autoptr(GArray) lines = g_array_new(FALSE, FALSE, sizeof(ms_line));
    uint32_t count = _describe_runs(options, descs);
    for (uint32_t i = 0; i < count; i++) {
        descs[i].disabled_features = _feature_bit(options->disabled_feature);
    }
    rn_create_all(descs, count, (uint32_t)options->threads, runs);
    for (uint32_t i = 0; i < count; i++) {
        for (uint32_t k = 0; k < ms_query_count(); k++) {
            if (_is_selected(options, ms_query_name(k))) {
                ms_line line = ms_query_line(k, runs[i]);
                g_array_append_val(lines, line);
            }
        }
        _print_violations(runs[i]);
        rn_destroy(runs[i]);
    }
    if (_is_selected(options, "cost")) {
        _add_cost(lines, options->seed);
    }
    uint32_t violations = 0;
    for (guint i = 0; i < lines->len; i++) {
        _print_line(&g_array_index(lines, ms_line, i), options->seed);
        violations += g_array_index(lines, ms_line, i).violations;
    }
    for (guint i = 0; i < lines->len; i++) {
        _print_target(&g_array_index(lines, ms_line, i), options->seed);
    }
    return violations > 0 ? EXIT_VIOLATIONS : 0;
}

/* -- ablation ------------------------------------------------------------- */

static void
_print_ablation(rn_runs *const *runs, const char *deployment)
{
    printf("\n%s:\n\n| part off |", deployment);
    for (uint32_t k = 0; k < ms_query_count(); k++) {
        printf(" %s |", ms_query_name(k));
    }
    printf("\n| --- |");
    for (uint32_t k = 0; k < ms_query_count(); k++) {
        printf(" --- |");
    }
    printf("\n");
    for (size_t i = 0; i < G_N_ELEMENTS(features); i++) {
        printf("| %s |", features[i].name);
        for (uint32_t k = 0; k < ms_query_count(); k++) {
            printf(" %.4g |", ms_query_ours(k, runs[i]));
        }
        printf("\n");
    }
}

static int
_run_ablation(const bench_options *options)
{
    rn_desc descs[DEPLOYMENTS_MAX];
    uint32_t count = _describe_runs(options, descs);
    for (uint32_t i = 0; i < count; i++) {
        rn_desc variants[G_N_ELEMENTS(features)];
        rn_runs *runs[G_N_ELEMENTS(features)];
        for (size_t k = 0; k < G_N_ELEMENTS(features); k++) {
            variants[k] = descs[i];
            variants[k].scenarios = (1u << AR_SCENARIO_NUM) - 1;
            variants[k].disabled_features = features[k].bit;
            variants[k].ours_only = true;
        }
        rn_create_all(variants, G_N_ELEMENTS(features),
                      (uint32_t)options->threads, runs);
        _print_ablation(runs, descs[i].deployment->name);
        for (size_t k = 0; k < G_N_ELEMENTS(features); k++) {
            _print_violations(runs[k]);
            rn_destroy(runs[k]);
        }
    }
    return 0;
}

/* -- options -------------------------------------------------------------- */

static void
_set_default(gchar **option, const char *value)
{
    if (*option == NULL) {
        *option = g_strdup(value);
    }
}

static bool
_is_valid(const bench_options *options)
{
    bool measure = strcmp(options->measure, "all") == 0 ||
                   strcmp(options->measure, "cost") == 0 ||
                   strcmp(options->measure, "ablation") == 0 ||
                   ms_query_index(options->measure) != UINT32_MAX;
    bool deployment = strcmp(options->deployment, "all") == 0 ||
                      ar_query_deployment(options->deployment) != NULL;
    return measure && deployment && options->threads >= 0 &&
           _feature_bit(options->disabled_feature) != UINT32_MAX;
}

int
main(int argc, char **argv)
{
    bench_options options = {.seed = 1};
    const GOptionEntry entries[] = {
        {"seed", 0, 0, G_OPTION_ARG_INT, &options.seed,
         "Seed of the random numbers", "N"},
        {"measure", 0, 0, G_OPTION_ARG_STRING, &options.measure,
         "Name of one measure, cost, ablation, or all", "NAME"},
        {"deployment", 0, 0, G_OPTION_ARG_STRING, &options.deployment,
         "trust, association, or all", "NAME"},
        {"part-off", 0, 0, G_OPTION_ARG_STRING, &options.disabled_feature,
         "Part of the policy to disable: none, placement, loads, routing, "
         "order, admission or stragglers",
         "NAME"},
        {"threads", 0, 0, G_OPTION_ARG_INT, &options.threads,
         "Number of parallel runs; 0: one for each processor", "N"},
        {0}};
    g_autoptr(GOptionContext) context = g_option_context_new(NULL);
    g_option_context_add_main_entries(context, entries, NULL);
    g_autoptr(GError) error = NULL;
    int code = EXIT_BAD_OPTIONS;
    bool parsed = g_option_context_parse(context, &argc, &argv, &error);
    _set_default(&options.measure, "all");
    _set_default(&options.deployment, "all");
    _set_default(&options.disabled_feature, "none");
    if (!parsed) {
        fprintf(stderr, "bench: %s\n", error->message);
    }
    else if (!_is_valid(&options)) {
        fprintf(stderr,
                "bench: unknown measure, deployment or part, or a negative "
                "number of threads\n");
    }
    else if (strcmp(options.measure, "ablation") == 0) {
        code = _run_ablation(&options);
    }
    else {
        code = _run_measures(&options);
    }
    g_free(options.measure);
    g_free(options.deployment);
    g_free(options.disabled_feature);
    return code;
}
