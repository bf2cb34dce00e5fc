/* Runs the lacewing program as a child process. The test process serves the
   administration API that it calls. */
#include "../../admin/tests/host.h"
#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

typedef struct result {
    bool done;
    int exit_code;
    char *out;
    char *err;
} result;

static void
on_process_end(GObject *source, GAsyncResult *ended, void *data)
{
    result *got = data;
    GSubprocess *process = G_SUBPROCESS(source);
    ck_assert(g_subprocess_communicate_utf8_finish(process, ended, &got->out,
                                                   &got->err, NULL));
    got->exit_code = g_subprocess_get_exit_status(process);
    got->done = true;
}

/* Runs "lacewing ARGUMENTS". at, unless it is NULL, is the host whose URL is
   put into the environment, together with the key. */
static result
run(const host *at, const char *key, const char *arguments)
{
    g_autofree char *program =
        g_build_filename(g_getenv("LACEWING_BIN"), "lacewing", NULL);
    g_autofree char *line = g_strdup_printf("%s %s", program, arguments);
    g_auto(GStrv) argv = NULL;
    ck_assert(g_shell_parse_argv(line, NULL, &argv, NULL));
    g_autoptr(GSubprocessLauncher) launcher = g_subprocess_launcher_new(
        G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_PIPE);
    if (at) {
        g_subprocess_launcher_setenv(launcher, "LACEWING_ADMIN", at->url,
                                     TRUE);
        g_subprocess_launcher_setenv(launcher, "LACEWING_KEY", key, TRUE);
    }
    g_autoptr(GSubprocess) process = g_subprocess_launcher_spawnv(
        launcher, (const char *const *)argv, NULL);
    ck_assert_ptr_nonnull(process);
    result got = {0};
    g_subprocess_communicate_utf8_async(process, NULL, NULL, on_process_end,
                                        &got);
    while (!got.done) {
        g_main_context_iteration(NULL, TRUE);
    }
    return got;
}

/* Checks the exit code, and that standard output or standard error contains
   expected_text, unless it is NULL. */
static void
expect(const host *at, const char *key, const char *arguments, int exit_code,
       const char *expected_text)
{
    result got = run(at, key, arguments);
    ck_assert_msg(got.exit_code == exit_code, "%s: exit %d\n%s\n%s", arguments,
                  got.exit_code, got.out, got.err);
    ck_assert_msg(!expected_text || strstr(got.out, expected_text) ||
                      strstr(got.err, expected_text),
                  "%s:\n%s\n%s", arguments, got.out, got.err);
    g_free(got.out);
    g_free(got.err);
}

static char *
write_file(const char *directory, const char *name, const char *text)
{
    char *path = g_build_filename(directory, name, NULL);
    ck_assert(g_file_set_contents(path, text, -1, NULL));
    return path;
}

START_TEST(test_read_commands)
{
    host *at = host_create(NULL);
    expect(at, "op-key", "status", 0, "instance");
    expect(at, "op-key", "servers", 0, "ready  check   test");
    expect(at, "op-key", "servers engine-1", 0, "10.0.0.1:80");
    expect(at, "op-key", "servers nothing", 3, "not_found");
    expect(at, "editor-key", "adapters", 0, "binder");
    expect(at, "editor-key", "adapters other", 3, "not_found");
    expect(at, "editor-key", "status", 3, "forbidden");
    expect(at, "bad-key", "status", 3, "unauthorized");
    expect(at, "editor-key", "explain r-1", 0, "r-1");
    expect(at, "op-key", "explain r-2", 3, "not_found");
    expect(at, "op-key", "top -n 2 -i 0.01", 0, "order-1");
    expect(at, "op-key", "audit", 0, "VERSION");
    expect(at, "op-key", "explain", 2, "needs one REQUEST");
    expect(at, "op-key", "status --nothing", 2, "--nothing");
    expect(NULL, NULL, "status", 2, "--admin");
    expect(NULL, NULL, "nothing", 2, "Commands");
    expect(NULL, NULL, "--help", 0, "Exit codes");
    host_destroy(at, true);
}
END_TEST

START_TEST(test_json_output)
{
    static const char *const commands[] = {
        "status --json",        "servers --json", "adapters --json",
        "audit --json",         "history --json", "explain r-1 --json",
        "drain engine-2 --json"};
    host *at = host_create(NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        result got = run(at, "op-key", commands[i]);
        g_autoptr(JsonNode) node = json_from_string(got.out, NULL);
        ck_assert_msg(node && got.exit_code == 0, "%s: %s", commands[i],
                      got.out);
        g_free(got.out);
        g_free(got.err);
    }
    host_destroy(at, true);
}
END_TEST

/* Applies a file, is refused for a version that is no longer in force, rolls
   back, and reads the audit trail. */
START_TEST(test_change_commands)
{
    host *at = host_create(NULL);
    g_autofree char *directory = g_dir_make_tmp("lacewing-XXXXXX", NULL);
    g_autofree char *text = dc_query_text(at->config);
    g_autofree char *more = g_strconcat(
        text, "[adapter new]\nmodel=base\nteam=volunteers\nversions=1\n",
        NULL);
    g_autofree char *file = write_file(directory, "new.ini", more);
    g_autofree char *edits = write_file(
        directory, "edits.json",
        "[{\"group\":\"limits\",\"key\":\"load_ms\",\"value\":\"300\"}]");
    g_autofree char *apply = g_strdup_printf("apply %s -n more", file);
    g_autofree char *dry = g_strdup_printf("apply --dry-run %s", file);
    g_autofree char *old = g_strdup_printf("apply -e %s --expect 1", edits);
    g_autofree char *fresh = g_strdup_printf("apply -e %s -w", edits);
    expect(at, "op-key", dry, 0, "operation_on_one_server");
    ck_assert_uint_eq(at->version, 1);
    expect(at, "op-key", apply, 0, "version 2");
    expect(at, "op-key", apply, 0, "version 2");
    expect(at, "op-key", old, 4, "adapter new");
    expect(at, "op-key", "drain engine-9", 3, "not_found");
    expect(at, "op-key", "drain order-1", 3, "operation_without_server");
    expect(at, "op-key", "drain order-1 --force", 0, "version 3");
    expect(at, "op-key", "drain order-1 --undo", 0, "version 4");
    expect(at, "op-key", "rollback 1", 0, "version 5");
    g_autofree char *back = dc_query_text(at->config);
    ck_assert_str_eq(back, text);
    expect(at, "op-key", "history", 0, "and 2 more");
    expect(at, "op-key", "audit --group 'server order-1'", 0,
           "state: (default) -> drain");
    expect(at, "op-key", "audit --refused", 0, "version_conflict");
    expect(at, "editor-key", "rollback 4", 3, "forbidden");
    ck_assert_uint_eq(at->version, 5);
    expect(at, "op-key", fresh, 0, "version 6 in force everywhere");
    remove(file);
    remove(edits);
    rmdir(directory);
    host_destroy(at, true);
}
END_TEST

/* If the response is lost after the change was committed, the tool asks for
   the outcome and reports success. If the table is down, it reports that
   nothing was committed. */
START_TEST(test_lost_response)
{
    host *at = host_create(NULL);
    pf_memory_table_set_faults(
        at->table, &(pf_memory_table_faults){.lose_answers = true});
    expect(at, "op-key", "drain engine-2", 0, "asking whether change");
    pf_memory_table_set_faults(at->table,
                               &(pf_memory_table_faults){.down = true});
    expect(at, "op-key", "drain engine-1 --force", 5, "not committed");
    host_destroy(at, true);
}
END_TEST

START_TEST(test_unreachable)
{
    host *at = host_create(NULL);
    soup_server_disconnect(at->server);
    expect(at, "op-key", "status", 5, "connection_lost");
    host_destroy(at, true);
}
END_TEST

START_TEST(test_commands_without_daemon)
{
    g_autofree char *answers = g_build_filename(
        g_getenv("LACEWING_SRC"), "examples", "association.answers.ini", NULL);
    g_autofree char *directory = g_dir_make_tmp("lacewing-XXXXXX", NULL);
    g_autofree char *file = g_build_filename(directory, "a.ini", NULL);
    g_autofree char *make =
        g_strdup_printf("questionnaire -a %s -o %s", answers, file);
    g_autofree char *check = g_strdup_printf("check %s", file);
    g_autofree char *check_json = g_strdup_printf("check --json %s", file);
    g_autofree char *same = g_strdup_printf("diff %s %s", file, file);
    expect(NULL, NULL, make, 0, NULL);
    expect(NULL, NULL, check, 0, "3000 adapters");
    expect(NULL, NULL, check_json, 0, "[]");
    expect(NULL, NULL, same, 0, NULL);
    g_autofree char *text = NULL;
    ck_assert(g_file_get_contents(file, &text, NULL, NULL));
    g_autofree char *more = g_strconcat(text, "[zone far]\n", NULL);
    g_autofree char *other = write_file(directory, "b.ini", more);
    g_autofree char *found = g_strdup_printf("check %s", other);
    g_autofree char *differ = g_strdup_printf("diff %s %s", file, other);
    expect(NULL, NULL, found, 1, "zone_without_server");
    expect(NULL, NULL, differ, 1, "zone far");
    expect(NULL, NULL, "check /nothing", 6, "/nothing");
    g_autofree char *wrong = write_file(directory, "c.ini", "[zone\n");
    g_autofree char *refused = g_strdup_printf("check %s", wrong);
    expect(NULL, NULL, refused, 6, "c.ini");
    remove(file);
    remove(other);
    remove(wrong);
    rmdir(directory);
}
END_TEST

/* docs/SETTINGS.md is the current output of settings-reference. */
START_TEST(test_settings_reference)
{
    g_autofree char *path = g_build_filename(g_getenv("LACEWING_SRC"), "docs",
                                             "SETTINGS.md", NULL);
    g_autofree char *page = NULL;
    ck_assert(g_file_get_contents(path, &page, NULL, NULL));
    result got = run(NULL, NULL, "settings-reference");
    ck_assert_str_eq(got.out, page);
    g_free(got.out);
    g_free(got.err);
}
END_TEST

/* docs/METRICS.md is the current output of metrics-reference. */
START_TEST(test_metrics_reference)
{
    g_autofree char *path =
        g_build_filename(g_getenv("LACEWING_SRC"), "docs", "METRICS.md", NULL);
    g_autofree char *page = NULL;
    ck_assert(g_file_get_contents(path, &page, NULL, NULL));
    result got = run(NULL, NULL, "metrics-reference");
    ck_assert_str_eq(got.out, page);
    g_free(got.out);
    g_free(got.err);
}
END_TEST

/* The Bash completion names each command that --help lists. */
START_TEST(test_completion)
{
    g_autofree char *path =
        g_build_filename(g_getenv("LACEWING_SRC"), "packages", "tool",
                         "completion", "lacewing.bash", NULL);
    g_autofree char *completion = NULL;
    ck_assert(g_file_get_contents(path, &completion, NULL, NULL));
    result got = run(NULL, NULL, "--help");
    g_auto(GStrv) lines = g_strsplit(got.out, "\n", -1);
    uint32_t commands = 0;
    for (uint32_t i = 3; lines[i] && *lines[i]; i++) {
        g_auto(GStrv) words = g_strsplit(lines[i] + 2, " ", 2);
        ck_assert_msg(strstr(completion, words[0]), "%s", words[0]);
        commands++;
    }
    ck_assert_uint_gt(commands, 10);
    g_free(got.out);
    g_free(got.err);
}
END_TEST

START_TEST(test_report)
{
    g_autofree char *directory = g_dir_make_tmp("lacewing-XXXXXX", NULL);
    g_autofree char *file = write_file(
        directory, "lines.txt",
        "measure=crest deployment=trust seed=7 baseline=0.41 ours=0.93 "
        "ratio=2.27 violations=0\n"
        "words without figures\n"
        "measure=crest deployment=trust seed=8 baseline=0.40 ours=0.92 "
        "ratio=2.30 violations=3\n"
        "at_ms=0 in_flight=4\nat_ms=500 in_flight=9\n"
        "event=kill target=<a>\n");
    g_autofree char *arguments = g_strdup_printf("report %s", file);
    result got = run(NULL, NULL, arguments);
    ck_assert_int_eq(got.exit_code, 0);
    uint32_t drawings = 0;
    for (const char *at = got.out; (at = strstr(at, "<svg")); at++) {
        drawings++;
    }
    ck_assert_uint_eq(drawings, 3);
    ck_assert_ptr_nonnull(strstr(got.out, "class=\"n bad\">3<"));
    ck_assert_ptr_nonnull(strstr(got.out, "target=&lt;a&gt;"));
    ck_assert_ptr_nonnull(strstr(got.out, "0 to 9, from 0 to 500 ms"));
    ck_assert_ptr_null(strstr(got.out, "words without"));
    g_free(got.out);
    g_free(got.err);
    expect(NULL, NULL, "report /dev/null", 3, "no line");
    remove(file);
    rmdir(directory);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("tool");
    TCase *tests = tcase_create("all");
    tcase_set_timeout(tests, 60);
    tcase_add_test(tests, test_read_commands);
    tcase_add_test(tests, test_json_output);
    tcase_add_test(tests, test_change_commands);
    tcase_add_test(tests, test_lost_response);
    tcase_add_test(tests, test_unreachable);
    tcase_add_test(tests, test_commands_without_daemon);
    tcase_add_test(tests, test_settings_reference);
    tcase_add_test(tests, test_metrics_reference);
    tcase_add_test(tests, test_completion);
    tcase_add_test(tests, test_report);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
