/*
 * The configuration chain in virtual time: operators race through several
 * daemons, daemons restart, the table is down, slow or loses answers.
 *
 * Checked: a daemon's version never falls and each version has one text; what
 * was accepted stays; what was refused never comes; a starting daemon serves
 * nothing older than what it has heard of.
 */
#include "lacewing/chain.h"
#include "sim.h"
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#define NODES 5
#define CHANGES 400

typedef struct world world;

typedef struct node {
    world *w;
    uint32_t index;
    char name[8];
    cc_machine *cc;
    uint32_t epoch;
    bool up;
    uint64_t paused_until_us;
    uint64_t version; /* as applied */
    uint64_t fold;    /* hash of all texts applied, in order */
    bool was_ready;
    GHashTable *objects;
} node;

struct world {
    sim *s;
    node nodes[NODES];
    cc_desc desc;
    uint64_t folds[CHANGES]; /* by version, as first applied anywhere */
    char *texts[CHANGES];
    er_code fates[CHANGES]; /* by tag; ER_NUM: none yet */
    uint64_t won_version[CHANGES];
    uint64_t won_us[CHANGES];
    uint32_t submitted;
    uint32_t accepted;
    uint32_t conflicts;
    uint32_t wrong;
    bool table_cut[NODES];
};

typedef struct message {
    node *n;
    uint32_t epoch;
    uint32_t from;
    uint64_t version;
    uint64_t number;
    char *text;
    cc_event_type type;
    bool snapshot;
} message;

static void drain(node *n);

static bool
paused(const node *n)
{
    return n->paused_until_us > n->w->s->now_us;
}

static uint64_t
fold_in(uint64_t fold, const char *text)
{
    return (fold * 1000003) ^ g_str_hash(text);
}

/* A text of the whole is its fold, written out. */
static void
note_applied(node *n, uint64_t version, uint64_t fold, bool whole)
{
    world *w = n->w;
    w->wrong += version <= n->version || version >= CHANGES;
    w->wrong += !whole && version != n->version + 1;
    n->version = version;
    n->fold = fold;
    if (version < CHANGES) {
        w->wrong += w->folds[version] && w->folds[version] != fold;
        w->folds[version] = fold;
    }
}

/* -- wires ---------------------------------------------------------------- */

static void
on_message(void *data)
{
    message *m = data;
    node *n = m->n;
    if (n->up && n->epoch == m->epoch) {
        if (paused(n)) {
            sim_schedule(n->w->s, n->paused_until_us + 1, on_message, m);
            return;
        }
        cc_feed(n->cc, n->w->s->now_us,
                &(cc_event){.type = m->type,
                            .instance = n->w->nodes[m->from].name,
                            .version = m->version,
                            .number = m->number,
                            .code = m->text ? ER_OK : ER_PLATFORM_DOWN,
                            .text = m->text,
                            .snapshot = m->snapshot});
        drain(n);
    }
    g_free(m->text);
    g_free(m);
}

static void
post(node *from, node *to, message m)
{
    m.n = to;
    m.epoch = to->epoch;
    m.from = from->index;
    m.text = g_strdup(m.text);
    if (from != to && sim_chance(from->w->s, 5)) {
        g_free(m.text);
        return;
    }
    sim_schedule(from->w->s,
                 from->w->s->now_us + 300 + sim_random_below(from->w->s, 5000),
                 on_message, g_memdup2(&m, sizeof(m)));
}

static uint64_t
on_table(void *data, const co_table_result *result)
{
    message *m = data;
    node *n = m->n;
    if (n->up && n->epoch == m->epoch) {
        if (paused(n)) {
            return n->paused_until_us + 1;
        }
        cc_feed(n->cc, n->w->s->now_us,
                &(cc_event){.type = CC_EVENT_TABLE, .table = result});
        drain(n);
    }
    g_free(m);
    return 0;
}

static void
call_table(node *n, const cc_action *action)
{
    message *m = g_new0(message, 1);
    m->n = n;
    m->epoch = n->epoch;
    sim_table_call(n->w->s, &action->table, n->w->table_cut[n->index],
                   on_table, m);
}

/* The object store: a hash table that all share. */
static void
call_objects(node *n, const cc_action *action)
{
    GHashTable *objects = n->w->nodes[0].objects;
    bool put = action->type == CC_ACTION_PUT;
    bool down = n->w->s->table_down;
    if (put && !down) {
        g_hash_table_insert(objects, g_strdup(action->key),
                            g_strdup(action->text));
    }
    const char *text = g_hash_table_lookup(objects, action->key);
    message m = {.type = CC_EVENT_OBJECT,
                 .number = action->number,
                 .text = down ? NULL : (char *)text};
    post(n, n, m);
}

static void
take_fate(node *n, const cc_action *action)
{
    world *w = n->w;
    w->wrong += w->fates[action->tag] != ER_NUM;
    w->fates[action->tag] = action->code;
    w->won_version[action->tag] = action->version;
    w->won_us[action->tag] = w->s->now_us;
    w->accepted += action->code == ER_OK;
    w->conflicts += action->code == ER_CONFLICT;
}

static void
act(node *n, const cc_action *action)
{
    switch (action->type) {
    case CC_ACTION_TABLE:
        call_table(n, action);
        break;
    case CC_ACTION_APPLY:
        note_applied(n, action->version, fold_in(n->fold, action->text),
                     false);
        break;
    case CC_ACTION_APPLY_SNAPSHOT:
        note_applied(n, action->version,
                     g_ascii_strtoull(action->text, NULL, 10), true);
        break;
    case CC_ACTION_SUBMITTED:
        take_fate(n, action);
        break;
    case CC_ACTION_WANT_SNAPSHOT: {
        g_autofree char *whole =
            g_strdup_printf("%" G_GUINT64_FORMAT, n->fold);
        if (n->version == action->version) {
            cc_give_snapshot(n->cc, n->w->s->now_us, n->version, whole);
        }
        break;
    }
    case CC_ACTION_FETCH:
    case CC_ACTION_SEND_TEXT: {
        bool fetch = action->type == CC_ACTION_FETCH;
        message m = {.type = fetch ? CC_EVENT_FETCH : CC_EVENT_TEXT,
                     .version = action->version,
                     .text = (char *)action->text,
                     .snapshot = action->snapshot};
        post(n, &n->w->nodes[atoi(action->instance + 1)], m);
        break;
    }
    default:
        call_objects(n, action);
        break;
    }
}

static void
drain(node *n)
{
    cc_action action;
    while (cc_next_action(n->cc, &action)) {
        act(n, &action);
    }
    bool ready = cc_query_ready(n->cc);
    n->w->wrong +=
        ready && !n->was_ready && n->version < cc_query_newest_heard(n->cc);
    n->w->wrong += n->was_ready && !ready;
    n->was_ready = ready;
}

static void
on_step(void *data)
{
    message *m = data;
    node *n = m->n;
    sim *s = n->w->s;
    if (!n->up || n->epoch != m->epoch) {
        g_free(m);
        return;
    }
    if (!paused(n)) {
        if (s->now_us >= cc_query_wakeup_us(n->cc)) {
            cc_feed(n->cc, s->now_us, &(cc_event){.type = CC_EVENT_TICK});
            drain(n);
        }
        for (uint32_t i = 0; i < NODES; i++) {
            node *peer = &n->w->nodes[i];
            if (peer != n && peer->up && sim_chance(s, 20)) {
                post(n, peer,
                     (message){.type = CC_EVENT_HEARD,
                               .version = cc_query_version(n->cc)});
            }
        }
    }
    sim_schedule(s, s->now_us + 50 * SIM_MS, on_step, m);
}

static void
start(node *n)
{
    cc_desc desc = n->w->desc;
    desc.instance = n->name;
    desc.seed = ++n->epoch * NODES + n->index;
    desc.snapshot_every = 8;
    desc.keep_changes = 4;
    n->cc = cc_create(&desc);
    n->up = true;
    n->version = 0;
    n->fold = 0;
    n->was_ready = false;
    message *m = g_new0(message, 1);
    m->n = n;
    m->epoch = n->epoch;
    sim_schedule(n->w->s, n->w->s->now_us, on_step, m);
}

static void
halt(node *n)
{
    n->up = false;
    g_clear_pointer(&n->cc, cc_destroy);
}

/* -- one run -------------------------------------------------------------- */

static void
submit(world *w, node *n, uint64_t expect)
{
    uint32_t tag = w->submitted++;
    g_autofree char *id = g_strdup_printf("u%u", tag);
    g_autofree char *text = g_strdup_printf("change %u", tag);
    w->texts[tag] = g_strdup(text);
    cc_submit(n->cc, w->s->now_us,
              &(cc_submit_desc){.tag = tag,
                                .expect = expect,
                                .id = id,
                                .who = "ana",
                                .text = text,
                                .audit = id});
    drain(n);
}

static void
heal(world *w)
{
    w->s->table_down = false;
    w->s->answer_loss_pct = 0;
    w->s->delay_max_us = 5 * SIM_MS;
    memset(w->table_cut, 0, sizeof(w->table_cut));
    for (uint32_t i = 0; i < NODES; i++) {
        if (!w->nodes[i].up) {
            start(&w->nodes[i]);
        }
    }
}

static void
one_fault(world *w)
{
    node *n = &w->nodes[sim_random_below(w->s, NODES)];
    switch (sim_random_below(w->s, 6)) {
    case 0:
        n->paused_until_us =
            w->s->now_us + sim_random_below(w->s, 6000) * SIM_MS;
        break;
    case 1:
        w->s->table_down = true;
        break;
    case 2:
        w->s->answer_loss_pct = 40;
        break;
    case 3:
        w->s->delay_max_us = 900 * SIM_MS;
        break;
    case 4:
        w->table_cut[n->index] = true;
        break;
    default:
        if (n->up) {
            halt(n);
        }
        break;
    }
}

static world *
world_create(uint32_t seed, const cc_desc *desc)
{
    world *w = g_new0(world, 1);
    w->s = sim_create(seed);
    w->desc = *desc;
    for (uint32_t i = 0; i < CHANGES; i++) {
        w->fates[i] = ER_NUM;
    }
    for (uint32_t i = 0; i < NODES; i++) {
        node *n = &w->nodes[i];
        n->w = w;
        n->index = i;
        g_snprintf(n->name, sizeof(n->name), "d%u", i);
        n->objects =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        start(n);
    }
    return w;
}

static void
world_destroy(world *w)
{
    for (uint32_t i = 0; i < NODES; i++) {
        halt(&w->nodes[i]);
    }
    sim_run(w->s, w->s->now_us + 30000 * SIM_MS);
    for (uint32_t i = 0; i < NODES; i++) {
        g_hash_table_unref(w->nodes[i].objects);
    }
    for (uint32_t i = 0; i < CHANGES; i++) {
        g_free(w->texts[i]);
    }
    sim_destroy(w->s);
    g_free(w);
}

/* The table's chain is what one lock around everything would have left:
   accepted changes are in it at their version, refused ones are not. */
static void
check_chain(world *w)
{
    uint64_t fold = 0;
    for (uint64_t version = 1;; version++) {
        g_autofree char *key =
            g_strdup_printf("config/change/%012" G_GUINT64_FORMAT, version);
        const sim_row *row = g_tree_lookup(w->s->rows, key);
        if (!row) {
            break;
        }
        g_autofree char *value = g_strndup(g_bytes_get_data(row->value, NULL),
                                           g_bytes_get_size(row->value));
        uint32_t tag = (uint32_t)atoi(value + 1);
        fold = fold_in(fold, w->texts[tag]);
        w->wrong += version < CHANGES && w->folds[version] &&
                    w->folds[version] != fold;
        w->wrong += w->fates[tag] == ER_CONFLICT;
        if (w->fates[tag] == ER_OK) {
            w->wrong += w->won_version[tag] != version;
            w->accepted--;
        }
    }
    w->wrong += w->accepted; /* accepted, and not in the chain */
    for (uint32_t i = 0; i < NODES; i++) {
        w->wrong += w->nodes[i].fold != fold || !w->nodes[i].was_ready;
    }
}

static uint32_t
run_seed(uint32_t seed, const cc_desc *desc)
{
    world *w = world_create(seed, desc);
    sim_run(w->s, 1000 * SIM_MS);
    for (uint32_t i = 0; i < 60; i++) {
        node *n = &w->nodes[sim_random_below(w->s, NODES)];
        if (n->up && !paused(n)) {
            uint64_t seen = cc_query_version(n->cc);
            uint64_t expect = sim_chance(w->s, 10) ? seen / 2 : seen;
            submit(w, n, expect + (sim_chance(w->s, 5) ? 3 : 0));
        }
        if (sim_chance(w->s, 60)) {
            sim_run(w->s,
                    w->s->now_us + sim_random_below(w->s, 3000) * SIM_MS);
        }
        if (sim_chance(w->s, 20)) {
            one_fault(w);
        }
        if (sim_chance(w->s, 15)) {
            heal(w);
        }
    }
    heal(w);
    sim_run(w->s, w->s->now_us + 40000 * SIM_MS);
    uint32_t accepted = w->accepted;
    check_chain(w);
    uint32_t wrong = w->wrong;
    ck_assert_uint_gt(accepted, 0);
    world_destroy(w);
    return wrong;
}

START_TEST(test_faults)
{
    const char *text = g_getenv("LACEWING_SEEDS");
    uint32_t seeds = text ? (uint32_t)atoi(text) : 100;
    for (uint32_t seed = 1; seed <= seeds; seed++) {
        uint32_t wrong = run_seed(seed, &(cc_desc){0});
        ck_assert_msg(wrong == 0, "seed %u: %u wrong", seed, wrong);
    }
}
END_TEST

static uint32_t
caught(const cc_desc *unsafe)
{
    uint32_t wrong = 0;
    for (uint32_t seed = 1; seed <= 30 && wrong == 0; seed++) {
        wrong = run_seed(seed, unsafe);
    }
    return wrong;
}

START_TEST(test_guards)
{
    ck_assert_uint_gt(caught(&(cc_desc){.unsafe_any_version = true}), 0);
    ck_assert_uint_gt(caught(&(cc_desc){.unsafe_take_older = true}), 0);
}
END_TEST

/* From an accepted change to in force everywhere, one daemon frozen. */
START_TEST(test_in_force)
{
    uint64_t worst_us = 0;
    for (uint32_t seed = 1; seed <= 30; seed++) {
        world *w = world_create(seed, &(cc_desc){0});
        sim_run(w->s, 3000 * SIM_MS);
        w->nodes[1].paused_until_us = w->s->now_us + 20000 * SIM_MS;
        submit(w, &w->nodes[0], 0);
        while (w->fates[0] == ER_NUM) {
            sim_run(w->s, w->s->now_us + SIM_MS);
        }
        ck_assert_int_eq(w->fates[0], ER_OK);
        for (uint32_t i = 2; i < NODES; i++) {
            while (w->nodes[i].version < 1) {
                sim_run(w->s, w->s->now_us + SIM_MS);
            }
        }
        worst_us = MAX(worst_us, w->s->now_us - w->won_us[0]);
        world_destroy(w);
    }
    printf("in force everywhere: worst of 30 seeds %.0f ms\n",
           (double)worst_us / 1000);
    ck_assert_uint_lt(worst_us, 3000 * SIM_MS);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("chain");
    TCase *tcase = tcase_create("chain");
    tcase_set_timeout(tcase, 280);
    tcase_add_test(tcase, test_faults);
    tcase_add_test(tcase, test_guards);
    tcase_add_test(tcase, test_in_force);
    suite_add_tcase(suite, tcase);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_ENV);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
