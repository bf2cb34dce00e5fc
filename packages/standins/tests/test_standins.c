/* Tests of the stand-ins: orders inject the faults that they name, and the
   answers and the history report what happened. */
#include "fault_gate.h"
#include "lacewing/standin_text.h"
#include "load_report.h"
#include "platform_api.h"
#include "server_api.h"
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

typedef struct answer {
    bool done;
    uint32_t status; /* HTTP status; 0: the connection broke */
    char *text;
} answer;

typedef struct fixture {
    sv_server *server;
    char *url;
    SoupSession *session;
} fixture;

static void
on_answer(GObject *source, GAsyncResult *result, void *user_data)
{
    answer *got = user_data;
    SoupMessage *message =
        soup_session_get_async_result_message(SOUP_SESSION(source), result);
    g_autoptr(GBytes) body =
        soup_session_send_and_read_finish(SOUP_SESSION(source), result, NULL);
    got->done = true;
    got->status = body ? soup_message_get_status(message) : 0;
    gsize size = 0;
    const char *data = body ? g_bytes_get_data(body, &size) : NULL;
    got->text = g_strndup(data ? data : "", size);
}

/* Starts a call; *got is done when it has been answered. */
static void
begin_call(const fixture *fx, const char *path, const char *headers,
           const char *text, answer *got)
{
    g_autofree char *url = g_strconcat(fx->url, path, NULL);
    g_autoptr(SoupMessage) message =
        soup_message_new(text ? "POST" : "GET", url);
    g_auto(GStrv) pairs = g_strsplit(headers, " ", -1);
    for (char **pair = pairs; pair[0] && pair[1]; pair += 2) {
        soup_message_headers_append(soup_message_get_request_headers(message),
                                    pair[0], pair[1]);
    }
    if (text) {
        g_autoptr(GBytes) body = g_bytes_new(text, strlen(text));
        soup_message_set_request_body_from_bytes(message, "application/json",
                                                 body);
    }
    soup_session_send_and_read_async(fx->session, message, 0, NULL, on_answer,
                                     got);
}

static void
wait_for_answer(const answer *got)
{
    while (!got->done) {
        g_main_context_iteration(NULL, TRUE);
    }
}

/* Makes a call and returns "STATUS BODY"; free with g_free(). headers:
   "NAME VALUE NAME VALUE ..."; text: body of a POST, NULL for a GET. */
static char *
get_answer(const fixture *fx, const char *path, const char *headers,
           const char *text)
{
    answer got = {0};
    begin_call(fx, path, headers, text, &got);
    wait_for_answer(&got);
    char *line = g_strdup_printf("%u %s", got.status, got.text);
    g_free(got.text);
    return line;
}

/* Makes a call and fails unless "STATUS BODY" contains the wanted text. */
static void
expect(const fixture *fx, const char *path, const char *headers,
       const char *text, const char *wanted)
{
    g_autofree char *line = get_answer(fx, path, headers, text);
    ck_assert_msg(g_strrstr(line, wanted), "%s: %s", path, line);
}

/* Repeats a GET until the answer contains a text. The time limit of the test
   ends the loop otherwise. */
static void
wait_until(const fixture *fx, const char *path, const char *wanted)
{
    g_autofree char *line = NULL;
    do {
        g_free(line);
        line = get_answer(fx, path, "", NULL);
    } while (!strstr(line, wanted));
}

/* Starts a server on a free port and reads the port from its port file. */
static fixture
start(const sv_desc *desc)
{
    g_autofree char *file =
        g_strdup_printf("%s/standin-%d.port", g_get_tmp_dir(), getpid());
    sv_desc server_desc = *desc;
    server_desc.shell.listen = "127.0.0.1:0";
    server_desc.shell.port_file = file;
    fixture fx = {.server = sv_create(&server_desc, NULL),
                  .session = soup_session_new_with_options(
                      "max-conns-per-host", 8, NULL)};
    ck_assert_ptr_nonnull(fx.server);
    g_autofree char *port = NULL;
    ck_assert(g_file_get_contents(file, &port, NULL, NULL));
    remove(file);
    fx.url = g_strconcat("http://127.0.0.1:", g_strstrip(port), NULL);
    return fx;
}

static void
stop(fixture *fx)
{
    g_object_unref(fx->session);
    sv_destroy(fx->server);
    g_free(fx->url);
}

#define LOAD_A "{\"lora_name\":\"a\",\"version\":\"1\"}"
#define LOAD_B "{\"lora_name\":\"b\",\"version\":\"1\"}"

/* An engine answers only for a resident adapter and from the index to resume
   from, and refuses a load without a free adapter slot. */
START_TEST(test_engine_answers)
{
    fixture fx = start(&(sv_desc){
        .load_ms = 1, .engine = {.tokens_per_s = 1000, .adapter_slots = 1}});
    const char *body = "{\"model\":\"a@1\",\"prompt\":\"p\","
                       "\"max_tokens\":3,\"resume_from\":2}";
    expect(&fx, "/v1/completions", "", body, "404 ");
    expect(&fx, "/v1/load_lora_adapter", "", LOAD_A, "200 ");
    expect(&fx, "/v1/load_lora_adapter", "", LOAD_B, "no_room");
    expect(&fx, "/v1/adapters", "", NULL, "[\"a@1\"]");
    char text[TX_TOKEN_BYTES];
    tx_query_token(tx_query_seed("a@1", "p"), "a@1", 2, text);
    g_autofree char *event = g_strdup_printf(
        "200 data: {\"index\":2,\"text\":\"%s\",\"model\":\"a@1\"}\n\n"
        "data: {\"done\":true,\"tokens\":3,\"finish_reason\":\"length\"}",
        text);
    expect(&fx, "/v1/completions", "X-Attempt r/1", body, event);
    expect(&fx, "/v1/unload_lora_adapter", "", LOAD_A, "evicted");
    expect(&fx, "/control/history", "", NULL, "\"in_use\":false");
    stop(&fx);
}
END_TEST

/* An engine injects the ordered faults: it fails a load, and a restart
   breaks a stream without an end event. It also pauses a run, and evicts an
   adapter that is in use. */
START_TEST(test_engine_faults)
{
    fixture fx =
        start(&(sv_desc){.load_ms = 1, .engine = {.tokens_per_s = 100}});
    const char *body =
        "{\"model\":\"a@1\",\"prompt\":\"p\",\"max_tokens\":500}";
    expect(&fx, "/control", "", "{\"order\":\"fail_loads\",\"count\":1}",
           "200 ");
    expect(&fx, "/v1/load_lora_adapter", "", LOAD_A, "load_failed");
    expect(&fx, "/v1/load_lora_adapter", "", LOAD_A, "200 ");
    answer paused = {0};
    answer broken = {0};
    begin_call(&fx, "/v1/completions", "X-Attempt r/1", body, &paused);
    begin_call(&fx, "/v1/completions", "X-Attempt r/2", body, &broken);
    wait_until(&fx, "/control/history", "\"attempt\":\"r/1\",\"model\"");
    wait_until(&fx, "/control/history", "\"attempt\":\"r/2\",\"model\"");
    expect(&fx, "/v1/unload_lora_adapter", "", LOAD_A, "evicted");
    expect(&fx, "/control/history", "", NULL, "\"in_use\":true");
    expect(&fx, "/v1/pause", "", "{\"attempt\":\"r/1\"}", "\"paused\":true");
    wait_for_answer(&paused);
    ck_assert_ptr_nonnull(strstr(paused.text, "\"paused\":true"));
    expect(&fx, "/control", "", "{\"order\":\"restart_empty\"}", "200 ");
    wait_for_answer(&broken);
    ck_assert_ptr_null(strstr(broken.text, "\"done\""));
    expect(&fx, "/v1/completions", "", body, "starting");
    expect(&fx, "/control", "", "{\"order\":\"unknown\"}", "400 ");
    g_free(paused.text);
    g_free(broken.text);
    stop(&fx);
}
END_TEST

/* A stale fencing number is refused only if the server checks them. */
START_TEST(test_fence)
{
    fixture fx = start(&(sv_desc){.load_ms = 1, .check_fence = true});
    expect(&fx, "/v1/load_lora_adapter", "X-Fence 5", LOAD_A, "200 ");
    expect(&fx, "/v1/unload_lora_adapter", "X-Fence 4", LOAD_A,
           "409 {\"error\":{\"type\":\"fenced\",\"fence\":5}}");
    expect(&fx, "/v1/adapters", "", NULL, "[\"a@1\"]");
    stop(&fx);
    fx = start(&(sv_desc){.load_ms = 1});
    expect(&fx, "/v1/load_lora_adapter", "X-Fence 5", LOAD_A, "200 ");
    expect(&fx, "/v1/unload_lora_adapter", "X-Fence 4", LOAD_A, "200 ");
    stop(&fx);
}
END_TEST

/* A call whose answer is lost counts as a run, one refused by "down" does
   not. */
START_TEST(test_service_counts_runs)
{
    fixture fx = start(&(sv_desc){.kind = SV_SERVICE, .call_ms = 1});
    const char *headers = "Idempotency-Key k X-Attempt r/1";
    expect(&fx, "/call/book", headers, "{}", "\"run\":1");
    expect(&fx, "/control", "", "{\"order\":\"lose_answers\",\"count\":1}",
           "200 ");
    expect(&fx, "/call/book", headers, "{}", "0 ");
    expect(&fx, "/call/book", headers, "{}", "\"run\":3");
    expect(&fx, "/control", "", "{\"order\":\"down\",\"ms\":0}", "200 ");
    expect(&fx, "/call/book", headers, "{}", "503 ");
    expect(&fx, "/control", "", "{\"order\":\"heal\"}", "200 ");
    expect(&fx, "/call/book", headers, "{}", "\"run\":4");
    stop(&fx);
}
END_TEST

/* "silent" affects the connections that are open when the order arrives, not
   later ones. */
START_TEST(test_silent_connections)
{
    fixture fx = start(&(sv_desc){.kind = SV_SERVICE, .call_ms = 1});
    expect(&fx, "/healthz", "", NULL, "200 ");
    fixture other = fx;
    other.session = soup_session_new();
    expect(&other, "/control", "", "{\"order\":\"silent\"}", "200 ");
    answer silent = {0};
    begin_call(&fx, "/healthz", "", NULL, &silent);
    g_object_unref(other.session);
    other.session = soup_session_new();
    expect(&other, "/healthz", "", NULL, "200 ");
    ck_assert(!silent.done);
    soup_session_abort(fx.session);
    wait_for_answer(&silent);
    ck_assert_uint_eq(silent.status, 0);
    g_free(silent.text);
    g_object_unref(other.session);
    stop(&fx);
}
END_TEST

/* Concurrent fetches slow each other down; the rate limit and ordered
   failures refuse fetches. */
START_TEST(test_weights)
{
    wt_store *weights =
        wt_create(&(wt_desc){.fetches_per_s = 10, .full_speed_fetches = 1});
    uint32_t ms = 0;
    uint64_t now_us = 1000000;
    ck_assert_int_eq(wt_begin_fetch(weights, now_us, &ms), WT_RESULT_DEFAULT);
    ck_assert_uint_eq(ms, 250);
    ck_assert_int_eq(wt_begin_fetch(weights, now_us, &ms), WT_RESULT_DEFAULT);
    ck_assert_uint_eq(ms, 500);
    ck_assert_int_eq(wt_begin_fetch(weights, now_us, &ms), WT_RATE_LIMITED);
    wt_fail_next(weights, 1);
    now_us += 100000;
    ck_assert_int_eq(wt_begin_fetch(weights, now_us, &ms), WT_FAILED);
    wt_end_fetch(weights);
    wt_end_fetch(weights);
    ck_assert_uint_eq(wt_query_in_transit(weights), 0);
    wt_destroy(weights);
}
END_TEST

/* A load report shows the newest sample that is at least lag_ms old. */
START_TEST(test_late_reports)
{
    lr_reports reports = {.lag_ms = 100};
    ck_assert_uint_eq(lr_query_delayed(&reports, 1000000).running, 0);
    lr_sample(&reports, &(lr_item){.at_us = 1000000, .running = 1});
    lr_sample(&reports, &(lr_item){.at_us = 1100000, .running = 2});
    ck_assert_uint_eq(lr_query_delayed(&reports, 1050000).running, 0);
    ck_assert_uint_eq(lr_query_delayed(&reports, 1100000).running, 1);
    ck_assert_uint_eq(lr_query_delayed(&reports, 1200000).running, 2);
}
END_TEST

/* Events appear after the lag, and every gap_every-th one is missing. */
START_TEST(test_cache_events)
{
    pc_cache *cache =
        pc_create(&(pc_desc){.capacity = 1, .lag_ms = 1, .gap_every = 3});
    ck_assert(!pc_touch(cache, 1000, "a"));
    ck_assert(pc_touch(cache, 1000, "a"));
    ck_assert(!pc_touch(cache, 1000, "b"));
    g_autofree char *early = pc_query_events_json(cache, 1500, 0);
    ck_assert_str_eq(early, "{\"next\":0,\"events\":[]}");
    g_autofree char *late = pc_query_events_json(cache, 2000, 1);
    ck_assert_str_eq(late, "{\"next\":2,\"events\":[{\"seq\":2,\"prefix\":"
                           "\"92eb5ffee6ae2fec\",\"added\":true}]}");
    pc_destroy(cache);
}
END_TEST

/* The length follows "#tokens=N" up to max_tokens; answers depend on the
   model. */
START_TEST(test_text)
{
    ck_assert_uint_eq(tx_query_token_count("x #tokens=7 y", 5), 5);
    ck_assert_uint_eq(tx_query_token_count("x #tokens=3", 5), 3);
    ck_assert_uint_eq(tx_query_token_count("x", 5), 5);
    g_autofree char *one = tx_query_answer("a@1", "p", 3);
    g_autofree char *two = tx_query_answer("a@2", "p", 3);
    ck_assert(g_str_has_prefix(one, "a@1:"));
    ck_assert_str_ne(strchr(one, ':'), strchr(two, ':'));
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("stand-ins");
    tcase_set_timeout(tcase, 30);
    tcase_add_test(tcase, test_engine_answers);
    tcase_add_test(tcase, test_engine_faults);
    tcase_add_test(tcase, test_fence);
    tcase_add_test(tcase, test_service_counts_runs);
    tcase_add_test(tcase, test_silent_connections);
    tcase_add_test(tcase, test_weights);
    tcase_add_test(tcase, test_late_reports);
    tcase_add_test(tcase, test_cache_events);
    tcase_add_test(tcase, test_text);
    Suite *suite = suite_create("stand-ins");
    suite_add_tcase(suite, tcase);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
