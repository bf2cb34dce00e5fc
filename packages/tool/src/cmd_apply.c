/* lacewing apply: change the configuration in force. */
#include "client.h"

#include <stdio.h>

#define WAIT_MS_DEFAULT 14000

static char *edits_file = NULL;
static char *note = NULL;
static gint64 expect = -1;
static gboolean force = FALSE;
static gboolean dry_run = FALSE;
static gboolean wait_all = FALSE;

static const GOptionEntry options[] = {
    {"edits", 'e', 0, G_OPTION_ARG_FILENAME, &edits_file,
     "Edits as JSON, as diff --json prints them, in place of FILE", "FILE"},
    {"expect", 0, 0, G_OPTION_ARG_INT64, &expect,
     "Version that must be in force; default: the one read", "N"},
    {"note", 'n', 0, G_OPTION_ARG_STRING, &note, "For the audit trail",
     "TEXT"},
    {"force", 0, 0, G_OPTION_ARG_NONE, &force,
     "Also when check finds an error", NULL},
    {"dry-run", 0, 0, G_OPTION_ARG_NONE, &dry_run,
     "Show the edits and what check finds, change nothing", NULL},
    {"wait", 'w', 0, G_OPTION_ARG_NONE, &wait_all,
     "Wait until it is in force on every instance", NULL},
    {NULL},
};

static er_code
_tl_read_edits(const dc_config *now, const char *file, dc_edits **edits,
               er_status *status)
{
    if (!edits_file) {
        g_autoptr(dc_config) wanted = NULL;
        er_code code = dc_load_file(file, &wanted, status);
        if (code == ER_OK) {
            *edits = dc_diff(now, wanted);
        }
        return code;
    }
    g_autofree char *text = NULL;
    g_autoptr(GError) error = NULL;
    if (!g_file_get_contents(edits_file, &text, NULL, &error)) {
        return er_set(status, ER_FILE, "%s", error->message);
    }
    return dc_edits_parse(text, edits, status);
}

static JsonObject *
_tl_change_body(const dc_edits *edits)
{
    JsonObject *body = json_object_new();
    g_autofree char *text = dc_edits_query_text(edits);
    json_object_set_member(body, "edits", json_from_string(text, NULL));
    if (note) {
        json_object_set_string_member(body, "note", note);
    }
    if (force) {
        json_object_set_boolean_member(body, "force", TRUE);
    }
    return body;
}

static tl_exit
_tl_dry_run(tl_client *client, const dc_edits *edits)
{
    g_autoptr(JsonNode) body = json_node_new(JSON_NODE_OBJECT);
    json_node_take_object(body, _tl_change_body(edits));
    g_autoptr(JsonNode) response = NULL;
    er_status status = {0};
    if (tl_client_call(client, "POST", "check", body, &response, &status) !=
        ER_OK) {
        return tl_fail(&status);
    }
    tl_print_response(response, tl_client_is_json_requested());
    return TL_EXIT_OK;
}

static tl_exit
_tl_apply(tl_client *client, const char *file)
{
    g_autoptr(dc_config) now = NULL;
    g_autoptr(dc_edits) edits = NULL;
    uint64_t version = 0;
    er_status status = {0};
    if (tl_client_read_config(client, &now, &version, &status) != ER_OK ||
        _tl_read_edits(now, file, &edits, &status) != ER_OK) {
        return tl_fail(&status);
    }
    fprintf(stderr, "%u edits on version %" G_GUINT64_FORMAT "\n",
            dc_edits_query_count(edits), version);
    if (dry_run) {
        return _tl_dry_run(client, edits);
    }
    tl_exit done =
        tl_client_change(client, "POST", "config", _tl_change_body(edits),
                         expect < 0 ? version : (uint64_t)expect, &version);
    if (done != TL_EXIT_OK || !wait_all) {
        return done;
    }
    return tl_client_wait_in_force(client, version, WAIT_MS_DEFAULT);
}

tl_exit
tl_run_apply(int argc, char **argv)
{
    if (!tl_parse_client_options(
            options, "[FILE]",
            "Makes the configuration in force that of FILE.", &argc, &argv)) {
        return TL_EXIT_USAGE;
    }
    if (argc != (edits_file ? 1 : 2)) {
        fputs("lacewing: apply needs one FILE, or --edits FILE\n", stderr);
        return TL_EXIT_USAGE;
    }
    g_autoptr(tl_client) client = tl_client_create();
    return client ? _tl_apply(client, argv[argc - 1]) : TL_EXIT_USAGE;
}
