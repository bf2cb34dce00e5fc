/* Tests of the table in memory and its injected faults. */
#include "lacewing/store.h"
#include <check.h>
#include <stdlib.h>
#include <string.h>

/* Result of the last callback. */
typedef struct outcome {
    uint32_t calls;
    er_code code;
    size_t count;
    uint64_t version; /* of the first row or write */
    char text[64];    /* "key=value " for each row */
} outcome;

static void
append_rows(outcome *out, const pf_row *rows, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        gsize size = 0;
        const char *data =
            rows[i].value ? g_bytes_get_data(rows[i].value, &size) : "-";
        g_autofree char *part =
            g_strdup_printf("%s=%.*s ", rows[i].key ? rows[i].key : "-",
                            rows[i].value ? (int)size : 1, data);
        g_strlcat(out->text, part, sizeof(out->text));
    }
}

static void
on_commit(const pf_commit_result *result, void *user_data)
{
    outcome *out = user_data;
    out->calls++;
    out->code = result->code;
    out->count = result->count;
    out->text[0] = '\0';
    if (result->code == ER_OK) {
        out->version = result->versions[0];
    }
    if (result->code == ER_CONFLICT) {
        append_rows(out, result->rows, result->count);
    }
}

static void
on_read(const pf_read_result *result, void *user_data)
{
    outcome *out = user_data;
    out->calls++;
    out->code = result->code;
    out->count = result->count;
    out->version = result->count ? result->rows[0].version : 0;
    out->text[0] = '\0';
    append_rows(out, result->rows, result->count);
}

static void
wait_for(outcome *out, uint32_t calls)
{
    while (out->calls < calls) {
        g_main_context_iteration(NULL, TRUE);
    }
}

static outcome
commit(pf_table *table, const char *key, uint64_t expect, const char *text)
{
    outcome out = {0};
    g_autoptr(GBytes) value = text ? g_bytes_new(text, strlen(text)) : NULL;
    pf_table_commit(table,
                    &(pf_op){.key = key, .expect = expect, .value = value}, 1,
                    on_commit, &out);
    ck_assert_uint_eq(out.calls, 0);
    wait_for(&out, 1);
    return out;
}

static outcome
read_row(pf_table *table, const char *key)
{
    outcome out = {0};
    pf_table_read(table, key, on_read, &out);
    wait_for(&out, 1);
    return out;
}

START_TEST(test_conditional_writes)
{
    pf_table *table = pf_memory_table_create();
    outcome first = commit(table, "a", PF_VERSION_ABSENT, "1");
    ck_assert_int_eq(first.code, ER_OK);
    outcome second = commit(table, "a", PF_VERSION_ABSENT, "2");
    ck_assert_int_eq(second.code, ER_CONFLICT);
    ck_assert_str_eq(second.text, "a=1 ");
    ck_assert_int_eq(commit(table, "a", first.version, "3").code, ER_OK);
    outcome stale = commit(table, "a", first.version, NULL);
    ck_assert_int_eq(stale.code, ER_CONFLICT);
    outcome any = commit(table, "a", PF_VERSION_ANY, NULL);
    ck_assert_int_eq(any.code, ER_OK);
    outcome gone = read_row(table, "a");
    ck_assert_uint_eq(gone.version, 0);
    ck_assert_str_eq(gone.text, "a=- ");
    outcome again = commit(table, "a", PF_VERSION_ABSENT, "4");
    ck_assert_uint_gt(again.version, any.version);
    ck_assert_uint_eq(pf_memory_table_query_commits(table), 6);
    ck_assert_uint_eq(pf_memory_table_query_reads(table), 1);
    pf_table_destroy(table);
}
END_TEST

START_TEST(test_all_or_nothing)
{
    pf_table *table = pf_memory_table_create();
    commit(table, "b", PF_VERSION_ABSENT, "1");
    g_autoptr(GBytes) value = g_bytes_new("x", 1);
    pf_op ops[] = {{.key = "a", .value = value}, {.key = "b", .value = value}};
    outcome out = {0};
    pf_table_commit(table, ops, 2, on_commit, &out);
    wait_for(&out, 1);
    ck_assert_int_eq(out.code, ER_CONFLICT);
    ck_assert_str_eq(out.text, "-=- b=1 ");
    ck_assert_uint_eq(read_row(table, "a").version, 0);
    pf_table_destroy(table);
}
END_TEST

START_TEST(test_scan)
{
    static const struct {
        const char *prefix;
        const char *after;
        uint32_t limit;
        const char *found;
    } cases[] = {
        {"p/", NULL, 10, "p/1=v p/2=v p/3=v "},
        {"p/", NULL, 2, "p/1=v p/2=v "},
        {"p/", "p/1", 10, "p/2=v p/3=v "},
        {"p/", "p/3", 10, ""},
        {"p/", "a", 1, "p/1=v "},
        {"x", NULL, 10, ""},
        {"", NULL, 2, "o=v p/1=v "},
    };
    static const char *const names[] = {"p/3", "p/1", "q", "p/2", "o"};
    pf_table *table = pf_memory_table_create();
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        commit(table, names[i], PF_VERSION_ABSENT, "v");
    }
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        outcome out = {0};
        pf_table_scan(table, cases[i].prefix, cases[i].after, cases[i].limit,
                      on_read, &out);
        wait_for(&out, 1);
        ck_assert_str_eq(out.text, cases[i].found);
    }
    pf_table_destroy(table);
}
END_TEST

START_TEST(test_faults)
{
    pf_table *table = pf_memory_table_create();
    pf_memory_table_set_faults(table, &(pf_memory_table_faults){.down = true});
    ck_assert_int_eq(commit(table, "a", 0, "1").code, ER_PLATFORM_DOWN);
    ck_assert_int_eq(read_row(table, "a").code, ER_PLATFORM_DOWN);
    pf_memory_table_set_faults(
        table, &(pf_memory_table_faults){.lose_answers = true});
    ck_assert_int_eq(commit(table, "b", 0, "1").code, ER_TIMEOUT);
    pf_memory_table_set_faults(table,
                               &(pf_memory_table_faults){.delay_ms = 1});
    ck_assert_uint_eq(read_row(table, "a").version, 0);
    ck_assert_str_eq(read_row(table, "b").text, "b=1 ");
    pf_table_destroy(table);
}
END_TEST

START_TEST(test_destroy_ends_open_calls)
{
    pf_table *table = pf_memory_table_create();
    outcome out = {0};
    pf_table_read(table, "a", on_read, &out);
    pf_table_scan(table, "a", NULL, 1, on_read, &out);
    pf_table_destroy(table);
    ck_assert_uint_eq(out.calls, 2);
    ck_assert_int_eq(out.code, ER_CANCELLED);
    ck_assert(!g_main_context_iteration(NULL, FALSE));
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("memory table");
    tcase_add_test(tcase, test_conditional_writes);
    tcase_add_test(tcase, test_all_or_nothing);
    tcase_add_test(tcase, test_scan);
    tcase_add_test(tcase, test_faults);
    tcase_add_test(tcase, test_destroy_ends_open_calls);
    Suite *suite = suite_create("memory table");
    suite_add_tcase(suite, tcase);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
