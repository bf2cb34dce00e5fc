/* Tests that tl_init() writes a whole configuration, can be run again, and
   leaves another configuration alone. */
#include "init.h"
#include "lacewing/admin.h"
#include <check.h>
#include <stdlib.h>
#include <string.h>

static dc_config *
make_config(uint32_t adapters)
{
    GString *text = g_string_new("[deployment]\nname=x\n[model base]\n"
                                 "[team t]\n[zone a]\n");
    for (uint32_t i = 0; i < adapters; i++) {
        g_string_append_printf(
            text, "[adapter a%05u]\nmodel=base\nteam=t\nversions=1\n", i);
    }
    dc_config *config = NULL;
    ck_assert_int_eq(dc_parse(text->str, "x", &config, NULL), ER_OK);
    g_string_free(text, TRUE);
    return config;
}

/* timeout_ms 0 selects the default. */
static er_code
init(pf_table *table, const dc_config *config, uint32_t timeout_ms,
     uint64_t *version, er_status *status)
{
    const tl_init_desc desc = {.table = table,
                               .config = config,
                               .who = "init:ana",
                               .timeout_ms = timeout_ms};
    return tl_init(&desc, version, status);
}

/* The configuration that the rows of changes add up to. */
typedef struct replayed {
    dc_config *config;
    uint32_t versions;
    uint32_t records;
    bool done;
} replayed;

static void
on_changes(const pf_read_result *result, void *data)
{
    replayed *got = data;
    for (size_t i = 0; i < result->count; i++) {
        gsize size = 0;
        const char *bytes = g_bytes_get_data(result->rows[i].value, &size);
        g_autofree char *value = g_strndup(bytes, size);
        g_auto(GStrv) lines = g_strsplit(value, "\n", 3);
        ck_assert_str_eq(lines[1], "init:ana");
        g_autoptr(dc_edits) edits = NULL;
        dc_config *next = NULL;
        ck_assert_int_eq(dc_edits_parse(lines[2], &edits, NULL), ER_OK);
        ck_assert_int_eq(dc_apply_edits(got->config, edits, &next, NULL),
                         ER_OK);
        g_clear_pointer(&got->config, dc_unref);
        got->config = next;
        got->versions++;
    }
    got->done = true;
}

static void
on_records(const pf_read_result *result, void *data)
{
    replayed *got = data;
    got->records = (uint32_t)result->count;
    got->done = true;
}

/* Applies the rows of changes as a daemon does, and counts audit records. */
static replayed
replay(pf_table *table)
{
    replayed got = {0};
    pf_table_scan(table, "config/change/", NULL, 1000, on_changes, &got);
    while (!got.done) {
        g_main_context_iteration(NULL, TRUE);
    }
    got.done = false;
    pf_table_scan(table, AD_CHANGE_PREFIX, NULL, 1000, on_records, &got);
    while (!got.done) {
        g_main_context_iteration(NULL, TRUE);
    }
    return got;
}

static void
expect_replayed(pf_table *table, const dc_config *config, uint64_t version)
{
    replayed got = replay(table);
    ck_assert_uint_eq(got.versions, version);
    ck_assert_uint_eq(got.records, version);
    g_autofree char *wanted = dc_query_text(config);
    g_autofree char *text = dc_query_text(got.config);
    ck_assert_str_eq(wanted, text);
    dc_unref(got.config);
}

START_TEST(test_whole_and_again)
{
    g_autoptr(dc_config) config = make_config(6000);
    g_autoptr(dc_config) other = make_config(1);
    pf_table *table = pf_memory_table_create();
    uint64_t version = 0;
    er_status status = {0};
    ck_assert_msg(init(table, config, 0, &version, &status) == ER_OK, "%s",
                  status.message);
    ck_assert_uint_gt(version, 2);
    expect_replayed(table, config, version);
    uint64_t again = 0;
    ck_assert_int_eq(init(table, config, 0, &again, &status), ER_OK);
    ck_assert_uint_eq(again, version);
    ck_assert_int_eq(init(table, other, 0, &again, &status), ER_CONFLICT);
    ck_assert_ptr_nonnull(strstr(status.message, "init:ana"));
    expect_replayed(table, config, version);
    pf_table_destroy(table);
}
END_TEST

/* Each commit takes effect but reports ER_TIMEOUT; tl_init() succeeds. */
START_TEST(test_lost_answers)
{
    g_autoptr(dc_config) config = make_config(3000);
    pf_table *table = pf_memory_table_create();
    pf_memory_table_set_faults(
        table, &(pf_memory_table_faults){.lose_answers = true});
    uint64_t version = 0;
    er_status status = {0};
    er_code code = init(table, config, 0, &version, &status);
    ck_assert_msg(code == ER_OK, "%s", status.message);
    expect_replayed(table, config, version);
    pf_table_destroy(table);
}
END_TEST

/* A table whose reads take 50 ms longer than its commits, and that counts the
   reads that have not returned. */
typedef struct counting_table {
    pf_table base;
    pf_table *inner;
    uint32_t pending_reads;
    uint32_t reads;
} counting_table;

typedef struct counted_read {
    counting_table *table;
    pf_read_callback call;
    void *user_data;
} counted_read;

static void
on_counted_read(const pf_read_result *result, void *data)
{
    counted_read *read = data;
    read->table->pending_reads--;
    read->call(result, read->user_data);
    g_free(read);
}

static counted_read *
count(pf_table *table, pf_read_callback call, void *user_data)
{
    counted_read *read = g_new0(counted_read, 1);
    *read = (counted_read){(counting_table *)table, call, user_data};
    read->table->pending_reads++;
    read->table->reads++;
    pf_memory_table_set_faults(read->table->inner,
                               &(pf_memory_table_faults){.delay_ms = 50});
    return read;
}

static void
counting_commit(pf_table *table, const pf_op *ops, size_t op_count,
                pf_commit_callback call, void *user_data)
{
    pf_table *inner = ((counting_table *)table)->inner;
    pf_memory_table_set_faults(inner, &(pf_memory_table_faults){0});
    pf_table_commit(inner, ops, op_count, call, user_data);
}

static void
counting_read(pf_table *table, const char *key, pf_read_callback call,
              void *user_data)
{
    pf_table_read(((counting_table *)table)->inner, key, on_counted_read,
                  count(table, call, user_data));
}

static void
counting_scan(pf_table *table, const char *prefix, const char *after,
              uint32_t limit, pf_read_callback call, void *user_data)
{
    pf_table_scan(((counting_table *)table)->inner, prefix, after, limit,
                  on_counted_read, count(table, call, user_data));
}

static const pf_table_vt counting_vt = {
    .commit = counting_commit, .read = counting_read, .scan = counting_scan};

/* tl_init() returns only when no call is pending: a read that ends later would
   use the state of a call that has returned. */
START_TEST(test_no_call_left_open)
{
    g_autoptr(dc_config) config = make_config(1);
    counting_table table = {.base.vt = &counting_vt,
                            .inner = pf_memory_table_create()};
    uint64_t version = 0;
    er_status status = {0};
    ck_assert_int_eq(init(&table.base, config, 0, &version, &status), ER_OK);
    ck_assert_uint_gt(table.reads, 0);
    ck_assert_uint_eq(table.pending_reads, 0);
    pf_table_destroy(table.inner);
}
END_TEST

START_TEST(test_table_down)
{
    g_autoptr(dc_config) config = make_config(1);
    pf_table *table = pf_memory_table_create();
    pf_memory_table_set_faults(table, &(pf_memory_table_faults){.down = true});
    uint64_t version = 0;
    er_status status = {0};
    er_code code = init(table, config, 500, &version, &status);
    ck_assert(code == ER_TIMEOUT || code == ER_PLATFORM_DOWN);
    ck_assert_ptr_nonnull(strstr(status.message, "run it again"));
    pf_memory_table_set_faults(table, &(pf_memory_table_faults){0});
    ck_assert_int_eq(init(table, config, 0, &version, &status), ER_OK);
    expect_replayed(table, config, 1);
    pf_table_destroy(table);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("init");
    TCase *tests = tcase_create("all");
    tcase_set_timeout(tests, 60);
    tcase_add_test(tests, test_whole_and_again);
    tcase_add_test(tests, test_lost_answers);
    tcase_add_test(tests, test_no_call_left_open);
    tcase_add_test(tests, test_table_down);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
