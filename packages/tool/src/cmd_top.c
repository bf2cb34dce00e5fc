/* lacewing top: prints the state of the backend servers at an interval. */
#include "client.h"

#include <stdio.h>
#include <unistd.h>

#define US_PER_S 1000000
#define CLEAR_SCREEN "\033[H\033[2J"

static gint count = 0;
static gdouble interval_s = 2;

static const GOptionEntry options[] = {
    {"count", 'n', 0, G_OPTION_ARG_INT, &count,
     "Number of times to print; default 0: until interrupted", "N"},
    {"interval", 'i', 0, G_OPTION_ARG_DOUBLE, &interval_s,
     "Interval between prints; default 2", "SECONDS"},
    {NULL},
};

/* Lists, for each server, the state that its owner reports and its name. */
static JsonArray *
_tl_list_live_states(JsonNode *response)
{
    JsonArray *shown = json_array_new();
    JsonArray *items =
        json_object_get_array_member(json_node_get_object(response), "items");
    for (uint32_t i = 0; items && i < json_array_get_length(items); i++) {
        JsonObject *item = json_array_get_object_element(items, i);
        JsonObject *live =
            json_object_has_member(item, "live")
                ? json_object_ref(json_object_get_object_member(item, "live"))
                : json_object_new();
        if (!json_object_has_member(live, "name")) {
            json_object_set_string_member(
                live, "name", json_object_get_string_member(item, "name"));
        }
        json_array_add_object_element(shown, live);
    }
    return shown;
}

static er_code
_tl_show_once(tl_client *client, bool clear, er_status *status)
{
    g_autoptr(JsonNode) response = NULL;
    er_code code = tl_client_call(client, "GET", "servers?limit=1000", NULL,
                                  &response, status);
    if (code != ER_OK) {
        return code;
    }
    g_autoptr(JsonNode) list = json_node_new(JSON_NODE_ARRAY);
    json_node_take_array(list, _tl_list_live_states(response));
    if (clear) {
        fputs(CLEAR_SCREEN, stdout);
    }
    tl_print_response(list, tl_client_is_json_requested());
    fflush(stdout);
    return ER_OK;
}

tl_exit
tl_run_top(int argc, char **argv)
{
    if (!tl_parse_client_options(
            options, NULL,
            "Prints the state of the backend servers at an interval.", &argc,
            &argv)) {
        return TL_EXIT_USAGE;
    }
    g_autoptr(tl_client) client = tl_client_create();
    if (!client) {
        return TL_EXIT_USAGE;
    }
    bool clear = isatty(STDOUT_FILENO) && !tl_client_is_json_requested();
    for (gint shown = 0; count == 0 || shown < count; shown++) {
        er_status status = {0};
        if (shown > 0) {
            g_usleep((gulong)(interval_s * US_PER_S));
        }
        if (_tl_show_once(client, clear, &status) != ER_OK) {
            return tl_fail(&status);
        }
    }
    return TL_EXIT_OK;
}
