/* record.c: writes the audit record of a change as JSON. */
#include "internal.h"

#include <string.h>

char *
ad_query_change_key(uint64_t version)
{
    return g_strdup_printf(AD_CHANGE_PREFIX "%012" G_GUINT64_FORMAT, version);
}

/* -- private -------------------------------------------------------------- */

static void
_ad_add_text(JsonBuilder *builder, const char *name, const char *text)
{
    json_builder_set_member_name(builder, name);
    if (text) {
        json_builder_add_string_value(builder, text);
    }
    else {
        json_builder_add_null_value(builder);
    }
}

static void
_ad_add_number(JsonBuilder *builder, const char *name, uint64_t number)
{
    json_builder_set_member_name(builder, name);
    json_builder_add_int_value(builder, (gint64)number);
}

static void
_ad_add_edits(JsonBuilder *builder, const ad_record *record)
{
    json_builder_set_member_name(builder, "changes");
    json_builder_begin_array(builder);
    uint32_t count = record->edits ? dc_edits_query_count(record->edits) : 0;
    for (uint32_t i = 0; i < count; i++) {
        const dc_edit *edit = dc_edits_query_at(record->edits, i);
        const char *old_value =
            edit->key && record->before
                ? dc_query_value(record->before, edit->group, edit->key)
                : NULL;
        json_builder_begin_object(builder);
        _ad_add_text(builder, "group", edit->group);
        _ad_add_text(builder, "key", edit->key);
        _ad_add_text(builder, "from", old_value);
        _ad_add_text(builder, "to", edit->value);
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
}

static void
_ad_add_team(GHashTable *teams, const dc_config *config, const char *group)
{
    const char *name = NULL;
    if (!config) {
        return;
    }
    switch (dc_query_group_kind(group, &name)) {
    case DC_TEAM:
        g_hash_table_add(teams, (char *)name);
        return;
    case DC_ADAPTER: {
        const dc_adapter *adapter = dc_query_adapter(config, name);
        if (adapter) {
            g_hash_table_add(teams, adapter->team);
        }
        return;
    }
    default:
        return;
    }
}

/* Adds the teams that own a changed group, before or after the change. They
   may read the record. */
static void
_ad_add_teams(JsonBuilder *builder, const ad_record *record)
{
    g_autoptr(GHashTable) teams = g_hash_table_new(g_str_hash, g_str_equal);
    uint32_t count = record->edits ? dc_edits_query_count(record->edits) : 0;
    for (uint32_t i = 0; i < count; i++) {
        const char *group = dc_edits_query_at(record->edits, i)->group;
        _ad_add_team(teams, record->before, group);
        _ad_add_team(teams, record->after, group);
    }
    g_autoptr(GList) names = g_hash_table_get_keys(teams);
    names = g_list_sort(names, (GCompareFunc)strcmp);
    json_builder_set_member_name(builder, "teams");
    json_builder_begin_array(builder);
    for (GList *name = names; name; name = name->next) {
        json_builder_add_string_value(builder, name->data);
    }
    json_builder_end_array(builder);
}

/* Adds the edits that reverse the change; a rollback applies them. */
static void
_ad_add_undo(JsonBuilder *builder, const ad_record *record)
{
    if (!record->before || !record->after || record->refused != ER_OK) {
        return;
    }
    g_autoptr(dc_edits) undo = dc_diff(record->after, record->before);
    g_autofree char *text = dc_edits_query_text(undo);
    json_builder_set_member_name(builder, "undo");
    json_builder_add_value(builder, json_from_string(text, NULL));
}

/* -- public --------------------------------------------------------------- */

char *
ad_record_query_text(const ad_record *record)
{
    g_autoptr(JsonBuilder) builder = json_builder_new();
    json_builder_begin_object(builder);
    _ad_add_number(builder, "version", record->version);
    _ad_add_number(builder, "when_ms", record->when_ms);
    _ad_add_text(builder, "id", record->id);
    _ad_add_text(builder, "who", record->who);
    _ad_add_text(builder, "team", record->team);
    _ad_add_text(builder, "note", record->note);
    _ad_add_text(builder, "outcome",
                 record->refused == ER_OK ? "accepted" : "refused");
    if (record->refused != ER_OK) {
        _ad_add_text(builder, "reason", er_query_name(record->refused));
        _ad_add_text(builder, "why", record->why);
    }
    _ad_add_edits(builder, record);
    _ad_add_teams(builder, record);
    _ad_add_undo(builder, record);
    json_builder_end_object(builder);
    g_autoptr(JsonNode) root = json_builder_get_root(builder);
    return json_to_string(root, FALSE);
}
