/* Tests of the plan of faults and of the reader of histories. */
#include "plan.h"
#include "reader.h"
#include <check.h>
#include <stdlib.h>
#include <string.h>

#define LENGTH_MS 30000
#define SEEDS 200

START_TEST(test_same_seed_same_plan)
{
    g_autoptr(GArray) one = pn_create(7, LENGTH_MS);
    g_autoptr(GArray) two = pn_create(7, LENGTH_MS);
    g_autoptr(GArray) other = pn_create(8, LENGTH_MS);
    ck_assert_uint_eq(one->len, two->len);
    ck_assert_mem_eq(one->data, two->data, one->len * sizeof(pn_step));
    ck_assert(one->len != other->len ||
              memcmp(one->data, other->data, one->len * sizeof(pn_step)) != 0);
}
END_TEST

START_TEST(test_one_daemon_out_at_a_time)
{
    uint32_t made[PN_FAULT_NUM] = {0};
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        g_autoptr(GArray) steps = pn_create(seed, LENGTH_MS);
        int out = 0;
        uint32_t last_ms = 0;
        for (guint i = 0; i < steps->len; i++) {
            const pn_step *step = &g_array_index(steps, pn_step, i);
            ck_assert_uint_ge(step->at_ms, last_ms);
            ck_assert_uint_le(step->at_ms, LENGTH_MS);
            last_ms = step->at_ms;
            made[step->fault] += !step->end;
            if (step->fault <= PN_STOP_DAEMON) {
                out += step->end ? -1 : 1;
            }
            ck_assert_int_le(out, 1);
            ck_assert_int_ge(out, 0);
        }
        ck_assert_int_eq(out, 0);
    }
    for (int i = 0; i < PN_FAULT_NUM; i++) {
        ck_assert_msg(made[i], "%s", pn_query_name((pn_fault)i));
    }
}
END_TEST

START_TEST(test_reader)
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
    tcase_add_test(tcase, test_same_seed_same_plan);
    tcase_add_test(tcase, test_one_daemon_out_at_a_time);
    tcase_add_test(tcase, test_reader);
    Suite *suite = suite_create("schedule");
    suite_add_tcase(suite, tcase);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
