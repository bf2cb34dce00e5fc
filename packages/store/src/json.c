#include "json.h"

#include "lacewing/json_depth.h"
#include <json-glib/json-glib.h>
#include <string.h>

/* -- private: writing ----------------------------------------------------- */

static void
_js_add_op(JsonBuilder *builder, const pf_op *op)
{
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "key");
    json_builder_add_string_value(builder, op->key);
    if (op->expect != PF_VERSION_ANY) {
        json_builder_set_member_name(builder, "expect");
        json_builder_add_int_value(builder, (gint64)op->expect);
    }
    json_builder_set_member_name(builder, "value");
    if (op->value) {
        gsize size = 0;
        const char *data = g_bytes_get_data(op->value, &size);
        g_autofree char *text = g_strndup(data ? data : "", size);
        json_builder_add_string_value(builder, text);
    }
    else {
        json_builder_add_null_value(builder);
    }
    json_builder_end_object(builder);
}

/* -- private: reading ----------------------------------------------------- */

/* Returns NULL if the node is not an object. */
static JsonObject *
_js_as_object(JsonNode *node)
{
    return node && JSON_NODE_HOLDS_OBJECT(node) ? json_node_get_object(node)
                                                : NULL;
}

/* Returns NULL if the body is not valid JSON. */
static JsonNode *
_js_parse(GBytes *body)
{
    gsize size = 0;
    const char *data = g_bytes_get_data(body, &size);
    g_autoptr(JsonParser) parser = json_parser_new_immutable();
    if (!data || !jd_query_fits(data, size) ||
        !json_parser_load_from_data(parser, data, (gssize)size, NULL)) {
        return NULL;
    }
    return json_parser_steal_root(parser);
}

/* Returns NULL if the member is absent or not an array. */
static JsonArray *
_js_member_array(JsonNode *root, const char *name)
{
    JsonObject *object = _js_as_object(root);
    JsonNode *node = object ? json_object_get_member(object, name) : NULL;
    return node && JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node)
                                               : NULL;
}

/* Returns NULL if the member is absent or not a string. */
static const char *
_js_member_string(JsonObject *object, const char *name)
{
    JsonNode *node = json_object_get_member(object, name);
    bool is_string = node && JSON_NODE_HOLDS_VALUE(node) &&
                     json_node_get_value_type(node) == G_TYPE_STRING;
    return is_string ? json_node_get_string(node) : NULL;
}

static bool
_js_parse_uint(JsonNode *node, uint64_t *number)
{
    if (!node || !JSON_NODE_HOLDS_VALUE(node) ||
        json_node_get_value_type(node) != G_TYPE_INT64) {
        return false;
    }
    *number = (uint64_t)json_node_get_int(node);
    return true;
}

static bool
_js_add_row(JsonNode *node, GArray *rows)
{
    JsonObject *object = _js_as_object(node);
    if (!object) {
        return false;
    }
    const char *key = _js_member_string(object, "key");
    const char *text = _js_member_string(object, "value");
    uint64_t version = 0;
    /* A row has a value exactly if it exists. */
    if (!key ||
        !_js_parse_uint(json_object_get_member(object, "version"), &version) ||
        (version != PF_VERSION_ABSENT) != (text != NULL)) {
        return false;
    }
    g_autoptr(GBytes) value = text ? g_bytes_new(text, strlen(text)) : NULL;
    rw_add(rows, key, value, version);
    return true;
}

static bool
_js_add_instance(JsonNode *node, GArray *instances)
{
    JsonObject *object = _js_as_object(node);
    if (!object) {
        return false;
    }
    const char *name = _js_member_string(object, "name");
    const char *zone = _js_member_string(object, "zone");
    const char *address = _js_member_string(object, "address");
    const char *kind = _js_member_string(object, "kind");
    if (!name || !zone || !address || !kind) {
        return false;
    }
    pf_instance instance = {
        .name = g_strdup(name),
        .zone = g_strdup(zone),
        .address = g_strdup(address),
        .kind = g_str_equal(kind, "server") ? PF_INSTANCE_SERVER
                                            : PF_INSTANCE_ENTRY,
        .leaving = json_object_get_boolean_member_with_default(
            object, "leaving", FALSE),
    };
    g_array_append_val(instances, instance);
    return true;
}

/* -- public --------------------------------------------------------------- */

GBytes *
js_commit_body(const pf_op *ops, size_t count)
{
    g_autoptr(JsonBuilder) builder = json_builder_new_immutable();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "ops");
    json_builder_begin_array(builder);
    for (size_t i = 0; i < count; i++) {
        _js_add_op(builder, &ops[i]);
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    g_autoptr(JsonNode) root = json_builder_get_root(builder);
    char *text = json_to_string(root, FALSE);
    return g_bytes_new_take(text, strlen(text));
}

bool
js_read_versions(GBytes *body, GArray *versions)
{
    g_autoptr(JsonNode) root = _js_parse(body);
    JsonArray *array = _js_member_array(root, "versions");
    if (!array) {
        return false;
    }
    for (guint i = 0; i < json_array_get_length(array); i++) {
        uint64_t version = 0;
        if (!_js_parse_uint(json_array_get_element(array, i), &version)) {
            return false;
        }
        g_array_append_val(versions, version);
    }
    return true;
}

bool
js_read_rows(GBytes *body, GArray *rows)
{
    g_autoptr(JsonNode) root = _js_parse(body);
    JsonArray *array = _js_member_array(root, "rows");
    if (!array) {
        return false;
    }
    for (guint i = 0; i < json_array_get_length(array); i++) {
        JsonNode *node = json_array_get_element(array, i);
        if (JSON_NODE_HOLDS_NULL(node)) {
            rw_add(rows, NULL, NULL, 0);
        }
        else if (!_js_add_row(node, rows)) {
            return false;
        }
    }
    return true;
}

bool
js_read_row(GBytes *body, GArray *rows)
{
    g_autoptr(JsonNode) root = _js_parse(body);
    return root && _js_add_row(root, rows);
}

bool
js_read_instances(GBytes *body, GArray *instances)
{
    g_autoptr(JsonNode) root = _js_parse(body);
    JsonArray *array = _js_member_array(root, "instances");
    if (!array) {
        return false;
    }
    for (guint i = 0; i < json_array_get_length(array); i++) {
        if (!_js_add_instance(json_array_get_element(array, i), instances)) {
            return false;
        }
    }
    return true;
}
