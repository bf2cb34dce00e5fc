/* End-to-end tests of the callers' port with real processes: invalid requests,
   malformed connections and valid requests. */
#include "http.h"
#include "shop.h"
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

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

/* -- invalid requests ----------------------------------------------------- */

static const struct {
    const char *path;
    const char *body;
    const char *key;
    const char *idempotency_key;
    uint32_t status;
    const char *type;
} bad_requests[] = {
    {"/v1/completions", "{\"model\":\"shop-1@v1\",\"prompt\":\"x\"}", NULL,
     NULL, 401, "unauthorized"},
    {"/v1/completions", "{\"model\":\"shop-1@v1\",\"prompt\":\"x\"}", "wrong",
     NULL, 401, "unauthorized"},
    {"/v1/completions", "{\"model\":\"shop-1@v1\",\"prompt\":\"x\"}",
     OTHER_KEY, NULL, 403, "forbidden"},
    {"/v1/completions", "{\"model\":\"shop-99@v1\",\"prompt\":\"x\"}",
     SHOP_KEY, NULL, 404, "unknown_model"},
    {"/v1/completions", "{\"model\":\"shop-1@v9\",\"prompt\":\"x\"}", SHOP_KEY,
     NULL, 404, "unknown_model"},
    {"/v1/completions", "{\"model\":\"shop-1@v1\"", SHOP_KEY, NULL, 400,
     "bad_request"},
    {"/v1/completions", "[]", SHOP_KEY, NULL, 400, "bad_request"},
    {"/v1/completions", "{\"model\":7,\"prompt\":{}}", SHOP_KEY, NULL, 400,
     "bad_request"},
    {"/v1/completions", "{\"model\":\"shop-1@v1\"}", SHOP_KEY, NULL, 400,
     "bad_request"},
    {"/v1/completions",
     "{\"model\":\"shop-1@v1\",\"prompt\":\"x\",\"max_tokens\":0}", SHOP_KEY,
     NULL, 400, "bad_request"},
    {"/v1/completions",
     "{\"model\":\"shop-1@v1\",\"prompt\":\"x\",\"max_tokens\":99999}",
     SHOP_KEY, NULL, 400, "bad_request"},
    {"/v1/completions", "{\"model\":\"\xff\xfe\",\"prompt\":\"x\"}", SHOP_KEY,
     NULL, 400, "bad_request"},
    {"/v1/chat/completions", "{\"model\":\"shop-1@v1\",\"messages\":[7]}",
     SHOP_KEY, NULL, 400, "bad_request"},
    {"/v1/chat/completions", "{\"model\":\"shop-1@v1\",\"messages\":\"x\"}",
     SHOP_KEY, NULL, 400, "bad_request"},
    {"/v1/services/dispatch", "{}", SHOP_KEY, NULL, 400,
     "idempotency_key_missing"},
    {"/v1/services/nothing", "{}", SHOP_KEY, "k", 404, "unknown_operation"},
    {"/v1/services/quote", "{}", SHOP_KEY, "k", 404, "unknown_operation"},
    {"/v1/nothing", "{}", SHOP_KEY, NULL, 404, "not_found"},
};

START_TEST(test_bad_requests_are_refused_as_not_run)
{
    for (size_t i = 0; i < G_N_ELEMENTS(bad_requests); i++) {
        g_autofree char *url = g_strdup_printf(
            "%s%s", hn_query_url(hn_find(fleet, "a")), bad_requests[i].path);
        g_auto(ht_response) response = {0};
        ht_send_request(
            &(ht_desc){.url = url,
                       .body = bad_requests[i].body,
                       .key = bad_requests[i].key,
                       .idempotency_key = bad_requests[i].idempotency_key},
            &response);
        g_autofree char *type = ht_query_error_field(&response, "type");
        g_autofree char *ran = ht_query_error_field(&response, "ran");
        ck_assert_msg(response.status == bad_requests[i].status,
                      "case %zu: status %u body %s", i, response.status,
                      response.body);
        ck_assert_str_eq(type, bad_requests[i].type);
        ck_assert_str_eq(ran, "not_run");
    }
}
END_TEST

START_TEST(test_oversized_body_is_refused)
{
    g_autofree char *url = g_strdup_printf("%s/v1/completions",
                                           hn_query_url(hn_find(fleet, "a")));
    g_autofree char *body = g_strnfill(200000, 'x');
    g_auto(ht_response) response = {0};
    ht_send_request(&(ht_desc){.url = url, .body = body, .key = SHOP_KEY},
                    &response);
    ck_assert_uint_eq(response.status, 413);
}
END_TEST

/* -- malformed connections ------------------------------------------------ */

static void
check_daemon_a_serves(void)
{
    g_auto(ht_response) response = {0};
    sp_complete(fleet, "a", "shop-1@v1", "after", 8, &response);
    ck_assert_msg(sp_is_expected(&response, "shop-1@v1", "after", 8), "%s",
                  response.body);
}

START_TEST(test_header_flood_and_half_open_connections_block_no_caller)
{
    const char *url = hn_query_url(hn_find(fleet, "a"));
    int fds[200];
    for (size_t i = 0; i < G_N_ELEMENTS(fds); i++) {
        fds[i] = ht_connect(url);
        const char *incomplete_head =
            "POST /v1/completions HTTP/1.1\r\nHost: x";
        send(fds[i], incomplete_head, strlen(incomplete_head), MSG_NOSIGNAL);
    }
    int flood_fd = ht_connect(url);
    g_autofree char *header = g_strnfill(1000, 'h');
    g_autofree char *line = g_strdup_printf("X-%s: 1\r\n", header);
    const char *request = "GET /healthz HTTP/1.1\r\nHost: x\r\n";
    send(flood_fd, request, strlen(request), MSG_NOSIGNAL);
    for (uint32_t i = 0; i < 5000; i++) {
        if (send(flood_fd, line, strlen(line), MSG_NOSIGNAL) < 0) {
            break;
        }
    }
    check_daemon_a_serves();
    close(flood_fd);
    for (size_t i = 0; i < G_N_ELEMENTS(fds); i++) {
        close(fds[i]);
    }
}
END_TEST

START_TEST(test_corrupt_and_truncated_frames_on_a_link_are_refused)
{
    g_autofree char *caller_url = g_strdup(hn_query_url(hn_find(fleet, "a")));
    /* The port for links follows the port for callers, see fleet.c. */
    g_auto(GStrv) parts = g_strsplit(caller_url + strlen("http://"), ":", 2);
    g_autofree char *url =
        g_strdup_printf("http://%s:%d", parts[0], atoi(parts[1]) + 1);
    static const char *const invalid_frames[] = {
        "GET / HTTP/1.1\r\n\r\n", "\xff\xff\xff\xff\xff\xff\xff\xff", "abc"};
    for (size_t i = 0; i < G_N_ELEMENTS(invalid_frames); i++) {
        int fd = ht_connect(url);
        send(fd, invalid_frames[i], strlen(invalid_frames[i]), MSG_NOSIGNAL);
        shutdown(fd, SHUT_WR);
        char buffer[4096];
        while (recv(fd, buffer, sizeof(buffer), 0) > 0) {
        }
        close(fd);
    }
    check_daemon_a_serves();
}
END_TEST

START_TEST(test_link_without_hello_is_closed)
{
    g_auto(GStrv) parts = g_strsplit(
        hn_query_url(hn_find(fleet, "a")) + strlen("http://"), ":", 2);
    g_autofree char *url =
        g_strdup_printf("http://%s:%d", parts[0], atoi(parts[1]) + 1);
    int fd = ht_connect(url);
    struct timeval wait = {.tv_sec = 20};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
    char buffer[4096];
    ssize_t size;
    while ((size = recv(fd, buffer, sizeof(buffer), 0)) > 0) {
    }
    ck_assert_int_eq(size, 0);
    close(fd);
}
END_TEST

/* -- valid requests ------------------------------------------------------- */

START_TEST(test_every_daemon_serves_both_versions)
{
    static const char *const daemons[] = {"a", "b", "c"};
    for (uint32_t i = 0; i < 12; i++) {
        g_autofree char *model = g_strdup_printf("shop-%u@v%u", i, i % 2 + 1);
        g_auto(ht_response) response = {0};
        sp_complete(fleet, daemons[i % 3], model, "hello", 12, &response);
        ck_assert_msg(sp_is_expected(&response, model, "hello", 12),
                      "%s: %u %s", model, response.status, response.body);
    }
}
END_TEST

START_TEST(test_booking_is_replayed_and_its_key_protected)
{
    g_auto(ht_response) first = {0};
    g_auto(ht_response) replayed = {0};
    g_auto(ht_response) reused = {0};
    sp_book(fleet, "a", "k1", "{\"order\":1}", &first);
    sp_book(fleet, "c", "k1", "{\"order\":1}", &replayed);
    sp_book(fleet, "b", "k1", "{\"order\":2}", &reused);
    ck_assert_uint_eq(first.status, 200);
    ck_assert_uint_eq(replayed.status, 200);
    ck_assert_str_eq(first.body, replayed.body);
    g_autofree char *type = ht_query_error_field(&reused, "type");
    ck_assert_str_eq(type, "idempotency_key_reused");
    ck_assert_uint_eq(sp_query_runs(fleet, "k1"), 1);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("callers");
    TCase *tests = tcase_create("all");
    tcase_set_timeout(tests, 120);
    tcase_add_unchecked_fixture(tests, start, stop);
    tcase_add_test(tests, test_bad_requests_are_refused_as_not_run);
    tcase_add_test(tests, test_oversized_body_is_refused);
    tcase_add_test(
        tests, test_header_flood_and_half_open_connections_block_no_caller);
    tcase_add_test(tests,
                   test_corrupt_and_truncated_frames_on_a_link_are_refused);
    tcase_add_test(tests, test_link_without_hello_is_closed);
    tcase_add_test(tests, test_every_daemon_serves_both_versions);
    tcase_add_test(tests, test_booking_is_replayed_and_its_key_protected);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_set_fork_status(runner, CK_NOFORK);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
