/* Tests the history checker (checker.h): it must find each kind of violation
   that is added to a clean history, and nothing in the clean history. */
#include "checker.h"
#include <check.h>
#include <stdlib.h>

/* One second in microseconds. */
#define S_US INT64_C(1000000)

/* A history without violations that has every type of event. */
static const hk_event clean_events[] = {
    {HK_CALL, 1 * S_US, 2 * S_US, "d1", .prompt = "p1", .model = "a@1",
     .text = "x", .deadline_ms = 2000, .pieces = 3},
    {HK_START, 1 * S_US + 1, 0, "e1", "i1", "r1", "a@1", .prompt = "p1"},
    {HK_END, 2 * S_US - 1, 0, "e1", "i1", "r1"},
    {HK_EVICT, 2 * S_US, 0, "e1", "i1", .model = "a@1"},
    /* The engine is killed during the run; the draft continues elsewhere. The
       restarted engine and another one may evict the adapter. */
    {HK_START, 3 * S_US, 0, "e1", "i1", "r2", "b@1", .prompt = "p2"},
    {HK_EVICT, 4 * S_US, 0, "e1", "i2", .model = "b@1"},
    {HK_EVICT, 4 * S_US, 0, "e2", "i1", .model = "b@1"},
    {HK_CALL, 3 * S_US, 5 * S_US, "d1", .prompt = "p2", .model = "b@1",
     .text = "timeout", .outcome = HK_REFUSED, .pieces = 1,
     .deadline_ms = 1000},
    {HK_CALL, 3 * S_US, 4 * S_US, "d1", .prompt = "p3", .model = "b@1",
     .text = "overloaded", .outcome = HK_REFUSED, .not_run = true},
    /* A booking sent three times; the refusal is true of its own request. */
    {HK_CALL, 5 * S_US, 6 * S_US, "d1", .key = "k1", .text = "done"},
    {HK_CALL, 5 * S_US, 6 * S_US, "d2", .key = "k1", .text = "done"},
    {HK_CALL, 5 * S_US, 6 * S_US, "d3", .key = "k1", .outcome = HK_REFUSED,
     .not_run = true, .text = "in_progress"},
    {HK_RUN, 5 * S_US + 1, 0, "s1", .key = "k1"},
    /* The booking ran; the caller got the answer that its outcome is
       unknown. */
    {HK_CALL, 6 * S_US, 7 * S_US, "d2", .key = "k2", .outcome = HK_REFUSED,
     .text = "outcome_unknown"},
    {HK_RUN, 6 * S_US + 1, 0, "s1", .key = "k2"},
    /* Cut off by a fault at the daemon of the calls. */
    {HK_FAULT, 7 * S_US, 9 * S_US, "d3"},
    {HK_CALL, 6 * S_US, 7 * S_US, "d3", .prompt = "p4", .outcome = HK_BROKEN},
    {HK_CALL, 8 * S_US, 12 * S_US, "d3", .prompt = "p5", .outcome = HK_SILENT},
    {HK_CONFIG, 1 * S_US, 0, "d1", .version = 1},
    {HK_CONFIG, 2 * S_US, 0, "d1", .version = 2},
    {HK_CONFIG, 3 * S_US, 0, "d1", .version = 0},
    {HK_CONFIG, 3 * S_US, 0, "d2", .version = 1},
    {HK_CONFIG, 4 * S_US, 0, "d1", .version = 2},
    {HK_ACCEPTED, 2 * S_US, 0, "o1", .version = 2},
    {HK_ACCEPTED, 5 * S_US, 0, "o2", .version = 3},
    {HK_FINAL, 20 * S_US, 0, "d1", .version = 3},
    {HK_FINAL, 20 * S_US, 0, "d2", .version = 3},
    {HK_LEAVING, 10 * S_US, 0, "e2"},
    {HK_START, 12 * S_US, 0, "e2", "i1", "r3", "a@1", .prompt = "p6"},
    {HK_START, 15 * S_US, 0, "e1", "i1", "r4", "a@1", .prompt = "p7"},
};

typedef struct violation_case {
    hk_violation violation;
    hk_event events[3]; /* added to the clean history; type 0: none */
} violation_case;

static const violation_case violation_cases[] = {
    {HK_DOUBLED, {{HK_RUN, 6 * S_US, 0, "s2", .key = "k1"}}},
    {HK_DOUBLED,
     {{HK_RUN, 1 * S_US, 0, "s1", .key = "unseen"},
      {HK_RUN, 1 * S_US, 0, "s1", .key = "unseen"}}},
    {HK_WRONG_ADAPTER,
     {{HK_CALL, 1 * S_US, 2 * S_US, "d1", .prompt = "x", .model = "a@1",
       .text = "b@1:", .outcome = HK_WRONG}}},
    {HK_EVICTED_IN_USE,
     {{HK_EVICT, 1 * S_US + 5, 0, "e1", "i1", .model = "a@1"}}},
    {HK_EVICTED_IN_USE,
     {{HK_EVICT, 30 * S_US, 0, "e1", "i1", .model = "b@1"}}},
    {HK_FALSE_NOT_RUN,
     {{HK_CALL, 1 * S_US, 2 * S_US, "d1", .key = "k9", .outcome = HK_REFUSED,
       .not_run = true, .text = "no_backend_server"},
      {HK_RUN, 1 * S_US, 0, "s1", .key = "k9"}}},
    {HK_FALSE_NOT_RUN,
     {{HK_CALL, 1 * S_US, 2 * S_US, "d1", .prompt = "x", .outcome = HK_REFUSED,
       .not_run = true, .text = "no_backend_server"},
      {HK_START, 1 * S_US, 0, "e1", "i1", "r9", "c@1", .prompt = "x"}}},
    {HK_CUT_OFF,
     {{HK_CALL, 1 * S_US, 2 * S_US, "d3", .prompt = "x",
       .outcome = HK_BROKEN}}},
    {HK_CUT_OFF,
     {{HK_CALL, 8 * S_US, 9 * S_US, "d1", .prompt = "x",
       .outcome = HK_SILENT}}},
    {HK_CUT_OFF,
     {{HK_CALL, 1 * S_US, 2 * S_US, "d1", .prompt = "x", .outcome = HK_REFUSED,
       .pieces = 2, .text = "stopping"}}},
    {HK_REVERTED, {{HK_CONFIG, 10 * S_US, 0, "d1", .version = 1}}},
    {HK_REVERTED, {{HK_ACCEPTED, 6 * S_US, 0, "o3", .version = 3}}},
    {HK_REVERTED, {{HK_FINAL, 20 * S_US, 0, "d3", .version = 2}}},
    {HK_LOST,
     {{HK_CALL, 1 * S_US, 2 * S_US, "d1", .key = "k8", .text = "done"}}},
    {HK_DIFFERING,
     {{HK_CALL, 5 * S_US, 6 * S_US, "d2", .key = "k1", .text = "other"}}},
    {HK_LEAVING_SERVED,
     {{HK_START, 14 * S_US, 0, "e2", "i1", "r8", "a@1", .prompt = "p8"}}},
    {HK_LEAVING_SERVED, {{HK_RUN, 14 * S_US, 0, "e2", .key = "k7"}}},
};

static hk_history *
create_clean_history(void)
{
    hk_history *history = hk_create();
    for (size_t i = 0; i < G_N_ELEMENTS(clean_events); i++) {
        hk_add(history, &clean_events[i]);
    }
    return history;
}

START_TEST(test_clean_history_has_no_violation)
{
    hk_history *history = create_clean_history();
    hk_report report;
    hk_check(history, &report);
    for (guint i = 0; i < report.findings->len; i++) {
        ck_abort_msg("unexpected finding: %s",
                     (char *)g_ptr_array_index(report.findings, i));
    }
    ck_assert_uint_eq(hk_query_violation_total(&report), 0);
    ck_assert_uint_eq(report.calls, 9);
    ck_assert_uint_eq(report.faults, 1);
    ck_assert_uint_eq(report.in_time, 3);
    hk_clear_report(&report);
    hk_destroy(history);
}
END_TEST

START_TEST(test_added_violation_is_found)
{
    const violation_case *test_case = &violation_cases[_i];
    hk_history *history = create_clean_history();
    for (size_t i = 0; i < G_N_ELEMENTS(test_case->events); i++) {
        if (test_case->events[i].type) {
            hk_add(history, &test_case->events[i]);
        }
    }
    hk_report report;
    hk_check(history, &report);
    ck_assert_uint_eq(report.counts[test_case->violation], 1);
    ck_assert_uint_eq(hk_query_violation_total(&report), 1);
    const char *line = g_ptr_array_index(report.findings, 0);
    ck_assert(
        g_str_has_prefix(line, hk_query_violation_name(test_case->violation)));
    hk_clear_report(&report);
    hk_destroy(history);
}
END_TEST

START_TEST(test_every_violation_has_a_case)
{
    bool has_case[HK_VIOLATION_NUM] = {false};
    for (size_t i = 0; i < G_N_ELEMENTS(violation_cases); i++) {
        has_case[violation_cases[i].violation] = true;
    }
    for (int i = 0; i < HK_VIOLATION_NUM; i++) {
        ck_assert_msg(has_case[i], "no test case for %s",
                      hk_query_violation_name((hk_violation)i));
    }
}
END_TEST

START_TEST(test_late_answer_is_not_in_time)
{
    hk_history *history = hk_create();
    hk_add(history, &(hk_event){HK_CALL, 0, 2 * S_US, "d1", .prompt = "x",
                                .deadline_ms = 1999});
    hk_report report;
    hk_check(history, &report);
    ck_assert_uint_eq(report.in_time, 0);
    hk_clear_report(&report);
    hk_destroy(history);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("history");
    tcase_add_test(tcase, test_clean_history_has_no_violation);
    tcase_add_loop_test(tcase, test_added_violation_is_found, 0,
                        G_N_ELEMENTS(violation_cases));
    tcase_add_test(tcase, test_every_violation_has_a_case);
    tcase_add_test(tcase, test_late_answer_is_not_in_time);
    Suite *suite = suite_create("history");
    suite_add_tcase(suite, tcase);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
