/* resources.c: lists, reads, changes and removes the groups of the
   configuration as HTTP resources. */
#include "internal.h"

#include <string.h>

/* Items in one answer of a list. */
#define LIST_ITEMS_DEFAULT 100
#define LIST_ITEMS_MAX 1000

/* First part of the path, by kind of group. */
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

/* Returns true if the configuration has one group of this kind, without a
   name. */
static bool
_ad_is_singleton(dc_kind kind)
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

/* Returns the live state of one server, or NULL if the host reports none. */
static JsonNode *
_ad_find_live_state(JsonNode *live_states, const char *name)
{
    if (!live_states || !JSON_NODE_HOLDS_ARRAY(live_states)) {
        return NULL;
    }
    JsonArray *list = json_node_get_array(live_states);
    for (uint32_t i = 0; i < json_array_get_length(list); i++) {
        JsonNode *node = json_array_get_element(list, i);
        const char *state_name = json_object_get_string_member_with_default(
            json_node_get_object(node), "name", "");
        if (strcmp(state_name, name) == 0) {
            return node;
        }
    }
    return NULL;
}

/* Returns the live states of all servers, or NULL for other kinds. */
static JsonNode *
_ad_read_live_states(const ad_call *call, dc_kind kind)
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
              const char *name, JsonNode *live_states)
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
    JsonNode *state = name ? _ad_find_live_state(live_states, name) : NULL;
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
    if (ad_call_number(call, "limit", LIST_ITEMS_DEFAULT, &limit, &status) !=
        ER_OK) {
        ad_answer_error(call, &status);
        return;
    }
    limit = MIN(limit, LIST_ITEMS_MAX);
    const char *after = ad_call_string(call, "after");
    g_autoptr(JsonNode) live_states = _ad_read_live_states(call, kind);
    g_autoptr(JsonBuilder) builder = json_builder_new();
    _ad_begin_answer(builder, call);
    json_builder_set_member_name(builder, "items");
    json_builder_begin_array(builder);
    const char *last = NULL;
    uint32_t count = dc_query_count(call->config, kind);
    for (uint32_t i = 0; i < count && limit > 0; i++) {
        const char *name = _ad_name_at(call->config, kind, i);
        bool wanted = !after || strcmp(name, after) > 0;
        if (!wanted || !ad_may_read(call, kind, name)) {
            continue;
        }
        _ad_add_group(builder, call->config, kind, name, live_states);
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
        !ad_may_read(call, kind, name)) {
        er_set(&status, ER_NOT_FOUND,
               "group [%s] does not exist or is not visible with this key",
               group);
        ad_answer_error(call, &status);
        return;
    }
    g_autoptr(JsonNode) live_states = _ad_read_live_states(call, kind);
    g_autoptr(JsonBuilder) builder = json_builder_new();
    _ad_begin_answer(builder, call);
    json_builder_set_member_name(builder, "item");
    _ad_add_group(builder, call->config, kind, name, live_states);
    json_builder_end_object(builder);
    ad_answer_json(call, SOUP_STATUS_OK, builder);
}

/* -- private: changing ---------------------------------------------------- */

/* Adds an edit for each member of the body that is a key of the group; null
   unsets a key. A group that does not exist yet is created. */
static er_code
_ad_add_body_edits(const ad_call *call, const char *group, dc_edits *edits,
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
        if (ad_is_call_parameter(name->data)) {
            continue;
        }
        bool unset = JSON_NODE_HOLDS_NULL(node);
        g_autofree char *value = unset ? NULL : ad_value_text(node);
        if (!unset && !value) {
            return er_set(
                status, ER_BAD_REQUEST,
                "%s: must be a string, a number, true, false, null or "
                "a list of strings without \";\", numbers, true and "
                "false",
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
    else if (_ad_add_body_edits(call, group, edits, &status) != ER_OK) {
        ad_change_refuse(call, edits, &status);
        return;
    }
    ad_change_begin(call, g_steal_pointer(&edits));
}

/* -- shared within the package -------------------------------------------- */

void
ad_resource_handle(ad_call *call, dc_kind kind)
{
    const char *method = soup_server_message_get_method(call->message);
    const char *name = call->path_parts[1];
    bool read = method == SOUP_METHOD_GET;
    if (read && !name && !_ad_is_singleton(kind)) {
        _ad_answer_list(call, kind);
    }
    else if (read) {
        _ad_answer_group(call, kind, name);
    }
    else if (method == SOUP_METHOD_POST && (name || _ad_is_singleton(kind))) {
        _ad_change_group(call, kind, name, false);
    }
    else if (method == SOUP_METHOD_DELETE && name) {
        _ad_change_group(call, kind, name, true);
    }
    else {
        er_status status = {0};
        er_set(&status, ER_NOT_FOUND, "no such call: unknown method or path");
        ad_answer_error(call, &status);
    }
}
