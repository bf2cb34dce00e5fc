/* Tests of the history checker: one planted violation of each kind must be
   found, and nothing in histories without one. */
#include "checker.h"
#include <check.h>
#include <stdlib.h>

#define S INT64_C(1000000)

/* A history in which everything held, with every kind of event. */
static const hk_event clean[] = {
    {HK_CALL, 1 * S, 2 * S, "d1", .prompt = "p1", .model = "a@1", .text = "x",
     .deadline_ms = 2000, .pieces = 3},
    {HK_START, 1 * S + 1, 0, "e1", "i1", "r1", "a@1", .prompt = "p1"},
    {HK_END, 2 * S - 1, 0, "e1", "i1", "r1"},
    {HK_EVICT, 2 * S, 0, "e1", "i1", .model = "a@1"},
    /* Killed and resumed elsewhere; evicted there by the next life. */
    {HK_START, 3 * S, 0, "e1", "i1", "r2", "b@1", .prompt = "p2"},
    {HK_EVICT, 4 * S, 0, "e1", "i2", .model = "b@1"},
    {HK_EVICT, 4 * S, 0, "e2", "i1", .model = "b@1"},
    {HK_CALL, 3 * S, 5 * S, "d1", .prompt = "p2", .model = "b@1",
     .text = "timeout", .outcome = HK_REFUSED, .pieces = 1,
     .deadline_ms = 1000},
    {HK_CALL, 3 * S, 4 * S, "d1", .prompt = "p3", .model = "b@1",
     .text = "overloaded", .outcome = HK_REFUSED, .not_run = true},
    /* A booking sent three times; one refusal was true. */
    {HK_CALL, 5 * S, 6 * S, "d1", .key = "k1", .text = "done"},
    {HK_CALL, 5 * S, 6 * S, "d2", .key = "k1", .text = "done"},
    {HK_CALL, 5 * S, 6 * S, "d3", .key = "k1", .outcome = HK_REFUSED,
     .not_run = true, .text = "in_progress"},
    {HK_RUN, 5 * S + 1, 0, "s1", .key = "k1"},
    /* It ran, and the caller was told that nobody knows. */
    {HK_CALL, 6 * S, 7 * S, "d2", .key = "k2", .outcome = HK_REFUSED,
     .text = "outcome_unknown"},
    {HK_RUN, 6 * S + 1, 0, "s1", .key = "k2"},
    /* Broken by a fault at its daemon. */
    {HK_FAULT, 7 * S, 9 * S, "d3"},
    {HK_CALL, 6 * S, 7 * S, "d3", .prompt = "p4", .outcome = HK_BROKEN},
    {HK_CALL, 8 * S, 12 * S, "d3", .prompt = "p5", .outcome = HK_SILENT},
    {HK_CONFIG, 1 * S, 0, "d1", .version = 1},
    {HK_CONFIG, 2 * S, 0, "d1", .version = 2},
    {HK_CONFIG, 3 * S, 0, "d1", .version = 0},
    {HK_CONFIG, 3 * S, 0, "d2", .version = 1},
    {HK_CONFIG, 4 * S, 0, "d1", .version = 2},
    {HK_ACCEPTED, 2 * S, 0, "o1", .version = 2},
    {HK_ACCEPTED, 5 * S, 0, "o2", .version = 3},
    {HK_FINAL, 20 * S, 0, "d1", .version = 3},
    {HK_FINAL, 20 * S, 0, "d2", .version = 3},
    {HK_LEAVING, 10 * S, 0, "e2"},
    {HK_START, 12 * S, 0, "e2", "i1", "r3", "a@1", .prompt = "p6"},
    {HK_START, 15 * S, 0, "e1", "i1", "r4", "a@1", .prompt = "p7"},
};

typedef struct planted {
    hk_violation violation;
    hk_event events[3];
} planted;

static const planted cases[] = {
    {HK_DOUBLED, {{HK_RUN, 6 * S, 0, "s2", .key = "k1"}}},
    {HK_DOUBLED,
     {{HK_RUN, 1 * S, 0, "s1", .key = "unseen"},
      {HK_RUN, 1 * S, 0, "s1", .key = "unseen"}}},
    {HK_WRONG_ADAPTER,
     {{HK_CALL, 1 * S, 2 * S, "d1", .prompt = "x", .model = "a@1",
       .text = "b@1:", .outcome = HK_WRONG}}},
    {HK_EVICTED_IN_USE,
     {{HK_EVICT, 1 * S + 5, 0, "e1", "i1", .model = "a@1"}}},
    {HK_EVICTED_IN_USE, {{HK_EVICT, 30 * S, 0, "e1", "i1", .model = "b@1"}}},
    {HK_FALSE_NOT_RUN,
     {{HK_CALL, 1 * S, 2 * S, "d1", .key = "k9", .outcome = HK_REFUSED,
       .not_run = true, .text = "no_backend_server"},
      {HK_RUN, 1 * S, 0, "s1", .key = "k9"}}},
    {HK_FALSE_NOT_RUN,
     {{HK_CALL, 1 * S, 2 * S, "d1", .prompt = "x", .outcome = HK_REFUSED,
       .not_run = true, .text = "no_backend_server"},
      {HK_START, 1 * S, 0, "e1", "i1", "r9", "c@1", .prompt = "x"}}},
    {HK_CUT_OFF,
     {{HK_CALL, 1 * S, 2 * S, "d3", .prompt = "x", .outcome = HK_BROKEN}}},
    {HK_CUT_OFF,
     {{HK_CALL, 8 * S, 9 * S, "d1", .prompt = "x", .outcome = HK_SILENT}}},
    {HK_CUT_OFF,
     {{HK_CALL, 1 * S, 2 * S, "d1", .prompt = "x", .outcome = HK_REFUSED,
       .pieces = 2, .text = "stopping"}}},
    {HK_REVERTED, {{HK_CONFIG, 10 * S, 0, "d1", .version = 1}}},
    {HK_REVERTED, {{HK_ACCEPTED, 6 * S, 0, "o3", .version = 3}}},
    {HK_REVERTED, {{HK_FINAL, 20 * S, 0, "d3", .version = 2}}},
    {HK_LOST, {{HK_CALL, 1 * S, 2 * S, "d1", .key = "k8", .text = "done"}}},
    {HK_DIFFERING,
     {{HK_CALL, 5 * S, 6 * S, "d2", .key = "k1", .text = "other"}}},
    {HK_LEAVING_SERVED,
     {{HK_START, 14 * S, 0, "e2", "i1", "r8", "a@1", .prompt = "p8"}}},
    {HK_LEAVING_SERVED, {{HK_RUN, 14 * S, 0, "e2", .key = "k7"}}},
};

static hk_history *
fill(void)
{
    hk_history *history = hk_create();
    for (size_t i = 0; i < G_N_ELEMENTS(clean); i++) {
        hk_add(history, &clean[i]);
    }
    return history;
}

START_TEST(test_clean)
{
    hk_history *history = fill();
    hk_report report;
    hk_check(history, &report);
    for (guint i = 0; i < report.findings->len; i++) {
        ck_abort_msg("%s", (char *)g_ptr_array_index(report.findings, i));
    }
    ck_assert_uint_eq(hk_query_violation_total(&report), 0);
    ck_assert_uint_eq(report.calls, 9);
    ck_assert_uint_eq(report.faults, 1);
    ck_assert_uint_eq(report.in_time, 3);
    hk_clear_report(&report);
    hk_destroy(history);
}
END_TEST

START_TEST(test_planted)
{
    const planted *plant = &cases[_i];
    hk_history *history = fill();
    for (size_t i = 0; i < G_N_ELEMENTS(plant->events); i++) {
        if (plant->events[i].type) {
            hk_add(history, &plant->events[i]);
        }
    }
    hk_report report;
    hk_check(history, &report);
    ck_assert_uint_eq(report.counts[plant->violation], 1);
    ck_assert_uint_eq(hk_query_violation_total(&report), 1);
    const char *line = g_ptr_array_index(report.findings, 0);
    ck_assert(
        g_str_has_prefix(line, hk_query_violation_name(plant->violation)));
    hk_clear_report(&report);
    hk_destroy(history);
}
END_TEST

START_TEST(test_every_kind_is_planted)
{
    bool found[HK_VIOLATION_NUM] = {false};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        found[cases[i].violation] = true;
    }
    for (int i = 0; i < HK_VIOLATION_NUM; i++) {
        ck_assert_msg(found[i], "%s",
                      hk_query_violation_name((hk_violation)i));
    }
}
END_TEST

START_TEST(test_late_answers_are_not_in_time)
{
    hk_history *history = hk_create();
    hk_add(history, &(hk_event){HK_CALL, 0, 2 * S, "d1", .prompt = "x",
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
    tcase_add_test(tcase, test_clean);
    tcase_add_loop_test(tcase, test_planted, 0, G_N_ELEMENTS(cases));
    tcase_add_test(tcase, test_every_kind_is_planted);
    tcase_add_test(tcase, test_late_answers_are_not_in_time);
    Suite *suite = suite_create("history");
    suite_add_tcase(suite, tcase);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
