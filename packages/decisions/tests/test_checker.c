/*
 * The checker counts each kind of violation, and only that kind. Without this
 * the property tests could pass because the checker misses a violation.
 */
#include "checker.h"
#include <check.h>
#include <stdlib.h>

static ck_checker *checker;

static void
setup(void)
{
    checker = ck_create(2, 2, 2);
    checker->copy_states[1][7] = CK_RESIDENT;
    ck_on_request(checker, 0, 7);
    ck_on_request(checker, 1, 7);
    ck_on_request(checker, 2, 7);
}

static void
teardown(void)
{
    ck_destroy(checker);
}

static void
take_action(uint64_t now_us, lwd_action_type type, uint64_t tag,
            uint64_t attempt)
{
    ck_on_action(checker, now_us,
                 &(lwd_action){.type = type,
                               .tag = tag,
                               .attempt = {attempt},
                               .server_tag = 1,
                               .adapter_tag = 7});
}

/* Asserts the count of one kind, and that no other kind was counted. */
static void
assert_only(ck_kind kind, uint32_t times)
{
    for (uint32_t other = 0; other < CK_KIND_NUM; other++) {
        ck_assert_msg(checker->counts[other] == (other == kind ? times : 0),
                      "%s %u", ck_names[other], checker->counts[other]);
    }
}

START_TEST(test_clean_run_has_no_violations)
{
    take_action(0, LWD_ACTION_SEND, 0, 1);
    ck_on_attempt_end(checker, 1, true);
    ck_on_request_end(checker, 0);
    take_action(1, LWD_ACTION_EVICT, 0, 0);
    ck_assert_uint_eq(ck_total_violations(checker), 0);
}
END_TEST

START_TEST(test_wrong_adapter)
{
    checker->requests[0].adapter = 8;
    take_action(0, LWD_ACTION_SEND, 0, 1);
    assert_only(CK_WRONG_ADAPTER, 1);
}
END_TEST

START_TEST(test_not_held)
{
    checker->copy_states[1][7] = CK_LOADING;
    take_action(0, LWD_ACTION_SEND, 0, 1);
    assert_only(CK_NOT_HELD, 1);
}
END_TEST

START_TEST(test_evicted_in_use)
{
    take_action(0, LWD_ACTION_SEND, 0, 1);
    take_action(1, LWD_ACTION_EVICT, 0, 0);
    assert_only(CK_EVICTED_IN_USE, 1);
}
END_TEST

START_TEST(test_evicted_soon_after_cancel)
{
    take_action(1, LWD_ACTION_SEND, 0, 1);
    take_action(2, LWD_ACTION_CANCEL, 0, 1);
    take_action(CK_CANCEL_US / 2, LWD_ACTION_EVICT, 0, 0);
    assert_only(CK_EVICTED_IN_USE, 1);
}
END_TEST

START_TEST(test_evicted_unsettled)
{
    checker->handover_until_us[1] = 100;
    take_action(99, LWD_ACTION_EVICT, 0, 0);
    assert_only(CK_EVICTED_UNSETTLED, 1);
}
END_TEST

START_TEST(test_two_ends)
{
    take_action(0, LWD_ACTION_REFUSE, 0, 0);
    take_action(0, LWD_ACTION_REFUSE, 0, 0);
    assert_only(CK_TWO_ENDS, 1);
}
END_TEST

START_TEST(test_sent_after_end)
{
    take_action(0, LWD_ACTION_REFUSE, 0, 0);
    take_action(1, LWD_ACTION_SEND, 0, 1);
    assert_only(CK_SENT_AFTER_END, 1);
}
END_TEST

START_TEST(test_sent_to_leaving)
{
    checker->leaving[1] = true;
    take_action(0, LWD_ACTION_SEND, 0, 1);
    assert_only(CK_SENT_TO_LEAVING, 1);
}
END_TEST

START_TEST(test_refused_but_sent)
{
    take_action(0, LWD_ACTION_SEND, 0, 1);
    ck_on_attempt_end(checker, 1, false);
    take_action(0, LWD_ACTION_SEND, 0, 2);
    ck_on_attempt_end(checker, 2, true);
    take_action(1, LWD_ACTION_REFUSE, 0, 0);
    assert_only(CK_REFUSED_BUT_SENT, 1);
}
END_TEST

START_TEST(test_load_rate)
{
    for (uint32_t at = 0; at < 3; at++) {
        checker->copy_states[1][7] = CK_ABSENT;
        take_action(at, LWD_ACTION_LOAD, 0, 0);
        ck_on_load_end(checker, 1, 7, true);
    }
    assert_only(CK_LOAD_RATE, 1);
}
END_TEST

START_TEST(test_load_transit)
{
    for (uint64_t at = 0; at < 3; at++) {
        checker->copy_states[1][7] = CK_ABSENT;
        take_action(at * 2000000, LWD_ACTION_LOAD, 0, 0);
    }
    assert_only(CK_LOAD_TRANSIT, 1);
}
END_TEST

START_TEST(test_loaded_twice)
{
    take_action(0, LWD_ACTION_LOAD, 0, 0);
    assert_only(CK_LOADED_TWICE, 1);
}
END_TEST

START_TEST(test_too_many_running)
{
    take_action(0, LWD_ACTION_SEND, 0, 1);
    take_action(0, LWD_ACTION_SEND, 1, 2);
    take_action(0, LWD_ACTION_SEND, 2, 3);
    assert_only(CK_TOO_MANY_RUNNING, 1);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("checker");
    TCase *tests = tcase_create("checker");
    tcase_add_checked_fixture(tests, setup, teardown);
    tcase_add_test(tests, test_clean_run_has_no_violations);
    tcase_add_test(tests, test_wrong_adapter);
    tcase_add_test(tests, test_not_held);
    tcase_add_test(tests, test_evicted_in_use);
    tcase_add_test(tests, test_evicted_soon_after_cancel);
    tcase_add_test(tests, test_evicted_unsettled);
    tcase_add_test(tests, test_two_ends);
    tcase_add_test(tests, test_sent_after_end);
    tcase_add_test(tests, test_sent_to_leaving);
    tcase_add_test(tests, test_refused_but_sent);
    tcase_add_test(tests, test_load_rate);
    tcase_add_test(tests, test_load_transit);
    tcase_add_test(tests, test_loaded_twice);
    tcase_add_test(tests, test_too_many_running);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
