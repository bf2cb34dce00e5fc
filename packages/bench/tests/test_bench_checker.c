/* The checker counts each kind of violation, and nothing else. */
#include "checker.h"
#include <check.h>
#include <stdlib.h>

static vc_checker *checker;

static void
setup(void)
{
    checker = vc_create(&(vc_desc){.servers = 4,
                                   .adapters = 10,
                                   .loads_per_s_milli = 4000,
                                   .loads_in_transit = 3});
    vc_add_leg(checker, 0, 7, VC_NO_PARENT);
}

static void
teardown(void)
{
    vc_destroy(checker);
}

static void
expect_only(vc_kind kind, uint32_t count)
{
    ck_assert_uint_eq(vc_query_count(checker, kind), count);
    ck_assert_uint_eq(vc_query_total(checker), count);
}

START_TEST(test_no_violation)
{
    vc_start_load(checker, 0);
    vc_end_load(checker);
    vc_start_attempt(checker, 10, 0, 1, 7);
    vc_end_attempt(checker, 0, 1, 7, false);
    vc_evict(checker, 1, 7);
    vc_end_leg(checker, 0);
    ck_assert_uint_eq(vc_query_total(checker), 0);
}
END_TEST

START_TEST(test_wrong_adapter)
{
    vc_start_attempt(checker, 0, 0, 1, 6);
    expect_only(VC_WRONG_ADAPTER, 1);
}
END_TEST

START_TEST(test_evicted_in_use)
{
    vc_start_attempt(checker, 0, 0, 1, 7);
    vc_evict(checker, 2, 7);
    vc_evict(checker, 1, 6);
    ck_assert_uint_eq(vc_query_total(checker), 0);
    vc_evict(checker, 1, 7);
    expect_only(VC_EVICTED_IN_USE, 1);
}
END_TEST

START_TEST(test_store_transit)
{
    for (int i = 0; i < 3; i++) {
        vc_start_load(checker, (uint64_t)i * 1000000);
    }
    ck_assert_uint_eq(vc_query_total(checker), 0);
    vc_start_load(checker, 3000000);
    expect_only(VC_STORE_TRANSIT, 1);
}
END_TEST

START_TEST(test_store_rate)
{
    /* A burst of three loads, then four per second. */
    for (int i = 0; i < 3; i++) {
        vc_start_load(checker, 0);
        vc_end_load(checker);
    }
    for (int i = 1; i <= 8; i++) {
        vc_start_load(checker, (uint64_t)i * 250000);
        vc_end_load(checker);
    }
    ck_assert_uint_eq(vc_query_total(checker), 0);
    vc_start_load(checker, 8 * 250000 + 1000);
    expect_only(VC_STORE_RATE, 1);
}
END_TEST

START_TEST(test_sent_to_leaving)
{
    vc_set_leaving(checker, 1000000, 1);
    vc_start_attempt(checker, 4000000, 0, 1, 7);
    vc_start_attempt(checker, 9000000, 0, 2, 7);
    ck_assert_uint_eq(vc_query_total(checker), 0);
    vc_start_attempt(checker, 4000001, 0, 1, 7);
    expect_only(VC_SENT_TO_LEAVING, 1);
}
END_TEST

START_TEST(test_refused_but_sent)
{
    vc_start_attempt(checker, 0, 0, 1, 7);
    vc_end_attempt(checker, 0, 1, 7, false);
    vc_refuse_leg(checker, 0, false);
    expect_only(VC_REFUSED_BUT_SENT, 1);
}
END_TEST

START_TEST(test_refused_after_confirmed_not_started)
{
    vc_start_attempt(checker, 0, 0, 1, 7);
    vc_end_attempt(checker, 0, 1, 7, true);
    vc_refuse_leg(checker, 0, false);
    ck_assert_uint_eq(vc_query_total(checker), 0);
}
END_TEST

START_TEST(test_refused_but_sent_by_forwarded_leg)
{
    vc_add_leg(checker, 1, 7, 0);
    vc_start_attempt(checker, 0, 1, 1, 7);
    vc_refuse_leg(checker, 1, true);
    ck_assert_uint_eq(vc_query_total(checker), 0);
    vc_refuse_leg(checker, 0, false);
    expect_only(VC_REFUSED_BUT_SENT, 1);
}
END_TEST

START_TEST(test_two_ends)
{
    vc_end_leg(checker, 0);
    vc_refuse_leg(checker, 0, true);
    expect_only(VC_TWO_ENDS, 1);
}
END_TEST

START_TEST(test_sent_after_end)
{
    vc_end_leg(checker, 0);
    vc_start_attempt(checker, 0, 0, 1, 7);
    expect_only(VC_SENT_AFTER_END, 1);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("checker");
    TCase *tests = tcase_create("violations");
    tcase_add_checked_fixture(tests, setup, teardown);
    tcase_add_test(tests, test_no_violation);
    tcase_add_test(tests, test_wrong_adapter);
    tcase_add_test(tests, test_evicted_in_use);
    tcase_add_test(tests, test_store_transit);
    tcase_add_test(tests, test_store_rate);
    tcase_add_test(tests, test_sent_to_leaving);
    tcase_add_test(tests, test_refused_but_sent);
    tcase_add_test(tests, test_refused_after_confirmed_not_started);
    tcase_add_test(tests, test_refused_but_sent_by_forwarded_leg);
    tcase_add_test(tests, test_two_ends);
    tcase_add_test(tests, test_sent_after_end);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
