/*
 * lacewing-load: a load generator for tests and experiments; never installed.
 *
 * Sends an open loop of drafts, lookups and bookings to daemons, or directly
 * to stand-ins (--direct), checks each answer, and prints latencies and a
 * summary. Sending stops after a given time or number of requests. The exit
 * code is 1 if an answer was lost or wrong, if a booking ran twice, ran
 * despite "not_run" or got differing answers, or if a history can't be read.
 */
#include "load_run.h"
#include <glib.h>
#include <stdlib.h>

typedef struct options {
    char *targets;
    char *services;
    char *check;
    char *secret;
    char *lookup;
    char *booking;
    char *adapter_prefix;
    char *key_prefix;
    gboolean direct;
    gboolean preload;
    double seconds;
    gint64 requests_max;
    int deadline_ms;
    gint64 seed;
    double rate;
    int adapters;
    int versions;
    double zipf;
    int short_tokens;
    int long_tokens;
    double long_share;
    double stream_share;
    double lookup_share;
    double booking_share;
    double resend_share;
} options;

static bool
parse(int argc, char **argv, options *chosen)
{
    GOptionEntry target_options[] = {
        {"targets", 0, 0, G_OPTION_ARG_STRING, &chosen->targets,
         "Daemons; with --direct: engines", "URL,URL"},
        {"direct", 0, 0, G_OPTION_ARG_NONE, &chosen->direct,
         "Send directly to stand-ins, without a daemon", NULL},
        {"services", 0, 0, G_OPTION_ARG_STRING, &chosen->services,
         "With --direct: services that receive the calls", "URL,URL"},
        {"preload", 0, 0, G_OPTION_ARG_NONE, &chosen->preload,
         "With --direct: load all adapters before sending", NULL},
        {"check", 0, 0, G_OPTION_ARG_STRING, &chosen->check,
         "Services whose history is compared with the answers at the end",
         "URL,URL"},
        {"secret", 0, 0, G_OPTION_ARG_STRING, &chosen->secret,
         "Key of a team for the Authorization header (none)", "KEY"},
        {"deadline-ms", 0, 0, G_OPTION_ARG_INT, &chosen->deadline_ms,
         "Deadline of each request in ms (none)", "MS"},
        {"lookup", 0, 0, G_OPTION_ARG_STRING, &chosen->lookup,
         "Name of the idempotent operation (lookup)", "NAME"},
        {"booking", 0, 0, G_OPTION_ARG_STRING, &chosen->booking,
         "Name of the operation that runs at most once (booking)", "NAME"},
        {0},
    };
    GOptionEntry workload_options[] = {
        {"seed", 0, 0, G_OPTION_ARG_INT64, &chosen->seed,
         "Seed of all random numbers (1)", "N"},
        {"seconds", 0, 0, G_OPTION_ARG_DOUBLE, &chosen->seconds,
         "Duration of sending in seconds (10)", "S"},
        {"requests", 0, 0, G_OPTION_ARG_INT64, &chosen->requests_max,
         "Maximum number of requests (1000000)", "N"},
        {"rate", 0, 0, G_OPTION_ARG_DOUBLE, &chosen->rate,
         "Requests per second (10)", "N"},
        {"adapters", 0, 0, G_OPTION_ARG_INT, &chosen->adapters,
         "Number of adapters (64)", "N"},
        {"versions", 0, 0, G_OPTION_ARG_INT, &chosen->versions,
         "Number of versions of each adapter (1)", "N"},
        {"adapter-prefix", 0, 0, G_OPTION_ARG_STRING, &chosen->adapter_prefix,
         "Prefix of the adapters' names (adapter-)", "TEXT"},
        {"key-prefix", 0, 0, G_OPTION_ARG_STRING, &chosen->key_prefix,
         "Prefix of the bookings' keys (booking)", "TEXT"},
        {"zipf", 0, 0, G_OPTION_ARG_DOUBLE, &chosen->zipf,
         "Zipf exponent of the adapters' popularity (1)", "N"},
        {"short-tokens", 0, 0, G_OPTION_ARG_INT, &chosen->short_tokens,
         "Mean max_tokens of a short draft (20)", "N"},
        {"long-tokens", 0, 0, G_OPTION_ARG_INT, &chosen->long_tokens,
         "Mean max_tokens of a long draft (400)", "N"},
        {"long-share", 0, 0, G_OPTION_ARG_DOUBLE, &chosen->long_share,
         "Share of long drafts among drafts (0)", "0..1"},
        {"stream-share", 0, 0, G_OPTION_ARG_DOUBLE, &chosen->stream_share,
         "Share of streamed drafts among drafts (0)", "0..1"},
        {"lookup-share", 0, 0, G_OPTION_ARG_DOUBLE, &chosen->lookup_share,
         "Share of lookups among requests (0)", "0..1"},
        {"booking-share", 0, 0, G_OPTION_ARG_DOUBLE, &chosen->booking_share,
         "Share of bookings among requests (0)", "0..1"},
        {"resend-share", 0, 0, G_OPTION_ARG_DOUBLE, &chosen->resend_share,
         "Share of bookings that are sent again to another target (0)",
         "0..1"},
        {0},
    };
    g_autoptr(GOptionContext) context = g_option_context_new(NULL);
    g_option_context_add_main_entries(context, target_options, NULL);
    g_option_context_add_main_entries(context, workload_options, NULL);
    g_autoptr(GError) error = NULL;
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        g_printerr("lacewing-load: %s\n", error->message);
        return false;
    }
    bool needs_services = chosen->direct && !chosen->services &&
                          chosen->lookup_share + chosen->booking_share > 0;
    if (!chosen->targets || needs_services) {
        g_printerr("lacewing-load: --targets is required, and --services too "
                   "for calls with --direct\n");
        return false;
    }
    return true;
}

static uint32_t
to_count(gint64 number)
{
    return (uint32_t)CLAMP(number, 0, UINT32_MAX);
}

static wl_desc
describe_work(const options *chosen)
{
    return (wl_desc){
        .seed = (uint64_t)MAX(chosen->seed, 0),
        .rate = chosen->rate,
        .adapters = to_count(chosen->adapters),
        .versions = to_count(chosen->versions),
        .zipf = chosen->zipf,
        .prefix = chosen->adapter_prefix,
        .key_prefix = chosen->key_prefix,
        .short_tokens = to_count(chosen->short_tokens),
        .long_tokens = to_count(chosen->long_tokens),
        .long_share = chosen->long_share,
        .stream_share = chosen->stream_share,
        .lookup_share = chosen->lookup_share,
        .booking_share = chosen->booking_share,
        .resend_share = chosen->resend_share,
    };
}

static char **
split_urls(const char *urls)
{
    return g_strsplit(urls ? urls : "", ",", -1);
}

static int
run_load(const options *chosen)
{
    g_auto(GStrv) targets = split_urls(chosen->targets);
    g_auto(GStrv) services = split_urls(chosen->services);
    g_auto(GStrv) check = split_urls(chosen->check);
    lo_run *run = lo_create(&(lo_desc){
        .work = describe_work(chosen),
        .targets = (const char *const *)targets,
        .services = (const char *const *)services,
        .direct = chosen->direct,
        .seconds = chosen->seconds,
        .requests_max = (uint64_t)MAX(chosen->requests_max, 0),
        .deadline_ms = to_count(chosen->deadline_ms),
        .secret = chosen->secret,
        .lookup = chosen->lookup,
        .booking = chosen->booking,
    });
    if (chosen->preload) {
        lo_preload(run);
    }
    lo_execute(run);
    bool checked = lo_check_bookings(run, (const char *const *)check);
    lo_print(run);
    bool passed = checked && lo_query_violations(run) == 0;
    if (!checked) {
        g_printerr(
            "lacewing-load: the history of a service of --check can't be "
            "read\n");
    }
    lo_destroy(run);
    return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main(int argc, char **argv)
{
    options chosen = {0};
    return parse(argc, argv, &chosen) ? run_load(&chosen) : EXIT_FAILURE;
}
