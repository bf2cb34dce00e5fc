/*
 * standin-platform.c: the stand-in for the platform as a program.
 *
 * It serves the table, the objects, the weight fetches and the list of
 * instances (docs/PLATFORM_API.md), and injects faults on orders to POST
 * /control (src/shell.h, src/platform_api.h). For tests; not installed.
 *
 *     lacewing-standin-platform --listen 127.0.0.1:0 --port-file PATH
 *         --instance s1,zone-a,127.0.0.1:9001,server
 */
#include "platform_api.h"
#include <stdlib.h>

typedef struct options {
    char *listen;
    char *port_file;
    char *history;
    int max_seconds;
    double fetches_per_s;
    int loads_at_once;
    int load_ms;
    char **instances;
} options;

static bool
parse_options(int argc, char **argv, options *chosen)
{
    GOptionEntry entries[] = {
        {"listen", 0, 0, G_OPTION_ARG_STRING, &chosen->listen,
         "Address and port to listen on; port 0 takes a free one",
         "ADDRESS:PORT"},
        {"port-file", 0, 0, G_OPTION_ARG_FILENAME, &chosen->port_file,
         "Write the port number to this file", "PATH"},
        {"history", 0, 0, G_OPTION_ARG_FILENAME, &chosen->history,
         "Append the history to this file", "PATH"},
        {"max-seconds", 0, 0, G_OPTION_ARG_INT, &chosen->max_seconds,
         "Exit after this many seconds (default 600)", "S"},
        {"loads-per-s", 0, 0, G_OPTION_ARG_DOUBLE, &chosen->fetches_per_s,
         "Weight fetches allowed per second (default 6)", "N"},
        {"loads-at-once", 0, 0, G_OPTION_ARG_INT, &chosen->loads_at_once,
         "Weight fetches that may begin together (default 2)", "N"},
        {"load-ms", 0, 0, G_OPTION_ARG_INT, &chosen->load_ms,
         "Duration of one weight fetch (default 250)", "MS"},
        {"instance", 0, 0, G_OPTION_ARG_STRING_ARRAY, &chosen->instances,
         "Entry of the list of instances; can be repeated",
         "NAME,ZONE,ADDRESS,KIND"},
        {0},
    };
    g_autoptr(GOptionContext) context = g_option_context_new(NULL);
    g_option_context_add_main_entries(context, entries, NULL);
    g_autoptr(GError) error = NULL;
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        g_printerr("lacewing-standin-platform: %s\n", error->message);
        return false;
    }
    return true;
}

int
main(int argc, char **argv)
{
    options chosen = {0};
    if (!parse_options(argc, argv, &chosen)) {
        return EXIT_FAILURE;
    }
    er_status status = {0};
    pa_platform *platform = pa_create(
        &(pa_desc){
            .shell = {.listen = chosen.listen,
                      .port_file = chosen.port_file,
                      .history = chosen.history,
                      .max_seconds = (uint32_t)MAX(chosen.max_seconds, 0)},
            .weights = {.fetches_per_s = chosen.fetches_per_s,
                        .burst_fetches =
                            (uint32_t)MAX(chosen.loads_at_once, 0),
                        .fetch_ms = (uint32_t)MAX(chosen.load_ms, 0)},
            .instances = (const char *const *)chosen.instances},
        &status);
    if (!platform) {
        g_printerr("lacewing-standin-platform: %s\n", status.message);
        return EXIT_FAILURE;
    }
    pa_run(platform);
    pa_destroy(platform);
    g_strfreev(chosen.instances);
    g_free(chosen.listen);
    g_free(chosen.port_file);
    g_free(chosen.history);
    return EXIT_SUCCESS;
}
