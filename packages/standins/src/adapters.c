#include "adapters.h"

#include <json-glib/json-glib.h>

struct ad_slots {
    uint32_t capacity;
    GHashTable *resident; /* set of model names */
    GHashTable *loading;  /* set of model names */
};

ad_slots *
ad_create(uint32_t capacity)
{
    ad_slots *slots = g_new0(ad_slots, 1);
    slots->capacity = capacity;
    slots->resident =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    slots->loading =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return slots;
}

void
ad_destroy(ad_slots *slots)
{
    g_hash_table_unref(slots->resident);
    g_hash_table_unref(slots->loading);
    g_free(slots);
}

en_load_result
ad_begin_load(ad_slots *slots, const char *model)
{
    if (g_hash_table_contains(slots->resident, model)) {
        return EN_LOAD_RESIDENT;
    }
    if (g_hash_table_contains(slots->loading, model)) {
        return EN_LOAD_IN_PROGRESS;
    }
    uint32_t taken =
        g_hash_table_size(slots->resident) + g_hash_table_size(slots->loading);
    if (taken >= slots->capacity) {
        return EN_LOAD_NO_FREE_SLOT;
    }
    g_hash_table_add(slots->loading, g_strdup(model));
    return EN_LOAD_DEFAULT;
}

bool
ad_end_load(ad_slots *slots, const char *model, bool loaded)
{
    if (!g_hash_table_remove(slots->loading, model)) {
        return false;
    }
    if (loaded) {
        g_hash_table_add(slots->resident, g_strdup(model));
    }
    return true;
}

bool
ad_evict(ad_slots *slots, const char *model)
{
    return g_hash_table_remove(slots->resident, model);
}

void
ad_clear(ad_slots *slots)
{
    g_hash_table_remove_all(slots->resident);
    g_hash_table_remove_all(slots->loading);
}

bool
ad_query_resident(const ad_slots *slots, const char *model)
{
    return g_hash_table_contains(slots->resident, model);
}

char *
ad_query_json(const ad_slots *slots)
{
    g_autoptr(JsonBuilder) builder = json_builder_new_immutable();
    json_builder_begin_array(builder);
    GHashTableIter iter;
    void *name;
    g_hash_table_iter_init(&iter, slots->resident);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        json_builder_add_string_value(builder, name);
    }
    json_builder_end_array(builder);
    g_autoptr(JsonNode) root = json_builder_get_root(builder);
    return json_to_string(root, FALSE);
}
