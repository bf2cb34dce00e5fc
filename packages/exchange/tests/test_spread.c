/* Tests of the choice of servers with old knowledge, in virtual time: many
   instances send to a few servers of different speed and hear of each other
   with a delay. */
#include "run.h"
#include "spread.h"

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#define MAX_SERVERS 117
#define SLOTS 6
/* A server refuses what comes while so many wait there. */
#define QUEUE 6
#define WORK_MS 20
#define RUN_MS 40000
#define WARM_UP_MS 2000
/* Instances hear of each other at this interval, and each message takes this
   much more at most; one in twenty is lost. */
#define REPORT_MS 90
#define TRANSIT_MS 40

typedef enum policy { CHEAPEST, SPREAD, FULL_KNOWLEDGE } policy;

typedef struct play {
    uint32_t instances;
    uint32_t servers;
    double utilization;
} play;

typedef struct outcome {
    double refused; /* part of all sends */
    double busiest; /* server: its mean utilization over all servers' */
    double mean_in_flight_max; /* mean of the largest in flight per slot */
} outcome;

typedef struct server {
    double speed;
    uint32_t in_flight;
    double work_done_ms; /* by its slots, at normal speed */
    double left_ms[SLOTS + QUEUE];
} server;

static server servers[MAX_SERVERS];
static uint32_t known[256][MAX_SERVERS]; /* in flight, as instances know */

static void
serve_ms(uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        server *s = &servers[i];
        uint32_t running = MIN(s->in_flight, SLOTS);
        for (uint32_t j = 0; j < running; j++) {
            s->left_ms[j] -= s->speed;
            s->work_done_ms += s->speed;
        }
        uint32_t kept = 0;
        for (uint32_t j = 0; j < s->in_flight; j++) {
            if (s->left_ms[j] > 0) {
                s->left_ms[kept++] = s->left_ms[j];
            }
        }
        s->in_flight = kept;
    }
}

static uint32_t
choose(const play *p, policy how, const uint32_t *view, double per_ms,
       GRand *random)
{
    sd_candidate candidates[MAX_SERVERS];
    for (uint32_t i = 0; i < p->servers; i++) {
        uint32_t in_flight =
            how == FULL_KNOWLEDGE ? servers[i].in_flight : view[i];
        double work = WORK_MS / servers[i].speed;
        double utilization = (double)in_flight / SLOTS;
        candidates[i] = (sd_candidate){
            .cost = work * (1 + utilization + 4 * MAX(utilization - 0.8, 0)) *
                    (1 + 0.04 * g_rand_double(random)),
            .slope = work * (utilization < 0.8 ? 1 : 5) / SLOTS};
    }
    double unseen = how == SPREAD ? per_ms * (REPORT_MS + TRANSIT_MS) / 2 : 0;
    return sd_choose(candidates, p->servers, unseen, g_rand_double(random));
}

static outcome
run_play(const play *p, policy how, guint32 seed)
{
    GRand *random = g_rand_new_with_seed(seed);
    uint64_t sent = 0;
    uint64_t refused = 0;
    double most_sum = 0;
    double speed_sum = 0;
    memset(servers, 0, sizeof(servers));
    memset(known, 0, sizeof(known));
    for (uint32_t i = 0; i < p->servers; i++) {
        servers[i].speed = g_rand_double_range(random, 0.7, 1.3);
        speed_sum += servers[i].speed;
    }
    double per_ms = p->utilization * speed_sum * SLOTS / WORK_MS;
    double owed = 0;
    for (uint32_t now_ms = 0; now_ms < RUN_MS; now_ms++) {
        serve_ms(p->servers);
        uint32_t most = 0;
        for (uint32_t i = 0; i < p->servers; i++) {
            most = MAX(most, servers[i].in_flight);
            servers[i].work_done_ms *= now_ms != WARM_UP_MS;
        }
        most_sum += most / (double)SLOTS;
        for (uint32_t i = 0; i < p->instances; i++) {
            /* What it hears is as old as a message takes. */
            if ((now_ms + i * 7) % REPORT_MS == 0 &&
                g_rand_double(random) >= 0.05) {
                for (uint32_t j = 0; j < p->servers; j++) {
                    known[i][j] = servers[j].in_flight;
                }
            }
        }
        owed += per_ms * 2 * g_rand_double(random);
        while (owed >= 1) {
            owed -= 1;
            uint32_t from =
                (uint32_t)g_rand_int_range(random, 0, (int)p->instances);
            uint32_t at = choose(p, how, known[from], per_ms, random);
            server *s = &servers[at];
            known[from][at]++;
            bool counts = now_ms >= WARM_UP_MS;
            sent += counts;
            if (s->in_flight == SLOTS + QUEUE) {
                refused += counts;
                continue;
            }
            s->left_ms[s->in_flight++] =
                WORK_MS * g_rand_double_range(random, 0.5, 1.5);
        }
    }
    outcome out = {.refused = (double)refused / (double)sent,
                   .mean_in_flight_max = most_sum / RUN_MS};
    double busy_sum = 0;
    for (uint32_t i = 0; i < p->servers; i++) {
        double busy = servers[i].work_done_ms / servers[i].speed;
        out.busiest = MAX(out.busiest, busy);
        busy_sum += busy;
    }
    out.busiest /= busy_sum / p->servers;
    g_rand_free(random);
    return out;
}

static const play plays[] = {
    {68, 4, 0.6},   {123, 4, 0.6},   {195, 16, 0.6},
    {123, 60, 0.6}, {195, 117, 0.7},
};

/* Guards against servers that are overrun in turns while others idle. */
START_TEST(test_old_knowledge_overruns_no_server)
{
    static const char *const names[] = {"cheapest", "spread",
                                        "full knowledge"};
    outcome results[3];
    for (policy how = CHEAPEST; how <= FULL_KNOWLEDGE; how++) {
        results[how] = run_play(&plays[_i], how, 1);
        printf("spread instances=%u servers=%u %s: refused=%.4f "
               "busiest/mean=%.3f most in flight/slot=%.2f\n",
               plays[_i].instances, plays[_i].servers, names[how],
               results[how].refused, results[how].busiest,
               results[how].mean_in_flight_max);
    }
    ck_assert_double_lt(results[SPREAD].refused, 0.01);
    ck_assert_double_lt(results[SPREAD].busiest, 1.15);
    ck_assert_double_le(results[SPREAD].refused, results[CHEAPEST].refused);
}
END_TEST

START_TEST(test_nothing_unseen_takes_the_cheapest)
{
    const sd_candidate candidates[] = {{3, 1}, {2, 1}, {2.5, 1}};
    for (int i = 0; i < 100; i++) {
        ck_assert_uint_eq(sd_choose(candidates, 3, 0, i / 100.0), 1);
    }
}
END_TEST

/* Guards against sending to servers that cost more than the cheap ones would
   with all unseen requests. */
START_TEST(test_costly_candidates_are_left_out)
{
    const sd_candidate candidates[] = {{1, 1}, {9, 1}, {2, 1}};
    uint32_t counts[3] = {0};
    for (int i = 0; i < 1000; i++) {
        counts[sd_choose(candidates, 3, 3, i / 1000.0)]++;
    }
    ck_assert_uint_eq(counts[1], 0);
    /* Four requests raise the others to 3.5. */
    ck_assert_uint_eq(counts[0], 625);
    ck_assert_uint_eq(counts[2], 375);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("spread");
    tcase_set_timeout(tcase, 60);
    tcase_add_loop_test(tcase, test_old_knowledge_overruns_no_server, 0,
                        G_N_ELEMENTS(plays));
    tcase_add_test(tcase, test_nothing_unseen_takes_the_cheapest);
    tcase_add_test(tcase, test_costly_candidates_are_left_out);
    return run_case("spread", tcase);
}
