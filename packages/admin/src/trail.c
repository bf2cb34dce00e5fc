/* Reading the audit trail: filters, conflicts, one change. */
#include "internal.h"

#include "lacewing/timer.h"
#include <string.h>

#define AUDIT_DEFAULT 50
#define AUDIT_MAX 500
#define CONFLICT_ROWS 20
#define DAY_MS (24ULL * 60 * 60 * 1000)

/* -- private: records ----------------------------------------------------- */

JsonNode *
ad_row_record(const pf_row *row)
{
    if (!row->value) {
        return NULL;
    }
    gsize size = 0;
    const char *data = g_bytes_get_data(row->value, &size);
    g_autofree char *text = g_strndup(data, size);
    JsonNode *node = json_from_string(text, NULL);
    if (node && !JSON_NODE_HOLDS_OBJECT(node)) {
        g_clear_pointer(&node, json_node_unref);
    }
    return node;
}

static const char *
_ad_record_member(JsonNode *record, const char *name)
{
    return json_object_get_string_member_with_default(
        json_node_get_object(record), name, "");
}

static bool
_ad_record_of_team(JsonNode *record, const char *team)
{
    if (strcmp(_ad_record_member(record, "team"), team) == 0) {
        return true;
    }
    JsonObject *object = json_node_get_object(record);
    JsonArray *teams = json_object_has_member(object, "teams")
                           ? json_object_get_array_member(object, "teams")
                           : NULL;
    for (uint32_t i = 0; teams && i < json_array_get_length(teams); i++) {
        if (strcmp(json_array_get_string_element(teams, i), team) == 0) {
            return true;
        }
    }
    return false;
}

static bool
_ad_record_touches(JsonNode *record, const char *group)
{
    JsonArray *changes =
        json_object_get_array_member(json_node_get_object(record), "changes");
    for (uint32_t i = 0; changes && i < json_array_get_length(changes); i++) {
        JsonObject *change = json_array_get_object_element(changes, i);
        const char *own =
            json_object_get_string_member_with_default(change, "group", "");
        if (strcmp(own, group) == 0) {
            return true;
        }
    }
    return false;
}

static bool
_ad_record_wanted(const ad_call *call, JsonNode *record)
{
    if (call->actor.role != DC_ROLE_OPERATOR &&
        !_ad_record_of_team(record, call->actor.team)) {
        return false;
    }
    const char *who = ad_call_text(call, "who");
    const char *group = ad_call_text(call, "group");
    return (!who || strstr(_ad_record_member(record, "who"), who)) &&
           (!group || _ad_record_touches(record, group));
}

ad_reading *
ad_reading_create(ad_call *call)
{
    ad_reading *reading = g_new0(ad_reading, 1);
    reading->call = call;
    return reading;
}

void
ad_reading_free(ad_reading *reading)
{
    g_free(reading->id);
    g_free(reading);
}

void
ad_reading_failed(ad_reading *reading, er_code code)
{
    er_status status = {0};
    er_set(&status, code, "the audit trail cannot be read now");
    ad_answer_error(reading->call, &status);
    ad_reading_free(reading);
}

/* -- the trail with filters ----------------------------------------------- */

/* The chain keeps the record of a change that lost under its id, as it was
   handed in; the refusal has a record of its own. */
static bool
_ad_is_doubled(const pf_row *row, JsonNode *record)
{
    return g_str_has_prefix(row->key, AD_REFUSED_PREFIX) &&
           strcmp(_ad_record_member(record, "outcome"), "accepted") == 0;
}

/* What after= takes to go on: a version, or the tail of a refused row. */
static void
_ad_add_next(JsonBuilder *builder, const pf_read_result *result)
{
    const char *key =
        result->count ? result->rows[result->count - 1].key : NULL;
    if (!key) {
        json_builder_add_string_value(builder, "");
        return;
    }
    if (g_str_has_prefix(key, AD_REFUSED_PREFIX)) {
        json_builder_add_string_value(builder,
                                      key + strlen(AD_REFUSED_PREFIX));
        return;
    }
    guint64 version =
        g_ascii_strtoull(key + strlen(AD_CHANGE_PREFIX), NULL, 10);
    g_autofree char *text = g_strdup_printf("%" G_GUINT64_FORMAT, version);
    json_builder_add_string_value(builder, text);
}

static void
_ad_on_audit(const pf_read_result *result, void *data)
{
    ad_reading *reading = data;
    if (result->code != ER_OK) {
        ad_reading_failed(reading, result->code);
        return;
    }
    g_autoptr(JsonBuilder) builder = json_builder_new();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "items");
    json_builder_begin_array(builder);
    for (size_t i = 0; i < result->count; i++) {
        g_autoptr(JsonNode) record = ad_row_record(&result->rows[i]);
        if (record && !_ad_is_doubled(&result->rows[i], record) &&
            _ad_record_wanted(reading->call, record)) {
            json_builder_add_value(builder, g_steal_pointer(&record));
        }
    }
    json_builder_end_array(builder);
    json_builder_set_member_name(builder, "next");
    _ad_add_next(builder, result);
    json_builder_end_object(builder);
    ad_answer_json(reading->call, SOUP_STATUS_OK, builder);
    ad_reading_free(reading);
}

/* The row behind which to start. */
static er_code
_ad_audit_after(const ad_call *call, bool refused, uint64_t limit,
                char **after, er_status *status)
{
    uint64_t start = 0;
    const char *tail = ad_call_text(call, "after");
    if (refused && tail) {
        *after = g_strconcat(AD_REFUSED_PREFIX, tail, NULL);
        return ER_OK;
    }
    if (refused) {
        uint64_t now_ms = tm_query_wall_ms();
        er_code code =
            ad_call_number(call, "since_ms", now_ms - DAY_MS, &start, status);
        *after =
            g_strdup_printf(AD_REFUSED_PREFIX "%013" G_GUINT64_FORMAT, start);
        return code;
    }
    uint64_t newest = call->version > limit ? call->version - limit : 0;
    er_code code = ad_call_number(call, "after", newest, &start, status);
    *after = ad_query_change_key(start);
    return code;
}

void
ad_audit_handle(ad_call *call)
{
    uint64_t limit = 0;
    g_autofree char *after = NULL;
    er_status status = {0};
    const char *text = ad_call_text(call, "refused");
    bool refused = text && strcmp(text, "true") == 0;
    er_code code =
        ad_call_number(call, "limit", AUDIT_DEFAULT, &limit, &status);
    limit = CLAMP(limit, 1, AUDIT_MAX);
    if (code == ER_OK) {
        code = _ad_audit_after(call, refused, limit, &after, &status);
    }
    if (code != ER_OK) {
        ad_answer_error(call, &status);
        return;
    }
    pf_table_scan(call->admin->table,
                  refused ? AD_REFUSED_PREFIX : AD_CHANGE_PREFIX, after,
                  (uint32_t)limit, _ad_on_audit, ad_reading_create(call));
}

/* -- conflicts ------------------------------------------------------------ */

void
ad_committed_answer(ad_call *call, uint64_t version, const char *id,
                    bool changed)
{
    g_autoptr(JsonBuilder) builder = json_builder_new();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "version");
    json_builder_add_int_value(builder, (gint64)version);
    json_builder_set_member_name(builder, "id");
    json_builder_add_string_value(builder, id);
    json_builder_set_member_name(builder, "changed");
    json_builder_add_boolean_value(builder, changed);
    json_builder_end_object(builder);
    ad_answer_json(call, SOUP_STATUS_OK, builder);
}

/* Who changed what; what only to those who may see it. */
static void
_ad_add_conflict(JsonBuilder *builder, const ad_call *call, JsonNode *record)
{
    JsonObject *object = json_node_get_object(record);
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "version");
    json_builder_add_int_value(
        builder,
        json_object_get_int_member_with_default(object, "version", 0));
    json_builder_set_member_name(builder, "who");
    json_builder_add_string_value(builder, _ad_record_member(record, "who"));
    json_builder_set_member_name(builder, "when_ms");
    json_builder_add_int_value(
        builder,
        json_object_get_int_member_with_default(object, "when_ms", 0));
    bool seen = call->actor.role == DC_ROLE_OPERATOR ||
                _ad_record_of_team(record, call->actor.team);
    if (seen && json_object_has_member(object, "changes")) {
        json_builder_set_member_name(builder, "changes");
        json_builder_add_value(builder, json_node_copy(json_object_get_member(
                                            object, "changes")));
    }
    json_builder_end_object(builder);
}

static bool
_ad_is_own(const pf_read_result *result, const char *id)
{
    if (result->code != ER_OK || result->count == 0) {
        return false;
    }
    g_autoptr(JsonNode) first = ad_row_record(&result->rows[0]);
    return first && strcmp(_ad_record_member(first, "id"), id) == 0;
}

static void
_ad_on_conflict(const pf_read_result *result, void *data)
{
    ad_reading *reading = data;
    ad_call *call = reading->call;
    if (_ad_is_own(result, reading->id)) {
        ad_committed_answer(call, reading->expect + 1, reading->id, true);
        ad_reading_free(reading);
        return;
    }
    er_status status = {0};
    er_set(&status, ER_CONFLICT,
           "the configuration has changed since version %" G_GUINT64_FORMAT,
           reading->expect);
    g_autoptr(JsonBuilder) builder = ad_error_begin(&status);
    json_builder_set_member_name(builder, "expect");
    json_builder_add_int_value(builder, (gint64)reading->expect);
    json_builder_set_member_name(builder, "changes_since");
    json_builder_begin_array(builder);
    size_t count = result->code == ER_OK ? result->count : 0;
    for (size_t i = 0; i < count; i++) {
        g_autoptr(JsonNode) record = ad_row_record(&result->rows[i]);
        if (record) {
            _ad_add_conflict(builder, call, record);
        }
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    ad_answer_json(call, er_query_http(ER_CONFLICT), builder);
    ad_reading_free(reading);
}

void
ad_conflict_answer(ad_call *call, uint64_t expect, const char *id)
{
    ad_reading *reading = ad_reading_create(call);
    reading->expect = expect;
    reading->id = g_strdup(id);
    g_autofree char *after = ad_query_change_key(expect);
    pf_table_scan(call->admin->table, AD_CHANGE_PREFIX, after, CONFLICT_ROWS,
                  _ad_on_conflict, reading);
}

/* -- one change ----------------------------------------------------------- */

static void
_ad_on_find(const pf_read_result *result, void *data)
{
    ad_reading *reading = data;
    if (result->code != ER_OK) {
        ad_reading_failed(reading, result->code);
        return;
    }
    g_autoptr(JsonNode) record =
        result->count ? ad_row_record(&result->rows[0]) : NULL;
    const char *outcome = "open";
    if (record) {
        bool own = strcmp(_ad_record_member(record, "id"), reading->id) == 0;
        outcome = own ? "committed" : "not_committed";
    }
    g_autoptr(JsonBuilder) builder = json_builder_new();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "id");
    json_builder_add_string_value(builder, reading->id);
    json_builder_set_member_name(builder, "outcome");
    json_builder_add_string_value(builder, outcome);
    json_builder_set_member_name(builder, "version");
    json_builder_add_int_value(builder, (gint64)reading->expect + 1);
    json_builder_end_object(builder);
    ad_answer_json(reading->call, SOUP_STATUS_OK, builder);
    ad_reading_free(reading);
}

void
ad_change_find_handle(ad_call *call, const char *id)
{
    uint64_t expect = 0;
    er_status status = {0};
    er_code code =
        ad_call_number(call, "expect", UINT64_MAX, &expect, &status);
    if (code == ER_OK && expect == UINT64_MAX) {
        code = er_set(&status, ER_BAD_REQUEST,
                      "needed is expect, the version the change was made "
                      "against");
    }
    if (code != ER_OK) {
        ad_answer_error(call, &status);
        return;
    }
    ad_reading *reading = ad_reading_create(call);
    reading->expect = expect;
    reading->id = g_strdup(id);
    g_autofree char *key = ad_query_change_key(expect + 1);
    pf_table_read(call->admin->table, key, _ad_on_find, reading);
}
