/* End-to-end tests with real processes: TLS for callers and operators, mutual
   TLS between instances. */
#include "shop.h"
#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

static hn_fleet *fleet;

static void
start(void)
{
    fleet = sp_start(true);
}

static void
stop(void)
{
    hn_destroy(fleet);
}

static bool
serves_draft(const char *daemon, const char *model)
{
    g_auto(ht_response) response = {0};
    sp_complete(fleet, daemon, model, "hello", 8, &response);
    return sp_is_expected(&response, model, "hello", 8);
}

START_TEST(test_drafts_are_served_over_tls)
{
    for (uint32_t i = 0; i < 12; i++) {
        g_autofree char *model = g_strdup_printf("shop-%u@v1", i);
        ck_assert(serves_draft(i % 2 ? "a" : "c", model));
    }
}
END_TEST

START_TEST(test_plain_http_and_unknown_authority_are_refused)
{
    const char *url = hn_query_url(hn_find(fleet, "a"));
    g_autofree char *plain =
        g_strdup_printf("http%s/healthz", url + strlen("https"));
    g_auto(ht_response) refused = {0};
    ht_send_request(&(ht_desc){.url = plain, .timeout_ms = 2000}, &refused);
    ck_assert_uint_eq(refused.status, 0);
    /* A caller without the certificate authority rejects the daemon's
       certificate. */
    g_autofree char *healthz = g_strdup_printf("%s/healthz", url);
    g_auto(ht_response) untrusted = {0};
    ht_send_request(&(ht_desc){.url = healthz, .timeout_ms = 2000},
                    &untrusted);
    ck_assert_uint_eq(untrusted.status, 0);
}
END_TEST

START_TEST(test_certificates_are_reloaded_on_sighup)
{
    ck_assert(serves_draft("a", "shop-1@v1"));
    ck_assert(hn_renew_certificates(fleet));
    ck_assert(!serves_draft("a", "shop-1@v1"));
    hn_signal(hn_find(fleet, "a"), SIGHUP);
    hn_signal(hn_find(fleet, "b"), SIGHUP);
    hn_signal(hn_find(fleet, "c"), SIGHUP);
    ck_assert(hn_wait_ready(fleet, 10000));
    ck_assert(serves_draft("a", "shop-1@v1"));
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("tls");
    TCase *tests = tcase_create("all");
    tcase_set_timeout(tests, 120);
    tcase_add_unchecked_fixture(tests, start, stop);
    tcase_add_test(tests, test_drafts_are_served_over_tls);
    tcase_add_test(tests, test_plain_http_and_unknown_authority_are_refused);
    tcase_add_test(tests, test_certificates_are_reloaded_on_sighup);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_set_fork_status(runner, CK_NOFORK);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
