/*
 * command.h: the list of commands and what they share: options, exit codes,
 * output (private, prefix tl_).
 *
 * Each command has a function that takes its own arguments, argv[0] being its
 * name, and returns an exit code. Related commands share a file. Output is a
 * table for people or, with --json, JSON for programs. Errors and progress go
 * to standard error.
 *
 *     tl_exit
 *     tl_run_check(int argc, char **argv)
 *     {
 *         if (!tl_parse_options(options, "FILE", "Summary.", &argc, &argv)) {
 *             return TL_EXIT_USAGE;
 *         }
 *         if (dc_load_file(argv[1], &config, &status) != ER_OK) {
 *             return tl_fail(&status);
 *         }
 *         g_autoptr(tl_table) table = tl_table_create("LEVEL", "WHY", NULL);
 *         tl_table_add(table, cells);
 *         g_autofree char *text = tl_table_query_text(table, json);
 *         return tl_write_output(NULL, text);
 *     }
 */
#ifndef LACEWING_TOOL_COMMAND_H
#define LACEWING_TOOL_COMMAND_H

#include "lacewing/config.h"
#include "lacewing/error.h"
#include <glib.h>
#include <json-glib/json-glib.h>

/* Exit codes: constant, number, meaning as --help prints it. */
#define TL_EXITS(X)                                                           \
    X(TL_EXIT_OK, 0, "done")                                                  \
    X(TL_EXIT_FOUND, 1, "check found errors, or diff found differences")      \
    X(TL_EXIT_USAGE, 2, "the command line is invalid")                        \
    X(TL_EXIT_REFUSED, 3, "the input or the call was refused")                \
    X(TL_EXIT_CONFLICT, 4, "another change was committed first")              \
    X(TL_EXIT_UNREACHABLE, 5, "no response; a change may have taken effect")  \
    X(TL_EXIT_FILE, 6, "a file cannot be read or written")

typedef enum tl_exit {
#define TL_ENUM(code, number, meaning) code = (number),
    TL_EXITS(TL_ENUM)
#undef TL_ENUM
} tl_exit;

/* Commands: name, function, one line of help. */
#define TL_COMMANDS(X)                                                        \
    X("questionnaire", tl_run_questionnaire,                                  \
      "write a configuration from answers")                                   \
    X("check", tl_run_check, "check whether a configuration can work")        \
    X("check-routes", tl_run_check_routes,                                    \
      "check a configuration of routes before it is sent")                    \
    X("diff", tl_run_diff, "show the edits between two configurations")       \
    X("init", tl_run_init, "write the first configuration to the platform")   \
    X("apply", tl_run_apply, "change the configuration in force")             \
    X("history", tl_run_history, "list the changes made")                     \
    X("rollback", tl_run_rollback, "restore an earlier version as a new one") \
    X("status", tl_run_status, "show one instance and its peers")             \
    X("servers", tl_run_servers, "list backend servers and their state")      \
    X("adapters", tl_run_adapters, "list adapters, versions and shares")      \
    X("explain", tl_run_explain, "show what happened to a request, and why")  \
    X("drain", tl_run_drain, "stop sending new work to a backend server")     \
    X("audit", tl_run_audit, "read the audit trail")                          \
    X("top", tl_run_top, "show backend servers at an interval")               \
    X("report", tl_run_report, "write a page of results of test runs")        \
    X("settings-reference", tl_run_settings_reference,                        \
      "print the reference of all settings")                                  \
    X("metrics-reference", tl_run_metrics_reference,                          \
      "print the reference of all metrics")

typedef tl_exit (*tl_command_function)(int argc, char **argv);

#define TL_DECLARE(name, run, help) tl_exit run(int argc, char **argv);
TL_COMMANDS(TL_DECLARE)
#undef TL_DECLARE

/* Parses options and removes them from argv, which then holds the program
   name and the arguments. Returns false after printing an error. entries may
   be NULL; arguments (such as "FROM TO") and summary are for --help. */
bool tl_parse_options(const GOptionEntry *entries, const char *arguments,
                      const char *summary, int *argc, char ***argv);
/* Prints "lacewing: CODE: MESSAGE" on standard error and returns the exit
   code of the error. */
tl_exit tl_fail(const er_status *status);
tl_exit tl_query_exit_code(er_code code);
/* Writes text to a file, or to standard output if file is "-" or NULL. */
tl_exit tl_write_output(const char *file, const char *text);

/* Prints a JSON response: as JSON, or for people. The latter shows an object
   as lines of name and value, and each list of objects as a table. */
void tl_print_response(JsonNode *response, bool json);
/* The text of a JSON value in a table, shortened if long; NULL for null. Free
   with g_free(). */
char *tl_cell_text(JsonNode *value);

/* A table of text cells, which keeps copies of all texts. */
typedef struct tl_table tl_table;

/* Takes the names of the columns, ended by NULL. */
tl_table *tl_table_create(const char *first, ...) __attribute__((sentinel));
/* Takes the names of the columns as char *. */
tl_table *tl_table_create_columns(const GPtrArray *columns);
void tl_table_destroy(tl_table *table);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(tl_table, tl_table_destroy)
/* Adds a row: one cell for each column, NULL for an empty cell. */
void tl_table_add(tl_table *table, const char *const *cells);
/* The table as aligned columns, or as a JSON list with one object for each
   row. Free with g_free(). */
char *tl_table_query_text(const tl_table *table, bool json);

#endif
