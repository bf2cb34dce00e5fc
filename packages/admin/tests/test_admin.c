/* Tests of the administration API: permissions, conflicts, audit trail. */
#include "http_client.h"
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

/* Sends a request and checks the status and, unless contains is NULL, that the
   response contains this text. */
static void
expect(host *api, const char *method, const char *path, const char *key,
       const char *body, uint32_t status, const char *contains)
{
    http_response response = host_request(api, method, path, key, body);
    ck_assert_msg(response.status == status, "%s %s: %u %s", method, path,
                  response.status, response.text);
    ck_assert_msg(!contains || strstr(response.text, contains), "%s %s: %s",
                  method, path, response.text);
    g_free(response.text);
}

/* Checks that a GET succeeds and its response does not contain the text. */
static void
expect_without(host *api, const char *path, const char *key, const char *text)
{
    http_response response = host_request(api, "GET", path, key, NULL);
    ck_assert_uint_eq(response.status, 200);
    ck_assert_msg(!strstr(response.text, text), "%s: %s", path, response.text);
    g_free(response.text);
}

#define POST "POST"
#define GET "GET"
#define V1 "/admin/v1"

START_TEST(test_permissions_and_bad_requests)
{
    static const struct {
        const char *method;
        const char *path;
        const char *key;
        const char *body;
        uint32_t status;
    } cases[] = {
        {GET, V1 "/config", NULL, NULL, 401},
        {GET, V1 "/config", "no-key", NULL, 401},
        {GET, V1 "/config", "editor-key", NULL, 403},
        {GET, V1 "/status", "editor-key", NULL, 403},
        {POST, V1 "/check", "editor-key", "{\"edits\":[]}", 403},
        {GET, V1 "/servers/engine-1", "editor-key", NULL, 404},
        {GET, V1 "/teams/others", "editor-key", NULL, 404},
        {GET, V1 "/teams/volunteers", "caller-key", NULL, 200},
        {GET, V1 "/adapters/other", "caller-key", NULL, 404},
        {GET, V1 "/explain/r-1", "other-key", NULL, 404},
        {POST, V1 "/adapters/binder", "caller-key", "{\"versions\":\"1;2\"}",
         403},
        {POST, V1 "/adapters/other", "editor-key", "{\"versions\":\"1;2\"}",
         403},
        {POST, V1 "/adapters/binder", "editor-key", "{\"team\":\"others\"}",
         403},
        {POST, V1 "/adapters/other", "editor-key", "{\"team\":\"volunteers\"}",
         403},
        {POST, V1 "/adapters/new", "editor-key",
         "{\"model\":\"base\",\"team\":\"others\",\"versions\":\"1\"}", 403},
        {POST, V1 "/adapters/other/roll", "editor-key",
         "{\"version\":\"2\",\"share_pct\":1}", 404},
        {"DELETE", V1 "/adapters/other", "editor-key", NULL, 403},
        {POST, V1 "/teams/volunteers", "editor-key", "{\"weight\":9}", 403},
        {POST, V1 "/teams/others/keys", "editor-key", "{\"remove\":\"x\"}",
         404},
        {POST, V1 "/limits", "editor-key", "{\"load_ms\":9}", 403},
        {POST, V1 "/config", "editor-key",
         "{\"edits\":[{\"group\":\"adapter binder\",\"key\":\"versions\","
         "\"value\":\"1;2\"},{\"group\":\"adapter other\"}]}",
         403},
        {POST, V1 "/nothing", "op-key", NULL, 404},
        {"PUT", V1 "/limits", "op-key", "{\"load_ms\":9}", 404},
        {POST, V1 "/limits", "op-key", "[]", 400},
        {POST, V1 "/limits", "op-key", "{\"load_ms\":", 400},
        {POST, V1 "/limits", "op-key", "{\"load_ms\":{}}", 400},
        {POST, V1 "/limits", "op-key", "{\"lode_ms\":9}", 400},
        {POST, V1 "/limits", "op-key", "{\"load_ms\":9,\"id\":\"a b\"}", 400},
        {POST, V1 "/limits", "op-key", "{\"load_ms\":9,\"expect\":2}", 503},
        {POST, V1 "/limits", "op-key", "{\"load_ms\":9,\"expect\":-1}", 400},
    };
    host *api = host_create(NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        expect(api, cases[i].method, cases[i].path, cases[i].key,
               cases[i].body, cases[i].status, NULL);
        ck_assert_uint_eq(api->version, 1);
    }
    host_destroy(api, true);
}
END_TEST

/* A key can be replaced so that at each moment a valid key exists: the new key
   is added before the old one is removed. */
START_TEST(test_keys_rotate_without_gap)
{
    host *api = host_create(NULL);
    g_autofree char *fresh = host_hash("fresh-key");
    g_autofree char *old = host_hash("editor-key");
    g_autofree char *add = g_strdup_printf("{\"add\":\"editor:%s\"}", fresh);
    g_autofree char *remove = g_strdup_printf("{\"remove\":\"%s\"}", old);
    const char *keys = V1 "/teams/volunteers/keys";
    expect(api, POST, keys, "editor-key", add, 200, NULL);
    expect(api, GET, V1 "/adapters/binder", "editor-key", NULL, 200, NULL);
    expect(api, GET, V1 "/adapters/binder", "fresh-key", NULL, 200, NULL);
    expect(api, POST, keys, "fresh-key", remove, 200, NULL);
    expect(api, GET, V1 "/adapters/binder", "editor-key", NULL, 401, NULL);
    expect(api, GET, V1 "/adapters/binder", "fresh-key", NULL, 200, NULL);
    expect(api, GET, V1 "/adapters/binder", "caller-key", NULL, 200, NULL);
    host_destroy(api, true);
}
END_TEST

START_TEST(test_shares)
{
    static const struct {
        const char *body;
        const char *versions;
        const char *shares;
    } steps[] = {
        {"{\"version\":\"2\",\"share_pct\":25}", "1; 2", "75; 25"},
        {"{\"version\":\"3\",\"share_pct\":1}", "1; 2; 3", "75; 24; 1"},
        {"{\"version\":\"1\",\"share_pct\":0}", "1; 2; 3", "0; 96; 4"},
        {"{\"version\":\"2\",\"share_pct\":100}", "1; 2; 3", "0; 100; 0"},
        {"{\"version\":\"2\",\"share_pct\":50}", "1; 2; 3", "50; 50; 0"},
    };
    host *api = host_create(NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        expect(api, POST, V1 "/adapters/binder/roll", "editor-key",
               steps[i].body, 200, NULL);
        ck_assert_str_eq(
            dc_query_value(api->config, "adapter binder", "versions"),
            steps[i].versions);
        ck_assert_str_eq(
            dc_query_value(api->config, "adapter binder", "shares"),
            steps[i].shares);
    }
    expect(api, POST, V1 "/adapters/binder/roll", "editor-key",
           "{\"version\":\"2\",\"share_pct\":101}", 400, "share_pct");
    host_destroy(api, true);
}
END_TEST

/* Two operators change the same version through two daemons. One change is
   committed; the other is refused with who changed what, and both are in the
   audit trail. */
START_TEST(test_conflicting_changes)
{
    host *first = host_create(NULL);
    host *second = host_create(first->table);
    const char *body = "{\"load_ms\":300,\"id\":\"one\"}";
    expect(first, POST, V1 "/limits", "op-key", body, 200, NULL);
    expect(second, POST, V1 "/limits", "op-key",
           "{\"load_ms\":400,\"id\":\"two\"}", 409,
           "\"from\":null,\"to\":\"300\"");
    ck_assert_uint_eq(second->version, 1);
    expect(first, GET, V1 "/changes/two?expect=1", "op-key", NULL, 200,
           "not_committed");
    expect(first, GET, V1 "/changes/one?expect=1", "op-key", NULL, 200,
           "\"committed\"");
    expect(first, GET, V1 "/changes/three?expect=2", "op-key", NULL, 200,
           "open");
    expect(first, GET, V1 "/audit?refused=true", "op-key", NULL, 200,
           "\"id\":\"two\"");
    expect(first, GET, V1 "/audit?after=0", "op-key", NULL, 200,
           "\"id\":\"one\"");
    /* Sending the same change again gives the same outcome on each daemon. */
    expect(first, POST, V1 "/limits?expect=1", "op-key", body, 200,
           "\"version\":2");
    expect(second, POST, V1 "/limits?expect=1", "op-key", body, 200,
           "\"version\":2");
    ck_assert_uint_eq(first->version, 2);
    host_destroy(second, false);
    host_destroy(first, true);
}
END_TEST

/* A change that cannot be written to the audit trail is not accepted. */
START_TEST(test_table_down)
{
    host *api = host_create(NULL);
    pf_memory_table_set_faults(api->table,
                               &(pf_memory_table_faults){.down = true});
    expect(api, POST, V1 "/limits", "op-key", "{\"load_ms\":300}", 503,
           "not committed");
    expect(api, POST, V1 "/limits", "op-key", "{\"load_ms\":0}", 400,
           "\"audited\":false");
    expect(api, GET, V1 "/audit", "op-key", NULL, 503, NULL);
    ck_assert_uint_eq(api->version, 1);
    /* Calls that do not use the table still work. */
    expect(api, GET, V1 "/servers", "op-key", NULL, 200, NULL);
    pf_memory_table_set_faults(api->table, &(pf_memory_table_faults){0});
    expect(api, GET, V1 "/audit?after=0", "op-key", NULL, 200, "\"items\":[]");
    expect(api, POST, V1 "/limits", "op-key", "{\"load_ms\":300}", 200, NULL);
    host_destroy(api, true);
}
END_TEST

/* The table's answer is lost after the commit took effect. The author finds
   the outcome by the id of the change. */
START_TEST(test_lost_answer)
{
    host *api = host_create(NULL);
    pf_memory_table_set_faults(
        api->table, &(pf_memory_table_faults){.lose_answers = true});
    expect(api, POST, V1 "/limits", "op-key",
           "{\"load_ms\":300,\"id\":\"lost\"}", 502, "changes/lost");
    pf_memory_table_set_faults(api->table, &(pf_memory_table_faults){0});
    expect(api, GET, V1 "/changes/lost?expect=1", "op-key", NULL, 200,
           "\"committed\"");
    expect(api, POST, V1 "/limits", "op-key",
           "{\"load_ms\":300,\"id\":\"lost\",\"expect\":1}", 200,
           "\"version\":2");
    host_destroy(api, true);
}
END_TEST

/* The audit trail, a team's own refused changes and conflict answers reveal no
   values of another team's groups. */
START_TEST(test_team_sees_only_its_own)
{
    host *api = host_create(NULL);
    expect(api, POST, V1 "/adapters/other", "other-key",
           "{\"versions\":\"1;secret\"}", 200, NULL);
    expect(api, POST, V1 "/adapters/other", "editor-key",
           "{\"versions\":\"9\"}", 403, NULL);
    expect(api, POST, V1 "/adapters/binder", "editor-key",
           "{\"versions\":\"1;2\",\"expect\":1}", 409, "others:editor:");
    expect(api, POST, V1 "/adapters/binder", "editor-key",
           "{\"versions\":\"1;2\"}", 200, NULL);
    expect(api, POST, V1 "/adapters/binder", "op-key", "{\"pinned\":1}", 200,
           NULL);
    expect_without(api, V1 "/audit?after=0", "editor-key", "secret");
    expect_without(api, V1 "/audit?refused=true", "editor-key", "secret");
    expect_without(api, V1 "/adapters", "editor-key", "secret");
    expect(api, GET, V1 "/audit?after=0", "editor-key", NULL, 200,
           "operators:operator:");
    expect(api, GET, V1 "/audit?after=0", "other-key", NULL, 200, "secret");
    host_destroy(api, true);
}
END_TEST

START_TEST(test_rollback_of_many_versions)
{
    host *api = host_create(NULL);
    g_autofree char *start = dc_query_text(api->config);
    for (uint32_t i = 0; i < 30; i++) {
        g_autofree char *body = g_strdup_printf(
            "{\"edits\":[{\"group\":\"adapter a%u\",\"key\":\"model\","
            "\"value\":\"base\"},{\"group\":\"adapter a%u\",\"key\":"
            "\"team\",\"value\":\"others\"},{\"group\":\"adapter a%u\","
            "\"key\":\"versions\",\"value\":\"%u\"}]}",
            i / 2, i / 2, i / 2, i);
        expect(api, POST, V1 "/config", "op-key", body, 200, NULL);
    }
    expect(api, "DELETE", V1 "/adapters/a3", "op-key", NULL, 200, NULL);
    ck_assert_uint_eq(api->version, 32);
    /* An editor may not roll back changes of other teams. */
    expect(api, POST, V1 "/rollback", "editor-key", "{\"to\":1}", 403, NULL);
    expect(api, POST, V1 "/rollback", "op-key", "{\"to\":32}", 400, NULL);
    expect(api, POST, V1 "/rollback", "op-key", "{\"to\":1}", 200, NULL);
    g_autofree char *end = dc_query_text(api->config);
    ck_assert_str_eq(start, end);
    expect(api, POST, V1 "/rollback", "op-key", "{\"to\":32}", 200, NULL);
    ck_assert_ptr_nonnull(dc_query_adapter(api->config, "a14"));
    ck_assert_ptr_null(dc_query_adapter(api->config, "a3"));
    ck_assert_uint_eq(api->version, 34);
    host_destroy(api, true);
}
END_TEST

/* The table writes for refused changes are limited in rate. All refused calls
   are still answered. */
START_TEST(test_refusals_are_bounded)
{
    host *api = host_create(NULL);
    gint64 start_us = g_get_monotonic_time();
    const uint32_t count = 200;
    for (uint32_t i = 0; i < count; i++) {
        expect(api, POST, V1 "/limits", "op-key", "{\"load_ms\":0}", 400,
               NULL);
    }
    gint64 seconds = (g_get_monotonic_time() - start_us) / G_USEC_PER_SEC + 2;
    uint64_t written = pf_memory_table_query_commits(api->table);
    ck_assert_uint_gt(written, 0);
    ck_assert_uint_le(written, AD_REFUSED_ROWS_PER_S * (uint64_t)seconds);
    host_destroy(api, true);
}
END_TEST

/* Changes one adapter after another among 13,000 and prints the CPU time of
   one change: client, API, commit and applying the edits together. */
START_TEST(test_changes_among_many_adapters)
{
    host *api = host_create(NULL);
    g_autoptr(dc_edits) edits = dc_edits_create();
    for (uint32_t i = 0; i < 13000; i++) {
        g_autofree char *group = g_strdup_printf("adapter m%05u", i);
        dc_edits_add(edits, group, "model", "base");
        dc_edits_add(edits, group, "team", "others");
        dc_edits_add(edits, group, "versions", "1");
    }
    dc_config *many = NULL;
    ck_assert_int_eq(dc_apply_edits(api->config, edits, &many, NULL), ER_OK);
    dc_unref(api->config);
    api->config = many;
    const uint32_t changes = 40;
    clock_t start = clock();
    for (uint32_t i = 0; i < changes; i++) {
        g_autofree char *path = g_strdup_printf(V1 "/adapters/m%05u/roll", i);
        expect(api, POST, path, "other-key",
               "{\"version\":\"2\",\"share_pct\":10}", 200, NULL);
    }
    printf("adapters=13000 change_cpu_us=%ld\n",
           (long)((clock() - start) / changes));
    ck_assert_uint_eq(api->version, changes + 1);
    host_destroy(api, true);
}
END_TEST

START_TEST(test_body_too_large)
{
    host *api = host_create(NULL);
    g_autofree char *body = g_strnfill(AD_BODY_BYTES_MAX + 1, ' ');
    expect(api, POST, V1 "/limits", "op-key", body, 413, NULL);
    host_destroy(api, true);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("admin");
    TCase *tests = tcase_create("all");
    tcase_set_timeout(tests, 60);
    tcase_add_test(tests, test_permissions_and_bad_requests);
    tcase_add_test(tests, test_keys_rotate_without_gap);
    tcase_add_test(tests, test_shares);
    tcase_add_test(tests, test_conflicting_changes);
    tcase_add_test(tests, test_table_down);
    tcase_add_test(tests, test_lost_answer);
    tcase_add_test(tests, test_team_sees_only_its_own);
    tcase_add_test(tests, test_rollback_of_many_versions);
    tcase_add_test(tests, test_refusals_are_bounded);
    tcase_add_test(tests, test_changes_among_many_adapters);
    tcase_add_test(tests, test_body_too_large);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
