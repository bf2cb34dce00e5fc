#include "known_rows.h"

typedef struct _kr_row {
    uint64_t digest; /* 0: removed */
    uint64_t version;
} _kr_row;

typedef struct _kr_table {
    GHashTable *rows; /* key -> _kr_row */
    uint64_t digest;
    GArray *changed_rows; /* dl_row */
} _kr_table;

struct kr_known_rows {
    _kr_table tables[KR_TABLE_NUM];
};

kr_known_rows *
kr_create(void)
{
    kr_known_rows *known_rows = g_new0(kr_known_rows, 1);
    for (uint32_t i = 0; i < KR_TABLE_NUM; i++) {
        known_rows->tables[i].rows =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        known_rows->tables[i].changed_rows = dl_make_rows();
    }
    return known_rows;
}

void
kr_destroy(kr_known_rows *known_rows)
{
    if (!known_rows) {
        return;
    }
    for (uint32_t i = 0; i < KR_TABLE_NUM; i++) {
        g_hash_table_unref(known_rows->tables[i].rows);
        g_array_unref(known_rows->tables[i].changed_rows);
    }
    g_free(known_rows);
}

static void
_kr_append_changed(_kr_table *table, const dl_row *row)
{
    dl_row copy = {.key = g_strdup(row->key),
                   .value = row->value ? g_bytes_ref(row->value) : NULL,
                   .version = row->version};
    g_array_append_val(table->changed_rows, copy);
}

void
kr_put(kr_known_rows *known_rows, kr_table table_id, const dl_row *row,
       uint64_t digest, bool from_store)
{
    _kr_table *table = &known_rows->tables[table_id];
    _kr_row *known = g_hash_table_lookup(table->rows, row->key);
    uint64_t before = known ? known->digest : 0;
    table->digest ^= before ^ digest;
    if (from_store && before != digest) {
        _kr_append_changed(table, row);
    }
    if (from_store && digest == 0) {
        g_hash_table_remove(table->rows, row->key);
        return;
    }
    if (!known) {
        known = g_new0(_kr_row, 1);
        g_hash_table_insert(table->rows, g_strdup(row->key), known);
    }
    *known = (_kr_row){digest, row->version};
}

void
kr_clear(kr_known_rows *known_rows, kr_table table_id)
{
    _kr_table *table = &known_rows->tables[table_id];
    g_hash_table_remove_all(table->rows);
    table->digest = 0;
    kr_clear_changed_rows(known_rows, table_id);
}

void
kr_drop(kr_known_rows *known_rows, kr_table table_id, const char *key)
{
    _kr_table *table = &known_rows->tables[table_id];
    const _kr_row *known = g_hash_table_lookup(table->rows, key);
    table->digest ^= known ? known->digest : 0;
    g_hash_table_remove(table->rows, key);
}

void
kr_clear_changed_rows(kr_known_rows *known_rows, kr_table table_id)
{
    g_array_set_size(known_rows->tables[table_id].changed_rows, 0);
}

bool
kr_query_stale(const kr_known_rows *known_rows, kr_table table_id,
               const dl_row *row)
{
    const _kr_row *known =
        g_hash_table_lookup(known_rows->tables[table_id].rows, row->key);
    return known && row->version < known->version;
}

uint64_t
kr_query_digest(const kr_known_rows *known_rows, kr_table table_id)
{
    return known_rows->tables[table_id].digest;
}

const GArray *
kr_query_changed_rows(const kr_known_rows *known_rows, kr_table table_id)
{
    return known_rows->tables[table_id].changed_rows;
}
