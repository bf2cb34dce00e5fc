/*
 * Tests of the configuration chain in virtual time: operators submit changes
 * through several daemons at once, daemons restart and stall, and the table is
 * down, slow or loses answers.
 *
 * Checked: a daemon's version never decreases and each version has one text;
 * an accepted change stays in the chain and a refused one never enters it; a
 * starting daemon is not ready at a version older than one it has heard of.
 */
#include "lacewing/chain.h"
#include "sim.h"
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#define NODES 5
#define CHANGES 400

typedef struct cluster cluster;

typedef struct node {
    cluster *c;
    uint32_t index;
    char name[8]; /* "d" and the index */
    cc_machine *cc;
    uint32_t incarnation;
    bool up;
    uint64_t paused_until_us;
    uint64_t version;     /* last applied */
    uint64_t config_hash; /* hash of all applied texts, in order */
    bool was_ready;
    GHashTable *objects; /* key -> text; all nodes use those of node 0 */
} node;

struct cluster {
    sim *s;
    node nodes[NODES];
    cc_desc desc;
    /* By version, as first applied anywhere. */
    uint64_t config_hashes[CHANGES];
    char *texts[CHANGES];
    er_code results[CHANGES]; /* by tag, as the next two; ER_NUM: none yet */
    uint64_t result_versions[CHANGES];
    uint64_t result_times_us[CHANGES];
    uint32_t submitted;
    uint32_t accepted;
    uint32_t conflicts;
    uint32_t violations;
    bool table_cut_off[NODES];
};

typedef struct message {
    node *n;
    uint32_t incarnation;
    uint32_t from;
    uint64_t version;
    uint64_t number;
    char *text;
    cc_event_type type;
    bool snapshot;
} message;

static void run_actions(node *n);

static bool
is_paused(const node *n)
{
    return n->paused_until_us > n->c->s->now_us;
}

/* The hash depends on the order of the texts; 1000003 is a prime. */
static uint64_t
hash_append(uint64_t config_hash, const char *text)
{
    return (config_hash * 1000003) ^ g_str_hash(text);
}

/* The text of a snapshot is the config_hash in decimal. */
static void
record_applied(node *n, uint64_t version, uint64_t config_hash,
               bool is_snapshot)
{
    cluster *c = n->c;
    c->violations += version <= n->version || version >= CHANGES;
    c->violations += !is_snapshot && version != n->version + 1;
    n->version = version;
    n->config_hash = config_hash;
    if (version < CHANGES) {
        c->violations += c->config_hashes[version] &&
                         c->config_hashes[version] != config_hash;
        c->config_hashes[version] = config_hash;
    }
}

/* -- network -------------------------------------------------------------- */

static void
on_message(void *data)
{
    message *m = data;
    node *n = m->n;
    if (n->up && n->incarnation == m->incarnation) {
        if (is_paused(n)) {
            sim_schedule(n->c->s, n->paused_until_us + 1, on_message, m);
            return;
        }
        cc_feed(n->cc, n->c->s->now_us,
                &(cc_event){.type = m->type,
                            .instance = n->c->nodes[m->from].name,
                            .version = m->version,
                            .number = m->number,
                            .code = m->text ? ER_OK : ER_PLATFORM_DOWN,
                            .text = m->text,
                            .snapshot = m->snapshot});
        run_actions(n);
    }
    g_free(m->text);
    g_free(m);
}

static void
send_message(node *from, node *to, message m)
{
    m.n = to;
    m.incarnation = to->incarnation;
    m.from = from->index;
    m.text = g_strdup(m.text);
    /* Between daemons 5 % are lost; the object store always answers. */
    if (from != to && sim_chance(from->c->s, 5)) {
        g_free(m.text);
        return;
    }
    sim_schedule(from->c->s,
                 from->c->s->now_us + 300 + sim_random_below(from->c->s, 5000),
                 on_message, g_memdup2(&m, sizeof(m)));
}

static uint64_t
on_table(void *data, const co_table_result *result)
{
    message *m = data;
    node *n = m->n;
    if (n->up && n->incarnation == m->incarnation) {
        if (is_paused(n)) {
            return n->paused_until_us + 1;
        }
        cc_feed(n->cc, n->c->s->now_us,
                &(cc_event){.type = CC_EVENT_TABLE, .table = result});
        run_actions(n);
    }
    g_free(m);
    return 0;
}

static void
call_table(node *n, const cc_action *action)
{
    message *m = g_new0(message, 1);
    m->n = n;
    m->incarnation = n->incarnation;
    sim_table_call(n->c->s, &action->table, n->c->table_cut_off[n->index],
                   on_table, m);
}

/* Makes a call of the object store, a hash table that all nodes share. */
static void
call_objects(node *n, const cc_action *action)
{
    GHashTable *objects = n->c->nodes[0].objects;
    bool put = action->type == CC_ACTION_PUT_OBJECT;
    bool down = n->c->s->table_down;
    if (put && !down) {
        g_hash_table_insert(objects, g_strdup(action->key),
                            g_strdup(action->text));
    }
    const char *text = g_hash_table_lookup(objects, action->key);
    message m = {.type = CC_EVENT_OBJECT,
                 .number = action->number,
                 .text = down ? NULL : (char *)text};
    send_message(n, n, m);
}

static void
record_result(node *n, const cc_action *action)
{
    cluster *c = n->c;
    c->violations += c->results[action->tag] != ER_NUM;
    c->results[action->tag] = action->code;
    c->result_versions[action->tag] = action->version;
    c->result_times_us[action->tag] = c->s->now_us;
    c->accepted += action->code == ER_OK;
    c->conflicts += action->code == ER_CONFLICT;
}

static void
carry_out(node *n, const cc_action *action)
{
    switch (action->type) {
    case CC_ACTION_TABLE:
        call_table(n, action);
        break;
    case CC_ACTION_APPLY:
        record_applied(n, action->version,
                       hash_append(n->config_hash, action->text), false);
        break;
    case CC_ACTION_APPLY_SNAPSHOT:
        record_applied(n, action->version,
                       g_ascii_strtoull(action->text, NULL, 10), true);
        break;
    case CC_ACTION_SUBMIT_RESULT:
        record_result(n, action);
        break;
    case CC_ACTION_REQUEST_SNAPSHOT: {
        g_autofree char *snapshot_text =
            g_strdup_printf("%" G_GUINT64_FORMAT, n->config_hash);
        if (n->version == action->version) {
            cc_provide_snapshot(n->cc, n->c->s->now_us, n->version,
                                snapshot_text);
        }
        break;
    }
    case CC_ACTION_FETCH_FROM_PEER:
    case CC_ACTION_SEND_TEXT: {
        bool fetch = action->type == CC_ACTION_FETCH_FROM_PEER;
        message m = {.type = fetch ? CC_EVENT_FETCH_REQUESTED
                                   : CC_EVENT_TEXT_RECEIVED,
                     .version = action->version,
                     .text = (char *)action->text,
                     .snapshot = action->snapshot};
        send_message(n, &n->c->nodes[atoi(action->instance + 1)], m);
        break;
    }
    default:
        call_objects(n, action);
        break;
    }
}

static void
run_actions(node *n)
{
    cc_action action;
    while (cc_next_action(n->cc, &action)) {
        carry_out(n, &action);
    }
    bool ready = cc_query_ready(n->cc);
    n->c->violations +=
        ready && !n->was_ready && n->version < cc_query_newest_known(n->cc);
    n->c->violations += n->was_ready && !ready;
    n->was_ready = ready;
}

static void
on_step(void *data)
{
    message *m = data;
    node *n = m->n;
    sim *s = n->c->s;
    if (!n->up || n->incarnation != m->incarnation) {
        g_free(m);
        return;
    }
    if (!is_paused(n)) {
        if (s->now_us >= cc_query_wakeup_us(n->cc)) {
            cc_feed(n->cc, s->now_us, &(cc_event){.type = CC_EVENT_TICK});
            run_actions(n);
        }
        for (uint32_t i = 0; i < NODES; i++) {
            node *peer = &n->c->nodes[i];
            if (peer != n && peer->up && sim_chance(s, 20)) {
                send_message(n, peer,
                             (message){.type = CC_EVENT_PEER_VERSION,
                                       .version = cc_query_version(n->cc)});
            }
        }
    }
    sim_schedule(s, s->now_us + 50 * SIM_MS, on_step, m);
}

static void
start_node(node *n)
{
    cc_desc desc = n->c->desc;
    desc.instance = n->name;
    desc.seed = ++n->incarnation * NODES + n->index;
    desc.snapshot_every = 8;
    desc.keep_changes = 4;
    n->cc = cc_create(&desc);
    n->up = true;
    n->version = 0;
    n->config_hash = 0;
    n->was_ready = false;
    message *m = g_new0(message, 1);
    m->n = n;
    m->incarnation = n->incarnation;
    sim_schedule(n->c->s, n->c->s->now_us, on_step, m);
}

static void
kill_node(node *n)
{
    n->up = false;
    g_clear_pointer(&n->cc, cc_destroy);
}

/* -- one run -------------------------------------------------------------- */

static void
submit(cluster *c, node *n, uint64_t expect)
{
    uint32_t tag = c->submitted++;
    g_autofree char *id = g_strdup_printf("u%u", tag);
    g_autofree char *text = g_strdup_printf("change %u", tag);
    c->texts[tag] = g_strdup(text);
    cc_submit(n->cc, c->s->now_us,
              &(cc_submit_desc){.tag = tag,
                                .expect = expect,
                                .id = id,
                                .who = "ana",
                                .text = text,
                                .audit = id});
    run_actions(n);
}

static void
clear_faults(cluster *c)
{
    c->s->table_down = false;
    c->s->answer_loss_pct = 0;
    c->s->delay_max_us = 5 * SIM_MS;
    memset(c->table_cut_off, 0, sizeof(c->table_cut_off));
    for (uint32_t i = 0; i < NODES; i++) {
        if (!c->nodes[i].up) {
            start_node(&c->nodes[i]);
        }
    }
}

static void
inject_fault(cluster *c)
{
    node *n = &c->nodes[sim_random_below(c->s, NODES)];
    switch (sim_random_below(c->s, 6)) {
    case 0:
        n->paused_until_us =
            c->s->now_us + sim_random_below(c->s, 6000) * SIM_MS;
        break;
    case 1:
        c->s->table_down = true;
        break;
    case 2:
        c->s->answer_loss_pct = 40;
        break;
    case 3:
        c->s->delay_max_us = 900 * SIM_MS;
        break;
    case 4:
        c->table_cut_off[n->index] = true;
        break;
    default:
        if (n->up) {
            kill_node(n);
        }
        break;
    }
}

static cluster *
cluster_create(uint32_t seed, const cc_desc *desc)
{
    cluster *c = g_new0(cluster, 1);
    c->s = sim_create(seed);
    c->desc = *desc;
    for (uint32_t i = 0; i < CHANGES; i++) {
        c->results[i] = ER_NUM;
    }
    for (uint32_t i = 0; i < NODES; i++) {
        node *n = &c->nodes[i];
        n->c = c;
        n->index = i;
        g_snprintf(n->name, sizeof(n->name), "d%u", i);
        n->objects =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        start_node(n);
    }
    return c;
}

static void
cluster_destroy(cluster *c)
{
    for (uint32_t i = 0; i < NODES; i++) {
        kill_node(&c->nodes[i]);
    }
    sim_run(c->s, c->s->now_us + 30000 * SIM_MS);
    for (uint32_t i = 0; i < NODES; i++) {
        g_hash_table_unref(c->nodes[i].objects);
    }
    for (uint32_t i = 0; i < CHANGES; i++) {
        g_free(c->texts[i]);
    }
    sim_destroy(c->s);
    g_free(c);
}

/* Checks that the chain in the table equals one that a global lock would have
   produced: accepted changes are in it at their version, refused ones are not,
   and every node has applied it to its end. */
static void
check_chain(cluster *c)
{
    uint64_t config_hash = 0;
    for (uint64_t version = 1;; version++) {
        g_autofree char *key =
            g_strdup_printf("config/change/%012" G_GUINT64_FORMAT, version);
        const sim_row *row = g_tree_lookup(c->s->rows, key);
        if (!row) {
            break;
        }
        g_autofree char *value = g_strndup(g_bytes_get_data(row->value, NULL),
                                           g_bytes_get_size(row->value));
        uint32_t tag = (uint32_t)atoi(value + 1);
        config_hash = hash_append(config_hash, c->texts[tag]);
        c->violations += version < CHANGES && c->config_hashes[version] &&
                         c->config_hashes[version] != config_hash;
        c->violations += c->results[tag] == ER_CONFLICT;
        if (c->results[tag] == ER_OK) {
            c->violations += c->result_versions[tag] != version;
            c->accepted--;
        }
    }
    c->violations += c->accepted; /* accepted, but not in the chain */
    for (uint32_t i = 0; i < NODES; i++) {
        c->violations +=
            c->nodes[i].config_hash != config_hash || !c->nodes[i].was_ready;
    }
}

static uint32_t
run_seed(uint32_t seed, const cc_desc *desc)
{
    cluster *c = cluster_create(seed, desc);
    sim_run(c->s, 1000 * SIM_MS);
    for (uint32_t i = 0; i < 60; i++) {
        node *n = &c->nodes[sim_random_below(c->s, NODES)];
        if (n->up && !is_paused(n)) {
            /* Mostly the version in force, at times an older one or one that
               does not exist yet. */
            uint64_t seen = cc_query_version(n->cc);
            uint64_t expect = sim_chance(c->s, 10) ? seen / 2 : seen;
            submit(c, n, expect + (sim_chance(c->s, 5) ? 3 : 0));
        }
        if (sim_chance(c->s, 60)) {
            sim_run(c->s,
                    c->s->now_us + sim_random_below(c->s, 3000) * SIM_MS);
        }
        if (sim_chance(c->s, 20)) {
            inject_fault(c);
        }
        if (sim_chance(c->s, 15)) {
            clear_faults(c);
        }
    }
    clear_faults(c);
    sim_run(c->s, c->s->now_us + 40000 * SIM_MS);
    uint32_t accepted = c->accepted;
    check_chain(c);
    uint32_t violations = c->violations;
    ck_assert_uint_gt(accepted, 0);
    cluster_destroy(c);
    return violations;
}

START_TEST(test_random_faults)
{
    const char *text = g_getenv("LACEWING_SEEDS");
    uint32_t seeds = text ? (uint32_t)atoi(text) : 100;
    for (uint32_t seed = 1; seed <= seeds; seed++) {
        uint32_t violations = run_seed(seed, &(cc_desc){0});
        ck_assert_msg(violations == 0, "seed %u: %u violations", seed,
                      violations);
    }
}
END_TEST

/* Runs seeds until one shows a violation; returns its violations. */
static uint32_t
count_violations_with(const cc_desc *unsafe)
{
    uint32_t violations = 0;
    for (uint32_t seed = 1; seed <= 30 && violations == 0; seed++) {
        violations = run_seed(seed, unsafe);
    }
    return violations;
}

START_TEST(test_detects_missing_safeguards)
{
    ck_assert_uint_gt(
        count_violations_with(&(cc_desc){.unsafe_overwrite_change = true}), 0);
    ck_assert_uint_gt(
        count_violations_with(&(cc_desc){.unsafe_apply_older = true}), 0);
}
END_TEST

/* Measures the time from an accepted change until it is in force everywhere,
   while one daemon is frozen. */
START_TEST(test_time_until_in_force)
{
    uint64_t worst_us = 0;
    for (uint32_t seed = 1; seed <= 30; seed++) {
        cluster *c = cluster_create(seed, &(cc_desc){0});
        sim_run(c->s, 3000 * SIM_MS);
        c->nodes[1].paused_until_us = c->s->now_us + 20000 * SIM_MS;
        submit(c, &c->nodes[0], 0);
        while (c->results[0] == ER_NUM) {
            sim_run(c->s, c->s->now_us + SIM_MS);
        }
        ck_assert_int_eq(c->results[0], ER_OK);
        for (uint32_t i = 2; i < NODES; i++) {
            while (c->nodes[i].version < 1) {
                sim_run(c->s, c->s->now_us + SIM_MS);
            }
        }
        worst_us = MAX(worst_us, c->s->now_us - c->result_times_us[0]);
        cluster_destroy(c);
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
    tcase_add_test(tcase, test_random_faults);
    tcase_add_test(tcase, test_detects_missing_safeguards);
    tcase_add_test(tcase, test_time_until_in_force);
    suite_add_tcase(suite, tcase);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_ENV);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
