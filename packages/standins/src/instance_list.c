#include "instance_list.h"

#include <json-glib/json-glib.h>

typedef struct _il_entry {
    char *name;
    char *zone;
    char *address;
    char *kind;
    bool leaving;
    bool gone;
} _il_entry;

struct il_list {
    GHashTable *entries; /* name -> _il_entry */
};

typedef struct _il_pending {
    il_list *list;
    _il_entry *entry;
} _il_pending;

/* -- private -------------------------------------------------------------- */

static void
_il_entry_free(void *data)
{
    _il_entry *entry = data;
    g_free(entry->name);
    g_free(entry->zone);
    g_free(entry->address);
    g_free(entry->kind);
    g_free(entry);
}

static void
_il_set_default(char **field, const char *old)
{
    if (!*field) {
        *field = g_strdup(old ? old : "");
    }
}

static void
_il_apply(il_list *list, _il_entry *entry)
{
    const _il_entry *old = g_hash_table_lookup(list->entries, entry->name);
    if (entry->gone) {
        g_hash_table_remove(list->entries, entry->name);
        _il_entry_free(entry);
        return;
    }
    _il_set_default(&entry->zone, old ? old->zone : NULL);
    _il_set_default(&entry->address, old ? old->address : NULL);
    _il_set_default(&entry->kind, old ? old->kind : "entry");
    g_hash_table_replace(list->entries, entry->name, entry);
}

static gboolean
_il_on_lag_over(void *data)
{
    g_autofree _il_pending *pending = data;
    _il_apply(pending->list, pending->entry);
    return G_SOURCE_REMOVE;
}

static void
_il_add_json(JsonBuilder *builder, const _il_entry *entry)
{
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "name");
    json_builder_add_string_value(builder, entry->name);
    json_builder_set_member_name(builder, "zone");
    json_builder_add_string_value(builder, entry->zone);
    json_builder_set_member_name(builder, "address");
    json_builder_add_string_value(builder, entry->address);
    json_builder_set_member_name(builder, "kind");
    json_builder_add_string_value(builder, entry->kind);
    json_builder_set_member_name(builder, "leaving");
    json_builder_add_boolean_value(builder, entry->leaving);
    json_builder_end_object(builder);
}

/* -- public --------------------------------------------------------------- */

il_list *
il_create(void)
{
    il_list *list = g_new0(il_list, 1);
    list->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, _il_entry_free);
    return list;
}

void
il_destroy(il_list *list)
{
    g_hash_table_unref(list->entries);
    g_free(list);
}

void
il_set(il_list *list, const il_change *change)
{
    _il_entry *entry = g_new0(_il_entry, 1);
    entry->name = g_strdup(change->name);
    entry->zone = g_strdup(change->zone);
    entry->address = g_strdup(change->address);
    entry->kind = g_strdup(change->kind);
    entry->leaving = change->leaving;
    entry->gone = change->gone;
    if (!change->lag_ms) {
        _il_apply(list, entry);
        return;
    }
    _il_pending *pending = g_new0(_il_pending, 1);
    pending->list = list;
    pending->entry = entry;
    g_timeout_add(change->lag_ms, _il_on_lag_over, pending);
}

char *
il_query_json(const il_list *list)
{
    g_autoptr(JsonBuilder) builder = json_builder_new_immutable();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "instances");
    json_builder_begin_array(builder);
    GHashTableIter iter;
    void *entry;
    g_hash_table_iter_init(&iter, list->entries);
    while (g_hash_table_iter_next(&iter, NULL, &entry)) {
        _il_add_json(builder, entry);
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    g_autoptr(JsonNode) root = json_builder_get_root(builder);
    return json_to_string(root, FALSE);
}

const char *
il_query_zone(const il_list *list, const char *name)
{
    const _il_entry *entry = g_hash_table_lookup(list->entries, name);
    return entry ? entry->zone : NULL;
}
