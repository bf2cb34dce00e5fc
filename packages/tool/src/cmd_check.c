/* lacewing check: reports settings that cannot work or are likely mistakes. */
#include "command.h"

#include "lacewing/feasibility.h"
#include <stdio.h>

static gboolean json = FALSE;

static const GOptionEntry options[] = {
    {"json", 0, 0, G_OPTION_ARG_NONE, &json, "Print the findings as JSON",
     NULL},
    {NULL},
};

static char *
_tl_format_findings(const dc_findings *findings)
{
    g_autoptr(tl_table) table =
        tl_table_create("LEVEL", "FINDING", "GROUP", "WHY", NULL);
    for (uint32_t i = 0; i < dc_findings_query_count(findings); i++) {
        const dc_finding *finding = dc_findings_query_at(findings, i);
        bool error = dc_query_finding_is_error(finding->code);
        const char *const cells[] = {error ? "error" : "warning",
                                     dc_query_finding_name(finding->code),
                                     finding->group, finding->message};
        tl_table_add(table, cells);
    }
    return tl_table_query_text(table, json);
}

tl_exit
tl_run_check(int argc, char **argv)
{
    if (!tl_parse_options(
            options, "FILE",
            "Reports settings that cannot work or are likely mistakes.", &argc,
            &argv)) {
        return TL_EXIT_USAGE;
    }
    if (argc != 2) {
        fputs("lacewing: check needs one FILE\n", stderr);
        return TL_EXIT_USAGE;
    }
    g_autoptr(dc_config) config = NULL;
    er_status status = {0};
    if (dc_load_file(argv[1], &config, &status) != ER_OK) {
        return tl_fail(&status);
    }
    g_autoptr(dc_findings) findings = dc_check_feasibility(config);
    g_autofree char *text = _tl_format_findings(findings);
    if (json || dc_findings_query_count(findings)) {
        fputs(text, stdout);
    }
    else {
        printf("%s: %u servers, %u adapters, %u operations: nothing found\n",
               argv[1], dc_query_count(config, DC_SERVER),
               dc_query_count(config, DC_ADAPTER),
               dc_query_count(config, DC_OPERATION));
    }
    return dc_findings_query_errors(findings) ? TL_EXIT_FOUND : TL_EXIT_OK;
}
