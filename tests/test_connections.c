/* End-to-end tests of a caller's HTTP connection with real processes:
   keep-alive, pipelining, invalid framing and disconnects. */
#include "http.h"
#include "shop.h"
#include <check.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define RESPONSE_TIMEOUT_MS 5000
#define OVERSIZED_HEAD_BYTES (2 * 1024 * 1024) /* far above the limit */
#define GET_READY "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n"
#define GET_LAST "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"

static hn_fleet *fleet;

static void
start(void)
{
    fleet = sp_start(false);
}

static void
stop(void)
{
    hn_destroy(fleet);
}

static void
send_all(int fd, const char *bytes, size_t count)
{
    while (count) {
        ssize_t sent = send(fd, bytes, count, MSG_NOSIGNAL);
        if (sent <= 0) {
            return;
        }
        bytes += sent;
        count -= (size_t)sent;
    }
}

static uint32_t
count_occurrences(const char *text, const char *part)
{
    g_auto(GStrv) parts = g_strsplit(text, part, -1);
    return g_strv_length(parts) - 1;
}

/* Reads until that many responses have arrived, the connection ends or no byte
   arrives for RESPONSE_TIMEOUT_MS. */
static char *
read_responses(int fd, uint32_t count, bool *ended)
{
    g_autoptr(GString) text = g_string_new("");
    *ended = false;
    while (!*ended) {
        const char *head_end = g_strrstr(text->str, "\r\n\r\n");
        bool complete = head_end && head_end[strlen("\r\n\r\n")];
        if (complete && count_occurrences(text->str, "HTTP/1.1 ") >= count) {
            break;
        }
        struct pollfd wait = {.fd = fd, .events = POLLIN};
        if (poll(&wait, 1, RESPONSE_TIMEOUT_MS) <= 0) {
            break;
        }
        char bytes[4096];
        ssize_t size = recv(fd, bytes, sizeof(bytes), 0);
        *ended = size <= 0;
        g_string_append_len(text, bytes, MAX(size, 0));
    }
    return g_strdup(text->str);
}

static int
connect_to_a(void)
{
    int fd = ht_connect(hn_query_url(hn_find(fleet, "a")));
    ck_assert_int_ge(fd, 0);
    return fd;
}

START_TEST(test_connection_is_kept_alive)
{
    int fd = connect_to_a();
    for (uint32_t i = 0; i < 3; i++) {
        bool last = i == 2;
        const char *request = last ? GET_LAST : GET_READY;
        send_all(fd, request, strlen(request));
        bool ended = false;
        g_autofree char *text =
            read_responses(fd, last ? UINT32_MAX : 1, &ended);
        ck_assert_msg(count_occurrences(text, "HTTP/1.1 200") == 1, "%u: %s",
                      i, text);
        ck_assert_int_eq(ended, last);
    }
    close(fd);
}
END_TEST

START_TEST(test_pipelined_requests_are_all_answered)
{
    int fd = connect_to_a();
    const char *requests = GET_READY GET_READY GET_LAST;
    send_all(fd, requests, strlen(requests));
    bool ended = false;
    g_autofree char *text = read_responses(fd, UINT32_MAX, &ended);
    ck_assert_msg(count_occurrences(text, "HTTP/1.1 200") == 3, "%s", text);
    ck_assert(ended);
    close(fd);
}
END_TEST

/* Requests before the refused one on the same connection are answered. */
static const struct {
    const char *bytes;
    const char *statuses_expected; /* in the order of the requests */
} invalid_requests[] = {
    {"POST /v1/services/quote HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
     "Content-Length: 3\r\n\r\n{} ",
     "400"},
    {"POST /v1/services/quote HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     "400"},
    {"GET /readyz HTTP/1.1\r\nHost : x\r\n\r\n", "400"},
    {"nothing that is HTTP\r\n\r\n", "400"},
    {GET_READY "GET /readyz HTTP/1.1\r\nContent-Length: 1\r\n"
               "Content-Length: 2\r\n\r\n",
     "200 400"},
};

static char *
join_statuses(const char *text)
{
    g_auto(GStrv) parts = g_strsplit(text, "HTTP/1.1 ", -1);
    g_autoptr(GString) out = g_string_new("");
    for (uint32_t i = 1; parts[i]; i++) {
        g_string_append_printf(out, "%s%.3s", out->len ? " " : "", parts[i]);
    }
    return g_strdup(out->str);
}

START_TEST(test_invalid_request_is_refused_and_the_connection_closed)
{
    for (size_t i = 0; i < G_N_ELEMENTS(invalid_requests); i++) {
        for (size_t piece = 1; piece <= 4096; piece *= 16) {
            int fd = connect_to_a();
            size_t count = strlen(invalid_requests[i].bytes);
            for (size_t at = 0; at < count; at += piece) {
                send_all(fd, invalid_requests[i].bytes + at,
                         MIN(piece, count - at));
            }
            bool ended = false;
            g_autofree char *text = read_responses(fd, UINT32_MAX, &ended);
            g_autofree char *statuses = join_statuses(text);
            ck_assert_msg(
                strcmp(statuses, invalid_requests[i].statuses_expected) == 0,
                "case %zu in pieces of %zu bytes: %s", i, piece, text);
            ck_assert(ended);
            close(fd);
        }
    }
}
END_TEST

START_TEST(test_oversized_head_is_refused_with_431)
{
    int fd = connect_to_a();
    const char *head_start = "GET /readyz HTTP/1.1\r\nHost: x\r\nX-Long: ";
    g_autofree char *value = g_strnfill(OVERSIZED_HEAD_BYTES, 'v');
    send_all(fd, head_start, strlen(head_start));
    send_all(fd, value, OVERSIZED_HEAD_BYTES);
    bool ended = false;
    g_autofree char *text = read_responses(fd, UINT32_MAX, &ended);
    ck_assert_msg(g_str_has_prefix(text, "HTTP/1.1 431 "), "%s", text);
    close(fd);
}
END_TEST

static uint64_t
query_cancelled_total(void)
{
    g_autofree char *url =
        g_strdup_printf("%s/metrics", hn_query_url(hn_find(fleet, "a")));
    g_auto(ht_response) page = {0};
    ht_send_request(&(ht_desc){.url = url}, &page);
    const char *line = strstr(page.body, "\nlacewing_cancelled_total ");
    ck_assert(line);
    return g_ascii_strtoull(strchr(line, ' ') + 1, NULL, 10);
}

/* Guards against a request that keeps its slot after its caller has
   disconnected: it must be cancelled within 1 s. */
START_TEST(test_disconnect_on_a_kept_connection_cancels_the_request)
{
    int fd = connect_to_a();
    send_all(fd, GET_READY, strlen(GET_READY));
    bool ended = false;
    g_autofree char *text = read_responses(fd, 1, &ended);
    ck_assert_msg(count_occurrences(text, "HTTP/1.1 200") == 1, "%s", text);
    const char *body = "{\"model\":\"shop-1@v1\",\"prompt\":\"long\","
                       "\"max_tokens\":512,\"stream\":true}";
    g_autofree char *request =
        g_strdup_printf("POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                        "Authorization: Bearer " SHOP_KEY "\r\n"
                        "Content-Length: %zu\r\n\r\n%s",
                        strlen(body), body);
    uint64_t before = query_cancelled_total();
    send_all(fd, request, strlen(request));
    struct pollfd wait = {.fd = fd, .events = POLLIN};
    ck_assert_int_gt(poll(&wait, 1, RESPONSE_TIMEOUT_MS), 0);
    close(fd);
    for (uint32_t i = 0; i < 50; i++) {
        if (query_cancelled_total() > before) {
            return;
        }
        g_usleep(20000);
    }
    ck_abort_msg(
        "the request was not cancelled after the caller had disconnected");
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("connections");
    TCase *tests = tcase_create("all");
    tcase_set_timeout(tests, 120);
    tcase_add_unchecked_fixture(tests, start, stop);
    tcase_add_test(tests, test_connection_is_kept_alive);
    tcase_add_test(tests, test_pipelined_requests_are_all_answered);
    tcase_add_test(tests,
                   test_invalid_request_is_refused_and_the_connection_closed);
    tcase_add_test(tests, test_oversized_head_is_refused_with_431);
    tcase_add_test(tests,
                   test_disconnect_on_a_kept_connection_cancels_the_request);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_set_fork_status(runner, CK_NOFORK);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
