/* lacewing check-routes: checks a configuration of routes, services and
   workspaces before it is sent, and compares it with the version in force. */
#include "command.h"

#include "lacewing/route_check.h"
#include "lacewing/users_platform.h"
#include <stdio.h>

static gboolean json = FALSE;
static char *against = NULL;

static const GOptionEntry options[] = {
    {"against", 0, 0, G_OPTION_ARG_FILENAME, &against,
     "Show what differs from this configuration", "FILE"},
    {"json", 0, 0, G_OPTION_ARG_NONE, &json, "Print the findings as JSON",
     NULL},
    {NULL},
};

static void
_tl_on_finding(const rk_finding *finding, void *user_data)
{
    bool difference = finding->kind >= RK_ADDED;
    const char *const cells[] = {rk_query_is_error(finding->kind) ? "error"
                                 : difference                     ? "change"
                                                                  : "warning",
                                 rk_query_name(finding->kind),
                                 finding->subject, finding->why};
    tl_table_add(user_data, cells);
}

static er_code
_tl_load_routes(const char *path, rc_table **out, er_status *status)
{
    g_autofree char *bytes = NULL;
    gsize count = 0;
    g_autoptr(GError) error = NULL;
    if (!g_file_get_contents(path, &bytes, &count, &error)) {
        return er_set(status, ER_FILE, "%s", error->message);
    }
    return up_read_config(bytes, count, out, status);
}

tl_exit
tl_run_check_routes(int argc, char **argv)
{
    if (!tl_parse_options(options, "FILE",
                          "Checks a configuration of routes before it is "
                          "sent.",
                          &argc, &argv)) {
        return TL_EXIT_USAGE;
    }
    if (argc != 2) {
        fputs("lacewing: check-routes needs one FILE\n", stderr);
        return TL_EXIT_USAGE;
    }
    g_autoptr(rc_table) table = NULL;
    g_autoptr(rc_table) in_force = NULL;
    er_status status = {0};
    if (_tl_load_routes(argv[1], &table, &status) != ER_OK ||
        (against && _tl_load_routes(against, &in_force, &status) != ER_OK)) {
        return tl_fail(&status);
    }
    g_autoptr(tl_table) findings =
        tl_table_create("LEVEL", "FINDING", "WHERE", "WHY", NULL);
    uint32_t errors = rk_check(table, _tl_on_finding, findings);
    if (in_force) {
        rk_compare(in_force, table, _tl_on_finding, findings);
        if (rc_query_version(table) <= rc_query_version(in_force)) {
            const char *const cells[] = {
                "error", "version", "version",
                "it is not above the version in force"};
            tl_table_add(findings, cells);
            errors++;
        }
    }
    g_autofree char *text = tl_table_query_text(findings, json);
    fputs(text, stdout);
    return errors ? TL_EXIT_FOUND : TL_EXIT_OK;
}
