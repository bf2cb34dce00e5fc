/* An operator's walk through a running deployment: a limit, a version by
   share, the audit trail, a server drained with drafts in flight. */
#include "lacewing/hash.h"
#include "shop.h"
#include <check.h>
#include <stdlib.h>
#include <string.h>

#define OPERATOR_KEY "walk-operator"
#define EDITOR_KEY "walk-editor"
#define READY_MS 15000
#define IN_FORCE_MS 14000
#define POLL_MS 50
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
    ck_assert(hn_wait_ready(fleet, READY_MS));
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

/* -- the tool ------------------------------------------------------------- */

/* Runs "lacewing WORDS" against a daemon; what it prints. */
static char *
tool(const char *daemon, const char *words, int exit_code)
{
    g_autofree char *line =
        g_strdup_printf("%s/lacewing %s", g_getenv("LACEWING_BIN"), words);
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
    int code = g_spawn_check_wait_status(status, NULL) ? 0 : status >> 8;
    ck_assert_msg(code == exit_code, "%s: exit %d\n%s%s", words, code, out,
                  err);
    return g_strconcat(out, err, NULL);
}

static void
expect(const char *daemon, const char *words, int exit_code, const char *says)
{
    g_autofree char *text = tool(daemon, words, exit_code);
    ck_assert_msg(strstr(text, says), "%s on %s:\n%s", words, daemon, text);
}

/* Until a daemon's answer says this, at most IN_FORCE_MS. */
static void
expect_soon(const char *daemon, const char *words, const char *says)
{
    gint64 end_us = g_get_monotonic_time() + IN_FORCE_MS * US_PER_MS;
    g_autofree char *text = tool(daemon, words, 0);
    while (!strstr(text, says)) {
        ck_assert_msg(g_get_monotonic_time() < end_us, "%s on %s:\n%s", words,
                      daemon, text);
        g_usleep(POLL_MS * US_PER_MS);
        g_free(text);
        text = tool(daemon, words, 0);
    }
}

static void
expect_everywhere(const char *words, const char *says)
{
    static const char *const daemons[] = {"a", "b", "c"};
    for (size_t i = 0; i < G_N_ELEMENTS(daemons); i++) {
        expect_soon(daemons[i], words, says);
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
        g_strdup_printf("apply -e %s -n walk --wait", file);
    g_autofree char *stale = g_strdup_printf("apply -e %s --expect 0", file);
    expect("a", apply, 0, "in force everywhere");
    expect("b", stale, 4, "retry_budget_pct");
}

static void
roll_a_version_out(void)
{
    g_autofree char *url =
        g_strdup_printf("%s/admin/v1/adapters/shop-1/roll",
                        hn_query_admin_url(hn_find(fleet, "b")));
    g_auto(ht_response) answer = {0};
    ht_send_request(
        &(ht_desc){.url = url,
                   .key = EDITOR_KEY,
                   .body = "{\"version\":\"v3\",\"share_pct\":50}"},
        &answer);
    ck_assert_msg(answer.status == 200, "%s", answer.body);
    expect_everywhere("adapters shop-1", "45; 5; 50");
}

static void
expect_shares_served(void)
{
    uint32_t newer = 0;
    const uint32_t count = 40;
    for (uint32_t i = 0; i < count; i++) {
        g_autofree char *prompt = g_strdup_printf("share %u", i);
        g_auto(ht_response) answer = {0};
        sp_complete(fleet, "c", "shop-1", prompt, 4, &answer);
        ck_assert_msg(answer.status == 200, "%s", answer.body);
        newer += strstr(answer.body, "shop-1@v3") ? 1 : 0;
    }
    ck_assert_uint_gt(newer, 0);
    ck_assert_uint_lt(newer, count);
    g_auto(ht_response) named = {0};
    sp_complete(fleet, "c", "shop-1@v1", "named", 4, &named);
    ck_assert(sp_is_expected(&named, "shop-1@v1", "named", 4));
    g_autofree char *words = g_strdup_printf("explain %s", named.request_id);
    expect("c", words, 0, "shop-1@v1");
}

typedef struct draft {
    char *prompt;
    ht_response answer;
    GThread *thread;
} draft;

static void *
run_draft(void *data)
{
    draft *self = data;
    sp_complete(fleet, "a", "shop-2@v1", self->prompt, 300, &self->answer);
    return NULL;
}

static void
drain_in_mid_work(void)
{
    draft drafts[16] = {0};
    for (uint32_t i = 0; i < G_N_ELEMENTS(drafts); i++) {
        drafts[i].prompt = g_strdup_printf("drain %u", i);
        drafts[i].thread = g_thread_new("draft", run_draft, &drafts[i]);
    }
    g_usleep(500 * US_PER_MS);
    expect("a", "drain e1 --wait 30 -n walk", 0, "drained");
    for (uint32_t i = 0; i < G_N_ELEMENTS(drafts); i++) {
        g_thread_join(drafts[i].thread);
        ck_assert_msg(sp_is_expected(&drafts[i].answer, "shop-2@v1",
                                     drafts[i].prompt, 300),
                      "%s", drafts[i].answer.body);
        ht_clear(&drafts[i].answer);
        g_free(drafts[i].prompt);
    }
}

static void
expect_nothing_new_on_e1(void)
{
    expect_everywhere("servers e1", "drain");
    const char *history = hn_query_history(hn_find(fleet, "e1"));
    g_autofree char *before = NULL;
    g_autofree char *after = NULL;
    g_file_get_contents(history, &before, NULL, NULL);
    for (uint32_t i = 0; i < 12; i++) {
        g_autofree char *model = g_strdup_printf("shop-%u@v1", i);
        g_auto(ht_response) answer = {0};
        sp_complete(fleet, "a", model, "after", 8, &answer);
        ck_assert(sp_is_expected(&answer, model, "after", 8));
    }
    g_file_get_contents(history, &after, NULL, NULL);
    ck_assert_str_eq(before ? before : "", after ? after : "");
}

START_TEST(test_walk)
{
    change_a_limit();
    roll_a_version_out();
    expect_shares_served();
    drain_in_mid_work();
    expect_nothing_new_on_e1();
    expect_soon("c", "audit", "retry_budget_pct: (default) -> 12");
    expect("c", "audit --who shop:editor", 0, "v1; v2; v3");
    expect("c", "audit --group 'server e1'", 0, "-> drain");
    expect("b", "audit --refused", 0, "version_conflict");
}
END_TEST

/* The tool talks only to a daemon whose certificate it trusts. */
START_TEST(test_tls)
{
    g_autofree char *trusting =
        g_strdup_printf("status --ca %s", hn_query_ca(fleet));
    expect("a", trusting, 0, "config_version");
    expect("a", "status", 5, "connection_lost");
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("operators");
    TCase *tests = tcase_create("walk");
    tcase_set_timeout(tests, 120);
    tcase_add_checked_fixture(tests, start, stop);
    tcase_add_test(tests, test_walk);
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
