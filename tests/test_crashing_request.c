/* End-to-end test with real processes: a request that crashes each engine that
   runs it must not be retried until all engines are down. After two crashes
   the instances reject it, also if it is sent again. */
#include "shop.h"
#include <check.h>
#include <stdlib.h>

static hn_fleet *fleet;

static void
start(void)
{
    fleet = sp_start(false);
}

static void
stop(void)
{
    hn_destroy(fleet);
}

static const char *const engines[] = {"e1", "e2", "e3", "e4"};

static void
send_order_to_engines(const char *order)
{
    for (size_t i = 0; i < G_N_ELEMENTS(engines); i++) {
        ck_assert(hn_send_order(hn_find(fleet, engines[i]), order));
    }
}

START_TEST(test_request_that_crashes_servers_is_rejected)
{
    send_order_to_engines("{\"order\":\"crash_on\",\"text\":\"POISON\"}");
    uint32_t rejected = 0;
    static const char *const daemons[] = {"a", "b", "c"};
    for (uint32_t i = 0; i < 6; i++) {
        g_auto(ht_response) response = {0};
        sp_complete(fleet, daemons[i % 3], "shop-1@v1", "a POISON", 40,
                    &response);
        g_autofree char *type = ht_query_error_field(&response, "type");
        ck_assert_uint_ne(response.status, 200);
        rejected += g_strcmp0(type, "request_crashes_servers") == 0;
    }
    uint32_t crashed = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(engines); i++) {
        crashed += !hn_query_running(hn_find(fleet, engines[i]));
    }
    ck_assert_uint_ge(rejected, 5);
    ck_assert_uint_le(crashed, 2);
    g_auto(ht_response) harmless = {0};
    sp_complete(fleet, "a", "shop-1@v1", "innocent", 10, &harmless);
    ck_assert(sp_is_expected(&harmless, "shop-1@v1", "innocent", 10));
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("crashing_request");
    TCase *tests = tcase_create("all");
    tcase_set_timeout(tests, 120);
    tcase_add_checked_fixture(tests, start, stop);
    tcase_add_test(tests, test_request_that_crashes_servers_is_rejected);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_set_fork_status(runner, CK_NOFORK);
    srunner_run_all(runner, CK_VERBOSE);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
