#include "rows.h"

static void
_rw_clear(void *item)
{
    pf_row *row = item;
    g_free(row->key);
    g_clear_pointer(&row->value, g_bytes_unref);
}

GArray *
rw_create(void)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(pf_row));
    g_array_set_clear_func(rows, _rw_clear);
    return rows;
}

void
rw_add(GArray *rows, const char *key, GBytes *value, uint64_t version)
{
    pf_row row = {
        .key = g_strdup(key),
        .value = value ? g_bytes_ref(value) : NULL,
        .version = version,
    };
    g_array_append_val(rows, row);
}
