/* Runs each call of docs/ADMIN_API.md, in order, and compares the answers. */
#include "ask.h"
#include <json-glib/json-glib.h>
#include <stdlib.h>

/* Whether the answer holds all that the page shows; "..." is anything. */
static bool
holds(JsonNode *shown, JsonNode *got)
{
    if (JSON_NODE_HOLDS_VALUE(shown) &&
        json_node_get_value_type(shown) == G_TYPE_STRING &&
        strcmp(json_node_get_string(shown), "...") == 0) {
        return JSON_NODE_HOLDS_VALUE(got);
    }
    if (JSON_NODE_HOLDS_OBJECT(shown)) {
        if (!JSON_NODE_HOLDS_OBJECT(got)) {
            return false;
        }
        g_autoptr(GList) names =
            json_object_get_members(json_node_get_object(shown));
        for (GList *name = names; name; name = name->next) {
            JsonNode *own =
                json_object_get_member(json_node_get_object(got), name->data);
            JsonNode *wanted = json_object_get_member(
                json_node_get_object(shown), name->data);
            if (!own || !holds(wanted, own)) {
                return false;
            }
        }
        return true;
    }
    if (JSON_NODE_HOLDS_ARRAY(shown)) {
        JsonArray *wanted = json_node_get_array(shown);
        JsonArray *own =
            JSON_NODE_HOLDS_ARRAY(got) ? json_node_get_array(got) : NULL;
        if (!own ||
            json_array_get_length(own) != json_array_get_length(wanted)) {
            return false;
        }
        for (uint32_t i = 0; i < json_array_get_length(wanted); i++) {
            if (!holds(json_array_get_element(wanted, i),
                       json_array_get_element(own, i))) {
                return false;
            }
        }
        return true;
    }
    return json_node_equal(shown, got);
}

/* Text of the next block "```KIND"; *from moves behind it. */
static char *
next_block(const char **from, const char *kind)
{
    g_autofree char *fence = g_strdup_printf("```%s\n", kind);
    const char *start = strstr(*from, fence);
    if (!start) {
        return NULL;
    }
    start += strlen(fence);
    const char *end = strstr(start, "```");
    ck_assert_ptr_nonnull(end);
    *from = end + 3;
    return g_strndup(start, (gsize)(end - start));
}

static void
run_call(host *at, const char *request, const char **page, GHashTable *seen)
{
    g_auto(GStrv) halves = g_strsplit(request, "\n\n", 2);
    g_auto(GStrv) lines = g_strsplit(halves[0], "\n", -1);
    g_auto(GStrv) first = g_strsplit(lines[0], " ", 2);
    const char *key = lines[1] + strlen("Authorization: Bearer ");
    const char *answers = strstr(*page, "answers `");
    ck_assert_ptr_nonnull(answers);
    uint32_t status =
        (uint32_t)strtoul(answers + strlen("answers `"), NULL, 10);
    bool shows = strncmp(answers + strlen("answers `200`"), ":", 1) == 0;
    reply got = host_ask(at, first[0], first[1], key,
                         halves[1] && *halves[1] ? halves[1] : NULL);
    ck_assert_msg(got.status == status, "%s: %u %s", request, got.status,
                  got.text);
    if (shows) {
        *page = answers;
        g_autofree char *text = next_block(page, "json");
        g_autoptr(JsonNode) wanted = json_from_string(text, NULL);
        g_autoptr(JsonNode) own = json_from_string(got.text, NULL);
        ck_assert_msg(wanted && own, "%s", text);
        ck_assert_msg(holds(wanted, own), "%s: %s", request, got.text);
    }
    g_auto(GStrv) parts = g_strsplit_set(first[1], "/?", -1);
    bool named = parts[4] && !strchr(parts[4], '=');
    const char *verb =
        named && parts[5] && !strchr(parts[5], '=') ? parts[5] : "";
    g_hash_table_add(seen, g_strdup_printf("%s %s%s%s%s", first[0], parts[3],
                                           named ? "/NAME" : "",
                                           *verb ? "/" : "", verb));
    g_free(got.text);
}

START_TEST(test_each_call_of_the_page)
{
    g_autofree char *path = g_build_filename(g_getenv("LACEWING_SRC"), "docs",
                                             "ADMIN_API.md", NULL);
    g_autofree char *text = NULL;
    ck_assert(g_file_get_contents(path, &text, NULL, NULL));
    host *at = host_create(NULL);
    g_autoptr(GHashTable) seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    const char *page = text;
    char *request = NULL;
    while ((request = next_block(&page, "http"))) {
        run_call(at, request, &page, seen);
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
        ck_assert_msg(g_hash_table_contains(seen, calls[i]),
                      "the page does not show %s", calls[i]);
    }
    host_destroy(at, true);
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
