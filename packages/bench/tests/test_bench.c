/* Runs are reproducible for a seed, and no policy violates its guarantees. */
#include "measures.h"
#include "runs.h"
#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define ALL_SCENARIOS ((1u << AR_SCENARIO_NUM) - 1)

static rn_runs *
make_runs(const char *deployment, uint32_t seed, uint32_t scenarios,
          uint32_t threads)
{
    rn_runs *runs = NULL;
    rn_create_all(&(rn_desc){.deployment = ar_query_deployment(deployment),
                             .seed = seed,
                             .scenarios = scenarios},
                  1, threads, &runs);
    return runs;
}

static void
expect_same(const wd_result *one, const wd_result *other)
{
    ck_assert_uint_eq(one->count, other->count);
    ck_assert_int_eq(memcmp(one->outcomes, other->outcomes,
                            one->count * sizeof(wd_outcome)),
                     0);
    ck_assert_uint_eq(one->whole_run.steps, other->whole_run.steps);
    ck_assert_uint_eq(one->whole_run.tokens, other->whole_run.tokens);
    ck_assert_uint_eq(one->loads, other->loads);
}

START_TEST(test_runs_are_reproducible)
{
    uint32_t scenarios = 1u << AR_STEADY;
    rn_runs *one = make_runs("association", 11, scenarios, 1);
    rn_runs *other = make_runs("association", 11, scenarios, 2);
    for (int policy = WD_POLICY_OURS; policy < WD_POLICY_NUM; policy++) {
        expect_same(rn_query(one, AR_STEADY, (wd_policy_kind)policy),
                    rn_query(other, AR_STEADY, (wd_policy_kind)policy));
    }
    rn_destroy(one);
    rn_destroy(other);
}
END_TEST

START_TEST(test_seeds_differ)
{
    uint32_t scenarios = 1u << AR_SHORT_ONLY;
    rn_runs *one = make_runs("association", 11, scenarios, 2);
    rn_runs *other = make_runs("association", 12, scenarios, 2);
    ck_assert_uint_ne(
        rn_query(one, AR_SHORT_ONLY, WD_POLICY_OURS)->whole_run.tokens,
        rn_query(other, AR_SHORT_ONLY, WD_POLICY_OURS)->whole_run.tokens);
    rn_destroy(one);
    rn_destroy(other);
}
END_TEST

/* The baseline does not know the limits of the weight store; it must keep
   every other guarantee. */
START_TEST(test_baseline_keeps_other_guarantees)
{
    rn_runs *runs =
        make_runs("trust", 11, 1u << AR_STEADY | 1u << AR_DOUBLE, 2);
    const wd_result *results[] = {
        rn_query(runs, AR_STEADY, WD_POLICY_BASELINE),
        rn_query(runs, AR_DOUBLE, WD_POLICY_BASELINE)};
    for (size_t i = 0; i < G_N_ELEMENTS(results); i++) {
        for (int kind = 0; kind < VC_KIND_NUM; kind++) {
            if (kind != VC_STORE_RATE && kind != VC_STORE_TRANSIT) {
                ck_assert_uint_eq(results[i]->violations[kind], 0);
            }
        }
    }
    rn_destroy(runs);
}
END_TEST

START_TEST(test_no_violations)
{
    static const char *const deployments[] = {"trust", "association"};
    rn_runs *runs = make_runs(deployments[_i], 7, ALL_SCENARIOS, 2);
    for (uint32_t i = 0; i < ms_query_count(); i++) {
        ms_line line = ms_query_line(i, runs);
        ck_assert_msg(line.violations == 0, "%s: %u violations", line.measure,
                      line.violations);
    }
    rn_destroy(runs);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("bench");
    TCase *tests = tcase_create("runs");
    tcase_set_timeout(tests, 120);
    tcase_add_test(tests, test_runs_are_reproducible);
    tcase_add_test(tests, test_seeds_differ);
    tcase_add_test(tests, test_baseline_keeps_other_guarantees);
    tcase_add_loop_test(tests, test_no_violations, 0, 2);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
