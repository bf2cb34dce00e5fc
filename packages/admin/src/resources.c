/* The groups of the configuration as resources. */
#include "internal.h"

#include <string.h>

#define LIST_DEFAULT 100
#define LIST_MAX 1000

/* First part of the path of each kind. */
static const char *const resource_names[DC_KIND_NUM] = {
    [DC_DEPLOYMENT] = "deployment",
    [DC_LIMITS] = "limits",
    [DC_TOLERANCES] = "tolerances",
    [DC_ZONE] = "zones",
    [DC_SERVER] = "servers",
    [DC_MODEL] = "models",
    [DC_TEAM] = "teams",
    [DC_ADAPTER] = "adapters",
    [DC_OPERATION] = "operations",
};

bool
ad_resource_kind(const char *part, dc_kind *kind)
{
    for (uint32_t i = 0; i < DC_KIND_NUM; i++) {
        if (strcmp(resource_names[i], part) == 0) {
            *kind = (dc_kind)i;
            return true;
        }
    }
    return false;
}

static bool
_ad_stands_once(dc_kind kind)
{
    return kind == DC_DEPLOYMENT || kind == DC_LIMITS || kind == DC_TOLERANCES;
}

static char *
_ad_group_name(dc_kind kind, const char *name)
{
    return name ? g_strdup_printf("%s %s", dc_query_kind_name(kind), name)
                : g_strdup(dc_query_kind_name(kind));
}

/* -- private: reading ----------------------------------------------------- */

static const char *
_ad_name_at(const dc_config *config, dc_kind kind, uint32_t at)
{
    switch (kind) {
    case DC_ZONE:
        return dc_query_zone_at(config, at)->name;
    case DC_SERVER:
        return dc_query_server_at(config, at)->name;
    case DC_MODEL:
        return dc_query_model_at(config, at)->name;
    case DC_TEAM:
        return dc_query_team_at(config, at)->name;
    case DC_ADAPTER:
        return dc_query_adapter_at(config, at)->name;
    case DC_OPERATION:
        return dc_query_operation_at(config, at)->name;
    default:
        return NULL;
    }
}

/* The host's live state of one server; NULL: none. */
static JsonNode *
_ad_live_of(JsonNode *live, const char *name)
{
    if (!live || !JSON_NODE_HOLDS_ARRAY(live)) {
        return NULL;
    }
    JsonArray *list = json_node_get_array(live);
    for (uint32_t i = 0; i < json_array_get_length(list); i++) {
        JsonNode *node = json_array_get_element(list, i);
        const char *own = json_object_get_string_member_with_default(
            json_node_get_object(node), "name", "");
        if (strcmp(own, name) == 0) {
            return node;
        }
    }
    return NULL;
}

static JsonNode *
_ad_live(const ad_call *call, dc_kind kind)
{
    ad_host *host = call->admin->host;
    if (kind != DC_SERVER || !host->vt->servers) {
        return NULL;
    }
    g_autofree char *text = host->vt->servers(host);
    return text ? json_from_string(text, NULL) : NULL;
}

static void
_ad_add_group(JsonBuilder *builder, const dc_config *config, dc_kind kind,
              const char *name, JsonNode *live)
{
    g_autofree char *group = _ad_group_name(kind, name);
    json_builder_begin_object(builder);
    if (name) {
        json_builder_set_member_name(builder, "name");
        json_builder_add_string_value(builder, name);
    }
    const char *key = NULL;
    const char *fallback = NULL;
    for (uint32_t i = 0; dc_query_kind_key(kind, i, &key, &fallback); i++) {
        const char *value = dc_query_value(config, group, key);
        json_builder_set_member_name(builder, key);
        json_builder_add_string_value(builder, value ? value : fallback);
    }
    JsonNode *state = name ? _ad_live_of(live, name) : NULL;
    if (state) {
        json_builder_set_member_name(builder, "live");
        json_builder_add_value(builder, json_node_copy(state));
    }
    json_builder_end_object(builder);
}

static void
_ad_begin_answer(JsonBuilder *builder, const ad_call *call)
{
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "version");
    json_builder_add_int_value(builder, (gint64)call->version);
}

static void
_ad_answer_list(ad_call *call, dc_kind kind)
{
    uint64_t limit = 0;
    er_status status = {0};
    if (ad_call_number(call, "limit", LIST_DEFAULT, &limit, &status) !=
        ER_OK) {
        ad_answer_error(call, &status);
        return;
    }
    limit = MIN(limit, LIST_MAX);
    const char *after = ad_call_text(call, "after");
    g_autoptr(JsonNode) live = _ad_live(call, kind);
    g_autoptr(JsonBuilder) builder = json_builder_new();
    _ad_begin_answer(builder, call);
    json_builder_set_member_name(builder, "items");
    json_builder_begin_array(builder);
    const char *last = NULL;
    uint32_t count = dc_query_count(call->config, kind);
    for (uint32_t i = 0; i < count && limit > 0; i++) {
        const char *name = _ad_name_at(call->config, kind, i);
        bool wanted = !after || strcmp(name, after) > 0;
        if (!wanted || !ad_may_see(call, kind, name)) {
            continue;
        }
        _ad_add_group(builder, call->config, kind, name, live);
        last = name;
        limit--;
    }
    json_builder_end_array(builder);
    json_builder_set_member_name(builder, "next");
    json_builder_add_string_value(builder, limit == 0 && last ? last : "");
    json_builder_end_object(builder);
    ad_answer_json(call, SOUP_STATUS_OK, builder);
}

static void
_ad_answer_group(ad_call *call, dc_kind kind, const char *name)
{
    g_autofree char *group = _ad_group_name(kind, name);
    er_status status = {0};
    if (!dc_query_has_group(call->config, group) ||
        !ad_may_see(call, kind, name)) {
        er_set(&status, ER_NOT_FOUND, "no group [%s] to be seen with this key",
               group);
        ad_answer_error(call, &status);
        return;
    }
    g_autoptr(JsonNode) live = _ad_live(call, kind);
    g_autoptr(JsonBuilder) builder = json_builder_new();
    _ad_begin_answer(builder, call);
    json_builder_set_member_name(builder, "item");
    _ad_add_group(builder, call->config, kind, name, live);
    json_builder_end_object(builder);
    ad_answer_json(call, SOUP_STATUS_OK, builder);
}

/* -- private: changing ---------------------------------------------------- */

static er_code
_ad_edits_of_body(const ad_call *call, const char *group, dc_edits *edits,
                  er_status *status)
{
    if (!dc_query_has_group(call->config, group)) {
        dc_edits_add(edits, group, NULL, "");
    }
    if (!call->body) {
        return ER_OK;
    }
    JsonObject *body = json_node_get_object(call->body);
    g_autoptr(GList) names = json_object_get_members(body);
    for (GList *name = names; name; name = name->next) {
        JsonNode *node = json_object_get_member(body, name->data);
        if (ad_is_call_member(name->data)) {
            continue;
        }
        bool unset = JSON_NODE_HOLDS_NULL(node);
        g_autofree char *value = unset ? NULL : ad_value_text(node);
        if (!unset && !value) {
            return er_set(status, ER_BAD_REQUEST,
                          "%s: allowed are a text, number, true, false, null "
                          "or a list of them",
                          (const char *)name->data);
        }
        dc_edits_add(edits, group, name->data, value);
    }
    return ER_OK;
}

static void
_ad_change_group(ad_call *call, dc_kind kind, const char *name, bool remove)
{
    g_autofree char *group = _ad_group_name(kind, name);
    g_autoptr(dc_edits) edits = dc_edits_create();
    er_status status = {0};
    if (remove) {
        dc_edits_add(edits, group, NULL, NULL);
    }
    else if (_ad_edits_of_body(call, group, edits, &status) != ER_OK) {
        ad_change_refuse(call, edits, &status);
        return;
    }
    ad_change_begin(call, g_steal_pointer(&edits));
}

/* -- parts of the package ------------------------------------------------- */

void
ad_resource_handle(ad_call *call, dc_kind kind)
{
    const char *method = soup_server_message_get_method(call->message);
    const char *name = call->parts[1];
    bool read = method == SOUP_METHOD_GET;
    if (read && !name && !_ad_stands_once(kind)) {
        _ad_answer_list(call, kind);
    }
    else if (read) {
        _ad_answer_group(call, kind, name);
    }
    else if (method == SOUP_METHOD_POST && (name || _ad_stands_once(kind))) {
        _ad_change_group(call, kind, name, false);
    }
    else if (method == SOUP_METHOD_DELETE && name) {
        _ad_change_group(call, kind, name, true);
    }
    else {
        er_status status = {0};
        er_set(&status, ER_NOT_FOUND, "no such call");
        ad_answer_error(call, &status);
    }
}
