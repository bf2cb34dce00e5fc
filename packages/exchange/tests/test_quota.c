/* Tests of quotas over many instances in virtual time: what all of them admit
   together stays below the bound, and what is asked below the quota is
   admitted, while messages are late or lost and instances are cut off, end or
   stand still. */
#include "quota.h"
#include "run.h"

#include <glib.h>
#include <stdio.h>

#define MS UINT64_C(1000)
#define S (1000 * MS)
/* Interval of an instance's messages: 90 ms with few instances. */
#define FEW_INTERVAL_US (90 * MS)
#define MANY_INTERVAL_US (270 * MS)
#define WORKSPACE "desk"
#define PER_S 400000.0
#define BURST 400000.0
#define REQUEST_TOKENS 1100
#define MAX_INSTANCES 195
/* The bound: in any such time, (rate x time + burst) x 1.1 + slack. */
#define WINDOW_S 8
#define OVERAGE 1.1
#define SLACK 17000.0
#define RUN_S 40
#define SEEDS 10

typedef struct message {
    uint64_t due_us;
    int sender;
    uint64_t incarnation;
    bool has_use;
    qt_use use;
} message;

typedef struct instance {
    qt_quotas *quotas;
    char name[16];
    uint64_t incarnation;
    double weight;          /* of its share of the demand */
    uint64_t stopped_until; /* it is down, or stands still */
    bool cut;               /* it reaches only others that are cut off */
    GQueue inbox;           /* message, ordered by time */
} instance;

typedef struct simulation {
    instance instances[MAX_INSTANCES];
    int count;
    uint64_t now_us;
    GRand *random;
    wp_table *workspaces;
    double admitted[RUN_S * 100]; /* in each 10 ms */
    double asked;
    double admitted_sum;
    uint64_t measured_from_us;
} simulation;

typedef struct play {
    int count;
    double load;      /* demand / quota */
    bool jumps;       /* each 2 s, another few instances get most of it */
    bool cuts;        /* a quarter is cut off from 12 s to 20 s */
    bool ends;        /* instances end or stand still now and then */
    bool all_end;     /* all instances start again at 16 s */
    double load_late; /* demand / quota from 10 s on; 0: as before */
} play;

static instance *sender;
static simulation *sim;

static void
send_message(bool has_use, const qt_use *use)
{
    for (int i = 0; i < sim->count; i++) {
        instance *to = &sim->instances[i];
        if (to == sender || to->cut != sender->cut ||
            g_rand_double(sim->random) < 0.05) {
            continue;
        }
        message *m = g_new0(message, 1);
        m->due_us = sim->now_us + 2 * MS +
                    (uint64_t)(g_rand_double(sim->random) * 30.0 * MS);
        m->sender = (int)(sender - sim->instances);
        m->incarnation = sender->incarnation;
        m->has_use = has_use;
        if (has_use) {
            m->use = *use;
        }
        g_queue_push_tail(&to->inbox, m);
    }
}

static void
copy_use(const qt_use *use, void *user_data)
{
    *(qt_use *)user_data = *use;
}

static void
on_use(const qt_use *use, void *user_data)
{
    (void)user_data;
    send_message(true, use);
}

static void
start_instance(int at)
{
    instance *one = &sim->instances[at];
    qt_destroy(one->quotas);
    one->quotas = qt_create();
    one->incarnation++;
    qt_set_instance_count(one->quotas, (uint32_t)sim->count);
    qt_set_limits(one->quotas, sim->workspaces, sim->now_us);
}

static void
receive(instance *one)
{
    GList *next;
    for (GList *at = one->inbox.head; at; at = next) {
        next = at->next;
        message *m = at->data;
        if (m->due_us > sim->now_us) {
            continue;
        }
        const char *name = sim->instances[m->sender].name;
        qt_note_heard(one->quotas, name, sim->now_us);
        if (m->has_use) {
            qt_feed(one->quotas, name, m->incarnation, &m->use, sim->now_us);
        }
        g_free(m);
        g_queue_delete_link(&one->inbox, at);
    }
}

static void
ask(instance *one)
{
    qt_verdict verdict = qt_admit(one->quotas, WORKSPACE, REQUEST_TOKENS,
                                  g_rand_double(sim->random), sim->now_us);
    bool measured = sim->now_us >= sim->measured_from_us;
    if (measured) {
        sim->asked += REQUEST_TOKENS;
    }
    if (verdict.admitted) {
        sim->admitted[sim->now_us / (10 * MS)] += REQUEST_TOKENS;
        sim->admitted_sum += measured ? REQUEST_TOKENS : 0;
    }
    else {
        ck_assert_uint_gt(verdict.retry_ms, 0);
    }
}

static void
set_weights(bool uneven)
{
    for (int i = 0; i < sim->count; i++) {
        sim->instances[i].weight = !uneven                            ? 1.0
                                   : g_rand_double(sim->random) < 0.1 ? 20.0
                                                                      : 0.5;
    }
}

/* Returns the instance that the next request comes to. */
static instance *
draw_instance(void)
{
    double sum = 0;
    for (int i = 0; i < sim->count; i++) {
        instance *one = &sim->instances[i];
        sum += sim->now_us < one->stopped_until ? 0 : one->weight;
    }
    double left = g_rand_double(sim->random) * sum;
    instance *last = NULL;
    for (int i = 0; i < sim->count; i++) {
        instance *one = &sim->instances[i];
        if (sim->now_us >= one->stopped_until) {
            last = one;
            left -= one->weight;
            if (left < 0) {
                break;
            }
        }
    }
    return last;
}

static void
disturb(const play *p)
{
    if (p->jumps && sim->now_us % (2 * S) == 0) {
        set_weights(true);
    }
    if (p->cuts && (sim->now_us == 12 * S || sim->now_us == 20 * S)) {
        for (int i = 0; i < sim->count / 4; i++) {
            sim->instances[i].cut = sim->now_us == 12 * S;
        }
    }
    for (int i = 0; p->all_end && sim->now_us == 16 * S && i < sim->count;
         i++) {
        start_instance(i);
    }
    if (p->ends && sim->now_us % S == 0) {
        int at = g_rand_int_range(sim->random, 0, sim->count);
        sim->instances[at].stopped_until = sim->now_us + 2500 * MS;
        if (g_rand_boolean(sim->random)) {
            start_instance(at);
        }
    }
}

static simulation *
run_play(const play *p, guint32 seed)
{
    sim = g_new0(simulation, 1);
    sim->count = p->count;
    sim->random = g_rand_new_with_seed(seed);
    sim->workspaces = wp_create();
    sim->measured_from_us = 4 * S;
    wp_add(sim->workspaces,
           &(wp_workspace){.name = WORKSPACE, .per_s = PER_S, .burst = BURST},
           NULL, 0);
    for (int i = 0; i < sim->count; i++) {
        g_snprintf(sim->instances[i].name, sizeof(sim->instances[i].name),
                   "entry-%d", i);
        g_queue_init(&sim->instances[i].inbox);
        start_instance(i);
    }
    set_weights(false);
    uint64_t interval_us = p->count > 24 ? MANY_INTERVAL_US : FEW_INTERVAL_US;
    double owed = 0;
    for (; sim->now_us < RUN_S * S; sim->now_us += 10 * MS) {
        disturb(p);
        double load =
            p->load_late > 0 && sim->now_us >= 10 * S ? p->load_late : p->load;
        owed += load * PER_S / 100.0 * 2 * g_rand_double(sim->random);
        while (owed >= REQUEST_TOKENS) {
            owed -= REQUEST_TOKENS;
            ask(draw_instance());
        }
        for (int i = 0; i < sim->count; i++) {
            instance *one = &sim->instances[i];
            if (sim->now_us < one->stopped_until) {
                continue;
            }
            receive(one);
            if ((sim->now_us + (uint64_t)i * 10 * MS) % interval_us == 0) {
                sender = one;
                send_message(false, NULL);
                qt_each_unreported(one->quotas, sim->now_us, on_use, NULL);
            }
        }
    }
    return sim;
}

/* Returns the most that was admitted in any window. */
static double
query_window_max(const simulation *s)
{
    double sum = 0;
    double most = 0;
    for (int i = 0; i < RUN_S * 100; i++) {
        sum += s->admitted[i];
        sum -= i >= WINDOW_S * 100 ? s->admitted[i - WINDOW_S * 100] : 0;
        most = MAX(most, sum);
    }
    return most;
}

static void
free_simulation(simulation *s)
{
    for (int i = 0; i < s->count; i++) {
        qt_destroy(s->instances[i].quotas);
        g_queue_clear_full(&s->instances[i].inbox, g_free);
    }
    wp_destroy(s->workspaces);
    g_rand_free(s->random);
    g_free(s);
}

static const play plays[] = {
    {.count = 6, .load = 0.55},
    {.count = 68, .load = 0.55},
    {.count = 68, .load = 0.9},
    {.count = 68, .load = 0.55, .jumps = true},
    {.count = 68, .load = 0.55, .ends = true},
    {.count = 68, .load = 0.55, .cuts = true},
    {.count = 6, .load = 0.55, .load_late = 4.0},
    {.count = 68, .load = 0.55, .load_late = 4.0},
    {.count = 68, .load = 0.9, .load_late = 7.0, .jumps = true},
    {.count = 68, .load = 0.55, .load_late = 4.0, .ends = true},
    {.count = 68, .load = 0.55, .load_late = 4.0, .cuts = true},
    {.count = 68, .load = 0.55, .load_late = 4.0, .all_end = true},
    {.count = 6, .load = 0.55, .load_late = 4.0, .all_end = true},
    {.count = 68, .load = 0.55, .all_end = true},
    {.count = 195, .load = 0.55, .load_late = 4.0, .cuts = true},
};

/* Guards against admitting more than the quota over all instances, and against
   refusing what is asked below it. */
START_TEST(test_all_instances_together_keep_the_quota)
{
    const play *p = &plays[_i];
    double bound = (PER_S * WINDOW_S + BURST) * OVERAGE + SLACK;
    bool below = p->load < 1 && p->load_late == 0;
    double most = 0;
    double least_part = 1;
    int seeds = p->count > 6 ? 2 : SEEDS;
    const char *more = g_getenv("QUOTA_SEEDS");
    seeds = more ? atoi(more) : seeds;
    for (int seed = 0; seed < seeds; seed++) {
        simulation *s = run_play(p, (guint32)seed);
        most = MAX(most, query_window_max(s));
        least_part = MIN(least_part, s->admitted_sum / s->asked);
        free_simulation(s);
    }
    printf("quota play=%d instances=%d window_max/bound=%.3f least "
           "admitted=%.3f\n",
           _i, p->count, most / bound, least_part);
    ck_assert_double_le(most, bound);
    ck_assert_double_ge(least_part, below ? 0.95 : 0);
}
END_TEST

/* Guards against a late message of an instance's process before, whose sums
   are those of its whole life, being taken for what was just admitted. */
START_TEST(test_late_message_of_an_ended_process_counts_nothing)
{
    wp_table *workspaces = wp_create();
    wp_add(workspaces,
           &(wp_workspace){.name = WORKSPACE, .per_s = PER_S, .burst = BURST},
           NULL, 0);
    qt_quotas *quotas = qt_create();
    qt_set_limits(quotas, workspaces, 1);
    qt_use use = {.workspace = 0};
    qt_admit(quotas, WORKSPACE, 1, 0, 2 * S);
    qt_quotas *other = qt_create();
    qt_set_limits(other, workspaces, 1);
    qt_admit(other, WORKSPACE, 1, 0, 2 * S);
    qt_each_unreported(other, 3 * S, copy_use, &use);
    ck_assert_uint_ne(use.workspace, 0);
    uint64_t now_us = 6 * S;
    for (uint64_t incarnation = 2; incarnation > 0; incarnation--) {
        use.admitted = incarnation == 2 ? 1000 : 50000000;
        now_us += 100 * MS;
        qt_note_heard(quotas, "entry-2", now_us);
        qt_feed(quotas, "entry-2", incarnation, &use, now_us);
    }
    ck_assert(
        qt_admit(quotas, WORKSPACE, REQUEST_TOKENS, 0.99, now_us).admitted);
    qt_destroy(quotas);
    qt_destroy(other);
    wp_destroy(workspaces);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("quota");
    tcase_set_timeout(tcase, 280);
    tcase_add_test(tcase,
                   test_late_message_of_an_ended_process_counts_nothing);
    tcase_add_loop_test(tcase, test_all_instances_together_keep_the_quota, 0,
                        G_N_ELEMENTS(plays));
    return run_case("quota", tcase);
}
