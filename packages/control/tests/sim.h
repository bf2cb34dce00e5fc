/*
 * sim.h: virtual time, a table and faults for the tests of the machines.
 *
 * sim_schedule() runs a callback at a later time. sim_table_call() simulates
 * the platform's table with delays, outages, answers that are lost after the
 * commit was applied, and commits that are applied after the caller's
 * time-out. All random choices come from one seeded generator.
 */
#ifndef LACEWING_SIM_H
#define LACEWING_SIM_H

#include "lacewing/control.h"
#include <glib.h>
#include <string.h>

#define SIM_MS UINT64_C(1000)
#define SIM_TIMEOUT_US (2000 * SIM_MS)

typedef void (*sim_callback)(void *data);

typedef struct sim_event {
    uint64_t at_us;
    uint64_t order; /* of scheduling, among events of the same time */
    sim_callback call;
    void *data;
} sim_event;

typedef struct sim {
    uint64_t now_us;
    uint64_t order; /* of the next event */
    GArray *heap;   /* sim_event */
    GRand *rand;
    GTree *rows; /* key -> sim_row */
    /* faults of the table */
    bool table_down;
    uint32_t answer_loss_pct; /* calls whose answer is lost */
    uint32_t delay_max_us;    /* maximum random delay each way, in addition to
                                 the fixed 200 us */
    uint64_t commits;
    uint64_t reads;
    uint64_t read_bytes;
} sim;

typedef struct sim_row {
    GBytes *value;
    uint64_t version;
} sim_row;

/* Returns a random number from 0 to bound - 1; 0 when bound is 0. */
static inline uint32_t
sim_random_below(sim *s, uint32_t bound)
{
    return bound ? (uint32_t)g_rand_int_range(s->rand, 0, (gint32)bound) : 0;
}

/* Returns true with a probability of pct percent. */
static inline bool
sim_chance(sim *s, uint32_t pct)
{
    return sim_random_below(s, 100) < pct;
}

/* -- events --------------------------------------------------------------- */

static inline bool
sim_event_before(const sim_event *a, const sim_event *b)
{
    return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static inline void
sim_schedule(sim *s, uint64_t at_us, sim_callback call, void *data)
{
    sim_event event = {at_us, s->order++, call, data};
    g_array_append_val(s->heap, event);
    sim_event *heap = (sim_event *)(void *)s->heap->data;
    guint i = s->heap->len - 1;
    while (i > 0 && sim_event_before(&event, &heap[(i - 1) / 2])) {
        heap[i] = heap[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    heap[i] = event;
}

static inline sim_event
sim_pop(sim *s)
{
    sim_event *heap = (sim_event *)(void *)s->heap->data;
    sim_event first = heap[0];
    sim_event last = heap[s->heap->len - 1];
    g_array_set_size(s->heap, s->heap->len - 1);
    guint count = s->heap->len;
    guint i = 0;
    while (2 * i + 1 < count) {
        guint child = 2 * i + 1;
        if (child + 1 < count &&
            sim_event_before(&heap[child + 1], &heap[child])) {
            child++;
        }
        if (!sim_event_before(&heap[child], &last)) {
            break;
        }
        heap[i] = heap[child];
        i = child;
    }
    if (count > 0) {
        heap[i] = last;
    }
    return first;
}

/* Runs all events up to a time and sets the clock to it. */
static inline void
sim_run(sim *s, uint64_t until_us)
{
    while (s->heap->len > 0 &&
           g_array_index(s->heap, sim_event, 0).at_us <= until_us) {
        sim_event event = sim_pop(s);
        s->now_us = event.at_us;
        event.call(event.data);
    }
    s->now_us = until_us;
}

/* -- the table ------------------------------------------------------------ */

static inline int
sim_compare(const void *a, const void *b, void *user_data)
{
    (void)user_data;
    return strcmp(a, b);
}

static inline void
sim_row_free(void *data)
{
    sim_row *row = data;
    g_clear_pointer(&row->value, g_bytes_unref);
    g_free(row);
}

static inline sim *
sim_create(uint32_t seed)
{
    sim *s = g_new0(sim, 1);
    s->heap = g_array_new(FALSE, FALSE, sizeof(sim_event));
    s->rand = g_rand_new_with_seed(seed);
    s->rows = g_tree_new_full(sim_compare, NULL, g_free, sim_row_free);
    s->delay_max_us = 5 * SIM_MS;
    return s;
}

/* Does not run events that are still scheduled: run the simulation past them
   first, so that their callbacks free their data. */
static inline void
sim_destroy(sim *s)
{
    g_array_unref(s->heap);
    g_rand_free(s->rand);
    g_tree_unref(s->rows);
    g_free(s);
}

/* Receives the result of a table call; its pointers are valid during the call.
   Returns 0 when the result was accepted, or the time at which to deliver it
   again. */
typedef uint64_t (*sim_answer_fn)(void *data, const co_table_result *result);

typedef struct sim_request {
    sim *s;
    co_table_call call; /* ops, key and after owned */
    sim_answer_fn answer;
    void *data;
    er_code code;
    GArray *rows;     /* pf_row, keys and values owned */
    GArray *versions; /* uint64_t */
    bool answer_lost;
    bool answered;
    bool applied; /* to the table, or never will be */
} sim_request;

static inline void
sim_pf_row_clear(void *data)
{
    pf_row *row = data;
    g_free(row->key);
    g_clear_pointer(&row->value, g_bytes_unref);
}

/* Frees a request once it is both answered and applied. */
static inline void
sim_request_free_if_done(sim_request *request)
{
    if (!request->answered || !request->applied) {
        return;
    }
    for (size_t i = 0; i < request->call.op_count; i++) {
        g_free((char *)request->call.ops[i].key);
        g_bytes_unref(request->call.ops[i].value);
    }
    g_free((void *)request->call.ops);
    g_free((char *)request->call.key);
    g_free((char *)request->call.after);
    g_array_unref(request->rows);
    g_array_unref(request->versions);
    g_free(request);
}

static inline pf_row
sim_row_at(sim *s, const char *key)
{
    const sim_row *row = g_tree_lookup(s->rows, key);
    return (pf_row){.key = g_strdup(key),
                    .value = row ? g_bytes_ref(row->value) : NULL,
                    .version = row ? row->version : 0};
}

/* Applies all operations, or none if one's condition fails. An empty value
   deletes the row. */
static inline void
sim_commit(sim_request *request)
{
    sim *s = request->s;
    request->code = ER_OK;
    for (size_t i = 0; i < request->call.op_count; i++) {
        const pf_op *op = &request->call.ops[i];
        pf_row row = sim_row_at(s, op->key);
        if (op->expect == PF_VERSION_ANY || op->expect == row.version) {
            sim_pf_row_clear(&row);
            row = (pf_row){0};
        }
        else {
            request->code = ER_CONFLICT;
        }
        g_array_append_val(request->rows, row);
    }
    s->commits++;
    for (size_t i = 0; request->code == ER_OK && i < request->call.op_count;
         i++) {
        const pf_op *op = &request->call.ops[i];
        const sim_row *old = g_tree_lookup(s->rows, op->key);
        uint64_t version = old ? old->version + 1 : 1;
        g_array_append_val(request->versions, version);
        if (g_bytes_get_size(op->value) == 0) {
            g_tree_remove(s->rows, op->key);
            continue;
        }
        sim_row *row = g_new0(sim_row, 1);
        row->value = g_bytes_ref(op->value);
        row->version = version;
        g_tree_replace(s->rows, g_strdup(op->key), row);
    }
}

/* Adds a row to a scan's result; returns true when the scan is complete. */
static inline bool
sim_scan_row(const char *key, sim_request *request)
{
    const co_table_call *call = &request->call;
    if (!g_str_has_prefix(key, call->key)) {
        return TRUE;
    }
    pf_row row = sim_row_at(request->s, key);
    request->s->read_bytes += strlen(row.key) + g_bytes_get_size(row.value);
    g_array_append_val(request->rows, row);
    return request->rows->len >= call->limit;
}

static inline void
sim_scan(sim_request *request)
{
    GTree *rows = request->s->rows;
    const char *after = request->call.after;
    GTreeNode *node = after ? g_tree_upper_bound(rows, after)
                            : g_tree_lower_bound(rows, request->call.key);
    while (node && !sim_scan_row(g_tree_node_key(node), request)) {
        node = g_tree_node_next(node);
    }
}

static inline void
sim_apply(void *data)
{
    sim_request *request = data;
    request->applied = true;
    if (request->call.kind == CO_TABLE_READ) {
        pf_row row = sim_row_at(request->s, request->call.key);
        g_array_append_val(request->rows, row);
        request->s->reads++;
    }
    else if (request->call.kind == CO_TABLE_SCAN) {
        sim_scan(request);
        request->s->reads++;
    }
    else {
        sim_commit(request);
    }
    sim_request_free_if_done(request);
}

static inline void
sim_send_answer(void *data)
{
    sim_request *request = data;
    er_code code = request->answer_lost ? ER_TIMEOUT : request->code;
    pf_commit_result commit = {code, request->call.op_count,
                               (uint64_t *)(void *)request->versions->data,
                               (pf_row *)(void *)request->rows->data};
    pf_read_result read = {code, request->rows->len,
                           (pf_row *)(void *)request->rows->data};
    bool is_commit = request->call.kind == CO_TABLE_COMMIT;
    bool has_result = code == ER_OK || code == ER_CONFLICT;
    uint64_t redeliver_us = request->answer(
        request->data,
        &(co_table_result){.number = request->call.number,
                           .code = code,
                           .commit = has_result && is_commit ? &commit : NULL,
                           .read = has_result && !is_commit ? &read : NULL});
    if (redeliver_us) {
        sim_schedule(request->s, redeliver_us, sim_send_answer, request);
        return;
    }
    request->answered = true;
    sim_request_free_if_done(request);
}

/* Calls the table. unreachable: this caller is cut off from the table now. */
static inline void
sim_table_call(sim *s, const co_table_call *call, bool unreachable,
               sim_answer_fn answer, void *data)
{
    sim_request *request = g_new0(sim_request, 1);
    request->s = s;
    request->call = *call;
    request->answer = answer;
    request->data = data;
    request->rows = g_array_new(FALSE, TRUE, sizeof(pf_row));
    g_array_set_clear_func(request->rows, sim_pf_row_clear);
    request->versions = g_array_new(FALSE, TRUE, sizeof(uint64_t));
    pf_op *ops = g_new0(pf_op, call->op_count);
    for (size_t i = 0; i < call->op_count; i++) {
        ops[i] = call->ops[i];
        ops[i].key = g_strdup(call->ops[i].key);
        ops[i].value = call->ops[i].value ? g_bytes_ref(call->ops[i].value)
                                          : g_bytes_new(NULL, 0);
    }
    request->call.ops = ops;
    request->call.key = g_strdup(call->key);
    request->call.after = g_strdup(call->after);
    uint64_t arrival_us =
        s->now_us + 200 + sim_random_below(s, s->delay_max_us);
    if (s->table_down || unreachable) {
        request->applied = true;
        /* The call is refused at once or gets no answer. */
        bool fails_fast = sim_chance(s, 50);
        request->code = fails_fast ? ER_PLATFORM_DOWN : ER_TIMEOUT;
        sim_schedule(s, s->now_us + (fails_fast ? SIM_MS : SIM_TIMEOUT_US),
                     sim_send_answer, request);
        return;
    }
    if (sim_chance(s, s->answer_loss_pct)) {
        /* Some commits are applied even after the caller's time-out. */
        uint64_t extra_delay_us = sim_chance(s, 20) ? 3 * SIM_TIMEOUT_US : 0;
        sim_schedule(
            s, arrival_us + sim_random_below(s, (uint32_t)extra_delay_us + 1),
            sim_apply, request);
        request->answer_lost = true;
        sim_schedule(s, s->now_us + SIM_TIMEOUT_US, sim_send_answer, request);
        return;
    }
    sim_schedule(s, arrival_us, sim_apply, request);
    sim_schedule(s, arrival_us + 200 + sim_random_below(s, s->delay_max_us),
                 sim_send_answer, request);
}

#endif
