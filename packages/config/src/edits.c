/* Edits: their list, JSON form, and what they make of a configuration. */
#include "document.h"

#include <json-glib/json-glib.h>
#include <string.h>

struct dc_edits {
    GPtrArray *list; /* dc_edit */
};

/* -- private: list -------------------------------------------------------- */

static void
_dc_edit_free(void *data)
{
    dc_edit *edit = data;
    g_free(edit->group);
    g_free(edit->key);
    g_free(edit->value);
    g_free(edit);
}

dc_edits *
dc_edits_create(void)
{
    dc_edits *edits = g_rc_box_new0(dc_edits);
    edits->list = g_ptr_array_new_with_free_func(_dc_edit_free);
    return edits;
}

static void
_dc_edits_clear(void *data)
{
    dc_edits *edits = data;
    g_ptr_array_unref(edits->list);
}

void
dc_edits_destroy(dc_edits *edits)
{
    if (edits) {
        g_rc_box_release_full(edits, _dc_edits_clear);
    }
}

void
dc_edits_add(dc_edits *edits, const char *group, const char *key,
             const char *value)
{
    g_assert(group && (key || !value || !*value));
    dc_edit *edit = g_new0(dc_edit, 1);
    edit->group = g_strdup(group);
    edit->key = g_strdup(key);
    edit->value = g_strdup(value);
    g_ptr_array_add(edits->list, edit);
}

uint32_t
dc_edits_query_count(const dc_edits *edits)
{
    return edits->list->len;
}

const dc_edit *
dc_edits_query_at(const dc_edits *edits, uint32_t at)
{
    return g_ptr_array_index(edits->list, at);
}

/* -- private: JSON -------------------------------------------------------- */

/* A member that is a string, null or missing. */
static bool
_dc_json_text(JsonObject *object, const char *name, const char **text)
{
    JsonNode *node = json_object_get_member(object, name);
    *text = NULL;
    if (!node || JSON_NODE_HOLDS_NULL(node)) {
        return true;
    }
    if (!JSON_NODE_HOLDS_VALUE(node) ||
        json_node_get_value_type(node) != G_TYPE_STRING) {
        return false;
    }
    *text = json_node_get_string(node);
    return true;
}

static bool
_dc_json_known(JsonObject *object)
{
    g_autoptr(GList) names = json_object_get_members(object);
    for (GList *name = names; name; name = name->next) {
        if (strcmp(name->data, "group") != 0 &&
            strcmp(name->data, "key") != 0 &&
            strcmp(name->data, "value") != 0) {
            return false;
        }
    }
    return true;
}

static bool
_dc_json_edit(JsonNode *node, dc_edits *edits)
{
    if (!JSON_NODE_HOLDS_OBJECT(node)) {
        return false;
    }
    JsonObject *object = json_node_get_object(node);
    const char *group = NULL;
    const char *key = NULL;
    const char *value = NULL;
    if (!_dc_json_known(object) || !_dc_json_text(object, "group", &group) ||
        !_dc_json_text(object, "key", &key) ||
        !_dc_json_text(object, "value", &value)) {
        return false;
    }
    if (!group || (!key && value && *value)) {
        return false;
    }
    dc_edits_add(edits, group, key, value);
    return true;
}

er_code
dc_edits_parse(const char *text, dc_edits **result, er_status *status)
{
    g_autoptr(JsonParser) parser = json_parser_new_immutable();
    g_autoptr(GError) error = NULL;
    if (!json_parser_load_from_data(parser, text, -1, &error)) {
        return er_set(status, ER_BAD_REQUEST, "edits: %s", error->message);
    }
    JsonNode *root = json_parser_get_root(parser);
    if (!root || !JSON_NODE_HOLDS_ARRAY(root)) {
        return er_set(status, ER_BAD_REQUEST, "edits: allowed is a list");
    }
    g_autoptr(dc_edits) edits = dc_edits_create();
    JsonArray *list = json_node_get_array(root);
    for (uint32_t i = 0; i < json_array_get_length(list); i++) {
        if (!_dc_json_edit(json_array_get_element(list, i), edits)) {
            return er_set(status, ER_BAD_REQUEST,
                          "edits, entry %u: allowed are group, key and value "
                          "as strings; without key, value is null or empty",
                          i + 1);
        }
    }
    *result = g_steal_pointer(&edits);
    return ER_OK;
}

static void
_dc_build_text(JsonBuilder *builder, const char *name, const char *text)
{
    json_builder_set_member_name(builder, name);
    if (text) {
        json_builder_add_string_value(builder, text);
    }
    else {
        json_builder_add_null_value(builder);
    }
}

char *
dc_edits_query_text(const dc_edits *edits)
{
    g_autoptr(JsonBuilder) builder = json_builder_new_immutable();
    json_builder_begin_array(builder);
    for (uint32_t i = 0; i < edits->list->len; i++) {
        const dc_edit *edit = dc_edits_query_at(edits, i);
        json_builder_begin_object(builder);
        _dc_build_text(builder, "group", edit->group);
        _dc_build_text(builder, "key", edit->key);
        _dc_build_text(builder, "value", edit->value);
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
    g_autoptr(JsonNode) root = json_builder_get_root(builder);
    return json_to_string(root, FALSE);
}

/* -- private: what edits make of a group ---------------------------------- */

/* Sets, replaces or (value NULL) removes a key in a list of pairs. */
static void
_dc_pairs_set(GPtrArray *pairs, const char *key, const char *value)
{
    uint32_t at = 0;
    while (at < pairs->len && strcmp(g_ptr_array_index(pairs, at), key) != 0) {
        at += 2;
    }
    if (at < pairs->len) {
        g_ptr_array_remove_range(pairs, at, 2);
    }
    if (value) {
        g_ptr_array_insert(pairs, (int)at, g_strdup(key));
        g_ptr_array_insert(pairs, (int)at + 1, g_strdup(value));
    }
}

static GPtrArray *
_dc_pairs_of(const dc_config *config, const char *group)
{
    GPtrArray *pairs = g_ptr_array_new_with_free_func(g_free);
    const dc_entry *entry =
        config ? dc_document_query_entry(config, group) : NULL;
    for (char **text = entry ? entry->pairs : NULL; text && *text; text++) {
        g_ptr_array_add(pairs, g_strdup(*text));
    }
    return pairs;
}

static void
_dc_pairs_free(void *pairs)
{
    if (pairs) {
        g_ptr_array_unref(pairs);
    }
}

/* The pairs of a group that is edited, taken from config the first time. */
static GPtrArray *
_dc_pairs_touch(GHashTable *touched, const dc_config *config, char *group)
{
    GPtrArray *pairs = g_hash_table_lookup(touched, group);
    if (pairs) {
        return pairs;
    }
    bool removed = g_hash_table_contains(touched, group);
    pairs = removed ? g_ptr_array_new_with_free_func(g_free)
                    : _dc_pairs_of(config, group);
    g_hash_table_replace(touched, group, pairs);
    return pairs;
}

/* The pairs of each group that the edits name; NULL: removed. */
static GHashTable *
_dc_touched(const dc_config *config, const dc_edits *edits)
{
    GHashTable *touched =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, _dc_pairs_free);
    for (uint32_t i = 0; i < edits->list->len; i++) {
        const dc_edit *edit = dc_edits_query_at(edits, i);
        if (!edit->key && !edit->value) {
            g_hash_table_replace(touched, edit->group, NULL);
            continue;
        }
        GPtrArray *pairs = _dc_pairs_touch(touched, config, edit->group);
        if (edit->key) {
            _dc_pairs_set(pairs, edit->key, edit->value);
        }
    }
    return touched;
}

static er_code
_dc_make_touched(GHashTable *touched, GPtrArray *entries, er_status *status)
{
    GHashTableIter iter;
    void *group = NULL;
    void *value = NULL;
    g_hash_table_iter_init(&iter, touched);
    while (g_hash_table_iter_next(&iter, &group, &value)) {
        if (!value) {
            continue;
        }
        GPtrArray *copy = g_ptr_array_new();
        GPtrArray *pairs = value;
        for (uint32_t i = 0; i < pairs->len; i++) {
            g_ptr_array_add(copy, g_strdup(g_ptr_array_index(pairs, i)));
        }
        g_ptr_array_add(copy, NULL);
        dc_entry *entry = NULL;
        er_code code = dc_entry_create("edits", group,
                                       (char **)g_ptr_array_free(copy, FALSE),
                                       &entry, status);
        if (code != ER_OK) {
            return code;
        }
        g_ptr_array_add(entries, entry);
    }
    return ER_OK;
}

static er_code
_dc_check_removals(const dc_config *config, const dc_edits *edits,
                   er_status *status)
{
    for (uint32_t i = 0; i < edits->list->len; i++) {
        const dc_edit *edit = dc_edits_query_at(edits, i);
        if (edit->key || edit->value ||
            (config && dc_document_query_entry(config, edit->group))) {
            continue;
        }
        return er_set(status, ER_NOT_FOUND, "edits: no group [%s] to remove",
                      edit->group);
    }
    return ER_OK;
}

/* -- public --------------------------------------------------------------- */

er_code
dc_apply_edits(const dc_config *config, const dc_edits *edits,
               dc_config **result, er_status *status)
{
    er_code code = _dc_check_removals(config, edits, status);
    if (code != ER_OK) {
        return code;
    }
    g_autoptr(GHashTable) touched = _dc_touched(config, edits);
    g_autoptr(GPtrArray) entries =
        g_ptr_array_new_with_free_func((GDestroyNotify)dc_entry_unref);
    code = _dc_make_touched(touched, entries, status);
    if (code != ER_OK) {
        return code;
    }
    return dc_document_create("edits", config, touched, entries, result,
                              status);
}

static void
_dc_diff_entry(const dc_entry *from, const dc_entry *to, dc_edits *edits)
{
    if (!from && !to->pairs[0] && *to->name) {
        dc_edits_add(edits, to->group, NULL, "");
    }
    for (char **pair = from ? from->pairs : NULL; pair && *pair; pair += 2) {
        if (!dc_entry_query_value(to, pair[0])) {
            dc_edits_add(edits, to->group, pair[0], NULL);
        }
    }
    for (char **pair = to->pairs; *pair; pair += 2) {
        const char *old = from ? dc_entry_query_value(from, pair[0]) : NULL;
        if (g_strcmp0(old, pair[1]) != 0) {
            dc_edits_add(edits, to->group, pair[0], pair[1]);
        }
    }
}

/* The entry of a sorted list with this name, looked for from *at on; *at
   never goes back. */
static const dc_entry *
_dc_walk_to(const GPtrArray *entries, uint32_t *at, const dc_entry *wanted)
{
    while (*at < entries->len) {
        const dc_entry *entry = g_ptr_array_index(entries, *at);
        int order = entry == wanted ? 0 : strcmp(entry->name, wanted->name);
        if (order >= 0) {
            return order == 0 ? entry : NULL;
        }
        (*at)++;
    }
    return NULL;
}

static void
_dc_diff_removed(const GPtrArray *from, const GPtrArray *to, dc_edits *edits)
{
    uint32_t at = 0;
    for (uint32_t i = 0; i < from->len; i++) {
        const dc_entry *entry = g_ptr_array_index(from, i);
        if (!_dc_walk_to(to, &at, entry)) {
            dc_edits_add(edits, entry->group, NULL, NULL);
        }
    }
}

/* from NULL: nothing. */
static void
_dc_diff_kept(const GPtrArray *from, const GPtrArray *to, dc_edits *edits)
{
    uint32_t at = 0;
    for (uint32_t i = 0; i < to->len; i++) {
        const dc_entry *entry = g_ptr_array_index(to, i);
        const dc_entry *old = from ? _dc_walk_to(from, &at, entry) : NULL;
        if (!old || !dc_entry_query_equal(old, entry)) {
            _dc_diff_entry(old, entry, edits);
        }
    }
}

dc_edits *
dc_diff(const dc_config *a, const dc_config *b)
{
    dc_edits *edits = dc_edits_create();
    for (uint32_t kind = 0; a && kind < DC_KIND_NUM; kind++) {
        if (!dc_document_query_shared(a, b, (dc_kind)kind)) {
            _dc_diff_removed(dc_document_query_entries(a, (dc_kind)kind),
                             dc_document_query_entries(b, (dc_kind)kind),
                             edits);
        }
    }
    for (uint32_t kind = 0; kind < DC_KIND_NUM; kind++) {
        if (!a || !dc_document_query_shared(a, b, (dc_kind)kind)) {
            _dc_diff_kept(a ? dc_document_query_entries(a, (dc_kind)kind)
                            : NULL,
                          dc_document_query_entries(b, (dc_kind)kind), edits);
        }
    }
    return edits;
}
