/* Tests of the pauses between reads of a table that many instances follow. */
#include "run.h"
#include "watch.h"

/* The pause is a quarter of the time in which a change must be noticed, so
   that a table is read four times in it. An instance that hears nothing from
   the others still reads it twice in that time, whatever its rank. */
START_TEST(test_every_rank_reads_in_time)
{
    static const uint32_t pauses_ms[] = {500, 750, 1000};
    for (int i = 0; i < 3; i++) {
        for (uint32_t rank = 0; rank < 200; rank++) {
            uint32_t min_ms;
            uint32_t max_ms;
            wt_query_pause_range(pauses_ms[i], rank, &min_ms, &max_ms);
            ck_assert_uint_le(min_ms, max_ms);
            ck_assert_uint_le(max_ms, 2 * pauses_ms[i]);
        }
    }
}
END_TEST

/* The others poll at least 100 ms later, so that they can hear of the first
   one's answer and save their own request. */
START_TEST(test_first_rank_polls_before_others)
{
    uint32_t first_ms;
    uint32_t min_ms;
    uint32_t max_ms;
    wt_query_pause_range(750, 1, &min_ms, &first_ms);
    for (uint32_t rank = 2; rank < 200; rank++) {
        wt_query_pause_range(750, rank, &min_ms, &max_ms);
        ck_assert_uint_ge(min_ms, first_ms + 100);
    }
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("watch");
    tcase_add_test(tcase, test_every_rank_reads_in_time);
    tcase_add_test(tcase, test_first_rank_polls_before_others);
    return run_case("watch", tcase);
}
