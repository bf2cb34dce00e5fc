/*
 * Tests of claims in virtual time: callers resend operations through any
 * daemon, daemons stall, die and come back, and the table is down, slow or
 * loses answers.
 *
 * Checked: each key runs at most once; a request refused as not run never ran;
 * an outcome is that of the one run, as with a global lock; a request with
 * another body never gets it; a key that has not run and whose claimers are
 * all alive can still be run.
 */
#include "lacewing/claims.h"
#include "sim.h"
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#define NODES 4
#define KEYS 40
#define MAX_SENDINGS 8

typedef struct cluster cluster;

typedef struct node {
    cluster *c;
    uint32_t index;
    char name[8];
    cl_machine *cl;
    uint32_t incarnation;
    bool up;
    uint64_t paused_until_us;
} node;

typedef struct op {
    uint32_t sendings;
    bool finished; /* the caller has an answer that it accepts */
    uint32_t runs;
    char *ran_by;        /* the attempt */
    bool ran_other_body; /* it ran with the other body */
} op;

/* One request for an operation; a resend is another. */
typedef struct sending {
    cluster *c;
    uint32_t key;
    uint32_t node;
    uint32_t incarnation;
    bool other_body;
    uint64_t created_us;
    cl_claim claim;
    char *attempt;
    bool answered;
    cl_ran ran;
} sending;

struct cluster {
    sim *s;
    node nodes[NODES];
    op ops[KEYS];
    GPtrArray *sendings; /* sending */
    cl_desc desc;
    bool any_killed;
    uint32_t wrong_outcomes;
    uint32_t wait_sum_us; /* total time to CL_ACTION_SEND */
    uint32_t sends;
    bool own_keys; /* every request has a key of its own */
};

static void submit(cluster *c, uint32_t key, bool other_body);
static void run_actions(node *n);

static bool
is_paused(const node *n)
{
    return n->paused_until_us > n->c->s->now_us;
}

/* -- the plain service ---------------------------------------------------- */

typedef struct run {
    sending *t;
    cl_result result;
} run;

static void
on_service_answer(void *data)
{
    run *r = data;
    node *n = &r->t->c->nodes[r->t->node];
    if (n->up && n->incarnation == r->t->incarnation) {
        if (is_paused(n)) {
            sim_schedule(n->c->s, n->paused_until_us + 1, on_service_answer,
                         r);
            return;
        }
        g_autofree char *outcome = g_strdup_printf("result of %u", r->t->key);
        cl_finish(n->cl, n->c->s->now_us, r->t->claim, r->result, 200,
                  outcome);
        run_actions(n);
    }
    g_free(r);
}

static void
on_operation_received(void *data)
{
    run *r = data;
    sim *s = r->t->c->s;
    op *o = &r->t->c->ops[r->t->key];
    o->runs++;
    o->ran_other_body = r->t->other_body;
    g_free(o->ran_by);
    o->ran_by = g_strdup(r->t->attempt);
    bool lost = sim_chance(s, 10);
    r->result = lost ? CL_RESULT_UNKNOWN : CL_RESULT_DONE;
    sim_schedule(s, s->now_us + (lost ? 1000 : 20) * SIM_MS, on_service_answer,
                 r);
}

static void
send_to_service(sending *t)
{
    sim *s = t->c->s;
    run *r = g_new0(run, 1);
    r->t = t;
    if (sim_chance(s, 5)) {
        r->result = CL_RESULT_NOT_SENT;
        sim_schedule(s, s->now_us + SIM_MS, on_service_answer, r);
        return;
    }
    /* Some are delayed for long between the decision to send and the network.
     */
    uint32_t late_ms = sim_chance(s, 10) ? 8000 : 3;
    sim_schedule(s, s->now_us + sim_random_below(s, late_ms * 1000),
                 on_operation_received, r);
}

/* -- daemons -------------------------------------------------------------- */

typedef struct answer {
    node *n;
    uint32_t incarnation;
} answer;

static uint64_t
on_table(void *data, const co_table_result *result)
{
    answer *a = data;
    node *n = a->n;
    if (n->up && n->incarnation == a->incarnation) {
        if (is_paused(n)) {
            return n->paused_until_us + 1 + sim_random_below(n->c->s, 1000);
        }
        cl_feed(n->cl, n->c->s->now_us,
                &(cl_event){.type = CL_EVENT_TABLE, .table = result});
        run_actions(n);
    }
    g_free(a);
    return 0;
}

static void
on_resend(void *data)
{
    sending *t = data;
    if (t->c->ops[t->key].sendings < MAX_SENDINGS) {
        submit(t->c, t->key, sim_chance(t->c->s, 5));
    }
}

static void
check_answer(sending *t, const cl_action *action)
{
    cluster *c = t->c;
    op *o = &c->ops[t->key];
    ck_assert(!t->answered);
    t->answered = true;
    t->ran = action->ran;
    if (action->code == ER_OK) {
        g_autofree char *right = g_strdup_printf("result of %u", t->key);
        bool wrong = !g_str_equal(action->outcome, right) || o->runs == 0 ||
                     t->other_body != o->ran_other_body;
        c->wrong_outcomes += wrong;
        o->finished = true;
    }
    if (!o->finished && o->sendings < MAX_SENDINGS) {
        sim_schedule(
            c->s, c->s->now_us + (200 + sim_random_below(c->s, 2000)) * SIM_MS,
            on_resend, t);
    }
}

static void
carry_out(node *n, const cl_action *action)
{
    if (action->type == CL_ACTION_TABLE) {
        answer *a = g_new0(answer, 1);
        *a = (answer){.n = n, .incarnation = n->incarnation};
        sim_table_call(n->c->s, &action->table, false, on_table, a);
        return;
    }
    sending *t = n->c->sendings->pdata[action->tag];
    if (action->type == CL_ACTION_SEND) {
        t->attempt = g_strdup(action->attempt);
        t->claim = action->claim;
        n->c->wait_sum_us += (uint32_t)(n->c->s->now_us - t->created_us);
        n->c->sends++;
        send_to_service(t);
        return;
    }
    check_answer(t, action);
}

static void
run_actions(node *n)
{
    cl_action action;
    while (cl_next_action(n->cl, &action)) {
        carry_out(n, &action);
    }
}

static void
on_step(void *data)
{
    answer *a = data;
    node *n = a->n;
    sim *s = n->c->s;
    if (!n->up || n->incarnation != a->incarnation) {
        g_free(a);
        return;
    }
    if (!is_paused(n) && s->now_us >= cl_query_wakeup_us(n->cl)) {
        cl_feed(n->cl, s->now_us, &(cl_event){.type = CL_EVENT_TICK});
        run_actions(n);
    }
    sim_schedule(s, s->now_us + 5 * SIM_MS, on_step, a);
}

/* Tells every daemon that another is alive or gone. */
static void
report_liveness(const node *about, bool alive)
{
    for (uint32_t i = 0; i < NODES; i++) {
        node *n = &about->c->nodes[i];
        if (n->up && n != about) {
            cl_feed(n->cl, n->c->s->now_us,
                    &(cl_event){.type = CL_EVENT_PEER_LIVENESS,
                                .instance = about->name,
                                .incarnation = about->incarnation,
                                .alive = alive});
            run_actions(n);
        }
    }
}

static void
start_node(node *n)
{
    cl_desc desc = n->c->desc;
    desc.instance = n->name;
    desc.incarnation = ++n->incarnation;
    desc.seed = n->index + 1;
    n->cl = cl_create(&desc);
    n->up = true;
    answer *a = g_new0(answer, 1);
    *a = (answer){.n = n, .incarnation = n->incarnation};
    sim_schedule(n->c->s, n->c->s->now_us, on_step, a);
    report_liveness(n, true);
}

static void
kill_node(node *n)
{
    report_liveness(n, false);
    n->up = false;
    g_clear_pointer(&n->cl, cl_destroy);
}

/* -- callers -------------------------------------------------------------- */

static void
on_caller_timeout(void *data)
{
    sending *t = data;
    op *o = &t->c->ops[t->key];
    if (!t->answered && !o->finished && o->sendings < MAX_SENDINGS) {
        submit(t->c, t->key, false);
    }
}

static void
submit(cluster *c, uint32_t key, bool other_body)
{
    node *n = &c->nodes[sim_random_below(c->s, NODES)];
    op *o = &c->ops[key];
    o->sendings++;
    sending *t = g_new0(sending, 1);
    *t = (sending){.c = c,
                   .key = key,
                   .node = n->index,
                   .incarnation = n->incarnation,
                   .other_body = other_body,
                   .created_us = c->s->now_us};
    g_ptr_array_add(c->sendings, t);
    if (!n->up || is_paused(n)) {
        /* No connection: the caller tries another daemon later. */
        o->sendings--;
        sim_schedule(c->s, c->s->now_us + 100 * SIM_MS, on_resend, t);
        return;
    }
    /* The slash and the percent sign test the encoding of keys. */
    g_autofree char *name = g_strdup_printf(
        "key %u/%%%u", key, c->own_keys ? c->sendings->len : 0);
    cl_claim claim = cl_make_claim(
        n->cl, c->s->now_us,
        &(cl_claim_desc){.tag = c->sendings->len - 1,
                         .team = "t",
                         .key = name,
                         .body_hash = other_body ? "bb" : "aa",
                         .deadline_us = c->s->now_us + 3000 * SIM_MS});
    ck_assert_uint_ne(claim.id, 0);
    run_actions(n);
    sim_schedule(c->s, c->s->now_us + 4000 * SIM_MS, on_caller_timeout, t);
}

/* -- one run -------------------------------------------------------------- */

static void
clear_faults(cluster *c)
{
    c->s->table_down = false;
    c->s->answer_loss_pct = 0;
    c->s->delay_max_us = 5 * SIM_MS;
    for (uint32_t i = 0; i < NODES; i++) {
        if (!c->nodes[i].up) {
            start_node(&c->nodes[i]);
        }
    }
}

static void
inject_fault(cluster *c, bool kill)
{
    node *n = &c->nodes[sim_random_below(c->s, NODES)];
    switch (sim_random_below(c->s, kill ? 6 : 5)) {
    case 0:
        n->paused_until_us =
            c->s->now_us + (100 + sim_random_below(c->s, 5000)) * SIM_MS;
        break;
    case 1:
        c->s->table_down = true;
        break;
    case 2:
    case 3:
        c->s->answer_loss_pct = 40;
        break;
    case 4:
        c->s->delay_max_us = 900 * SIM_MS;
        break;
    default:
        if (n->up) {
            c->any_killed = true;
            kill_node(n);
        }
        break;
    }
}

static cluster *
cluster_create(uint32_t seed, const cl_desc *desc)
{
    cluster *c = g_new0(cluster, 1);
    c->s = sim_create(seed);
    c->desc = *desc;
    c->sendings = g_ptr_array_new();
    for (uint32_t i = 0; i < NODES; i++) {
        c->nodes[i].c = c;
        c->nodes[i].index = i;
        g_snprintf(c->nodes[i].name, sizeof(c->nodes[i].name), "d%u", i);
        start_node(&c->nodes[i]);
    }
    return c;
}

static void
cluster_destroy(cluster *c)
{
    for (uint32_t i = 0; i < NODES; i++) {
        c->nodes[i].up = false;
        g_clear_pointer(&c->nodes[i].cl, cl_destroy);
    }
    for (uint32_t i = 0; i < KEYS; i++) {
        c->ops[i].sendings = MAX_SENDINGS;
    }
    sim_run(c->s, c->s->now_us + 30000 * SIM_MS);
    for (guint i = 0; i < c->sendings->len; i++) {
        sending *t = c->sendings->pdata[i];
        g_free(t->attempt);
        g_free(t);
    }
    for (uint32_t i = 0; i < KEYS; i++) {
        g_free(c->ops[i].ran_by);
    }
    g_ptr_array_unref(c->sendings);
    sim_destroy(c->s);
    g_free(c);
}

/* Counts results that a global lock around table and service would rule
   out. */
static uint32_t
count_violations(cluster *c)
{
    uint32_t violations = c->wrong_outcomes;
    for (uint32_t i = 0; i < KEYS; i++) {
        violations += c->ops[i].runs > 1;
    }
    for (guint i = 0; i < c->sendings->len; i++) {
        const sending *t = c->sendings->pdata[i];
        const char *ran_by = c->ops[t->key].ran_by;
        violations += t->answered && t->ran == CL_RAN_NO && t->attempt &&
                      ran_by && g_str_equal(t->attempt, ran_by);
    }
    return violations;
}

/* Runs one seed and returns its violations. strict: a violation, or work left
   at the end, fails the test. */
static uint32_t
run_seed(uint32_t seed, const cl_desc *desc, bool strict)
{
    cluster *c = cluster_create(seed, desc);
    /* With even seeds no claimer dies, so that every key must run. */
    bool kill = seed % 2;
    for (uint32_t key = 0; key < KEYS; key++) {
        submit(c, key, false);
        if (sim_chance(c->s, 20)) {
            submit(c, key, false); /* a concurrent duplicate */
        }
        sim_run(c->s, c->s->now_us + sim_random_below(c->s, 400) * SIM_MS);
        if (sim_chance(c->s, 25)) {
            inject_fault(c, kill);
        }
        if (sim_chance(c->s, 20)) {
            clear_faults(c);
        }
    }
    clear_faults(c);
    sim_run(c->s, c->s->now_us + 40000 * SIM_MS);
    uint32_t violations = count_violations(c);
    if (strict) {
        ck_assert_msg(violations == 0, "seed %u: %u violations", seed,
                      violations);
        for (uint32_t i = 0; i < NODES; i++) {
            ck_assert_msg(cl_query_unwritten_count(c->nodes[i].cl) == 0 &&
                              cl_query_unanswered_count(c->nodes[i].cl) == 0,
                          "seed %u: daemon %u has claims without an answer or "
                          "outcomes not written",
                          seed, i);
        }
        for (uint32_t i = 0; !c->any_killed && i < KEYS; i++) {
            ck_assert_msg(c->ops[i].runs == 1 ||
                              c->ops[i].sendings >= MAX_SENDINGS,
                          "seed %u: key %u did not run exactly once", seed, i);
        }
    }
    cluster_destroy(c);
    return violations;
}

START_TEST(test_random_faults)
{
    const char *text = g_getenv("LACEWING_SEEDS");
    uint32_t seeds = text ? (uint32_t)atoi(text) : 150;
    for (uint32_t seed = 1; seed <= seeds; seed++) {
        run_seed(seed, &(cl_desc){0}, true);
    }
}
END_TEST

/* Runs seeds until one shows a violation; returns its violations. */
static uint32_t
count_violations_with(const cl_desc *unsafe)
{
    uint32_t violations = 0;
    for (uint32_t seed = 1; seed <= 40 && violations == 0; seed++) {
        violations = run_seed(seed, unsafe, false);
    }
    return violations;
}

START_TEST(test_detects_missing_safeguards)
{
    ck_assert_uint_gt(
        count_violations_with(&(cl_desc){.unsafe_send_on_timeout = true}), 0);
    ck_assert_uint_gt(
        count_violations_with(&(cl_desc){.unsafe_take_over = true}), 0);
    ck_assert_uint_gt(
        count_violations_with(&(cl_desc){.unsafe_unconditional_claim = true}),
        0);
}
END_TEST

/* -- group commit --------------------------------------------------------- */

typedef struct commit_measures {
    double writes_per_claim;
    double wait_ms;
} commit_measures;

static void
on_next_claim(void *data)
{
    cluster *c = data;
    static const uint32_t rate_per_s = 300; /* over NODES daemons */
    submit(c, sim_random_below(c->s, KEYS), false);
    if (c->sendings->len < 10 * rate_per_s) {
        sim_schedule(c->s, c->s->now_us + 1000000 / rate_per_s, on_next_claim,
                     c);
    }
}

static commit_measures
measure_commits(bool no_group_commit)
{
    cluster *c =
        cluster_create(1, &(cl_desc){.no_group_commit = no_group_commit});
    for (uint32_t i = 0; i < KEYS; i++) {
        c->ops[i].finished = true; /* no resends */
    }
    c->own_keys = true;
    on_next_claim(c);
    sim_run(c->s, 15000 * SIM_MS);
    uint64_t claims = 0;
    for (uint32_t i = 0; i < NODES; i++) {
        claims += cl_query_stats(c->nodes[i].cl).claims;
    }
    commit_measures out = {(double)c->s->commits / (double)claims,
                           (double)c->wait_sum_us / c->sends / 1000};
    cluster_destroy(c);
    return out;
}

START_TEST(test_group_commit)
{
    commit_measures single = measure_commits(true);
    commit_measures group = measure_commits(false);
    printf("group commit: %.2f transactions a claim against %.2f, "
           "claim committed after %.2f ms against %.2f ms\n",
           group.writes_per_claim, single.writes_per_claim, group.wait_ms,
           single.wait_ms);
    ck_assert(group.writes_per_claim <= single.writes_per_claim / 2);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("claims");
    TCase *tcase = tcase_create("claims");
    tcase_set_timeout(tcase, 280);
    tcase_add_test(tcase, test_random_faults);
    tcase_add_test(tcase, test_detects_missing_safeguards);
    tcase_add_test(tcase, test_group_commit);
    suite_add_tcase(suite, tcase);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_ENV);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
