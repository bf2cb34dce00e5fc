/* Tests of the links between instances. */
#include "peers.h"
#include <check.h>
#include <gio/gio.h>
#include <stdlib.h>
#include <string.h>

#define SETTLE_US (300 * 1000)

typedef struct end {
    pe_peers *peers;
    char *address;
    const char *other; /* name and address of the other end */
    const char *other_address;
    uint32_t lost;
} end;

static Lacewing__Envelope cancel_envelope;
static Lacewing__Cancel cancel;

static void
on_message(const pe_peer *peer, const Lacewing__Envelope *envelope, void *data)
{
    (void)peer;
    (void)envelope;
    (void)data;
}

/* As an instance does that has forwards open to the other at any time. */
static void
on_lost(const char *instance, void *data)
{
    end *at = data;
    at->lost++;
    pe_send(at->peers, instance, at->other_address, &cancel_envelope);
}

/* Listens on a port that was free a moment ago. */
static void
end_setup(end *at, const char *name, uint64_t incarnation)
{
    while (!at->peers) {
        g_autoptr(GSocketListener) probe = g_socket_listener_new();
        guint16 port = g_socket_listener_add_any_inet_port(probe, NULL, NULL);
        g_socket_listener_close(probe);
        g_free(at->address);
        at->address = g_strdup_printf("127.0.0.1:%u", port);
        er_status status = {0};
        at->peers = pe_create(&(pe_desc){.instance = name,
                                         .zone = "z",
                                         .address = at->address,
                                         .incarnation = incarnation,
                                         .on_message = on_message,
                                         .on_lost = on_lost,
                                         .user_data = at},
                              &status);
    }
}

static void
run_for(gint64 time_us)
{
    gint64 until_us = g_get_monotonic_time() + time_us;
    while (g_get_monotonic_time() < until_us) {
        if (!g_main_context_iteration(NULL, FALSE)) {
            g_usleep(200);
        }
    }
}

START_TEST(test_replaced_link_is_not_replaced_again)
{
    lacewing__envelope__init(&cancel_envelope);
    lacewing__cancel__init(&cancel);
    cancel_envelope.body_case = LACEWING__ENVELOPE__BODY_CANCEL;
    cancel_envelope.cancel = &cancel;
    end a = {0};
    end b = {0};
    end restarted = {0};
    end_setup(&a, "a", 1);
    end_setup(&b, "b", 1);
    pe_send(b.peers, "a", a.address, &cancel_envelope);
    run_for(SETTLE_US);
    ck_assert(pe_query_linked(a.peers, "b"));
    /* The link of the former process has not been seen to end. */
    end_setup(&restarted, "b", 2);
    a.other_address = restarted.address;
    pe_send(restarted.peers, "a", a.address, &cancel_envelope);
    run_for(SETTLE_US);
    ck_assert(pe_query_linked(a.peers, "b"));
    ck_assert(pe_query_linked(restarted.peers, "a"));
    ck_assert_uint_eq(a.lost, 1);
    ck_assert_uint_eq(restarted.lost, 0);
    pe_destroy(a.peers);
    pe_destroy(b.peers);
    pe_destroy(restarted.peers);
    g_free(a.address);
    g_free(b.address);
    g_free(restarted.address);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("peers");
    TCase *tests = tcase_create("all");
    tcase_add_test(tests, test_replaced_link_is_not_replaced_again);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
