/* Tests of callers' connections over sockets: answers arrive whole, and
   requests are not lost when a connection closes. */
#include "caller.h"
#include "run.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ADDRESS "127.0.0.1:18473"
#define PORT 18473
/* More than the socket buffers of both ends hold. */
#define LARGE_BYTES (16 * 1024 * 1024)
/* What a slow caller reads every 10 ms. */
#define READ_BYTES (64 * 1024)
#define REQUEST "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"

typedef struct fixture {
    lp_loop *loop;
    nc_hub *hub;
    cr_port *port;
    size_t body_count;
    uint32_t requests;
} fixture;

static void *
respond_at_once(cr_conn *conn, const h1_head *head, const char *body,
                size_t body_count, void *user_data)
{
    (void)head;
    (void)body;
    (void)body_count;
    fixture *f = user_data;
    f->requests++;
    g_autofree char *bytes = g_malloc0(f->body_count + 1);
    cr_respond(conn, &(cr_answer){.status = 200,
                                  .body = bytes,
                                  .body_count = f->body_count});
    return NULL;
}

static void
ignore_gone(void *request, cr_gone_reason why, void *user_data)
{
    (void)request;
    (void)why;
    (void)user_data;
}

static const cr_callbacks callbacks = {.request = respond_at_once,
                                       .gone = ignore_gone};

static fixture *
create_fixture(size_t body_count)
{
    fixture *f = g_new0(fixture, 1);
    er_status status = {0};
    f->loop = lp_create();
    f->hub = nc_create(&(nc_hub_desc){.loop = f->loop});
    f->body_count = body_count;
    f->port = cr_create(&(cr_desc){.hub = f->hub,
                                   .loop = f->loop,
                                   .address = ADDRESS,
                                   .callbacks = &callbacks,
                                   .user_data = f},
                        &status);
    ck_assert_msg(f->port != NULL, "%s", status.message);
    return f;
}

static void
run_loop(fixture *f)
{
    while (g_main_context_iteration(NULL, FALSE)) {
    }
    cr_tick(f->port, lp_query_clock_us());
}

static void
run_loop_ms(fixture *f, uint32_t ms)
{
    for (uint32_t spent_ms = 0; spent_ms < ms; spent_ms += 10) {
        run_loop(f);
        g_usleep(10000);
    }
}

static int
connect_caller(void)
{
    struct sockaddr_in name = {.sin_family = AF_INET, .sin_port = htons(PORT)};
    inet_pton(AF_INET, "127.0.0.1", &name.sin_addr);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(connect(fd, (struct sockaddr *)&name, sizeof(name)), 0);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    return fd;
}

static void
send_text(int fd, const char *text)
{
    ck_assert_int_eq(send(fd, text, strlen(text), MSG_NOSIGNAL),
                     (ssize_t)strlen(text));
}

/* Reads until the connection ends and returns the number of bytes. *whole: it
   ended in order, not with a reset or by the limit of 2000 reads. */
static size_t
read_slowly(fixture *f, int fd, bool *whole)
{
    g_autofree char *bytes = g_malloc(READ_BYTES);
    size_t sum = 0;
    for (uint32_t i = 0; i < 2000; i++) {
        run_loop(f);
        ssize_t count = recv(fd, bytes, READ_BYTES, 0);
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

/* Guards against cutting off an answer that a slow caller is still reading
   when the connection closes after it. */
START_TEST(test_slow_caller_gets_whole_last_answer)
{
    fixture *f = create_fixture(LARGE_BYTES);
    int fd = connect_caller();
    send_text(fd, "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    run_loop_ms(f, 100);
    bool whole = false;
    ck_assert_uint_gt(read_slowly(f, fd, &whole), LARGE_BYTES);
    ck_assert(whole);
    close(fd);
}
END_TEST

/* Guards against losing a request that is still unread in the socket when a
   stopping instance closes its idle connections. */
START_TEST(test_request_in_socket_is_answered_before_idle_close)
{
    fixture *f = create_fixture(2);
    int fd = connect_caller();
    send_text(fd, REQUEST);
    run_loop_ms(f, 100);
    char bytes[512];
    ck_assert_int_gt(recv(fd, bytes, sizeof(bytes), 0), 0);
    cr_disable_keep_alive(f->port);
    send_text(fd, REQUEST);
    g_usleep(20000);
    cr_close_idle(f->port);
    bool whole = false;
    ck_assert_uint_gt(read_slowly(f, fd, &whole), 0);
    ck_assert(whole);
    ck_assert_uint_eq(f->requests, 2);
    close(fd);
}
END_TEST

/* The same when a connection reaches the configured idle limit. */
START_TEST(test_request_in_socket_is_answered_at_idle_timeout)
{
    fixture *f = create_fixture(2);
    cr_set_limits(f->port, &(rc_limits){.idle_ms = 200});
    int fd = connect_caller();
    send_text(fd, REQUEST);
    run_loop_ms(f, 100);
    char bytes[512];
    ck_assert_int_gt(recv(fd, bytes, sizeof(bytes), 0), 0);
    /* The loop is blocked until the limit is past. */
    g_usleep(150000);
    send_text(fd, REQUEST);
    g_usleep(20000);
    cr_tick(f->port, lp_query_clock_us());
    bool whole = false;
    ck_assert_uint_gt(read_slowly(f, fd, &whole), 0);
    ck_assert_uint_eq(f->requests, 2);
    close(fd);
}
END_TEST

/* Guards against a 408 for a head whose rest arrived in time but was not read
   yet, as the loop was blocked. */
START_TEST(test_rest_of_head_in_socket_is_read_at_head_timeout)
{
    fixture *f = create_fixture(2);
    cr_set_limits(f->port, &(rc_limits){.head_ms = 200});
    int fd = connect_caller();
    send_text(fd, "GET /x HTTP/1.1\r\n");
    run_loop_ms(f, 100);
    send_text(fd, "Host: h\r\n\r\n");
    g_usleep(150000);
    cr_tick(f->port, lp_query_clock_us());
    run_loop_ms(f, 100);
    char bytes[512] = "";
    ck_assert_int_gt(recv(fd, bytes, sizeof(bytes) - 1, 0), 0);
    ck_assert_ptr_nonnull(strstr(bytes, "200"));
    ck_assert_uint_eq(f->requests, 1);
    close(fd);
}
END_TEST

/* Guards against closing a new connection before its first request arrives.
   While most instances of a zone stop, the platform still sends callers to
   stopping ones. */
START_TEST(test_new_connection_may_send_request_during_stop)
{
    fixture *f = create_fixture(2);
    cr_disable_keep_alive(f->port);
    int fd = connect_caller();
    run_loop_ms(f, 20);
    ck_assert_uint_eq(cr_query_open_connections(f->port), 1);
    cr_close_idle(f->port);
    run_loop_ms(f, 20);
    send_text(fd, REQUEST);
    bool whole = false;
    ck_assert_uint_gt(read_slowly(f, fd, &whole), 0);
    ck_assert(whole);
    ck_assert_uint_eq(f->requests, 1);
    close(fd);
}
END_TEST

/* A new connection that sends nothing must not delay the stop. */
START_TEST(test_silent_new_connection_is_closed_during_stop)
{
    fixture *f = create_fixture(2);
    cr_disable_keep_alive(f->port);
    int fd = connect_caller();
    for (uint32_t i = 0; i < 5; i++) {
        run_loop_ms(f, 100);
        cr_close_idle(f->port);
    }
    bool whole = false;
    ck_assert_uint_eq(read_slowly(f, fd, &whole), 0);
    ck_assert(whole);
    close(fd);
}
END_TEST

/* Guards against losing the answer to a request that is read in the last
   iteration of the loop before the port is destroyed. */
START_TEST(test_answer_of_last_loop_iteration_is_sent)
{
    fixture *f = create_fixture(2);
    int fd = connect_caller();
    send_text(fd, REQUEST);
    for (uint32_t i = 0; i < 100 && f->requests == 0; i++) {
        g_usleep(1000);
        g_main_context_iteration(NULL, FALSE);
    }
    ck_assert_uint_eq(f->requests, 1);
    cr_destroy(f->port);
    g_usleep(20000);
    char bytes[512] = "";
    ck_assert_int_gt(recv(fd, bytes, sizeof(bytes) - 1, 0), 0);
    ck_assert_ptr_nonnull(strstr(bytes, "200"));
    close(fd);
}
END_TEST

/* Longer than a connection to a silent peer stays open. */
#define UNREAD_MS 3500

/* Guards against taking a caller for gone that is alive but reads nothing for
   a while: its machine still acknowledges. */
START_TEST(test_caller_that_reads_late_gets_whole_answer)
{
    fixture *f = create_fixture(LARGE_BYTES);
    int fd = connect_caller();
    send_text(fd, _i ? "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                       "\r\n"
                     : REQUEST);
    run_loop_ms(f, UNREAD_MS);
    cr_disable_keep_alive(f->port);
    cr_close_idle(f->port);
    bool whole = false;
    ck_assert_uint_gt(read_slowly(f, fd, &whole), LARGE_BYTES);
    ck_assert(whole);
    close(fd);
}
END_TEST

/* Guards against callers that hold memory for good by reading nothing. */
START_TEST(test_caller_that_reads_nothing_ends_at_idle_limit)
{
    fixture *f = create_fixture(LARGE_BYTES);
    cr_set_limits(f->port, &(rc_limits){.idle_ms = 1000});
    int fd = connect_caller();
    send_text(fd, REQUEST);
    run_loop_ms(f, 500);
    ck_assert_uint_eq(cr_query_open_connections(f->port), 1);
    run_loop_ms(f, 1500);
    ck_assert_uint_eq(cr_query_open_connections(f->port), 0);
    close(fd);
}
END_TEST

/* Lets the kernel drop all that arrives at a socket, as if its machine had no
   power. */
static void
silence(int fd)
{
    struct sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
    struct sock_fprog program = {.len = 1, .filter = &drop_all};
    ck_assert_int_eq(setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
                                sizeof(program)),
                     0);
}

static const size_t silent_caller_answers[] = {2, LARGE_BYTES};

/* Guards against callers whose machine is gone being noticed only at the idle
   limit, whether or not their window was closed before. */
START_TEST(test_silent_caller_is_noticed_within_seconds)
{
    fixture *f = create_fixture(silent_caller_answers[_i]);
    int fd = connect_caller();
    send_text(fd, "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    silence(fd);
    run_loop_ms(f, 4000);
    ck_assert_uint_eq(cr_query_open_connections(f->port), 0);
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
    tcase_add_test(tcase, test_request_in_socket_is_answered_at_idle_timeout);
    tcase_add_test(tcase, test_rest_of_head_in_socket_is_read_at_head_timeout);
    tcase_add_test(tcase, test_answer_of_last_loop_iteration_is_sent);
    tcase_add_test(tcase, test_new_connection_may_send_request_during_stop);
    tcase_add_test(tcase, test_silent_new_connection_is_closed_during_stop);
    tcase_add_loop_test(tcase, test_caller_that_reads_late_gets_whole_answer,
                        0, 2);
    tcase_add_test(tcase, test_caller_that_reads_nothing_ends_at_idle_limit);
    tcase_add_loop_test(tcase, test_silent_caller_is_noticed_within_seconds, 0,
                        G_N_ELEMENTS(silent_caller_answers));
    return run_case("caller", tcase);
}
