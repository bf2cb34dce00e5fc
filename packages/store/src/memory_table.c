/* Table in memory with injected faults, for tests. */
#include "rows.h"

#include <string.h>

typedef struct _mt_entry {
    GBytes *value;
    uint64_t version;
} _mt_entry;

typedef struct _mt_table {
    pf_table base;  /* first member */
    GTree *entries; /* key -> _mt_entry, in key order */
    uint64_t last_version;
    pf_memory_table_faults faults;
    GHashTable *pending_answers; /* set of _mt_answer */
    uint64_t commits;
    uint64_t reads;
} _mt_table;

/* An answer that is due from an idle or timeout source. One of commit_callback
   and read_callback is set. */
typedef struct _mt_answer {
    _mt_table *table;
    pf_commit_callback commit_callback;
    pf_read_callback read_callback;
    void *user_data;
    er_code code;
    GArray *versions; /* uint64_t */
    GArray *rows;     /* pf_row */
    GSource *source;
} _mt_answer;

/* -- private: answers ----------------------------------------------------- */

static void
_mt_answer_free(void *data)
{
    _mt_answer *answer = data;
    g_source_destroy(answer->source);
    g_source_unref(answer->source);
    g_array_unref(answer->versions);
    g_array_unref(answer->rows);
    g_free(answer);
}

static void
_mt_answer_deliver(_mt_answer *answer)
{
    if (answer->commit_callback) {
        answer->commit_callback(
            &(pf_commit_result){
                .code = answer->code,
                .count = answer->code == ER_OK ? answer->versions->len
                                               : answer->rows->len,
                .versions = (const uint64_t *)(void *)answer->versions->data,
                .rows = (const pf_row *)(void *)answer->rows->data},
            answer->user_data);
        return;
    }
    answer->read_callback(
        &(pf_read_result){.code = answer->code,
                          .count = answer->rows->len,
                          .rows = (const pf_row *)(void *)answer->rows->data},
        answer->user_data);
}

static gboolean
_mt_on_answer_due(void *data)
{
    _mt_answer *answer = data;
    g_hash_table_steal(answer->table->pending_answers, answer);
    _mt_answer_deliver(answer);
    _mt_answer_free(answer);
    return G_SOURCE_REMOVE;
}

static _mt_answer *
_mt_answer_create(_mt_table *table, void *user_data)
{
    _mt_answer *answer = g_new0(_mt_answer, 1);
    answer->table = table;
    answer->user_data = user_data;
    answer->versions = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    answer->rows = rw_create();
    answer->code = table->faults.down ? ER_PLATFORM_DOWN : ER_OK;
    return answer;
}

static void
_mt_answer_send(_mt_answer *answer)
{
    uint32_t delay_ms = answer->table->faults.delay_ms;
    answer->source =
        delay_ms ? g_timeout_source_new(delay_ms) : g_idle_source_new();
    g_source_set_priority(answer->source, G_PRIORITY_DEFAULT);
    g_source_set_callback(answer->source, _mt_on_answer_due, answer, NULL);
    g_source_attach(answer->source, NULL);
    g_hash_table_add(answer->table->pending_answers, answer);
}

/* -- private: entries ----------------------------------------------------- */

static void
_mt_entry_free(void *data)
{
    _mt_entry *entry = data;
    g_bytes_unref(entry->value);
    g_free(entry);
}

static int
_mt_compare_keys(const void *left, const void *right, void *user_data)
{
    (void)user_data;
    return strcmp(left, right);
}

static bool
_mt_condition_holds(const _mt_table *table, const pf_op *op)
{
    const _mt_entry *entry = g_tree_lookup(table->entries, op->key);
    uint64_t version = entry ? entry->version : PF_VERSION_ABSENT;
    return op->expect == PF_VERSION_ANY || op->expect == version;
}

/* Returns true if all conditions hold. Otherwise adds one row for each op: the
   current row if its condition failed, else a row without a key. */
static bool
_mt_check_conditions(const _mt_table *table, const pf_op *ops, size_t count,
                     GArray *rows)
{
    bool holds = true;
    for (size_t i = 0; i < count; i++) {
        holds = _mt_condition_holds(table, &ops[i]) && holds;
    }
    for (size_t i = 0; !holds && i < count; i++) {
        const _mt_entry *entry = g_tree_lookup(table->entries, ops[i].key);
        bool failed = !_mt_condition_holds(table, &ops[i]);
        rw_add(rows, failed ? ops[i].key : NULL,
               failed && entry ? entry->value : NULL,
               failed && entry ? entry->version : 0);
    }
    return holds;
}

/* Applies one write and returns the new version, which is unique in the table
   so that a row created again never gets an earlier version. */
static uint64_t
_mt_apply(_mt_table *table, const pf_op *op)
{
    uint64_t version = ++table->last_version;
    if (!op->value) {
        g_tree_remove(table->entries, op->key);
        return version;
    }
    _mt_entry *entry = g_new0(_mt_entry, 1);
    entry->value = g_bytes_ref(op->value);
    entry->version = version;
    g_tree_replace(table->entries, g_strdup(op->key), entry);
    return version;
}

/* -- private: vtable ------------------------------------------------------ */

static void
_mt_destroy(pf_table *base)
{
    _mt_table *table = (_mt_table *)base;
    GHashTableIter iter;
    void *item;
    g_hash_table_iter_init(&iter, table->pending_answers);
    while (g_hash_table_iter_next(&iter, &item, NULL)) {
        _mt_answer *answer = item;
        g_hash_table_iter_steal(&iter);
        answer->code = ER_CANCELLED;
        g_array_set_size(answer->rows, 0);
        _mt_answer_deliver(answer);
        _mt_answer_free(answer);
    }
    g_hash_table_unref(table->pending_answers);
    g_tree_unref(table->entries);
    g_free(table);
}

static void
_mt_commit(pf_table *base, const pf_op *ops, size_t count,
           pf_commit_callback callback, void *user_data)
{
    _mt_table *table = (_mt_table *)base;
    _mt_answer *answer = _mt_answer_create(table, user_data);
    answer->commit_callback = callback;
    table->commits++;
    if (answer->code == ER_OK &&
        !_mt_check_conditions(table, ops, count, answer->rows)) {
        answer->code = ER_CONFLICT;
    }
    for (size_t i = 0; answer->code == ER_OK && i < count; i++) {
        uint64_t version = _mt_apply(table, &ops[i]);
        g_array_append_val(answer->versions, version);
    }
    if (table->faults.lose_answers && answer->code != ER_PLATFORM_DOWN) {
        answer->code = ER_TIMEOUT;
        g_array_set_size(answer->rows, 0);
    }
    _mt_answer_send(answer);
}

static void
_mt_read(pf_table *base, const char *key, pf_read_callback callback,
         void *user_data)
{
    _mt_table *table = (_mt_table *)base;
    _mt_answer *answer = _mt_answer_create(table, user_data);
    answer->read_callback = callback;
    table->reads++;
    if (answer->code == ER_OK) {
        const _mt_entry *entry = g_tree_lookup(table->entries, key);
        rw_add(answer->rows, key, entry ? entry->value : NULL,
               entry ? entry->version : 0);
    }
    _mt_answer_send(answer);
}

static void
_mt_collect_rows(_mt_table *table, const char *prefix, const char *after,
                 uint32_t limit, GArray *rows)
{
    bool starts_after = after && strcmp(after, prefix) >= 0;
    GTreeNode *node = starts_after
                          ? g_tree_upper_bound(table->entries, (void *)after)
                          : g_tree_lower_bound(table->entries, (void *)prefix);
    while (node && rows->len < limit) {
        const char *key = g_tree_node_key(node);
        if (!g_str_has_prefix(key, prefix)) {
            return;
        }
        const _mt_entry *entry = g_tree_node_value(node);
        rw_add(rows, key, entry->value, entry->version);
        node = g_tree_node_next(node);
    }
}

static void
_mt_scan(pf_table *base, const char *prefix, const char *after, uint32_t limit,
         pf_read_callback callback, void *user_data)
{
    _mt_table *table = (_mt_table *)base;
    _mt_answer *answer = _mt_answer_create(table, user_data);
    answer->read_callback = callback;
    table->reads++;
    if (answer->code == ER_OK) {
        _mt_collect_rows(table, prefix, after, limit, answer->rows);
    }
    _mt_answer_send(answer);
}

static const pf_table_vt _mt_vt = {
    .destroy = _mt_destroy,
    .commit = _mt_commit,
    .read = _mt_read,
    .scan = _mt_scan,
};

/* -- public --------------------------------------------------------------- */

pf_table *
pf_memory_table_create(void)
{
    _mt_table *table = g_new0(_mt_table, 1);
    table->base.vt = &_mt_vt;
    table->entries =
        g_tree_new_full(_mt_compare_keys, NULL, g_free, _mt_entry_free);
    table->pending_answers = g_hash_table_new(NULL, NULL);
    return &table->base;
}

void
pf_memory_table_set_faults(pf_table *table,
                           const pf_memory_table_faults *faults)
{
    ((_mt_table *)table)->faults = *faults;
}

uint64_t
pf_memory_table_query_commits(const pf_table *table)
{
    return ((const _mt_table *)table)->commits;
}

uint64_t
pf_memory_table_query_reads(const pf_table *table)
{
    return ((const _mt_table *)table)->reads;
}
