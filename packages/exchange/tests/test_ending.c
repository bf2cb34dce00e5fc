/* Tests of what a stopping instance takes. */
#include "ending.h"
#include "run.h"

#include <glib.h>
#include <math.h>

#define SECOND_US 1000000ULL
/* Of a grace period of 8 s. */
#define GRACE_US 7500000ULL
#define NOTICE_US (2600000ULL)

/* Long by the caller's own guess: another instance serves it whole. */
START_TEST(test_long_stream_is_not_begun_in_a_stop)
{
    en_answer answer = {.stream = true,
                        .most_tokens = 955,
                        .hint_tokens = 500,
                        .patience_us = 12 * SECOND_US};
    ck_assert(!en_query_fits(&answer, GRACE_US, false));
    answer.hint_tokens = 100;
    ck_assert(en_query_fits(&answer, GRACE_US, false));
    ck_assert(!en_query_fits(&answer, 3 * SECOND_US, false));
    answer.hint_tokens = 0;
    ck_assert(en_query_fits(&answer, GRACE_US, false));
    ck_assert(!en_query_fits(&answer, GRACE_US, true));
}
END_TEST

START_TEST(test_patience_bounds_what_is_needed)
{
    en_answer answer = {.stream = true,
                        .most_tokens = 90,
                        .hint_tokens = 90,
                        .patience_us = 3 * SECOND_US};
    ck_assert(en_query_fits(&answer, 3 * SECOND_US, true));
    ck_assert(!en_query_fits(&answer, 3 * SECOND_US - 1, true));
    en_answer plain = {.patience_us = 1200000};
    ck_assert(en_query_fits(&plain, 1200000, true));
    ck_assert(!en_query_fits(&plain, 1100000, true));
}
END_TEST

/* Streams of many lengths, guesses that are right at the median, servers of
   5 to 25 ms a token, a first event within 2.5 s: of those that come once
   callers are sent elsewhere none is cut, of those before few. */
START_TEST(test_no_stream_that_is_taken_late_is_cut)
{
    g_autoptr(GRand) random = g_rand_new_with_seed((guint32)_i + 1);
    uint32_t taken[2] = {0};
    uint32_t cut[2] = {0};
    for (uint32_t i = 0; i < 20000; i++) {
        uint64_t at_us =
            (uint64_t)g_rand_double_range(random, 0, (double)GRACE_US);
        bool noticed = at_us >= NOTICE_US;
        double log_normal = g_rand_double(random) + g_rand_double(random) +
                            g_rand_double(random) - 1.5;
        uint32_t most = g_rand_int_range(random, 0, 2) ? 952 : 90;
        uint32_t tokens =
            (uint32_t)CLAMP(most / 4.0 * exp(2.0 * log_normal), 1, most);
        double wrong = g_rand_double_range(random, -0.5, 0.5);
        en_answer answer = {.stream = true,
                            .most_tokens = most,
                            .hint_tokens =
                                (uint32_t)MAX(tokens * exp(wrong), 1),
                            .patience_us = (most == 90 ? 3 : 12) * SECOND_US};
        if (!en_query_fits(&answer, GRACE_US - at_us, noticed)) {
            continue;
        }
        double token_us = g_rand_double_range(random, 5000, 25000);
        double first_us = g_rand_double_range(random, 20000, 2500000);
        taken[noticed]++;
        /* A stream that lasts longer than its caller waits ends then. */
        double takes_us =
            MIN(first_us + tokens * token_us, (double)answer.patience_us);
        cut[noticed] += (double)at_us + takes_us > (double)GRACE_US;
    }
    ck_assert_uint_gt(taken[0], 1000);
    ck_assert_uint_gt(taken[1], 500);
    ck_assert_uint_eq(cut[1], 0);
    ck_assert_uint_lt(cut[0] * 20, taken[0]);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("ending");
    tcase_add_test(tcase, test_long_stream_is_not_begun_in_a_stop);
    tcase_add_test(tcase, test_patience_bounds_what_is_needed);
    tcase_add_loop_test(tcase, test_no_stream_that_is_taken_late_is_cut, 0,
                        20);
    return run_case("ending", tcase);
}
