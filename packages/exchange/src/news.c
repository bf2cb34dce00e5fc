#include "news.h"

typedef struct _nw_row {
    uint64_t digest; /* 0: removed */
    uint64_t version;
} _nw_row;

typedef struct _nw_table {
    GHashTable *rows; /* key -> _nw_row */
    uint64_t digest;
    GArray *changed_rows; /* dl_row */
} _nw_table;

struct nw_known_rows {
    _nw_table tables[NW_TABLE_NUM];
};

nw_known_rows *
nw_create(void)
{
    nw_known_rows *known_rows = g_new0(nw_known_rows, 1);
    for (uint32_t i = 0; i < NW_TABLE_NUM; i++) {
        known_rows->tables[i].rows =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        known_rows->tables[i].changed_rows = dl_make_rows();
    }
    return known_rows;
}

void
nw_destroy(nw_known_rows *known_rows)
{
    if (!known_rows) {
        return;
    }
    for (uint32_t i = 0; i < NW_TABLE_NUM; i++) {
        g_hash_table_unref(known_rows->tables[i].rows);
        g_array_unref(known_rows->tables[i].changed_rows);
    }
    g_free(known_rows);
}

static void
_nw_append_changed(_nw_table *table, const dl_row *row)
{
    dl_row copy = {.key = g_strdup(row->key),
                   .value = row->value ? g_bytes_ref(row->value) : NULL,
                   .version = row->version};
    g_array_append_val(table->changed_rows, copy);
}

void
nw_put(nw_known_rows *known_rows, nw_table table_id, const dl_row *row,
       uint64_t digest, bool from_store)
{
    _nw_table *table = &known_rows->tables[table_id];
    _nw_row *known = g_hash_table_lookup(table->rows, row->key);
    uint64_t before = known ? known->digest : 0;
    table->digest ^= before ^ digest;
    if (from_store && before != digest) {
        _nw_append_changed(table, row);
    }
    if (from_store && digest == 0) {
        g_hash_table_remove(table->rows, row->key);
        return;
    }
    if (!known) {
        known = g_new0(_nw_row, 1);
        g_hash_table_insert(table->rows, g_strdup(row->key), known);
    }
    *known = (_nw_row){digest, row->version};
}

void
nw_drop(nw_known_rows *known_rows, nw_table table_id, const char *key)
{
    _nw_table *table = &known_rows->tables[table_id];
    const _nw_row *known = g_hash_table_lookup(table->rows, key);
    table->digest ^= known ? known->digest : 0;
    g_hash_table_remove(table->rows, key);
}

void
nw_clear_changed_rows(nw_known_rows *known_rows, nw_table table_id)
{
    g_array_set_size(known_rows->tables[table_id].changed_rows, 0);
}

bool
nw_query_stale(const nw_known_rows *known_rows, nw_table table_id,
               const dl_row *row)
{
    const _nw_row *known =
        g_hash_table_lookup(known_rows->tables[table_id].rows, row->key);
    return known && row->version < known->version;
}

uint64_t
nw_query_digest(const nw_known_rows *known_rows, nw_table table_id)
{
    return known_rows->tables[table_id].digest;
}

const GArray *
nw_query_changed_rows(const nw_known_rows *known_rows, nw_table table_id)
{
    return known_rows->tables[table_id].changed_rows;
}
