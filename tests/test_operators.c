/* End-to-end test of an operator's work on a running deployment: changes a
   limit, rolls out a version by share, drains a server with drafts in flight
   and reads the audit trail. */
#include "lacewing/hash.h"
#include "shop.h"
#include <check.h>
#include <stdlib.h>
#include <string.h>

#define OPERATOR_KEY "operator-secret"
#define EDITOR_KEY "editor-secret"
#define READY_TIMEOUT_MS 15000
#define IN_FORCE_TIMEOUT_MS 14000
#define POLL_PERIOD_MS 50
#define US_PER_MS 1000

static hn_fleet *fleet;

static void
start_fleet(bool tls)
{
    g_autofree char *shop = sp_config_text();
    g_autofree char *caller = hs_sha256(SHOP_KEY);
    g_autofree char *editor = hs_sha256(EDITOR_KEY);
    g_autofree char *operator= hs_sha256(OPERATOR_KEY);
    g_autofree char *text =
        g_strdup_printf("%s[team shop]\nkeys = caller:%s; editor:%s\n"
                        "[team operators]\nkeys = operator:%s\n",
                        shop, caller, editor, operator);
    fleet = hn_create(&(hn_desc){.tls = tls});
    sp_add_members(fleet);
    ck_assert(hn_start(fleet, text));
    ck_assert(hn_wait_ready(fleet, READY_TIMEOUT_MS));
}

static void
start(void)
{
    start_fleet(false);
}

static void
start_tls(void)
{
    start_fleet(true);
}

static void
stop(void)
{
    hn_destroy(fleet);
}

/* -- running the tool ----------------------------------------------------- */

/* Runs "lacewing ARGUMENTS" against a daemon and checks the exit code. Returns
   standard output and standard error; free with g_free(). */
static char *
run_tool(const char *daemon, const char *arguments, int exit_code)
{
    g_autofree char *line =
        g_strdup_printf("%s/lacewing %s", g_getenv("LACEWING_BIN"), arguments);
    g_auto(GStrv) argv = NULL;
    ck_assert(g_shell_parse_argv(line, NULL, &argv, NULL));
    g_auto(GStrv) environment = g_get_environ();
    environment =
        g_environ_setenv(environment, "LACEWING_ADMIN",
                         hn_query_admin_url(hn_find(fleet, daemon)), TRUE);
    environment =
        g_environ_setenv(environment, "LACEWING_KEY", OPERATOR_KEY, TRUE);
    g_autofree char *out = NULL;
    g_autofree char *err = NULL;
    int status = 0;
    ck_assert(g_spawn_sync(NULL, argv, environment, G_SPAWN_DEFAULT, NULL,
                           NULL, &out, &err, &status, NULL));
    int actual_code =
        g_spawn_check_wait_status(status, NULL) ? 0 : status >> 8;
    ck_assert_msg(actual_code == exit_code, "%s: exit %d\n%s%s", arguments,
                  actual_code, out, err);
    return g_strconcat(out, err, NULL);
}

static void
expect_output(const char *daemon, const char *arguments, int exit_code,
              const char *expected)
{
    g_autofree char *text = run_tool(daemon, arguments, exit_code);
    ck_assert_msg(strstr(text, expected), "%s on %s:\n%s", arguments, daemon,
                  text);
}

/* Repeats the command until its output holds the expected text, at most for
   IN_FORCE_TIMEOUT_MS. */
static void
expect_output_soon(const char *daemon, const char *arguments,
                   const char *expected)
{
    gint64 timeout_at_us =
        g_get_monotonic_time() + IN_FORCE_TIMEOUT_MS * US_PER_MS;
    g_autofree char *text = run_tool(daemon, arguments, 0);
    while (!strstr(text, expected)) {
        ck_assert_msg(g_get_monotonic_time() < timeout_at_us, "%s on %s:\n%s",
                      arguments, daemon, text);
        g_usleep(POLL_PERIOD_MS * US_PER_MS);
        g_free(text);
        text = run_tool(daemon, arguments, 0);
    }
}

static void
expect_output_on_all_daemons(const char *arguments, const char *expected)
{
    static const char *const daemons[] = {"a", "b", "c"};
    for (size_t i = 0; i < G_N_ELEMENTS(daemons); i++) {
        expect_output_soon(daemons[i], arguments, expected);
    }
}

/* -- steps ---------------------------------------------------------------- */

static void
change_a_limit(void)
{
    g_autofree char *file =
        g_build_filename(hn_query_directory(fleet), "edits.json", NULL);
    ck_assert(g_file_set_contents(
        file,
        "[{\"group\":\"limits\",\"key\":\"retry_budget_pct\","
        "\"value\":\"12\"}]",
        -1, NULL));
    g_autofree char *apply =
        g_strdup_printf("apply -e %s -n workflow --wait", file);
    g_autofree char *stale = g_strdup_printf("apply -e %s --expect 0", file);
    expect_output("a", apply, 0, "in force everywhere");
    expect_output("b", stale, 4, "retry_budget_pct");
}

static void
roll_out_a_version(void)
{
    g_autofree char *url =
        g_strdup_printf("%s/admin/v1/adapters/shop-1/roll",
                        hn_query_admin_url(hn_find(fleet, "b")));
    g_auto(ht_response) response = {0};
    ht_send_request(
        &(ht_desc){.url = url,
                   .key = EDITOR_KEY,
                   .body = "{\"version\":\"v3\",\"share_pct\":50}"},
        &response);
    ck_assert_msg(response.status == 200, "%s", response.body);
    expect_output_on_all_daemons("adapters shop-1", "45; 5; 50");
}

static void
expect_versions_served_by_share(void)
{
    uint32_t v3_count = 0;
    const uint32_t count = 40;
    for (uint32_t i = 0; i < count; i++) {
        g_autofree char *prompt = g_strdup_printf("share %u", i);
        g_auto(ht_response) response = {0};
        sp_complete(fleet, "c", "shop-1", prompt, 4, &response);
        ck_assert_msg(response.status == 200, "%s", response.body);
        v3_count += strstr(response.body, "shop-1@v3") ? 1 : 0;
    }
    ck_assert_uint_gt(v3_count, 0);
    ck_assert_uint_lt(v3_count, count);
    g_auto(ht_response) named = {0};
    sp_complete(fleet, "c", "shop-1@v1", "named", 4, &named);
    ck_assert(sp_is_expected(&named, "shop-1@v1", "named", 4));
    g_autofree char *arguments =
        g_strdup_printf("explain %s", named.request_id);
    expect_output("c", arguments, 0, "shop-1@v1");
}

typedef struct draft {
    char *prompt;
    ht_response response;
    GThread *thread;
} draft;

static void *
run_draft(void *data)
{
    draft *self = data;
    sp_complete(fleet, "a", "shop-2@v1", self->prompt, 300, &self->response);
    return NULL;
}

static void
drain_with_drafts_in_flight(void)
{
    draft drafts[16] = {0};
    for (uint32_t i = 0; i < G_N_ELEMENTS(drafts); i++) {
        drafts[i].prompt = g_strdup_printf("drain %u", i);
        drafts[i].thread = g_thread_new("draft", run_draft, &drafts[i]);
    }
    g_usleep(500 * US_PER_MS);
    expect_output("a", "drain e1 --wait 30 -n workflow", 0, "drained");
    for (uint32_t i = 0; i < G_N_ELEMENTS(drafts); i++) {
        g_thread_join(drafts[i].thread);
        ck_assert_msg(sp_is_expected(&drafts[i].response, "shop-2@v1",
                                     drafts[i].prompt, 300),
                      "%s", drafts[i].response.body);
        ht_clear(&drafts[i].response);
        g_free(drafts[i].prompt);
    }
}

static void
expect_nothing_new_on_e1(void)
{
    expect_output_on_all_daemons("servers e1", "drain");
    const char *history = hn_query_history(hn_find(fleet, "e1"));
    g_autofree char *before = NULL;
    g_autofree char *after = NULL;
    g_file_get_contents(history, &before, NULL, NULL);
    for (uint32_t i = 0; i < 12; i++) {
        g_autofree char *model = g_strdup_printf("shop-%u@v1", i);
        g_auto(ht_response) response = {0};
        sp_complete(fleet, "a", model, "after", 8, &response);
        ck_assert(sp_is_expected(&response, model, "after", 8));
    }
    g_file_get_contents(history, &after, NULL, NULL);
    ck_assert_str_eq(before ? before : "", after ? after : "");
}

START_TEST(test_workflow)
{
    change_a_limit();
    roll_out_a_version();
    expect_versions_served_by_share();
    drain_with_drafts_in_flight();
    expect_nothing_new_on_e1();
    expect_output_soon("c", "audit", "retry_budget_pct: (default) -> 12");
    expect_output("c", "audit --who shop:editor", 0, "v1; v2; v3");
    expect_output("c", "audit --group 'server e1'", 0, "-> drain");
    expect_output("b", "audit --refused", 0, "version_conflict");
}
END_TEST

/* The tool refuses a daemon whose certificate it does not trust. */
START_TEST(test_tls)
{
    g_autofree char *trusting =
        g_strdup_printf("status --ca %s", hn_query_ca(fleet));
    expect_output("a", trusting, 0, "config_version");
    expect_output("a", "status", 5, "connection_lost");
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("operators");
    TCase *tests = tcase_create("workflow");
    tcase_set_timeout(tests, 120);
    tcase_add_checked_fixture(tests, start, stop);
    tcase_add_test(tests, test_workflow);
    suite_add_tcase(suite, tests);
    TCase *tls = tcase_create("tls");
    tcase_set_timeout(tls, 60);
    tcase_add_checked_fixture(tls, start_tls, stop);
    tcase_add_test(tls, test_tls);
    suite_add_tcase(suite, tls);
    SRunner *runner = srunner_create(suite);
    srunner_set_fork_status(runner, CK_NOFORK);
    srunner_run_all(runner, CK_VERBOSE);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
