/* Tests of the budget for resends that the instances share. */
#include "budget.h"
#include "run.h"
#include <glib.h>

#define MS UINT64_C(1000)

/* In any window, the resends of all instances together stay within ratio x
   first sends + slack. */
START_TEST(test_all_instances_stay_within_budget)
{
    enum { INSTANCES = 6, STEPS = 4000 };
    g_autoptr(GRand) random = g_rand_new_with_seed((guint32)_i + 1);
    bg_budget *budgets[INSTANCES];
    uint32_t first_sends[STEPS] = {0};
    uint32_t resends[STEPS] = {0};
    for (int i = 0; i < INSTANCES; i++) {
        budgets[i] = bg_create(
            &(bg_desc){.ratio = 0.2, .slack = 52, .window_ms = 10000});
    }
    for (int step = 0; step < STEPS; step++) {
        uint64_t now_us = (uint64_t)step * 10 * MS;
        for (int i = 0; i < INSTANCES; i++) {
            if (g_rand_int_range(random, 0, 100) < 15 + (step / 500) * 5) {
                bg_count_first_send(budgets[i], now_us);
                first_sends[step]++;
            }
            if (bg_take_resend(budgets[i], now_us, INSTANCES, 0)) {
                resends[step]++;
            }
        }
    }
    for (int end = 1000; end < STEPS; end++) {
        uint32_t sent = 0;
        uint32_t resent = 0;
        for (int step = end - 1000; step < end; step++) {
            sent += first_sends[step];
            resent += resends[step];
        }
        ck_assert_double_le(resent, 0.2 * sent + 52);
    }
    for (int i = 0; i < INSTANCES; i++) {
        bg_destroy(budgets[i]);
    }
}
END_TEST

/* The slack is available again when the window has passed. */
START_TEST(test_budget_refills)
{
    bg_budget *budget =
        bg_create(&(bg_desc){.ratio = 0.2, .slack = 10, .window_ms = 1000});
    uint32_t taken = 0;
    while (bg_take_resend(budget, 0, 1, 0)) {
        taken++;
    }
    ck_assert_uint_ge(taken, 5);
    ck_assert(!bg_take_resend(budget, 500 * MS, 1, 0));
    ck_assert(bg_take_resend(budget, 1300 * MS, 1, 0));
    bg_destroy(budget);
}
END_TEST

/* New requests leave a part to streams that go on. */
START_TEST(test_part_of_the_budget_is_kept)
{
    bg_budget *budget =
        bg_create(&(bg_desc){.ratio = 0.2, .slack = 100, .window_ms = 1000});
    double all = bg_query_resends_left(budget, 0, 1);
    while (bg_take_resend(budget, 0, 1, 0.4)) {
    }
    double left = bg_query_resends_left(budget, 0, 1);
    ck_assert_double_ge(left, 0.4 * all);
    ck_assert_double_le(left, 0.4 * all + 1.0);
    ck_assert(bg_take_resend(budget, 0, 1, 0));
    bg_destroy(budget);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("budget");
    tcase_add_loop_test(tcase, test_all_instances_stay_within_budget, 0, 10);
    tcase_add_test(tcase, test_budget_refills);
    tcase_add_test(tcase, test_part_of_the_budget_is_kept);
    return run_case("budget", tcase);
}
