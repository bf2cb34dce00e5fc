/*
 * lacewing-chaos: one run of a mix of faults against real processes.
 *
 * Starts the stand-ins and three daemons in two zones, then runs callers,
 * concurrent operators and the faults of a plan at the same time. Records what
 * happened, checks the history (checker.h) and prints the findings. The last
 * line of output holds the counts as name=value. The exit code is 0 if there
 * were calls, every history file could be read and no violation was found.
 *
 *     lacewing-chaos --seed 3 --bin build/bin
 */
#include "checker.h"
#include "faults.h"
#include "lacewing/hash.h"
#include "operators.h"
#include "reader.h"
#include "shop.h"
#include <stdlib.h>

#define READY_TIMEOUT_MS 20000
#define RUN_MS 30000

typedef struct options {
    gint64 seed;
    char *bin;
    gboolean verbose;
} options;

static const char *const servers[] = {"e1", "e2", "e3", "e4", "s1", "s2"};

static bool
start_fleet(hn_fleet *fleet)
{
    g_autofree char *shop = sp_config_text();
    g_autofree char *key = hs_sha256(OP_KEY);
    g_autofree char *config =
        g_strdup_printf("%s[team operators]\nkeys = operator:%s\n", shop, key);
    sp_add_members(fleet);
    return hn_start(fleet, config) && hn_wait_ready(fleet, READY_TIMEOUT_MS);
}

static void *
run_faults(void *data)
{
    ft_run(data);
    return NULL;
}

static void
run_workload(hn_fleet *fleet, rc_record *record, uint64_t seed)
{
    g_autoptr(GArray) steps = pn_create(seed, RUN_MS);
    cr_callers *callers =
        cr_create(&(cr_desc){.fleet = fleet, .record = record, .seed = seed});
    op_operators *operators = op_start(fleet, record);
    ft_desc faults = {
        .fleet = fleet, .record = record, .callers = callers, .steps = steps};
    GThread *thread = g_thread_new("faults", run_faults, &faults);
    cr_run(callers, RUN_MS);
    g_thread_join(thread);
    op_stop(operators);
    op_finish(operators);
    cr_print_answers(callers);
    cr_destroy(callers);
}

static void
print_report(const hk_report *report, uint64_t seed)
{
    for (guint i = 0; i < report->findings->len; i++) {
        g_print("chaos: found: %s\n",
                (const char *)g_ptr_array_index(report->findings, i));
    }
    g_print("chaos: also: lost=%" G_GUINT64_FORMAT
            " differing=%" G_GUINT64_FORMAT
            " leaving_served=%" G_GUINT64_FORMAT "\n",
            report->counts[HK_LOST], report->counts[HK_DIFFERING],
            report->counts[HK_LEAVING_SERVED]);
    g_print("chaos: not checked: whether refusals as run or unknown are "
            "true; runs of a service that crashed before recording them\n");
    double share =
        report->calls ? (double)report->in_time / (double)report->calls : 0.0;
    g_print("chaos: seed=%" G_GUINT64_FORMAT " calls=%" G_GUINT64_FORMAT
            " faults=%" G_GUINT64_FORMAT,
            seed, report->calls, report->faults);
    for (int i = HK_DOUBLED; i <= HK_REVERTED; i++) {
        g_print(" %s=%" G_GUINT64_FORMAT,
                hk_query_violation_name((hk_violation)i), report->counts[i]);
    }
    g_print(" answered_in_time=%.2f\n", share);
}

static bool
check_history(hn_fleet *fleet, rc_record *record, uint64_t seed)
{
    bool all_read = true;
    for (size_t i = 0; i < G_N_ELEMENTS(servers); i++) {
        const char *file = hn_query_history(hn_find(fleet, servers[i]));
        all_read = rd_add_file(record->history, servers[i], file) && all_read;
    }
    hk_report report;
    hk_check(record->history, &report);
    print_report(&report, seed);
    bool passed =
        all_read && report.calls && hk_query_violation_total(&report) == 0;
    hk_clear_report(&report);
    return passed;
}

static int
run_and_check(const options *opts)
{
    rc_record record;
    rc_setup(&record);
    hn_fleet *fleet =
        hn_create(&(hn_desc){.bin = opts->bin, .verbose = opts->verbose});
    uint64_t seed = (uint64_t)opts->seed;
    bool passed = false;
    if (start_fleet(fleet)) {
        run_workload(fleet, &record, seed);
        passed = check_history(fleet, &record, seed);
    }
    hn_destroy(fleet);
    rc_shutdown(&record);
    return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main(int argc, char **argv)
{
    options opts = {.seed = 1};
    GOptionEntry entries[] = {
        {"seed", 0, 0, G_OPTION_ARG_INT64, &opts.seed,
         "Seed of the faults and the workload (default 1)", "N"},
        {"bin", 0, 0, G_OPTION_ARG_FILENAME, &opts.bin,
         "Directory of the programs to start", "DIR"},
        {"verbose", 0, 0, G_OPTION_ARG_NONE, &opts.verbose,
         "Show the logs of the processes", NULL},
        {0},
    };
    g_autoptr(GOptionContext) context = g_option_context_new(NULL);
    g_option_context_add_main_entries(context, entries, NULL);
    g_autoptr(GError) error = NULL;
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        g_printerr("lacewing-chaos: %s\n", error->message);
        return EXIT_FAILURE;
    }
    return run_and_check(&opts);
}
