/* The fakes of the engine and the weight store, the prefix cache and the
   generated requests have the timing and the limits that they model. */
#include "arrivals.h"
#include "engine.h"
#include "prefix_cache.h"
#include <check.h>
#include <glib.h>
#include <stdlib.h>

typedef struct event_log {
    uint32_t counts[LWD_EVENT_NUM];
    uint64_t last_us[LWD_EVENT_NUM];
    uint64_t report_delay_us;
    uint32_t tokens;
    lwd_failure failure;
} event_log;

static eq_queue *queue;
static ws_store *store;
static en_engine *engine;
static event_log events;

static void
on_event(void *user_data, uint64_t now_us, const en_event *event)
{
    (void)user_data;
    events.counts[event->type]++;
    events.last_us[event->type] = now_us;
    if (event->type == LWD_EVENT_LOAD_REPORT) {
        events.report_delay_us = now_us - event->sampled_us;
    }
    else if (event->type == LWD_EVENT_FAILED) {
        events.failure = event->failure;
    }
    else if (event->type == LWD_EVENT_PAUSED) {
        events.tokens = event->tokens;
    }
}

static void
setup(void)
{
    events = (event_log){0};
    queue = eq_create();
    store = ws_create(&(ws_desc){.seed = 3, .loads_per_s_milli = 1000000});
    engine = en_create(&(en_desc){.queue = queue,
                                  .store = store,
                                  .on_event = on_event,
                                  .adapter_slots = 2});
}

static void
teardown(void)
{
    en_destroy(engine);
    ws_destroy(store);
    eq_destroy(queue);
}

static void
run_until(uint64_t at_us)
{
    while (eq_query_now_us(queue) < at_us) {
        ck_assert(eq_run_next(queue));
    }
}

/* Loads an adapter, and repeats a load that failed. */
static void
load(uint32_t adapter)
{
    while (!en_query_resident(engine, adapter)) {
        en_load(engine, adapter);
        run_until(eq_query_now_us(queue) + 300000);
    }
}

static void
send_jobs(uint32_t count, uint32_t answer_tokens)
{
    for (uint32_t i = 0; i < count; i++) {
        en_send(engine, &(en_job){.key = i,
                                  .adapter = 1,
                                  .prompt_tokens = 100,
                                  .answer_tokens = answer_tokens});
    }
}

START_TEST(test_batch_time)
{
    load(1);
    uint64_t start_us = eq_query_now_us(queue);
    send_jobs(4, 11);
    run_until(start_us + 2000000);
    ck_assert_uint_eq(events.counts[LWD_EVENT_FIRST_TOKEN], 4);
    ck_assert_uint_eq(events.counts[LWD_EVENT_FINISHED], 4);
    uint64_t first_us = start_us + en_query_step_us(engine, 4, 400);
    uint64_t step_us = en_query_step_us(engine, 4, 0);
    ck_assert_uint_eq(events.last_us[LWD_EVENT_FIRST_TOKEN], first_us);
    ck_assert_uint_eq(events.last_us[LWD_EVENT_FINISHED],
                      first_us + 10 * step_us);
    ck_assert_uint_eq(en_query_totals(engine).steps, 11);
    ck_assert_uint_eq(en_query_totals(engine).tokens, 44);
    ck_assert_uint_gt(step_us, en_query_step_us(engine, 3, 0));
    ck_assert_uint_lt(step_us, 2 * en_query_step_us(engine, 2, 0));
}
END_TEST

START_TEST(test_slots_limit_the_batch)
{
    load(1);
    uint64_t start_us = eq_query_now_us(queue);
    send_jobs(EN_SLOTS + 1, 1);
    run_until(start_us + 2000000);
    ck_assert_uint_eq(events.counts[LWD_EVENT_FINISHED], EN_SLOTS + 1);
    ck_assert_uint_eq(en_query_totals(engine).steps, 2);
}
END_TEST

START_TEST(test_slowness)
{
    uint64_t step_us = en_query_step_us(engine, 2, 0);
    en_slow(engine, 10);
    ck_assert_uint_eq(en_query_step_us(engine, 2, 0), 10 * step_us);
    const ar_deployment *trust = ar_query_deployment("trust");
    double least = 100;
    double most = 0;
    for (uint32_t i = 0; i < trust->servers; i++) {
        least = MIN(least, ar_query_slowness(trust, i));
        most = MAX(most, ar_query_slowness(trust, i));
    }
    ck_assert_double_ge(most / least, 2);
    ck_assert_double_le(most / least, 3);
}
END_TEST

START_TEST(test_pause_and_resume)
{
    load(1);
    uint64_t start_us = eq_query_now_us(queue);
    send_jobs(1, 20);
    run_until(start_us + 200000);
    en_pause(engine, 0);
    run_until(start_us + 400000);
    ck_assert_uint_eq(events.counts[LWD_EVENT_PAUSED], 1);
    uint32_t tokens_made = events.tokens;
    ck_assert_uint_gt(tokens_made, 0);
    ck_assert_uint_lt(tokens_made, 20);
    en_send(engine, &(en_job){.adapter = 1,
                              .answer_tokens = 20,
                              .tokens_made = tokens_made});
    run_until(start_us + 2000000);
    ck_assert_uint_eq(events.counts[LWD_EVENT_FINISHED], 1);
    ck_assert_uint_eq(en_query_totals(engine).tokens, 20);
}
END_TEST

START_TEST(test_cancel_ends_the_work)
{
    load(1);
    send_jobs(1, 100);
    run_until(eq_query_now_us(queue) + 200000);
    ck_assert(en_cancel(engine, 0));
    ck_assert(!en_cancel(engine, 0));
    uint64_t tokens = en_query_totals(engine).tokens;
    run_until(eq_query_now_us(queue) + 2000000);
    ck_assert_uint_eq(en_query_totals(engine).tokens, tokens);
    ck_assert_uint_eq(events.counts[LWD_EVENT_FINISHED], 0);
}
END_TEST

START_TEST(test_restart_fails_jobs_and_evicts)
{
    load(1);
    send_jobs(1, 100);
    run_until(eq_query_now_us(queue) + 200000);
    en_restart(engine);
    run_until(eq_query_now_us(queue) + 1000000);
    ck_assert_uint_eq(events.counts[LWD_EVENT_FAILED], 1);
    ck_assert_int_eq(events.failure, LWD_FAILURE_DIED);
    ck_assert(!en_query_up(engine));
    ck_assert(!en_query_resident(engine, 1));
    run_until(eq_query_now_us(queue) + EN_COLD_START_MS * 1000ULL);
    ck_assert(en_query_up(engine));
}
END_TEST

START_TEST(test_adapters)
{
    load(1);
    load(2);
    en_load(engine, 3); /* no free slot */
    run_until(eq_query_now_us(queue) + 1000000);
    ck_assert(!en_query_resident(engine, 3));
    send_jobs(1, 200);
    en_evict(engine, 1); /* in use */
    en_evict(engine, 2);
    ck_assert(en_query_resident(engine, 1));
    ck_assert(!en_query_resident(engine, 2));
    en_send(engine, &(en_job){.key = 9, .adapter = 2, .answer_tokens = 1});
    run_until(eq_query_now_us(queue) + 100000);
    ck_assert_int_eq(events.failure, LWD_FAILURE_NOT_RESIDENT);
}
END_TEST

START_TEST(test_oldest_prefix_is_evicted)
{
    px_cache cache = {0};
    for (uint64_t prefix = 1; prefix <= PX_PREFIXES; prefix++) {
        px_touch_result result = px_touch(&cache, prefix);
        ck_assert(!result.hit);
        ck_assert_uint_eq(result.evicted, 0);
    }
    ck_assert(px_touch(&cache, 1).hit);
    ck_assert_uint_eq(px_touch(&cache, 1000).evicted, 2);
    ck_assert(px_touch(&cache, 1).hit);
    ck_assert(!px_touch(&cache, 2).hit);
}
END_TEST

START_TEST(test_reports_are_delayed)
{
    run_until(5000000);
    ck_assert_uint_ge(events.counts[LWD_EVENT_LOAD_REPORT], 4);
    ck_assert_uint_eq(events.report_delay_us, 2000000);
}
END_TEST

START_TEST(test_store_rate_and_burst)
{
    ws_store *slow = ws_create(&(ws_desc){.loads_per_s_milli = 4000});
    ck_assert_uint_eq(ws_start(slow, 0).done_us, 250000);
    ck_assert_uint_eq(ws_start(slow, 0).done_us, 250000);
    ck_assert_uint_eq(ws_start(slow, 0).done_us, 500000);
    ck_assert_uint_eq(ws_start(slow, 0).done_us, 750000);
    ck_assert_uint_eq(ws_query_in_transit(slow), 4);
    ws_destroy(slow);
}
END_TEST

START_TEST(test_store_transit)
{
    ws_store *wide =
        ws_create(&(ws_desc){.loads_per_s_milli = 4000, .burst_loads = 100});
    for (int i = 0; i < 16; i++) {
        ck_assert_uint_eq(ws_start(wide, 0).done_us, 250000);
    }
    for (int i = 17; i < 32; i++) {
        ws_start(wide, 0);
    }
    ck_assert_uint_eq(ws_start(wide, 0).done_us, 500000);
    ws_finish(wide);
    ck_assert_uint_eq(ws_query_in_transit(wide), 31);
    ws_destroy(wide);
}
END_TEST

START_TEST(test_store_failures)
{
    ws_store *failing = ws_create(&(ws_desc){
        .loads_per_s_milli = 4000, .failure_per_mille = 100, .seed = 5});
    uint32_t failed = 0;
    for (int i = 0; i < 10000; i++) {
        failed += ws_start(failing, 0).failed;
        ws_finish(failing);
    }
    ck_assert_uint_ge(failed, 900);
    ck_assert_uint_le(failed, 1100);
    ws_destroy(failing);
}
END_TEST

START_TEST(test_short_requests_are_the_same_without_long)
{
    const ar_deployment *trust = ar_query_deployment("trust");
    ar_trace *both = ar_create(
        &(ar_desc){.deployment = trust, .seed = 7, .scenario = AR_NOMINAL});
    ar_trace *only = ar_create(
        &(ar_desc){.deployment = trust, .seed = 7, .scenario = AR_SHORT_ONLY});
    uint32_t at = 0;
    for (uint32_t i = 0; i < both->count; i++) {
        if (!both->requests[i].long_work) {
            ck_assert_uint_lt(at, only->count);
            ck_assert_uint_eq(both->requests[i].at_us,
                              only->requests[at].at_us);
            ck_assert_uint_eq(both->requests[i].adapter,
                              only->requests[at].adapter);
            at++;
        }
    }
    ck_assert_uint_eq(at, only->count);
    ck_assert_uint_lt(only->count, both->count);
    ar_destroy(both);
    ar_destroy(only);
}
END_TEST

START_TEST(test_spike_rises_fivefold)
{
    ar_trace *trace =
        ar_create(&(ar_desc){.deployment = ar_query_deployment("trust"),
                             .seed = 7,
                             .scenario = AR_CREST});
    uint32_t before = 0;
    uint32_t after = 0;
    for (uint32_t i = 0; i < trace->count; i++) {
        uint64_t at_us = trace->requests[i].at_us;
        before +=
            at_us >= AR_CREST_START_US - 25000000 && at_us < AR_CREST_START_US;
        after +=
            at_us >= AR_CREST_START_US + 5000000 && at_us < AR_CREST_END_US;
    }
    ck_assert_double_ge((double)after / before, 4.5);
    ck_assert_double_le((double)after / before, 5.5);
    ar_destroy(trace);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("fakes");
    TCase *tests = tcase_create("behavior");
    tcase_add_checked_fixture(tests, setup, teardown);
    tcase_add_test(tests, test_batch_time);
    tcase_add_test(tests, test_slots_limit_the_batch);
    tcase_add_test(tests, test_slowness);
    tcase_add_test(tests, test_pause_and_resume);
    tcase_add_test(tests, test_cancel_ends_the_work);
    tcase_add_test(tests, test_restart_fails_jobs_and_evicts);
    tcase_add_test(tests, test_adapters);
    tcase_add_test(tests, test_oldest_prefix_is_evicted);
    tcase_add_test(tests, test_reports_are_delayed);
    tcase_add_test(tests, test_store_rate_and_burst);
    tcase_add_test(tests, test_store_transit);
    tcase_add_test(tests, test_store_failures);
    tcase_add_test(tests, test_short_requests_are_the_same_without_long);
    tcase_add_test(tests, test_spike_rises_fivefold);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
