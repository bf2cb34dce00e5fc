/* Tests of what is known of the rows of the platform's tables. */
#include "news.h"
#include "run.h"

static dl_row
row_of(const char *key, uint64_t version, bool removed)
{
    static GBytes *value;
    value = value ? value : g_bytes_new_static("v", 1);
    return (dl_row){(char *)key, removed ? NULL : value, version};
}

static void
put(nw_known_rows *news, const char *key, uint64_t version, uint64_t digest,
    bool from_store)
{
    dl_row row = row_of(key, version, digest == 0);
    if (!nw_query_stale(news, NW_SERVERS, &row)) {
        nw_put(news, NW_SERVERS, &row, digest, from_store);
    }
}

START_TEST(test_same_rows_same_digest)
{
    nw_known_rows *a = nw_create();
    nw_known_rows *b = nw_create();
    put(a, "x", 1, 11, true);
    put(a, "y", 2, 12, true);
    put(b, "y", 2, 12, false);
    ck_assert_uint_ne(nw_query_digest(a, NW_SERVERS),
                      nw_query_digest(b, NW_SERVERS));
    put(b, "x", 1, 11, true);
    ck_assert_uint_eq(nw_query_digest(a, NW_SERVERS),
                      nw_query_digest(b, NW_SERVERS));
    put(a, "x", 5, 0, true);
    nw_drop(b, NW_SERVERS, "x");
    ck_assert_uint_eq(nw_query_digest(a, NW_SERVERS),
                      nw_query_digest(b, NW_SERVERS));
    ck_assert_uint_eq(nw_query_digest(a, NW_OPERATOR), 0);
    nw_destroy(a);
    nw_destroy(b);
}
END_TEST

/* Only what the store told and what matters goes on to the others. */
START_TEST(test_rows_to_tell)
{
    nw_known_rows *news = nw_create();
    put(news, "x", 1, 11, true);
    put(news, "y", 2, 12, false);
    put(news, "x", 3, 11, true); /* changed_rows, not in what matters */
    const GArray *rows = nw_query_changed_rows(news, NW_SERVERS);
    ck_assert_uint_eq(rows->len, 1);
    ck_assert_str_eq(g_array_index(rows, dl_row, 0).key, "x");
    nw_clear_changed_rows(news, NW_SERVERS);
    put(news, "x", 4, 0, true);
    ck_assert_uint_eq(rows->len, 1);
    ck_assert_ptr_null(g_array_index(rows, dl_row, 0).value);
    nw_destroy(news);
}
END_TEST

/* The word of a removal is kept until the store tells it itself: an older
   word that comes late does not bring the row back. */
START_TEST(test_late_words)
{
    nw_known_rows *news = nw_create();
    put(news, "x", 5, 11, true);
    put(news, "x", 9, 0, false);
    ck_assert_uint_eq(nw_query_digest(news, NW_SERVERS), 0);
    put(news, "x", 7, 11, false);
    ck_assert_uint_eq(nw_query_digest(news, NW_SERVERS), 0);
    put(news, "x", 9, 0, true);
    put(news, "x", 12, 13, true);
    ck_assert_uint_eq(nw_query_digest(news, NW_SERVERS), 13);
    put(news, "x", 11, 14, true);
    ck_assert_uint_eq(nw_query_digest(news, NW_SERVERS), 13);
    nw_destroy(news);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("news");
    tcase_add_test(tcase, test_same_rows_same_digest);
    tcase_add_test(tcase, test_rows_to_tell);
    tcase_add_test(tcase, test_late_words);
    return run_case("news", tcase);
}
