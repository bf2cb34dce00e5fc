#include "table_api.h"

#include "lacewing/store.h"

#define _TA_SCAN_ROWS_MAX 1000

struct ta_api {
    sh_shell *shell;
    pf_table *table;
};

/* A call that waits for the table. */
typedef struct _ta_call {
    ta_api *api;
    SoupServerMessage *message;
    bool single_row; /* answered with one row rather than a list */
} _ta_call;

/* -- private: answers ----------------------------------------------------- */

/* Answers the call and frees it. */
static void
_ta_answer(_ta_call *call, uint32_t status, JsonBuilder *builder)
{
    g_autoptr(JsonNode) root = json_builder_get_root(builder);
    g_autofree char *body = json_to_string(root, FALSE);
    sh_answer(call->api->shell, call->message, status, body);
    g_object_unref(call->message);
    g_free(call);
}

static void
_ta_add_row(JsonBuilder *builder, const pf_row *row)
{
    if (!row->key) {
        json_builder_add_null_value(builder);
        return;
    }
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "key");
    json_builder_add_string_value(builder, row->key);
    json_builder_set_member_name(builder, "version");
    json_builder_add_int_value(builder, (gint64)row->version);
    json_builder_set_member_name(builder, "value");
    if (row->value) {
        gsize size = 0;
        const char *data = g_bytes_get_data(row->value, &size);
        g_autofree char *text = g_strndup(data ? data : "", size);
        json_builder_add_string_value(builder, text);
    }
    else {
        json_builder_add_null_value(builder);
    }
    json_builder_end_object(builder);
}

static void
_ta_add_rows(JsonBuilder *builder, const pf_row *rows, size_t count)
{
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "rows");
    json_builder_begin_array(builder);
    for (size_t i = 0; i < count; i++) {
        _ta_add_row(builder, &rows[i]);
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
}

static void
_ta_on_commit(const pf_commit_result *result, void *user_data)
{
    g_autoptr(JsonBuilder) builder = json_builder_new_immutable();
    if (result->code == ER_CONFLICT) {
        _ta_add_rows(builder, result->rows, result->count);
        _ta_answer(user_data, 409, builder);
        return;
    }
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "versions");
    json_builder_begin_array(builder);
    for (size_t i = 0; i < result->count; i++) {
        json_builder_add_int_value(builder, (gint64)result->versions[i]);
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    _ta_answer(user_data, result->code == ER_OK ? 200 : 503, builder);
}

static void
_ta_on_read(const pf_read_result *result, void *user_data)
{
    _ta_call *call = user_data;
    g_autoptr(JsonBuilder) builder = json_builder_new_immutable();
    if (call->single_row && result->code == ER_OK) {
        _ta_add_row(builder, &result->rows[0]);
    }
    else {
        _ta_add_rows(builder, result->rows, result->count);
    }
    _ta_answer(call, result->code == ER_OK ? 200 : 503, builder);
}

/* -- private: calls ------------------------------------------------------- */

/* Sets *op, whose value the caller frees with _ta_clear_op() also when this
   returns false. */
static bool
_ta_parse_op(JsonNode *node, pf_op *op)
{
    if (!JSON_NODE_HOLDS_OBJECT(node)) {
        return false;
    }
    JsonObject *object = json_node_get_object(node);
    op->key = sh_query_text(object, "key", NULL);
    op->expect = json_object_has_member(object, "expect")
                     ? (uint64_t)sh_query_int(object, "expect", 0)
                     : PF_VERSION_ANY;
    const char *value = sh_query_text(object, "value", NULL);
    op->value = value ? g_bytes_new(value, strlen(value)) : NULL;
    return op->key != NULL;
}

static void
_ta_clear_op(void *item)
{
    g_clear_pointer(&((pf_op *)item)->value, g_bytes_unref);
}

static bool
_ta_parse_ops(JsonNode *root, GArray *ops)
{
    JsonNode *node =
        root ? json_object_get_member(json_node_get_object(root), "ops")
             : NULL;
    if (!node || !JSON_NODE_HOLDS_ARRAY(node)) {
        return false;
    }
    JsonArray *array = json_node_get_array(node);
    for (guint i = 0; i < json_array_get_length(array); i++) {
        pf_op op = {0};
        bool parsed = _ta_parse_op(json_array_get_element(array, i), &op);
        g_array_append_val(ops, op);
        if (!parsed) {
            return false;
        }
    }
    return ops->len > 0;
}

static _ta_call *
_ta_call_create(ta_api *api, SoupServerMessage *message, bool single_row)
{
    _ta_call *call = g_new0(_ta_call, 1);
    call->api = api;
    call->message = g_object_ref(message);
    call->single_row = single_row;
    return call;
}

static void
_ta_commit(ta_api *api, SoupServerMessage *message)
{
    g_autoptr(JsonNode) root = sh_query_body(message);
    g_autoptr(GArray) ops = g_array_new(FALSE, TRUE, sizeof(pf_op));
    g_array_set_clear_func(ops, _ta_clear_op);
    if (!_ta_parse_ops(root, ops)) {
        sh_answer(api->shell, message, 400, "{}");
        return;
    }
    pf_table_commit(api->table, (const pf_op *)(void *)ops->data, ops->len,
                    _ta_on_commit, _ta_call_create(api, message, false));
}

/* Returns NULL if the request has no such query parameter. */
static const char *
_ta_parameter(GHashTable *query, const char *name)
{
    return query ? g_hash_table_lookup(query, name) : NULL;
}

static void
_ta_scan(ta_api *api, SoupServerMessage *message, GHashTable *query)
{
    const char *prefix = _ta_parameter(query, "prefix");
    const char *after = _ta_parameter(query, "after");
    const char *limit_text = _ta_parameter(query, "limit");
    uint64_t limit = limit_text ? g_ascii_strtoull(limit_text, NULL, 10) : 0;
    uint32_t row_limit =
        limit ? (uint32_t)MIN(limit, _TA_SCAN_ROWS_MAX) : _TA_SCAN_ROWS_MAX;
    pf_table_scan(api->table, prefix ? prefix : "",
                  after && *after ? after : NULL, row_limit, _ta_on_read,
                  _ta_call_create(api, message, false));
}

/* -- public --------------------------------------------------------------- */

ta_api *
ta_create(sh_shell *shell)
{
    ta_api *api = g_new0(ta_api, 1);
    api->shell = shell;
    api->table = pf_memory_table_create();
    return api;
}

void
ta_destroy(ta_api *api)
{
    if (api) {
        pf_table_destroy(api->table);
        g_free(api);
    }
}

void
ta_handle(ta_api *api, SoupServerMessage *message, const char *path,
          GHashTable *query)
{
    const char *key = _ta_parameter(query, "key");
    if (g_str_equal(path, "/table/commit")) {
        _ta_commit(api, message);
    }
    else if (g_str_equal(path, "/table/row") && key) {
        pf_table_read(api->table, key, _ta_on_read,
                      _ta_call_create(api, message, true));
    }
    else if (g_str_equal(path, "/table/scan")) {
        _ta_scan(api, message, query);
    }
    else {
        sh_answer(api->shell, message, 400, "{}");
    }
}

uint64_t
ta_query_commits(const ta_api *api)
{
    return pf_memory_table_query_commits(api->table);
}

uint64_t
ta_query_reads(const ta_api *api)
{
    return pf_memory_table_query_reads(api->table);
}
