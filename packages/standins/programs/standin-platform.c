/*
 * Stand-in for the platform: table, objects, weights, list of instances
 * (docs/PLATFORM_API.md), and orders to fail (src/shell.h,
 * src/platform_api.h). For tests; never installed.
 */
#include "platform_api.h"
#include <stdlib.h>

typedef struct options {
    char *listen;
    char *port_file;
    char *history;
    int max_seconds;
    double loads_per_s;
    int loads_at_once;
    int load_ms;
    char **instances;
} options;

static bool
parse(int argc, char **argv, options *chosen)
{
    GOptionEntry entries[] = {
        {"listen", 0, 0, G_OPTION_ARG_STRING, &chosen->listen,
         "Address and port; port 0 takes any", "ADDRESS:PORT"},
        {"port-file", 0, 0, G_OPTION_ARG_FILENAME, &chosen->port_file,
         "File that gets the port", "PATH"},
        {"history", 0, 0, G_OPTION_ARG_FILENAME, &chosen->history,
         "Append the history to this file", "PATH"},
        {"max-seconds", 0, 0, G_OPTION_ARG_INT, &chosen->max_seconds,
         "End after this time (600)", "S"},
        {"loads-per-s", 0, 0, G_OPTION_ARG_DOUBLE, &chosen->loads_per_s,
         "Weight fetches a second (6)", "N"},
        {"loads-at-once", 0, 0, G_OPTION_ARG_INT, &chosen->loads_at_once,
         "Weight fetches that may begin together (2)", "N"},
        {"load-ms", 0, 0, G_OPTION_ARG_INT, &chosen->load_ms,
         "Time of one weight fetch (250)", "MS"},
        {"instance", 0, 0, G_OPTION_ARG_STRING_ARRAY, &chosen->instances,
         "An entry of the list of instances", "NAME,ZONE,ADDRESS,KIND"},
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
    if (!parse(argc, argv, &chosen)) {
        return EXIT_FAILURE;
    }
    er_status status = {0};
    pa_platform *platform = pa_create(
        &(pa_desc){
            .shell = {.listen = chosen.listen,
                      .port_file = chosen.port_file,
                      .history = chosen.history,
                      .max_seconds = (uint32_t)MAX(chosen.max_seconds, 0)},
            .weights = {.loads_per_s = chosen.loads_per_s,
                        .at_once = (uint32_t)MAX(chosen.loads_at_once, 0),
                        .load_ms = (uint32_t)MAX(chosen.load_ms, 0)},
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
