/* Tests of the stand-ins: they must do what they are ordered, and say so. */
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
    uint32_t status; /* 0: none */
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

static void
begin(const fixture *at, const char *path, const char *headers,
      const char *text, answer *got)
{
    g_autofree char *url = g_strconcat(at->url, path, NULL);
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
    soup_session_send_and_read_async(at->session, message, 0, NULL, on_answer,
                                     got);
}

static void
wait_for(const answer *got)
{
    while (!got->done) {
        g_main_context_iteration(NULL, TRUE);
    }
}

/* One call; the text of the answer, "STATUS TEXT". */
static char *
ask(const fixture *at, const char *path, const char *headers, const char *text)
{
    answer got = {0};
    begin(at, path, headers, text, &got);
    wait_for(&got);
    char *line = g_strdup_printf("%u %s", got.status, got.text);
    g_free(got.text);
    return line;
}

static void
expect(const fixture *at, const char *path, const char *headers,
       const char *text, const char *wanted)
{
    g_autofree char *line = ask(at, path, headers, text);
    ck_assert_msg(g_strrstr(line, wanted), "%s: %s", path, line);
}

/* Asks until the answer holds a text; the test's time limit ends it. */
static void
wait_until(const fixture *at, const char *path, const char *wanted)
{
    g_autofree char *line = NULL;
    do {
        g_free(line);
        line = ask(at, path, "", NULL);
    } while (!strstr(line, wanted));
}

static fixture
start(const sv_desc *desc)
{
    g_autofree char *file =
        g_strdup_printf("%s/standin-%d.port", g_get_tmp_dir(), getpid());
    sv_desc own = *desc;
    own.shell.listen = "127.0.0.1:0";
    own.shell.port_file = file;
    fixture at = {.server = sv_create(&own, NULL),
                  .session = soup_session_new_with_options(
                      "max-conns-per-host", 8, NULL)};
    ck_assert_ptr_nonnull(at.server);
    g_autofree char *port = NULL;
    ck_assert(g_file_get_contents(file, &port, NULL, NULL));
    remove(file);
    at.url = g_strconcat("http://127.0.0.1:", g_strstrip(port), NULL);
    return at;
}

static void
stop(fixture *at)
{
    g_object_unref(at->session);
    sv_destroy(at->server);
    g_free(at->url);
}

#define LOAD_A "{\"lora_name\":\"a\",\"version\":\"1\"}"
#define LOAD_B "{\"lora_name\":\"b\",\"version\":\"1\"}"

START_TEST(test_engine_answers)
{
    fixture at = start(&(sv_desc){
        .load_ms = 1, .engine = {.tokens_per_s = 1000, .adapter_slots = 1}});
    const char *body = "{\"model\":\"a@1\",\"prompt\":\"p\","
                       "\"max_tokens\":3,\"resume_from\":2}";
    expect(&at, "/v1/completions", "", body, "404 ");
    expect(&at, "/v1/load_lora_adapter", "", LOAD_A, "200 ");
    expect(&at, "/v1/load_lora_adapter", "", LOAD_B, "no_room");
    expect(&at, "/v1/adapters", "", NULL, "[\"a@1\"]");
    char text[TX_TOKEN_BYTES];
    tx_query_token(tx_query_seed("a@1", "p"), "a@1", 2, text);
    g_autofree char *event = g_strdup_printf(
        "200 data: {\"index\":2,\"text\":\"%s\",\"model\":\"a@1\"}\n\n"
        "data: {\"done\":true,\"tokens\":3,\"finish_reason\":\"length\"}",
        text);
    expect(&at, "/v1/completions", "X-Attempt r/1", body, event);
    expect(&at, "/v1/unload_lora_adapter", "", LOAD_A, "evicted");
    expect(&at, "/control/history", "", NULL, "\"in_use\":false");
    stop(&at);
}
END_TEST

START_TEST(test_engine_faults)
{
    fixture at =
        start(&(sv_desc){.load_ms = 1, .engine = {.tokens_per_s = 100}});
    const char *body =
        "{\"model\":\"a@1\",\"prompt\":\"p\",\"max_tokens\":500}";
    expect(&at, "/control", "", "{\"order\":\"fail_loads\",\"count\":1}",
           "200 ");
    expect(&at, "/v1/load_lora_adapter", "", LOAD_A, "load_failed");
    expect(&at, "/v1/load_lora_adapter", "", LOAD_A, "200 ");
    answer paused = {0};
    answer broken = {0};
    begin(&at, "/v1/completions", "X-Attempt r/1", body, &paused);
    begin(&at, "/v1/completions", "X-Attempt r/2", body, &broken);
    wait_until(&at, "/control/history", "\"attempt\":\"r/1\",\"model\"");
    wait_until(&at, "/control/history", "\"attempt\":\"r/2\",\"model\"");
    expect(&at, "/v1/unload_lora_adapter", "", LOAD_A, "evicted");
    expect(&at, "/control/history", "", NULL, "\"in_use\":true");
    expect(&at, "/v1/pause", "", "{\"attempt\":\"r/1\"}", "\"paused\":true");
    wait_for(&paused);
    ck_assert_ptr_nonnull(strstr(paused.text, "\"paused\":true"));
    expect(&at, "/control", "", "{\"order\":\"restart_empty\"}", "200 ");
    wait_for(&broken);
    ck_assert_ptr_null(strstr(broken.text, "\"done\""));
    expect(&at, "/v1/completions", "", body, "starting");
    expect(&at, "/control", "", "{\"order\":\"unknown\"}", "400 ");
    g_free(paused.text);
    g_free(broken.text);
    stop(&at);
}
END_TEST

START_TEST(test_fence)
{
    fixture at = start(&(sv_desc){.load_ms = 1, .check_fence = true});
    expect(&at, "/v1/load_lora_adapter", "X-Fence 5", LOAD_A, "200 ");
    expect(&at, "/v1/unload_lora_adapter", "X-Fence 4", LOAD_A,
           "409 {\"error\":{\"type\":\"fenced\",\"fence\":5}}");
    expect(&at, "/v1/adapters", "", NULL, "[\"a@1\"]");
    stop(&at);
    at = start(&(sv_desc){.load_ms = 1});
    expect(&at, "/v1/load_lora_adapter", "X-Fence 5", LOAD_A, "200 ");
    expect(&at, "/v1/unload_lora_adapter", "X-Fence 4", LOAD_A, "200 ");
    stop(&at);
}
END_TEST

START_TEST(test_service_counts_runs)
{
    fixture at = start(&(sv_desc){.kind = SV_SERVICE, .service_ms = 1});
    const char *headers = "Idempotency-Key k X-Attempt r/1";
    expect(&at, "/call/book", headers, "{}", "\"run\":1");
    expect(&at, "/control", "", "{\"order\":\"lose_answers\",\"count\":1}",
           "200 ");
    expect(&at, "/call/book", headers, "{}", "0 ");
    expect(&at, "/call/book", headers, "{}", "\"run\":3");
    expect(&at, "/control", "", "{\"order\":\"down\",\"ms\":0}", "200 ");
    expect(&at, "/call/book", headers, "{}", "503 ");
    expect(&at, "/control", "", "{\"order\":\"heal\"}", "200 ");
    expect(&at, "/call/book", headers, "{}", "\"run\":4");
    stop(&at);
}
END_TEST

START_TEST(test_silent_connections)
{
    fixture at = start(&(sv_desc){.kind = SV_SERVICE, .service_ms = 1});
    expect(&at, "/healthz", "", NULL, "200 ");
    fixture other = at;
    other.session = soup_session_new();
    expect(&other, "/control", "", "{\"order\":\"silent\"}", "200 ");
    answer silent = {0};
    begin(&at, "/healthz", "", NULL, &silent);
    g_object_unref(other.session);
    other.session = soup_session_new();
    expect(&other, "/healthz", "", NULL, "200 ");
    ck_assert(!silent.done);
    soup_session_abort(at.session);
    wait_for(&silent);
    ck_assert_uint_eq(silent.status, 0);
    g_free(silent.text);
    g_object_unref(other.session);
    stop(&at);
}
END_TEST

START_TEST(test_weights)
{
    wt_weights *weights =
        wt_create(&(wt_desc){.loads_per_s = 10, .full_speed = 1});
    uint32_t ms = 0;
    uint64_t now_us = 1000000;
    ck_assert_int_eq(wt_begin(weights, now_us, &ms), WT_START_DEFAULT);
    ck_assert_uint_eq(ms, 250);
    ck_assert_int_eq(wt_begin(weights, now_us, &ms), WT_START_DEFAULT);
    ck_assert_uint_eq(ms, 500);
    ck_assert_int_eq(wt_begin(weights, now_us, &ms), WT_OVER_RATE);
    wt_fail(weights, 1);
    now_us += 100000;
    ck_assert_int_eq(wt_begin(weights, now_us, &ms), WT_FAILS);
    wt_end(weights);
    wt_end(weights);
    ck_assert_uint_eq(wt_query_in_transit(weights), 0);
    wt_destroy(weights);
}
END_TEST

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

START_TEST(test_cache_events)
{
    pc_cache *cache =
        pc_create(&(pc_desc){.capacity = 1, .lag_ms = 1, .gap_every = 3});
    ck_assert(!pc_touch(cache, 1000, "a"));
    ck_assert(pc_touch(cache, 1000, "a"));
    ck_assert(!pc_touch(cache, 1000, "b"));
    g_autofree char *early = pc_query_json(cache, 1500, 0);
    ck_assert_str_eq(early, "{\"next\":0,\"events\":[]}");
    g_autofree char *late = pc_query_json(cache, 2000, 1);
    ck_assert_str_eq(late, "{\"next\":2,\"events\":[{\"seq\":2,\"prefix\":"
                           "\"92eb5ffee6ae2fec\",\"added\":true}]}");
    pc_destroy(cache);
}
END_TEST

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
