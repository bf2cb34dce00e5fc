/* lacewing apply: changes the configuration in force to that of a file. */
#include "client.h"

#include <stdio.h>

#define WAIT_IN_FORCE_MS 14000

static char *edits_file = NULL;
static char *note = NULL;
static gint64 expect = -1;
static gboolean force = FALSE;
static gboolean dry_run = FALSE;
static gboolean wait_all = FALSE;

static const GOptionEntry options[] = {
    {"edits", 'e', 0, G_OPTION_ARG_FILENAME, &edits_file,
     "JSON edits, as diff --json prints them, to apply in place of FILE",
     "FILE"},
    {"expect", 0, 0, G_OPTION_ARG_INT64, &expect,
     "Version that must be in force; default: the version read", "N"},
    {"note", 'n', 0, G_OPTION_ARG_STRING, &note, "Note for the audit trail",
     "TEXT"},
    {"force", 0, 0, G_OPTION_ARG_NONE, &force,
     "Apply even if check finds an error", NULL},
    {"dry-run", 0, 0, G_OPTION_ARG_NONE, &dry_run,
     "Print the number of edits and what check finds; change nothing", NULL},
    {"wait", 'w', 0, G_OPTION_ARG_NONE, &wait_all,
     "Wait until the change is in force on every instance", NULL},
    {NULL},
};

/* Reads the edits of --edits, or else those that lead from the configuration
   in force to that of file. */
static er_code
_tl_read_edits(const dc_config *in_force, const char *file, dc_edits **edits,
               er_status *status)
{
    if (!edits_file) {
        g_autoptr(dc_config) wanted = NULL;
        er_code code = dc_load_file(file, &wanted, status);
        if (code == ER_OK) {
            *edits = dc_diff(in_force, wanted);
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
_tl_create_change(const dc_edits *edits)
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
    json_node_take_object(body, _tl_create_change(edits));
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
    g_autoptr(dc_config) in_force = NULL;
    g_autoptr(dc_edits) edits = NULL;
    uint64_t version = 0;
    er_status status = {0};
    if (tl_client_read_config(client, &in_force, &version, &status) != ER_OK ||
        _tl_read_edits(in_force, file, &edits, &status) != ER_OK) {
        return tl_fail(&status);
    }
    fprintf(stderr, "%u edits, based on version %" G_GUINT64_FORMAT "\n",
            dc_edits_query_count(edits), version);
    if (dry_run) {
        return _tl_dry_run(client, edits);
    }
    tl_exit exit_code =
        tl_client_change(client, "POST", "config", _tl_create_change(edits),
                         expect < 0 ? version : (uint64_t)expect, &version);
    if (exit_code != TL_EXIT_OK || !wait_all) {
        return exit_code;
    }
    return tl_client_wait_in_force(client, version, WAIT_IN_FORCE_MS);
}

tl_exit
tl_run_apply(int argc, char **argv)
{
    if (!tl_parse_client_options(
            options, "[FILE]",
            "Changes the configuration in force to that of FILE.", &argc,
            &argv)) {
        return TL_EXIT_USAGE;
    }
    if (argc != (edits_file ? 1 : 2)) {
        fputs("lacewing: apply needs one FILE or --edits FILE\n", stderr);
        return TL_EXIT_USAGE;
    }
    g_autoptr(tl_client) client = tl_client_create();
    return client ? _tl_apply(client, argv[argc - 1]) : TL_EXIT_USAGE;
}
