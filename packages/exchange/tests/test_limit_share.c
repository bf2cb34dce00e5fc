/* Simulations in virtual time of instances that share the rate limit of one
   server: in any 4 s no more is sent than one and a half times the limit and
   five, and nine tenths of the limit are used while there is demand for it,
   also where all demand is at one instance. Datagrams take time and some are
   lost. */
#include "limit_share.h"
#include "limited_wait.h"
#include "run.h"
#include "server_limit.h"

#include <stdio.h>

#define MS UINT64_C(1000)
#define S (1000 * MS)
#define START (1000 * S)
#define STEP_US (10 * MS)
#define TICK_US (50 * MS)
#define DELAY_US (20 * MS)
#define WINDOW_US (4 * S)
#define MAX_INSTANCES 195

typedef enum spread {
    SPREAD_EVEN = 0,
    SPREAD_ONE,   /* all requests come to one instance */
    SPREAD_MOVES, /* to another one each second */
    SPREAD_NUM
} spread;

typedef struct message {
    bool is_grant;
    int instance; /* that asks, or gets the permits */
    int divider;  /* that is asked */
    uint32_t count;
    pm_ask ask;
    uint64_t at_us;
} message;

typedef struct simulation {
    int instances;
    double per_s;
    double demand_per_s;
    spread spread;
    double loss;
    /* The divider becomes another one at this time; 0: never. For a second,
       half of the instances still ask the one before. */
    uint64_t divider_changes_us;
    GRand *random;
    uint64_t now_us;
    pm_permits permits[MAX_INSTANCES];
    uint32_t waiting[MAX_INSTANCES]; /* requests without a permit */
    ls_share *shares[2];
    GArray *messages; /* message */
    GArray *sent;     /* uint64_t */
} simulation;

static int
query_divider(const simulation *sim, int instance)
{
    if (sim->divider_changes_us == 0) {
        return 0;
    }
    uint64_t known_us = sim->divider_changes_us + (instance % 2 ? S : 0);
    return sim->now_us >= known_us;
}

static void
post(simulation *sim, message m)
{
    m.at_us = sim->now_us + DELAY_US;
    if (g_rand_double(sim->random) >= sim->loss) {
        g_array_append_val(sim->messages, m);
    }
}

static void
on_granted(const char *name, uint32_t count, void *user_data)
{
    post(user_data,
         (message){.is_grant = true, .instance = atoi(name), .count = count});
}

static void
feed_ask(simulation *sim, const message *m)
{
    if (!sim->shares[m->divider]) {
        sim->shares[m->divider] = ls_create(
            &(ls_desc){.now_us = sim->now_us, .delay_us = m->divider ? S : 0});
    }
    char name[16];
    g_snprintf(name, sizeof(name), "%d", m->instance);
    ls_feed_ask(sim->shares[m->divider], name, &m->ask, sim->now_us);
}

static void
send_waiting(simulation *sim, int instance)
{
    pm_permits *permits = &sim->permits[instance];
    while (sim->waiting[instance] && pm_query_any(permits, sim->now_us)) {
        pm_take(permits, sim->now_us);
        sim->waiting[instance]--;
        g_array_append_val(sim->sent, sim->now_us);
    }
}

static void
deliver(simulation *sim)
{
    for (guint i = sim->messages->len; i > 0; i--) {
        message m = g_array_index(sim->messages, message, i - 1);
        if (sim->now_us < m.at_us) {
            continue;
        }
        g_array_remove_index_fast(sim->messages, i - 1);
        if (m.is_grant) {
            pm_add(&sim->permits[m.instance], m.count, sim->now_us);
            send_waiting(sim, m.instance);
        }
        else {
            feed_ask(sim, &m);
        }
    }
}

static int
pick_instance(simulation *sim)
{
    switch (sim->spread) {
    case SPREAD_ONE:
        return sim->instances - 1;
    case SPREAD_MOVES:
        return (int)(sim->now_us / S) % sim->instances;
    default:
        return g_rand_int_range(sim->random, 0, sim->instances);
    }
}

/* A request waits for a permit, one at most at each instance: the others find
   other servers. */
static void
arrive(simulation *sim)
{
    int i = pick_instance(sim);
    pm_note_wanted(&sim->permits[i], 0, sim->now_us);
    sim->waiting[i] = 1;
    send_waiting(sim, i);
}

static void
tick(simulation *sim)
{
    for (int i = 0; i < sim->instances; i++) {
        message m = {.instance = i, .divider = query_divider(sim, i)};
        if (sim->waiting[i]) {
            pm_note_wanted(&sim->permits[i], PM_COUNTED, sim->now_us);
        }
        if (pm_take_ask(&sim->permits[i], sim->now_us, &m.ask)) {
            post(sim, m);
        }
    }
    for (int i = 0; i < 2; i++) {
        if (sim->shares[i]) {
            ls_grant(sim->shares[i], sim->per_s, sim->now_us, on_granted, sim);
        }
    }
}

static void
run_until(simulation *sim, uint64_t until_us)
{
    for (; sim->now_us < until_us; sim->now_us += STEP_US) {
        deliver(sim);
        double arrivals = sim->demand_per_s * STEP_US / S;
        while (arrivals >= 1.0 || g_rand_double(sim->random) < arrivals) {
            arrive(sim);
            arrivals -= 1.0;
        }
        if (sim->now_us % TICK_US == 0) {
            tick(sim);
        }
    }
}

static uint32_t
query_largest_window(const simulation *sim)
{
    uint32_t largest = 0;
    guint from = 0;
    for (guint to = 0; to < sim->sent->len; to++) {
        while (g_array_index(sim->sent, uint64_t, from) + WINDOW_US <=
               g_array_index(sim->sent, uint64_t, to)) {
            from++;
        }
        largest = MAX(largest, to - from + 1);
    }
    return largest;
}

static simulation *
create_simulation(int instances, double per_s, uint32_t seed)
{
    simulation *sim = g_new0(simulation, 1);
    sim->instances = instances;
    sim->per_s = per_s;
    sim->now_us = START;
    sim->random = g_rand_new_with_seed(seed);
    sim->messages = g_array_new(FALSE, TRUE, sizeof(message));
    sim->sent = g_array_new(FALSE, TRUE, sizeof(uint64_t));
    return sim;
}

static void
free_simulation(simulation *sim)
{
    ls_destroy(sim->shares[0]);
    ls_destroy(sim->shares[1]);
    g_rand_free(sim->random);
    g_array_unref(sim->messages);
    g_array_unref(sim->sent);
    g_free(sim);
}

static void
check_limit_kept(const simulation *sim)
{
    uint32_t allowed = (uint32_t)(1.5 * sim->per_s * WINDOW_US / S) + 5;
    uint32_t largest = query_largest_window(sim);
    ck_assert_msg(largest <= allowed,
                  "%d instances, %g a second, spread %d: %u in 4 s, allowed "
                  "%u",
                  sim->instances, sim->per_s, (int)sim->spread, largest,
                  allowed);
}

static const int sizes[] = {1, 6, 12, MAX_INSTANCES};
static const double limits[] = {0, 0.3, 2, 9.4, 100};
#define COMBINATIONS (4 * 5 * SPREAD_NUM)

static simulation *
create_combination(int number)
{
    simulation *sim = create_simulation(
        sizes[number % 4], limits[number / 4 % 5], (uint32_t)number + 1);
    sim->spread = (spread)(number / 20);
    sim->demand_per_s = MAX(4 * sim->per_s, 8);
    sim->loss = 0.02;
    return sim;
}

START_TEST(test_limit_is_kept_and_used)
{
    simulation *sim = create_combination(_i);
    const uint64_t seconds = 60;
    run_until(sim, START + seconds * S);
    check_limit_kept(sim);
    double used = sim->sent->len / (MAX(sim->per_s, LS_MIN_PER_S) * seconds);
    /* A demand that moves on each second leaves permits behind. */
    double wanted = sim->spread == SPREAD_MOVES ? 0.5 : 0.9;
    /* One permit more or less does not count. */
    ck_assert_msg(used + 1.0 / (MAX(sim->per_s, LS_MIN_PER_S) * seconds) >=
                      wanted,
                  "%d instances, %g a second, spread %d: %.2f used",
                  sim->instances, sim->per_s, (int)sim->spread, used);
    free_simulation(sim);
}
END_TEST

/* Instances learn at different times that another one divides the limit. */
START_TEST(test_limit_is_kept_while_divider_changes)
{
    simulation *sim = create_combination(_i);
    sim->divider_changes_us = START + 10 * S;
    run_until(sim, START + 20 * S);
    check_limit_kept(sim);
    free_simulation(sim);
}
END_TEST

/* Callers that rarely come do not all send at once what they saved up. */
START_TEST(test_rare_demand_saves_nothing_up)
{
    simulation *sim = create_simulation(MAX_INSTANCES, 2, 1);
    sim->demand_per_s = 1;
    run_until(sim, START + 120 * S);
    sim->demand_per_s = 1000;
    run_until(sim, START + 130 * S);
    check_limit_kept(sim);
    free_simulation(sim);
}
END_TEST

/* -- callers where all servers are limited -------------------------------- */

START_TEST(test_requests_beyond_their_turn_are_refused)
{
    lw_returns returns = {0};
    lw_load load = {.permits_per_s = 10,
                    .limit_per_s = 60,
                    .instances = 6,
                    .waiting = 4,
                    .max_wait_us = 600 * MS,
                    .now_us = START};
    ck_assert(lw_decide(&returns, &load).waits);
    load.waiting = 6;
    lw_verdict first = lw_decide(&returns, &load);
    ck_assert(!first.waits);
    ck_assert_uint_ge(first.retry_after_us, 400 * MS);
    /* Callers come back one after another at the rate of the permits. */
    for (uint64_t i = 1; i < 100; i++) {
        lw_verdict next = lw_decide(&returns, &load);
        ck_assert_uint_eq(next.retry_after_us,
                          first.retry_after_us + i * 100 * MS);
    }
    for (int i = 0; i < 1000; i++) {
        ck_assert_uint_le(lw_decide(&returns, &load).retry_after_us, 30 * S);
    }
}
END_TEST

/* Before the first permits the rate is this instance's part of the limit. */
START_TEST(test_rate_before_the_first_permits)
{
    lw_returns returns = {0};
    lw_load load = {.limit_per_s = 60,
                    .instances = 6,
                    .max_wait_us = 100 * MS,
                    .now_us = START};
    ck_assert(lw_decide(&returns, &load).waits);
    load.waiting = 1;
    ck_assert(!lw_decide(&returns, &load).waits);
    load = (lw_load){.instances = 6, .max_wait_us = 6 * S, .now_us = START};
    ck_assert(!lw_decide(&returns, &load).waits);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("limit_share");
    tcase_set_timeout(tcase, 60);
    tcase_add_loop_test(tcase, test_limit_is_kept_and_used, 0, COMBINATIONS);
    tcase_add_loop_test(tcase, test_limit_is_kept_while_divider_changes, 0,
                        COMBINATIONS);
    tcase_add_test(tcase, test_rare_demand_saves_nothing_up);
    tcase_add_test(tcase, test_requests_beyond_their_turn_are_refused);
    tcase_add_test(tcase, test_rate_before_the_first_permits);
    return run_case("limit_share", tcase);
}
