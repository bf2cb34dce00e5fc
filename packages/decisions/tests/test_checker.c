/* The checker of the property runs finds each violation when it is there. */
#include "checker.h"
#include <check.h>
#include <stdlib.h>

static ck_checker *checker;

static void
setup(void)
{
    checker = ck_create(2, 2, 2);
    checker->holding[1][7] = CK_HELD;
    ck_enter(checker, 0, 7);
    ck_enter(checker, 1, 7);
    ck_enter(checker, 2, 7);
}

static void
teardown(void)
{
    ck_destroy(checker);
}

static void
act(uint64_t now_us, lwd_action_type type, uint64_t tag, uint64_t attempt)
{
    ck_on_action(checker, now_us,
                 &(lwd_action){.type = type,
                               .tag = tag,
                               .attempt = {attempt},
                               .server_tag = 1,
                               .adapter_tag = 7});
}

/* Just this kind was found, so many times. */
static void
found(ck_kind kind, uint32_t times)
{
    for (uint32_t other = 0; other < CK_KIND_NUM; other++) {
        ck_assert_msg(checker->counts[other] == (other == kind ? times : 0),
                      "%s %u", ck_names[other], checker->counts[other]);
    }
}

START_TEST(test_clean_run_is_clean)
{
    act(0, LWD_ACTION_SEND, 0, 1);
    ck_attempt_over(checker, 1, true);
    ck_end(checker, 0);
    act(1, LWD_ACTION_EVICT, 0, 0);
    ck_assert_uint_eq(ck_total(checker), 0);
}
END_TEST

START_TEST(test_wrong_adapter)
{
    checker->requests[0].adapter = 8;
    act(0, LWD_ACTION_SEND, 0, 1);
    found(CK_WRONG_ADAPTER, 1);
}
END_TEST

START_TEST(test_not_held)
{
    checker->holding[1][7] = CK_LOADING;
    act(0, LWD_ACTION_SEND, 0, 1);
    found(CK_NOT_HELD, 1);
}
END_TEST

START_TEST(test_evicted_in_use)
{
    act(0, LWD_ACTION_SEND, 0, 1);
    act(1, LWD_ACTION_EVICT, 0, 0);
    found(CK_EVICTED_IN_USE, 1);
}
END_TEST

START_TEST(test_evicted_soon_after_cancel)
{
    act(1, LWD_ACTION_SEND, 0, 1);
    act(2, LWD_ACTION_CANCEL, 0, 1);
    act(CK_CANCEL_US / 2, LWD_ACTION_EVICT, 0, 0);
    found(CK_EVICTED_IN_USE, 1);
}
END_TEST

START_TEST(test_evicted_unsettled)
{
    checker->settle_us[1] = 100;
    act(99, LWD_ACTION_EVICT, 0, 0);
    found(CK_EVICTED_UNSETTLED, 1);
}
END_TEST

START_TEST(test_two_ends)
{
    act(0, LWD_ACTION_REFUSE, 0, 0);
    act(0, LWD_ACTION_REFUSE, 0, 0);
    found(CK_TWO_ENDS, 1);
}
END_TEST

START_TEST(test_sent_after_end)
{
    act(0, LWD_ACTION_REFUSE, 0, 0);
    act(1, LWD_ACTION_SEND, 0, 1);
    found(CK_SENT_AFTER_END, 1);
}
END_TEST

START_TEST(test_sent_to_leaving)
{
    checker->leaving[1] = true;
    act(0, LWD_ACTION_SEND, 0, 1);
    found(CK_SENT_TO_LEAVING, 1);
}
END_TEST

START_TEST(test_refused_but_sent)
{
    act(0, LWD_ACTION_SEND, 0, 1);
    ck_attempt_over(checker, 1, false);
    act(0, LWD_ACTION_SEND, 0, 2);
    ck_attempt_over(checker, 2, true);
    act(1, LWD_ACTION_REFUSE, 0, 0);
    found(CK_REFUSED_BUT_SENT, 1);
}
END_TEST

START_TEST(test_load_rate)
{
    for (uint32_t at = 0; at < 3; at++) {
        checker->holding[1][7] = CK_NONE;
        act(at, LWD_ACTION_LOAD, 0, 0);
        ck_load_over(checker, 1, 7, true);
    }
    found(CK_LOAD_RATE, 1);
}
END_TEST

START_TEST(test_load_transit)
{
    for (uint64_t at = 0; at < 3; at++) {
        checker->holding[1][7] = CK_NONE;
        act(at * 2000000, LWD_ACTION_LOAD, 0, 0);
    }
    found(CK_LOAD_TRANSIT, 1);
}
END_TEST

START_TEST(test_loaded_twice)
{
    act(0, LWD_ACTION_LOAD, 0, 0);
    found(CK_LOADED_TWICE, 1);
}
END_TEST

START_TEST(test_too_many_running)
{
    act(0, LWD_ACTION_SEND, 0, 1);
    act(0, LWD_ACTION_SEND, 1, 2);
    act(0, LWD_ACTION_SEND, 2, 3);
    found(CK_TOO_MANY_RUNNING, 1);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("checker");
    TCase *tests = tcase_create("checker");
    tcase_add_checked_fixture(tests, setup, teardown);
    tcase_add_test(tests, test_clean_run_is_clean);
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
