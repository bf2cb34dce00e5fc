/* Sends each request shown in docs/ADMIN_API.md, in the order of the page, and
   compares status and body of the responses with the page. */
#include "http_client.h"
#include <json-glib/json-glib.h>
#include <stdlib.h>

/* Returns true if the response has all members that the page shows, with equal
   values, and lists of the same length. The string "..." on the page matches
   any scalar value. */
static bool
matches(JsonNode *expected, JsonNode *actual)
{
    if (JSON_NODE_HOLDS_VALUE(expected) &&
        json_node_get_value_type(expected) == G_TYPE_STRING &&
        strcmp(json_node_get_string(expected), "...") == 0) {
        return JSON_NODE_HOLDS_VALUE(actual);
    }
    if (JSON_NODE_HOLDS_OBJECT(expected)) {
        if (!JSON_NODE_HOLDS_OBJECT(actual)) {
            return false;
        }
        g_autoptr(GList) names =
            json_object_get_members(json_node_get_object(expected));
        for (GList *name = names; name; name = name->next) {
            JsonNode *actual_part = json_object_get_member(
                json_node_get_object(actual), name->data);
            JsonNode *expected_part = json_object_get_member(
                json_node_get_object(expected), name->data);
            if (!actual_part || !matches(expected_part, actual_part)) {
                return false;
            }
        }
        return true;
    }
    if (JSON_NODE_HOLDS_ARRAY(expected)) {
        JsonArray *expected_list = json_node_get_array(expected);
        JsonArray *actual_list =
            JSON_NODE_HOLDS_ARRAY(actual) ? json_node_get_array(actual) : NULL;
        if (!actual_list || json_array_get_length(actual_list) !=
                                json_array_get_length(expected_list)) {
            return false;
        }
        for (uint32_t i = 0; i < json_array_get_length(expected_list); i++) {
            if (!matches(json_array_get_element(expected_list, i),
                         json_array_get_element(actual_list, i))) {
                return false;
            }
        }
        return true;
    }
    return json_node_equal(expected, actual);
}

/* Returns the text of the next code block "```KIND", or NULL, and moves
 *cursor to the end of the block. */
static char *
next_block(const char **cursor, const char *kind)
{
    g_autofree char *opening = g_strdup_printf("```%s\n", kind);
    const char *start = strstr(*cursor, opening);
    if (!start) {
        return NULL;
    }
    start += strlen(opening);
    const char *end = strstr(start, "```");
    ck_assert_ptr_nonnull(end);
    *cursor = end + 3;
    return g_strndup(start, (gsize)(end - start));
}

/* Sends the request of one block, checks the response against the status and
   the JSON block that follow on the page, and adds the call to calls_seen as
   METHOD PATH, with NAME for a name. */
static void
run_call(host *api, const char *request, const char **page,
         GHashTable *calls_seen)
{
    g_auto(GStrv) head_and_body = g_strsplit(request, "\n\n", 2);
    g_auto(GStrv) lines = g_strsplit(head_and_body[0], "\n", -1);
    g_auto(GStrv) method_and_url = g_strsplit(lines[0], " ", 2);
    const char *key = lines[1] + strlen("Authorization: Bearer ");
    const char *answers = strstr(*page, "answers `");
    ck_assert_ptr_nonnull(answers);
    uint32_t status =
        (uint32_t)strtoul(answers + strlen("answers `"), NULL, 10);
    bool has_expected_body =
        strncmp(answers + strlen("answers `200`"), ":", 1) == 0;
    http_response response = host_request(
        api, method_and_url[0], method_and_url[1], key,
        head_and_body[1] && *head_and_body[1] ? head_and_body[1] : NULL);
    ck_assert_msg(response.status == status, "%s: %u %s", request,
                  response.status, response.text);
    if (has_expected_body) {
        *page = answers;
        g_autofree char *text = next_block(page, "json");
        g_autoptr(JsonNode) expected = json_from_string(text, NULL);
        g_autoptr(JsonNode) actual = json_from_string(response.text, NULL);
        ck_assert_msg(expected && actual, "%s", text);
        ck_assert_msg(matches(expected, actual), "%s: %s", request,
                      response.text);
    }
    g_auto(GStrv) parts = g_strsplit_set(method_and_url[1], "/?", -1);
    bool named = parts[4] && !strchr(parts[4], '=');
    const char *verb =
        named && parts[5] && !strchr(parts[5], '=') ? parts[5] : "";
    g_hash_table_add(calls_seen,
                     g_strdup_printf("%s %s%s%s%s", method_and_url[0],
                                     parts[3], named ? "/NAME" : "",
                                     *verb ? "/" : "", verb));
    g_free(response.text);
}

START_TEST(test_each_call_of_the_page)
{
    g_autofree char *path = g_build_filename(g_getenv("LACEWING_SRC"), "docs",
                                             "ADMIN_API.md", NULL);
    g_autofree char *text = NULL;
    ck_assert(g_file_get_contents(path, &text, NULL, NULL));
    host *api = host_create(NULL);
    g_autoptr(GHashTable) calls_seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    const char *page = text;
    char *request = NULL;
    while ((request = next_block(&page, "http"))) {
        run_call(api, request, &page, calls_seen);
        g_free(request);
    }
    static const char *const calls[] = {"GET config",
                                        "POST config",
                                        "POST check",
                                        "POST rollback",
                                        "GET changes/NAME",
                                        "GET servers",
                                        "POST servers/NAME",
                                        "POST limits",
                                        "POST teams/NAME",
                                        "POST teams/NAME/keys",
                                        "GET adapters",
                                        "GET adapters/NAME",
                                        "POST adapters/NAME",
                                        "POST adapters/NAME/roll",
                                        "POST adapters/NAME/rollback",
                                        "DELETE adapters/NAME",
                                        "GET audit",
                                        "GET status",
                                        "GET explain/NAME"};
    for (size_t i = 0; i < G_N_ELEMENTS(calls); i++) {
        ck_assert_msg(g_hash_table_contains(calls_seen, calls[i]),
                      "the page does not show %s", calls[i]);
    }
    host_destroy(api, true);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("admin page");
    TCase *tests = tcase_create("all");
    tcase_add_test(tests, test_each_call_of_the_page);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
