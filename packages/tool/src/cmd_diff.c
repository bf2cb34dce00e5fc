/* lacewing diff: prints the edits that lead from one configuration to
   another. */
#include "command.h"

#include <stdio.h>

static gboolean json = FALSE;

static const GOptionEntry options[] = {
    {"json", 0, 0, G_OPTION_ARG_NONE, &json,
     "Print the edits as JSON, which apply --edits reads", NULL},
    {NULL},
};

static const char *
_tl_edit_kind(const dc_edit *edit)
{
    if (!edit->key) {
        return edit->value ? "add" : "remove";
    }
    return edit->value ? "set" : "unset";
}

static char *
_tl_format_edits(const dc_config *from, const dc_edits *edits)
{
    g_autoptr(tl_table) table =
        tl_table_create("EDIT", "GROUP", "KEY", "FROM", "TO", NULL);
    for (uint32_t i = 0; i < dc_edits_query_count(edits); i++) {
        const dc_edit *edit = dc_edits_query_at(edits, i);
        const char *old =
            edit->key ? dc_query_value(from, edit->group, edit->key) : NULL;
        const char *const cells[] = {_tl_edit_kind(edit), edit->group,
                                     edit->key, old, edit->value};
        tl_table_add(table, cells);
    }
    return tl_table_query_text(table, false);
}

tl_exit
tl_run_diff(int argc, char **argv)
{
    if (!tl_parse_options(
            options, "FROM TO",
            "Prints the edits that lead from one configuration to another.",
            &argc, &argv)) {
        return TL_EXIT_USAGE;
    }
    if (argc != 3) {
        fputs("lacewing: diff needs two files\n", stderr);
        return TL_EXIT_USAGE;
    }
    g_autoptr(dc_config) from = NULL;
    g_autoptr(dc_config) to = NULL;
    er_status status = {0};
    if (dc_load_file(argv[1], &from, &status) != ER_OK ||
        dc_load_file(argv[2], &to, &status) != ER_OK) {
        return tl_fail(&status);
    }
    g_autoptr(dc_edits) edits = dc_diff(from, to);
    if (json) {
        g_autofree char *text = dc_edits_query_text(edits);
        puts(text);
    }
    else if (dc_edits_query_count(edits)) {
        g_autofree char *text = _tl_format_edits(from, edits);
        fputs(text, stdout);
    }
    return dc_edits_query_count(edits) ? TL_EXIT_FOUND : TL_EXIT_OK;
}
