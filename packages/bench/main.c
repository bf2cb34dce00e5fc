/*
 * lacewing-bench: the measures of docs/MEASURES.md in virtual time.
 *
 *     lacewing-bench --seed 7 --measure all --deployment trust
 *
 * Ends with 0 unless a violation was counted (1) or an option is wrong (2).
 */
#include "cost.h"
#include "measures.h"
#include <glib.h>
#include <stdio.h>
#include <string.h>

#define DEPLOYMENTS_MOST 8
#define FAILED_VIOLATIONS 1
#define FAILED_OPTIONS 2

typedef struct bench_options {
    gint seed;
    gchar *measure;
    gchar *deployment;
    gchar *part_off;
    gint threads;
} bench_options;

typedef struct bench_part {
    const char *name;
    uint32_t bit;
} bench_part;

static const bench_part parts[] = {
    {"none", 0},
    {"placement", LWD_FEATURE_PLACEMENT},
    {"loads", LWD_FEATURE_LOADS},
    {"routing", LWD_FEATURE_ROUTING},
    {"order", LWD_FEATURE_ORDER},
    {"admission", LWD_FEATURE_ADMISSION},
    {"stragglers", LWD_FEATURE_STRAGGLERS},
};

/* -- lines -----------------------------------------------------------------
 */

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
               line->met ? "met" : "missed", line->measure, line->deployment,
               seed);
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

/* -- cost ------------------------------------------------------------------
 */

static const uint32_t cost_servers[] = {22, 120, 600};
static const uint32_t cost_adapters[] = {3000, 13000};
#define COST_TARGET_SERVERS 120
#define COST_TARGET_US 10.0

static void
_add_cost_line(GArray *lines, const char *figure, const co_desc *desc,
               double baseline, double ours)
{
    g_autofree char *name =
        g_strdup_printf("%s_s%u_a%u", figure, desc->servers, desc->adapters);
    ms_line line = {.measure = g_intern_string(name),
                    .deployment = "all",
                    .baseline = baseline,
                    .ours = ours,
                    .ratio = ms_query_ratio(baseline, ours)};
    bool timed = strcmp(figure, "cost_us") == 0;
    line.has_target = timed && desc->servers == COST_TARGET_SERVERS;
    line.met = ours < COST_TARGET_US;
    g_array_append_val(lines, line);
}

/* The time at most servers over that at fewest, against their numbers. */
static void
_add_growth_line(GArray *lines, uint32_t adapters, const double us[2])
{
    g_autofree char *name = g_strdup_printf("cost_growth_a%u", adapters);
    ms_line line = {.measure = g_intern_string(name),
                    .deployment = "all",
                    .baseline = (double)cost_servers[2] / cost_servers[0],
                    .ours = us[1] / us[0],
                    .has_target = true};
    line.ratio = ms_query_ratio(line.baseline, line.ours);
    line.met = line.ratio < 1;
    g_array_append_val(lines, line);
}

static void
_add_cost(GArray *lines, gint seed)
{
    for (size_t a = 0; a < G_N_ELEMENTS(cost_adapters); a++) {
        double us[2] = {0};
        for (size_t s = 0; s < G_N_ELEMENTS(cost_servers); s++) {
            co_desc desc = {.servers = cost_servers[s],
                            .adapters = cost_adapters[a],
                            .seed = (uint32_t)seed,
                            .policy = WD_POLICY_BASELINE};
            co_figures baseline = co_query(&desc);
            desc.policy = WD_POLICY_OURS;
            co_figures ours = co_query(&desc);
            us[s == 0 ? 0 : 1] = ours.us;
            _add_cost_line(lines, "cost_us", &desc, baseline.us, ours.us);
            _add_cost_line(lines, "cost_bytes", &desc, baseline.bytes,
                           ours.bytes);
            _add_cost_line(lines, "cost_instance_bytes", &desc,
                           baseline.instance_bytes, ours.instance_bytes);
        }
        _add_growth_line(lines, cost_adapters[a], us);
    }
}

/* -- measures --------------------------------------------------------------
 */

static bool
_wants(const bench_options *options, const char *measure)
{
    return strcmp(options->measure, "all") == 0 ||
           strcmp(options->measure, measure) == 0;
}

static uint32_t
_scenarios(const bench_options *options)
{
    uint32_t scenarios = 0;
    for (uint32_t i = 0; i < ms_query_count(); i++) {
        if (_wants(options, ms_query_name(i))) {
            scenarios |= ms_query_scenarios(i);
        }
    }
    return scenarios;
}

static uint32_t
_describe(const bench_options *options, rn_desc *descs)
{
    uint32_t count = 0;
    for (uint32_t i = 0; ar_query_deployment_at(i) != NULL; i++) {
        const ar_deployment *deployment = ar_query_deployment_at(i);
        if (strcmp(options->deployment, "all") == 0 ||
            strcmp(options->deployment, deployment->name) == 0) {
            descs[count++] = (rn_desc){.deployment = deployment,
                                       .seed = (uint32_t)options->seed,
                                       .scenarios = _scenarios(options)};
        }
    }
    return count;
}

static uint32_t
_part_bit(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
        if (strcmp(parts[i].name, name) == 0) {
            return parts[i].bit;
        }
    }
    return UINT32_MAX;
}

static int
_measure(const bench_options *options)
{
    rn_desc descs[DEPLOYMENTS_MOST];
    rn_runs *runs[DEPLOYMENTS_MOST];
    g_autoptr(GArray) lines = g_array_new(FALSE, FALSE, sizeof(ms_line));
    uint32_t count = _describe(options, descs);
    for (uint32_t i = 0; i < count; i++) {
        descs[i].parts_off = _part_bit(options->part_off);
    }
    rn_create_all(descs, count, (uint32_t)options->threads, runs);
    for (uint32_t i = 0; i < count; i++) {
        for (uint32_t k = 0; k < ms_query_count(); k++) {
            if (_wants(options, ms_query_name(k))) {
                ms_line line = ms_query_line(k, runs[i]);
                g_array_append_val(lines, line);
            }
        }
        _print_violations(runs[i]);
        rn_destroy(runs[i]);
    }
    if (_wants(options, "cost")) {
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
    return violations > 0 ? FAILED_VIOLATIONS : 0;
}

/* -- ablation --------------------------------------------------------------
 */

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
    for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
        printf("| %s |", parts[i].name);
        for (uint32_t k = 0; k < ms_query_count(); k++) {
            printf(" %.4g |", ms_query_ours(k, runs[i]));
        }
        printf("\n");
    }
}

static int
_ablation(const bench_options *options)
{
    rn_desc descs[DEPLOYMENTS_MOST];
    uint32_t count = _describe(options, descs);
    for (uint32_t i = 0; i < count; i++) {
        rn_desc variants[G_N_ELEMENTS(parts)];
        rn_runs *runs[G_N_ELEMENTS(parts)];
        for (size_t k = 0; k < G_N_ELEMENTS(parts); k++) {
            variants[k] = descs[i];
            variants[k].scenarios = (1u << AR_SCENARIO_NUM) - 1;
            variants[k].parts_off = parts[k].bit;
            variants[k].ours_only = true;
        }
        rn_create_all(variants, G_N_ELEMENTS(parts),
                      (uint32_t)options->threads, runs);
        _print_ablation(runs, descs[i].deployment->name);
        for (size_t k = 0; k < G_N_ELEMENTS(parts); k++) {
            _print_violations(runs[k]);
            rn_destroy(runs[k]);
        }
    }
    return 0;
}

/* -- options ---------------------------------------------------------------
 */

static void
_default_to(gchar **option, const char *value)
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
           _part_bit(options->part_off) != UINT32_MAX;
}

int
main(int argc, char **argv)
{
    bench_options options = {.seed = 1};
    const GOptionEntry entries[] = {
        {"seed", 0, 0, G_OPTION_ARG_INT, &options.seed, "Seed", "N"},
        {"measure", 0, 0, G_OPTION_ARG_STRING, &options.measure,
         "One measure, cost, ablation, or all", "NAME"},
        {"deployment", 0, 0, G_OPTION_ARG_STRING, &options.deployment,
         "trust, association, or all", "NAME"},
        {"part-off", 0, 0, G_OPTION_ARG_STRING, &options.part_off,
         "Switch off one part of the decisions", "NAME"},
        {"threads", 0, 0, G_OPTION_ARG_INT, &options.threads,
         "Runs at once; 0: one for each processor", "N"},
        {0}};
    g_autoptr(GOptionContext) context = g_option_context_new(NULL);
    g_option_context_add_main_entries(context, entries, NULL);
    g_autoptr(GError) error = NULL;
    int code = FAILED_OPTIONS;
    bool parsed = g_option_context_parse(context, &argc, &argv, &error);
    _default_to(&options.measure, "all");
    _default_to(&options.deployment, "all");
    _default_to(&options.part_off, "none");
    if (!parsed) {
        fprintf(stderr, "bench: %s\n", error->message);
    }
    else if (!_is_valid(&options)) {
        fprintf(stderr, "bench: no such measure, deployment or part\n");
    }
    else if (strcmp(options.measure, "ablation") == 0) {
        code = _ablation(&options);
    }
    else {
        code = _measure(&options);
    }
    g_free(options.measure);
    g_free(options.deployment);
    g_free(options.part_off);
    return code;
}
