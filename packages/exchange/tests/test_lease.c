/* Tests of the leases, in virtual time over a table that is down, slow, loses
   answers and carries writes out late. */
#include "exchange.pb-c.h"
#include "lease.h"
#include "run.h"

#define MS UINT64_C(1000)
#define LEASE_MS 3000
#define INSTANCES 6
#define SERVERS 18
#define STEP_MS 20
#define LATE_READ_MS 500
#define TX_ENTRIES 100 /* that the store takes */

typedef struct row {
    GBytes *value;
    uint64_t version;
} row;

typedef struct late_tx {
    uint64_t at_us;
    GArray *conditions; /* dl_condition with own keys */
    GArray *writes;
} late_tx;

typedef struct node {
    le_lease *lease;
    bool running;
    bool frozen;
    bool cut; /* from the store */
    uint64_t started_us;
    uint64_t next_read_us;
    uint64_t take_read_us;  /* when the read under way is taken; 0: none */
    GArray *read;           /* dl_row, as they were when it was asked */
    uint64_t asked_version; /* of the table then */
    uint64_t read_version;  /* of the table as last taken */
    bool waits;             /* for an answer of its transaction */
    uint64_t answer_us;
    er_code answer;
    uint64_t answer_version;
    GArray *answer_rows;
} node;

typedef struct world {
    uint64_t now_us;
    GRand *random;
    GHashTable *rows; /* key -> row */
    bool stale;       /* reads come late, some rows are told by others */
    GArray *history;  /* dl_row, as written */
    uint64_t version;
    bool down;
    bool busy;      /* turns every call away at once */
    uint32_t calls; /* transactions */
    uint32_t lose_pct;
    uint32_t many; /* le_desc.many: some instances hold nothing above it */
    node nodes[INSTANCES];
    GPtrArray *late;           /* late_tx */
    char last_holder[SERVERS]; /* index + 1 of who ordered last */
    uint64_t last_order_us[SERVERS];
    uint64_t last_fence[SERVERS];
    uint64_t orders;
    uint64_t idle_us[SERVERS]; /* when somebody could order last */
} world;

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
holds(world *w, const dl_condition *condition)
{
    row *found = g_hash_table_lookup(w->rows, condition->key);
    return (found ? found->version : 0) == condition->version;
}

static bool
apply(world *w, const dl_condition *conditions, size_t condition_count,
      const dl_write *writes, size_t write_count)
{
    for (size_t i = 0; i < condition_count; i++) {
        if (!holds(w, &conditions[i])) {
            return false;
        }
    }
    w->version++;
    for (size_t i = 0; i < write_count; i++) {
        dl_row written = {
            g_strdup(writes[i].key),
            writes[i].value ? g_bytes_ref(writes[i].value) : NULL, w->version};
        g_array_append_val(w->history, written);
        if (!writes[i].value) {
            g_hash_table_remove(w->rows, writes[i].key);
            continue;
        }
        row *new_row = g_new0(row, 1);
        new_row->value = g_bytes_ref(writes[i].value);
        new_row->version = w->version;
        g_hash_table_replace(w->rows, g_strdup(writes[i].key), new_row);
    }
    return true;
}

static GArray *
read_rows(world *w, const dl_tx *tx)
{
    GArray *rows = dl_make_rows();
    for (size_t i = 0; i < tx->condition_count; i++) {
        row *found = g_hash_table_lookup(w->rows, tx->conditions[i].key);
        /* Only rows that failed their condition are told. */
        if (found && found->version != tx->conditions[i].version) {
            dl_row copy = {g_strdup(tx->conditions[i].key),
                           g_bytes_ref(found->value), found->version};
            g_array_append_val(rows, copy);
        }
    }
    return rows;
}

static void
keep_late(world *w, const dl_tx *tx)
{
    late_tx *late = g_new0(late_tx, 1);
    late->at_us =
        w->now_us + (uint64_t)g_rand_int_range(w->random, 1000, 6000) * MS;
    late->conditions = g_array_new(FALSE, FALSE, sizeof(dl_condition));
    late->writes = g_array_new(FALSE, FALSE, sizeof(dl_write));
    for (size_t i = 0; i < tx->condition_count; i++) {
        dl_condition condition = {g_strdup(tx->conditions[i].key),
                                  tx->conditions[i].version};
        g_array_append_val(late->conditions, condition);
    }
    for (size_t i = 0; i < tx->write_count; i++) {
        dl_write write = {
            g_strdup(tx->writes[i].key),
            tx->writes[i].value ? g_bytes_ref(tx->writes[i].value) : NULL};
        g_array_append_val(late->writes, write);
    }
    g_ptr_array_add(w->late, late);
}

static void
apply_late(world *w)
{
    for (guint i = w->late->len; i > 0; i--) {
        late_tx *late = w->late->pdata[i - 1];
        if (w->now_us >= late->at_us) {
            apply(w, (dl_condition *)(void *)late->conditions->data,
                  late->conditions->len,
                  (dl_write *)(void *)late->writes->data, late->writes->len);
            g_ptr_array_remove_index_fast(w->late, i - 1);
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
start_node(world *w, int i)
{
    node *n = &w->nodes[i];
    *n = (node){.running = true, .started_us = w->now_us};
    n->next_read_us = w->now_us + 50 * MS;
    n->lease = le_create(
        &(le_desc){.instance = names[i],
                   .zone = zones[i],
                   .address = "127.0.0.1:1",
                   .incarnation = ((uint64_t)g_rand_int(w->random) << 20) | 1,
                   .lease_ms = LEASE_MS,
                   .subset_threshold = w->many});
    for (int s = 0; s < SERVERS; s++) {
        list_server(n, s, true);
    }
}

static void
end_node(node *n)
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
ask_table(world *w, node *n)
{
    n->read = dl_make_rows();
    n->asked_version = w->version;
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, w->rows);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const row *found = value;
        dl_row copy = {g_strdup(key), g_bytes_ref(found->value),
                       found->version};
        g_array_append_val(n->read, copy);
    }
}

static void
take_table(world *w, node *n)
{
    le_begin_read(n->lease);
    for (guint i = 0; i < n->read->len; i++) {
        le_feed_row(n->lease, w->now_us, &g_array_index(n->read, dl_row, i));
    }
    le_end_read(n->lease, w->now_us);
    le_note_store_answer(n->lease, w->now_us);
    g_clear_pointer(&n->read, g_array_unref);
    n->read_version = n->asked_version;
    n->take_read_us = 0;
}

static void
read_table(world *w, node *n)
{
    ask_table(w, n);
    take_table(w, n);
}

/* A row that was written lately, told by another, or later than others. */
static void
tell_row(world *w, node *n)
{
    if (!w->stale || w->history->len == 0 || n->read_version == 0 ||
        g_rand_int_range(w->random, 0, 10) != 0) {
        return;
    }
    guint back = (guint)g_rand_int_range(w->random, 1, 10);
    const dl_row *told = &g_array_index(
        w->history, dl_row, w->history->len - MIN(back, w->history->len));
    if (told->version > n->read_version) {
        le_feed_row(n->lease, w->now_us, told);
    }
}

typedef struct lines {
    uint32_t count;
    uint64_t oldest_us;
} lines;

static void
check_change(const le_change *change, void *user_data)
{
    lines *told = user_data;
    ck_assert_ptr_nonnull(change->kind);
    ck_assert_ptr_nonnull(change->why);
    ck_assert_uint_le(change->age_us, told->oldest_us);
    ck_assert_uint_le(change->holder_age_us, told->oldest_us);
    told->count++;
}

/* Each row of a server that is written has its line; a belief is not older
   than who has it. */
static void
check_lines(world *w, node *n, const dl_tx *tx)
{
    lines told = {.oldest_us = w->now_us - n->started_us};
    le_each_change(n->lease, w->now_us, check_change, &told);
    for (size_t i = 0; i < tx->write_count; i++) {
        if (g_str_has_prefix(tx->writes[i].key, "o/")) {
            ck_assert_uint_gt(told.count, 0);
            told.count--;
        }
    }
}

static void
write_tx(world *w, node *n)
{
    dl_tx tx;
    if (n->waits || !le_next_tx(n->lease, w->now_us, &tx)) {
        return;
    }
    ck_assert_uint_le(tx.condition_count + tx.write_count, TX_ENTRIES);
    check_lines(w, n, &tx);
    w->calls++;
    n->waits = true;
    n->answer_us = w->now_us + 10 * MS;
    n->answer = ER_PLATFORM_DOWN;
    if (w->busy) {
        return;
    }
    if (w->down || n->cut) {
        n->answer_us = w->now_us + 1200 * MS;
        return;
    }
    bool lost = (uint32_t)g_rand_int_range(w->random, 0, 100) < w->lose_pct;
    if (lost && g_rand_boolean(w->random)) {
        keep_late(w, &tx);
        n->answer_us = w->now_us + 1200 * MS;
        return;
    }
    bool done =
        apply(w, tx.conditions, tx.condition_count, tx.writes, tx.write_count);
    n->answer = done ? ER_OK : ER_CONFLICT;
    n->answer_version = w->version;
    n->answer_rows = done ? NULL : read_rows(w, &tx);
    if (lost) {
        n->answer = ER_TIMEOUT;
        n->answer_us = w->now_us + 1200 * MS;
    }
}

static void
take_answer(world *w, node *n)
{
    if (!n->waits || w->now_us < n->answer_us) {
        return;
    }
    n->waits = false;
    bool told = n->answer == ER_OK || n->answer == ER_CONFLICT;
    le_feed_result(n->lease, w->now_us, n->answer,
                   told ? n->answer_version : 0, told ? n->answer_rows : NULL);
    g_clear_pointer(&n->answer_rows, g_array_unref);
}

/* Each instance orders each server whenever it may: the worst case. */
static void
order_all(world *w, int i)
{
    for (int s = 0; s < SERVERS; s++) {
        char id[16];
        g_snprintf(id, sizeof(id), "s%02d", s);
        uint64_t fence = le_query_fence(w->nodes[i].lease, w->now_us, id);
        if (fence == 0) {
            continue;
        }
        w->orders++;
        if (w->last_holder[s] && w->last_holder[s] != i + 1) {
            ck_assert_msg(w->now_us >= w->last_order_us[s] + LEASE_MS * MS,
                          "%s ordered by %s %" G_GUINT64_FORMAT " ms after %s",
                          id, names[i],
                          (w->now_us - w->last_order_us[s]) / 1000,
                          names[w->last_holder[s] - 1]);
            ck_assert_uint_gt(fence, w->last_fence[s]);
        }
        ck_assert_uint_ge(fence, w->last_fence[s]);
        w->last_holder[s] = (char)(i + 1);
        w->last_order_us[s] = w->now_us;
        w->last_fence[s] = fence;
    }
}

static void
step_node(world *w, int i)
{
    node *n = &w->nodes[i];
    if (!n->running || n->frozen) {
        return;
    }
    take_answer(w, n);
    if (w->now_us >= n->next_read_us) {
        n->next_read_us = w->now_us + 800 * MS;
        if (!w->down && !w->busy && !n->cut) {
            ask_table(w, n);
            n->take_read_us = w->now_us;
            if (w->stale) {
                n->take_read_us +=
                    (uint64_t)g_rand_int_range(w->random, 0, LATE_READ_MS) *
                    MS;
            }
        }
        else {
            le_note_store_interruption(n->lease);
        }
    }
    if (n->take_read_us && w->now_us >= n->take_read_us) {
        take_table(w, n);
    }
    tell_row(w, n);
    write_tx(w, n);
    order_all(w, i);
}

static void
step(world *w)
{
    w->now_us += STEP_MS * MS;
    apply_late(w);
    for (int i = 0; i < INSTANCES; i++) {
        step_node(w, i);
    }
}

static void
run_for(world *w, uint64_t ms)
{
    for (uint64_t at = 0; at < ms; at += STEP_MS) {
        step(w);
    }
}

static world *
make_world(uint32_t seed)
{
    world *w = g_new0(world, 1);
    w->now_us = 1000 * MS;
    w->random = g_rand_new_with_seed(seed);
    w->many = seed % 2 ? 3 : 0;
    w->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_row);
    w->late = g_ptr_array_new();
    w->history = dl_make_rows();
    for (int i = 0; i < INSTANCES; i++) {
        start_node(w, i);
    }
    return w;
}

static void
free_world(world *w)
{
    for (int i = 0; i < INSTANCES; i++) {
        if (w->nodes[i].running) {
            end_node(&w->nodes[i]);
        }
    }
    g_array_unref(w->history);
    g_hash_table_unref(w->rows);
    g_rand_free(w->random);
    g_free(w);
}

static uint32_t
held(const world *w)
{
    uint32_t count = 0;
    for (int s = 0; s < SERVERS; s++) {
        count += w->last_holder[s] &&
                 w->now_us <= w->last_order_us[s] + 2 * STEP_MS * MS;
    }
    return count;
}

START_TEST(test_all_held_soon_and_evenly)
{
    world *w = make_world(1);
    run_for(w, 2500);
    ck_assert_uint_eq(held(w), SERVERS);
    uint32_t of[INSTANCES] = {0};
    for (int s = 0; s < SERVERS; s++) {
        of[w->last_holder[s] - 1]++;
    }
    for (int i = 0; i < INSTANCES; i++) {
        ck_assert_uint_ge(of[i], 2);
        ck_assert_uint_le(of[i], 5);
    }
    free_world(w);
}
END_TEST

START_TEST(test_dead_holder_is_followed)
{
    world *w = make_world(2);
    run_for(w, 3000);
    end_node(&w->nodes[2]);
    run_for(w, 9000);
    ck_assert_uint_eq(held(w), SERVERS);
    free_world(w);
}
END_TEST

START_TEST(test_same_machine_takes_back_at_once)
{
    world *w = make_world(3);
    run_for(w, 3000);
    end_node(&w->nodes[4]);
    run_for(w, 500);
    start_node(w, 4);
    run_for(w, 700);
    ck_assert_uint_eq(held(w), SERVERS);
    free_world(w);
}
END_TEST

/* Who was away gets its part again, so that no instance ends with most. */
START_TEST(test_evens_out)
{
    world *w = make_world(7);
    run_for(w, 3000);
    end_node(&w->nodes[0]);
    end_node(&w->nodes[2]);
    end_node(&w->nodes[4]);
    run_for(w, 12000);
    ck_assert_uint_eq(held(w), SERVERS);
    start_node(w, 0);
    start_node(w, 2);
    start_node(w, 4);
    run_for(w, 25000);
    ck_assert_uint_eq(held(w), SERVERS);
    uint32_t of[INSTANCES] = {0};
    for (int s = 0; s < SERVERS; s++) {
        of[w->last_holder[s] - 1]++;
    }
    for (int i = 0; i < INSTANCES; i++) {
        ck_assert_msg(of[i] >= 1 && of[i] <= 5, "%s holds %u", names[i],
                      of[i]);
    }
    free_world(w);
}
END_TEST

START_TEST(test_left_servers_are_followed)
{
    world *w = make_world(4);
    run_for(w, 3000);
    le_announce_leave(w->nodes[0].lease);
    run_for(w, 1000);
    ck_assert_uint_eq(held(w), SERVERS);
    le_leave(w->nodes[0].lease);
    run_for(w, 200);
    ck_assert(le_query_all_given_up(w->nodes[0].lease));
    end_node(&w->nodes[0]);
    run_for(w, 9000);
    ck_assert_uint_eq(held(w), SERVERS);
    free_world(w);
}
END_TEST

/* A store that turns calls away is not asked on and on, whatever is to be
   written: two calls a second for each instance at the most; and all is well
   soon after it is back. */
START_TEST(test_busy_store_is_spared)
{
    world *w = make_world((uint32_t)_i + 1);
    run_for(w, 4000);
    end_node(&w->nodes[1]);
    run_for(w, 4000);
    w->busy = true;
    w->calls = 0;
    run_for(w, 10000);
    ck_assert_msg(w->calls <= 10 * 2 * (INSTANCES - 1), "%u calls", w->calls);
    w->busy = false;
    run_for(w, 14000);
    ck_assert_uint_eq(held(w), SERVERS);
    free_world(w);
}
END_TEST

/* Killed and started again, and told to leave before it lists a server: what
   the process before ordered is not another's at once. */
START_TEST(test_leaves_soon_after_a_restart)
{
    world *w = make_world((uint32_t)_i + 1);
    run_for(w, 4000);
    end_node(&w->nodes[0]);
    run_for(w, 100);
    start_node(w, 0);
    for (int s = 0; s < SERVERS; s++) {
        list_server(&w->nodes[0], s, false);
    }
    run_for(w, 300);
    le_leave(w->nodes[0].lease);
    run_for(w, 200);
    ck_assert(le_query_all_given_up(w->nodes[0].lease));
    end_node(&w->nodes[0]);
    run_for(w, 9000);
    ck_assert_uint_eq(held(w), SERVERS);
    free_world(w);
}
END_TEST

static void
tell_holders(world *w, node *n)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, w->rows);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const row *found = value;
        dl_row copy = {key, found->value, found->version};
        if (g_str_has_prefix(key, "o/")) {
            le_feed_row(n->lease, w->now_us, &copy);
        }
    }
}

/* Word that a holder took its servers back comes before word of its new
   incarnation, which is missing where a datagram was lost. */
START_TEST(test_holder_anew_told_in_part)
{
    world *w = make_world((uint32_t)_i + 1);
    run_for(w, 4000);
    list_server(&w->nodes[0], 0, false); /* a takes b's for its own */
    run_for(w, 100);
    end_node(&w->nodes[1]);
    run_for(w, 3500);
    start_node(w, 1);
    w->nodes[0].next_read_us = w->now_us + 2000 * MS;
    for (int at = 0; at < 2000; at += STEP_MS) {
        step(w);
        tell_holders(w, &w->nodes[0]);
    }
    list_server(&w->nodes[0], 0, true);
    run_for(w, 9000);
    ck_assert_uint_eq(held(w), SERVERS);
    free_world(w);
}
END_TEST

/* Many servers, each of another holder that is gone: no call is larger than
   the store takes. */
START_TEST(test_many_gone_holders)
{
    world *w = make_world(1);
    run_for(w, 4000);
    for (int s = 0; s < 90; s++) {
        char id[16];
        g_snprintf(id, sizeof(id), "t%02d", s);
        Lacewing__Exchange__HolderRow of =
            LACEWING__EXCHANGE__HOLDER_ROW__INIT;
        of.instance = id;
        of.incarnation = 1;
        uint8_t bytes[64];
        size_t count = protobuf_c_message_pack(&of.base, bytes);
        row *held_row = g_new0(row, 1);
        held_row->value = g_bytes_new(bytes, count);
        held_row->version = ++w->version;
        g_hash_table_replace(w->rows, g_strconcat("o/", id, NULL), held_row);
        for (int i = 0; i < INSTANCES; i++) {
            le_put_server(w->nodes[i].lease, id, "z3");
        }
    }
    run_for(w, 4000);
    for (int s = 0; s < 90; s++) {
        char id[16];
        g_snprintf(id, sizeof(id), "t%02d", s);
        ck_assert_uint_gt(le_query_fence(w->nodes[4].lease, w->now_us, id), 0);
    }
    free_world(w);
}
END_TEST

/* Its row of before is removed between its first read and its registration. */
START_TEST(test_starts_while_it_is_ended)
{
    world *w = make_world((uint32_t)_i + 1);
    run_for(w, 4000);
    end_node(&w->nodes[4]);
    run_for(w, 4000);
    start_node(w, 4);
    read_table(w, &w->nodes[4]);
    dl_write removal = {"i/e", NULL};
    ck_assert(apply(w, NULL, 0, &removal, 1));
    run_for(w, 12000);
    ck_assert(le_query_lease_valid(w->nodes[4].lease, w->now_us));
    ck_assert_uint_eq(held(w), SERVERS);
    free_world(w);
}
END_TEST

/* A read that was asked before the own row was removed comes after it. */
START_TEST(test_removed_row_comes_late)
{
    world *w = make_world((uint32_t)_i + 1);
    run_for(w, 4000);
    const row *found = g_hash_table_lookup(w->rows, "o/s08");
    ck_assert_int_eq(w->last_holder[8], 1);
    dl_row late = {"o/s08", g_bytes_ref(found->value), found->version};
    list_server(&w->nodes[0], 8, false);
    list_server(&w->nodes[1], 0, false); /* b takes it for its own */
    while (g_hash_table_contains(w->rows, "o/s08") || w->nodes[0].waits) {
        step(w);
    }
    w->nodes[0].next_read_us = w->now_us + 2000 * MS;
    le_feed_row(w->nodes[0].lease, w->now_us, &late);
    list_server(&w->nodes[0], 8, true);
    run_for(w, 9000);
    list_server(&w->nodes[1], 0, true);
    run_for(w, 9000);
    ck_assert_uint_eq(held(w), SERVERS);
    g_bytes_unref(late.value);
    free_world(w);
}
END_TEST

START_TEST(test_frozen_holder_finds_its_lease_lapsed)
{
    world *w = make_world(5);
    run_for(w, 3000);
    w->nodes[1].frozen = true;
    run_for(w, 12000);
    w->nodes[1].frozen = false;
    run_for(w, 6000);
    ck_assert_uint_eq(held(w), SERVERS);
    free_world(w);
}
END_TEST

/* Servers drop from all lists and come back, which instances learn at
   different times: nobody takes what another ordered within a lease. */
START_TEST(test_servers_that_leave_the_list_and_return)
{
    world *w = make_world((uint32_t)_i + 1);
    run_for(w, 4000);
    w->lose_pct = _i % 2 ? 40 : 0;
    for (int k = 0; k < 8; k++) {
        int when[INSTANCES][SERVERS];
        for (int i = 0; i < INSTANCES; i++) {
            for (int s = 0; s < SERVERS; s++) {
                when[i][s] = g_rand_int_range(w->random, 0, 100);
            }
        }
        for (int at = 0; at < 100; at++) {
            for (int i = 0; i < INSTANCES; i++) {
                for (int s = 0; s < SERVERS; s++) {
                    if (when[i][s] == at) {
                        list_server(&w->nodes[i], s, k % 2 == 1);
                    }
                }
            }
            step(w);
        }
    }
    w->lose_pct = 0;
    run_for(w, 16000);
    ck_assert_uint_eq(held(w), SERVERS);
    free_world(w);
}
END_TEST

/* A removal of our row may be carried out though no answer says so: no order
   under that row, also when the server is listed again. */
START_TEST(test_removal_without_answer)
{
    world *w = make_world((uint32_t)_i + 1);
    run_for(w, 4000);
    /* Of the zone's servers a holds the first, third and fifth. */
    ck_assert_int_eq(w->last_holder[8], 1);
    w->nodes[0].next_read_us += 700 * MS;
    list_server(&w->nodes[0], 8, false);
    list_server(&w->nodes[0], 16, false);
    list_server(&w->nodes[1], 0, false); /* b takes these for its own */
    run_for(w, 3200);
    w->lose_pct = 100;
    run_for(w, 400);
    w->lose_pct = 0;
    list_server(&w->nodes[0], 8, true);
    list_server(&w->nodes[0], 16, true);
    run_for(w, 9000);
    list_server(&w->nodes[1], 0, true);
    run_for(w, 9000);
    ck_assert_uint_eq(held(w), SERVERS);
    free_world(w);
}
END_TEST

/* First claims that are carried out after the rows were written and removed
   again: an order under such a row has no lower fence than those before. */
START_TEST(test_claim_carried_out_after_a_removal)
{
    world *w = make_world((uint32_t)_i + 1);
    run_for(w, 1000);
    w->lose_pct = 100;
    run_for(w, 400);
    w->lose_pct = 0;
    ck_assert_uint_gt(w->late->len, 0);
    for (guint i = 0; i < w->late->len; i++) {
        ((late_tx *)w->late->pdata[i])->at_us = w->now_us + 10900 * MS;
    }
    run_for(w, 4000);
    ck_assert_uint_eq(held(w), SERVERS);
    for (int k = 0; k < 2; k++) {
        for (int i = 0; i < INSTANCES; i++) {
            for (int s = 0; s < SERVERS; s++) {
                list_server(&w->nodes[i], s, k == 1);
            }
        }
        run_for(w, 7000);
    }
    ck_assert_uint_eq(w->late->len, 0);
    ck_assert_uint_eq(held(w), SERVERS);
    free_world(w);
}
END_TEST

static void
trouble(world *w)
{
    int i = g_rand_int_range(w->random, 0, INSTANCES);
    node *n = &w->nodes[i];
    switch (g_rand_int_range(w->random, 0, 10)) {
    case 0:
        if (n->running) {
            end_node(n);
        }
        break;
    case 1:
    case 2:
        if (!n->running) {
            start_node(w, i);
        }
        break;
    case 3:
        n->frozen = n->running && !n->frozen;
        break;
    case 4:
        n->cut = !n->cut;
        break;
    case 5:
        w->down = !w->down;
        break;
    case 6:
        w->lose_pct = (uint32_t)g_rand_int_range(w->random, 0, 50);
        break;
    case 7:
    case 8:
        for (int s = 0; s < SERVERS && n->running; s++) {
            list_server(n, s, g_rand_boolean(w->random));
        }
        break;
    default:
        if (n->running && g_rand_int_range(w->random, 0, 3) == 0) {
            le_leave(n->lease);
        }
        break;
    }
}

/* Whatever comes: two machines order a server a lease apart, with rising
   fences; and once all is well again, every server has a holder. */
START_TEST(test_any_trouble)
{
    uint32_t seeds = 60;
    const char *more = g_getenv("LACEWING_SEEDS");
    if (more) {
        seeds = (uint32_t)g_ascii_strtoull(more, NULL, 10);
    }
    for (uint32_t seed = 1; seed <= seeds; seed++) {
        world *w = make_world(seed);
        w->stale = seed % 4 >= 2;
        for (int k = 0; k < 40; k++) {
            run_for(w, (uint64_t)g_rand_int_range(w->random, 100, 4000));
            trouble(w);
        }
        w->down = false;
        w->lose_pct = 0;
        w->stale = false;
        for (int i = 0; i < INSTANCES; i++) {
            if (w->nodes[i].running) {
                end_node(&w->nodes[i]);
            }
        }
        run_for(w, 100);
        for (int i = 0; i < INSTANCES; i++) {
            start_node(w, i);
        }
        run_for(w, 20000);
        ck_assert_msg(held(w) == SERVERS, "seed %u: %u held", seed, held(w));
        free_world(w);
    }
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("lease");
    tcase_set_timeout(tcase, 240);
    tcase_add_test(tcase, test_all_held_soon_and_evenly);
    tcase_add_test(tcase, test_dead_holder_is_followed);
    tcase_add_test(tcase, test_same_machine_takes_back_at_once);
    tcase_add_test(tcase, test_evens_out);
    tcase_add_test(tcase, test_left_servers_are_followed);
    tcase_add_loop_test(tcase, test_busy_store_is_spared, 0, 6);
    tcase_add_loop_test(tcase, test_leaves_soon_after_a_restart, 0, 4);
    tcase_add_loop_test(tcase, test_holder_anew_told_in_part, 0, 4);
    tcase_add_test(tcase, test_many_gone_holders);
    tcase_add_loop_test(tcase, test_starts_while_it_is_ended, 0, 4);
    tcase_add_loop_test(tcase, test_removed_row_comes_late, 0, 4);
    tcase_add_test(tcase, test_frozen_holder_finds_its_lease_lapsed);
    tcase_add_loop_test(tcase, test_servers_that_leave_the_list_and_return, 0,
                        8);
    tcase_add_loop_test(tcase, test_removal_without_answer, 0, 8);
    tcase_add_loop_test(tcase, test_claim_carried_out_after_a_removal, 0, 8);
    tcase_add_test(tcase, test_any_trouble);
    return run_case("lease", tcase);
}
