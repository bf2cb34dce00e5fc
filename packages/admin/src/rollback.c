/*
 * rollback.c: rolls the configuration back to an earlier version. It reads the
 * undo edits of all later changes from the audit trail, applies them newest
 * first, and commits the difference as a new version.
 */
#include "internal.h"

/* Rows of the audit trail read at once. */
#define SCAN_PAGE_ROWS 500

/* State of a rollback while it reads the audit trail. */
typedef struct ad_rollback {
    ad_call *call;
    uint64_t to_version;
    GPtrArray *undo; /* dc_edits *, one for each version, oldest first */
} ad_rollback;

static void
_ad_rollback_free(ad_rollback *rollback)
{
    g_ptr_array_unref(rollback->undo);
    g_free(rollback);
}

/* Appends the undo edits of the rows. The versions must follow each other
   without a gap up to the version in force; later rows are ignored. */
static er_code
_ad_collect_undo(ad_rollback *rollback, const pf_read_result *result,
                 er_status *status)
{
    for (size_t i = 0; i < result->count; i++) {
        g_autoptr(JsonNode) record = ad_parse_record(&result->rows[i]);
        JsonObject *object = record ? json_node_get_object(record) : NULL;
        uint64_t version = rollback->to_version + 1 + rollback->undo->len;
        if (version > rollback->call->version) {
            return ER_OK;
        }
        bool valid = object && json_object_has_member(object, "undo") &&
                     (uint64_t)json_object_get_int_member_with_default(
                         object, "version", 0) == version;
        if (!valid) {
            return er_set(
                status, ER_NOT_FOUND,
                "version %" G_GUINT64_FORMAT
                " cannot be rolled back: its audit record is missing "
                "or has no undo edits",
                version);
        }
        g_autofree char *text =
            json_to_string(json_object_get_member(object, "undo"), FALSE);
        dc_edits *undo = NULL;
        er_code code = dc_edits_parse(text, &undo, status);
        if (code != ER_OK) {
            return code;
        }
        g_ptr_array_add(rollback->undo, undo);
    }
    return ER_OK;
}

/* Sets target to the configuration in force with all undo edits applied,
   newest first. */
static er_code
_ad_apply_undo(const ad_rollback *rollback, dc_config **target,
               er_status *status)
{
    g_autoptr(dc_config) config = dc_ref(rollback->call->config);
    for (uint32_t i = rollback->undo->len; i > 0; i--) {
        dc_config *next = NULL;
        er_code code = dc_apply_edits(
            config, g_ptr_array_index(rollback->undo, i - 1), &next, status);
        if (code != ER_OK) {
            return code;
        }
        dc_unref(config);
        config = next;
    }
    *target = g_steal_pointer(&config);
    return ER_OK;
}

static void
_ad_rollback_finish(ad_rollback *rollback)
{
    ad_call *call = rollback->call;
    g_autoptr(dc_config) target = NULL;
    er_status status = {0};
    er_code code = _ad_apply_undo(rollback, &target, &status);
    _ad_rollback_free(rollback);
    if (code != ER_OK) {
        ad_change_refuse(call, NULL, &status);
        return;
    }
    ad_change_begin(call, dc_diff(call->config, target));
}

static void _ad_rollback_read(ad_rollback *rollback);

static void
_ad_on_rollback_rows(const pf_read_result *result, void *data)
{
    ad_rollback *rollback = data;
    uint64_t wanted = rollback->call->version - rollback->to_version;
    if (result->code != ER_OK) {
        er_status read_status = {0};
        er_set(&read_status, result->code,
               "the audit trail cannot be read now");
        ad_answer_error(rollback->call, &read_status);
        _ad_rollback_free(rollback);
        return;
    }
    er_status status = {0};
    er_code code = _ad_collect_undo(rollback, result, &status);
    if (code == ER_OK && result->count == 0 && rollback->undo->len < wanted) {
        code = er_set(&status, ER_NOT_FOUND,
                      "the audit trail ends before version %" G_GUINT64_FORMAT,
                      rollback->call->version);
    }
    if (code != ER_OK) {
        ad_change_refuse(rollback->call, NULL, &status);
        _ad_rollback_free(rollback);
        return;
    }
    if (rollback->undo->len < wanted) {
        _ad_rollback_read(rollback);
        return;
    }
    _ad_rollback_finish(rollback);
}

static void
_ad_rollback_read(ad_rollback *rollback)
{
    g_autofree char *after =
        ad_query_change_key(rollback->to_version + rollback->undo->len);
    pf_table_scan(rollback->call->admin->table, AD_CHANGE_PREFIX, after,
                  SCAN_PAGE_ROWS, _ad_on_rollback_rows, rollback);
}

void
ad_config_rollback_handle(ad_call *call)
{
    uint64_t to = 0;
    er_status status = {0};
    er_code code = ad_call_number(call, "to", UINT64_MAX, &to, &status);
    if (code == ER_OK && to >= call->version) {
        code = er_set(&status, ER_BAD_REQUEST,
                      "to: must be a version before %" G_GUINT64_FORMAT,
                      call->version);
    }
    if (code == ER_OK && call->version - to > AD_ROLLBACK_VERSIONS_MAX) {
        code = er_set(&status, ER_BAD_REQUEST,
                      "to: at most %d versions back are allowed",
                      AD_ROLLBACK_VERSIONS_MAX);
    }
    if (code != ER_OK) {
        ad_change_refuse(call, NULL, &status);
        return;
    }
    ad_rollback *rollback = g_new0(ad_rollback, 1);
    rollback->call = call;
    rollback->to_version = to;
    rollback->undo =
        g_ptr_array_new_with_free_func((GDestroyNotify)dc_edits_destroy);
    _ad_rollback_read(rollback);
}
