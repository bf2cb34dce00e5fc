/* Requests while no backend server can take them. A change of owner or a
   restart leaves a short time without servers; a request must not be refused
   in it, but wait for a limited time. */
#include "lacewing/decisions.h"
#include <check.h>
#include <glib.h>
#include <stdlib.h>

#define START_US UINT64_C(1000000)
/* Must equal _RQ_NO_SERVER_WAIT_US in requests.c. */
#define NO_SERVER_WAIT_US UINT64_C(3000000)

typedef struct fixture {
    lwd_policy *policy;
    lwd_server server;
    lwd_adapter adapter;
} fixture;

static fixture fx;

static void
setup(void)
{
    fx.policy = lwd_create(&(lwd_desc){.instance = 1});
    fx.server = lwd_make_server(
        fx.policy, START_US,
        &(lwd_server_desc){.tag = 1, .zone = 1, .owner = LWD_OWNER_NONE});
    fx.adapter =
        lwd_make_adapter(fx.policy, START_US, &(lwd_adapter_desc){.tag = 7});
}

static void
teardown(void)
{
    lwd_destroy(fx.policy);
}

/* Ticks at the wakeup times asked for. Returns the first LOAD or REFUSE, or an
   empty action if none comes until a time. */
static lwd_action
run_until(uint64_t until_us, uint64_t *now_us)
{
    lwd_action action = {0};
    for (;;) {
        while (lwd_next_action(fx.policy, &action)) {
            if (action.type == LWD_ACTION_LOAD ||
                action.type == LWD_ACTION_REFUSE) {
                return action;
            }
        }
        uint64_t wakeup_us = lwd_query_wakeup_us(fx.policy);
        if (wakeup_us > until_us) {
            return (lwd_action){0};
        }
        *now_us = MAX(*now_us, wakeup_us);
        lwd_feed(fx.policy, *now_us, &(lwd_event){.type = LWD_EVENT_TICK});
    }
}

static void
make_request(bool forwarded, uint64_t deadline_us)
{
    lwd_make_request(
        fx.policy, START_US,
        &(lwd_request_desc){.adapter = fx.adapter,
                            .forwarded = forwarded,
                            .server = forwarded ? fx.server : (lwd_server){0},
                            .deadline_us = deadline_us});
}

START_TEST(test_request_proceeds_once_server_is_owned)
{
    uint64_t now_us = START_US;
    make_request(false, 0);
    ck_assert_int_eq(run_until(START_US + NO_SERVER_WAIT_US / 2, &now_us).type,
                     LWD_ACTION_DEFAULT);
    lwd_feed(fx.policy, now_us,
             &(lwd_event){.type = LWD_EVENT_OWNER,
                          .server = fx.server,
                          .owner = 1,
                          .owned = true});
    lwd_action action = run_until(now_us + 1000000, &now_us);
    ck_assert_int_eq(action.type, LWD_ACTION_LOAD);
}
END_TEST

START_TEST(test_refused_as_not_run_after_wait)
{
    uint64_t now_us = START_US;
    make_request(false, 0);
    lwd_action action = run_until(UINT64_MAX - 1, &now_us);
    ck_assert_int_eq(action.type, LWD_ACTION_REFUSE);
    ck_assert_int_eq(action.reason, ER_NO_SERVER);
    ck_assert(!action.ran);
    ck_assert_uint_gt(action.retry_after_ms, 0);
    ck_assert_uint_ge(now_us, START_US + NO_SERVER_WAIT_US);
    ck_assert_uint_le(now_us, START_US + NO_SERVER_WAIT_US + 100000);
}
END_TEST

START_TEST(test_wait_is_shorter_near_deadline)
{
    uint64_t now_us = START_US;
    make_request(false, START_US + 2000000);
    lwd_action action = run_until(UINT64_MAX - 1, &now_us);
    ck_assert_int_eq(action.type, LWD_ACTION_REFUSE);
    /* A quarter of the 2 s to the deadline, one recheck of 50 ms and a
       margin. */
    ck_assert_uint_le(now_us, START_US + 600000);
}
END_TEST

START_TEST(test_forwarded_request_refused_at_once)
{
    uint64_t now_us = START_US;
    make_request(true, 0);
    lwd_action action = run_until(START_US, &now_us);
    ck_assert_int_eq(action.type, LWD_ACTION_REFUSE);
    ck_assert_uint_eq(now_us, START_US);
}
END_TEST

START_TEST(test_no_wait_for_leaving_servers)
{
    uint64_t now_us = START_US;
    lwd_feed(fx.policy, START_US,
             &(lwd_event){.type = LWD_EVENT_SERVER_STATE,
                          .server = fx.server,
                          .server_state = LWD_SERVER_LEAVING});
    make_request(false, 0);
    lwd_action action = run_until(START_US, &now_us);
    ck_assert_int_eq(action.reason, ER_NO_SERVER);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("no server");
    TCase *tests = tcase_create("all");
    tcase_add_checked_fixture(tests, setup, teardown);
    tcase_add_test(tests, test_request_proceeds_once_server_is_owned);
    tcase_add_test(tests, test_refused_as_not_run_after_wait);
    tcase_add_test(tests, test_wait_is_shorter_near_deadline);
    tcase_add_test(tests, test_forwarded_request_refused_at_once);
    tcase_add_test(tests, test_no_wait_for_leaving_servers);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
