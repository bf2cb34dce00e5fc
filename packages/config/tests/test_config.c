/* Tests of parsing, validating and editing a configuration. */
#include "lacewing/config.h"
#include "sample.h"
#include <check.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static dc_config *
parse(const char *text)
{
    dc_config *config = NULL;
    er_status status = {0};
    er_code code = dc_parse(text, "sample.ini", &config, &status);
    ck_assert_msg(code == ER_OK, "%s", status.message);
    return config;
}

START_TEST(test_typed_fields)
{
    g_autoptr(dc_config) config = parse(SAMPLE);
    ck_assert_str_eq(dc_query_deployment(config)->name, "sample");
    ck_assert_uint_eq(dc_query_limits(config)->load_ms, 250);
    ck_assert_uint_eq(dc_query_tolerances(config)->first_token_ms, 700);
    ck_assert(dc_query_zone(config, "a")->latency_ms == 1.5);
    const dc_server *engine = dc_query_server(config, "engine-1");
    ck_assert_uint_eq(engine->kind, DC_SERVER_ENGINE);
    ck_assert_uint_eq(engine->fence, DC_FENCE_CHECK);
    ck_assert_uint_eq(engine->adapter_slots, 4);
    const dc_operation *book = dc_query_operation(config, "book");
    ck_assert_uint_eq(book->kind, DC_OPERATION_CALL);
    ck_assert(!book->idempotent);
    ck_assert_uint_eq(g_strv_length(book->servers), 2);
    ck_assert(dc_query_operation(config, "draft")->idempotent);
    ck_assert_ptr_null(dc_query_server(config, "engine-2"));
    ck_assert_uint_eq(dc_query_count(config, DC_SERVER), 3);
    ck_assert_str_eq(dc_query_server_at(config, 2)->name, "order-2");
}
END_TEST

START_TEST(test_invalid_documents_rejected)
{
    static const struct {
        const char *from; /* replaced in the sample; NULL: appended */
        const char *to;
        er_code code;
        const char *expected_words[3];
    } cases[] = {
        {NULL, "[sever x]\n", ER_SETTING_UNKNOWN, {"[sever x]", "server"}},
        {NULL, "[server a@b]\n", ER_SETTING_RANGE, {"a@b", "A-Z"}},
        {"fence=check",
         "fnece=check",
         ER_SETTING_UNKNOWN,
         {"[server engine-1]", "fnece", "fence"}},
        {"fence=check",
         "fence=maybe",
         ER_SETTING_RANGE,
         {"[server engine-1]", "fence", "ignore, check"}},
        {"adapter_slots=4",
         "adapter_slots=5000",
         ER_SETTING_RANGE,
         {"adapter_slots", "0 to 4096"}},
        {"10.0.0.1:80",
         "engine.example:80",
         ER_SETTING_RANGE,
         {"address", "IP:port"}},
        {"10.0.0.1:80", "10.0.0.1", ER_SETTING_RANGE, {"IP:port"}},
        {"10.0.0.3:80",
         "10.0.0.2:80",
         ER_SETTING_CONFLICT,
         {"[server order-2]", "[server order-1]"}},
        {"zone=a", "zone=b", ER_SETTING_CONFLICT, {"zone = b", "[zone NAME]"}},
        {"model=base",
         "model=bass",
         ER_SETTING_CONFLICT,
         {"[adapter quote]", "model = bass"}},
        {"team=t\n", "team=u\n", ER_SETTING_CONFLICT, {"team = u"}},
        {"servers=order-1",
         "servers=engine-1",
         ER_SETTING_CONFLICT,
         {"[operation book]", "kind = service"}},
        {"max_tokens=400",
         "servers=order-1",
         ER_SETTING_CONFLICT,
         {"[operation draft]", "kind = call"}},
        {"max_tokens=400",
         "idempotent=false",
         ER_SETTING_CONFLICT,
         {"[operation draft]", "idempotent"}},
        {"shares=50; 30; 20",
         "shares=50; 30",
         ER_SETTING_CONFLICT,
         {"shares", "2 given for 3"}},
        {"shares=50; 30; 20",
         "shares=50; 30; 21",
         ER_SETTING_RANGE,
         {"the sum is 101"}},
        {"versions=1; 2; 3",
         "versions=1; 2; 2",
         ER_SETTING_CONFLICT,
         {"versions", "2 is listed twice"}},
        {"versions=1; 2; 3", "versions=", ER_SETTING_MISSING, {"versions"}},
        {"operator:" HASH_B,
         "operator:beef",
         ER_SETTING_TYPE,
         {"keys, entry 2", "64 hex"}},
        {"operator:" HASH_B,
         "owner:" HASH_B,
         ER_SETTING_TYPE,
         {"caller, editor, operator"}},
        {NULL,
         "[team u]\nkeys=editor:" HASH_A "\n",
         ER_SETTING_CONFLICT,
         {"[team u]", "[team t]"}},
        {"[model base]\n",
         "[model base]\nx=1\n",
         ER_SETTING_UNKNOWN,
         {"[model base]", "x"}},
        {"name=sample\n", "", ER_SETTING_MISSING, {"name"}},
        {NULL, "not a line\n", ER_FILE, {"sample.ini"}},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_autofree char *text = NULL;
        if (cases[i].from) {
            g_auto(GStrv) parts = g_strsplit(SAMPLE, cases[i].from, 2);
            ck_assert_uint_eq(g_strv_length(parts), 2);
            text = g_strjoinv(cases[i].to, parts);
        }
        else {
            text = g_strconcat(SAMPLE, cases[i].to, NULL);
        }
        dc_config *config = NULL;
        er_status status = {0};
        er_code code = dc_parse(text, "sample.ini", &config, &status);
        ck_assert_msg(code == cases[i].code, "case %zu: %d %s", i, code,
                      status.message);
        ck_assert_ptr_null(config);
        ck_assert_ptr_nonnull(strstr(status.message, "sample.ini"));
        for (size_t j = 0; j < 3 && cases[i].expected_words[j]; j++) {
            ck_assert_msg(strstr(status.message, cases[i].expected_words[j]),
                          "case %zu: %s", i, status.message);
        }
    }
}
END_TEST

START_TEST(test_keys)
{
    g_autofree char *hash =
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, "s3cret", -1);
    g_autofree char *text =
        g_strdup_printf(SAMPLE "[team u]\nkeys=editor:%s\n", hash);
    g_autoptr(dc_config) config = parse(text);
    const dc_key *key = dc_query_key_by_secret(config, "s3cret");
    ck_assert_str_eq(key->team, "u");
    ck_assert_int_eq(key->role, DC_ROLE_EDITOR);
    ck_assert_ptr_null(dc_query_key_by_secret(config, "s3cre"));
    ck_assert_int_eq(dc_query_key(config, HASH_B)->role, DC_ROLE_OPERATOR);
}
END_TEST

START_TEST(test_resolve)
{
    g_autoptr(dc_config) config = parse(SAMPLE);
    const dc_adapter *adapter = NULL;
    const char *version = NULL;
    uint32_t seen[3] = {0};
    for (uint32_t point = 0; point < DC_SHARE_TOTAL_PCT; point++) {
        ck_assert_int_eq(
            dc_query_resolve(config, "quote", point, &adapter, &version, NULL),
            ER_OK);
        seen[version[0] - '1']++;
        ck_assert_int_eq(dc_query_resolve(config, "quote@2", point, &adapter,
                                          &version, NULL),
                         ER_OK);
        ck_assert_str_eq(version, "2");
    }
    ck_assert_uint_eq(seen[0], 50);
    ck_assert_uint_eq(seen[1], 30);
    ck_assert_uint_eq(seen[2], 20);
    static const char *const unknown[] = {"quote@4", "quot",   "@1",
                                          "base",    "quote@", ""};
    for (size_t i = 0; i < G_N_ELEMENTS(unknown); i++) {
        ck_assert_int_eq(
            dc_query_resolve(config, unknown[i], 0, &adapter, &version, NULL),
            ER_UNKNOWN_MODEL);
    }
}
END_TEST

static er_code
apply(const dc_config *config, const char *json, dc_config **result,
      er_status *status)
{
    g_autoptr(dc_edits) edits = NULL;
    er_code code = dc_edits_parse(json, &edits, status);
    if (code != ER_OK) {
        return code;
    }
    return dc_apply_edits(config, edits, result, status);
}

START_TEST(test_edits_applied)
{
    g_autoptr(dc_config) config = parse(SAMPLE);
    g_autofree char *before = dc_query_text(config);
    g_autoptr(dc_config) next = NULL;
    er_status status = {0};
    er_code code =
        apply(config,
              "[{\"group\":\"server engine-1\",\"key\":\"state\","
              "\"value\":\"drain\"},"
              "{\"group\":\"server engine-1\",\"key\":\"tokens_per_s\"},"
              "{\"group\":\"model other\",\"value\":\"\"},"
              "{\"group\":\"operation book\",\"key\":null,\"value\":null},"
              "{\"group\":\"limits\",\"key\":\"load_ms\",\"value\":\"9\"}]",
              &next, &status);
    ck_assert_msg(code == ER_OK, "%s", status.message);
    const dc_server *engine = dc_query_server(next, "engine-1");
    ck_assert_uint_eq(engine->state, DC_SERVER_DRAIN);
    ck_assert_uint_eq(engine->tokens_per_s, 0);
    ck_assert_uint_eq(engine->adapter_slots, 4);
    ck_assert_ptr_nonnull(dc_query_model(next, "other"));
    ck_assert_ptr_null(dc_query_operation(next, "book"));
    ck_assert_uint_eq(dc_query_limits(next)->load_ms, 9);
    /* Groups without edits are shared with the old configuration. */
    ck_assert_ptr_eq(dc_query_adapter(next, "quote"),
                     dc_query_adapter(config, "quote"));
    g_autofree char *after = dc_query_text(config);
    ck_assert_str_eq(before, after);
}
END_TEST

START_TEST(test_invalid_edits_rejected)
{
    static const struct {
        const char *json;
        er_code code;
    } cases[] = {
        {"{}", ER_BAD_REQUEST},
        {"[1]", ER_BAD_REQUEST},
        {"[{\"key\":\"a\",\"value\":\"b\"}]", ER_BAD_REQUEST},
        {"[{\"group\":\"limits\",\"value\":\"b\"}]", ER_BAD_REQUEST},
        {"[{\"group\":\"limits\",\"key\":\"load_ms\",\"value\":9}]",
         ER_BAD_REQUEST},
        {"[{\"group\":\"limits\",\"kye\":\"load_ms\"}]", ER_BAD_REQUEST},
        {"[{\"group\":\"zone a\"}]", ER_SETTING_CONFLICT},
        {"[{\"group\":\"zone b\"}]", ER_NOT_FOUND},
        {"[{\"group\":\"deployment\"}]", ER_SETTING_MISSING},
        {"[{\"group\":\"limits\",\"key\":\"load_ms\",\"value\":\"x\"}]",
         ER_SETTING_TYPE},
        {"[{\"group\":\"server new\",\"key\":\"zone\",\"value\":\"a\"}]",
         ER_SETTING_MISSING},
    };
    g_autoptr(dc_config) config = parse(SAMPLE);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_autoptr(dc_config) next = NULL;
        er_status status = {0};
        er_code code = apply(config, cases[i].json, &next, &status);
        ck_assert_msg(code == cases[i].code, "case %zu: %d %s", i, code,
                      status.message);
        ck_assert_ptr_null(next);
        ck_assert_int_ne(status.message[0], '\0');
    }
}
END_TEST

/* The first version of a configuration consists of edits to an empty
   document. */
START_TEST(test_edits_from_nothing)
{
    g_autoptr(dc_config) config = parse(SAMPLE);
    g_autoptr(dc_edits) edits = dc_diff(NULL, config);
    g_autoptr(dc_config) created = NULL;
    er_status status = {0};
    er_code code = dc_apply_edits(NULL, edits, &created, &status);
    ck_assert_msg(code == ER_OK, "%s", status.message);
    g_autofree char *expected = dc_query_text(config);
    g_autofree char *actual = dc_query_text(created);
    ck_assert_str_eq(expected, actual);
    g_autoptr(dc_edits) none = dc_edits_create();
    g_autoptr(dc_config) nothing = NULL;
    ck_assert_int_eq(dc_apply_edits(NULL, none, &nothing, NULL),
                     ER_SETTING_MISSING);
}
END_TEST

/* Adds a random edit; many are invalid and are rejected when applied. */
static void
add_random_edit(GRand *rand, dc_edits *edits)
{
    static const char *const groups[] = {
        "zone a",       "zone b",         "model base",      "model other",
        "team t",       "team u",         "adapter quote",   "adapter care",
        "limits",       "tolerances",     "server engine-1", "server order-2",
        "server spare", "operation draft"};
    static const char *const pairs[][2] = {{"latency_ms", "2"},
                                           {"weight", "7"},
                                           {"pinned", "2"},
                                           {"model", "base"},
                                           {"team", "t"},
                                           {"versions", "1;2"},
                                           {"shares", "40;60"},
                                           {"load_ms", "300"},
                                           {"zone", "a"},
                                           {"zone", "b"},
                                           {"address", "1.1.1.1:5"},
                                           {"state", "drain"},
                                           {"deadline_ms", "8000"},
                                           {"first_token_ms", "900"}};
    const char *group =
        groups[g_rand_int_range(rand, 0, G_N_ELEMENTS(groups))];
    const char *const *pair =
        pairs[g_rand_int_range(rand, 0, G_N_ELEMENTS(pairs))];
    switch (g_rand_int_range(rand, 0, 8)) {
    case 0:
        dc_edits_add(edits, group, NULL, NULL);
        break;
    case 1:
        dc_edits_add(edits, group, NULL, "");
        break;
    case 2:
        dc_edits_add(edits, group, pair[0], NULL);
        break;
    default:
        dc_edits_add(edits, group, pair[0], pair[1]);
    }
}

/* Each accepted configuration survives writing and parsing, and the difference
   of two versions, applied to the first, gives the second. */
START_TEST(test_random_changes_round_trip)
{
    g_autoptr(GRand) rand = g_rand_new_with_seed(1);
    g_autoptr(dc_config) config = parse(SAMPLE);
    uint32_t accepted = 0;
    for (uint32_t round = 0; round < 20000; round++) {
        g_autoptr(dc_edits) edits = dc_edits_create();
        uint32_t count = (uint32_t)g_rand_int_range(rand, 1, 5);
        for (uint32_t i = 0; i < count; i++) {
            add_random_edit(rand, edits);
        }
        g_autoptr(dc_config) next = NULL;
        if (dc_apply_edits(config, edits, &next, NULL) != ER_OK) {
            continue;
        }
        accepted++;
        g_autofree char *text = dc_query_text(next);
        g_autoptr(dc_config) reparsed = parse(text);
        g_autofree char *reparsed_text = dc_query_text(reparsed);
        ck_assert_str_eq(text, reparsed_text);
        g_autoptr(dc_edits) diff = dc_diff(config, reparsed);
        g_autofree char *json = dc_edits_query_text(diff);
        g_autoptr(dc_config) by_diff = NULL;
        ck_assert_int_eq(apply(config, json, &by_diff, NULL), ER_OK);
        g_autofree char *text_by_diff = dc_query_text(by_diff);
        ck_assert_str_eq(text, text_by_diff);
        dc_unref(config);
        config = dc_ref(next);
    }
    ck_assert_uint_gt(accepted, 1000);
}
END_TEST

/* Prints the time and memory that 13000 adapters take, and checks that one
   edit gives a difference of one edit. */
START_TEST(test_many_adapters)
{
    const uint32_t count = 13000;
    GString *text = g_string_new(SAMPLE);
    for (uint32_t i = 0; i < count; i++) {
        g_string_append_printf(
            text, "[adapter a%05u]\nmodel=base\nteam=t\nversions=1\n", i);
    }
    size_t before = mallinfo2().uordblks;
    gint64 start_us = g_get_monotonic_time();
    g_autoptr(dc_config) config = parse(text->str);
    gint64 parsed_us = g_get_monotonic_time();
    size_t allocated_bytes = mallinfo2().uordblks - before;
    g_autoptr(dc_config) next = NULL;
    er_code code = apply(config,
                         "[{\"group\":\"adapter a00007\","
                         "\"key\":\"versions\",\"value\":\"1;2\"}]",
                         &next, NULL);
    gint64 applied_us = g_get_monotonic_time();
    ck_assert_int_eq(code, ER_OK);
    printf("adapters=%u parse_us=%" G_GINT64_FORMAT
           " apply_us=%" G_GINT64_FORMAT " held_bytes=%zu\n",
           count, parsed_us - start_us, applied_us - parsed_us,
           allocated_bytes);
    ck_assert_uint_eq(dc_query_count(next, DC_ADAPTER), count + 1);
    ck_assert_uint_eq(dc_query_adapter(next, "a00007")->version_count, 2);
    g_autoptr(dc_edits) diff = dc_diff(config, next);
    ck_assert_uint_eq(dc_edits_query_count(diff), 1);
    g_string_free(text, TRUE);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("config");
    TCase *tests = tcase_create("all");
    tcase_set_timeout(tests, 60);
    tcase_add_test(tests, test_typed_fields);
    tcase_add_test(tests, test_invalid_documents_rejected);
    tcase_add_test(tests, test_keys);
    tcase_add_test(tests, test_resolve);
    tcase_add_test(tests, test_edits_applied);
    tcase_add_test(tests, test_invalid_edits_rejected);
    tcase_add_test(tests, test_edits_from_nothing);
    tcase_add_test(tests, test_random_changes_round_trip);
    tcase_add_test(tests, test_many_adapters);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
