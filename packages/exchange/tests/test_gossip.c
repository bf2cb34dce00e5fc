/* Tests of the word that a server leaves: datagrams between instances in one
   process. */
#include "exchange.pb-c.h"
#include "gossip.h"
#include "run.h"
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#define ALL_MOST 120

typedef struct instance {
    char name[16];
    char zone[16];
    char address[32];
    int words; /* that a server leaves */
    fl_fleet *fleet;
    le_lease *lease;
    gp_peers *peers;
} instance;

static instance all[ALL_MOST];
static int count;

static void
on_leaving(const char *id, uint64_t born_ms, void *user_data)
{
    ck_assert_str_eq(id, "i-1");
    ck_assert_uint_eq(born_ms, 77);
    ((instance *)user_data)->words++;
}

static const gp_calls calls = {.leaving = on_leaving};

/* A port that is free. */
static void
find_address(instance *at)
{
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in name = {.sin_family = AF_INET,
                               .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t size = sizeof(name);
    ck_assert_int_eq(bind(fd, (struct sockaddr *)&name, size), 0);
    ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&name, &size), 0);
    g_snprintf(at->address, sizeof(at->address), "127.0.0.1:%u",
               ntohs(name.sin_port));
    close(fd);
}

static void
introduce(const instance *to, const instance *at)
{
    Lacewing__Exchange__InstanceRow row =
        LACEWING__EXCHANGE__INSTANCE_ROW__INIT;
    row.incarnation = 1;
    row.zone = (char *)at->zone;
    row.address = (char *)at->address;
    row.valid_ms = 1000;
    size_t size = lacewing__exchange__instance_row__get_packed_size(&row);
    uint8_t *bytes = g_malloc(size);
    lacewing__exchange__instance_row__pack(&row, bytes);
    g_autofree char *key = g_strdup_printf("i/%s", at->name);
    dl_row fed = {
        .key = key, .value = g_bytes_new_take(bytes, size), .version = 5};
    le_feed_row(to->lease, 1000000, &fed);
    g_bytes_unref(fed.value);
}

static void
run_ms(lp_loop *loop, uint32_t ms)
{
    (void)loop;
    gint64 end = g_get_monotonic_time() + ms * 1000LL;
    while (g_get_monotonic_time() < end) {
        g_main_context_iteration(NULL, FALSE);
        g_usleep(500);
        for (int i = 0; i < count; i++) {
            gp_pass_on(all[i].peers);
        }
    }
}

START_TEST(test_one_word_to_each)
{
    count = _i ? ALL_MOST : 3;
    lp_loop *loop = lp_create();
    for (int i = 0; i < count; i++) {
        instance *at = &all[i];
        *at = (instance){.words = 0};
        g_snprintf(at->name, sizeof(at->name), "in-%d", i);
        g_snprintf(at->zone, sizeof(at->zone), "z%d", i % 3);
        find_address(at);
        at->fleet = fl_create(&(fl_desc){0});
        at->lease = le_create(&(le_desc){.instance = at->name,
                                         .zone = at->zone,
                                         .address = at->address,
                                         .incarnation = 1});
        er_status status = {0};
        at->peers = gp_create(&(gp_desc){.loop = loop,
                                         .fleet = at->fleet,
                                         .lease = at->lease,
                                         .instance = at->name,
                                         .zone = at->zone,
                                         .address = at->address,
                                         .incarnation = 1,
                                         .calls = &calls,
                                         .user_data = at},
                              &status);
        ck_assert_msg(at->peers != NULL, "%s", status.message);
    }
    for (int i = 0; i < count; i++) {
        for (int j = 0; j < count; j++) {
            introduce(&all[i], &all[j]);
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
    fl_put_server(all[1].fleet, &entry, &server);
    gp_tell_leaving(all[1].peers, server);
    run_ms(loop, 300);
    for (int i = 0; i < count; i++) {
        ck_assert_msg(all[i].words == (i == 1 ? 0 : 1), "%s: %d words",
                      all[i].name, all[i].words);
    }
    for (int i = 0; i < count; i++) {
        gp_destroy(all[i].peers);
        le_destroy(all[i].lease);
        fl_destroy(all[i].fleet);
    }
    lp_destroy(loop);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("gossip");
    tcase_set_timeout(tcase, 60);
    tcase_add_loop_test(tcase, test_one_word_to_each, 0, 2);
    return run_case("gossip", tcase);
}
