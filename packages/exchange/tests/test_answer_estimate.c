/* Tests of which requests a stopping instance accepts. */
#include "answer_estimate.h"
#include "run.h"

#include <glib.h>
#include <math.h>

#define SECOND_US 1000000ULL
/* Time left for answers out of a grace period of 8 s; after NOTICE_US of it
   the platform sends new callers elsewhere. */
#define GRACE_US 7500000ULL
#define NOTICE_US (2600000ULL)

/* Guards against starting a stream that is too long by the caller's own
   estimate: it would be cut, while another instance can serve it whole. */
START_TEST(test_long_stream_is_refused_during_stop)
{
    ae_answer answer = {.stream = true,
                        .max_tokens = 955,
                        .hint_tokens = 500,
                        .timeout_us = 12 * SECOND_US};
    ck_assert(!ae_query_fits(&answer, GRACE_US, false));
    answer.hint_tokens = 100;
    ck_assert(ae_query_fits(&answer, GRACE_US, false));
    ck_assert(!ae_query_fits(&answer, 3 * SECOND_US, false));
    answer.hint_tokens = 0;
    ck_assert(ae_query_fits(&answer, GRACE_US, false));
    ck_assert(!ae_query_fits(&answer, GRACE_US, true));
}
END_TEST

START_TEST(test_timeout_bounds_the_estimate)
{
    ae_answer answer = {.stream = true,
                        .max_tokens = 90,
                        .hint_tokens = 90,
                        .timeout_us = 3 * SECOND_US};
    ck_assert(ae_query_fits(&answer, 3 * SECOND_US, true));
    ck_assert(!ae_query_fits(&answer, 3 * SECOND_US - 1, true));
    ae_answer plain = {.timeout_us = 1200000};
    ck_assert(ae_query_fits(&plain, 1200000, true));
    ck_assert(!ae_query_fits(&plain, 1100000, true));
}
END_TEST

/* Simulates streams of many lengths with estimates that are right at the
   median, servers that take 5 to 25 ms a token, and first events within 2.5 s.
   No stream accepted after new callers are sent elsewhere may be cut off by
   the stop, and fewer than 5 % of those accepted before. */
START_TEST(test_no_stream_accepted_after_notice_is_cut)
{
    g_autoptr(GRand) random = g_rand_new_with_seed((guint32)_i + 1);
    uint32_t accepted[2] = {0};
    uint32_t cut[2] = {0};
    for (uint32_t i = 0; i < 20000; i++) {
        uint64_t at_us =
            (uint64_t)g_rand_double_range(random, 0, (double)GRACE_US);
        bool after_notice = at_us >= NOTICE_US;
        double log_normal = g_rand_double(random) + g_rand_double(random) +
                            g_rand_double(random) - 1.5;
        uint32_t max_tokens = g_rand_int_range(random, 0, 2) ? 952 : 90;
        uint32_t tokens = (uint32_t)CLAMP(
            max_tokens / 4.0 * exp(2.0 * log_normal), 1, max_tokens);
        double log_error = g_rand_double_range(random, -0.5, 0.5);
        ae_answer answer = {
            .stream = true,
            .max_tokens = max_tokens,
            .hint_tokens = (uint32_t)MAX(tokens * exp(log_error), 1),
            .timeout_us = (max_tokens == 90 ? 3 : 12) * SECOND_US};
        if (!ae_query_fits(&answer, GRACE_US - at_us, after_notice)) {
            continue;
        }
        double token_us = g_rand_double_range(random, 5000, 25000);
        double first_us = g_rand_double_range(random, 20000, 2500000);
        accepted[after_notice]++;
        /* The caller's time-out ends a stream that lasts longer. */
        double duration_us =
            MIN(first_us + tokens * token_us, (double)answer.timeout_us);
        cut[after_notice] += (double)at_us + duration_us > (double)GRACE_US;
    }
    ck_assert_uint_gt(accepted[0], 1000);
    ck_assert_uint_gt(accepted[1], 500);
    ck_assert_uint_eq(cut[1], 0);
    ck_assert_uint_lt(cut[0] * 20, accepted[0]);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("answer_estimate");
    tcase_add_test(tcase, test_long_stream_is_refused_during_stop);
    tcase_add_test(tcase, test_timeout_bounds_the_estimate);
    tcase_add_loop_test(tcase, test_no_stream_accepted_after_notice_is_cut, 0,
                        20);
    return run_case("answer_estimate", tcase);
}
