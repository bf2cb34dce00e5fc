/* lacewing report: writes an HTML page of the results of test runs. */
#include "command.h"

#include "report.h"
#include <stdio.h>

static char *output_file = NULL;

static const GOptionEntry options[] = {
    {"output", 'o', 0, G_OPTION_ARG_FILENAME, &output_file,
     "Write the page to this file; default: standard output", "FILE"},
    {NULL},
};

tl_exit
tl_run_report(int argc, char **argv)
{
    if (!tl_parse_options(options, "FILE...",
                          "Writes an HTML page of the results of load, bench "
                          "and chaos runs.",
                          &argc, &argv)) {
        return TL_EXIT_USAGE;
    }
    if (argc < 2) {
        fputs("lacewing: report needs at least one FILE\n", stderr);
        return TL_EXIT_USAGE;
    }
    g_autoptr(tl_report) report = tl_report_create();
    for (int i = 1; i < argc; i++) {
        g_autofree char *text = NULL;
        g_autoptr(GError) error = NULL;
        if (!g_file_get_contents(argv[i], &text, NULL, &error)) {
            fprintf(stderr, "lacewing: %s\n", error->message);
            return TL_EXIT_FILE;
        }
        g_autofree char *source = g_path_get_basename(argv[i]);
        tl_report_read(report, source, text);
    }
    if (report->lines == 0) {
        fputs("lacewing: no line has key=value pairs\n", stderr);
        return TL_EXIT_REFUSED;
    }
    g_autofree char *page = tl_report_query_html(report);
    return tl_write_output(output_file, page);
}
