/*
 * Stand-in for a backend server: a model engine or a plain service
 * (docs/BACKEND_API.md), and orders to fail (src/shell.h, src/server_api.h).
 * For tests; never installed.
 */
#include "server_api.h"
#include <stdlib.h>

typedef struct options {
    char *kind;
    char *listen;
    char *port_file;
    char *history;
    char *platform;
    char *name;
    char *zone;
    char *fence;
    int max_seconds;
    int slots;
    int adapter_slots;
    int tokens_per_s;
    int slowdown_pct;
    int prefill_per_s;
    int cold_ms;
    int load_ms;
    int report_lag_ms;
    int service_ms;
} options;

static bool
parse(int argc, char **argv, options *chosen)
{
    GOptionEntry entries[] = {
        {"kind", 0, 0, G_OPTION_ARG_STRING, &chosen->kind,
         "engine (default) or service", "KIND"},
        {"listen", 0, 0, G_OPTION_ARG_STRING, &chosen->listen,
         "Address and port; port 0 takes any", "ADDRESS:PORT"},
        {"port-file", 0, 0, G_OPTION_ARG_FILENAME, &chosen->port_file,
         "File that gets the port", "PATH"},
        {"history", 0, 0, G_OPTION_ARG_FILENAME, &chosen->history,
         "Append the history to this file", "PATH"},
        {"platform", 0, 0, G_OPTION_ARG_STRING, &chosen->platform,
         "Stand-in platform: weights, list of instances", "URL"},
        {"name", 0, 0, G_OPTION_ARG_STRING, &chosen->name, "Name", "NAME"},
        {"zone", 0, 0, G_OPTION_ARG_STRING, &chosen->zone, "Availability zone",
         "ZONE"},
        {"fence", 0, 0, G_OPTION_ARG_STRING, &chosen->fence,
         "check or ignore (default) fencing numbers", "MODE"},
        {"max-seconds", 0, 0, G_OPTION_ARG_INT, &chosen->max_seconds,
         "End after this time (600)", "S"},
        {"slots", 0, 0, G_OPTION_ARG_INT, &chosen->slots,
         "Requests that run at once (16)", "N"},
        {"adapter-slots", 0, 0, G_OPTION_ARG_INT, &chosen->adapter_slots,
         "Adapters held at once (16)", "N"},
        {"tokens-per-s", 0, 0, G_OPTION_ARG_INT, &chosen->tokens_per_s,
         "Speed of one request alone (40)", "N"},
        {"slowdown-pct", 0, 0, G_OPTION_ARG_INT, &chosen->slowdown_pct,
         "Longer step for each further request (3)", "PCT"},
        {"prefill-per-s", 0, 0, G_OPTION_ARG_INT, &chosen->prefill_per_s,
         "Prompt tokens read a second (4000)", "N"},
        {"cold-ms", 0, 0, G_OPTION_ARG_INT, &chosen->cold_ms,
         "Cold start after a restart (1500)", "MS"},
        {"load-ms", 0, 0, G_OPTION_ARG_INT, &chosen->load_ms,
         "Time of a load without a platform (250)", "MS"},
        {"report-lag-ms", 0, 0, G_OPTION_ARG_INT, &chosen->report_lag_ms,
         "Lag of load reports (500)", "MS"},
        {"service-ms", 0, 0, G_OPTION_ARG_INT, &chosen->service_ms,
         "Time of a call of a service (20)", "MS"},
        {0},
    };
    g_autoptr(GOptionContext) context = g_option_context_new(NULL);
    g_option_context_add_main_entries(context, entries, NULL);
    g_autoptr(GError) error = NULL;
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        g_printerr("lacewing-standin-server: %s\n", error->message);
        return false;
    }
    return true;
}

static uint32_t
count(int number)
{
    return (uint32_t)MAX(number, 0);
}

static sv_desc
describe(const options *chosen)
{
    return (sv_desc){
        .shell = {.listen = chosen->listen,
                  .port_file = chosen->port_file,
                  .history = chosen->history,
                  .max_seconds = count(chosen->max_seconds)},
        .kind =
            g_strcmp0(chosen->kind, "service") == 0 ? SV_SERVICE : SV_ENGINE,
        .platform = chosen->platform,
        .name = chosen->name,
        .zone = chosen->zone,
        .check_fence = g_strcmp0(chosen->fence, "check") == 0,
        .load_ms = count(chosen->load_ms),
        .report_lag_ms = count(chosen->report_lag_ms),
        .service_ms = count(chosen->service_ms),
        .engine = {.slots = count(chosen->slots),
                   .adapter_slots = count(chosen->adapter_slots),
                   .tokens_per_s = count(chosen->tokens_per_s),
                   .slowdown_pct = count(chosen->slowdown_pct),
                   .prefill_per_s = count(chosen->prefill_per_s),
                   .cold_ms = count(chosen->cold_ms)},
    };
}

int
main(int argc, char **argv)
{
    options chosen = {0};
    if (!parse(argc, argv, &chosen)) {
        return EXIT_FAILURE;
    }
    sv_desc desc = describe(&chosen);
    er_status status = {0};
    sv_server *server = sv_create(&desc, &status);
    if (!server) {
        g_printerr("lacewing-standin-server: %s\n", status.message);
        return EXIT_FAILURE;
    }
    sv_run(server);
    sv_destroy(server);
    return EXIT_SUCCESS;
}
