/*
 * main.c: lacewingd, the daemon that runs on every entry instance.
 *
 * The kind of the settings file decides what runs: an nd_node (node.h), for a
 * platform that has its own protocol, or else a dn_daemon (daemon.h).
 *
 * Exit codes: 0 after a planned stop or a --check that found no fault, 1 for a
 * bad command line, 2 for invalid settings, 3 if it cannot start.
 */
#include "daemon.h"
#include "lacewing/log.h"
#include "lacewing/node.h"
#include "lacewing/users_platform.h"
#include <glib-unix.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

enum {
    EXIT_USAGE = 1,
    EXIT_SETTINGS = 2,
    EXIT_START = 3,
};

typedef struct _mn_options {
    char *settings;
    gboolean check;
    gboolean version;
} _mn_options;

typedef struct _mn_process {
    GMainLoop *loop;
    dn_daemon *daemon;
} _mn_process;

static void
_mn_on_stopped(void *data)
{
    g_main_loop_quit(((_mn_process *)data)->loop);
}

static gboolean
_mn_on_terminate(void *data)
{
    _mn_process *process = data;
    dn_stop(process->daemon, _mn_on_stopped, process);
    return G_SOURCE_CONTINUE;
}

static gboolean
_mn_on_hangup(void *data)
{
    dn_reload(((_mn_process *)data)->daemon);
    return G_SOURCE_CONTINUE;
}

static gboolean
_mn_on_time_limit(void *loop)
{
    g_main_loop_quit(loop);
    return G_SOURCE_REMOVE;
}

static int
_mn_serve(const ds_settings *settings)
{
    er_status status = {0};
    _mn_process process = {0};
    process.daemon = dn_create(settings, &status);
    if (!process.daemon) {
        lg_write(LG_LISTEN_FAILED, "why", status.message, NULL);
        return EXIT_START;
    }
    process.loop = g_main_loop_new(NULL, FALSE);
    g_unix_signal_add(SIGTERM, _mn_on_terminate, &process);
    g_unix_signal_add(SIGINT, _mn_on_terminate, &process);
    g_unix_signal_add(SIGHUP, _mn_on_hangup, &process);
    if (settings->test_max_s) {
        g_timeout_add_seconds(settings->test_max_s, _mn_on_time_limit,
                              process.loop);
    }
    lg_write(LG_STARTED, "zone", settings->zone, "listen", settings->listen,
             NULL);
    g_main_loop_run(process.loop);
    dn_destroy(process.daemon);
    g_main_loop_unref(process.loop);
    return EXIT_SUCCESS;
}

/* -- private: an instance on a platform with its own protocol ------------- */

typedef struct _mn_instance {
    lp_loop *loop;
    nd_node *node;
    const char *file;
} _mn_instance;

static void
_mn_on_node_stopped(void *data)
{
    lp_quit(((_mn_instance *)data)->loop);
}

static gboolean
_mn_on_node_terminate(void *data)
{
    nd_stop(((_mn_instance *)data)->node);
    return G_SOURCE_CONTINUE;
}

static gboolean
_mn_on_node_hangup(void *data)
{
    _mn_instance *instance = data;
    nd_settings settings = {0};
    er_status status = {0};
    if (nd_load_settings(instance->file, &settings, &status) == ER_OK) {
        nd_reload(instance->node, &settings);
    }
    else {
        lg_write(LG_SETTINGS_REFUSED, "why", status.message, NULL);
    }
    nd_clear_settings(&settings);
    return G_SOURCE_CONTINUE;
}

static int
_mn_serve_node(const nd_settings *settings, const char *file)
{
    er_status status = {0};
    _mn_instance instance = {.file = file};
    instance.loop = lp_create();
    instance.node = nd_create(&(nd_desc){.settings = settings,
                                         .dialect = up_query_dialect(),
                                         .loop = instance.loop,
                                         .stopped = _mn_on_node_stopped,
                                         .user_data = &instance},
                              &status);
    if (!instance.node) {
        lg_write(LG_LISTEN_FAILED, "why", status.message, NULL);
        lp_destroy(instance.loop);
        return EXIT_START;
    }
    g_unix_signal_add(SIGTERM, _mn_on_node_terminate, &instance);
    g_unix_signal_add(SIGINT, _mn_on_node_terminate, &instance);
    g_unix_signal_add(SIGHUP, _mn_on_node_hangup, &instance);
    lg_write(LG_STARTED, "zone", settings->zone, "listen", settings->listen,
             NULL);
    lp_run(instance.loop);
    nd_destroy(instance.node);
    lp_destroy(instance.loop);
    return EXIT_SUCCESS;
}

static int
_mn_run_node(const _mn_options *options)
{
    er_status status = {0};
    nd_settings settings = {0};
    int code = EXIT_SUCCESS;
    if (nd_load_settings(options->settings, &settings, &status) != ER_OK) {
        fprintf(stderr, "lacewingd: %s\n", status.message);
        code = EXIT_SETTINGS;
    }
    else if (options->check) {
        printf("%s: good\n", options->settings);
    }
    else {
        lg_setup(&(lg_desc){
            .level = (lg_level)(LG_LEVEL_DEBUG + settings.log_level),
            .instance = settings.instance,
            .bounded = true,
            .pending_bytes = settings.log_pending_kb * 1024,
            .requests_per_s = settings.log_requests_per_s});
        code = _mn_serve_node(&settings, options->settings);
    }
    nd_clear_settings(&settings);
    return code;
}

static int
_mn_run(const _mn_options *options)
{
    er_status status = {0};
    ds_settings settings = {0};
    if (ds_load(options->settings, &settings, &status) != ER_OK) {
        fprintf(stderr, "lacewingd: %s\n", status.message);
        ds_clear(&settings);
        return EXIT_SETTINGS;
    }
    lg_setup(
        &(lg_desc){.level = (lg_level)(LG_LEVEL_DEBUG + settings.log_level),
                   .json = settings.log_json,
                   .instance = settings.instance});
    int code = EXIT_SUCCESS;
    if (options->check) {
        printf("%s: good\n", options->settings);
    }
    else {
        code = _mn_serve(&settings);
    }
    ds_clear(&settings);
    return code;
}

int
main(int argc, char **argv)
{
    _mn_options options = {0};
    const GOptionEntry entries[] = {
        {"settings", 's', 0, G_OPTION_ARG_FILENAME, &options.settings,
         "Settings of this instance", "FILE"},
        {"check", 0, 0, G_OPTION_ARG_NONE, &options.check,
         "Check the settings and exit", NULL},
        {"version", 0, 0, G_OPTION_ARG_NONE, &options.version,
         "Print the version and exit", NULL},
        {0},
    };
    g_autoptr(GError) error = NULL;
    g_autoptr(GOptionContext) context = g_option_context_new(
        "- serve callers in front of the backend servers");
    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        fprintf(stderr, "lacewingd: %s\n", error->message);
        return EXIT_USAGE;
    }
    if (options.version) {
        printf("lacewingd %s\n", LACEWING_VERSION);
        return EXIT_SUCCESS;
    }
    if (!options.settings) {
        fprintf(stderr, "lacewingd: --settings FILE is required\n");
        return EXIT_USAGE;
    }
    int code = nd_query_is_settings_file(options.settings)
                   ? _mn_run_node(&options)
                   : _mn_run(&options);
    g_free(options.settings);
    return code;
}
