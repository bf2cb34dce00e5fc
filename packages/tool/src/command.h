/*
 * command.h: what the commands of the tool share (private, prefix tl_).
 *
 * One file a command; each has a run function that takes its own arguments
 * and gives an exit code. Tables are for people, --json for programs.
 */
#ifndef LACEWING_TOOL_COMMAND_H
#define LACEWING_TOOL_COMMAND_H

#include "lacewing/config.h"
#include "lacewing/error.h"
#include <glib.h>
#include <json-glib/json-glib.h>

/* code, number, meaning */
#define TL_EXITS(X)                                                           \
    X(TL_EXIT_OK, 0, "done")                                                  \
    X(TL_EXIT_FOUND, 1, "check found errors, or diff found differences")      \
    X(TL_EXIT_USAGE, 2, "the command line cannot be read")                    \
    X(TL_EXIT_REFUSED, 3, "refused: the input or the call is not allowed")    \
    X(TL_EXIT_CONFLICT, 4, "somebody else changed it first")                  \
    X(TL_EXIT_UNREACHABLE, 5, "no answer; a change may have taken effect")    \
    X(TL_EXIT_FILE, 6, "a file cannot be read or written")

typedef enum tl_exit {
#define TL_ENUM(code, number, meaning) code = (number),
    TL_EXITS(TL_ENUM)
#undef TL_ENUM
} tl_exit;

/* name, run function, one line of help */
#define TL_COMMANDS(X)                                                        \
    X("questionnaire", tl_run_questionnaire,                                  \
      "write a configuration from answers")                                   \
    X("check", tl_run_check, "find what cannot work in a configuration")      \
    X("diff", tl_run_diff, "show the edits between two configurations")       \
    X("init", tl_run_init, "write the first configuration to the platform")   \
    X("apply", tl_run_apply, "change the configuration in force")             \
    X("history", tl_run_history, "list the changes made")                     \
    X("rollback", tl_run_rollback, "go back to a version, as a new one")      \
    X("status", tl_run_status, "show one instance and its peers")             \
    X("servers", tl_run_servers, "list backend servers and their state")      \
    X("adapters", tl_run_adapters, "list adapters, versions and shares")      \
    X("explain", tl_run_explain, "say what became of a request, and why")     \
    X("drain", tl_run_drain, "give a backend server no new work")             \
    X("audit", tl_run_audit, "read the audit trail")                          \
    X("top", tl_run_top, "watch backend servers")                             \
    X("report", tl_run_report, "draw the figures of runs on one page")        \
    X("settings-reference", tl_run_settings_reference,                        \
      "print the reference of all settings")                                  \
    X("metrics-reference", tl_run_metrics_reference,                          \
      "print the reference of all metrics")

typedef tl_exit (*tl_command_function)(int argc, char **argv);

#define TL_DECLARE(name, run, help) tl_exit run(int argc, char **argv);
TL_COMMANDS(TL_DECLARE)
#undef TL_DECLARE

/* Reads options; what is left of argv are the arguments. False after a
   message on standard error. */
bool tl_parse_options(const GOptionEntry *entries, const char *arguments,
                      const char *summary, int *argc, char ***argv);
/* Prints "lacewing: WHY" on standard error and returns the exit code that
   stands for it. */
tl_exit tl_fail(const er_status *status);
tl_exit tl_query_exit_code(er_code code);
/* Writes to a file; "-" or NULL: standard output. */
tl_exit tl_write_output(const char *file, const char *text);

/* Prints a JSON answer: as it is, or for people, members of an object by name
   and lists of objects as tables. */
void tl_print_response(JsonNode *answer, bool json);
/* A JSON value as a cell; free with g_free(). */
char *tl_cell_text(JsonNode *value);

/* A table of text cells. */
typedef struct tl_table tl_table;

/* Columns are given by name, closed with NULL. */
tl_table *tl_table_create(const char *first, ...) __attribute__((sentinel));
tl_table *tl_table_create_columns(const GPtrArray *columns);
void tl_table_destroy(tl_table *table);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(tl_table, tl_table_destroy)
/* One cell a column; NULL is an empty one. */
void tl_table_add(tl_table *table, const char *const *cells);
/* Aligned columns, or a JSON list of objects. Free with g_free(). */
char *tl_table_query_text(const tl_table *table, bool json);

#endif
