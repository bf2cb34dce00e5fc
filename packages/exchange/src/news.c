#include "news.h"

typedef struct _nw_row {
    uint64_t digest; /* 0: removed */
    uint64_t version;
} _nw_row;

typedef struct _nw_table {
    GHashTable *rows; /* key -> _nw_row */
    uint64_t digest;
    GArray *changed; /* dl_row */
} _nw_table;

struct nw_news {
    _nw_table tables[NW_TABLE_NUM];
};

nw_news *
nw_create(void)
{
    nw_news *news = g_new0(nw_news, 1);
    for (uint32_t i = 0; i < NW_TABLE_NUM; i++) {
        news->tables[i].rows =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        news->tables[i].changed = dl_make_rows();
    }
    return news;
}

void
nw_destroy(nw_news *news)
{
    if (!news) {
        return;
    }
    for (uint32_t i = 0; i < NW_TABLE_NUM; i++) {
        g_hash_table_unref(news->tables[i].rows);
        g_array_unref(news->tables[i].changed);
    }
    g_free(news);
}

static void
_nw_keep(_nw_table *table, const dl_row *row)
{
    dl_row copy = {.key = g_strdup(row->key),
                   .value = row->value ? g_bytes_ref(row->value) : NULL,
                   .version = row->version};
    g_array_append_val(table->changed, copy);
}

void
nw_put(nw_news *news, nw_table at, const dl_row *row, uint64_t digest,
       bool of_store)
{
    _nw_table *table = &news->tables[at];
    _nw_row *known = g_hash_table_lookup(table->rows, row->key);
    uint64_t before = known ? known->digest : 0;
    table->digest ^= before ^ digest;
    if (of_store && before != digest) {
        _nw_keep(table, row);
    }
    if (of_store && digest == 0) {
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
nw_drop(nw_news *news, nw_table at, const char *key)
{
    _nw_table *table = &news->tables[at];
    const _nw_row *known = g_hash_table_lookup(table->rows, key);
    table->digest ^= known ? known->digest : 0;
    g_hash_table_remove(table->rows, key);
}

void
nw_clear_rows(nw_news *news, nw_table table)
{
    g_array_set_size(news->tables[table].changed, 0);
}

bool
nw_query_old(const nw_news *news, nw_table table, const dl_row *row)
{
    const _nw_row *known =
        g_hash_table_lookup(news->tables[table].rows, row->key);
    return known && row->version < known->version;
}

uint64_t
nw_query_digest(const nw_news *news, nw_table table)
{
    return news->tables[table].digest;
}

const GArray *
nw_query_rows(const nw_news *news, nw_table table)
{
    return news->tables[table].changed;
}
