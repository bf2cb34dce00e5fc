/* Tests of the pauses between reads of a table that many instances follow. */
#include "run.h"
#include "watch.h"

/* A table is read four times in the time that its news have: the pause is a
   quarter of that. An instance that hears nothing of the others reads twice in
   it, whatever its rank. */
START_TEST(test_no_turn_waits_longer)
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

START_TEST(test_first_turn_spares_the_others)
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
    tcase_add_test(tcase, test_no_turn_waits_longer);
    tcase_add_test(tcase, test_first_turn_spares_the_others);
    return run_case("watch", tcase);
}
