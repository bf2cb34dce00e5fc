/* lacewing settings-reference: docs/SETTINGS.md. */
#include "command.h"

#include "lacewing/node.h"
#include "lacewing/questionnaire.h"
#include "settings.h"

static char *output_file = NULL;

static const GOptionEntry options[] = {
    {"output", 'o', 0, G_OPTION_ARG_FILENAME, &output_file,
     "Write here; else to standard output", "FILE"},
    {NULL},
};

tl_exit
tl_run_settings_reference(int argc, char **argv)
{
    if (!tl_parse_options(options, NULL, "Prints all settings.", &argc,
                          &argv)) {
        return TL_EXIT_USAGE;
    }
    g_autofree char *process = ds_query_reference();
    g_autofree char *instance = nd_query_settings_reference();
    g_autofree char *config = dc_query_reference();
    g_autofree char *questions = qn_query_reference();
    g_autofree char *page = g_strconcat(
        "# Settings\n\nWritten by `lacewing settings-reference`; a test "
        "compares it.\n\n# The daemon's own settings\n\n",
        process, "\n# An instance on a platform with its own protocol\n\n",
        instance, "\n# The deployment's configuration\n\n", config,
        "# The questionnaire's answers\n\n", questions, NULL);
    return tl_write_output(output_file, page);
}
