/* Tests of the leases in virtual time. The simulated store is down or slow at
   times, loses answers and carries writes out late. */
#include "exchange.pb-c.h"
#include "lease.h"
#include "run.h"
#include <stdio.h>
#include <string.h>

#define MS UINT64_C(1000)
#define LEASE_MS 3000
#define INSTANCES 6
#define SERVERS 18
#define STEP_MS 20
#define MAX_READ_DELAY_MS 500
#define TX_MAX_ENTRIES 100 /* conditions and writes that the store accepts */

typedef struct row {
    GBytes *value;
    uint64_t version;
} row;

typedef struct delayed_tx {
    uint64_t at_us;
    GArray *conditions; /* dl_condition, owns its keys */
    GArray *writes;
} delayed_tx;

typedef struct node {
    le_lease *lease;
    bool running;
    bool frozen;
    bool disconnected; /* from the store */
    uint64_t started_us;
    uint64_t next_read_us;
    uint64_t read_due_us;        /* when the read in flight is fed; 0: none */
    GArray *read;                /* dl_row, as of when the read was sent */
    uint64_t read_asked_version; /* of the table when the read was sent */
    uint64_t read_version;       /* of the table as last fed */
    bool waiting;                /* for the answer to its transaction */
    uint64_t answer_us;
    er_code answer;
    uint64_t answer_version;
    GArray *answer_rows;
} node;

typedef struct simulation {
    uint64_t now_us;
    GRand *random;
    GHashTable *rows;   /* key -> row */
    bool delayed_reads; /* reads arrive late, recent rows arrive from peers */
    GArray *history;    /* dl_row, as written */
    uint64_t version;
    bool down;
    bool refusing; /* rejects every request at once */
    uint32_t tx_count;
    uint32_t loss_pct;
    uint32_t subset_threshold; /* le_desc.subset_threshold */
    node nodes[INSTANCES];
    GPtrArray *delayed;        /* delayed_tx */
    char last_holder[SERVERS]; /* index + 1 of the instance that last
                                  could give an order */
    uint64_t last_order_us[SERVERS];
    uint64_t last_fence[SERVERS];
    uint64_t orders;
    uint64_t last_held_us[SERVERS]; /* when an order was last possible */
} simulation;

static const char *const names[INSTANCES] = {"a", "b", "c", "d", "e", "f"};
static const char *const zones[INSTANCES] = {"z1", "z1", "z2",
                                             "z2", "z3", "z4"};

static void
free_row(void *data)
{
    row *old = data;
    g_bytes_unref(old->value);
    g_free(old);
}

static bool
condition_holds(simulation *sim, const dl_condition *condition)
{
    row *found = g_hash_table_lookup(sim->rows, condition->key);
    return dl_query_version_number(found ? found->version : 0) ==
           dl_query_version_number(condition->version);
}

static bool
apply_tx(simulation *sim, const dl_condition *conditions,
         size_t condition_count, const dl_write *writes, size_t write_count)
{
    for (size_t i = 0; i < condition_count; i++) {
        if (!condition_holds(sim, &conditions[i])) {
            return false;
        }
    }
    sim->version++;
    for (size_t i = 0; i < write_count; i++) {
        dl_row written = {g_strdup(writes[i].key),
                          writes[i].value ? g_bytes_ref(writes[i].value)
                                          : NULL,
                          sim->version};
        g_array_append_val(sim->history, written);
        if (!writes[i].value) {
            g_hash_table_remove(sim->rows, writes[i].key);
            continue;
        }
        row *new_row = g_new0(row, 1);
        new_row->value = g_bytes_ref(writes[i].value);
        new_row->version = sim->version;
        g_hash_table_replace(sim->rows, g_strdup(writes[i].key), new_row);
    }
    return true;
}

static GArray *
conflicting_rows(simulation *sim, const dl_tx *tx)
{
    GArray *rows = dl_make_rows();
    for (size_t i = 0; i < tx->condition_count; i++) {
        row *found = g_hash_table_lookup(sim->rows, tx->conditions[i].key);
        /* Only rows that failed their condition are returned. */
        if (found && found->version != tx->conditions[i].version) {
            dl_row copy = {g_strdup(tx->conditions[i].key),
                           g_bytes_ref(found->value), found->version};
            g_array_append_val(rows, copy);
        }
    }
    return rows;
}

static void
delay_tx(simulation *sim, const dl_tx *tx)
{
    delayed_tx *delayed = g_new0(delayed_tx, 1);
    delayed->at_us =
        sim->now_us + (uint64_t)g_rand_int_range(sim->random, 1000, 6000) * MS;
    delayed->conditions = g_array_new(FALSE, FALSE, sizeof(dl_condition));
    delayed->writes = g_array_new(FALSE, FALSE, sizeof(dl_write));
    for (size_t i = 0; i < tx->condition_count; i++) {
        dl_condition condition = {g_strdup(tx->conditions[i].key),
                                  tx->conditions[i].version};
        g_array_append_val(delayed->conditions, condition);
    }
    for (size_t i = 0; i < tx->write_count; i++) {
        dl_write write = {
            g_strdup(tx->writes[i].key),
            tx->writes[i].value ? g_bytes_ref(tx->writes[i].value) : NULL};
        g_array_append_val(delayed->writes, write);
    }
    g_ptr_array_add(sim->delayed, delayed);
}

static void
apply_due_txs(simulation *sim)
{
    for (guint i = sim->delayed->len; i > 0; i--) {
        delayed_tx *delayed = sim->delayed->pdata[i - 1];
        if (sim->now_us >= delayed->at_us) {
            apply_tx(sim, (dl_condition *)(void *)delayed->conditions->data,
                     delayed->conditions->len,
                     (dl_write *)(void *)delayed->writes->data,
                     delayed->writes->len);
            g_ptr_array_remove_index_fast(sim->delayed, i - 1);
        }
    }
}

static void
list_server(node *n, int s, bool listed)
{
    char id[16];
    char zone[4];
    g_snprintf(id, sizeof(id), "s%02d", s);
    g_snprintf(zone, sizeof(zone), "z%d", s % 4 + 1);
    if (listed) {
        le_put_server(n->lease, id, zone);
    }
    else {
        le_remove_server(n->lease, id);
    }
}

static void
start_node(simulation *sim, int i)
{
    node *n = &sim->nodes[i];
    *n = (node){.running = true, .started_us = sim->now_us};
    n->next_read_us = sim->now_us + 50 * MS;
    n->lease = le_create(&(le_desc){
        .instance = names[i],
        .zone = zones[i],
        .address = "127.0.0.1:1",
        .incarnation = ((uint64_t)g_rand_int(sim->random) << 20) | 1,
        .lease_ms = LEASE_MS,
        .subset_threshold = sim->subset_threshold});
    for (int s = 0; s < SERVERS; s++) {
        list_server(n, s, true);
    }
}

static void
stop_node(node *n)
{
    le_destroy(n->lease);
    if (n->answer_rows) {
        g_array_unref(n->answer_rows);
    }
    if (n->read) {
        g_array_unref(n->read);
    }
    *n = (node){0};
}

static void
snapshot_table(simulation *sim, node *n)
{
    n->read = dl_make_rows();
    n->read_asked_version = sim->version;
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, sim->rows);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const row *found = value;
        dl_row copy = {g_strdup(key), g_bytes_ref(found->value),
                       found->version};
        g_array_append_val(n->read, copy);
    }
}

static void
feed_table(simulation *sim, node *n)
{
    le_begin_read(n->lease, sim->now_us, n->read_asked_version);
    for (guint i = 0; i < n->read->len; i++) {
        le_feed_row(n->lease, sim->now_us, &g_array_index(n->read, dl_row, i));
    }
    le_end_read(n->lease, sim->now_us);
    le_note_store_answer(n->lease, sim->now_us);
    g_clear_pointer(&n->read, g_array_unref);
    n->read_version = n->read_asked_version;
    n->read_due_us = 0;
}

static void
snapshot_and_feed_table(simulation *sim, node *n)
{
    snapshot_table(sim, n);
    feed_table(sim, n);
}

/* Feeds one of the last rows written, as if passed on by a peer, possibly out
   of order. */
static void
feed_recent_row(simulation *sim, node *n)
{
    if (!sim->delayed_reads || sim->history->len == 0 ||
        n->read_version == 0 || g_rand_int_range(sim->random, 0, 10) != 0) {
        return;
    }
    guint back = (guint)g_rand_int_range(sim->random, 1, 10);
    const dl_row *recent =
        &g_array_index(sim->history, dl_row,
                       sim->history->len - MIN(back, sim->history->len));
    if (recent->version > n->read_version &&
        dl_query_era(recent->version) == dl_query_era(n->read_version)) {
        le_feed_row(n->lease, sim->now_us, recent);
    }
}

typedef struct change_count {
    uint32_t count;
    uint64_t oldest_us;
} change_count;

static void
check_change(const le_change *change, void *user_data)
{
    change_count *reported = user_data;
    ck_assert_ptr_nonnull(change->kind);
    ck_assert_ptr_nonnull(change->why);
    ck_assert_uint_le(change->age_us, reported->oldest_us);
    ck_assert_uint_le(change->holder_age_us, reported->oldest_us);
    reported->count++;
}

/* Checks that each server row in the transaction is reported as a change, and
   that no reported age is longer than the instance has run. */
static void
check_changes(simulation *sim, node *n, const dl_tx *tx)
{
    change_count reported = {.oldest_us = sim->now_us - n->started_us};
    le_each_change(n->lease, sim->now_us, check_change, &reported);
    for (size_t i = 0; i < tx->write_count; i++) {
        if (g_str_has_prefix(tx->writes[i].key, "o/")) {
            ck_assert_uint_gt(reported.count, 0);
            reported.count--;
        }
    }
}

static void
write_tx(simulation *sim, node *n)
{
    dl_tx tx;
    if (n->waiting || !le_next_tx(n->lease, sim->now_us, &tx)) {
        return;
    }
    ck_assert_uint_le(tx.condition_count + tx.write_count, TX_MAX_ENTRIES);
    check_changes(sim, n, &tx);
    sim->tx_count++;
    n->waiting = true;
    n->answer_us = sim->now_us + 10 * MS;
    n->answer = ER_PLATFORM_DOWN;
    if (sim->refusing) {
        return;
    }
    if (sim->down || n->disconnected) {
        n->answer_us = sim->now_us + 1200 * MS;
        return;
    }
    bool lost =
        (uint32_t)g_rand_int_range(sim->random, 0, 100) < sim->loss_pct;
    if (lost && g_rand_boolean(sim->random)) {
        delay_tx(sim, &tx);
        n->answer_us = sim->now_us + 1200 * MS;
        return;
    }
    bool done = apply_tx(sim, tx.conditions, tx.condition_count, tx.writes,
                         tx.write_count);
    n->answer = done ? ER_OK : ER_CONFLICT;
    n->answer_version = sim->version;
    n->answer_rows = done ? NULL : conflicting_rows(sim, &tx);
    if (lost) {
        n->answer = ER_TIMEOUT;
        n->answer_us = sim->now_us + 1200 * MS;
    }
}

static void
deliver_answer(simulation *sim, node *n)
{
    if (!n->waiting || sim->now_us < n->answer_us) {
        return;
    }
    n->waiting = false;
    bool answered = n->answer == ER_OK || n->answer == ER_CONFLICT;
    le_feed_result(n->lease, sim->now_us, n->answer,
                   answered ? n->answer_version : 0,
                   answered ? n->answer_rows : NULL);
    g_clear_pointer(&n->answer_rows, g_array_unref);
}

/* Assumes the worst case that each instance gives orders to each server
   whenever it may, and checks that no two instances do so within lease_ms of
   each other and that fencing numbers rise. */
static void
check_orders(simulation *sim, int i)
{
    for (int s = 0; s < SERVERS; s++) {
        char id[16];
        g_snprintf(id, sizeof(id), "s%02d", s);
        uint64_t fence = le_query_fence(sim->nodes[i].lease, sim->now_us, id);
        if (fence == 0) {
            continue;
        }
        sim->orders++;
        if (sim->last_holder[s] && sim->last_holder[s] != i + 1) {
            ck_assert_msg(sim->now_us >= sim->last_order_us[s] + LEASE_MS * MS,
                          "%s ordered by %s %" G_GUINT64_FORMAT " ms after %s",
                          id, names[i],
                          (sim->now_us - sim->last_order_us[s]) / 1000,
                          names[sim->last_holder[s] - 1]);
            ck_assert_uint_gt(fence, sim->last_fence[s]);
        }
        ck_assert_uint_ge(fence, sim->last_fence[s]);
        sim->last_holder[s] = (char)(i + 1);
        sim->last_order_us[s] = sim->now_us;
        sim->last_fence[s] = fence;
    }
}

static void
step_node(simulation *sim, int i)
{
    node *n = &sim->nodes[i];
    if (!n->running || n->frozen) {
        return;
    }
    deliver_answer(sim, n);
    if (sim->now_us >= n->next_read_us) {
        n->next_read_us = sim->now_us + 800 * MS;
        if (!sim->down && !sim->refusing && !n->disconnected) {
            snapshot_table(sim, n);
            n->read_due_us = sim->now_us;
            if (sim->delayed_reads) {
                n->read_due_us += (uint64_t)g_rand_int_range(
                                      sim->random, 0, MAX_READ_DELAY_MS) *
                                  MS;
            }
        }
        else {
            le_note_store_interruption(n->lease);
        }
    }
    if (n->read_due_us && sim->now_us >= n->read_due_us) {
        feed_table(sim, n);
    }
    feed_recent_row(sim, n);
    write_tx(sim, n);
    check_orders(sim, i);
}

static void
step(simulation *sim)
{
    sim->now_us += STEP_MS * MS;
    apply_due_txs(sim);
    for (int i = 0; i < INSTANCES; i++) {
        step_node(sim, i);
    }
}

static void
run_for(simulation *sim, uint64_t ms)
{
    for (uint64_t at = 0; at < ms; at += STEP_MS) {
        step(sim);
    }
}

static simulation *
make_simulation(uint32_t seed)
{
    simulation *sim = g_new0(simulation, 1);
    sim->now_us = 1000 * MS;
    sim->random = g_rand_new_with_seed(seed);
    sim->subset_threshold = seed % 2 ? 3 : 0;
    sim->rows =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_row);
    sim->delayed = g_ptr_array_new();
    sim->history = dl_make_rows();
    for (int i = 0; i < INSTANCES; i++) {
        start_node(sim, i);
    }
    return sim;
}

static void
free_simulation(simulation *sim)
{
    for (int i = 0; i < INSTANCES; i++) {
        if (sim->nodes[i].running) {
            stop_node(&sim->nodes[i]);
        }
    }
    g_array_unref(sim->history);
    g_hash_table_unref(sim->rows);
    g_rand_free(sim->random);
    g_free(sim);
}

static uint32_t
count_held(const simulation *sim)
{
    uint32_t count = 0;
    for (int s = 0; s < SERVERS; s++) {
        count += sim->last_holder[s] &&
                 sim->now_us <= sim->last_order_us[s] + 2 * STEP_MS * MS;
    }
    return count;
}

START_TEST(test_servers_claimed_evenly_after_start)
{
    simulation *sim = make_simulation(1);
    run_for(sim, 2500);
    ck_assert_uint_eq(count_held(sim), SERVERS);
    uint32_t per_instance[INSTANCES] = {0};
    for (int s = 0; s < SERVERS; s++) {
        per_instance[sim->last_holder[s] - 1]++;
    }
    for (int i = 0; i < INSTANCES; i++) {
        ck_assert_uint_ge(per_instance[i], 2);
        ck_assert_uint_le(per_instance[i], 5);
    }
    free_simulation(sim);
}
END_TEST

START_TEST(test_servers_of_dead_holder_taken_over)
{
    simulation *sim = make_simulation(2);
    run_for(sim, 3000);
    stop_node(&sim->nodes[2]);
    run_for(sim, 9000);
    ck_assert_uint_eq(count_held(sim), SERVERS);
    free_simulation(sim);
}
END_TEST

START_TEST(test_restarted_instance_reclaims_at_once)
{
    simulation *sim = make_simulation(3);
    run_for(sim, 3000);
    stop_node(&sim->nodes[4]);
    run_for(sim, 500);
    start_node(sim, 4);
    run_for(sim, 700);
    ck_assert_uint_eq(count_held(sim), SERVERS);
    free_simulation(sim);
}
END_TEST

/* An instance that was away gets its share back, so that no instance keeps
   most servers. */
START_TEST(test_rebalances_after_restart)
{
    simulation *sim = make_simulation(7);
    run_for(sim, 3000);
    stop_node(&sim->nodes[0]);
    stop_node(&sim->nodes[2]);
    stop_node(&sim->nodes[4]);
    run_for(sim, 12000);
    ck_assert_uint_eq(count_held(sim), SERVERS);
    start_node(sim, 0);
    start_node(sim, 2);
    start_node(sim, 4);
    run_for(sim, 25000);
    ck_assert_uint_eq(count_held(sim), SERVERS);
    uint32_t per_instance[INSTANCES] = {0};
    for (int s = 0; s < SERVERS; s++) {
        per_instance[sim->last_holder[s] - 1]++;
    }
    for (int i = 0; i < INSTANCES; i++) {
        ck_assert_msg(per_instance[i] >= 1 && per_instance[i] <= 5,
                      "%s holds %u", names[i], per_instance[i]);
    }
    free_simulation(sim);
}
END_TEST

START_TEST(test_given_up_servers_taken_over)
{
    simulation *sim = make_simulation(4);
    run_for(sim, 3000);
    le_announce_leave(sim->nodes[0].lease);
    run_for(sim, 1000);
    ck_assert_uint_eq(count_held(sim), SERVERS);
    le_leave(sim->nodes[0].lease);
    run_for(sim, 200);
    ck_assert(le_query_all_given_up(sim->nodes[0].lease));
    stop_node(&sim->nodes[0]);
    run_for(sim, 9000);
    ck_assert_uint_eq(count_held(sim), SERVERS);
    free_simulation(sim);
}
END_TEST

/* While the store rejects requests, each instance sends at most two a second,
   whatever it has to write. All servers are held again soon after the store
   recovers. */
START_TEST(test_backs_off_from_refusing_store)
{
    simulation *sim = make_simulation((uint32_t)_i + 1);
    run_for(sim, 4000);
    stop_node(&sim->nodes[1]);
    run_for(sim, 4000);
    sim->refusing = true;
    sim->tx_count = 0;
    run_for(sim, 10000);
    ck_assert_msg(sim->tx_count <= 10 * 2 * (INSTANCES - 1), "%u requests",
                  sim->tx_count);
    sim->refusing = false;
    run_for(sim, 14000);
    ck_assert_uint_eq(count_held(sim), SERVERS);
    free_simulation(sim);
}
END_TEST

/* -- restorations of the store -------------------------------------------- */

typedef struct store_copy {
    GHashTable *rows;
    uint64_t version;
} store_copy;

static GHashTable *
copy_rows(GHashTable *rows, uint64_t era)
{
    GHashTable *copy =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_row);
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, rows);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const row *old = value;
        row *new_row = g_new0(row, 1);
        new_row->value = g_bytes_ref(old->value);
        new_row->version =
            dl_make_version(era, dl_query_version_number(old->version));
        g_hash_table_insert(copy, g_strdup(key), new_row);
    }
    return copy;
}

static store_copy
copy_store(const simulation *sim)
{
    return (store_copy){copy_rows(sim->rows, 0), sim->version};
}

static void
restore_store(simulation *sim, store_copy *copy)
{
    uint64_t era = dl_query_era(sim->version) + 1;
    g_hash_table_unref(sim->rows);
    sim->rows = copy_rows(copy->rows, era);
    sim->version =
        dl_make_version(era, dl_query_version_number(copy->version));
    g_hash_table_unref(copy->rows);
}

/* Restarts, kills, cuts and freezes some instances. */
static void
disturb_instances(simulation *sim)
{
    for (int i = 0; i < INSTANCES; i++) {
        node *n = &sim->nodes[i];
        int what = g_rand_int_range(sim->random, 0, 8);
        n->frozen = what == 0;
        n->disconnected = what == 1;
        if (what == 2 && n->running) {
            stop_node(n);
            start_node(sim, i);
        }
        else if (what == 3 && n->running && i > 1) {
            stop_node(n);
        }
        else if (!n->running) {
            start_node(sim, i);
        }
    }
}

/* No two instances give orders to a server within the duration of a lease, and
   fencing numbers rise, though the rows of the copy name holders of before,
   and its versions are given out again. */
START_TEST(test_one_holder_across_restorations)
{
    simulation *sim = make_simulation((uint32_t)_i + 1);
    sim->delayed_reads = _i % 2;
    run_for(sim, (uint64_t)g_rand_int_range(sim->random, 200, 9000));
    for (int round = 0; round < 3; round++) {
        sim->loss_pct = (uint32_t)g_rand_int_range(sim->random, 0, 10);
        store_copy copy = copy_store(sim);
        run_for(sim, (uint64_t)g_rand_int_range(sim->random, 0, 6000));
        disturb_instances(sim);
        run_for(sim, (uint64_t)g_rand_int_range(sim->random, 0, 12000));
        sim->down = true;
        run_for(sim, (uint64_t)g_rand_int_range(sim->random, 0, 4000));
        sim->down = false;
        restore_store(sim, &copy);
        run_for(sim, (uint64_t)g_rand_int_range(sim->random, 0, 9000));
    }
    for (int i = 0; i < INSTANCES; i++) {
        sim->nodes[i].frozen = sim->nodes[i].disconnected = false;
    }
    sim->loss_pct = 0;
    run_for(sim, 25000);
    ck_assert_uint_eq(count_held(sim), SERVERS);
    free_simulation(sim);
}
END_TEST

/* Holders go on almost at once, whether or not the copy has their rows. */
START_TEST(test_holders_stay_across_restoration)
{
    simulation *sim = make_simulation((uint32_t)_i + 1);
    run_for(sim, _i % 2 ? 0 : 5000);
    store_copy copy = copy_store(sim);
    run_for(sim, 8000);
    char holders[SERVERS];
    memcpy(holders, sim->last_holder, sizeof(holders));
    restore_store(sim, &copy);
    run_for(sim, 2500);
    ck_assert_uint_eq(count_held(sim), SERVERS);
    ck_assert_mem_eq(holders, sim->last_holder, sizeof(holders));
    free_simulation(sim);
}
END_TEST

/* An instance is killed, restarted and told to leave before it lists a server.
   The servers that its earlier process gave orders to must not go to another
   instance at once. */
START_TEST(test_leaves_right_after_restart)
{
    simulation *sim = make_simulation((uint32_t)_i + 1);
    run_for(sim, 4000);
    stop_node(&sim->nodes[0]);
    run_for(sim, 100);
    start_node(sim, 0);
    for (int s = 0; s < SERVERS; s++) {
        list_server(&sim->nodes[0], s, false);
    }
    run_for(sim, 300);
    le_leave(sim->nodes[0].lease);
    run_for(sim, 200);
    ck_assert(le_query_all_given_up(sim->nodes[0].lease));
    stop_node(&sim->nodes[0]);
    run_for(sim, 9000);
    ck_assert_uint_eq(count_held(sim), SERVERS);
    free_simulation(sim);
}
END_TEST

static void
feed_server_rows(simulation *sim, node *n)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, sim->rows);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const row *found = value;
        dl_row copy = {key, found->value, found->version};
        if (g_str_has_prefix(key, "o/")) {
            le_feed_row(n->lease, sim->now_us, &copy);
        }
    }
}

/* A restarted holder's reclaimed server rows arrive before its new instance
   row, because a datagram with that row was lost. */
START_TEST(test_restarted_holder_known_in_part)
{
    simulation *sim = make_simulation((uint32_t)_i + 1);
    run_for(sim, 4000);
    list_server(&sim->nodes[0], 0, false); /* so that a claims b's servers */
    run_for(sim, 100);
    stop_node(&sim->nodes[1]);
    run_for(sim, 3500);
    start_node(sim, 1);
    sim->nodes[0].next_read_us = sim->now_us + 2000 * MS;
    for (int at = 0; at < 2000; at += STEP_MS) {
        step(sim);
        feed_server_rows(sim, &sim->nodes[0]);
    }
    list_server(&sim->nodes[0], 0, true);
    run_for(sim, 9000);
    ck_assert_uint_eq(count_held(sim), SERVERS);
    free_simulation(sim);
}
END_TEST

/* With many servers that each name another holder that is gone, each claim
   adds a condition on that holder's row. No transaction may exceed the limit
   of the store. */
START_TEST(test_tx_size_with_many_gone_holders)
{
    simulation *sim = make_simulation(1);
    run_for(sim, 4000);
    for (int s = 0; s < 90; s++) {
        char id[16];
        g_snprintf(id, sizeof(id), "t%02d", s);
        Lacewing__Exchange__HolderRow message =
            LACEWING__EXCHANGE__HOLDER_ROW__INIT;
        message.instance = id;
        message.incarnation = 1;
        uint8_t bytes[64];
        size_t count = protobuf_c_message_pack(&message.base, bytes);
        row *held_row = g_new0(row, 1);
        held_row->value = g_bytes_new(bytes, count);
        held_row->version = ++sim->version;
        g_hash_table_replace(sim->rows, g_strconcat("o/", id, NULL), held_row);
        for (int i = 0; i < INSTANCES; i++) {
            le_put_server(sim->nodes[i].lease, id, "z3");
        }
    }
    run_for(sim, 4000);
    for (int s = 0; s < 90; s++) {
        char id[16];
        g_snprintf(id, sizeof(id), "t%02d", s);
        ck_assert_uint_gt(le_query_fence(sim->nodes[4].lease, sim->now_us, id),
                          0);
    }
    free_simulation(sim);
}
END_TEST

/* The row of an instance's earlier process is removed between its first read
   and its registration. */
START_TEST(test_own_row_removed_before_registration)
{
    simulation *sim = make_simulation((uint32_t)_i + 1);
    run_for(sim, 4000);
    stop_node(&sim->nodes[4]);
    run_for(sim, 4000);
    start_node(sim, 4);
    snapshot_and_feed_table(sim, &sim->nodes[4]);
    dl_write removal = {"i/e", NULL};
    ck_assert(apply_tx(sim, NULL, 0, &removal, 1));
    run_for(sim, 12000);
    ck_assert(le_query_lease_valid(sim->nodes[4].lease, sim->now_us));
    ck_assert_uint_eq(count_held(sim), SERVERS);
    free_simulation(sim);
}
END_TEST

/* A row read before our removal of it arrives after that removal has taken
   effect. */
START_TEST(test_stale_read_after_removal)
{
    simulation *sim = make_simulation((uint32_t)_i + 1);
    run_for(sim, 4000);
    const row *found = g_hash_table_lookup(sim->rows, "o/s08");
    ck_assert_int_eq(sim->last_holder[8], 1);
    dl_row stale = {"o/s08", g_bytes_ref(found->value), found->version};
    list_server(&sim->nodes[0], 8, false);
    list_server(&sim->nodes[1], 0, false); /* so that b claims server 8 */
    while (g_hash_table_contains(sim->rows, "o/s08") ||
           sim->nodes[0].waiting) {
        step(sim);
    }
    sim->nodes[0].next_read_us = sim->now_us + 2000 * MS;
    le_feed_row(sim->nodes[0].lease, sim->now_us, &stale);
    list_server(&sim->nodes[0], 8, true);
    run_for(sim, 9000);
    list_server(&sim->nodes[1], 0, true);
    run_for(sim, 9000);
    ck_assert_uint_eq(count_held(sim), SERVERS);
    g_bytes_unref(stale.value);
    free_simulation(sim);
}
END_TEST

START_TEST(test_frozen_holder_loses_its_lease)
{
    simulation *sim = make_simulation(5);
    run_for(sim, 3000);
    sim->nodes[1].frozen = true;
    run_for(sim, 12000);
    sim->nodes[1].frozen = false;
    run_for(sim, 6000);
    ck_assert_uint_eq(count_held(sim), SERVERS);
    free_simulation(sim);
}
END_TEST

/* Servers leave the lists of all instances and return, at a different time for
   each instance. No instance may give an order within lease_ms of another
   one's. */
START_TEST(test_unlisted_servers_return)
{
    simulation *sim = make_simulation((uint32_t)_i + 1);
    run_for(sim, 4000);
    sim->loss_pct = _i % 2 ? 40 : 0;
    for (int k = 0; k < 8; k++) {
        int when[INSTANCES][SERVERS];
        for (int i = 0; i < INSTANCES; i++) {
            for (int s = 0; s < SERVERS; s++) {
                when[i][s] = g_rand_int_range(sim->random, 0, 100);
            }
        }
        for (int at = 0; at < 100; at++) {
            for (int i = 0; i < INSTANCES; i++) {
                for (int s = 0; s < SERVERS; s++) {
                    if (when[i][s] == at) {
                        list_server(&sim->nodes[i], s, k % 2 == 1);
                    }
                }
            }
            step(sim);
        }
    }
    sim->loss_pct = 0;
    run_for(sim, 16000);
    ck_assert_uint_eq(count_held(sim), SERVERS);
    free_simulation(sim);
}
END_TEST

/* The store may remove our row although its answer is lost. No order may be
   given under that row, even if the server is listed again. */
START_TEST(test_removal_without_answer)
{
    simulation *sim = make_simulation((uint32_t)_i + 1);
    run_for(sim, 4000);
    /* Instance a holds the first, third and fifth server of its zone. */
    ck_assert_int_eq(sim->last_holder[8], 1);
    sim->nodes[0].next_read_us += 700 * MS;
    list_server(&sim->nodes[0], 8, false);
    list_server(&sim->nodes[0], 16, false);
    list_server(&sim->nodes[1], 0,
                false); /* so that b claims servers 8 and 16 */
    run_for(sim, 3200);
    sim->loss_pct = 100;
    run_for(sim, 400);
    sim->loss_pct = 0;
    list_server(&sim->nodes[0], 8, true);
    list_server(&sim->nodes[0], 16, true);
    run_for(sim, 9000);
    list_server(&sim->nodes[1], 0, true);
    run_for(sim, 9000);
    ck_assert_uint_eq(count_held(sim), SERVERS);
    free_simulation(sim);
}
END_TEST

/* First claims are carried out late, after other claims of the same servers
   were written and removed again. An order under such a row must not have a
   lower fencing number than earlier orders. */
START_TEST(test_late_claim_after_removal)
{
    simulation *sim = make_simulation((uint32_t)_i + 1);
    run_for(sim, 1000);
    sim->loss_pct = 100;
    run_for(sim, 400);
    sim->loss_pct = 0;
    ck_assert_uint_gt(sim->delayed->len, 0);
    for (guint i = 0; i < sim->delayed->len; i++) {
        ((delayed_tx *)sim->delayed->pdata[i])->at_us =
            sim->now_us + 10900 * MS;
    }
    run_for(sim, 4000);
    ck_assert_uint_eq(count_held(sim), SERVERS);
    for (int k = 0; k < 2; k++) {
        for (int i = 0; i < INSTANCES; i++) {
            for (int s = 0; s < SERVERS; s++) {
                list_server(&sim->nodes[i], s, k == 1);
            }
        }
        run_for(sim, 7000);
    }
    ck_assert_uint_eq(sim->delayed->len, 0);
    ck_assert_uint_eq(count_held(sim), SERVERS);
    free_simulation(sim);
}
END_TEST

static void
inject_fault(simulation *sim)
{
    int i = g_rand_int_range(sim->random, 0, INSTANCES);
    node *n = &sim->nodes[i];
    switch (g_rand_int_range(sim->random, 0, 10)) {
    case 0:
        if (n->running) {
            stop_node(n);
        }
        break;
    case 1:
    case 2:
        if (!n->running) {
            start_node(sim, i);
        }
        break;
    case 3:
        n->frozen = n->running && !n->frozen;
        break;
    case 4:
        n->disconnected = !n->disconnected;
        break;
    case 5:
        sim->down = !sim->down;
        break;
    case 6:
        sim->loss_pct = (uint32_t)g_rand_int_range(sim->random, 0, 50);
        break;
    case 7:
    case 8:
        for (int s = 0; s < SERVERS && n->running; s++) {
            list_server(n, s, g_rand_boolean(sim->random));
        }
        break;
    default:
        if (n->running && g_rand_int_range(sim->random, 0, 3) == 0) {
            le_leave(n->lease);
        }
        break;
    }
}

/* Under random faults, two instances give orders to a server at least lease_ms
   apart and with rising fencing numbers. Once the faults end, every server
   gets a holder. */
START_TEST(test_random_faults)
{
    uint32_t seeds = 60;
    const char *more = g_getenv("LACEWING_SEEDS");
    if (more) {
        seeds = (uint32_t)g_ascii_strtoull(more, NULL, 10);
    }
    for (uint32_t seed = 1; seed <= seeds; seed++) {
        simulation *sim = make_simulation(seed);
        sim->delayed_reads = seed % 4 >= 2;
        for (int k = 0; k < 40; k++) {
            run_for(sim, (uint64_t)g_rand_int_range(sim->random, 100, 4000));
            inject_fault(sim);
        }
        sim->down = false;
        sim->loss_pct = 0;
        sim->delayed_reads = false;
        for (int i = 0; i < INSTANCES; i++) {
            if (sim->nodes[i].running) {
                stop_node(&sim->nodes[i]);
            }
        }
        run_for(sim, 100);
        for (int i = 0; i < INSTANCES; i++) {
            start_node(sim, i);
        }
        run_for(sim, 20000);
        ck_assert_msg(count_held(sim) == SERVERS, "seed %u: %u held", seed,
                      count_held(sim));
        free_simulation(sim);
    }
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("lease");
    tcase_set_timeout(tcase, 240);
    tcase_add_test(tcase, test_servers_claimed_evenly_after_start);
    tcase_add_test(tcase, test_servers_of_dead_holder_taken_over);
    tcase_add_test(tcase, test_restarted_instance_reclaims_at_once);
    /* FROM-TO plays other seeds than those of CI. */
    int from = 0;
    int to = 120;
    const char *seeds = g_getenv("LEASE_SEEDS");
    if (seeds && sscanf(seeds, "%d-%d", &from, &to) != 2) {
        return EXIT_FAILURE;
    }
    tcase_add_loop_test(tcase, test_one_holder_across_restorations, from, to);
    tcase_add_loop_test(tcase, test_holders_stay_across_restoration, 0, 8);
    tcase_add_test(tcase, test_rebalances_after_restart);
    tcase_add_test(tcase, test_given_up_servers_taken_over);
    tcase_add_loop_test(tcase, test_backs_off_from_refusing_store, 0, 6);
    tcase_add_loop_test(tcase, test_leaves_right_after_restart, 0, 4);
    tcase_add_loop_test(tcase, test_restarted_holder_known_in_part, 0, 4);
    tcase_add_test(tcase, test_tx_size_with_many_gone_holders);
    tcase_add_loop_test(tcase, test_own_row_removed_before_registration, 0, 4);
    tcase_add_loop_test(tcase, test_stale_read_after_removal, 0, 4);
    tcase_add_test(tcase, test_frozen_holder_loses_its_lease);
    tcase_add_loop_test(tcase, test_unlisted_servers_return, 0, 8);
    tcase_add_loop_test(tcase, test_removal_without_answer, 0, 8);
    tcase_add_loop_test(tcase, test_late_claim_after_removal, 0, 8);
    tcase_add_test(tcase, test_random_faults);
    return run_case("lease", tcase);
}
