/*
 * Load and experiment tool: an open loop of drafts, look-ups and bookings
 * against daemons, or straight against stand-ins (--direct), with every
 * answer checked. Bounded in time and count. For tests; never installed.
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
    GOptionEntry where[] = {
        {"targets", 0, 0, G_OPTION_ARG_STRING, &chosen->targets,
         "Daemons, or engines with --direct", "URL,URL"},
        {"direct", 0, 0, G_OPTION_ARG_NONE, &chosen->direct,
         "Straight to stand-ins, without a daemon", NULL},
        {"services", 0, 0, G_OPTION_ARG_STRING, &chosen->services,
         "With --direct: services for calls", "URL,URL"},
        {"preload", 0, 0, G_OPTION_ARG_NONE, &chosen->preload,
         "With --direct: load all adapters first", NULL},
        {"check", 0, 0, G_OPTION_ARG_STRING, &chosen->check,
         "Services whose history is read at the end", "URL,URL"},
        {"secret", 0, 0, G_OPTION_ARG_STRING, &chosen->secret, "Key of a team",
         "KEY"},
        {"deadline-ms", 0, 0, G_OPTION_ARG_INT, &chosen->deadline_ms,
         "Deadline sent with each request (none)", "MS"},
        {"lookup", 0, 0, G_OPTION_ARG_STRING, &chosen->lookup,
         "Idempotent operation (lookup)", "NAME"},
        {"booking", 0, 0, G_OPTION_ARG_STRING, &chosen->booking,
         "Operation that runs at most once (booking)", "NAME"},
        {0},
    };
    GOptionEntry what[] = {
        {"seed", 0, 0, G_OPTION_ARG_INT64, &chosen->seed,
         "Seed of all choices (1)", "N"},
        {"seconds", 0, 0, G_OPTION_ARG_DOUBLE, &chosen->seconds,
         "Time of sending (10)", "S"},
        {"requests", 0, 0, G_OPTION_ARG_INT64, &chosen->requests_max,
         "Most requests (1000000)", "N"},
        {"rate", 0, 0, G_OPTION_ARG_DOUBLE, &chosen->rate,
         "Requests a second (10)", "N"},
        {"adapters", 0, 0, G_OPTION_ARG_INT, &chosen->adapters,
         "Adapters (64)", "N"},
        {"versions", 0, 0, G_OPTION_ARG_INT, &chosen->versions,
         "Versions of each adapter (1)", "N"},
        {"adapter-prefix", 0, 0, G_OPTION_ARG_STRING, &chosen->adapter_prefix,
         "Name of an adapter before its number (adapter-)", "TEXT"},
        {"key-prefix", 0, 0, G_OPTION_ARG_STRING, &chosen->key_prefix,
         "Key of a booking before its number (booking)", "TEXT"},
        {"zipf", 0, 0, G_OPTION_ARG_DOUBLE, &chosen->zipf,
         "Exponent of the adapters' popularity (1)", "N"},
        {"short-tokens", 0, 0, G_OPTION_ARG_INT, &chosen->short_tokens,
         "Mean tokens of a short draft (20)", "N"},
        {"long-tokens", 0, 0, G_OPTION_ARG_INT, &chosen->long_tokens,
         "Mean tokens of a long draft (400)", "N"},
        {"long-share", 0, 0, G_OPTION_ARG_DOUBLE, &chosen->long_share,
         "Long drafts, of drafts (0)", "0..1"},
        {"stream-share", 0, 0, G_OPTION_ARG_DOUBLE, &chosen->stream_share,
         "Streamed drafts, of drafts (0)", "0..1"},
        {"lookup-share", 0, 0, G_OPTION_ARG_DOUBLE, &chosen->lookup_share,
         "Look-ups, of requests (0)", "0..1"},
        {"booking-share", 0, 0, G_OPTION_ARG_DOUBLE, &chosen->booking_share,
         "Bookings, of requests (0)", "0..1"},
        {"resend-share", 0, 0, G_OPTION_ARG_DOUBLE, &chosen->resend_share,
         "Bookings sent again elsewhere, of bookings (0)", "0..1"},
        {0},
    };
    g_autoptr(GOptionContext) context = g_option_context_new(NULL);
    g_option_context_add_main_entries(context, where, NULL);
    g_option_context_add_main_entries(context, what, NULL);
    g_autoptr(GError) error = NULL;
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        g_printerr("lacewing-load: %s\n", error->message);
        return false;
    }
    bool needs_services = chosen->direct && !chosen->services &&
                          chosen->lookup_share + chosen->booking_share > 0;
    if (!chosen->targets || needs_services) {
        g_printerr("lacewing-load: --targets, and --services for calls "
                   "with --direct\n");
        return false;
    }
    return true;
}

static uint32_t
count(gint64 number)
{
    return (uint32_t)CLAMP(number, 0, UINT32_MAX);
}

static wl_desc
describe_work(const options *chosen)
{
    return (wl_desc){
        .seed = (uint64_t)MAX(chosen->seed, 0),
        .rate = chosen->rate,
        .adapters = count(chosen->adapters),
        .versions = count(chosen->versions),
        .zipf = chosen->zipf,
        .prefix = chosen->adapter_prefix,
        .key_prefix = chosen->key_prefix,
        .short_tokens = count(chosen->short_tokens),
        .long_tokens = count(chosen->long_tokens),
        .long_share = chosen->long_share,
        .stream_share = chosen->stream_share,
        .lookup_share = chosen->lookup_share,
        .booking_share = chosen->booking_share,
        .resend_share = chosen->resend_share,
    };
}

static char **
split(const char *urls)
{
    return g_strsplit(urls ? urls : "", ",", -1);
}

static int
carry_out(const options *chosen)
{
    g_auto(GStrv) targets = split(chosen->targets);
    g_auto(GStrv) services = split(chosen->services);
    g_auto(GStrv) check = split(chosen->check);
    lo_run *run = lo_create(&(lo_desc){
        .work = describe_work(chosen),
        .targets = (const char *const *)targets,
        .services = (const char *const *)services,
        .direct = chosen->direct,
        .seconds = chosen->seconds,
        .requests_max = (uint64_t)MAX(chosen->requests_max, 0),
        .deadline_ms = count(chosen->deadline_ms),
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
    bool sound = checked && lo_query_violations(run) == 0;
    if (!checked) {
        g_printerr("lacewing-load: a history could not be read\n");
    }
    lo_destroy(run);
    return sound ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main(int argc, char **argv)
{
    options chosen = {0};
    return parse(argc, argv, &chosen) ? carry_out(&chosen) : EXIT_FAILURE;
}
