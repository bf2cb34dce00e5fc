/* Tests of the backend client against a server that returns faulty answers on
   request: the reported end of a stream, the result of a call, and the parser
   of server-sent events. */
#include "event_stream.h"
#include "lacewing/backend.h"
#include <check.h>
#include <libsoup/soup.h>
#include <stdlib.h>
#include <string.h>

typedef struct fixture {
    SoupServer *soup;
    tm_service *timers;
    be_server *server;
    char *address;
    uint32_t cancels;
    uint32_t calls;
    bool unhealthy;
    const char *body; /* of the answer to the prompt "body" */
} fixture;

static fixture fx;

/* -- faulty server -------------------------------------------------------- */

static void
append(SoupServerMessage *message, const char *text)
{
    soup_message_body_append(soup_server_message_get_response_body(message),
                             SOUP_MEMORY_COPY, text, strlen(text));
}

static void
append_token(SoupServerMessage *message, uint32_t index, const char *model)
{
    g_autofree char *event = g_strdup_printf(
        "data: {\"index\":%u,\"text\":\"t%u\",\"model\":\"%s\"}\n\n", index,
        index, model);
    append(message, event);
}

static void
refuse(SoupServerMessage *message, guint status, const char *type)
{
    g_autofree char *body =
        g_strdup_printf("{\"error\":{\"type\":\"%s\"}}", type);
    soup_server_message_set_status(message, status, NULL);
    soup_server_message_set_response(message, "application/json",
                                     SOUP_MEMORY_COPY, body, strlen(body));
}

/* The prompt names the fault. */
static void
on_completions(SoupServer *soup, SoupServerMessage *message, const char *path,
               GHashTable *query, void *data)
{
    (void)soup;
    (void)path;
    (void)query;
    (void)data;
    const char *body = soup_server_message_get_request_body(message)->data;
    if (strstr(body, "absent")) {
        refuse(message, 404, "adapter_not_resident");
        return;
    }
    if (strstr(body, "fenced")) {
        refuse(message, 409, "fenced");
        return;
    }
    if (strstr(body, "starting")) {
        refuse(message, 503, "starting");
        return;
    }
    soup_server_message_set_status(message, 200, NULL);
    soup_message_headers_set_encoding(
        soup_server_message_get_response_headers(message),
        SOUP_ENCODING_CHUNKED);
    if (fx.body) {
        append(message, fx.body);
        soup_message_body_complete(
            soup_server_message_get_response_body(message));
        return;
    }
    append_token(message, 0, "a@1");
    append_token(message, 0, "a@1");
    append_token(message, 1, strstr(body, "other") ? "b@1" : "a@1");
    if (strstr(body, "gap")) {
        append_token(message, 3, "a@1");
    }
    if (strstr(body, "silent")) {
        return; /* sends nothing more and keeps the connection open */
    }
    if (strstr(body, "pause")) {
        append(message, "data: {\"paused\":true,\"tokens\":2}\n\n");
    }
    else if (strstr(body, "short")) {
        append(message, "data: {\"done\":true,\"tokens\":3}\n\n");
    }
    else if (!strstr(body, "broken")) {
        append(message, "data: {\"done\":true,\"tokens\":2,"
                        "\"finish_reason\":\"length\"}\n\n");
    }
    soup_message_body_complete(soup_server_message_get_response_body(message));
}

static void
on_cancel(SoupServer *soup, SoupServerMessage *message, const char *path,
          GHashTable *query, void *data)
{
    (void)soup;
    (void)path;
    (void)query;
    (void)data;
    fx.cancels++;
    soup_server_message_set_status(message, 200, NULL);
}

static void
on_health(SoupServer *soup, SoupServerMessage *message, const char *path,
          GHashTable *query, void *data)
{
    (void)soup;
    (void)path;
    (void)query;
    (void)data;
    soup_server_message_set_status(message, fx.unhealthy ? 500 : 200, NULL);
}

static void
on_call(SoupServer *soup, SoupServerMessage *message, const char *path,
        GHashTable *query, void *data)
{
    (void)soup;
    (void)path;
    (void)query;
    (void)data;
    fx.calls++;
    if (strstr(path, "silent")) {
        soup_server_message_pause(message);
        return;
    }
    if (strstr(path, "failing")) {
        refuse(message, 500, "failed");
        return;
    }
    soup_server_message_set_status(message, 200, NULL);
    append(message, "{\"result\":1}");
}

static void
setup(void)
{
    memset(&fx, 0, sizeof(fx));
    fx.soup = soup_server_new(NULL, NULL);
    soup_server_add_handler(fx.soup, "/v1/completions", on_completions, NULL,
                            NULL);
    soup_server_add_handler(fx.soup, "/v1/cancel", on_cancel, NULL, NULL);
    soup_server_add_handler(fx.soup, "/healthz", on_health, NULL, NULL);
    soup_server_add_handler(fx.soup, "/call", on_call, NULL, NULL);
    soup_server_listen_local(fx.soup, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL);
    GSList *uris = soup_server_get_uris(fx.soup);
    fx.address = g_strdup_printf("127.0.0.1:%d", g_uri_get_port(uris->data));
    g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
    fx.timers = tm_create(&(tm_desc){0});
    fx.server = be_create(&(be_desc){
        .address = fx.address, .timers = fx.timers, .stall_timeout_ms = 100});
}

static void
teardown(void)
{
    be_destroy(fx.server);
    tm_destroy(fx.timers);
    soup_server_disconnect(fx.soup);
    g_object_unref(fx.soup);
    g_free(fx.address);
}

/* -- streams -------------------------------------------------------------- */

typedef struct stream_outcome {
    uint32_t tokens;
    uint32_t ends;
    be_result result;
} stream_outcome;

static void
on_token(be_stream *stream, uint32_t index, const char *text, void *data)
{
    (void)stream;
    (void)text;
    stream_outcome *seen = data;
    ck_assert_uint_eq(index, seen->tokens);
    seen->tokens++;
}

static void
on_end(be_stream *stream, const be_result *result, void *data)
{
    (void)stream;
    stream_outcome *seen = data;
    seen->ends++;
    seen->result = *result;
}

static stream_outcome
complete(const char *prompt)
{
    stream_outcome seen = {0};
    be_stream *stream =
        be_complete(fx.server, &(be_complete_desc){.model = "a@1",
                                                   .prompt = prompt,
                                                   .attempt = "r/1",
                                                   .max_tokens = 8,
                                                   .on_token = on_token,
                                                   .on_end = on_end,
                                                   .user_data = &seen});
    while (!seen.ends) {
        g_main_context_iteration(NULL, TRUE);
    }
    be_stream_destroy(stream);
    return seen;
}

static const struct {
    const char *prompt;
    be_end end;
    uint32_t tokens;
} cases[] = {
    {"good", BE_END_COMPLETED, 2}, {"broken", BE_END_BROKEN, 2},
    {"silent", BE_END_STALLED, 2}, {"gap", BE_END_BROKEN, 2},
    {"other", BE_END_BROKEN, 1},   {"short", BE_END_BROKEN, 2},
    {"pause", BE_END_PAUSED, 2},   {"absent", BE_END_NOT_RESIDENT, 0},
    {"fenced", BE_END_FENCED, 0},  {"starting", BE_END_NOT_STARTED, 0},
};

START_TEST(test_each_end_is_reported)
{
    stream_outcome seen = complete(cases[_i].prompt);
    ck_assert_int_eq(seen.result.end, cases[_i].end);
    ck_assert_uint_eq(seen.tokens, cases[_i].tokens);
    ck_assert_uint_eq(seen.result.tokens, cases[_i].tokens);
    ck_assert_uint_eq(seen.ends, 1);
}
END_TEST

START_TEST(test_failed_health_check_means_server_down)
{
    fx.unhealthy = true;
    ck_assert_int_eq(complete("broken").result.end, BE_END_SERVER_DOWN);
    ck_assert_int_eq(complete("silent").result.end, BE_END_SERVER_DOWN);
}
END_TEST

START_TEST(test_destroy_cancels_without_callback)
{
    stream_outcome seen = {0};
    be_stream *stream =
        be_complete(fx.server, &(be_complete_desc){.model = "a@1",
                                                   .prompt = "silent",
                                                   .attempt = "r/1",
                                                   .on_token = on_token,
                                                   .on_end = on_end,
                                                   .user_data = &seen});
    while (seen.tokens < 2) {
        g_main_context_iteration(NULL, TRUE);
    }
    be_stream_destroy(stream);
    while (!fx.cancels) {
        g_main_context_iteration(NULL, TRUE);
    }
    ck_assert_uint_eq(seen.ends, 0);
    ck_assert_uint_eq(be_query_open_streams(fx.server), 0);
}
END_TEST

/* -- answers of resumed and faulty runs ----------------------------------- */

#define TOKEN(index, text)                                                    \
    "data: {\"index\":" index ",\"text\":" text ",\"model\":\"a@1\"}\n\n"
#define DONE(tokens) "data: {\"done\":true,\"tokens\":" tokens "}\n\n"

typedef struct run_outcome {
    GString *text;
    bool ended;
    be_end end;
    uint32_t tokens;
} run_outcome;

static void
on_run_token(be_stream *stream, uint32_t index, const char *text, void *data)
{
    (void)stream;
    run_outcome *seen = data;
    g_string_append_printf(seen->text, "%u%s;", index, text ? text : "NULL");
}

static void
on_run_end(be_stream *stream, const be_result *result, void *data)
{
    (void)stream;
    run_outcome *seen = data;
    seen->ended = true;
    seen->end = result->end;
    seen->tokens = result->tokens;
}

typedef struct run_case {
    const char *body;
    uint32_t resume_from;
    be_end end;
    const char *text;
    uint32_t tokens;
} run_case;

static void
check_run(const run_case *wanted)
{
    fx.body = wanted->body;
    run_outcome seen = {.text = g_string_new(NULL)};
    be_stream *stream = be_complete(
        fx.server, &(be_complete_desc){.model = "a@1",
                                       .prompt = "body",
                                       .attempt = "r/1",
                                       .max_tokens = 8,
                                       .resume_from = wanted->resume_from,
                                       .on_token = on_run_token,
                                       .on_end = on_run_end,
                                       .user_data = &seen});
    while (!seen.ended) {
        g_main_context_iteration(NULL, TRUE);
    }
    ck_assert_str_eq(seen.text->str, wanted->text);
    ck_assert_int_eq(seen.end, wanted->end);
    ck_assert_uint_eq(seen.tokens, wanted->tokens);
    be_stream_destroy(stream);
    g_string_free(seen.text, TRUE);
}

static const run_case resumed_runs[] = {
    {"", 3, BE_END_BROKEN, "", 3},
    {"data: {\"index\":3,\"te", 3, BE_END_BROKEN, "", 3},
    {DONE("3"), 3, BE_END_COMPLETED, "", 3},
    {DONE("0"), 3, BE_END_BROKEN, "", 3},
    {TOKEN("0", "\"a\"") TOKEN("1", "\"b\"") TOKEN("2", "\"c\"") DONE("3"), 2,
     BE_END_COMPLETED, "2c;", 3},
    {TOKEN("3", "\"d\"") TOKEN("2", "\"c\"") TOKEN("3", "\"D\"") DONE("4"), 3,
     BE_END_COMPLETED, "3d;", 4},
    {TOKEN("4", "\"e\"") DONE("5"), 3, BE_END_BROKEN, "", 3},
    {TOKEN("3.0", "\"d\"") DONE("4.0"), 3, BE_END_COMPLETED, "3d;", 4},
};

START_TEST(test_resumed_run_repeats_or_skips_no_token)
{
    check_run(&resumed_runs[_i]);
}
END_TEST

static const run_case cut_runs[] = {
    {TOKEN("0", "\"a\"") "data: {\"done\":true,\"tokens\":1,\"fin", 0,
     BE_END_BROKEN, "0a;", 1},
    {TOKEN("0", "\"a\"") "data: {\"done\":true,\"tokens\":1}", 0,
     BE_END_BROKEN, "0a;", 1},
    {TOKEN("0", "\"a\"") "data: {\"index\":1,\"text\":\"b\"", 0, BE_END_BROKEN,
     "0a;", 1},
    {TOKEN("0", "\"a\""), 0, BE_END_BROKEN, "0a;", 1},
    {TOKEN("0", "\"a\"") "data: {\"done\":false,\"tokens\":1}\n\n", 0,
     BE_END_BROKEN, "0a;", 1},
    {TOKEN("0", "\"a\"") "data: {\"paused\":false}\n\n", 0, BE_END_BROKEN,
     "0a;", 1},
};

START_TEST(test_run_cut_before_its_final_event_is_not_whole)
{
    check_run(&cut_runs[_i]);
}
END_TEST

static const run_case malformed_runs[] = {
    {TOKEN("\"7\"", "\"h\"") DONE("1"), 0, BE_END_BROKEN, "", 0},
    {TOKEN("\"x\"", "\"h\"") DONE("1"), 0, BE_END_BROKEN, "", 0},
    {TOKEN("false", "\"h\"") DONE("1"), 0, BE_END_BROKEN, "", 0},
    {TOKEN("0.9", "\"h\"") DONE("1"), 0, BE_END_BROKEN, "", 0},
    {TOKEN("null", "\"h\"") TOKEN("0", "\"a\"") DONE("1"), 0, BE_END_BROKEN,
     "", 0},
    {TOKEN("-1", "\"h\"") TOKEN("0", "\"a\"") DONE("1"), 0, BE_END_BROKEN, "",
     0},
    {TOKEN("4294967296", "\"h\"") DONE("1"), 0, BE_END_BROKEN, "", 0},
    {TOKEN("1e300", "\"h\"") DONE("1"), 0, BE_END_BROKEN, "", 0},
    {"data: {\"text\":\"a\",\"model\":\"a@1\"}\n\n" DONE("1"), 0,
     BE_END_BROKEN, "", 0},
    {TOKEN("0", "\"a\"") TOKEN("1", "5") DONE("2"), 0, BE_END_BROKEN, "0a;",
     1},
    {TOKEN("0", "\"a\"") TOKEN("1", "null") DONE("2"), 0, BE_END_BROKEN, "0a;",
     1},
    {"data: {\"index\":0,\"model\":\"a@1\"}\n\n" DONE("1"), 0, BE_END_BROKEN,
     "", 0},
    {"data: {\"index\":0,\"text\":\"a\",\"model\":5}\n\n" DONE("1"), 0,
     BE_END_BROKEN, "", 0},
    {DONE("\"8\""), 0, BE_END_BROKEN, "", 0},
    {DONE("false"), 0, BE_END_BROKEN, "", 0},
    {TOKEN("0", "\"a\"") DONE("1.5"), 0, BE_END_BROKEN, "0a;", 1},
    {TOKEN("0", "\"a\"") DONE("true"), 0, BE_END_BROKEN, "0a;", 1},
};

START_TEST(test_malformed_event_adds_no_wrong_token_and_ends_no_answer)
{
    check_run(&malformed_runs[_i]);
}
END_TEST

/* -- calls ---------------------------------------------------------------- */

typedef struct call_outcome {
    uint32_t ends;
    er_code code;
    be_ran ran;
} call_outcome;

static void
on_call_end(be_server *server, const be_call_result *result, void *data)
{
    (void)server;
    call_outcome *seen = data;
    seen->ends++;
    seen->code = result->code;
    seen->ran = result->ran;
}

static call_outcome
call_service(be_server *server, const char *operation)
{
    call_outcome seen = {0};
    g_autoptr(GBytes) body = g_bytes_new_static("{}", 2);
    be_call(server, &(be_call_desc){.operation = operation,
                                    .attempt = "r/1",
                                    .key = "k",
                                    .body = body,
                                    .timeout_ms = 100,
                                    .call = on_call_end,
                                    .user_data = &seen});
    while (!seen.ends) {
        g_main_context_iteration(NULL, TRUE);
    }
    return seen;
}

START_TEST(test_call_reports_whether_it_ran)
{
    ck_assert_int_eq(call_service(fx.server, "good").ran, BE_RAN_YES);
    ck_assert_int_eq(call_service(fx.server, "failing").ran, BE_RAN_UNKNOWN);
    call_outcome silent = call_service(fx.server, "silent");
    ck_assert_int_eq(silent.code, ER_TIMEOUT);
    ck_assert_int_eq(silent.ran, BE_RAN_UNKNOWN);
    ck_assert_uint_eq(fx.calls, 3);
    be_server *unreachable =
        be_create(&(be_desc){.address = "127.0.0.1:1", .timers = fx.timers});
    ck_assert_int_eq(call_service(unreachable, "good").ran, BE_RAN_NO);
    be_destroy(unreachable);
}
END_TEST

/* -- events --------------------------------------------------------------- */

START_TEST(test_events_split_anywhere)
{
    static const char text[] = "data: one\n\n: note\r\ndata:two\r\n\r\n"
                               "event: x\ndata: three\n\n";
    for (size_t piece_bytes = 1; piece_bytes <= sizeof(text); piece_bytes++) {
        se_parser *parser = se_create();
        g_autoptr(GString) seen = g_string_new(NULL);
        for (size_t offset = 0; offset < sizeof(text) - 1;
             offset += piece_bytes) {
            se_push(parser, text + offset,
                    MIN(piece_bytes, sizeof(text) - 1 - offset));
            const char *data;
            while ((data = se_next(parser))) {
                g_string_append_printf(seen, "%s;", data);
            }
        }
        ck_assert_str_eq(seen->str, "one;two;three;");
        se_destroy(parser);
    }
}
END_TEST

/* Guards against work that grows with the square of the bytes: an engine that
   cuts its lines into pieces of one byte would hold up all other drafts. */
START_TEST(test_work_is_linear_in_the_bytes_of_a_line)
{
    enum { BYTES = 200 * 1024, MAX_WORK_PER_BYTE = 4 };
    static const size_t pieces[] = {1, 7, BYTES};
    g_autofree char *line = g_strnfill(BYTES, 'x');
    se_parser *parser = se_create();
    for (size_t at = 0; at < BYTES; at += pieces[_i]) {
        se_push(parser, line + at, MIN(pieces[_i], BYTES - at));
        ck_assert_ptr_null(se_next(parser));
    }
    ck_assert_uint_le(se_query_work_bytes(parser), BYTES * MAX_WORK_PER_BYTE);
    se_push(parser, "\ndata: a\n", 9);
    ck_assert_str_eq(se_next(parser), "a");
    se_destroy(parser);
}
END_TEST

START_TEST(test_too_long_line_fails)
{
    se_parser *parser = se_create();
    g_autofree char *line = g_strnfill(SE_LINE_BYTES_MAX + 1, 'x');
    se_push(parser, line, SE_LINE_BYTES_MAX + 1);
    ck_assert_ptr_null(se_next(parser));
    ck_assert(se_query_failed(parser));
    se_destroy(parser);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("backend");
    TCase *tests = tcase_create("all");
    tcase_add_checked_fixture(tests, setup, teardown);
    tcase_add_loop_test(tests, test_each_end_is_reported, 0,
                        G_N_ELEMENTS(cases));
    tcase_add_test(tests, test_failed_health_check_means_server_down);
    tcase_add_test(tests, test_destroy_cancels_without_callback);
    tcase_add_loop_test(tests, test_resumed_run_repeats_or_skips_no_token, 0,
                        G_N_ELEMENTS(resumed_runs));
    tcase_add_loop_test(tests,
                        test_run_cut_before_its_final_event_is_not_whole, 0,
                        G_N_ELEMENTS(cut_runs));
    tcase_add_loop_test(
        tests, test_malformed_event_adds_no_wrong_token_and_ends_no_answer, 0,
        G_N_ELEMENTS(malformed_runs));
    tcase_add_test(tests, test_call_reports_whether_it_ran);
    tcase_add_test(tests, test_events_split_anywhere);
    tcase_add_loop_test(tests, test_work_is_linear_in_the_bytes_of_a_line, 0,
                        3);
    tcase_add_test(tests, test_too_long_line_fails);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
