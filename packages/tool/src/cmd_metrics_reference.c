/* lacewing metrics-reference: docs/METRICS.md. */
#include "command.h"

#include "lacewing/counter.h"

static char *output_file = NULL;

static const GOptionEntry options[] = {
    {"output", 'o', 0, G_OPTION_ARG_FILENAME, &output_file,
     "Write here; else to standard output", "FILE"},
    {NULL},
};

tl_exit
tl_run_metrics_reference(int argc, char **argv)
{
    if (!tl_parse_options(options, NULL, "Prints all metrics.", &argc,
                          &argv)) {
        return TL_EXIT_USAGE;
    }
    g_autofree char *table = ct_query_reference();
    g_autofree char *page = g_strconcat(
        "# Metrics\n\nWritten by `lacewing metrics-reference`; a test "
        "compares it. Served as text at `/metrics`;\ncounters and histograms "
        "begin at 0 with the process. Names that end in `_ms_total` sum\n"
        "milliseconds, those in `_seconds` are histograms in seconds, split "
        "by `kind`.\n\n",
        table, NULL);
    return tl_write_output(output_file, page);
}
