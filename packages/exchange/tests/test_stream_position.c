/* Tests of which events of a resumable stream are passed on to its caller. */
#include "run.h"
#include "stream_position.h"
#include <glib.h>
#include <string.h>

#define EVENTS 12

/* What a caller has received, over all its connections. */
typedef struct caller {
    GString *text;
    char *last_id;
} caller;

static void
on_event(const sp_event *event, void *user_data)
{
    caller *c = user_data;
    if (event->repeated) {
        return;
    }
    g_string_append_len(c->text, event->bytes, (gssize)event->count);
    if (event->id) {
        g_free(c->last_id);
        c->last_id = g_strdup(event->id);
    }
}

static const sp_callbacks callbacks = {.event = on_event};

static caller
make_caller(void)
{
    return (caller){.text = g_string_new(NULL)};
}

static void
clear_caller(caller *c)
{
    g_string_free(c->text, TRUE);
    g_free(c->last_id);
}

static sp_position *
make_position(caller *c, const char *caller_event_id)
{
    return sp_create(&(sp_desc){.caller_event_id = caller_event_id,
                                .calls = &callbacks,
                                .user_data = c});
}

static bool
feed(sp_position *position, const char *text)
{
    return sp_feed(position, text, strlen(text));
}

START_TEST(test_send_without_event_keeps_the_callers_position)
{
    caller c = make_caller();
    sp_position *position = make_position(&c, "2");
    sp_begin_send(position);
    ck_assert(feed(position, "id: 3\nda"));
    ck_assert_uint_eq(sp_query_event_count(position), 0);
    sp_begin_send(position);
    ck_assert_str_eq(sp_query_last_id(position), "2");
    ck_assert(feed(position, "id: 3\ndata: e3\n\n"));
    ck_assert_str_eq(c.text->str, "id: 3\ndata: e3\n\n");
    ck_assert_str_eq(sp_query_last_id(position), "3");
    sp_destroy(position);
    clear_caller(&c);
}
END_TEST

START_TEST(test_server_beginning_too_early_repeats_no_event)
{
    caller c = make_caller();
    sp_position *position = make_position(&c, _i ? "2 \t" : "2");
    sp_begin_send(position);
    ck_assert(feed(position, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
                             "id: 3\ndata: e3\n\n"));
    ck_assert_str_eq(c.text->str, "id: 3\ndata: e3\n\n");
    sp_destroy(position);
    clear_caller(&c);
}
END_TEST

START_TEST(test_last_event_without_blank_line_comes_once)
{
    caller c = make_caller();
    sp_position *position = make_position(&c, _i ? "3" : "2");
    sp_begin_send(position);
    ck_assert(feed(position, "id: 3\ndata: e3"));
    sp_end(position);
    ck_assert_str_eq(c.text->str, _i ? "" : "id: 3\ndata: e3");
    sp_destroy(position);
    clear_caller(&c);
}
END_TEST

START_TEST(test_new_stream_starts_at_its_beginning)
{
    caller c = make_caller();
    static const char *const none[] = {NULL, "", " "};
    sp_position *position = make_position(&c, none[_i]);
    sp_begin_send(position);
    ck_assert_ptr_null(sp_query_last_id(position));
    ck_assert(feed(position, "id: 0\ndata: e0\n\n"));
    ck_assert_str_eq(c.text->str, "id: 0\ndata: e0\n\n");
    sp_destroy(position);
    clear_caller(&c);
}
END_TEST

START_TEST(test_endless_event_is_too_long)
{
    caller c = make_caller();
    sp_position *position = make_position(&c, NULL);
    g_autofree char *filler = g_strnfill(SP_MAX_EVENT_BYTES, 'x');
    sp_begin_send(position);
    ck_assert(feed(position, filler));
    ck_assert(!feed(position, "x"));
    sp_begin_send(position);
    ck_assert(feed(position, "x"));
    ck_assert_uint_eq(c.text->len, 0);
    sp_destroy(position);
    clear_caller(&c);
}
END_TEST

/* Guards against work that grows with the square of the bytes: a server that
   cuts its stream into pieces of one byte would hold up the loop, and with it
   all other callers. */
START_TEST(test_work_is_linear_in_the_bytes_of_a_stream)
{
    enum { BYTES = 200 * 1024, MAX_WORK_PER_BYTE = 4 };
    static const char *const patterns[] = {"x", "x\n", "\r\nx", "id: 1\n\n",
                                           "data: e\r\n\r\n"};
    static const size_t pieces[] = {1, 2, 7, 1000, BYTES};
    const char *pattern = patterns[_i % (int)G_N_ELEMENTS(patterns)];
    size_t piece = pieces[_i / (int)G_N_ELEMENTS(patterns)];
    caller c = make_caller();
    sp_position *position = make_position(&c, NULL);
    GString *text = g_string_new(NULL);
    while (text->len < BYTES) {
        g_string_append(text, pattern);
    }
    sp_begin_send(position);
    for (size_t at = 0; at < text->len; at += piece) {
        ck_assert(
            sp_feed(position, text->str + at, MIN(piece, text->len - at)));
    }
    ck_assert_uint_le(sp_query_work_bytes(position),
                      text->len * MAX_WORK_PER_BYTE);
    g_string_free(text, TRUE);
    sp_destroy(position);
    clear_caller(&c);
}
END_TEST

/* Whole events, whether a stream can go on after them, and the last id. */
static const struct {
    const char *events;
    bool can_continue;
    const char *last_id;
} id_cases[] = {
    {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", true, "2"},
    {"id:3\r\ndata: a\r\n\r\n", true, "3"},
    {"id: 1\ndata: a\n\n: comment\n\n", true, "1"},
    {"retry: 100\n\n", true, NULL},
    {"id: 9\nid: 10\ndata: a\n\n", true, "10"},
    {"idea: 1\n\n", true, NULL},
    {"weight-versions: 2\nid: 4\ndata: a\n\n", true, "4"},
    {"data: a\n\n", false, NULL},
    {"id: 1\ndata: a\n\ndata: b\n\n", false, "1"},
    {"id: 1\ndata: a\n\ndata\n\n", false, "1"},
    {"data: a\n\nid: 2\ndata: b\n\n", true, "2"},
    {"id: x1\ndata: a\n\n", false, NULL},
    {"id: 1x\ndata: a\n\n", false, NULL},
    {"id: -1\ndata: a\n\n", false, NULL},
    {"id: 99999999999999999999\ndata: a\n\n", false, NULL},
    {"id: 1\ndata: a\n\nid\ndata: b\n\n", false, "1"},
    {"id: 1\ndata: a\n\nid:\ndata: b\n\n", false, "1"},
    {"id: 7\ndata: a\n\nid: 7\ndata: b\n\n", false, "7"},
    {"id: 2\ndata: a\n\nid: 1\ndata: b\n\nid: 3\ndata: c\n\n", false, "3"},
};

START_TEST(test_ids_that_cannot_be_compared_stop_the_resumption)
{
    caller c = make_caller();
    sp_position *position = make_position(&c, NULL);
    sp_begin_send(position);
    ck_assert(feed(position, id_cases[_i].events));
    ck_assert_str_eq(c.text->str, id_cases[_i].events);
    ck_assert(sp_query_can_continue(position) == id_cases[_i].can_continue);
    ck_assert_pstr_eq(sp_query_last_id(position), id_cases[_i].last_id);
    sp_destroy(position);
    clear_caller(&c);
}
END_TEST

START_TEST(test_callers_id_that_is_no_number_is_passed_on)
{
    caller c = make_caller();
    sp_position *position = make_position(&c, "a2");
    sp_begin_send(position);
    ck_assert_str_eq(sp_query_last_id(position), "a2");
    ck_assert(sp_query_can_continue(position));
    ck_assert(feed(position, "id: a3\ndata: e3\n\n"));
    ck_assert_str_eq(c.text->str, "id: a3\ndata: e3\n\n");
    ck_assert(!sp_query_can_continue(position));
    sp_destroy(position);
    clear_caller(&c);
}
END_TEST

/* The bytes that a server writes after this event. */
static GString *
make_stream(uint64_t after, const char *newline)
{
    GString *text = g_string_new(NULL);
    for (uint64_t id = after + 1; id <= EVENTS; id++) {
        g_string_append_printf(text,
                               "id: %" G_GUINT64_FORMAT
                               "%sdata: e%" G_GUINT64_FORMAT "%s%s",
                               id, newline, id, newline, newline);
    }
    return text;
}

/* Feeds the first `count` bytes in pieces of random sizes. */
static void
feed_pieces(sp_position *position, const GString *text, size_t count,
            GRand *random)
{
    for (size_t at = 0; at < count;) {
        size_t piece = (size_t)g_rand_int_range(random, 1, 40);
        size_t end = MIN(at + piece, count);
        ck_assert(sp_feed(position, text->str + at, end - at));
        at = end;
    }
}

/* Servers fail at any byte, also before their first event, some begin earlier
   than they are asked to, and the caller comes back with the id of its last
   event: it gets each event once, in order. */
START_TEST(test_each_event_comes_once_over_failing_servers)
{
    g_autoptr(GRand) random = g_rand_new_with_seed((guint32)_i);
    const char *newline = _i % 2 ? "\r\n" : "\n";
    caller c = make_caller();
    bool whole = false;
    while (!whole) {
        sp_position *position = make_position(&c, c.last_id);
        int sends = g_rand_int_range(random, 1, 5);
        for (int i = 0; i < sends && !whole; i++) {
            sp_begin_send(position);
            const char *id = sp_query_last_id(position);
            uint64_t after = id ? g_ascii_strtoull(id, NULL, 10) : 0;
            if (after && g_rand_int_range(random, 0, 4) == 0) {
                after = (uint64_t)g_rand_int_range(random, 0, (int)after);
            }
            GString *text = make_stream(after, newline);
            whole = g_rand_int_range(random, 0, 8) == 0;
            size_t count = whole ? text->len
                                 : (size_t)g_rand_int_range(
                                       random, 0, MIN((int)text->len, 50) + 1);
            feed_pieces(position, text, count, random);
            if (whole) {
                sp_end(position);
            }
            g_string_free(text, TRUE);
        }
        sp_destroy(position);
    }
    GString *expected = make_stream(0, newline);
    ck_assert_str_eq(c.text->str, expected->str);
    g_string_free(expected, TRUE);
    clear_caller(&c);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("stream_position");
    tcase_add_test(tcase, test_send_without_event_keeps_the_callers_position);
    tcase_add_loop_test(
        tcase, test_server_beginning_too_early_repeats_no_event, 0, 2);
    tcase_add_loop_test(tcase, test_last_event_without_blank_line_comes_once,
                        0, 2);
    tcase_add_loop_test(tcase, test_new_stream_starts_at_its_beginning, 0, 3);
    tcase_add_test(tcase, test_endless_event_is_too_long);
    tcase_add_loop_test(tcase, test_work_is_linear_in_the_bytes_of_a_stream, 0,
                        25);
    tcase_add_loop_test(tcase, test_each_event_comes_once_over_failing_servers,
                        0, 300);
    tcase_add_loop_test(tcase,
                        test_ids_that_cannot_be_compared_stop_the_resumption,
                        0, (int)G_N_ELEMENTS(id_cases));
    tcase_add_test(tcase, test_callers_id_that_is_no_number_is_passed_on);
    return run_case("stream_position", tcase);
}
