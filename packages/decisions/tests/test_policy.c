/* Rules for requests, loads and servers, each tested by itself. */
#include "drain.h"
#include <check.h>
#include <stdlib.h>

#define MS ((uint64_t)1000)

static lwd_policy *policy;
static uint64_t now_us;

static void
setup(void)
{
    now_us = 1000 * MS;
    policy = lwd_create(&(lwd_desc){
        .seed = 3, .loads_per_s_milli = 100000, .loads_in_transit = 8});
}

static void
teardown(void)
{
    lwd_destroy(policy);
}

static lwd_server
make_server(uint64_t tag, bool owned)
{
    return lwd_make_server(policy, now_us,
                           &(lwd_server_desc){.tag = tag,
                                              .slots = 2,
                                              .adapter_slots = 2,
                                              .owned = owned,
                                              .owner = owned ? 0 : 9});
}

static lwd_adapter
make_adapter(uint64_t tag)
{
    return lwd_make_adapter(policy, now_us, &(lwd_adapter_desc){.tag = tag});
}

static lwd_request
make_request(lwd_adapter on, uint64_t tag)
{
    return lwd_make_request(
        policy, now_us,
        &(lwd_request_desc){.tag = tag, .adapter = on, .max_tokens = 64});
}

static er_code
feed(lwd_event event)
{
    return lwd_feed(policy, now_us, &event);
}

static void
tick_ms(uint64_t ms)
{
    now_us += ms * MS;
    feed((lwd_event){.type = LWD_EVENT_TICK});
}

/* Makes the adapter resident, as when the engine lists it. */
static void
make_resident(lwd_server on, lwd_adapter held)
{
    ck_assert_int_eq(feed((lwd_event){.type = LWD_EVENT_RESIDENT,
                                      .server = on,
                                      .adapter = held,
                                      .resident = true}),
                     ER_OK);
}

/* Drains all actions and returns the first of a type, which must exist. */
static lwd_action
take_action(lwd_action_type type)
{
    const lwd_action *action = drain_find(drain_all(policy), type, 0);
    ck_assert_ptr_nonnull(action);
    return *action;
}

START_TEST(test_load_then_send_then_finish)
{
    lwd_server on = make_server(1, true);
    lwd_adapter held = make_adapter(7);
    lwd_request id = make_request(held, 42);
    lwd_action load = take_action(LWD_ACTION_LOAD);
    ck_assert_uint_eq(load.server.id, on.id);
    ck_assert_uint_eq(load.adapter_tag, 7);
    feed((lwd_event){
        .type = LWD_EVENT_LOAD_DONE, .server = on, .adapter = held});
    lwd_action send = take_action(LWD_ACTION_SEND);
    ck_assert_uint_eq(send.tag, 42);
    ck_assert_uint_eq(send.request.id, id.id);
    lwd_event finished = {
        .type = LWD_EVENT_FINISHED, .attempt = send.attempt, .tokens = 30};
    ck_assert_int_eq(feed(finished), ER_OK);
    ck_assert_int_eq(feed(finished), ER_STALE);
    ck_assert_int_eq(lwd_query_request_state(policy, id), LWD_STATE_INITIAL);
}
END_TEST

START_TEST(test_load_is_single_flight)
{
    make_server(1, true);
    make_server(2, true);
    lwd_adapter held = make_adapter(7);
    for (uint64_t tag = 0; tag < 5; tag++) {
        make_request(held, tag);
    }
    ck_assert_uint_eq(drain_count(drain_all(policy), LWD_ACTION_LOAD), 1);
}
END_TEST

START_TEST(test_eviction_spares_adapters_in_use)
{
    lwd_server on = make_server(1, true);
    lwd_adapter used = make_adapter(1);
    lwd_adapter idle = make_adapter(2);
    make_resident(on, used);
    make_resident(on, idle);
    make_request(used, 1);
    take_action(LWD_ACTION_SEND);
    make_request(make_adapter(3), 2);
    lwd_action evict = take_action(LWD_ACTION_EVICT);
    ck_assert_uint_eq(evict.adapter.id, idle.id);
    feed((lwd_event){
        .type = LWD_EVENT_EVICT_DONE, .server = on, .adapter = idle});
    ck_assert_uint_eq(take_action(LWD_ACTION_LOAD).adapter_tag, 3);
    make_request(make_adapter(4), 3);
    drain *taken = drain_all(policy);
    ck_assert_ptr_null(drain_find(taken, LWD_ACTION_EVICT, 0));
}
END_TEST

START_TEST(test_no_eviction_during_handover)
{
    lwd_server on = make_server(1, true);
    feed((lwd_event){.type = LWD_EVENT_OWNER,
                     .server = on,
                     .owned = true,
                     .handover_until_us = now_us + 500 * MS});
    make_resident(on, make_adapter(1));
    make_resident(on, make_adapter(2));
    make_request(make_adapter(3), 1);
    ck_assert_uint_eq(drain_count(drain_all(policy), LWD_ACTION_EVICT), 0);
    tick_ms(600);
    ck_assert_uint_eq(drain_count(drain_all(policy), LWD_ACTION_EVICT), 1);
}
END_TEST

START_TEST(test_broken_stream_resumes)
{
    lwd_adapter held = make_adapter(7);
    make_resident(make_server(1, true), held);
    make_resident(make_server(2, true), held);
    make_request(held, 1);
    lwd_action send = take_action(LWD_ACTION_SEND);
    feed((lwd_event){.type = LWD_EVENT_FAILED,
                     .attempt = send.attempt,
                     .tokens = 12,
                     .failure = LWD_FAILURE_BROKEN});
    tick_ms(100);
    ck_assert_uint_eq(take_action(LWD_ACTION_SEND).resume_from, 12);
}
END_TEST

START_TEST(test_retries_end_in_refusal)
{
    lwd_adapter held = make_adapter(7);
    make_resident(make_server(1, true), held);
    lwd_request id = make_request(held, 1);
    uint32_t sends = 0;
    for (uint32_t round = 0; round < 40; round++) {
        const drain *taken = drain_all(policy);
        const lwd_action *refuse = drain_find(taken, LWD_ACTION_REFUSE, 0);
        if (refuse) {
            ck_assert_int_eq(refuse->reason, ER_SERVER_FAILED);
            ck_assert(!refuse->ran);
            break;
        }
        const lwd_action *send = drain_find(taken, LWD_ACTION_SEND, 0);
        if (send) {
            sends++;
            feed((lwd_event){.type = LWD_EVENT_FAILED,
                             .attempt = send->attempt,
                             .failure = LWD_FAILURE_NOT_STARTED});
        }
        tick_ms(400);
    }
    ck_assert_uint_le(sends, 7);
    ck_assert_uint_ge(sends, 2);
    ck_assert_int_eq(lwd_query_request_state(policy, id), LWD_STATE_INITIAL);
}
END_TEST

/* Streams break more often than the retry budget allows retries. A resumed
   request makes no token twice, so it must not be charged to that budget. */
START_TEST(test_resumed_work_needs_no_retry_budget)
{
    lwd_adapter held = make_adapter(7);
    make_resident(make_server(1, true), held);
    for (uint32_t i = 0; i < 60; i++) {
        make_request(held, 1);
        lwd_action first = take_action(LWD_ACTION_SEND);
        feed((lwd_event){.type = LWD_EVENT_FAILED,
                         .attempt = first.attempt,
                         .tokens = 5,
                         .failure = LWD_FAILURE_BROKEN});
        tick_ms(400);
        lwd_action again = take_action(LWD_ACTION_SEND);
        ck_assert_uint_eq(again.resume_from, 5);
        feed((lwd_event){.type = LWD_EVENT_FINISHED,
                         .attempt = again.attempt,
                         .tokens = 9});
    }
}
END_TEST

START_TEST(test_leaving_server_gets_no_requests)
{
    lwd_server on = make_server(1, true);
    lwd_adapter held = make_adapter(7);
    make_resident(on, held);
    feed((lwd_event){.type = LWD_EVENT_SERVER_STATE,
                     .server = on,
                     .server_state = LWD_SERVER_LEAVING});
    feed((lwd_event){.type = LWD_EVENT_SERVER_STATE,
                     .server = on,
                     .server_state = LWD_SERVER_READY});
    make_request(held, 1);
    const drain *taken = drain_all(policy);
    ck_assert_ptr_null(drain_find(taken, LWD_ACTION_SEND, 0));
    ck_assert_int_eq(drain_find(taken, LWD_ACTION_REFUSE, 0)->reason,
                     ER_NO_SERVER);
}
END_TEST

START_TEST(test_requests_move_off_destroyed_server)
{
    lwd_server on = make_server(1, true);
    lwd_server other = make_server(2, true);
    lwd_adapter held = make_adapter(7);
    make_resident(on, held);
    make_request(held, 1);
    lwd_action send = take_action(LWD_ACTION_SEND);
    feed((lwd_event){
        .type = LWD_EVENT_PROGRESS, .attempt = send.attempt, .tokens = 5});
    make_resident(other, held);
    lwd_destroy_server(policy, now_us, on);
    const drain *taken = drain_all(policy);
    ck_assert_ptr_nonnull(drain_find(taken, LWD_ACTION_CANCEL, 0));
    const lwd_action *again = drain_find(taken, LWD_ACTION_SEND, 0);
    ck_assert_ptr_nonnull(again);
    ck_assert_uint_eq(again->server.id, other.id);
    ck_assert_uint_eq(again->resume_from, 5);
}
END_TEST

START_TEST(test_forward_to_owner_and_back)
{
    lwd_server remote = make_server(1, false);
    lwd_adapter held = make_adapter(7);
    lwd_summary summary = {.sequence = 1, .change_count = 1};
    summary.changes[0].adapter_tag = 7;
    summary.changes[0].resident = true;
    lwd_event report = {
        .type = LWD_EVENT_SUMMARY, .server = remote, .summary = &summary};
    ck_assert_int_eq(feed(report), ER_OK);
    ck_assert_int_eq(feed(report), ER_STALE);
    lwd_request id = make_request(held, 1);
    lwd_action forward = take_action(LWD_ACTION_FORWARD);
    ck_assert_uint_eq(forward.server.id, remote.id);
    ck_assert_uint_eq(forward.instance, 9);
    lwd_event done = {.type = LWD_EVENT_FORWARD_FINISHED, .request = id};
    ck_assert_int_eq(feed(done), ER_OK);
    ck_assert_int_eq(feed(done), ER_STALE);
}
END_TEST

/* An eviction is not reported because its summary was lost. A copy that the
   later summaries do not list must be dropped after a while. */
START_TEST(test_unlisted_copy_is_dropped)
{
    lwd_server remote = make_server(1, false);
    lwd_adapter kept = make_adapter(7);
    lwd_adapter evicted = make_adapter(8);
    lwd_summary summary = {.change_count = 2};
    summary.changes[0].adapter_tag = 7;
    summary.changes[0].resident = true;
    summary.changes[1].adapter_tag = 8;
    summary.changes[1].resident = true;
    for (uint64_t second = 0; second < 13; second++) {
        summary.sequence++;
        feed((lwd_event){
            .type = LWD_EVENT_SUMMARY, .server = remote, .summary = &summary});
        ck_assert(lwd_query_resident(policy, remote, kept));
        ck_assert_int_eq(lwd_query_resident(policy, remote, evicted),
                         second < 10);
        summary.change_count = 1;
        tick_ms(1000);
    }
}
END_TEST

START_TEST(test_poison_is_refused_under_a_new_id)
{
    lwd_adapter held = make_adapter(7);
    make_resident(make_server(1, true), held);
    make_resident(make_server(2, true), held);
    lwd_request_desc desc = {
        .adapter = held, .max_tokens = 64, .fingerprint = 99};
    lwd_make_request(policy, now_us, &desc);
    for (uint32_t death = 0; death < 2; death++) {
        tick_ms(300);
        feed((lwd_event){.type = LWD_EVENT_FAILED,
                         .attempt = take_action(LWD_ACTION_SEND).attempt,
                         .failure = LWD_FAILURE_DIED});
    }
    const drain *taken = drain_all(policy);
    ck_assert_int_eq(drain_find(taken, LWD_ACTION_REFUSE, 0)->reason,
                     ER_POISON);
    ck_assert_uint_eq(drain_find(taken, LWD_ACTION_SUSPECT, 0)->deaths, 2);
    lwd_make_request(policy, now_us, &desc);
    ck_assert_int_eq(take_action(LWD_ACTION_REFUSE).reason, ER_POISON);
}
END_TEST

START_TEST(test_caller_gone_cancels)
{
    lwd_adapter held = make_adapter(7);
    make_resident(make_server(1, true), held);
    lwd_request id = make_request(held, 1);
    lwd_action send = take_action(LWD_ACTION_SEND);
    feed((lwd_event){.type = LWD_EVENT_CALLER_GONE, .request = id});
    ck_assert_uint_eq(take_action(LWD_ACTION_CANCEL).attempt.id,
                      send.attempt.id);
    ck_assert_int_eq(
        feed((lwd_event){.type = LWD_EVENT_CALLER_GONE, .request = id}),
        ER_STALE);
}
END_TEST

START_TEST(test_destroyed_adapter_refuses_requests)
{
    make_server(1, true);
    lwd_adapter gone = make_adapter(7);
    make_request(gone, 1);
    drain_all(policy);
    lwd_destroy_adapter(policy, now_us, gone);
    ck_assert_int_eq(take_action(LWD_ACTION_REFUSE).reason, ER_UNKNOWN_MODEL);
    ck_assert_uint_eq(make_request(gone, 2).id, 0);
    ck_assert_int_eq(lwd_query_last_status(policy)->code, ER_UNKNOWN_MODEL);
}
END_TEST

START_TEST(test_policies_are_independent)
{
    lwd_policy *other = lwd_create(&(lwd_desc){.seed = 3});
    lwd_adapter held = make_adapter(7);
    make_resident(make_server(1, true), held);
    make_request(held, 1);
    lwd_action action;
    ck_assert(!lwd_next_action(other, &action));
    take_action(LWD_ACTION_SEND);
    lwd_destroy(other);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("policy");
    TCase *tests = tcase_create("policy");
    tcase_add_checked_fixture(tests, setup, teardown);
    tcase_add_test(tests, test_load_then_send_then_finish);
    tcase_add_test(tests, test_load_is_single_flight);
    tcase_add_test(tests, test_eviction_spares_adapters_in_use);
    tcase_add_test(tests, test_no_eviction_during_handover);
    tcase_add_test(tests, test_broken_stream_resumes);
    tcase_add_test(tests, test_retries_end_in_refusal);
    tcase_add_test(tests, test_resumed_work_needs_no_retry_budget);
    tcase_add_test(tests, test_leaving_server_gets_no_requests);
    tcase_add_test(tests, test_requests_move_off_destroyed_server);
    tcase_add_test(tests, test_forward_to_owner_and_back);
    tcase_add_test(tests, test_unlisted_copy_is_dropped);
    tcase_add_test(tests, test_poison_is_refused_under_a_new_id);
    tcase_add_test(tests, test_caller_gone_cancels);
    tcase_add_test(tests, test_destroyed_adapter_refuses_requests);
    tcase_add_test(tests, test_policies_are_independent);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
