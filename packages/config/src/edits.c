/*
 * edits.c: the list of edits, its JSON form, its application to a
 * configuration, and the difference of two configurations.
 */
#include "document.h"

#include "lacewing/json_depth.h"
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
dc_edits_query_at(const dc_edits *edits, uint32_t index)
{
    return g_ptr_array_index(edits->list, index);
}

/* -- private: JSON -------------------------------------------------------- */

/* Reads a member that is a string, null or missing; text is NULL for the last
   two. Returns false if the member has another type. */
static bool
_dc_json_read_string(JsonObject *object, const char *name, const char **text)
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
_dc_json_has_only_known_members(JsonObject *object)
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
_dc_json_read_edit(JsonNode *node, dc_edits *edits)
{
    if (!JSON_NODE_HOLDS_OBJECT(node)) {
        return false;
    }
    JsonObject *object = json_node_get_object(node);
    const char *group = NULL;
    const char *key = NULL;
    const char *value = NULL;
    if (!_dc_json_has_only_known_members(object) ||
        !_dc_json_read_string(object, "group", &group) ||
        !_dc_json_read_string(object, "key", &key) ||
        !_dc_json_read_string(object, "value", &value)) {
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
    if (!jd_query_fits(text, strlen(text))) {
        return er_set(status, ER_BAD_REQUEST, "edits: nested too deeply");
    }
    g_autoptr(JsonParser) parser = json_parser_new_immutable();
    g_autoptr(GError) error = NULL;
    if (!json_parser_load_from_data(parser, text, -1, &error)) {
        return er_set(status, ER_BAD_REQUEST, "edits: %s", error->message);
    }
    JsonNode *root = json_parser_get_root(parser);
    if (!root || !JSON_NODE_HOLDS_ARRAY(root)) {
        return er_set(status, ER_BAD_REQUEST, "edits: must be a JSON array");
    }
    g_autoptr(dc_edits) edits = dc_edits_create();
    JsonArray *list = json_node_get_array(root);
    for (uint32_t i = 0; i < json_array_get_length(list); i++) {
        if (!_dc_json_read_edit(json_array_get_element(list, i), edits)) {
            return er_set(status, ER_BAD_REQUEST,
                          "edits, entry %u: group must be a string, key and "
                          "value strings or null, without other members; "
                          "without key, value must be null or empty",
                          i + 1);
        }
    }
    *result = g_steal_pointer(&edits);
    return ER_OK;
}

static void
_dc_json_build_string(JsonBuilder *builder, const char *name, const char *text)
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
        _dc_json_build_string(builder, "group", edit->group);
        _dc_json_build_string(builder, "key", edit->key);
        _dc_json_build_string(builder, "value", edit->value);
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
    g_autoptr(JsonNode) root = json_builder_get_root(builder);
    return json_to_string(root, FALSE);
}

/* -- private: applying edits to groups ------------------------------------ */

/* Sets, replaces or (value NULL) removes a key in a list of key, value, ...; a
   replaced key keeps its position. */
static void
_dc_pairs_set(GPtrArray *pairs, const char *key, const char *value)
{
    uint32_t index = 0;
    while (index < pairs->len &&
           strcmp(g_ptr_array_index(pairs, index), key) != 0) {
        index += 2;
    }
    if (index < pairs->len) {
        g_ptr_array_remove_range(pairs, index, 2);
    }
    if (value) {
        g_ptr_array_insert(pairs, (int)index, g_strdup(key));
        g_ptr_array_insert(pairs, (int)index + 1, g_strdup(value));
    }
}

static GPtrArray *
_dc_pairs_copy(const dc_config *config, const char *group)
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

/* The pairs of an edited group. The first edit of a group copies them from
   config; an edit after the group was removed starts without any. */
static GPtrArray *
_dc_pairs_for_edit(GHashTable *edited, const dc_config *config, char *group)
{
    GPtrArray *pairs = g_hash_table_lookup(edited, group);
    if (pairs) {
        return pairs;
    }
    bool removed = g_hash_table_contains(edited, group);
    pairs = removed ? g_ptr_array_new_with_free_func(g_free)
                    : _dc_pairs_copy(config, group);
    g_hash_table_replace(edited, group, pairs);
    return pairs;
}

/* Applies the edits. Returns a table from the name of each edited group to its
   pairs, or to NULL if the group is removed. */
static GHashTable *
_dc_edit_groups(const dc_config *config, const dc_edits *edits)
{
    GHashTable *edited =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, _dc_pairs_free);
    for (uint32_t i = 0; i < edits->list->len; i++) {
        const dc_edit *edit = dc_edits_query_at(edits, i);
        if (!edit->key && !edit->value) {
            g_hash_table_replace(edited, edit->group, NULL);
            continue;
        }
        GPtrArray *pairs = _dc_pairs_for_edit(edited, config, edit->group);
        if (edit->key) {
            _dc_pairs_set(pairs, edit->key, edit->value);
        }
    }
    return edited;
}

static er_code
_dc_create_entries(GHashTable *edited, GPtrArray *entries, er_status *status)
{
    GHashTableIter iter;
    void *group = NULL;
    void *value = NULL;
    g_hash_table_iter_init(&iter, edited);
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
        return er_set(status, ER_NOT_FOUND,
                      "edits: cannot remove [%s]: no such group", edit->group);
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
    g_autoptr(GHashTable) edited = _dc_edit_groups(config, edits);
    g_autoptr(GPtrArray) entries =
        g_ptr_array_new_with_free_func((GDestroyNotify)dc_entry_unref);
    code = _dc_create_entries(edited, entries, status);
    if (code != ER_OK) {
        return code;
    }
    return dc_document_create("edits", config, edited, entries, result,
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

/* Finds the entry of a sorted list that has the name of wanted. The search
   starts at *position, which only advances. Returns NULL if there is none. */
static const dc_entry *
_dc_advance_to(const GPtrArray *entries, uint32_t *position,
               const dc_entry *wanted)
{
    while (*position < entries->len) {
        const dc_entry *entry = g_ptr_array_index(entries, *position);
        int order = entry == wanted ? 0 : strcmp(entry->name, wanted->name);
        if (order >= 0) {
            return order == 0 ? entry : NULL;
        }
        (*position)++;
    }
    return NULL;
}

/* Adds an edit for each group that only from has. */
static void
_dc_diff_removed(const GPtrArray *from, const GPtrArray *to, dc_edits *edits)
{
    uint32_t position = 0;
    for (uint32_t i = 0; i < from->len; i++) {
        const dc_entry *entry = g_ptr_array_index(from, i);
        if (!_dc_advance_to(to, &position, entry)) {
            dc_edits_add(edits, entry->group, NULL, NULL);
        }
    }
}

/* Adds the edits for the groups that to adds or changes. from NULL: no
   groups. */
static void
_dc_diff_added_or_changed(const GPtrArray *from, const GPtrArray *to,
                          dc_edits *edits)
{
    uint32_t position = 0;
    for (uint32_t i = 0; i < to->len; i++) {
        const dc_entry *entry = g_ptr_array_index(to, i);
        const dc_entry *old =
            from ? _dc_advance_to(from, &position, entry) : NULL;
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
            _dc_diff_added_or_changed(
                a ? dc_document_query_entries(a, (dc_kind)kind) : NULL,
                dc_document_query_entries(b, (dc_kind)kind), edits);
        }
    }
    return edits;
}
