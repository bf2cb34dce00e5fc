#include "run.h"
#include "stream_origins.h"
#include <string.h>

#define S UINT64_C(1000000)
#define NOW (1000 * S)
#define STORE_MS 77000
enum { SERVICE = 5, OTHER_SERVICE = 6, V1 = 11, V2 = 12, V3 = 13 };
/* Writers of rows, and processes of them. */
enum { SELF = 21, OTHER = 22, THIRD = 23, PROCESS = 31, LATER_PROCESS = 32 };

static so_origins *
make_origins(void)
{
    return so_create(&(so_desc){.writer = SELF, .incarnation = PROCESS});
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

/* -- streams that are in no row ------------------------------------------- */

/* On the store's clock: when the caller came back, and up to when the row of
   another instance is complete. */
enum { ASKED_MS = STORE_MS + 1000, COMPLETE_MS = ASKED_MS + 1 };

/* Returns an instance that knows V1 and then V2. */
static so_origins *
make_mixed(uint64_t writer, uint64_t incarnation, uint64_t first,
           uint64_t second)
{
    so_origins *origins =
        so_create(&(so_desc){.writer = writer, .incarnation = incarnation});
    so_note_server(origins, SERVICE, first, NOW);
    so_end_list(origins, NOW);
    so_note_server(origins, SERVICE, second, NOW);
    so_end_list(origins, NOW);
    return origins;
}

/* Reads the row of the instance, which is freed. */
static void
read_row_of(so_origins *origins, uint64_t writer, so_origins *instance)
{
    g_autoptr(GBytes) row = so_write_row(instance, NOW, STORE_MS);
    ck_assert(so_read_row(origins, writer, row, NOW, STORE_MS));
    so_destroy(instance);
}

static void
report(so_origins *origins, uint64_t writer, uint64_t incarnation,
       uint64_t written_ms)
{
    so_note_progress(origins, &(so_progress){.writer = writer,
                                             .incarnation = incarnation,
                                             .written_ms = written_ms});
}

static uint64_t
query_unwritten(const so_origins *origins)
{
    return so_query_unlisted(origins, SERVICE, ASKED_MS, NOW);
}

/* Two others have rows, a fourth instance ended before V2 came. */
START_TEST(test_stream_in_no_row_began_at_the_base)
{
    so_origins *origins = make_mixed(SELF, PROCESS, V1, V2);
    report(origins, OTHER, PROCESS, COMPLETE_MS);
    report(origins, THIRD, PROCESS, COMPLETE_MS);
    so_begin_read(origins);
    read_row_of(origins, OTHER, make_mixed(OTHER, PROCESS, V1, V2));
    read_row_of(origins, THIRD, make_mixed(THIRD, PROCESS, V1, V2));
    so_end_read(origins);
    ck_assert_uint_eq(query_unwritten(origins), V1);
    /* A service of one version is none of its business. */
    ck_assert_uint_eq(so_query_unlisted(origins, OTHER_SERVICE, ASKED_MS, NOW),
                      0);
    so_destroy(origins);
}
END_TEST

/* Its row may lack a stream that began at V2. */
START_TEST(test_instance_without_a_report_may_have_begun_the_stream)
{
    so_origins *origins = make_mixed(SELF, PROCESS, V1, V2);
    for (int i = 0; i < 5; i++) {
        if (i) {
            report(origins, OTHER, i == 1 ? LATER_PROCESS : PROCESS,
                   i == 2 ? ASKED_MS : COMPLETE_MS);
        }
        so_begin_read(origins);
        if (i == 3) {
            /* It reports only after the read has begun. */
            report(origins, OTHER, PROCESS, ASKED_MS);
            so_begin_read(origins);
            report(origins, OTHER, PROCESS, COMPLETE_MS);
        }
        read_row_of(origins, OTHER, make_mixed(OTHER, PROCESS, V1, V2));
        so_end_read(origins);
        ck_assert_uint_eq(query_unwritten(origins), i == 4 ? V1 : 0);
    }
    so_destroy(origins);
}
END_TEST

START_TEST(test_instances_that_disagree_on_the_base_have_none)
{
    so_origins *origins = make_mixed(SELF, PROCESS, V1, V2);
    report(origins, OTHER, PROCESS, COMPLETE_MS);
    so_begin_read(origins);
    read_row_of(origins, OTHER, make_mixed(OTHER, PROCESS, V3, V2));
    so_end_read(origins);
    ck_assert_uint_eq(query_unwritten(origins), 0);
    so_destroy(origins);
}
END_TEST

/* It takes the base from the others. */
START_TEST(test_instance_that_starts_among_two_versions_learns_the_base)
{
    so_origins *origins = make_origins();
    so_note_server(origins, SERVICE, V2, NOW);
    so_note_server(origins, SERVICE, V1, NOW);
    so_end_list(origins, NOW);
    ck_assert_uint_eq(query_unwritten(origins), 0);
    report(origins, OTHER, PROCESS, COMPLETE_MS);
    so_begin_read(origins);
    read_row_of(origins, OTHER, make_mixed(OTHER, PROCESS, V1, V2));
    so_end_read(origins);
    ck_assert_uint_eq(query_unwritten(origins), V1);
    so_destroy(origins);
}
END_TEST

/* A process that was killed may not have written its last streams; the next
   one says so in its row. */
START_TEST(test_process_after_one_that_ended_leaves_a_gap)
{
    so_origins *second = make_mixed(OTHER, LATER_PROCESS, V1, V2);
    so_begin_read(second);
    read_row_of(second, OTHER, make_mixed(OTHER, PROCESS, V1, V2));
    so_end_read(second);
    ck_assert_uint_eq(query_unwritten(second), 0);

    so_origins *origins = make_mixed(SELF, PROCESS, V1, V2);
    report(origins, OTHER, LATER_PROCESS, COMPLETE_MS);
    so_begin_read(origins);
    read_row_of(origins, OTHER, second);
    so_end_read(origins);
    ck_assert_uint_eq(query_unwritten(origins), 0);
    so_destroy(origins);
}
END_TEST

/* Rows of instances that are gone may be lost for good. */
START_TEST(test_restored_store_tells_nothing_of_streams_in_no_row)
{
    so_origins *origins = make_mixed(SELF, PROCESS, V1, V2);
    ck_assert_uint_eq(query_unwritten(origins), V1);
    so_note_restored(origins, NOW);
    ck_assert_uint_eq(query_unwritten(origins), 0);
    so_destroy(origins);
}
END_TEST

/* Only streams of further versions have to be written before others may take
   unknown ones for streams of the base. */
START_TEST(test_streams_of_the_base_need_not_be_written)
{
    so_origins *origins = make_mixed(SELF, PROCESS, V1, V2);
    uint64_t revision = so_query_further_revision(origins);
    so_note_stream(origins, 1, V1, NOW + S);
    ck_assert_uint_eq(so_query_further_revision(origins), revision);
    so_note_stream(origins, 2, V2, NOW + S);
    ck_assert_uint_gt(so_query_further_revision(origins), revision);
    so_note_row_sent(origins, NOW);
    ck_assert(so_query_row_complete(origins));
    for (uint64_t i = 0; i < SO_MAX_ROW_STREAMS; i++) {
        so_note_stream(origins, 10 + i, V2, NOW + S);
    }
    so_note_row_sent(origins, NOW);
    ck_assert(!so_query_row_complete(origins));
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
    ck_assert(so_read_row(after, SELF, row, now_us, STORE_MS + 4000));
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
    ck_assert(so_read_row(third, OTHER, again, NOW, STORE_MS + 4000));
    ck_assert_uint_eq(so_query(third, 2, NOW + 7 * S).software, V2);
    /* Streams of others are not written. */
    GBytes *none = so_write_row(third, NOW, STORE_MS + 4000);
    so_origins *fourth = make_origins();
    ck_assert(so_read_row(fourth, OTHER, none, NOW, STORE_MS + 4000));
    ck_assert_uint_eq(so_query_count(fourth), 0);
}
END_TEST

START_TEST(test_row_of_another_writer_is_refused_or_harmless)
{
    static const char *const texts[] = {"\xff\xff\xff", "{}", "\x08", ""};
    so_origins *origins = make_origins();
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        g_autoptr(GBytes) row = g_bytes_new_static(texts[i], strlen(texts[i]));
        so_read_row(origins, OTHER, row, NOW, STORE_MS);
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
    ck_assert(so_read_row(after, OTHER, row, NOW, STORE_MS));
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
    tcase_add_test(tcase, test_stream_in_no_row_began_at_the_base);
    tcase_add_test(tcase,
                   test_instance_without_a_report_may_have_begun_the_stream);
    tcase_add_test(tcase, test_instances_that_disagree_on_the_base_have_none);
    tcase_add_test(
        tcase, test_instance_that_starts_among_two_versions_learns_the_base);
    tcase_add_test(tcase, test_process_after_one_that_ended_leaves_a_gap);
    tcase_add_test(tcase,
                   test_restored_store_tells_nothing_of_streams_in_no_row);
    tcase_add_test(tcase, test_streams_of_the_base_need_not_be_written);
    return run_case("stream_origins", tcase);
}
