/* Tests of the feasibility checks: each edit of the sample configuration
   causes exactly the finding of its case, and each finding has a case. */
#include "lacewing/feasibility.h"
#include "sample.h"
#include <check.h>
#include <stdlib.h>

static const struct {
    const char *edits;
    dc_finding_code code; /* DC_FINDING_NUM: no finding */
    const char *group;
} cases[] = {
    {"[]", DC_FINDING_NUM, NULL},
    {"[{\"group\":\"adapter quote\",\"key\":\"pinned\",\"value\":\"2\"},"
     "{\"group\":\"server engine-1\",\"key\":\"adapter_slots\","
     "\"value\":\"6\"}]",
     DC_PINNED_OVER_SERVERS, "adapter quote"},
    {"[{\"group\":\"server engine-1\",\"key\":\"adapter_slots\","
     "\"value\":\"2\"}]",
     DC_PINNED_OVER_SLOTS, "limits"},
    {"[{\"group\":\"server engine-1\",\"key\":\"adapter_slots\","
     "\"value\":\"2\"},{\"group\":\"adapter quote\",\"key\":\"shares\","
     "\"value\":\"50;50;0\"}]",
     DC_FINDING_NUM, NULL},
    {"[{\"group\":\"server engine-1\",\"key\":\"adapter_slots\","
     "\"value\":\"1\"},{\"group\":\"adapter quote\",\"key\":\"shares\","
     "\"value\":\"50;50;0\"}]",
     DC_PINNED_OVER_SLOTS, "limits"},
    {"[{\"group\":\"server engine-1\",\"key\":\"adapter_slots\","
     "\"value\":\"0\"},"
     "{\"group\":\"adapter quote\",\"key\":\"pinned\"}]",
     DC_ENGINE_WITHOUT_SLOTS, "server engine-1"},
    {"[{\"group\":\"limits\",\"key\":\"load_ms\",\"value\":\"20000\"},"
     "{\"group\":\"limits\",\"key\":\"loads_at_once\",\"value\":\"80\"}]",
     DC_DEADLINE_BELOW_LOAD, "operation draft"},
    {"[{\"group\":\"operation draft\",\"key\":\"max_tokens\","
     "\"value\":\"801\"}]",
     DC_DEADLINE_BELOW_TOKENS, "operation draft"},
    {"[{\"group\":\"zone b\",\"value\":\"\"}]", DC_ZONE_WITHOUT_SERVER,
     "zone b"},
    {"[{\"group\":\"zone b\",\"value\":\"\"},{\"group\":\"server order-2\","
     "\"key\":\"zone\",\"value\":\"b\"}]",
     DC_ZONE_WITHOUT_ENGINE, "zone b"},
    {"[{\"group\":\"server order-1\",\"key\":\"state\",\"value\":\"drain\"},"
     "{\"group\":\"server order-2\",\"key\":\"state\",\"value\":\"drain\"}]",
     DC_OPERATION_WITHOUT_SERVER, "operation book"},
    {"[{\"group\":\"operation book\",\"key\":\"servers\","
     "\"value\":\"order-1\"}]",
     DC_OPERATION_ON_ONE_SERVER, "operation book"},
    {"[{\"group\":\"limits\",\"key\":\"entry_instances\",\"value\":\"17\"}]",
     DC_TRANSIT_BELOW_INSTANCES, "limits"},
    {"[{\"group\":\"limits\",\"key\":\"loads_per_s\",\"value\":\"9\"}]",
     DC_LOADS_OVER_RATE, "limits"},
    {"[{\"group\":\"limits\",\"key\":\"stop_ms\",\"value\":\"30000\"},"
     "{\"group\":\"operation book\",\"key\":\"deadline_ms\","
     "\"value\":\"30001\"}]",
     DC_STOP_BELOW_DEADLINE, "operation book"},
    {"[{\"group\":\"team u\",\"value\":\"\"}]", DC_TEAM_WITHOUT_KEY, "team u"},
    {"[{\"group\":\"team t\",\"key\":\"keys\",\"value\":\"caller:" HASH_A
     "\"}]",
     DC_NO_OPERATOR, "team"},
};

START_TEST(test_one_finding_per_case)
{
    bool seen[DC_FINDING_NUM + 1] = {false};
    g_autoptr(dc_config) config = NULL;
    ck_assert_int_eq(dc_parse(SAMPLE, "sample.ini", &config, NULL), ER_OK);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_autoptr(dc_edits) edits = NULL;
        g_autoptr(dc_config) next = NULL;
        er_status status = {0};
        ck_assert_int_eq(dc_edits_parse(cases[i].edits, &edits, NULL), ER_OK);
        er_code code = dc_apply_edits(config, edits, &next, &status);
        ck_assert_msg(code == ER_OK, "case %zu: %s", i, status.message);
        g_autoptr(dc_findings) findings = dc_check_feasibility(next);
        seen[cases[i].code] = true;
        uint32_t expected = cases[i].code == DC_FINDING_NUM ? 0 : 1;
        ck_assert_msg(dc_findings_query_count(findings) == expected,
                      "case %zu: %u findings", i,
                      dc_findings_query_count(findings));
        if (!expected) {
            continue;
        }
        const dc_finding *finding = dc_findings_query_at(findings, 0);
        ck_assert_str_eq(dc_query_finding_name(finding->code),
                         dc_query_finding_name(cases[i].code));
        ck_assert_str_eq(finding->group, cases[i].group);
        ck_assert_uint_eq(dc_findings_query_errors(findings),
                          dc_query_finding_is_error(finding->code));
    }
    for (uint32_t i = 0; i < DC_FINDING_NUM; i++) {
        ck_assert_msg(seen[i], "no case for %s",
                      dc_query_finding_name((dc_finding_code)i));
    }
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("feasibility");
    TCase *tests = tcase_create("all");
    tcase_add_test(tests, test_one_finding_per_case);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
