/* lacewing status, servers, adapters, explain: what is. */
#include "client.h"

#include <stdio.h>

static char *after = NULL;
static gint64 limit = 100;

static const GOptionEntry list_options[] = {
    {"limit", 'l', 0, G_OPTION_ARG_INT64, &limit, "Most lines; default 100",
     "N"},
    {"after", 'a', 0, G_OPTION_ARG_STRING, &after, "Start behind this name",
     "NAME"},
    {NULL},
};

/* Prints one answer, or only the member of it that people read. */
static tl_exit
_tl_show(const char *path, const char *member)
{
    g_autoptr(tl_client) client = tl_client_create();
    if (!client) {
        return TL_EXIT_USAGE;
    }
    g_autoptr(JsonNode) answer = NULL;
    er_status status = {0};
    if (tl_client_call(client, "GET", path, NULL, &answer, &status) != ER_OK) {
        return tl_fail(&status);
    }
    bool json = tl_client_query_json();
    JsonNode *shown =
        member && !json
            ? json_object_get_member(json_node_get_object(answer), member)
            : answer;
    tl_print_answer(shown ? shown : answer, json);
    return TL_EXIT_OK;
}

static tl_exit
_tl_show_list(const char *part, int argc, char **argv)
{
    if (!tl_parse_client_options(list_options, "[NAME]",
                                 "Lists, or shows one.", &argc, &argv)) {
        return TL_EXIT_USAGE;
    }
    if (argc > 1) {
        g_autofree char *name = g_uri_escape_string(argv[1], NULL, FALSE);
        g_autofree char *path = g_strdup_printf("%s/%s", part, name);
        return _tl_show(path, "item");
    }
    g_autofree char *start =
        after ? g_uri_escape_string(after, NULL, FALSE) : NULL;
    g_autofree char *path =
        g_strdup_printf("%s?limit=%" G_GINT64_FORMAT "%s%s", part, limit,
                        start ? "&after=" : "", start ? start : "");
    return _tl_show(path, "items");
}

tl_exit
tl_run_servers(int argc, char **argv)
{
    return _tl_show_list("servers", argc, argv);
}

tl_exit
tl_run_adapters(int argc, char **argv)
{
    return _tl_show_list("adapters", argc, argv);
}

tl_exit
tl_run_status(int argc, char **argv)
{
    if (!tl_parse_client_options(
            NULL, NULL, "Shows one instance and its peers.", &argc, &argv)) {
        return TL_EXIT_USAGE;
    }
    return _tl_show("status", NULL);
}

tl_exit
tl_run_explain(int argc, char **argv)
{
    if (!tl_parse_client_options(
            NULL, "REQUEST", "Says what became of a request.", &argc, &argv)) {
        return TL_EXIT_USAGE;
    }
    if (argc != 2) {
        fputs("lacewing: explain needs one REQUEST\n", stderr);
        return TL_EXIT_USAGE;
    }
    g_autofree char *name = g_uri_escape_string(argv[1], NULL, FALSE);
    g_autofree char *path = g_strdup_printf("explain/%s", name);
    return _tl_show(path, NULL);
}
