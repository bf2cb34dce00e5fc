/* Tests of single parts of the policy: stragglers, hedges, suspects, order of
   pending requests, admission and loads. */
#include "drain.h"
#include <check.h>
#include <stdlib.h>

#define MS ((uint64_t)1000)

static lwd_policy *policy;
static uint64_t now_us;
static lwd_server servers[3];
static lwd_adapter held;

static void
feed(lwd_event event)
{
    lwd_feed(policy, now_us, &event);
}

/* Three servers of one zone; the first two hold the adapter. */
static void
setup(void)
{
    now_us = 1000 * MS;
    policy = lwd_create(
        &(lwd_desc){.loads_per_s_milli = 10000, .loads_in_transit = 2});
    held = lwd_make_adapter(policy, now_us, &(lwd_adapter_desc){.tag = 7});
    for (uint32_t at = 0; at < 3; at++) {
        servers[at] = lwd_make_server(
            policy, now_us,
            &(lwd_server_desc){.tag = at, .slots = 2, .owned = true});
        if (at < 2) {
            feed((lwd_event){.type = LWD_EVENT_RESIDENT,
                             .server = servers[at],
                             .adapter = held,
                             .resident = true});
        }
    }
}

static void
teardown(void)
{
    lwd_destroy(policy);
}

static void
request(uint64_t tag, uint32_t max_tokens, uint64_t deadline_ms,
        uint64_t fingerprint)
{
    lwd_request_desc desc = {.tag = tag,
                             .adapter = held,
                             .operation = max_tokens > 100,
                             .max_tokens = max_tokens,
                             .deadline_us =
                                 deadline_ms ? now_us + deadline_ms * MS : 0,
                             .fingerprint = fingerprint};
    lwd_make_request(policy, now_us, &desc);
}

/* Takes all queued actions. Copies the first four sends to out and returns the
   number of sends. */
static uint32_t
take_sends(lwd_action *out)
{
    const drain *taken = drain_all(policy);
    uint32_t count = drain_count(taken, LWD_ACTION_SEND);
    for (uint32_t at = 0; at < count && at < 4; at++) {
        out[at] = *drain_find(taken, LWD_ACTION_SEND, at);
    }
    return count;
}

static void
report(const lwd_action *send, lwd_event_type type, uint32_t tokens)
{
    feed(
        (lwd_event){.type = type, .attempt = send->attempt, .tokens = tokens});
}

/* Reports progress of an attempt at its normal pace; returns its tokens. */
static uint32_t
report_normal_pace(const lwd_action *send, uint32_t reports)
{
    report(send, LWD_EVENT_FIRST_TOKEN, 0);
    for (uint32_t at = 1; at <= reports; at++) {
        now_us += 100 * MS;
        report(send, LWD_EVENT_PROGRESS, 1 + at * 4);
    }
    return 1 + reports * 4;
}

#define FAST_TOKENS_PER_S 40
#define SLOW_TOKENS_PER_S 34
#define LONG_TOKENS 2000

/* Sets up a slow server and a fast one, neither of which holds an adapter. */
static void
setup_slow_and_fast(void)
{
    lwd_destroy(policy);
    policy = lwd_create(
        &(lwd_desc){.loads_per_s_milli = 10000, .loads_in_transit = 2});
    for (uint32_t at = 0; at < 2; at++) {
        uint32_t pace = at == 0 ? SLOW_TOKENS_PER_S : FAST_TOKENS_PER_S;
        servers[at] = lwd_make_server(
            policy, now_us,
            &(lwd_server_desc){
                .tag = at, .slots = 2, .tokens_per_s = pace, .owned = true});
    }
}

START_TEST(test_long_work_goes_to_the_faster_copy)
{
    setup_slow_and_fast();
    held = lwd_make_adapter(policy, now_us, &(lwd_adapter_desc){.tag = 7});
    for (uint32_t at = 0; at < 2; at++) {
        feed((lwd_event){.type = LWD_EVENT_RESIDENT,
                         .server = servers[at],
                         .adapter = held,
                         .resident = true});
    }
    feed((lwd_event){.type = LWD_EVENT_CACHE,
                     .server = servers[0],
                     .prefix = 5,
                     .resident = true});
    lwd_request_desc desc = {.adapter = held,
                             .operation = 1,
                             .prompt_tokens = 2000,
                             .max_tokens = 100,
                             .prefix = 5};
    /* Short work goes to the slow server, which has cached its prefix. */
    lwd_make_request(policy, now_us, &desc);
    lwd_action sent[4];
    ck_assert_uint_eq(take_sends(sent), 1);
    ck_assert_uint_eq(sent[0].server.id, servers[0].id);
    desc.operation = 2;
    desc.max_tokens = LONG_TOKENS;
    lwd_make_request(policy, now_us, &desc);
    ck_assert_uint_eq(take_sends(sent), 1);
    ck_assert_uint_eq(sent[0].server.id, servers[1].id);
}
END_TEST

START_TEST(test_long_work_is_loaded_on_the_faster_server)
{
    for (uint32_t tag = 1; tag <= 8; tag++) {
        setup_slow_and_fast();
        held =
            lwd_make_adapter(policy, now_us, &(lwd_adapter_desc){.tag = tag});
        request(tag, LONG_TOKENS, 145000, 0);
        const lwd_action *load =
            drain_find(drain_all(policy), LWD_ACTION_LOAD, 0);
        ck_assert_ptr_nonnull(load);
        ck_assert_uint_eq(load->server.id, servers[1].id);
    }
}
END_TEST

/* Creates a request for a new adapter, which is held nowhere. */
static lwd_adapter
request_absent(uint32_t tag, uint32_t max_tokens, uint32_t resume_from,
               uint64_t deadline_ms)
{
    lwd_adapter adapter =
        lwd_make_adapter(policy, now_us, &(lwd_adapter_desc){.tag = tag});
    lwd_request_desc desc = {.tag = tag,
                             .adapter = adapter,
                             .operation = max_tokens > 100,
                             .max_tokens = max_tokens,
                             .resume_from = resume_from,
                             .deadline_us = now_us + deadline_ms * MS,
                             .forwarded = resume_from > 0};
    lwd_make_request(policy, now_us, &desc);
    return adapter;
}

/* Spends the budget of loads: two are ordered at once, one has a reservation,
   and later ones wait in the queue. */
static void
spend_load_budget(void)
{
    lwd_destroy(policy);
    now_us = 100000 * MS;
    policy = lwd_create(
        &(lwd_desc){.loads_per_s_milli = 1000, .loads_in_transit = 16});
    lwd_make_server(policy, now_us,
                    &(lwd_server_desc){.adapter_slots = 16, .owned = true});
    for (uint32_t tag = 1; tag <= 3; tag++) {
        request_absent(tag, 100, 0, 145000);
    }
    drain_all(policy);
}

START_TEST(test_begun_answer_is_loaded_before_new_ones)
{
    spend_load_budget();
    request_absent(4, 100, 0, 15000);
    lwd_adapter begun = request_absent(5, LONG_TOKENS, 300, 145000);
    now_us += 1000 * MS;
    feed((lwd_event){.type = LWD_EVENT_TICK});
    drain_all(policy);
    now_us += 1000 * MS;
    feed((lwd_event){.type = LWD_EVENT_TICK});
    const lwd_action *load = drain_find(drain_all(policy), LWD_ACTION_LOAD, 0);
    ck_assert_ptr_nonnull(load);
    ck_assert_uint_eq(load->adapter.id, begun.id);
}
END_TEST

START_TEST(test_silent_server_is_ejected_and_its_work_moved)
{
    lwd_action sent[4];
    request(1, 200, 0, 0);
    ck_assert_uint_eq(take_sends(sent), 1);
    uint32_t made = report_normal_pace(&sent[0], 10);
    drain_all(policy);
    now_us += 3000 * MS;
    feed((lwd_event){.type = LWD_EVENT_TICK});
    lwd_action again[4];
    ck_assert_uint_eq(take_sends(again), 1);
    ck_assert_uint_ne(again[0].server.id, sent[0].server.id);
    ck_assert_uint_eq(again[0].resume_from, made);
    lwd_server_info info;
    lwd_query_server_info(policy, sent[0].server, &info);
    ck_assert(info.ejected);
    /* Only one of three servers may be ejected: the next one stays. */
    now_us += 3000 * MS;
    feed((lwd_event){.type = LWD_EVENT_TICK});
    lwd_query_server_info(policy, again[0].server, &info);
    ck_assert(!info.ejected);
}
END_TEST

START_TEST(test_slow_pace_ejects)
{
    lwd_action sent[4];
    request(1, 200, 0, 0);
    take_sends(sent);
    uint32_t made = report_normal_pace(&sent[0], 10);
    for (uint32_t at = 0; at < 3; at++) {
        now_us += 250 * MS;
        report(&sent[0], LWD_EVENT_PROGRESS, ++made);
    }
    lwd_server_info info;
    lwd_query_server_info(policy, sent[0].server, &info);
    ck_assert(info.ejected);
}
END_TEST

START_TEST(test_losing_attempt_of_hedge_is_cancelled)
{
    lwd_action first[4];
    lwd_action hedge[4];
    for (uint64_t tag = 1; tag <= 4; tag++) {
        request(tag, 200, 0, 0);
    }
    ck_assert_uint_eq(take_sends(first), 4);
    const lwd_action *neighbor = NULL;
    for (uint32_t at = 1; at < 4; at++) {
        bool same = first[at].server.id == first[0].server.id;
        neighbor = same ? &first[at] : neighbor;
        if (!same) {
            report(&first[at], LWD_EVENT_FINISHED, 9);
        }
    }
    /* The other attempt on that server keeps it from being silent. */
    ck_assert_ptr_nonnull(neighbor);
    report(neighbor, LWD_EVENT_FIRST_TOKEN, 0);
    for (uint32_t at = 1; at < 20; at++) {
        now_us += 100 * MS;
        report(neighbor, LWD_EVENT_PROGRESS, at * 4);
    }
    ck_assert_uint_eq(take_sends(hedge), 1);
    ck_assert(hedge[0].hedge);
    ck_assert_uint_eq(hedge[0].tag, 1);
    report(&hedge[0], LWD_EVENT_FIRST_TOKEN, 0);
    const lwd_action *cancel =
        drain_find(drain_all(policy), LWD_ACTION_CANCEL, 0);
    ck_assert_ptr_nonnull(cancel);
    ck_assert_uint_eq(cancel->attempt.id, first[0].attempt.id);
    lwd_event late = {
        .type = LWD_EVENT_FINISHED, .attempt = first[0].attempt, .tokens = 9};
    ck_assert_int_eq(lwd_feed(policy, now_us, &late), ER_STALE);
}
END_TEST

START_TEST(test_suspects_run_one_to_a_server)
{
    for (uint64_t fingerprint = 1; fingerprint <= 3; fingerprint++) {
        feed((lwd_event){.type = LWD_EVENT_SUSPECT,
                         .fingerprint = fingerprint,
                         .deaths = 1});
        request(fingerprint, 50, 0, fingerprint);
    }
    lwd_action sent[4];
    ck_assert_uint_eq(take_sends(sent), 2);
    ck_assert_uint_ne(sent[0].server.id, sent[1].server.id);
    report(&sent[0], LWD_EVENT_FINISHED, 10);
    ck_assert_uint_eq(take_sends(sent), 1);
    ck_assert_uint_eq(sent[0].tag, 3);
}
END_TEST

START_TEST(test_short_work_runs_before_long)
{
    lwd_action sent[4];
    for (uint64_t tag = 0; tag < 4; tag++) {
        request(tag, 50, 0, 0);
    }
    ck_assert_uint_eq(take_sends(sent), 4);
    request(10, 2000, 0, 0);
    request(11, 50, 0, 0);
    report(&sent[0], LWD_EVENT_FINISHED, 25);
    lwd_action next[4];
    ck_assert_uint_eq(take_sends(next), 1);
    ck_assert_uint_eq(next[0].tag, 11);
    report(&sent[1], LWD_EVENT_FINISHED, 25);
    ck_assert_uint_eq(take_sends(next), 1);
    ck_assert_uint_eq(next[0].tag, 10);
}
END_TEST

START_TEST(test_work_that_misses_its_deadline_is_refused_at_once)
{
    for (uint64_t tag = 0; tag < 60; tag++) {
        request(tag, 100, 6000, 0);
    }
    const drain *taken = drain_all(policy);
    const lwd_action *refuse = drain_find(taken, LWD_ACTION_REFUSE, 0);
    ck_assert_ptr_nonnull(refuse);
    ck_assert_int_eq(refuse->reason, ER_OVERLOADED);
    ck_assert_uint_gt(refuse->retry_after_ms, 0);
    ck_assert(!refuse->ran);
}
END_TEST

/* Many requests of one team must not use up the share of another. */
START_TEST(test_team_cannot_use_share_of_another)
{
    lwd_request_desc desc = {.adapter = held,
                             .max_tokens = 100,
                             .deadline_us = now_us + 6000 * MS,
                             .team = 2};
    lwd_make_request(policy, now_us, &desc);
    desc.team = 1;
    er_code reason = ER_OK;
    for (uint32_t at = 0; at < 60 && reason == ER_OK; at++) {
        lwd_make_request(policy, now_us, &desc);
        const lwd_action *refuse =
            drain_find(drain_all(policy), LWD_ACTION_REFUSE, 0);
        reason = refuse ? refuse->reason : ER_OK;
    }
    ck_assert_int_eq(reason, ER_SHARE_EXCEEDED);
    desc.team = 2;
    lwd_make_request(policy, now_us, &desc);
    ck_assert_ptr_null(drain_find(drain_all(policy), LWD_ACTION_REFUSE, 0));
}
END_TEST

START_TEST(test_busy_adapter_gets_another_copy)
{
    for (uint64_t tag = 0; tag < 40; tag++) {
        request(tag, 100, 0, 0);
    }
    const lwd_action *load = drain_find(drain_all(policy), LWD_ACTION_LOAD, 0);
    ck_assert_ptr_nonnull(load);
    ck_assert_uint_eq(load->server.id, servers[2].id);
}
END_TEST

START_TEST(test_failed_load_is_retried_on_another_server)
{
    lwd_adapter cold =
        lwd_make_adapter(policy, now_us, &(lwd_adapter_desc){.tag = 8});
    lwd_make_request(policy, now_us, &(lwd_request_desc){.adapter = cold});
    lwd_action load = *drain_find(drain_all(policy), LWD_ACTION_LOAD, 0);
    feed((lwd_event){.type = LWD_EVENT_LOAD_FAILED,
                     .server = load.server,
                     .adapter = cold});
    now_us += 200 * MS;
    feed((lwd_event){.type = LWD_EVENT_TICK});
    const lwd_action *again =
        drain_find(drain_all(policy), LWD_ACTION_LOAD, 0);
    ck_assert_ptr_nonnull(again);
    ck_assert_uint_ne(again->server.id, load.server.id);
}
END_TEST

START_TEST(test_no_loads_without_weight_store_share)
{
    feed((lwd_event){.type = LWD_EVENT_WEIGHT_SHARE});
    lwd_adapter cold =
        lwd_make_adapter(policy, now_us, &(lwd_adapter_desc){.tag = 8});
    lwd_make_request(policy, now_us, &(lwd_request_desc){.adapter = cold});
    ck_assert_uint_eq(drain_count(drain_all(policy), LWD_ACTION_LOAD), 0);
    feed((lwd_event){.type = LWD_EVENT_WEIGHT_SHARE,
                     .loads_per_s_milli = 1000,
                     .loads_in_transit = 1});
    ck_assert_uint_eq(drain_count(drain_all(policy), LWD_ACTION_LOAD), 1);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("parts");
    TCase *tests = tcase_create("parts");
    tcase_add_checked_fixture(tests, setup, teardown);
    tcase_add_test(tests, test_silent_server_is_ejected_and_its_work_moved);
    tcase_add_test(tests, test_slow_pace_ejects);
    tcase_add_test(tests, test_losing_attempt_of_hedge_is_cancelled);
    tcase_add_test(tests, test_suspects_run_one_to_a_server);
    tcase_add_test(tests, test_short_work_runs_before_long);
    tcase_add_test(tests, test_begun_answer_is_loaded_before_new_ones);
    tcase_add_test(tests, test_long_work_goes_to_the_faster_copy);
    tcase_add_test(tests, test_long_work_is_loaded_on_the_faster_server);
    tcase_add_test(tests,
                   test_work_that_misses_its_deadline_is_refused_at_once);
    tcase_add_test(tests, test_team_cannot_use_share_of_another);
    tcase_add_test(tests, test_busy_adapter_gets_another_copy);
    tcase_add_test(tests, test_failed_load_is_retried_on_another_server);
    tcase_add_test(tests, test_no_loads_without_weight_store_share);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
