/*
 * Tests membership in virtual time: three zones, links that lose, delay and
 * duplicate heartbeats, daemons that die, pause, leave and restart.
 */
#include "lacewing/membership.h"
#include "sim.h"
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#define NODES 24
#define ZONES 3
#define ZONE_LINKS 4

typedef struct cluster cluster;

typedef struct node {
    cluster *w;
    uint32_t index;
    char name[8]; /* "d" and the index */
    char zone[8];
    char address[16];
    mb_machine *mb;
    bool running;
    uint64_t paused_until_us;
    uint64_t server_leaving_us; /* when it learned of the leaving server */
} node;

struct cluster {
    sim *s;
    node nodes[NODES];
    uint32_t loss_pct;
    uint32_t sent;
    bool zone_cut[ZONES]; /* the zone is partitioned from the others */
};

typedef struct message {
    node *to;
    const node *from;
    mb_heartbeat heartbeat;
    mb_peer peers[MB_SAMPLE_MAX];
    const char *servers[MB_LEAVING_SERVERS_MAX];
} message;

static const char *const leaving_server = "s1";

static void run_actions(node *n);

static bool
is_paused(const node *n)
{
    return n->paused_until_us > n->w->s->now_us;
}

static void
on_heartbeat(void *data)
{
    message *m = data;
    if (m->to->running && is_paused(m->to)) {
        sim_schedule(m->to->w->s, m->to->paused_until_us + 1, on_heartbeat, m);
        return;
    }
    if (m->to->running) {
        m->heartbeat.peers = m->peers;
        m->heartbeat.leaving_servers = m->servers;
        mb_feed(m->to->mb, m->to->w->s->now_us,
                &(mb_event){.type = MB_EVENT_HEARTBEAT,
                            .instance = m->from->name,
                            .zone = m->from->zone,
                            .address = m->from->address,
                            .heartbeat = &m->heartbeat});
        run_actions(m->to);
    }
    g_free(m);
}

static void
send_heartbeat(node *n, const mb_action *action)
{
    cluster *w = n->w;
    node *to = &w->nodes[atoi(action->instance + 1)];
    bool disconnected =
        n->index % ZONES != to->index % ZONES &&
        (w->zone_cut[n->index % ZONES] || w->zone_cut[to->index % ZONES]);
    uint32_t copies = sim_chance(w->s, 5) ? 2 : 1;
    w->sent++;
    for (uint32_t i = 0; i < copies; i++) {
        if (disconnected || sim_chance(w->s, w->loss_pct)) {
            continue;
        }
        message *m = g_new0(message, 1);
        *m = (message){.to = to, .from = n, .heartbeat = action->heartbeat};
        for (size_t p = 0; p < m->heartbeat.peer_count; p++) {
            const node *peer =
                &w->nodes[atoi(action->heartbeat.peers[p].instance + 1)];
            m->peers[p] = action->heartbeat.peers[p];
            m->peers[p].instance = peer->name;
            m->peers[p].zone = peer->zone;
            m->peers[p].address = peer->address;
        }
        for (size_t p = 0; p < m->heartbeat.leaving_count; p++) {
            m->servers[p] = leaving_server;
        }
        uint32_t delay_max_ms = sim_chance(w->s, 5) ? 300 : 3;
        sim_schedule(w->s,
                     w->s->now_us + 500 +
                         sim_random_below(w->s, delay_max_ms * 1000),
                     on_heartbeat, m);
    }
}

static void
run_actions(node *n)
{
    mb_action action;
    while (mb_next_action(n->mb, &action)) {
        if (action.type == MB_ACTION_SEND) {
            send_heartbeat(n, &action);
        }
        if (action.type == MB_ACTION_SERVER_LEAVING) {
            ck_assert_uint_eq(n->server_leaving_us, 0);
            n->server_leaving_us = n->w->s->now_us;
        }
    }
}

/* Feeds the platform's list: all daemons, none of them leaving. */
static void
feed_list(node *n)
{
    for (uint32_t i = 0; i < NODES; i++) {
        const node *peer = &n->w->nodes[i];
        mb_feed(n->mb, n->w->s->now_us,
                &(mb_event){.type = MB_EVENT_LISTED,
                            .instance = peer->name,
                            .zone = peer->zone,
                            .address = peer->address});
    }
    run_actions(n);
}

static void
start_node(node *n, uint64_t incarnation, bool list_revives)
{
    n->mb = mb_create(&(mb_desc){.instance = n->name,
                                 .zone = n->zone,
                                 .address = n->address,
                                 .incarnation = incarnation,
                                 .zone_links = ZONE_LINKS,
                                 .seed = n->index + 1,
                                 .unsafe_list_revives = list_revives});
    n->running = true;
    feed_list(n);
    mb_set_state(n->mb, n->w->s->now_us, CO_PEER_READY);
    run_actions(n);
}

static cluster *
cluster_create(uint32_t seed, bool list_revives)
{
    cluster *w = g_new0(cluster, 1);
    w->s = sim_create(seed);
    for (uint32_t i = 0; i < NODES; i++) {
        node *n = &w->nodes[i];
        n->w = w;
        n->index = i;
        g_snprintf(n->name, sizeof(n->name), "d%u", i);
        g_snprintf(n->zone, sizeof(n->zone), "z%u", i % ZONES);
        g_snprintf(n->address, sizeof(n->address), "10.0.0.%u:1", i);
    }
    for (uint32_t i = 0; i < NODES; i++) {
        start_node(&w->nodes[i], 1, list_revives);
    }
    return w;
}

static void
run_for(cluster *w, uint32_t ms)
{
    for (uint32_t step = 0; step < ms / 20; step++) {
        sim_run(w->s, w->s->now_us + 20 * SIM_MS);
        for (uint32_t i = 0; i < NODES; i++) {
            node *n = &w->nodes[i];
            if (n->running && !is_paused(n) &&
                w->s->now_us >= mb_query_wakeup_us(n->mb)) {
                mb_feed(n->mb, w->s->now_us,
                        &(mb_event){.type = MB_EVENT_TICK});
                run_actions(n);
            }
        }
    }
}

static void
cluster_destroy(cluster *w)
{
    for (uint32_t i = 0; i < NODES; i++) {
        w->nodes[i].running = false;
    }
    sim_run(w->s, w->s->now_us + 30000 * SIM_MS);
    for (uint32_t i = 0; i < NODES; i++) {
        mb_destroy(w->nodes[i].mb);
    }
    sim_destroy(w->s);
    g_free(w);
}

/* Counts the running daemons of a zone that see another one in a state; zone
   UINT32_MAX: all zones. */
static uint32_t
count_seen(cluster *w, uint32_t of, co_peer_state state, uint32_t zone)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < NODES; i++) {
        mb_peer peer = {0};
        bool counts = i != of && w->nodes[i].running &&
                      (zone == UINT32_MAX || i % ZONES == zone);
        if (counts &&
            mb_query_peer(w->nodes[i].mb, w->nodes[of].name, &peer)) {
            count += peer.state == state;
        }
    }
    return count;
}

static void
check_all_ready(cluster *w)
{
    for (uint32_t i = 0; i < NODES; i++) {
        ck_assert_uint_eq(count_seen(w, i, CO_PEER_READY, UINT32_MAX),
                          NODES - 1);
    }
}

START_TEST(test_steady_state)
{
    cluster *w = cluster_create(1, false);
    run_for(w, 15000);
    w->loss_pct = 10;
    w->sent = 0;
    run_for(w, 60000);
    check_all_ready(w);
    /* Upper bound of heartbeats per second and daemon: zone links in both
       directions at 4 per second, links to other zones at 1 per second and
       answered. This is far below one to each peer. */
    uint32_t max_per_s = (ZONE_LINKS + 2) * 4 + 2 * (ZONES - 1) * 2;
    ck_assert_uint_lt(w->sent / NODES / 60, max_per_s);
    cluster_destroy(w);
}
END_TEST

START_TEST(test_death_and_restart)
{
    for (uint32_t seed = 1; seed <= 10; seed++) {
        cluster *w = cluster_create(seed, false);
        run_for(w, 15000);
        node *n = &w->nodes[seed];
        n->running = false;
        run_for(w, 5000);
        ck_assert_uint_eq(count_seen(w, seed, CO_PEER_DEAD, seed % ZONES),
                          NODES / ZONES - 1);
        run_for(w, 5000);
        ck_assert_uint_eq(count_seen(w, seed, CO_PEER_DEAD, UINT32_MAX),
                          NODES - 1);
        mb_destroy(n->mb);
        start_node(n, 2, false);
        run_for(w, 15000);
        check_all_ready(w);
        cluster_destroy(w);
    }
}
END_TEST

START_TEST(test_pause_and_partition)
{
    cluster *w = cluster_create(4, false);
    run_for(w, 15000);
    w->nodes[5].paused_until_us = w->s->now_us + 6000 * SIM_MS;
    run_for(w, 4000);
    ck_assert_uint_eq(count_seen(w, 5, CO_PEER_READY, 5 % ZONES), 0);
    run_for(w, 30000);
    check_all_ready(w);
    w->zone_cut[1] = true;
    run_for(w, 60000);
    ck_assert_uint_eq(count_seen(w, 1, CO_PEER_READY, 1), NODES / ZONES - 1);
    ck_assert_uint_eq(count_seen(w, 1, CO_PEER_READY, 0), 0);
    w->zone_cut[1] = false;
    run_for(w, 60000);
    check_all_ready(w);
    cluster_destroy(w);
}
END_TEST

START_TEST(test_leaving_server)
{
    uint64_t worst_us = 0;
    for (uint32_t seed = 1; seed <= 20; seed++) {
        cluster *w = cluster_create(seed, false);
        run_for(w, 15000);
        w->loss_pct = 10;
        uint64_t start_us = w->s->now_us;
        mb_feed(w->nodes[seed].mb, start_us,
                &(mb_event){.type = MB_EVENT_SERVER_LEAVING,
                            .server = leaving_server});
        run_actions(&w->nodes[seed]);
        run_for(w, 3000);
        for (uint32_t i = 0; i < NODES; i++) {
            ck_assert(mb_query_server_leaving(w->nodes[i].mb, leaving_server));
            worst_us = MAX(worst_us, w->nodes[i].server_leaving_us - start_us);
        }
        cluster_destroy(w);
    }
    printf("leaving server known everywhere: worst of 20 seeds %.0f ms\n",
           (double)worst_us / 1000);
    ck_assert_uint_lt(worst_us, 3000 * SIM_MS);
}
END_TEST

/* Feeds the platform's list while it still shows a dead daemon and a leaving
   one as usual. Returns how often they are seen as ready. */
static uint32_t
count_wrong_states(bool list_revives)
{
    cluster *w = cluster_create(2, list_revives);
    run_for(w, 15000);
    w->nodes[3].running = false;
    mb_set_state(w->nodes[4].mb, w->s->now_us, CO_PEER_LEAVING);
    run_actions(&w->nodes[4]);
    run_for(w, 10000);
    uint32_t wrong = 0;
    for (uint32_t round = 0; round < 50; round++) {
        for (uint32_t i = 0; i < NODES; i++) {
            if (w->nodes[i].running) {
                feed_list(&w->nodes[i]);
            }
        }
        wrong += count_seen(w, 3, CO_PEER_READY, UINT32_MAX);
        wrong += count_seen(w, 4, CO_PEER_READY, UINT32_MAX);
        run_for(w, 200);
    }
    cluster_destroy(w);
    return wrong;
}

START_TEST(test_list_revives_no_peer)
{
    ck_assert_uint_eq(count_wrong_states(false), 0);
    ck_assert_uint_gt(count_wrong_states(true), 0);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("membership");
    TCase *tcase = tcase_create("membership");
    tcase_set_timeout(tcase, 280);
    tcase_add_test(tcase, test_steady_state);
    tcase_add_test(tcase, test_death_and_restart);
    tcase_add_test(tcase, test_pause_and_partition);
    tcase_add_test(tcase, test_leaving_server);
    tcase_add_test(tcase, test_list_revives_no_peer);
    suite_add_tcase(suite, tcase);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_ENV);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
