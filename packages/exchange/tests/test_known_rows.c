/* Tests of the versions and digests kept for rows of the platform's tables. */
#include "known_rows.h"
#include "run.h"

static dl_row
row_of(const char *key, uint64_t version, bool removed)
{
    static GBytes *value;
    value = value ? value : g_bytes_new_static("v", 1);
    return (dl_row){(char *)key, removed ? NULL : value, version};
}

static void
put(kr_known_rows *known_rows, const char *key, uint64_t version,
    uint64_t digest, bool from_store)
{
    dl_row row = row_of(key, version, digest == 0);
    if (!kr_query_stale(known_rows, KR_SERVERS, &row)) {
        kr_put(known_rows, KR_SERVERS, &row, digest, from_store);
    }
}

START_TEST(test_same_rows_same_digest)
{
    kr_known_rows *a = kr_create();
    kr_known_rows *b = kr_create();
    put(a, "x", 1, 11, true);
    put(a, "y", 2, 12, true);
    put(b, "y", 2, 12, false);
    ck_assert_uint_ne(kr_query_digest(a, KR_SERVERS),
                      kr_query_digest(b, KR_SERVERS));
    put(b, "x", 1, 11, true);
    ck_assert_uint_eq(kr_query_digest(a, KR_SERVERS),
                      kr_query_digest(b, KR_SERVERS));
    put(a, "x", 5, 0, true);
    kr_drop(b, KR_SERVERS, "x");
    ck_assert_uint_eq(kr_query_digest(a, KR_SERVERS),
                      kr_query_digest(b, KR_SERVERS));
    ck_assert_uint_eq(kr_query_digest(a, KR_OPERATOR), 0);
    kr_destroy(a);
    kr_destroy(b);
}
END_TEST

/* Only changes of relevant content that came from the store itself are passed
   on to other instances. */
START_TEST(test_only_relevant_store_changes_are_passed_on)
{
    kr_known_rows *known_rows = kr_create();
    put(known_rows, "x", 1, 11, true);
    put(known_rows, "y", 2, 12, false);
    put(known_rows, "x", 3, 11, true); /* no relevant change */
    const GArray *rows = kr_query_changed_rows(known_rows, KR_SERVERS);
    ck_assert_uint_eq(rows->len, 1);
    ck_assert_str_eq(g_array_index(rows, dl_row, 0).key, "x");
    kr_clear_changed_rows(known_rows, KR_SERVERS);
    put(known_rows, "x", 4, 0, true);
    ck_assert_uint_eq(rows->len, 1);
    ck_assert_ptr_null(g_array_index(rows, dl_row, 0).value);
    kr_destroy(known_rows);
}
END_TEST

/* A removal reported by another instance is remembered until the store itself
   reports it, so that an older row that arrives late does not bring the row
   back. */
START_TEST(test_late_rows_are_stale)
{
    kr_known_rows *known_rows = kr_create();
    put(known_rows, "x", 5, 11, true);
    put(known_rows, "x", 9, 0, false);
    ck_assert_uint_eq(kr_query_digest(known_rows, KR_SERVERS), 0);
    put(known_rows, "x", 7, 11, false);
    ck_assert_uint_eq(kr_query_digest(known_rows, KR_SERVERS), 0);
    put(known_rows, "x", 9, 0, true);
    put(known_rows, "x", 12, 13, true);
    ck_assert_uint_eq(kr_query_digest(known_rows, KR_SERVERS), 13);
    put(known_rows, "x", 11, 14, true);
    ck_assert_uint_eq(kr_query_digest(known_rows, KR_SERVERS), 13);
    kr_destroy(known_rows);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("known_rows");
    tcase_add_test(tcase, test_same_rows_same_digest);
    tcase_add_test(tcase, test_only_relevant_store_changes_are_passed_on);
    tcase_add_test(tcase, test_late_rows_are_stale);
    return run_case("known_rows", tcase);
}
