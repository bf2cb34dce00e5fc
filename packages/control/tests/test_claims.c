/*
 * Claims in virtual time: callers send operations again through any daemon,
 * daemons pause, die and come back, the table is down, slow or loses answers.
 *
 * Checked: each key runs at most once; a request refused as not run never
 * ran; an outcome is that of the one run, as a single lock around everything
 * would have given it; another body never gets it; a key that nobody ran and
 * whose claimers all live can still be run.
 */
#include "lacewing/claims.h"
#include "sim.h"
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#define NODES 4
#define KEYS 40
#define TRIES 8

typedef struct world world;

typedef struct node {
    world *w;
    uint32_t index;
    char name[8];
    cl_machine *cl;
    uint32_t epoch;
    bool up;
    uint64_t paused_until_us;
} node;

typedef struct op {
    uint32_t tries;
    bool finished; /* the caller has an answer that it accepts */
    uint32_t runs;
    char *ran_by;   /* attempt */
    bool ran_other; /* with the other body */
} op;

/* One sending of an operation. */
typedef struct
try {
    world *w;
    uint32_t key;
    uint32_t node;
    uint32_t epoch;
    bool other_body;
    uint64_t made_us;
    cl_claim claim;
    char *attempt;
    bool answered;
    cl_ran ran;
}
try;

struct world {
    sim *s;
    node nodes[NODES];
    op ops[KEYS];
    GPtrArray *tries; /* try */
    cl_desc desc;
    bool any_killed;
    uint32_t wrong_outcome;
    uint32_t waits; /* summed time to CL_ACTION_SEND, us */
    uint32_t sends;
    bool own_keys; /* every sending has a key of its own */
};

static void submit(world *w, uint32_t key, bool other_body);
static void drain(node *n);

static bool
paused(const node *n)
{
    return n->paused_until_us > n->w->s->now_us;
}

/* -- the plain service ---------------------------------------------------- */

typedef struct run {
    try *t;
    cl_result result;
} run;

static void
on_service_answer(void *data)
{
    run *r = data;
    node *n = &r->t->w->nodes[r->t->node];
    if (n->up && n->epoch == r->t->epoch) {
        if (paused(n)) {
            sim_schedule(n->w->s, n->paused_until_us + 1, on_service_answer,
                         r);
            return;
        }
        g_autofree char *outcome = g_strdup_printf("result of %u", r->t->key);
        cl_finish(n->cl, n->w->s->now_us, r->t->claim, r->result, 200,
                  outcome);
        drain(n);
    }
    g_free(r);
}

static void
on_service(void *data)
{
    run *r = data;
    sim *s = r->t->w->s;
    op *o = &r->t->w->ops[r->t->key];
    o->runs++;
    o->ran_other = r->t->other_body;
    g_free(o->ran_by);
    o->ran_by = g_strdup(r->t->attempt);
    bool lost = sim_chance(s, 10);
    r->result = lost ? CL_RESULT_UNKNOWN : CL_RESULT_DONE;
    sim_schedule(s, s->now_us + (lost ? 1000 : 20) * SIM_MS, on_service_answer,
                 r);
}

static void
send_to_service(try *t)
{
    sim *s = t->w->s;
    run *r = g_new0(run, 1);
    r->t = t;
    if (sim_chance(s, 5)) {
        r->result = CL_RESULT_NOT_SENT;
        sim_schedule(s, s->now_us + SIM_MS, on_service_answer, r);
        return;
    }
    /* Some are held up for long between the decision and the wire. */
    uint32_t late_ms = sim_chance(s, 10) ? 8000 : 3;
    sim_schedule(s, s->now_us + sim_random_below(s, late_ms * 1000),
                 on_service, r);
}

/* -- daemons -------------------------------------------------------------- */

typedef struct answer {
    node *n;
    uint32_t epoch;
} answer;

static uint64_t
on_table(void *data, const co_table_result *result)
{
    answer *a = data;
    node *n = a->n;
    if (n->up && n->epoch == a->epoch) {
        if (paused(n)) {
            return n->paused_until_us + 1 + sim_random_below(n->w->s, 1000);
        }
        cl_feed(n->cl, n->w->s->now_us,
                &(cl_event){.type = CL_EVENT_TABLE, .table = result});
        drain(n);
    }
    g_free(a);
    return 0;
}

static void
on_again(void *data)
{
    try *t = data;
    if (t->w->ops[t->key].tries < TRIES) {
        submit(t->w, t->key, sim_chance(t->w->s, 5));
    }
}

static void
take_answer(try *t, const cl_action *action)
{
    world *w = t->w;
    op *o = &w->ops[t->key];
    ck_assert(!t->answered);
    t->answered = true;
    t->ran = action->ran;
    if (action->code == ER_OK) {
        g_autofree char *right = g_strdup_printf("result of %u", t->key);
        bool wrong = !g_str_equal(action->outcome, right) || o->runs == 0 ||
                     t->other_body != o->ran_other;
        w->wrong_outcome += wrong;
        o->finished = true;
    }
    if (!o->finished && o->tries < TRIES) {
        sim_schedule(
            w->s, w->s->now_us + (200 + sim_random_below(w->s, 2000)) * SIM_MS,
            on_again, t);
    }
}

static void
act(node *n, const cl_action *action)
{
    if (action->type == CL_ACTION_TABLE) {
        answer *a = g_new0(answer, 1);
        *a = (answer){.n = n, .epoch = n->epoch};
        sim_table_call(n->w->s, &action->table, false, on_table, a);
        return;
    }
    try *t = n->w->tries->pdata[action->tag];
    if (action->type == CL_ACTION_SEND) {
        t->attempt = g_strdup(action->attempt);
        t->claim = action->claim;
        n->w->waits += (uint32_t)(n->w->s->now_us - t->made_us);
        n->w->sends++;
        send_to_service(t);
        return;
    }
    take_answer(t, action);
}

static void
drain(node *n)
{
    cl_action action;
    while (cl_next_action(n->cl, &action)) {
        act(n, &action);
    }
}

static void
on_step(void *data)
{
    answer *a = data;
    node *n = a->n;
    sim *s = n->w->s;
    if (!n->up || n->epoch != a->epoch) {
        g_free(a);
        return;
    }
    if (!paused(n) && s->now_us >= cl_query_wakeup_us(n->cl)) {
        cl_feed(n->cl, s->now_us, &(cl_event){.type = CL_EVENT_TICK});
        drain(n);
    }
    sim_schedule(s, s->now_us + 5 * SIM_MS, on_step, a);
}

/* Tells every daemon that another is there or gone. */
static void
tell_alive(const node *about, bool alive)
{
    for (uint32_t i = 0; i < NODES; i++) {
        node *n = &about->w->nodes[i];
        if (n->up && n != about) {
            cl_feed(n->cl, n->w->s->now_us,
                    &(cl_event){.type = CL_EVENT_PEER,
                                .instance = about->name,
                                .incarnation = about->epoch,
                                .alive = alive});
            drain(n);
        }
    }
}

static void
start(node *n)
{
    cl_desc desc = n->w->desc;
    desc.instance = n->name;
    desc.incarnation = ++n->epoch;
    desc.seed = n->index + 1;
    n->cl = cl_create(&desc);
    n->up = true;
    answer *a = g_new0(answer, 1);
    *a = (answer){.n = n, .epoch = n->epoch};
    sim_schedule(n->w->s, n->w->s->now_us, on_step, a);
    tell_alive(n, true);
}

static void
halt(node *n)
{
    tell_alive(n, false);
    n->up = false;
    g_clear_pointer(&n->cl, cl_destroy);
}

/* -- callers -------------------------------------------------------------- */

static void
on_caller_timeout(void *data)
{
    try *t = data;
    op *o = &t->w->ops[t->key];
    if (!t->answered && !o->finished && o->tries < TRIES) {
        submit(t->w, t->key, false);
    }
}

static void
submit(world *w, uint32_t key, bool other_body)
{
    node *n = &w->nodes[sim_random_below(w->s, NODES)];
    op *o = &w->ops[key];
    o->tries++;
    try *t = g_new0(try, 1);
    *t = (try){.w = w,
               .key = key,
               .node = n->index,
               .epoch = n->epoch,
               .other_body = other_body,
               .made_us = w->s->now_us};
    g_ptr_array_add(w->tries, t);
    if (!n->up || paused(n)) {
        /* No connection: through another later. */
        o->tries--;
        sim_schedule(w->s, w->s->now_us + 100 * SIM_MS, on_again, t);
        return;
    }
    g_autofree char *name =
        g_strdup_printf("key %u/%%%u", key, w->own_keys ? w->tries->len : 0);
    cl_claim claim = cl_make_claim(
        n->cl, w->s->now_us,
        &(cl_claim_desc){.tag = w->tries->len - 1,
                         .team = "t",
                         .key = name,
                         .body_hash = other_body ? "bb" : "aa",
                         .deadline_us = w->s->now_us + 3000 * SIM_MS});
    ck_assert_uint_ne(claim.id, 0);
    drain(n);
    sim_schedule(w->s, w->s->now_us + 4000 * SIM_MS, on_caller_timeout, t);
}

/* -- one run -------------------------------------------------------------- */

static void
heal(world *w)
{
    w->s->table_down = false;
    w->s->answer_loss_pct = 0;
    w->s->delay_max_us = 5 * SIM_MS;
    for (uint32_t i = 0; i < NODES; i++) {
        if (!w->nodes[i].up) {
            start(&w->nodes[i]);
        }
    }
}

static void
one_fault(world *w, bool kill)
{
    node *n = &w->nodes[sim_random_below(w->s, NODES)];
    switch (sim_random_below(w->s, kill ? 6 : 5)) {
    case 0:
        n->paused_until_us =
            w->s->now_us + (100 + sim_random_below(w->s, 5000)) * SIM_MS;
        break;
    case 1:
        w->s->table_down = true;
        break;
    case 2:
    case 3:
        w->s->answer_loss_pct = 40;
        break;
    case 4:
        w->s->delay_max_us = 900 * SIM_MS;
        break;
    default:
        if (n->up) {
            w->any_killed = true;
            halt(n);
        }
        break;
    }
}

static world *
world_create(uint32_t seed, const cl_desc *desc)
{
    world *w = g_new0(world, 1);
    w->s = sim_create(seed);
    w->desc = *desc;
    w->tries = g_ptr_array_new();
    for (uint32_t i = 0; i < NODES; i++) {
        w->nodes[i].w = w;
        w->nodes[i].index = i;
        g_snprintf(w->nodes[i].name, sizeof(w->nodes[i].name), "d%u", i);
        start(&w->nodes[i]);
    }
    return w;
}

static void
world_destroy(world *w)
{
    for (uint32_t i = 0; i < NODES; i++) {
        w->nodes[i].up = false;
        g_clear_pointer(&w->nodes[i].cl, cl_destroy);
    }
    for (uint32_t i = 0; i < KEYS; i++) {
        w->ops[i].tries = TRIES;
    }
    sim_run(w->s, w->s->now_us + 30000 * SIM_MS);
    for (guint i = 0; i < w->tries->len; i++) {
        try *t = w->tries->pdata[i];
        g_free(t->attempt);
        g_free(t);
    }
    for (uint32_t i = 0; i < KEYS; i++) {
        g_free(w->ops[i].ran_by);
    }
    g_ptr_array_unref(w->tries);
    sim_destroy(w->s);
    g_free(w);
}

/* What a single lock around table and service would never give. */
static uint32_t
count_wrong(world *w)
{
    uint32_t wrong = w->wrong_outcome;
    for (uint32_t i = 0; i < KEYS; i++) {
        wrong += w->ops[i].runs > 1;
    }
    for (guint i = 0; i < w->tries->len; i++) {
        const try *t = w->tries->pdata[i];
        const char *ran_by = w->ops[t->key].ran_by;
        wrong += t->answered && t->ran == CL_RAN_NO && t->attempt && ran_by &&
                 g_str_equal(t->attempt, ran_by);
    }
    return wrong;
}

static uint32_t
run_seed(uint32_t seed, const cl_desc *desc, bool strict)
{
    world *w = world_create(seed, desc);
    bool kill = seed % 2;
    for (uint32_t key = 0; key < KEYS; key++) {
        submit(w, key, false);
        if (sim_chance(w->s, 20)) {
            submit(w, key, false); /* twice at once */
        }
        sim_run(w->s, w->s->now_us + sim_random_below(w->s, 400) * SIM_MS);
        if (sim_chance(w->s, 25)) {
            one_fault(w, kill);
        }
        if (sim_chance(w->s, 20)) {
            heal(w);
        }
    }
    heal(w);
    sim_run(w->s, w->s->now_us + 40000 * SIM_MS);
    uint32_t wrong = count_wrong(w);
    if (strict) {
        ck_assert_msg(wrong == 0, "seed %u: %u wrong", seed, wrong);
        for (uint32_t i = 0; i < NODES; i++) {
            ck_assert_msg(cl_query_unwritten_count(w->nodes[i].cl) == 0 &&
                              cl_query_open_count(w->nodes[i].cl) == 0,
                          "seed %u: daemon %u has work left", seed, i);
        }
        for (uint32_t i = 0; !w->any_killed && i < KEYS; i++) {
            ck_assert_msg(w->ops[i].runs == 1 || w->ops[i].tries >= TRIES,
                          "seed %u: key %u was lost", seed, i);
        }
    }
    world_destroy(w);
    return wrong;
}

START_TEST(test_faults)
{
    const char *text = g_getenv("LACEWING_SEEDS");
    uint32_t seeds = text ? (uint32_t)atoi(text) : 150;
    for (uint32_t seed = 1; seed <= seeds; seed++) {
        run_seed(seed, &(cl_desc){0}, true);
    }
}
END_TEST

static uint32_t
caught(const cl_desc *unsafe)
{
    uint32_t wrong = 0;
    for (uint32_t seed = 1; seed <= 40 && wrong == 0; seed++) {
        wrong = run_seed(seed, unsafe, false);
    }
    return wrong;
}

START_TEST(test_guards)
{
    ck_assert_uint_gt(caught(&(cl_desc){.unsafe_send_on_timeout = true}), 0);
    ck_assert_uint_gt(caught(&(cl_desc){.unsafe_take_over = true}), 0);
    ck_assert_uint_gt(caught(&(cl_desc){.unsafe_any_version = true}), 0);
}
END_TEST

/* -- group commit --------------------------------------------------------- */

typedef struct crest {
    double writes_per_claim;
    double wait_ms;
} crest;

static void
on_crest_claim(void *data)
{
    world *w = data;
    static const uint32_t rate_per_s = 300; /* over NODES daemons */
    submit(w, sim_random_below(w->s, KEYS), false);
    if (w->tries->len < 10 * rate_per_s) {
        sim_schedule(w->s, w->s->now_us + 1000000 / rate_per_s, on_crest_claim,
                     w);
    }
}

static crest
run_crest(bool no_group)
{
    world *w = world_create(1, &(cl_desc){.no_group = no_group});
    for (uint32_t i = 0; i < KEYS; i++) {
        w->ops[i].finished = true; /* no sending again */
    }
    w->own_keys = true;
    on_crest_claim(w);
    sim_run(w->s, 15000 * SIM_MS);
    uint64_t claims = 0;
    for (uint32_t i = 0; i < NODES; i++) {
        claims += cl_query_stats(w->nodes[i].cl).claims;
    }
    crest out = {(double)w->s->commits / (double)claims,
                 (double)w->waits / w->sends / 1000};
    world_destroy(w);
    return out;
}

START_TEST(test_group_commit)
{
    crest one = run_crest(true);
    crest group = run_crest(false);
    printf("group commit: %.2f transactions a claim against %.2f, "
           "claim committed after %.2f ms against %.2f ms\n",
           group.writes_per_claim, one.writes_per_claim, group.wait_ms,
           one.wait_ms);
    ck_assert(group.writes_per_claim <= one.writes_per_claim / 2);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("claims");
    TCase *tcase = tcase_create("claims");
    tcase_set_timeout(tcase, 280);
    tcase_add_test(tcase, test_faults);
    tcase_add_test(tcase, test_guards);
    tcase_add_test(tcase, test_group_commit);
    suite_add_tcase(suite, tcase);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_ENV);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
