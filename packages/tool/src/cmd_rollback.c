/* lacewing rollback: restores the configuration of an earlier version as a new
   version. */
#include "client.h"

#include <stdio.h>

static char *note = NULL;
static gboolean force = FALSE;

static const GOptionEntry options[] = {
    {"note", 'n', 0, G_OPTION_ARG_STRING, &note, "Note for the audit trail",
     "TEXT"},
    {"force", 0, 0, G_OPTION_ARG_NONE, &force,
     "Restore even if check finds an error", NULL},
    {NULL},
};

tl_exit
tl_run_rollback(int argc, char **argv)
{
    if (!tl_parse_client_options(
            options, "VERSION",
            "Restores the configuration of VERSION as a new version.", &argc,
            &argv)) {
        return TL_EXIT_USAGE;
    }
    guint64 to = 0;
    if (argc != 2 ||
        !g_ascii_string_to_unsigned(argv[1], 10, 0, G_MAXINT64, &to, NULL)) {
        fputs("lacewing: rollback needs one VERSION\n", stderr);
        return TL_EXIT_USAGE;
    }
    g_autoptr(tl_client) client = tl_client_create();
    if (!client) {
        return TL_EXIT_USAGE;
    }
    g_autoptr(dc_config) in_force = NULL;
    uint64_t version = 0;
    er_status status = {0};
    if (tl_client_read_config(client, &in_force, &version, &status) != ER_OK) {
        return tl_fail(&status);
    }
    JsonObject *body = json_object_new();
    json_object_set_int_member(body, "to", (gint64)to);
    if (note) {
        json_object_set_string_member(body, "note", note);
    }
    if (force) {
        json_object_set_boolean_member(body, "force", TRUE);
    }
    return tl_client_change(client, "POST", "rollback", body, version,
                            &version);
}
