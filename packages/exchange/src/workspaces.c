#include "lacewing/workspaces.h"

#include "lacewing/hash.h"
#include <glib.h>

struct wp_table {
    GPtrArray *workspaces; /* wp_workspace */
    /* Hash of a key -> wp_workspace. Looking up a hash tells nothing about the
       key by its time. */
    GHashTable *by_key_hash;
};

static void
_wp_free_workspace(void *data)
{
    g_free((char *)((wp_workspace *)data)->name);
    g_free(data);
}

wp_table *
wp_create(void)
{
    wp_table *table = g_new0(wp_table, 1);
    table->workspaces = g_ptr_array_new_with_free_func(_wp_free_workspace);
    table->by_key_hash =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return table;
}

void
wp_destroy(wp_table *table)
{
    if (table) {
        g_hash_table_unref(table->by_key_hash);
        g_ptr_array_unref(table->workspaces);
        g_free(table);
    }
}

void
wp_add(wp_table *table, const wp_workspace *workspace, const char *const *keys,
       size_t key_count)
{
    wp_workspace *copy = g_memdup2(workspace, sizeof(*workspace));
    copy->name = g_strdup(workspace->name);
    g_ptr_array_add(table->workspaces, copy);
    for (size_t i = 0; i < key_count; i++) {
        if (!*keys[i]) {
            continue;
        }
        char *hash = hs_sha256(keys[i]);
        const wp_workspace *other =
            g_hash_table_lookup(table->by_key_hash, hash);
        copy->key_count++;
        copy->shared_key_count += other && other != copy;
        copy->keys_digest ^= (uint32_t)hs_u64(keys[i]);
        g_hash_table_replace(table->by_key_hash, hash, copy);
    }
}

const wp_workspace *
wp_query_by_key(const wp_table *table, const char *key)
{
    g_autofree char *hash = hs_sha256(key);
    return g_hash_table_lookup(table->by_key_hash, hash);
}

void
wp_each(const wp_table *table, wp_callback call, void *user_data)
{
    for (guint i = 0; i < table->workspaces->len; i++) {
        call(table->workspaces->pdata[i], user_data);
    }
}
