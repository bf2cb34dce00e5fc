#include "run.h"
#include "stream_origins.h"
#include <string.h>

#define S UINT64_C(1000000)
#define NOW (1000 * S)
#define STORE_MS 77000
enum { SERVICE = 5, OTHER_SERVICE = 6, V1 = 11, V2 = 12 };

static so_origins *
make_origins(void)
{
    return so_create(&(so_desc){0});
}

START_TEST(test_stream_is_known_until_its_caller_has_given_up)
{
    so_origins *origins = make_origins();
    so_note_stream(origins, 1, V1, NOW + 10 * S);
    so_note_stream(origins, 2, V2, NOW + 20 * S);
    ck_assert_uint_eq(so_query(origins, 1, NOW).software, V1);
    ck_assert_uint_eq(so_query(origins, 2, NOW).software, V2);
    ck_assert(!so_query(origins, 3, NOW).known);
    ck_assert(!so_query(origins, 1, NOW + 10 * S).known);
    so_expire(origins, NOW + 10 * S);
    ck_assert_uint_eq(so_query_count(origins), 1);
    so_shorten(origins, 2, NOW + 3 * S);
    ck_assert(!so_query(origins, 2, NOW + 3 * S).known);
    so_destroy(origins);
}
END_TEST

/* An id used twice belongs to no version that could be relied on. */
START_TEST(test_attempt_with_two_versions_has_no_origin)
{
    so_origins *origins = make_origins();
    so_note_stream(origins, 1, V1, NOW + S);
    so_note_stream(origins, 1, V2, NOW + S);
    ck_assert(so_query(origins, 1, NOW).known);
    ck_assert_uint_eq(so_query(origins, 1, NOW).software, 0);
    so_destroy(origins);
}
END_TEST

START_TEST(test_service_is_mixed_until_no_stream_of_the_older_version_is_left)
{
    so_origins *origins = make_origins();
    so_note_server(origins, SERVICE, V1, NOW);
    so_note_server(origins, OTHER_SERVICE, V2, NOW);
    ck_assert(!so_query_any_mixed(origins, NOW));
    so_note_server(origins, SERVICE, V2, NOW + S);
    ck_assert(so_query_mixed(origins, SERVICE, NOW + S));
    ck_assert(!so_query_mixed(origins, OTHER_SERVICE, NOW + S));
    for (uint64_t at = NOW + S; at < NOW + 60 * S; at += S) {
        so_note_server(origins, SERVICE, V2, at);
        /* V1 was last seen at NOW. */
        ck_assert_int_eq(so_query_mixed(origins, SERVICE, at),
                         at < NOW + 30 * S);
    }
    so_destroy(origins);
}
END_TEST

/* Other instances learn from the row that streams may begin at a further
   version, so none does before. */
START_TEST(test_streams_begin_at_the_base_until_the_row_is_stored)
{
    so_origins *origins = make_origins();
    ck_assert_uint_eq(so_query_begin_software(origins, SERVICE),
                      SO_NO_SOFTWARE);
    so_note_server(origins, SERVICE, V1, NOW);
    so_end_list(origins, NOW);
    ck_assert_uint_eq(so_query_begin_software(origins, SERVICE), V1);
    so_note_server(origins, SERVICE, V2, NOW + S);
    so_end_list(origins, NOW + S);
    so_note_row_sent(origins, NOW + S);
    ck_assert_uint_eq(so_query_begin_software(origins, SERVICE), V1);
    so_note_row_stored(origins);
    ck_assert_uint_eq(so_query_begin_software(origins, SERVICE), 0);
    /* The store loses the row. */
    so_note_restored(origins, NOW + 2 * S);
    ck_assert(so_query_restored(origins, NOW + 2 * S));
    ck_assert_uint_eq(so_query_begin_software(origins, SERVICE), V1);
    so_note_row_sent(origins, NOW + 2 * S);
    so_note_row_stored(origins);
    ck_assert_uint_eq(so_query_begin_software(origins, SERVICE), 0);
    /* V1 is gone, and its streams are over: the row goes, V2 is the base. */
    so_note_server(origins, SERVICE, V2, NOW + 40 * S);
    so_note_row_sent(origins, NOW + 40 * S);
    so_end_list(origins, NOW + 40 * S);
    ck_assert_uint_eq(so_query_begin_software(origins, SERVICE), V2);
    so_destroy(origins);
}
END_TEST

/* A process that starts while two versions serve cannot know which one was
   first. */
START_TEST(test_process_that_starts_among_two_versions_has_no_base)
{
    so_origins *origins = make_origins();
    so_note_server(origins, SERVICE, V1, NOW);
    so_note_server(origins, SERVICE, V2, NOW);
    so_end_list(origins, NOW);
    ck_assert_uint_eq(so_query_base(origins, SERVICE), 0);
    ck_assert_uint_eq(so_query_begin_software(origins, SERVICE),
                      SO_NO_SOFTWARE);
    so_note_row_sent(origins, NOW);
    so_note_row_stored(origins);
    ck_assert_uint_eq(so_query_begin_software(origins, SERVICE), 0);
    so_destroy(origins);
}
END_TEST

/* All instances end; the next process knows only the rows. */
START_TEST(test_row_tells_the_next_process_what_the_last_one_knew)
{
    so_origins *before = make_origins();
    so_note_server(before, SERVICE, V1, NOW);
    so_note_server(before, SERVICE, V2, NOW);
    so_note_stream(before, 1, V1, NOW + 10 * S);
    so_note_stream(before, 2, V2, NOW + 12 * S);
    so_note_stream(before, 3, V1, NOW + 10 * S);
    so_note_stream(before, 3, V2, NOW + 10 * S);
    GBytes *row = so_write_row(before, NOW, STORE_MS);

    so_origins *after = make_origins();
    /* Its clock is another one, and 4 s have passed. */
    uint64_t now_us = 9 * S;
    ck_assert(so_read_row(after, row, true, now_us, STORE_MS + 4000));
    ck_assert_uint_eq(so_query(after, 1, now_us + 5 * S).software, V1);
    ck_assert(!so_query(after, 1, now_us + 7 * S).known);
    ck_assert_uint_eq(so_query(after, 2, now_us + 7 * S).software, V2);
    ck_assert(so_query(after, 3, now_us).known);
    ck_assert_uint_eq(so_query(after, 3, now_us).software, 0);
    ck_assert(so_query_mixed(after, SERVICE, now_us + 25 * S));
    ck_assert(!so_query_mixed(after, SERVICE, now_us + 27 * S));
    /* It writes them again, as its row replaces that one. */
    GBytes *again = so_write_row(after, now_us, STORE_MS + 4000);
    so_origins *third = make_origins();
    ck_assert(so_read_row(third, again, false, NOW, STORE_MS + 4000));
    ck_assert_uint_eq(so_query(third, 2, NOW + 7 * S).software, V2);
    /* Streams of others are not written. */
    GBytes *none = so_write_row(third, NOW, STORE_MS + 4000);
    so_origins *fourth = make_origins();
    ck_assert(so_read_row(fourth, none, false, NOW, STORE_MS + 4000));
    ck_assert_uint_eq(so_query_count(fourth), 0);
}
END_TEST

START_TEST(test_row_of_another_writer_is_refused_or_harmless)
{
    static const char *const texts[] = {"\xff\xff\xff", "{}", "\x08", ""};
    so_origins *origins = make_origins();
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        g_autoptr(GBytes) row = g_bytes_new_static(texts[i], strlen(texts[i]));
        so_read_row(origins, row, false, NOW, STORE_MS);
        so_query_row_expired(row, STORE_MS);
    }
    ck_assert_uint_eq(so_query_count(origins), 0);
    ck_assert(!so_query_any_mixed(origins, NOW));
    so_destroy(origins);
}
END_TEST

START_TEST(test_row_holds_the_streams_that_end_last_within_its_size)
{
    so_origins *origins = make_origins();
    for (uint64_t i = 1; i <= 2 * SO_MAX_ROW_STREAMS; i++) {
        so_note_stream(origins, i * UINT64_C(0x9e3779b97f4a7c15), V1,
                       NOW + S + i * 1000);
    }
    g_autoptr(GBytes) row = so_write_row(origins, NOW, STORE_MS);
    ck_assert_uint_le(g_bytes_get_size(row), 65536);
    so_origins *after = make_origins();
    ck_assert(so_read_row(after, row, false, NOW, STORE_MS));
    ck_assert_uint_eq(so_query_count(after), SO_MAX_ROW_STREAMS);
    uint64_t last = 2 * SO_MAX_ROW_STREAMS * UINT64_C(0x9e3779b97f4a7c15);
    ck_assert(so_query(after, last, NOW).known);
    ck_assert(!so_query_row_expired(row, STORE_MS));
    ck_assert(so_query_row_expired(row, STORE_MS + 70000));
    so_destroy(after);
    so_destroy(origins);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("stream_origins");
    tcase_add_test(tcase, test_stream_is_known_until_its_caller_has_given_up);
    tcase_add_test(tcase, test_attempt_with_two_versions_has_no_origin);
    tcase_add_test(
        tcase,
        test_service_is_mixed_until_no_stream_of_the_older_version_is_left);
    tcase_add_test(tcase,
                   test_streams_begin_at_the_base_until_the_row_is_stored);
    tcase_add_test(tcase,
                   test_process_that_starts_among_two_versions_has_no_base);
    tcase_add_test(tcase,
                   test_row_tells_the_next_process_what_the_last_one_knew);
    tcase_add_test(tcase, test_row_of_another_writer_is_refused_or_harmless);
    tcase_add_test(tcase,
                   test_row_holds_the_streams_that_end_last_within_its_size);
    return run_case("stream_origins", tcase);
}
