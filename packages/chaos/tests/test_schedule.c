/* Tests the plan of faults (plan.h) and the reader of history files
   (reader.h). */
#include "plan.h"
#include "reader.h"
#include <check.h>
#include <stdlib.h>
#include <string.h>

#define LENGTH_MS 30000
#define SEED_COUNT 200

START_TEST(test_same_seed_gives_same_plan)
{
    g_autoptr(GArray) first = pn_create(7, LENGTH_MS);
    g_autoptr(GArray) second = pn_create(7, LENGTH_MS);
    g_autoptr(GArray) other = pn_create(8, LENGTH_MS);
    ck_assert_uint_eq(first->len, second->len);
    ck_assert_mem_eq(first->data, second->data, first->len * sizeof(pn_step));
    ck_assert(first->len != other->len ||
              memcmp(first->data, other->data, first->len * sizeof(pn_step)) !=
                  0);
}
END_TEST

/* Also checks that the steps are in order of time and that every fault occurs
   under some seed. */
START_TEST(test_one_daemon_out_at_a_time)
{
    uint32_t planned[PN_FAULT_NUM] = {0};
    for (uint64_t seed = 1; seed <= SEED_COUNT; seed++) {
        g_autoptr(GArray) steps = pn_create(seed, LENGTH_MS);
        int daemons_out = 0;
        uint32_t last_ms = 0;
        for (guint i = 0; i < steps->len; i++) {
            const pn_step *step = &g_array_index(steps, pn_step, i);
            ck_assert_uint_ge(step->at_ms, last_ms);
            ck_assert_uint_le(step->at_ms, LENGTH_MS);
            last_ms = step->at_ms;
            planned[step->fault] += !step->is_end;
            if (step->fault <= PN_STOP_DAEMON) {
                daemons_out += step->is_end ? -1 : 1;
            }
            ck_assert_int_le(daemons_out, 1);
            ck_assert_int_ge(daemons_out, 0);
        }
        ck_assert_int_eq(daemons_out, 0);
    }
    for (int i = 0; i < PN_FAULT_NUM; i++) {
        ck_assert_msg(planned[i], "no seed plans the fault %s",
                      pn_query_name((pn_fault)i));
    }
}
END_TEST

/* The eviction during a run is found only if both lines became events; the
   last line is truncated as by a crash. */
START_TEST(test_reader_adds_events_and_skips_other_lines)
{
    hk_history *history = hk_create();
    ck_assert(rd_add_line(history, "e1",
                          "{\"event\":\"start\",\"at_us\":5,\"attempt\":"
                          "\"r\",\"model\":\"a@1\",\"incarnation\":\"i\","
                          "\"prompt\":\"p\"}"));
    ck_assert(rd_add_line(history, "e1",
                          "{\"event\":\"evict\",\"at_us\":6,\"model\":"
                          "\"a@1\",\"incarnation\":\"i\"}"));
    ck_assert(!rd_add_line(history, "e1", "{\"event\":\"order\"}"));
    ck_assert(!rd_add_line(history, "e1", "{\"event\":\"sta"));
    ck_assert(!rd_add_file(history, "e1", "/nowhere"));
    hk_report report;
    hk_check(history, &report);
    ck_assert_uint_eq(report.counts[HK_EVICTED_IN_USE], 1);
    hk_clear_report(&report);
    hk_destroy(history);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("schedule");
    tcase_add_test(tcase, test_same_seed_gives_same_plan);
    tcase_add_test(tcase, test_one_daemon_out_at_a_time);
    tcase_add_test(tcase, test_reader_adds_events_and_skips_other_lines);
    Suite *suite = suite_create("schedule");
    suite_add_tcase(suite, tcase);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
