/* Tests that the message that a server leaves reaches every other instance
   exactly once: directly among 3 instances, through relays among 120. All
   instances run in one process and exchange real datagrams. */
#include "exchange.pb-c.h"
#include "gossip.h"
#include "run.h"
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#define INSTANCES_MAX 120

typedef struct instance {
    char name[16];
    char zone[16];
    char address[32];
    int leaving_count; /* messages received that a server leaves */
    fl_fleet *fleet;
    le_lease *lease;
    gp_peers *peers;
} instance;

static instance instances[INSTANCES_MAX];
static int count;

static void
on_server_leaving(const char *id, uint64_t born_ms, void *user_data)
{
    ck_assert_str_eq(id, "i-1");
    ck_assert_uint_eq(born_ms, 77);
    ((instance *)user_data)->leaving_count++;
}

static const gp_callbacks callbacks = {.server_leaving = on_server_leaving};

/* Picks a free port of the loopback interface. */
static void
pick_free_address(instance *self)
{
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in name = {.sin_family = AF_INET,
                               .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(name);
    ck_assert_int_eq(bind(fd, (struct sockaddr *)&name, size), 0);
    ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&name, &size), 0);
    g_snprintf(self->address, sizeof(self->address), "127.0.0.1:%u",
               ntohs(name.sin_port));
    close(fd);
}

/* Makes an instance known to another. */
static void
feed_instance_row(const instance *to, const instance *peer)
{
    Lacewing__Exchange__InstanceRow row =
        LACEWING__EXCHANGE__INSTANCE_ROW__INIT;
    row.incarnation = 1;
    row.zone = (char *)peer->zone;
    row.address = (char *)peer->address;
    row.valid_ms = 1000;
    size_t size = lacewing__exchange__instance_row__get_packed_size(&row);
    uint8_t *bytes = g_malloc(size);
    lacewing__exchange__instance_row__pack(&row, bytes);
    g_autofree char *key = g_strdup_printf("i/%s", peer->name);
    dl_row row_update = {
        .key = key, .value = g_bytes_new_take(bytes, size), .version = 5};
    le_feed_row(to->lease, 1000000, &row_update);
    g_bytes_unref(row_update.value);
}

static void
run_for_ms(lp_loop *loop, uint32_t ms)
{
    (void)loop;
    gint64 end = g_get_monotonic_time() + ms * 1000LL;
    while (g_get_monotonic_time() < end) {
        g_main_context_iteration(NULL, FALSE);
        g_usleep(500);
        for (int i = 0; i < count; i++) {
            gp_flush_relayed(instances[i].peers);
        }
    }
}

START_TEST(test_leaving_reaches_each_instance_once)
{
    count = _i ? INSTANCES_MAX : 3;
    lp_loop *loop = lp_create();
    for (int i = 0; i < count; i++) {
        instance *self = &instances[i];
        *self = (instance){.leaving_count = 0};
        g_snprintf(self->name, sizeof(self->name), "in-%d", i);
        g_snprintf(self->zone, sizeof(self->zone), "z%d", i % 3);
        pick_free_address(self);
        self->fleet = fl_create(&(fl_desc){0});
        self->lease = le_create(&(le_desc){.instance = self->name,
                                           .zone = self->zone,
                                           .address = self->address,
                                           .incarnation = 1});
        er_status status = {0};
        self->peers = gp_create(&(gp_desc){.loop = loop,
                                           .fleet = self->fleet,
                                           .lease = self->lease,
                                           .quotas = qt_create(),
                                           .instance = self->name,
                                           .zone = self->zone,
                                           .address = self->address,
                                           .incarnation = 1,
                                           .callbacks = &callbacks,
                                           .user_data = self},
                                &status);
        ck_assert_msg(self->peers != NULL, "%s", status.message);
    }
    for (int i = 0; i < count; i++) {
        for (int j = 0; j < count; j++) {
            feed_instance_row(&instances[i], &instances[j]);
        }
    }
    dl_server entry = {.id = "i-1",
                       .service = "app",
                       .address = "127.0.0.1:1",
                       .zone = "z0",
                       .slots = 1,
                       .state = DL_SERVER_READY,
                       .born_ms = 77};
    fl_server *server;
    fl_put_server(instances[1].fleet, &entry, &server);
    gp_broadcast_leaving(instances[1].peers, server);
    run_for_ms(loop, 300);
    for (int i = 0; i < count; i++) {
        ck_assert_msg(instances[i].leaving_count == (i == 1 ? 0 : 1),
                      "%s: received %d times", instances[i].name,
                      instances[i].leaving_count);
    }
    for (int i = 0; i < count; i++) {
        gp_destroy(instances[i].peers);
        le_destroy(instances[i].lease);
        fl_destroy(instances[i].fleet);
    }
    lp_destroy(loop);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("gossip");
    tcase_set_timeout(tcase, 60);
    tcase_add_loop_test(tcase, test_leaving_reaches_each_instance_once, 0, 2);
    return run_case("gossip", tcase);
}
