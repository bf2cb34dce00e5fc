/*
 * Tests shares of the weight store in virtual time: messages lost, delayed and
 * duplicated, daemons that pause and restart, clocks that drift. At every step
 * the rates of all daemons together must not exceed the store's rate. Also
 * tests how much of it a busy daemon gets while the others are idle.
 */
#include "lacewing/weight_share.h"
#include "sim.h"
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#define NODES 6
#define STORE_RATE_MILLI 6000

typedef struct cluster cluster;

typedef struct node {
    cluster *w;
    uint32_t index;
    uint32_t restarts;
    char name[8]; /* "d" and the index */
    ws_machine *ws;
    uint64_t paused_until_us;
    double clock_rate; /* local time per virtual time */
} node;

struct cluster {
    sim *s;
    node nodes[NODES];
    ws_desc desc;
    uint32_t loss_pct;
    uint32_t delay_max_ms;
    uint32_t violations; /* steps with a total rate above the store's */
};

typedef struct message {
    node *n;
    uint32_t from;
    uint32_t epoch;
    ws_event event;
} message;

static uint64_t
local_us(const node *n)
{
    return (uint64_t)((double)n->w->s->now_us * n->clock_rate) + 1;
}

static void run_actions(node *n);

static void
on_message(void *data)
{
    message *m = data;
    node *n = m->n;
    if (n->paused_until_us > n->w->s->now_us) {
        sim_schedule(n->w->s, n->paused_until_us + 1, on_message, m);
        return;
    }
    m->event.instance = n->w->nodes[m->from].name;
    ws_feed(n->ws, local_us(n), &m->event);
    run_actions(n);
    g_free(m);
}

static void
send_message(const node *from, const char *to, ws_event event)
{
    cluster *w = from->w;
    uint32_t copies = sim_chance(w->s, 10) ? 2 : 1;
    for (uint32_t i = 0; i < copies; i++) {
        if (sim_chance(w->s, w->loss_pct)) {
            continue;
        }
        message *m = g_new0(message, 1);
        *m = (message){
            .n = &w->nodes[atoi(to + 1)], .from = from->index, .event = event};
        sim_schedule(w->s,
                     w->s->now_us + 500 +
                         sim_random_below(w->s, w->delay_max_ms * 1000),
                     on_message, m);
    }
}

static void
run_actions(node *n)
{
    ws_action action;
    while (ws_next_action(n->ws, &action)) {
        if (action.type == WS_ACTION_RATE_CHANGED) {
            continue;
        }
        send_message(n, action.instance,
                     (ws_event){.type = action.type == WS_ACTION_REQUEST_LOAN
                                            ? WS_EVENT_LOAN_REQUEST
                                            : WS_EVENT_LOAN_GRANT,
                                .number = action.number,
                                .rate_milli = action.rate_milli,
                                .duration_ms = action.duration_ms});
    }
}

static void
start_node(node *n)
{
    ws_desc desc = n->w->desc;
    desc.instance = n->name;
    desc.seed = n->index + 1 + NODES * n->restarts++;
    desc.loads_per_s_milli = STORE_RATE_MILLI;
    desc.loads_in_transit = 16;
    desc.instances = NODES;
    n->ws = ws_create(&desc);
    for (uint32_t i = 0; i < NODES; i++) {
        ws_feed(n->ws, local_us(n),
                &(ws_event){.type = WS_EVENT_PEER,
                            .instance = n->w->nodes[i].name,
                            .alive = true});
    }
    run_actions(n);
}

static cluster *
cluster_create(uint32_t seed, const ws_desc *desc)
{
    cluster *w = g_new0(cluster, 1);
    w->s = sim_create(seed);
    w->desc = *desc;
    w->delay_max_ms = 3;
    for (uint32_t i = 0; i < NODES; i++) {
        w->nodes[i].w = w;
        w->nodes[i].index = i;
        w->nodes[i].clock_rate = 0.99 + 0.0001 * sim_random_below(w->s, 200);
        g_snprintf(w->nodes[i].name, sizeof(w->nodes[i].name), "d%u", i);
    }
    for (uint32_t i = 0; i < NODES; i++) {
        start_node(&w->nodes[i]);
    }
    return w;
}

static void
cluster_destroy(cluster *w)
{
    w->loss_pct = 100;
    sim_run(w->s, w->s->now_us + 60000 * SIM_MS);
    for (uint32_t i = 0; i < NODES; i++) {
        ws_destroy(w->nodes[i].ws);
    }
    sim_destroy(w->s);
    g_free(w);
}

static uint32_t
total_rate_milli(cluster *w)
{
    uint32_t sum = 0;
    for (uint32_t i = 0; i < NODES; i++) {
        sum += ws_query_rate_milli(w->nodes[i].ws, local_us(&w->nodes[i]));
    }
    return sum;
}

static void
run_for(cluster *w, uint32_t ms)
{
    for (uint32_t step = 0; step < ms / 20; step++) {
        sim_run(w->s, w->s->now_us + 20 * SIM_MS);
        for (uint32_t i = 0; i < NODES; i++) {
            node *n = &w->nodes[i];
            bool paused = n->paused_until_us > w->s->now_us;
            if (!paused && local_us(n) >= ws_query_wakeup_us(n->ws)) {
                ws_feed(n->ws, local_us(n),
                        &(ws_event){.type = WS_EVENT_TICK});
                run_actions(n);
            }
        }
        w->violations += total_rate_milli(w) > STORE_RATE_MILLI;
    }
}

static uint32_t
run_seed(uint32_t seed, const ws_desc *desc)
{
    cluster *w = cluster_create(seed, desc);
    for (uint32_t i = 0; i < 40; i++) {
        node *n = &w->nodes[sim_random_below(w->s, NODES)];
        w->loss_pct = sim_chance(w->s, 30) ? 40 : 0;
        w->delay_max_ms = sim_chance(w->s, 30) ? 4000 : 3;
        if (sim_chance(w->s, 20)) {
            n->paused_until_us =
                w->s->now_us + sim_random_below(w->s, 8000) * SIM_MS;
        }
        if (sim_chance(w->s, 15)) {
            ws_destroy(n->ws); /* restarted at once */
            start_node(n);
        }
        ws_set_demand(n->ws, local_us(n),
                      sim_chance(w->s, 50) ? sim_random_below(w->s, 20) : 0);
        run_actions(n);
        run_for(w, 200 + sim_random_below(w->s, 2000));
    }
    uint32_t violations = w->violations;
    cluster_destroy(w);
    return violations;
}

START_TEST(test_total_rate_within_limit)
{
    const char *text = g_getenv("LACEWING_SEEDS");
    uint32_t seeds = text ? (uint32_t)atoi(text) : 200;
    for (uint32_t seed = 1; seed <= seeds; seed++) {
        uint32_t violations = run_seed(seed, &(ws_desc){0});
        ck_assert_msg(violations == 0,
                      "seed %u: total rate above the store's in %u steps",
                      seed, violations);
    }
}
END_TEST

static uint32_t
count_violations(const ws_desc *unsafe)
{
    uint32_t violations = 0;
    for (uint32_t seed = 1; seed <= 40 && violations == 0; seed++) {
        violations = run_seed(seed, unsafe);
    }
    return violations;
}

START_TEST(test_unsafe_variants_detected)
{
    ck_assert_uint_gt(
        count_violations(&(ws_desc){.unsafe_count_from_grant = true}), 0);
    ck_assert_uint_gt(count_violations(&(ws_desc){.unsafe_full_start = true}),
                      0);
}
END_TEST

/* One daemon is busy and five are idle: it gets its own share and loans of the
   others. */
START_TEST(test_borrowing)
{
    cluster *w = cluster_create(3, &(ws_desc){0});
    run_for(w, 6000);
    ws_set_demand(w->nodes[0].ws, local_us(&w->nodes[0]), 20);
    run_actions(&w->nodes[0]);
    run_for(w, 4000);
    uint32_t rate =
        ws_query_rate_milli(w->nodes[0].ws, local_us(&w->nodes[0]));
    printf("busy daemon: %u of %u loads per 1000 s (own share %u)\n", rate,
           STORE_RATE_MILLI, STORE_RATE_MILLI / NODES);
    ck_assert_uint_ge(rate, STORE_RATE_MILLI / 2);
    /* A smaller store limit takes effect at once, a larger one only later. */
    ws_set_store_limits(w->nodes[1].ws, local_us(&w->nodes[1]), 3000, 8,
                        NODES);
    ck_assert_uint_le(
        ws_query_rate_milli(w->nodes[1].ws, local_us(&w->nodes[1])), 500);
    cluster_destroy(w);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("weight_share");
    TCase *tcase = tcase_create("weight_share");
    tcase_set_timeout(tcase, 280);
    tcase_add_test(tcase, test_total_rate_within_limit);
    tcase_add_test(tcase, test_unsafe_variants_detected);
    tcase_add_test(tcase, test_borrowing);
    suite_add_tcase(suite, tcase);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_ENV);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
