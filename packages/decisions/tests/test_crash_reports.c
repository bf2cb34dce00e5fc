/* Two instances each lose a server to the same request before either receives
   the other's report. Both must count two crashes and refuse the request. */
#include "drain.h"
#include <check.h>
#include <stdlib.h>

#define FINGERPRINT 99
#define NOW_US ((uint64_t)1000000)

static er_code
feed(lwd_policy *policy, lwd_event event)
{
    return lwd_feed(policy, NOW_US, &event);
}

static lwd_request
make_request(lwd_policy *policy, lwd_adapter adapter)
{
    return lwd_make_request(policy, NOW_US,
                            &(lwd_request_desc){.adapter = adapter,
                                                .max_tokens = 64,
                                                .fingerprint = FINGERPRINT});
}

/* Sends the request to a server, which dies. Returns the crashes that the
   instance reports. */
static uint32_t
lose_server(lwd_policy *policy, lwd_adapter adapter)
{
    lwd_server server = lwd_make_server(
        policy, NOW_US,
        &(lwd_server_desc){
            .tag = 1, .slots = 2, .adapter_slots = 2, .owned = true});
    feed(policy, (lwd_event){.type = LWD_EVENT_RESIDENT,
                             .server = server,
                             .adapter = adapter,
                             .resident = true});
    make_request(policy, adapter);
    const lwd_action *send = drain_find(drain_all(policy), LWD_ACTION_SEND, 0);
    ck_assert_ptr_nonnull(send);
    feed(policy, (lwd_event){.type = LWD_EVENT_FAILED,
                             .attempt = send->attempt,
                             .failure = LWD_FAILURE_DIED});
    const lwd_action *report =
        drain_find(drain_all(policy), LWD_ACTION_SUSPECT, 0);
    ck_assert_ptr_nonnull(report);
    return report->deaths;
}

START_TEST(test_crashes_seen_apart_are_added)
{
    lwd_policy *policies[2];
    lwd_adapter adapters[2];
    uint32_t reported[2];
    for (uint32_t i = 0; i < 2; i++) {
        policies[i] = lwd_create(&(lwd_desc){.seed = i + 1,
                                             .loads_per_s_milli = 100000,
                                             .loads_in_transit = 8});
        adapters[i] = lwd_make_adapter(policies[i], NOW_US,
                                       &(lwd_adapter_desc){.tag = 7});
        reported[i] = lose_server(policies[i], adapters[i]);
    }
    for (uint32_t i = 0; i < 2; i++) {
        feed(policies[i], (lwd_event){.type = LWD_EVENT_SUSPECT,
                                      .fingerprint = FINGERPRINT,
                                      .deaths = reported[1 - i]});
        make_request(policies[i], adapters[i]);
        const lwd_action *refusal =
            drain_find(drain_all(policies[i]), LWD_ACTION_REFUSE, 0);
        ck_assert_ptr_nonnull(refusal);
        ck_assert_int_eq(refusal->reason, ER_POISON);
        lwd_destroy(policies[i]);
    }
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("crash_reports");
    TCase *tests = tcase_create("all");
    tcase_add_test(tests, test_crashes_seen_apart_are_added);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
