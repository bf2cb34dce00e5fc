/* Tests of the callers' connections over sockets: whole answers, closing. */
#include "caller.h"
#include "run.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ADDRESS "127.0.0.1:18473"
#define PORT 18473
/* More than the sockets of both ends take. */
#define LARGE_BYTES (16 * 1024 * 1024)
/* What a slow caller takes in each 10 ms. */
#define SIP_BYTES (64 * 1024)
#define REQUEST "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"

typedef struct desk {
    lp_loop *loop;
    nc_hub *hub;
    cr_port *port;
    size_t body_count;
    uint32_t requests;
} desk;

static void *
answer_at_once(cr_conn *conn, const h1_head *head, const char *body,
               size_t body_count, void *user_data)
{
    (void)head;
    (void)body;
    (void)body_count;
    desk *d = user_data;
    d->requests++;
    g_autofree char *bytes = g_malloc0(d->body_count + 1);
    cr_respond(conn, &(cr_answer){.status = 200,
                                  .body = bytes,
                                  .body_count = d->body_count});
    return NULL;
}

static void
ignore_gone(void *request, void *user_data)
{
    (void)request;
    (void)user_data;
}

static const cr_calls calls = {.request = answer_at_once, .gone = ignore_gone};

static desk *
make_desk(size_t body_count)
{
    desk *d = g_new0(desk, 1);
    er_status status = {0};
    d->loop = lp_create();
    d->hub = nc_create(&(nc_hub_desc){.loop = d->loop});
    d->body_count = body_count;
    d->port = cr_create(&(cr_desc){.hub = d->hub,
                                   .loop = d->loop,
                                   .address = ADDRESS,
                                   .calls = &calls,
                                   .user_data = d},
                        &status);
    ck_assert_msg(d->port != NULL, "%s", status.message);
    return d;
}

static void
turn(desk *d)
{
    while (g_main_context_iteration(NULL, FALSE)) {
    }
    cr_tick(d->port, lp_query_clock_us());
}

static void
turn_ms(desk *d, uint32_t ms)
{
    for (uint32_t spent_ms = 0; spent_ms < ms; spent_ms += 10) {
        turn(d);
        g_usleep(10000);
    }
}

static int
dial(void)
{
    struct sockaddr_in name = {.sin_family = AF_INET, .sin_port = htons(PORT)};
    inet_pton(AF_INET, "127.0.0.1", &name.sin_addr);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(connect(fd, (struct sockaddr *)&name, sizeof(name)), 0);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    return fd;
}

static void
say(int fd, const char *text)
{
    ck_assert_int_eq(send(fd, text, strlen(text), MSG_NOSIGNAL),
                     (ssize_t)strlen(text));
}

/* Bytes read until the end of the connection; *whole: it ended in order. */
static size_t
read_slowly(desk *d, int fd, bool *whole)
{
    g_autofree char *bytes = g_malloc(SIP_BYTES);
    size_t sum = 0;
    for (uint32_t i = 0; i < 2000; i++) {
        turn(d);
        ssize_t count = recv(fd, bytes, SIP_BYTES, 0);
        if (count > 0) {
            sum += (size_t)count;
        }
        else if (count == 0 || errno != EAGAIN) {
            *whole = count == 0;
            return sum;
        }
        g_usleep(10000);
    }
    *whole = false;
    return sum;
}

/* A caller that takes an answer slowly gets all of it, also where the
   connection closes behind it. */
START_TEST(test_slow_caller_gets_whole_last_answer)
{
    desk *d = make_desk(LARGE_BYTES);
    int fd = dial();
    say(fd, "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    turn_ms(d, 100);
    bool whole = false;
    ck_assert_uint_gt(read_slowly(d, fd, &whole), LARGE_BYTES);
    ck_assert(whole);
    close(fd);
}
END_TEST

/* A request that stands in the socket when a stopping instance closes its
   idle connections is answered, not read behind the end of the connection. */
START_TEST(test_request_in_socket_is_answered_before_idle_close)
{
    desk *d = make_desk(2);
    int fd = dial();
    say(fd, REQUEST);
    turn_ms(d, 100);
    char bytes[512];
    ck_assert_int_gt(recv(fd, bytes, sizeof(bytes), 0), 0);
    cr_leave(d->port);
    say(fd, REQUEST);
    g_usleep(20000);
    cr_close_idle(d->port);
    bool whole = false;
    ck_assert_uint_gt(read_slowly(d, fd, &whole), 0);
    ck_assert(whole);
    ck_assert_uint_eq(d->requests, 2);
    close(fd);
}
END_TEST

/* The same where the configuration's limit of idle connections is reached. */
START_TEST(test_request_in_socket_is_answered_at_the_idle_limit)
{
    desk *d = make_desk(2);
    cr_set_limits(d->port, &(rc_limits){.idle_ms = 200});
    int fd = dial();
    say(fd, REQUEST);
    turn_ms(d, 100);
    char bytes[512];
    ck_assert_int_gt(recv(fd, bytes, sizeof(bytes), 0), 0);
    /* The loop is busy with something else over the limit. */
    g_usleep(150000);
    say(fd, REQUEST);
    g_usleep(20000);
    cr_tick(d->port, lp_query_clock_us());
    bool whole = false;
    ck_assert_uint_gt(read_slowly(d, fd, &whole), 0);
    ck_assert_uint_eq(d->requests, 2);
    close(fd);
}
END_TEST

/* The rest of a head that came in time, while the loop was busy, counts. */
START_TEST(test_rest_of_head_in_socket_is_read_at_its_limit)
{
    desk *d = make_desk(2);
    cr_set_limits(d->port, &(rc_limits){.head_ms = 200});
    int fd = dial();
    say(fd, "GET /x HTTP/1.1\r\n");
    turn_ms(d, 100);
    say(fd, "Host: h\r\n\r\n");
    g_usleep(150000);
    cr_tick(d->port, lp_query_clock_us());
    turn_ms(d, 100);
    char bytes[512] = "";
    ck_assert_int_gt(recv(fd, bytes, sizeof(bytes) - 1, 0), 0);
    ck_assert_ptr_nonnull(strstr(bytes, "200"));
    ck_assert_uint_eq(d->requests, 1);
    close(fd);
}
END_TEST

/* A caller that the platform sent to a stopping instance, as it does while
   most of a zone stop, has connected; its first request is on its way. */
START_TEST(test_new_connection_may_ask_in_a_stop)
{
    desk *d = make_desk(2);
    cr_leave(d->port);
    int fd = dial();
    turn_ms(d, 20);
    ck_assert_uint_eq(cr_query_open(d->port), 1);
    cr_close_idle(d->port);
    turn_ms(d, 20);
    say(fd, REQUEST);
    bool whole = false;
    ck_assert_uint_gt(read_slowly(d, fd, &whole), 0);
    ck_assert(whole);
    ck_assert_uint_eq(d->requests, 1);
    close(fd);
}
END_TEST

/* One that asks nothing does not hold up the stop. */
START_TEST(test_silent_new_connection_is_closed_in_a_stop)
{
    desk *d = make_desk(2);
    cr_leave(d->port);
    int fd = dial();
    for (uint32_t i = 0; i < 5; i++) {
        turn_ms(d, 100);
        cr_close_idle(d->port);
    }
    bool whole = false;
    ck_assert_uint_eq(read_slowly(d, fd, &whole), 0);
    ck_assert(whole);
    close(fd);
}
END_TEST

/* A request that is read in the last turn of the loop has its answer. */
START_TEST(test_answer_of_the_last_turn_leaves)
{
    desk *d = make_desk(2);
    int fd = dial();
    say(fd, REQUEST);
    for (uint32_t i = 0; i < 100 && d->requests == 0; i++) {
        g_usleep(1000);
        g_main_context_iteration(NULL, FALSE);
    }
    ck_assert_uint_eq(d->requests, 1);
    cr_destroy(d->port);
    g_usleep(20000);
    char bytes[512] = "";
    ck_assert_int_gt(recv(fd, bytes, sizeof(bytes) - 1, 0), 0);
    ck_assert_ptr_nonnull(strstr(bytes, "200"));
    close(fd);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("caller");
    tcase_set_timeout(tcase, 30);
    tcase_add_test(tcase, test_slow_caller_gets_whole_last_answer);
    tcase_add_test(tcase,
                   test_request_in_socket_is_answered_before_idle_close);
    tcase_add_test(tcase,
                   test_request_in_socket_is_answered_at_the_idle_limit);
    tcase_add_test(tcase, test_rest_of_head_in_socket_is_read_at_its_limit);
    tcase_add_test(tcase, test_answer_of_the_last_turn_leaves);
    tcase_add_test(tcase, test_new_connection_may_ask_in_a_stop);
    tcase_add_test(tcase, test_silent_new_connection_is_closed_in_a_stop);
    return run_case("caller", tcase);
}
