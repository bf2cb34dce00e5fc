/* Tests of the memory that the buffers of answers share. */
#include "byte_budget.h"
#include "run.h"
#include <stdbool.h>

#define MAX_BYTES 1000

typedef struct buffer {
    bb_share share;
} buffer;

START_TEST(test_largest_buffer_goes_first)
{
    bb_budget budget = {.max_bytes = MAX_BYTES};
    buffer small = {0};
    buffer large = {0};
    bb_set(&budget, &small.share, &small, 400);
    bb_set(&budget, &large.share, &large, 600);
    ck_assert_ptr_null(bb_query_excess(&budget));
    bb_set(&budget, &small.share, &small, 401);
    ck_assert_ptr_eq(bb_query_excess(&budget), &large);
    bb_set(&budget, &large.share, &large, 0);
    ck_assert_ptr_null(bb_query_excess(&budget));
    ck_assert_uint_eq(budget.used_bytes, 401);
    bb_set(&budget, &small.share, &small, 0);
    ck_assert_uint_eq(budget.used_bytes, 0);
    ck_assert_uint_eq(budget.shares.length, 0);
}
END_TEST

/* Many buffers grow at once, some end: the sum is within the limit after each
   step, and small ones are kept while larger ones are there. */
START_TEST(test_sum_stays_within_the_limit)
{
    enum { BUFFERS = 40, STEPS = 4000, MAX_STEP_BYTES = 60 };
    g_autoptr(GRand) random = g_rand_new_with_seed((guint32)_i);
    bb_budget budget = {.max_bytes = MAX_BYTES};
    buffer buffers[BUFFERS] = {0};
    for (int step = 0; step < STEPS; step++) {
        buffer *one = &buffers[g_rand_int_range(random, 0, BUFFERS)];
        bool ends = g_rand_int_range(random, 0, 10) == 0;
        uint64_t bytes =
            ends ? 0
                 : one->share.bytes +
                       (uint64_t)g_rand_int_range(random, 1, MAX_STEP_BYTES);
        bb_set(&budget, &one->share, one, bytes);
        buffer *largest;
        while ((largest = bb_query_excess(&budget))) {
            for (int i = 0; i < BUFFERS; i++) {
                ck_assert_uint_le(buffers[i].share.bytes,
                                  largest->share.bytes);
            }
            bb_set(&budget, &largest->share, largest, 0);
        }
        uint64_t sum = 0;
        for (int i = 0; i < BUFFERS; i++) {
            sum += buffers[i].share.bytes;
        }
        ck_assert_uint_eq(sum, budget.used_bytes);
        ck_assert_uint_le(sum, MAX_BYTES);
    }
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("byte_budget");
    tcase_add_test(tcase, test_largest_buffer_goes_first);
    tcase_add_loop_test(tcase, test_sum_stays_within_the_limit, 0, 20);
    return run_case("byte_budget", tcase);
}
