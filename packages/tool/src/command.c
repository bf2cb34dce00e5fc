#include "client.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static bool
_tl_parse_entries(const GOptionEntry *entries,
                  const GOptionEntry *extra_entries, const char *arguments,
                  const char *summary, int *argc, char ***argv)
{
    g_autoptr(GOptionContext) context = g_option_context_new(arguments);
    g_autoptr(GError) error = NULL;
    g_option_context_set_summary(context, summary);
    if (entries) {
        g_option_context_add_main_entries(context, entries, NULL);
    }
    if (extra_entries) {
        g_option_context_add_main_entries(context, extra_entries, NULL);
    }
    if (!g_option_context_parse(context, argc, argv, &error)) {
        fprintf(stderr, "lacewing: %s\n", error->message);
        return false;
    }
    return true;
}

bool
tl_parse_options(const GOptionEntry *entries, const char *arguments,
                 const char *summary, int *argc, char ***argv)
{
    return _tl_parse_entries(entries, NULL, arguments, summary, argc, argv);
}

bool
tl_parse_client_options(const GOptionEntry *entries, const char *arguments,
                        const char *summary, int *argc, char ***argv)
{
    return _tl_parse_entries(entries, tl_client_options, arguments, summary,
                             argc, argv);
}

tl_exit
tl_query_exit_code(er_code code)
{
    switch (code) {
    case ER_OK:
        return TL_EXIT_OK;
    case ER_CONFLICT:
        return TL_EXIT_CONFLICT;
    case ER_CONNECTION:
    case ER_TIMEOUT:
    case ER_PLATFORM_DOWN:
    case ER_OUTCOME_UNKNOWN:
        return TL_EXIT_UNREACHABLE;
    case ER_FILE:
        return TL_EXIT_FILE;
    default:
        return TL_EXIT_REFUSED;
    }
}

tl_exit
tl_fail(const er_status *status)
{
    fprintf(stderr, "lacewing: %s: %s\n", er_query_name(status->code),
            status->message);
    return tl_query_exit_code(status->code);
}

tl_exit
tl_write_output(const char *file, const char *text)
{
    if (!file || strcmp(file, "-") == 0) {
        fputs(text, stdout);
        return TL_EXIT_OK;
    }
    g_autoptr(GError) error = NULL;
    if (!g_file_set_contents(file, text, -1, &error)) {
        fprintf(stderr, "lacewing: %s\n", error->message);
        return TL_EXIT_FILE;
    }
    return TL_EXIT_OK;
}
