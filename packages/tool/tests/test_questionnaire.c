/* Tests that both example answer files give a valid configuration, that each
   contradiction is reported, and the interactive dialog. */
#include "lacewing/feasibility.h"
#include "lacewing/questionnaire.h"
#include <check.h>
#include <stdlib.h>
#include <string.h>

static GKeyFile *
load_example(const char *name)
{
    g_autofree char *path =
        g_build_filename(g_getenv("LACEWING_SRC"), "examples", name, NULL);
    GKeyFile *answers = g_key_file_new();
    ck_assert_msg(g_key_file_load_from_file(answers, path, 0, NULL), "%s",
                  path);
    return answers;
}

static char *
generate(GKeyFile *answers)
{
    char *text = NULL;
    qn_problem problem = {0};
    er_code code = qn_generate(answers, "answers", &text, &problem);
    ck_assert_msg(code == ER_OK, "%s: %s", problem.question, problem.message);
    return text;
}

static const struct {
    const char *name;
    uint32_t engines;
    uint32_t services;
    uint32_t drafts;
    double loads_per_s;
} examples[] = {
    {"trust.answers.ini", 18, 4, 3, 6},
    {"association.answers.ini", 12, 4, 2, 4},
};

START_TEST(test_examples_generate_and_check_clean)
{
    g_autoptr(GKeyFile) answers = load_example(examples[_i].name);
    g_autofree char *text = generate(answers);
    g_autoptr(dc_config) config = NULL;
    ck_assert_int_eq(dc_parse(text, "generated", &config, NULL), ER_OK);
    ck_assert_uint_eq(dc_query_count(config, DC_ADAPTER), 3000);
    ck_assert_uint_eq(dc_query_count(config, DC_ZONE), 4);
    ck_assert_uint_eq(dc_query_count(config, DC_SERVER),
                      examples[_i].engines + examples[_i].services);
    uint32_t drafts = 0;
    for (uint32_t i = 0; i < dc_query_count(config, DC_OPERATION); i++) {
        const dc_operation *operation = dc_query_operation_at(config, i);
        drafts += operation->kind == DC_OPERATION_DRAFT ? 1 : 0;
    }
    ck_assert_uint_eq(drafts, examples[_i].drafts);
    ck_assert(dc_query_limits(config)->loads_per_s ==
              examples[_i].loads_per_s);
    g_autoptr(dc_findings) findings = dc_check_feasibility(config);
    ck_assert_uint_eq(dc_findings_query_count(findings), 0);
}
END_TEST

/* Each derived value has a comment with its reason on the line above. */
START_TEST(test_reasons)
{
    g_autoptr(GKeyFile) answers = load_example("trust.answers.ini");
    g_autofree char *text = generate(answers);
    static const char *const derived[] = {
        "eject_share_pct=", "hedge_budget_pct=", "stop_ms=", "fence=",
        "deadline_ms=",     "idempotent=",       "pinned=",  "pausable="};
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    uint32_t found = 0;
    for (uint32_t i = 1; lines[i]; i++) {
        for (size_t j = 0; j < G_N_ELEMENTS(derived); j++) {
            if (g_str_has_prefix(lines[i], derived[j])) {
                found++;
                ck_assert_msg(lines[i - 1][0] == '#', "%s", lines[i]);
            }
        }
    }
    ck_assert_uint_gt(found, G_N_ELEMENTS(derived));
}
END_TEST

static const struct {
    const char *group;
    const char *key;
    const char *value; /* NULL: the key is removed */
    qn_problem_code code;
    const char *question;
    const char *message;
} contradictions[] = {
    {"store", "loads_per_s", "fast", QN_ANSWER_REFUSED, "[store] loads_per_s",
     "0.001 to"},
    {"operation quote", "may_repeat", NULL, QN_ANSWER_REFUSED,
     "[operation quote] may_repeat", "no, yes"},
    {"store", "speed", "1", QN_ANSWER_REFUSED, "[answers]", "speed"},
    {"instances", "zones", ";", QN_NOTHING_DESCRIBED, "[instances] zones",
     "one or more"},
    {"instances", "zones", "guj-west-a; guj-west-a", QN_ZONE_TWICE,
     "[instances] zones", "each once"},
    {"instances", "zones", "a b", QN_NAME_UNUSABLE, "[instances] zones",
     "A-Z"},
    {"instances", "count", "3", QN_FEWER_INSTANCES_THAN_ZONES,
     "[instances] count", "4 or more"},
    {"servers order", "zones", "guj-east", QN_ZONE_UNKNOWN,
     "[servers order] zones", "guj-west-a, guj-west-b"},
    {"servers order", "count", "3", QN_FEWER_SERVERS_THAN_ZONES,
     "[servers order] count", "4 or more"},
    {"servers order", "first_address", "orders:80", QN_ADDRESS_UNUSABLE,
     "[servers order] first_address", "10.0.0.1:8000"},
    {"servers order", "first_address", "127.0.0.1:65533", QN_ADDRESS_UNUSABLE,
     "[servers order] first_address", "server 4"},
    {"servers assistant", "adapter_slots", "0", QN_ENGINE_WITHOUT_SLOTS,
     "[servers assistant] adapter_slots", "1 or more"},
    {"servers order", "kind", "engine", QN_CALLS_WITHOUT_SERVICE,
     "[operation stock-lookup] kind", "kind = service"},
    {"operation reply", "may_repeat", "no", QN_DRAFT_NOT_REPEATABLE,
     "[operation reply] may_repeat", "kind = call"},
    {"operation reply", "late_after_ms", "250", QN_DEADLINE_BELOW_LOAD,
     "[operation reply] late_after_ms", "250 ms"},
    {"operation reply", "late_after_ms", "699", QN_DEADLINE_BELOW_FIRST_TOKEN,
     "[operation reply] late_after_ms", "700 ms"},
    {"operation reply", "late_after_ms", "15999", QN_DEADLINE_BELOW_TOKENS,
     "[operation reply] late_after_ms", "longest_tokens = 383"},
    {"operation stock-lookup", "servers", "assistant", QN_SERVERS_UNKNOWN,
     "[operation stock-lookup] servers", "kind = service"},
    {"adapters kites", "team", "kites", QN_TEAM_UNKNOWN,
     "[adapters kites] team", "[team kites]"},
    {"adapters kites", "always_warm", "701", QN_WARM_OVER_COUNT,
     "[adapters kites] always_warm", "up to 700"},
    {"adapters kites", "always_warm", "300", QN_WARM_OVER_SLOTS,
     "[adapters kites] always_warm", "266"},
    {"adapters kites", "prefix", "a@", QN_NAME_UNUSABLE,
     "[adapters kites] prefix", "A-Z"},
};

START_TEST(test_contradictions)
{
    g_autoptr(GKeyFile) answers = load_example("trust.answers.ini");
    if (contradictions[_i].value) {
        g_key_file_set_string(answers, contradictions[_i].group,
                              contradictions[_i].key,
                              contradictions[_i].value);
    }
    else {
        g_key_file_remove_key(answers, contradictions[_i].group,
                              contradictions[_i].key, NULL);
    }
    char *text = NULL;
    qn_problem problem = {0};
    er_code code = qn_generate(answers, "answers", &text, &problem);
    ck_assert_int_eq(code, ER_SETTING_CONFLICT);
    ck_assert_ptr_null(text);
    ck_assert_str_eq(qn_query_problem_name(problem.code),
                     qn_query_problem_name(contradictions[_i].code));
    ck_assert_str_eq(problem.question, contradictions[_i].question);
    ck_assert_msg(strstr(problem.message, contradictions[_i].message), "%s",
                  problem.message);
    qn_problem_clear(&problem);
}
END_TEST

START_TEST(test_zone_without_server)
{
    g_autoptr(GKeyFile) answers = load_example("trust.answers.ini");
    g_auto(GStrv) groups = g_key_file_get_groups(answers, NULL);
    for (char **group = groups; *group; group++) {
        if (g_str_has_prefix(*group, "servers ")) {
            g_key_file_set_string(answers, *group, "zones", "guj-west-a");
        }
    }
    char *text = NULL;
    qn_problem problem = {0};
    ck_assert_int_eq(qn_generate(answers, "answers", &text, &problem),
                     ER_SETTING_CONFLICT);
    ck_assert_int_eq(problem.code, QN_ZONE_WITHOUT_SERVER);
    ck_assert_ptr_nonnull(strstr(problem.message, "guj-west-b"));
    qn_problem_clear(&problem);
}
END_TEST

/* Answers given in the dialog lead to a configuration. An invalid answer is
   refused and the question is asked again. */
START_TEST(test_interview)
{
    static const char lines[] =
        "small\n\n\nslowed\n" /* trade */
        "one\n1\na\n\n"       /* the first count is refused */
        "4\n\n\n\n"           /* store */
        "\n\n"                /* tolerances */
        "e; s\n"              /* servers */
        "engine\n2\n\n10.0.0.1:80\n\n\n\n\n\n\n"
        "service\n2\n\n10.0.1.1:80\n\n\n\n\n\n\n"
        "draft-it\n" /* operations */
        "draft\nyes\n9000\n\n\n"
        "t\n\n\n\n"              /* teams */
        "all\n3\nx-\n\nt\n\n\n"; /* adapters */
    g_autoptr(GKeyFile) answers = g_key_file_new();
    FILE *in = fmemopen((void *)lines, sizeof lines - 1, "r");
    char *said = NULL;
    size_t said_bytes = 0;
    FILE *out = open_memstream(&said, &said_bytes);
    er_status status = {0};
    er_code code = qn_interview(in, out, answers, &status);
    ck_assert_msg(code == ER_OK, "%s", status.message);
    ck_assert_int_eq(fgetc(in), EOF);
    fclose(in);
    fclose(out);
    ck_assert_ptr_nonnull(strstr(said, "1 to 10000 instances"));
    free(said);
    g_autofree char *text = generate(answers);
    g_autoptr(dc_config) config = NULL;
    ck_assert_int_eq(dc_parse(text, "generated", &config, NULL), ER_OK);
    ck_assert_str_eq(dc_query_server(config, "e-2")->address, "10.0.0.2:80");
    ck_assert_uint_eq(dc_query_limits(config)->entry_instances, 1);
    ck_assert_uint_eq(dc_query_limits(config)->hedge_budget_pct, 5);
    ck_assert_ptr_nonnull(dc_query_adapter(config, "x-3"));
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("questionnaire");
    TCase *tests = tcase_create("all");
    tcase_add_loop_test(tests, test_examples_generate_and_check_clean, 0,
                        G_N_ELEMENTS(examples));
    tcase_add_test(tests, test_reasons);
    tcase_add_loop_test(tests, test_contradictions, 0,
                        G_N_ELEMENTS(contradictions));
    tcase_add_test(tests, test_zone_without_server);
    tcase_add_test(tests, test_interview);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
