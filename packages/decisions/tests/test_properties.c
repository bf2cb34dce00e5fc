/* Properties that hold for any order of events: no rule of the checker is
   violated, and every request ends. Events are random, from fixed seeds. */
#include "driver.h"
#include <stdlib.h>

#define SEEDS 30
#define STEPS 3000

static void
assert_no_violations(const dr_driver *driver, uint32_t seed)
{
    for (uint32_t kind = 0; kind < CK_KIND_NUM; kind++) {
        ck_assert_msg(driver->checker->counts[kind] == 0, "seed %u: %s %u",
                      seed, ck_names[kind], driver->checker->counts[kind]);
    }
    for (uint64_t tag = 0; tag < driver->requests; tag++) {
        ck_assert_msg(driver->checker->requests[tag].ended,
                      "seed %u: request %u has no end", seed, (uint32_t)tag);
    }
}

/* Lost, repeated and failed replies; servers that change state or owner. */
START_TEST(test_faults)
{
    uint32_t seed = (uint32_t)_i + 1;
    dr_driver *driver = dr_create(seed, true);
    for (uint32_t step = 0; step < STEPS; step++) {
        dr_step(driver, 0.5, 0.05);
    }
    dr_run_without_arrivals(driver);
    assert_no_violations(driver, seed);
    dr_destroy(driver);
}
END_TEST

/* The same with more requests than the servers can answer. */
START_TEST(test_overload)
{
    uint32_t seed = (uint32_t)_i + 1000;
    dr_driver *driver = dr_create(seed, true);
    for (uint32_t step = 0; step < STEPS; step++) {
        dr_step(driver, 0.95, 0.01);
    }
    dr_run_without_arrivals(driver);
    assert_no_violations(driver, seed);
    dr_destroy(driver);
}
END_TEST

/* Without faults, and within the capacity of the servers, no request is
   refused and all are answered. */
START_TEST(test_all_answered_without_faults)
{
    uint32_t seed = (uint32_t)_i + 2000;
    dr_driver *driver = dr_create(seed, false);
    uint32_t refused = 0;
    for (uint32_t step = 0; step < STEPS; step++) {
        dr_step(driver, 0.04, 0);
    }
    dr_run_without_arrivals(driver);
    assert_no_violations(driver, seed);
    for (uint64_t tag = 0; tag < driver->requests; tag++) {
        refused += driver->checker->requests[tag].may_have_run == 0;
    }
    ck_assert_uint_gt(driver->requests, 50);
    ck_assert_uint_eq(refused, 0);
    dr_destroy(driver);
}
END_TEST

/* The same calls give the same actions, even if another policy runs in the
   same process: policies share no state. */
START_TEST(test_deterministic)
{
    uint64_t digests[2];
    for (uint32_t run = 0; run < 2; run++) {
        dr_driver *driver = dr_create(77, true);
        dr_driver *other = dr_create(78, true);
        for (uint32_t step = 0; step < STEPS; step++) {
            dr_step(driver, 0.5, 0.05);
            if (run == 1) {
                dr_step(other, 0.5, 0.05);
            }
        }
        digests[run] = driver->digest;
        dr_destroy(driver);
        dr_destroy(other);
    }
    ck_assert_uint_eq(digests[0], digests[1]);
}
END_TEST

/* Checks the checker: it is told another adapter than the policy was asked
   for, and must count attempts on the wrong adapter. */
START_TEST(test_checker_finds_wrong_adapter)
{
    dr_driver *driver = dr_create(5, false);
    for (uint32_t step = 0; step < 300; step++) {
        dr_step(driver, 0.3, 0);
        uint64_t last = driver->requests ? driver->requests - 1 : 0;
        driver->checker->requests[last].adapter = 1;
    }
    dr_run_without_arrivals(driver);
    ck_assert_uint_gt(driver->checker->counts[CK_WRONG_ADAPTER], 0);
    dr_destroy(driver);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("properties");
    TCase *tests = tcase_create("properties");
    tcase_set_timeout(tests, 60);
    tcase_add_loop_test(tests, test_faults, 0, SEEDS);
    tcase_add_loop_test(tests, test_overload, 0, SEEDS);
    tcase_add_loop_test(tests, test_all_answered_without_faults, 0, 20);
    tcase_add_test(tests, test_deterministic);
    tcase_add_test(tests, test_checker_finds_wrong_adapter);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
