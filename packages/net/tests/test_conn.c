/* Tests of connections on the event loop. */
#include "lacewing/conn.h"
#include <arpa/inet.h>
#include <check.h>
#include <glib.h>
#include <malloc.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define PIECE_BYTES 65536
#define FIRST_BYTES (8 * 1024 * 1024) /* more than the sockets hold */
#define PIECES 1500
#define MAX_HEAP_BYTES ((size_t)4 * FIRST_BYTES)

static size_t
on_data(nc_conn *conn, const char *bytes, size_t count, void *user_data)
{
    (void)conn;
    (void)bytes;
    (void)user_data;
    return count;
}

static void
on_closed(nc_conn *conn, nc_end end, void *user_data)
{
    (void)conn;
    (void)end;
    *(nc_conn **)user_data = NULL;
}

static const nc_callbacks callbacks = {.data = on_data, .closed = on_closed};

static void
on_accepted(nc_conn *conn, void *user_data)
{
    *(nc_conn **)user_data = conn;
    nc_set_callbacks(conn, &callbacks, user_data);
}

static size_t
query_heap_bytes(void)
{
    struct mallinfo2 heap = mallinfo2();
    return heap.uordblks + heap.hblkhd;
}

/* Connects a plain socket to the hub; sets *conn to its other end. */
static int
connect_to(nc_hub *hub, nc_conn **conn)
{
    struct sockaddr_in name = {.sin_family = AF_INET};
    socklen_t size = sizeof(name);
    inet_pton(AF_INET, "127.0.0.1", &name.sin_addr);
    int probe = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(bind(probe, (struct sockaddr *)&name, size), 0);
    getsockname(probe, (struct sockaddr *)&name, &size);
    close(probe);
    g_autofree char *address =
        g_strdup_printf("127.0.0.1:%u", ntohs(name.sin_port));
    ck_assert_ptr_nonnull(nc_listen(hub, address, on_accepted, conn, NULL));
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(connect(fd, (struct sockaddr *)&name, size), 0);
    while (!*conn) {
        g_main_context_iteration(NULL, TRUE);
    }
    return fd;
}

/* Guards against bytes that stay in memory after they were sent, until the
   peer has taken all others: one that reads all the time but is always a
   little behind would use up the memory. */
START_TEST(test_sent_bytes_of_a_peer_that_is_behind_are_freed)
{
    lp_loop *loop = lp_create();
    nc_hub *hub = nc_create(&(nc_hub_desc){.loop = loop});
    nc_conn *conn = NULL;
    int fd = connect_to(hub, &conn);
    g_autofree char *bytes = g_malloc0(FIRST_BYTES);
    size_t before = query_heap_bytes();
    size_t written = FIRST_BYTES;
    size_t received = 0;
    nc_write(conn, bytes, FIRST_BYTES);
    for (int i = 0; i < PIECES; i++) {
        nc_write(conn, bytes, PIECE_BYTES);
        written += PIECE_BYTES;
        g_main_context_iteration(NULL, FALSE);
        ck_assert_ptr_nonnull(conn);
        ck_assert_uint_gt(nc_query_unsent(conn), 0);
        ssize_t count = recv(fd, bytes, PIECE_BYTES, MSG_WAITALL);
        ck_assert_int_eq(count, PIECE_BYTES);
        received += (size_t)count;
        ck_assert_uint_lt(query_heap_bytes() - before, MAX_HEAP_BYTES);
    }
    ck_assert_uint_ge(nc_query_sent(conn), received);
    ck_assert_uint_eq(nc_query_sent(conn) + nc_query_unsent(conn), written);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("conn");
    tcase_set_timeout(tcase, 30);
    tcase_add_test(tcase, test_sent_bytes_of_a_peer_that_is_behind_are_freed);
    Suite *suite = suite_create("conn");
    suite_add_tcase(suite, tcase);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
