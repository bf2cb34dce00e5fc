/* Tests of the HTTP client: timeouts. */
#include "lacewing/http_client.h"
#include <arpa/inet.h>
#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_MS 200
/* Time that other work takes in the same iteration of the loop before the
   call: longer than the timeout. */
#define LOOP_DELAY_MS 300

typedef struct fixture {
    hc_client *client;
    char *address;
    uint64_t started_us;
    uint64_t ended_us;
    er_code code;
} fixture;

static void
on_done(const hc_answer *answer, void *user_data)
{
    fixture *d = user_data;
    d->ended_us = lp_query_clock_us();
    d->code = answer->code;
}

static void
delay_loop_then_call(lp_watch *watch, uint32_t ready, void *user_data)
{
    (void)ready;
    fixture *d = user_data;
    uint64_t number;
    ck_assert_int_eq(read(watch->fd, &number, sizeof(number)), 8);
    g_usleep(LOOP_DELAY_MS * 1000);
    d->started_us = lp_query_clock_us();
    hc_call(d->client, &(hc_request){.address = d->address,
                                     .method = "GET",
                                     .path = "/",
                                     .timeout_ms = TIMEOUT_MS,
                                     .done = on_done,
                                     .user_data = d});
}

/* The timeout must count from the call, not from the time at which the
   iteration of the loop began: after other slow work in that iteration the
   call would time out too early. */
START_TEST(test_timeout_starts_at_call)
{
    struct sockaddr_in name = {.sin_family = AF_INET};
    socklen_t size = sizeof(name);
    inet_pton(AF_INET, "127.0.0.1", &name.sin_addr);
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(bind(listener, (struct sockaddr *)&name, size), 0);
    ck_assert_int_eq(listen(listener, 8), 0);
    getsockname(listener, (struct sockaddr *)&name, &size);
    lp_loop *loop = lp_create();
    nc_hub *hub = nc_create(&(nc_hub_desc){.loop = loop});
    tm_service *timers = tm_create(&(tm_desc){0});
    fixture d = {
        .client =
            hc_create(&(hc_desc){.hub = hub, .loop = loop, .timers = timers}),
        .address = g_strdup_printf("127.0.0.1:%u", ntohs(name.sin_port))};
    lp_watch watch = {.fd = eventfd(1, EFD_NONBLOCK),
                      .call = delay_loop_then_call,
                      .user_data = &d};
    lp_set_watch(loop, &watch, LP_READ);
    /* Waits for about 2 s at most. */
    for (uint32_t i = 0; i < 2000 && d.ended_us == 0; i++) {
        g_main_context_iteration(NULL, FALSE);
        g_usleep(1000);
    }
    ck_assert_int_eq(d.code, ER_TIMEOUT);
    ck_assert_uint_ge(d.ended_us - d.started_us, TIMEOUT_MS * 1000);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("call");
    tcase_add_test(tcase, test_timeout_starts_at_call);
    Suite *suite = suite_create("call");
    suite_add_tcase(suite, tcase);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
