/*
 * trail.c: answers calls from the audit trail: a page of records with filters,
 * the changes behind a conflict, and the outcome of one change.
 */
#include "internal.h"

#include "lacewing/json_depth.h"
#include "lacewing/timer.h"
#include <string.h>

/* Rows read for one page of the audit trail. */
#define AUDIT_ROWS_DEFAULT 50
#define AUDIT_ROWS_MAX 500
/* Most later changes that a conflict answer lists. */
#define CONFLICT_ROWS_MAX 20
#define DAY_MS (24ULL * 60 * 60 * 1000)

/* -- private: records ----------------------------------------------------- */

JsonNode *
ad_parse_record(const pf_row *row)
{
    if (!row->value) {
        return NULL;
    }
    gsize size = 0;
    const char *data = g_bytes_get_data(row->value, &size);
    g_autofree char *text = g_strndup(data, size);
    JsonNode *node =
        jd_query_fits(data, size) ? json_from_string(text, NULL) : NULL;
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

/* Returns true if the team made the change or owns a changed group. */
static bool
_ad_record_concerns_team(JsonNode *record, const char *team)
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
_ad_record_changes_group(JsonNode *record, const char *group)
{
    JsonArray *changes =
        json_object_get_array_member(json_node_get_object(record), "changes");
    for (uint32_t i = 0; changes && i < json_array_get_length(changes); i++) {
        JsonObject *change = json_array_get_object_element(changes, i);
        const char *changed_group =
            json_object_get_string_member_with_default(change, "group", "");
        if (strcmp(changed_group, group) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns true if the author of the call may read the record and it matches
   the filters who= and group=. */
static bool
_ad_record_matches(const ad_call *call, JsonNode *record)
{
    if (call->actor.role != DC_ROLE_OPERATOR &&
        !_ad_record_concerns_team(record, call->actor.team)) {
        return false;
    }
    const char *who = ad_call_string(call, "who");
    const char *group = ad_call_string(call, "group");
    return (!who || strstr(_ad_record_member(record, "who"), who)) &&
           (!group || _ad_record_changes_group(record, group));
}

ad_trail_read *
ad_trail_read_create(ad_call *call)
{
    ad_trail_read *reading = g_new0(ad_trail_read, 1);
    reading->call = call;
    return reading;
}

void
ad_trail_read_free(ad_trail_read *reading)
{
    g_free(reading->id);
    g_free(reading);
}

void
ad_trail_read_fail(ad_trail_read *reading, er_code code)
{
    er_status status = {0};
    er_set(&status, code, "the audit trail cannot be read now");
    ad_answer_error(reading->call, &status);
    ad_trail_read_free(reading);
}

/* -- pages of records ----------------------------------------------------- */

/* Returns true for the record of a change that lost a conflict. The chain
   keeps that record in the row audit/refused/ID as it was submitted, with
   outcome "accepted"; the refusal has a record of its own. */
static bool
_ad_is_superseded(const pf_row *row, JsonNode *record)
{
    return g_str_has_prefix(row->key, AD_REFUSED_PREFIX) &&
           strcmp(_ad_record_member(record, "outcome"), "accepted") == 0;
}

/* Adds the value of after= for the next page: a version, or the key of a
   refused row without its prefix. */
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
    ad_trail_read *reading = data;
    if (result->code != ER_OK) {
        ad_trail_read_fail(reading, result->code);
        return;
    }
    g_autoptr(JsonBuilder) builder = json_builder_new();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "items");
    json_builder_begin_array(builder);
    for (size_t i = 0; i < result->count; i++) {
        g_autoptr(JsonNode) record = ad_parse_record(&result->rows[i]);
        if (record && !_ad_is_superseded(&result->rows[i], record) &&
            _ad_record_matches(reading->call, record)) {
            json_builder_add_value(builder, g_steal_pointer(&record));
        }
    }
    json_builder_end_array(builder);
    json_builder_set_member_name(builder, "next");
    _ad_add_next(builder, result);
    json_builder_end_object(builder);
    ad_answer_json(reading->call, SOUP_STATUS_OK, builder);
    ad_trail_read_free(reading);
}

/* Sets after to the key after which the page starts. */
static er_code
_ad_audit_after(const ad_call *call, bool refused, uint64_t limit,
                char **after, er_status *status)
{
    uint64_t start = 0;
    const char *row_key = ad_call_string(call, "after");
    if (refused && row_key) {
        *after = g_strconcat(AD_REFUSED_PREFIX, row_key, NULL);
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
    uint64_t default_start = call->version > limit ? call->version - limit : 0;
    er_code code =
        ad_call_number(call, "after", default_start, &start, status);
    *after = ad_query_change_key(start);
    return code;
}

void
ad_audit_handle(ad_call *call)
{
    uint64_t limit = 0;
    g_autofree char *after = NULL;
    er_status status = {0};
    const char *text = ad_call_string(call, "refused");
    bool refused = text && strcmp(text, "true") == 0;
    er_code code =
        ad_call_number(call, "limit", AUDIT_ROWS_DEFAULT, &limit, &status);
    limit = CLAMP(limit, 1, AUDIT_ROWS_MAX);
    if (code == ER_OK) {
        code = _ad_audit_after(call, refused, limit, &after, &status);
    }
    if (code != ER_OK) {
        ad_answer_error(call, &status);
        return;
    }
    pf_table_scan(call->admin->table,
                  refused ? AD_REFUSED_PREFIX : AD_CHANGE_PREFIX, after,
                  (uint32_t)limit, _ad_on_audit, ad_trail_read_create(call));
}

/* -- answers to changes --------------------------------------------------- */

void
ad_answer_committed(ad_call *call, uint64_t version, const char *id,
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

/* Adds who made a later change and when. The edits are included only if the
   author of the call may read them. */
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
    bool may_read = call->actor.role == DC_ROLE_OPERATOR ||
                    _ad_record_concerns_team(record, call->actor.team);
    if (may_read && json_object_has_member(object, "changes")) {
        json_builder_set_member_name(builder, "changes");
        json_builder_add_value(builder, json_node_copy(json_object_get_member(
                                            object, "changes")));
    }
    json_builder_end_object(builder);
}

/* The first row is the version that the author's change would have become. */
static bool
_ad_first_record_has_id(const pf_read_result *result, const char *id)
{
    if (result->code != ER_OK || result->count == 0) {
        return false;
    }
    g_autoptr(JsonNode) first = ad_parse_record(&result->rows[0]);
    return first && strcmp(_ad_record_member(first, "id"), id) == 0;
}

static void
_ad_on_conflict(const pf_read_result *result, void *data)
{
    ad_trail_read *reading = data;
    ad_call *call = reading->call;
    if (_ad_first_record_has_id(result, reading->id)) {
        ad_answer_committed(call, reading->expect + 1, reading->id, true);
        ad_trail_read_free(reading);
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
        g_autoptr(JsonNode) record = ad_parse_record(&result->rows[i]);
        if (record) {
            _ad_add_conflict(builder, call, record);
        }
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    ad_answer_json(call, er_query_http(ER_CONFLICT), builder);
    ad_trail_read_free(reading);
}

void
ad_answer_conflict(ad_call *call, uint64_t expect, const char *id)
{
    ad_trail_read *reading = ad_trail_read_create(call);
    reading->expect = expect;
    reading->id = g_strdup(id);
    g_autofree char *after = ad_query_change_key(expect);
    pf_table_scan(call->admin->table, AD_CHANGE_PREFIX, after,
                  CONFLICT_ROWS_MAX, _ad_on_conflict, reading);
}

/* -- outcome of one change ------------------------------------------------ */

static void
_ad_on_change_read(const pf_read_result *result, void *data)
{
    ad_trail_read *reading = data;
    if (result->code != ER_OK) {
        ad_trail_read_fail(reading, result->code);
        return;
    }
    g_autoptr(JsonNode) record =
        result->count ? ad_parse_record(&result->rows[0]) : NULL;
    const char *outcome = "open";
    if (record) {
        bool same_id =
            strcmp(_ad_record_member(record, "id"), reading->id) == 0;
        outcome = same_id ? "committed" : "not_committed";
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
    ad_trail_read_free(reading);
}

void
ad_change_outcome_handle(ad_call *call, const char *id)
{
    uint64_t expect = 0;
    er_status status = {0};
    er_code code =
        ad_call_number(call, "expect", UINT64_MAX, &expect, &status);
    if (code == ER_OK && expect == UINT64_MAX) {
        code = er_set(&status, ER_BAD_REQUEST,
                      "expect is required: the version that the change "
                      "was made against");
    }
    if (code != ER_OK) {
        ad_answer_error(call, &status);
        return;
    }
    ad_trail_read *reading = ad_trail_read_create(call);
    reading->expect = expect;
    reading->id = g_strdup(id);
    g_autofree char *key = ad_query_change_key(expect + 1);
    pf_table_read(call->admin->table, key, _ad_on_change_read, reading);
}
