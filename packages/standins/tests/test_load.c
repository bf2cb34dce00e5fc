/*
 * Tests of the load generator: it has to detect incomplete, refused and
 * contradictory answers, and generate the described workload.
 */
#include "latency.h"
#include "load_answer.h"
#include "load_bookings.h"
#include "workload.h"
#include <check.h>
#include <stdlib.h>
#include <string.h>

/* An answer as bytes, and how the parser has to classify it. */
typedef struct answer_case {
    uint32_t status;
    bool events;
    bool draft;
    bool cut_off;
    const char *bytes;
    bool complete;
    bool refusal;
    const char *text;
    const char *ran;
} answer_case;

static const answer_case answer_cases[] = {
    {200, true, true, false,
     "data: {\"choices\":[{\"index\":0,\"text\":\"a\\\"b\"}]}\n\n"
     "data: {\"choices\":[{\"text\":\"c\"}]}\n\ndata: [DONE]\n\n",
     true, false, "a\"bc", ""},
    {200, true, true, false,
     "data: {\"index\":0,\"text\":\"a\",\"model\":\"m\"}\n\n"
     "data: {\"done\":true,\"tokens\":1,\"finish_reason\":\"stop\"}\n\n",
     true, false, "a", ""},
    {200, true, true, false, "data: {\"choices\":[{\"text\":\"a\"}]}\n\n",
     false, false, "a", ""},
    {200, true, true, false,
     "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: {\"error\":{\"type\":"
     "\"timeout\",\"ran\":\"unknown\",\"retry_after_ms\":5}}\n\n",
     false, true, "a", "unknown"},
    {200, false, true, false, "{\"choices\":[{\"text\":\"ab\"}]}", true, false,
     "ab", ""},
    {200, false, true, true, "{\"choices\":[{\"text\":\"ab\"}]}", false, false,
     "", ""},
    {200, false, true, false, "{\"choices\":[]}", false, false, "", ""},
    {503, false, true, false,
     "{\"error\":{\"type\":\"stopping\",\"ran\":\"not_run\"}}", false, true,
     "", "not_run"},
    {503, false, true, false, "gone", false, false, "", ""},
    {200, false, false, false, "{\"result\":1}", true, false, "{\"result\":1}",
     ""},
};

/* The result must not depend on the sizes in which the bytes arrive. */
START_TEST(test_answers)
{
    const answer_case *expected = &answer_cases[_i];
    for (size_t step = 1; step <= strlen(expected->bytes); step += 7) {
        la_answer answer;
        la_setup(&answer);
        la_begin(&answer, expected->status, expected->events, expected->draft);
        answer.cut_off = expected->cut_off;
        for (size_t at = 0; at < strlen(expected->bytes); at += step) {
            la_feed(&answer, expected->bytes + at,
                    MIN(step, strlen(expected->bytes) - at));
        }
        la_end(&answer);
        ck_assert_int_eq(la_query_is_complete(&answer), expected->complete);
        ck_assert_int_eq(la_query_is_refusal(&answer), expected->refusal);
        ck_assert_str_eq(la_query_text(&answer), expected->text);
        ck_assert_str_eq(answer.ran, expected->ran);
        la_clear(&answer);
    }
}
END_TEST

/* Equal descriptions give equal items, with the described rate and shares. */
START_TEST(test_workload)
{
    wl_desc desc = {.seed = 5,
                    .rate = 100,
                    .long_share = 0.5,
                    .lookup_share = 0.2,
                    .booking_share = 0.3,
                    .resend_share = 1};
    wl_workload *one = wl_create(&desc);
    wl_workload *two = wl_create(&desc);
    uint32_t kinds[WL_KIND_NUM] = {0};
    uint32_t first = 0;
    wl_item item = {0};
    for (uint32_t i = 0; i < 10000; i++) {
        wl_item same;
        wl_next(one, &item);
        wl_next(two, &same);
        ck_assert_mem_eq(&item, &same, sizeof(item));
        kinds[item.kind]++;
        first += g_str_equal(item.model, "adapter-0@v1");
        ck_assert_int_eq(item.resend, item.kind == WL_BOOKING);
    }
    ck_assert_uint_gt(item.at_us, 95000000);
    ck_assert_uint_lt(item.at_us, 105000000);
    ck_assert_uint_gt(kinds[WL_BOOKING], 2800);
    ck_assert_uint_lt(kinds[WL_BOOKING], 3200);
    ck_assert_uint_gt(kinds[WL_LOOKUP], 1800);
    ck_assert_uint_lt(kinds[WL_LOOKUP], 2200);
    ck_assert_uint_gt(first, kinds[WL_KIND_DEFAULT] / 6);
    wl_destroy(one);
    wl_destroy(two);
}
END_TEST

/* Two successful answers that differ count as one differing key; a service
   that can't be reached is reported. */
START_TEST(test_bookings)
{
    lb_bookings *bookings = lb_create();
    lb_add_key(bookings, "k");
    lc_result done = {.text = "{\"run\":1}"};
    lc_result refused = {.outcome = LC_REFUSED, .ran = "not_run"};
    lb_add_result(bookings, "k", &refused);
    lb_add_result(bookings, "k", &done);
    lb_add_result(bookings, "k", &done);
    ck_assert_uint_eq(lb_query_counts(bookings).differing, 0);
    done.text = "{\"run\":2}";
    lb_add_result(bookings, "k", &done);
    ck_assert_uint_eq(lb_query_counts(bookings).differing, 1);
    ck_assert_uint_eq(lb_query_counts(bookings).results, 4);
    ck_assert(!lb_read_history(bookings, "http://127.0.0.1:1"));
    lb_destroy(bookings);
}
END_TEST

START_TEST(test_latency)
{
    lt_set *set = lt_create();
    ck_assert_double_eq(lt_query_ms(set, 0.5), 0);
    for (int i = 100; i >= 0; i--) {
        lt_add(set, i);
    }
    ck_assert_double_eq(lt_query_ms(set, 0.5), 50);
    ck_assert_double_eq(lt_query_ms(set, 0.99), 99);
    lt_destroy(set);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("load");
    tcase_add_loop_test(tcase, test_answers, 0, G_N_ELEMENTS(answer_cases));
    tcase_add_test(tcase, test_workload);
    tcase_add_test(tcase, test_bookings);
    tcase_add_test(tcase, test_latency);
    Suite *suite = suite_create("load");
    suite_add_tcase(suite, tcase);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
