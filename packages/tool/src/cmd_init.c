/* lacewing init: writes the first configuration to the platform's table. */
#include "command.h"

#include "init.h"
#include "lacewing/feasibility.h"
#include <stdio.h>

static char *platform_url = NULL;
static char *who = NULL;
static gboolean force = FALSE;

static const GOptionEntry options[] = {
    {"platform", 'p', 0, G_OPTION_ARG_STRING, &platform_url,
     "URL of the platform's services; default: LACEWING_PLATFORM", "URL"},
    {"who", 0, 0, G_OPTION_ARG_STRING, &who,
     "Author in the audit trail; default: your user name", "NAME"},
    {"force", 0, 0, G_OPTION_ARG_NONE, &force,
     "Write even if the check finds an error", NULL},
    {NULL},
};

static er_code
_tl_check_config(const dc_config *config, er_status *status)
{
    g_autoptr(dc_findings) findings = dc_check_feasibility(config);
    for (uint32_t i = 0; !force && i < dc_findings_query_count(findings);
         i++) {
        const dc_finding *finding = dc_findings_query_at(findings, i);
        if (dc_query_finding_is_error(finding->code)) {
            return er_set(status, ER_SETTING_CONFLICT, "%s: [%s] %s",
                          dc_query_finding_name(finding->code), finding->group,
                          finding->message);
        }
    }
    return ER_OK;
}

static tl_exit
_tl_write_config(const char *url, const char *file)
{
    g_autoptr(dc_config) config = NULL;
    er_status status = {0};
    if (dc_load_file(file, &config, &status) != ER_OK ||
        _tl_check_config(config, &status) != ER_OK) {
        return tl_fail(&status);
    }
    g_autofree char *author =
        g_strdup_printf("init:%s", who ? who : g_get_user_name());
    pf_table *table = pf_http_table_create(
        &(pf_http_desc){.base_url = url, .identity = "lacewing-init"});
    uint64_t version = 0;
    er_code code = tl_init(
        &(tl_init_desc){
            .table = table, .config = config, .who = author, .progress = true},
        &version, &status);
    pf_table_destroy(table);
    if (code != ER_OK) {
        return tl_fail(&status);
    }
    printf("version %" G_GUINT64_FORMAT "\n", version);
    return TL_EXIT_OK;
}

tl_exit
tl_run_init(int argc, char **argv)
{
    if (!tl_parse_options(options, "FILE",
                          "Writes the first configuration of a deployment.",
                          &argc, &argv)) {
        return TL_EXIT_USAGE;
    }
    const char *url =
        platform_url ? platform_url : g_getenv("LACEWING_PLATFORM");
    if (argc != 2 || !url) {
        fputs("lacewing: init needs one FILE and --platform URL\n", stderr);
        return TL_EXIT_USAGE;
    }
    return _tl_write_config(url, argv[1]);
}
