/* lacewing drain: stops new work from going to a backend server. */
#include "client.h"

#include <stdio.h>

#define DRAIN_POLL_INTERVAL_US 500000
#define US_PER_S 1000000

static char *note = NULL;
static gboolean undo = FALSE;
static gboolean force = FALSE;
static gint wait_s = 0;

static const GOptionEntry options[] = {
    {"undo", 'u', 0, G_OPTION_ARG_NONE, &undo, "Send work to the server again",
     NULL},
    {"wait", 'w', 0, G_OPTION_ARG_INT, &wait_s,
     "Wait at most this long until the server has no work left", "SECONDS"},
    {"note", 'n', 0, G_OPTION_ARG_STRING, &note, "Note for the audit trail",
     "TEXT"},
    {"force", 0, 0, G_OPTION_ARG_NONE, &force,
     "Drain even if check finds an error", NULL},
    {NULL},
};

/* Number of running and waiting requests of a server. Returns -1 if the daemon
   does not know it. */
static gint64
_tl_count_requests(tl_client *client, const char *path)
{
    g_autoptr(JsonNode) response = NULL;
    er_status status = {0};
    if (tl_client_call(client, "GET", path, NULL, &response, &status) !=
        ER_OK) {
        return -1;
    }
    JsonObject *item =
        json_object_get_object_member(json_node_get_object(response), "item");
    if (!item || !json_object_has_member(item, "live")) {
        return -1;
    }
    JsonObject *live = json_object_get_object_member(item, "live");
    return json_object_get_int_member_with_default(live, "running", 0) +
           json_object_get_int_member_with_default(live, "waiting", 0);
}

static tl_exit
_tl_wait_drained(tl_client *client, const char *path)
{
    for (gint64 waited_us = 0; waited_us <= (gint64)wait_s * US_PER_S;
         waited_us += DRAIN_POLL_INTERVAL_US) {
        gint64 left = _tl_count_requests(client, path);
        if (left == 0) {
            fputs("drained\n", stderr);
            return TL_EXIT_OK;
        }
        if (left > 0) {
            fprintf(stderr, "%" G_GINT64_FORMAT " requests left\n", left);
        }
        g_usleep(DRAIN_POLL_INTERVAL_US);
    }
    fputs(
        "lacewing: the server still has work, or the daemon does not know its "
        "owner\n",
        stderr);
    return TL_EXIT_UNREACHABLE;
}

static JsonObject *
_tl_create_drain_body(void)
{
    JsonObject *body = json_object_new();
    json_object_set_string_member(body, "state", undo ? "ready" : "drain");
    if (note) {
        json_object_set_string_member(body, "note", note);
    }
    if (force) {
        json_object_set_boolean_member(body, "force", TRUE);
    }
    return body;
}

static tl_exit
_tl_drain(tl_client *client, const char *server)
{
    g_autofree char *name = g_uri_escape_string(server, NULL, FALSE);
    g_autofree char *path = g_strdup_printf("servers/%s", name);
    g_autoptr(JsonNode) response = NULL;
    er_status status = {0};
    /* The change itself would create a server that does not exist. */
    if (tl_client_call(client, "GET", path, NULL, &response, &status) !=
        ER_OK) {
        return tl_fail(&status);
    }
    uint64_t version = (uint64_t)json_object_get_int_member_with_default(
        json_node_get_object(response), "version", 0);
    tl_exit exit_code = tl_client_change(
        client, "POST", path, _tl_create_drain_body(), version, &version);
    if (exit_code != TL_EXIT_OK || undo || wait_s <= 0) {
        return exit_code;
    }
    return _tl_wait_drained(client, path);
}

tl_exit
tl_run_drain(int argc, char **argv)
{
    if (!tl_parse_client_options(
            options, "SERVER",
            "Stops new work from going to a backend server.", &argc, &argv)) {
        return TL_EXIT_USAGE;
    }
    if (argc != 2) {
        fputs("lacewing: drain needs one SERVER\n", stderr);
        return TL_EXIT_USAGE;
    }
    g_autoptr(tl_client) client = tl_client_create();
    return client ? _tl_drain(client, argv[1]) : TL_EXIT_USAGE;
}
