/* Tests of the shared budget of further sends. */
#include "budget.h"
#include "run.h"
#include <glib.h>

#define MS UINT64_C(1000)

/* Over any window, all instances together stay within ratio and slack. */
START_TEST(test_whole_stays_within)
{
    enum { INSTANCES = 6, STEPS = 4000 };
    g_autoptr(GRand) random = g_rand_new_with_seed((guint32)_i + 1);
    bg_budget *budgets[INSTANCES];
    uint32_t first[STEPS] = {0};
    uint32_t again[STEPS] = {0};
    for (int i = 0; i < INSTANCES; i++) {
        budgets[i] = bg_create(
            &(bg_desc){.ratio = 0.2, .slack = 52, .window_ms = 10000});
    }
    for (int step = 0; step < STEPS; step++) {
        uint64_t now_us = (uint64_t)step * 10 * MS;
        for (int i = 0; i < INSTANCES; i++) {
            if (g_rand_int_range(random, 0, 100) < 15 + (step / 500) * 5) {
                bg_first(budgets[i], now_us);
                first[step]++;
            }
            if (bg_take(budgets[i], now_us, INSTANCES)) {
                again[step]++;
            }
        }
    }
    for (int end = 1000; end < STEPS; end++) {
        uint32_t sent = 0;
        uint32_t more = 0;
        for (int step = end - 1000; step < end; step++) {
            sent += first[step];
            more += again[step];
        }
        ck_assert_double_le(more, 0.2 * sent + 52);
    }
    for (int i = 0; i < INSTANCES; i++) {
        bg_destroy(budgets[i]);
    }
}
END_TEST

START_TEST(test_comes_back)
{
    bg_budget *budget =
        bg_create(&(bg_desc){.ratio = 0.2, .slack = 10, .window_ms = 1000});
    uint32_t taken = 0;
    while (bg_take(budget, 0, 1)) {
        taken++;
    }
    ck_assert_uint_ge(taken, 5);
    ck_assert(!bg_take(budget, 500 * MS, 1));
    ck_assert(bg_take(budget, 1300 * MS, 1));
    bg_destroy(budget);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("budget");
    tcase_add_loop_test(tcase, test_whole_stays_within, 0, 10);
    tcase_add_test(tcase, test_comes_back);
    return run_case("budget", tcase);
}
