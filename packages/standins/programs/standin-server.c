/*
 * standin-server.c: the stand-in for a backend server as a program.
 *
 * It is a model engine or a plain service (docs/BACKEND_API.md), and
 * injects faults on orders to POST /control (src/shell.h, src/server_api.h).
 * For tests; not installed.
 *
 *     lacewing-standin-server --kind engine --listen 127.0.0.1:0
 *         --port-file PATH --platform URL --name s1 --zone zone-a
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
    int prefill_tokens_per_s;
    int cold_start_ms;
    int load_ms;
    int report_lag_ms;
    int call_ms;
} options;

static bool
parse_options(int argc, char **argv, options *chosen)
{
    GOptionEntry entries[] = {
        {"kind", 0, 0, G_OPTION_ARG_STRING, &chosen->kind,
         "Kind of server: engine (default) or service", "KIND"},
        {"listen", 0, 0, G_OPTION_ARG_STRING, &chosen->listen,
         "Address and port to listen on; port 0 takes a free one",
         "ADDRESS:PORT"},
        {"port-file", 0, 0, G_OPTION_ARG_FILENAME, &chosen->port_file,
         "Write the port number to this file", "PATH"},
        {"history", 0, 0, G_OPTION_ARG_FILENAME, &chosen->history,
         "Append the history to this file", "PATH"},
        {"platform", 0, 0, G_OPTION_ARG_STRING, &chosen->platform,
         "Platform for weights and the list of instances (default none)",
         "URL"},
        {"name", 0, 0, G_OPTION_ARG_STRING, &chosen->name,
         "Name in the list of instances (default server)", "NAME"},
        {"zone", 0, 0, G_OPTION_ARG_STRING, &chosen->zone,
         "Availability zone (default zone)", "ZONE"},
        {"fence", 0, 0, G_OPTION_ARG_STRING, &chosen->fence,
         "Fencing numbers: check or ignore (default)", "MODE"},
        {"max-seconds", 0, 0, G_OPTION_ARG_INT, &chosen->max_seconds,
         "Exit after this many seconds (default 600)", "S"},
        {"slots", 0, 0, G_OPTION_ARG_INT, &chosen->slots,
         "Requests that run at once (default 16)", "N"},
        {"adapter-slots", 0, 0, G_OPTION_ARG_INT, &chosen->adapter_slots,
         "Adapters resident or loading at once (default 16)", "N"},
        {"tokens-per-s", 0, 0, G_OPTION_ARG_INT, &chosen->tokens_per_s,
         "Tokens per second of a request that runs alone (default 40)", "N"},
        {"slowdown-pct", 0, 0, G_OPTION_ARG_INT, &chosen->slowdown_pct,
         "Percent added to a step per further request (default 3)", "PCT"},
        {"prefill-per-s", 0, 0, G_OPTION_ARG_INT,
         &chosen->prefill_tokens_per_s,
         "Prompt tokens read per second (default 4000)", "N"},
        {"cold-ms", 0, 0, G_OPTION_ARG_INT, &chosen->cold_start_ms,
         "Duration of the cold start after a restart (default 1500)", "MS"},
        {"load-ms", 0, 0, G_OPTION_ARG_INT, &chosen->load_ms,
         "Duration of an adapter load without a platform (default 250)", "MS"},
        {"report-lag-ms", 0, 0, G_OPTION_ARG_INT, &chosen->report_lag_ms,
         "Age of load reports (default 500)", "MS"},
        {"service-ms", 0, 0, G_OPTION_ARG_INT, &chosen->call_ms,
         "Duration of a call to a plain service (default 20)", "MS"},
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

/* Negative numbers count as 0, which stands for the default. */
static uint32_t
non_negative(int number)
{
    return (uint32_t)MAX(number, 0);
}

static sv_desc
server_desc(const options *chosen)
{
    return (sv_desc){
        .shell = {.listen = chosen->listen,
                  .port_file = chosen->port_file,
                  .history = chosen->history,
                  .max_seconds = non_negative(chosen->max_seconds)},
        .kind =
            g_strcmp0(chosen->kind, "service") == 0 ? SV_SERVICE : SV_ENGINE,
        .platform = chosen->platform,
        .name = chosen->name,
        .zone = chosen->zone,
        .check_fence = g_strcmp0(chosen->fence, "check") == 0,
        .load_ms = non_negative(chosen->load_ms),
        .report_lag_ms = non_negative(chosen->report_lag_ms),
        .call_ms = non_negative(chosen->call_ms),
        .engine = {.slots = non_negative(chosen->slots),
                   .adapter_slots = non_negative(chosen->adapter_slots),
                   .tokens_per_s = non_negative(chosen->tokens_per_s),
                   .slowdown_pct = non_negative(chosen->slowdown_pct),
                   .prefill_tokens_per_s =
                       non_negative(chosen->prefill_tokens_per_s),
                   .cold_start_ms = non_negative(chosen->cold_start_ms)},
    };
}

int
main(int argc, char **argv)
{
    options chosen = {0};
    if (!parse_options(argc, argv, &chosen)) {
        return EXIT_FAILURE;
    }
    sv_desc desc = server_desc(&chosen);
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
