#include "adapters.h"

#include <json-glib/json-glib.h>

struct ad_places {
    uint32_t capacity;
    GHashTable *held;    /* set of names */
    GHashTable *loading; /* set of names */
};

ad_places *
ad_create(uint32_t capacity)
{
    ad_places *places = g_new0(ad_places, 1);
    places->capacity = capacity;
    places->held =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    places->loading =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return places;
}

void
ad_destroy(ad_places *places)
{
    g_hash_table_unref(places->held);
    g_hash_table_unref(places->loading);
    g_free(places);
}

en_load
ad_begin(ad_places *places, const char *model)
{
    if (g_hash_table_contains(places->held, model)) {
        return EN_LOAD_HELD;
    }
    if (g_hash_table_contains(places->loading, model)) {
        return EN_LOAD_JOINED;
    }
    uint32_t taken =
        g_hash_table_size(places->held) + g_hash_table_size(places->loading);
    if (taken >= places->capacity) {
        return EN_LOAD_NO_ROOM;
    }
    g_hash_table_add(places->loading, g_strdup(model));
    return EN_LOAD_DEFAULT;
}

bool
ad_end(ad_places *places, const char *model, bool loaded)
{
    if (!g_hash_table_remove(places->loading, model)) {
        return false;
    }
    if (loaded) {
        g_hash_table_add(places->held, g_strdup(model));
    }
    return true;
}

bool
ad_evict(ad_places *places, const char *model)
{
    return g_hash_table_remove(places->held, model);
}

void
ad_clear(ad_places *places)
{
    g_hash_table_remove_all(places->held);
    g_hash_table_remove_all(places->loading);
}

bool
ad_query_held(const ad_places *places, const char *model)
{
    return g_hash_table_contains(places->held, model);
}

char *
ad_query_json(const ad_places *places)
{
    g_autoptr(JsonBuilder) builder = json_builder_new_immutable();
    json_builder_begin_array(builder);
    GHashTableIter iter;
    void *name;
    g_hash_table_iter_init(&iter, places->held);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        json_builder_add_string_value(builder, name);
    }
    json_builder_end_array(builder);
    g_autoptr(JsonNode) root = json_builder_get_root(builder);
    return json_to_string(root, FALSE);
}
