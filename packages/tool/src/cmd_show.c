/* lacewing status, servers, adapters, explain: print the state of instances,
   servers, adapters and requests. */
#include "client.h"
#include "timeline.h"

#include <stdio.h>

static char *after = NULL;
static gint64 limit = 100;

static char **log_files = NULL;

static const GOptionEntry explain_options[] = {
    {"logs", 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &log_files,
     "Read this log file of an instance instead of calling a daemon; "
     "repeatable",
     "FILE"},
    {NULL},
};

static const GOptionEntry list_options[] = {
    {"limit", 'l', 0, G_OPTION_ARG_INT64, &limit,
     "Maximum number of lines; default 100", "N"},
    {"after", 'a', 0, G_OPTION_ARG_STRING, &after, "Start after this name",
     "NAME"},
    {NULL},
};

/* Columns of a list of servers for people. A single server, given by name, is
   printed with all its fields. */
static const char *const server_columns[] = {
    "name",    "zone",    "kind",    "state",      "fence",
    "owner",   "running", "waiting", "backlog_ms", "resident",
    "loading", "ejected", "down",    NULL};

/* Prints a row for each server. A column that the server's configuration does
   not have is taken from the state that its owner reports. */
static void
_tl_print_servers(JsonNode *response)
{
    g_autoptr(GPtrArray) columns = g_ptr_array_new();
    for (const char *const *name = server_columns; *name; name++) {
        g_ptr_array_add(columns, (char *)*name);
    }
    g_autoptr(tl_table) table = tl_table_create_columns(columns);
    JsonArray *items =
        json_object_get_array_member(json_node_get_object(response), "items");
    for (uint32_t i = 0; items && i < json_array_get_length(items); i++) {
        JsonObject *item = json_array_get_object_element(items, i);
        JsonObject *live = json_object_has_member(item, "live")
                               ? json_object_get_object_member(item, "live")
                               : NULL;
        g_autoptr(GPtrArray) cells = g_ptr_array_new_with_free_func(g_free);
        for (uint32_t j = 0; j < columns->len; j++) {
            const char *name = g_ptr_array_index(columns, j);
            JsonNode *value = json_object_get_member(item, name);
            value =
                !value && live ? json_object_get_member(live, name) : value;
            g_ptr_array_add(cells, value ? tl_cell_text(value) : NULL);
        }
        tl_table_add(table, (const char *const *)cells->pdata);
    }
    g_autofree char *text = tl_table_query_text(table, false);
    fputs(text, stdout);
}

/* Makes a GET call and prints the response; for people only the given member,
   unless it is NULL. */
static tl_exit
_tl_print_resource(const char *path, const char *member)
{
    g_autoptr(tl_client) client = tl_client_create();
    if (!client) {
        return TL_EXIT_USAGE;
    }
    g_autoptr(JsonNode) response = NULL;
    er_status status = {0};
    if (tl_client_call(client, "GET", path, NULL, &response, &status) !=
        ER_OK) {
        return tl_fail(&status);
    }
    bool json = tl_client_is_json_requested();
    if (!json && g_str_has_prefix(path, "servers?")) {
        _tl_print_servers(response);
        return TL_EXIT_OK;
    }
    JsonNode *shown =
        member && !json
            ? json_object_get_member(json_node_get_object(response), member)
            : response;
    tl_print_response(shown ? shown : response, json);
    return TL_EXIT_OK;
}

static tl_exit
_tl_run_list(const char *collection, int argc, char **argv)
{
    if (!tl_parse_client_options(list_options, "[NAME]",
                                 "Lists all, or shows the one with this name.",
                                 &argc, &argv)) {
        return TL_EXIT_USAGE;
    }
    if (argc > 1) {
        g_autofree char *name = g_uri_escape_string(argv[1], NULL, FALSE);
        g_autofree char *path = g_strdup_printf("%s/%s", collection, name);
        return _tl_print_resource(path, "item");
    }
    g_autofree char *start =
        after ? g_uri_escape_string(after, NULL, FALSE) : NULL;
    g_autofree char *path =
        g_strdup_printf("%s?limit=%" G_GINT64_FORMAT "%s%s", collection, limit,
                        start ? "&after=" : "", start ? start : "");
    return _tl_print_resource(path, "items");
}

tl_exit
tl_run_servers(int argc, char **argv)
{
    return _tl_run_list("servers", argc, argv);
}

tl_exit
tl_run_adapters(int argc, char **argv)
{
    return _tl_run_list("adapters", argc, argv);
}

tl_exit
tl_run_status(int argc, char **argv)
{
    if (!tl_parse_client_options(
            NULL, NULL, "Shows the state of one instance and its peers.",
            &argc, &argv)) {
        return TL_EXIT_USAGE;
    }
    return _tl_print_resource("status", NULL);
}

static tl_exit
_tl_explain_from_logs(const char *request)
{
    g_autoptr(sr_timeline) timeline = sr_create(request);
    for (char **file = log_files; *file; file++) {
        g_autofree char *text = NULL;
        g_autoptr(GError) error = NULL;
        if (!g_file_get_contents(*file, &text, NULL, &error)) {
            er_status status = {0};
            er_set(&status, ER_FILE, "%s", error->message);
            return tl_fail(&status);
        }
        sr_add(timeline, *file, text);
    }
    g_autofree char *lines = sr_query_text(timeline);
    if (!lines) {
        er_status status = {0};
        er_set(&status, ER_NOT_FOUND,
               "%s: no log line has this request; it may have been served "
               "without being logged (log_requests_per_s)",
               request);
        return tl_fail(&status);
    }
    fputs(lines, stdout);
    return TL_EXIT_OK;
}

tl_exit
tl_run_explain(int argc, char **argv)
{
    if (!tl_parse_client_options(explain_options, "REQUEST",
                                 "Shows what happened to a request.", &argc,
                                 &argv)) {
        return TL_EXIT_USAGE;
    }
    if (argc != 2) {
        fputs("lacewing: explain needs one REQUEST\n", stderr);
        return TL_EXIT_USAGE;
    }
    if (log_files) {
        return _tl_explain_from_logs(argv[1]);
    }
    g_autofree char *name = g_uri_escape_string(argv[1], NULL, FALSE);
    g_autofree char *path = g_strdup_printf("explain/%s", name);
    return _tl_print_resource(path, NULL);
}
