/* Roll back of the configuration: changes taken back, as a new version. */
#include "internal.h"

#define PAGE_ROWS 500

/* A roll back while it reads the trail. */
typedef struct ad_taking_back {
    ad_call *call;
    uint64_t to;
    GPtrArray *undo; /* dc_edits *, oldest first */
} ad_taking_back;

static void
_ad_taking_back_free(ad_taking_back *back)
{
    g_ptr_array_unref(back->undo);
    g_free(back);
}

static er_code
_ad_collect_undo(ad_taking_back *back, const pf_read_result *result,
                 er_status *status)
{
    for (size_t i = 0; i < result->count; i++) {
        g_autoptr(JsonNode) record = ad_row_record(&result->rows[i]);
        JsonObject *object = record ? json_node_get_object(record) : NULL;
        uint64_t version = back->to + 1 + back->undo->len;
        if (version > back->call->version) {
            return ER_OK;
        }
        bool whole = object && json_object_has_member(object, "undo") &&
                     (uint64_t)json_object_get_int_member_with_default(
                         object, "version", 0) == version;
        if (!whole) {
            return er_set(status, ER_NOT_FOUND,
                          "version %" G_GUINT64_FORMAT " cannot be taken back",
                          version);
        }
        g_autofree char *text =
            json_to_string(json_object_get_member(object, "undo"), FALSE);
        dc_edits *undo = NULL;
        er_code code = dc_edits_parse(text, &undo, status);
        if (code != ER_OK) {
            return code;
        }
        g_ptr_array_add(back->undo, undo);
    }
    return ER_OK;
}

/* The configuration with all changes taken back, newest first. */
static er_code
_ad_take_back(const ad_taking_back *back, dc_config **target,
              er_status *status)
{
    g_autoptr(dc_config) config = dc_ref(back->call->config);
    for (uint32_t i = back->undo->len; i > 0; i--) {
        dc_config *next = NULL;
        er_code code = dc_apply_edits(
            config, g_ptr_array_index(back->undo, i - 1), &next, status);
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
_ad_rollback_finish(ad_taking_back *back)
{
    ad_call *call = back->call;
    g_autoptr(dc_config) target = NULL;
    er_status status = {0};
    er_code code = _ad_take_back(back, &target, &status);
    _ad_taking_back_free(back);
    if (code != ER_OK) {
        ad_change_refuse(call, NULL, &status);
        return;
    }
    ad_change_begin(call, dc_diff(call->config, target));
}

static void _ad_rollback_read(ad_taking_back *back);

static void
_ad_on_rollback_rows(const pf_read_result *result, void *data)
{
    ad_taking_back *back = data;
    uint64_t wanted = back->call->version - back->to;
    if (result->code != ER_OK) {
        er_status failed = {0};
        er_set(&failed, result->code, "the audit trail cannot be read now");
        ad_answer_error(back->call, &failed);
        _ad_taking_back_free(back);
        return;
    }
    er_status status = {0};
    er_code code = _ad_collect_undo(back, result, &status);
    if (code == ER_OK && result->count == 0 && back->undo->len < wanted) {
        code = er_set(&status, ER_NOT_FOUND,
                      "the trail ends before version %" G_GUINT64_FORMAT,
                      back->call->version);
    }
    if (code != ER_OK) {
        ad_change_refuse(back->call, NULL, &status);
        _ad_taking_back_free(back);
        return;
    }
    if (back->undo->len < wanted) {
        _ad_rollback_read(back);
        return;
    }
    _ad_rollback_finish(back);
}

static void
_ad_rollback_read(ad_taking_back *back)
{
    g_autofree char *after = ad_query_change_key(back->to + back->undo->len);
    pf_table_scan(back->call->admin->table, AD_CHANGE_PREFIX, after, PAGE_ROWS,
                  _ad_on_rollback_rows, back);
}

void
ad_rollback_handle(ad_call *call)
{
    uint64_t to = 0;
    er_status status = {0};
    er_code code = ad_call_number(call, "to", UINT64_MAX, &to, &status);
    if (code == ER_OK && to >= call->version) {
        code = er_set(&status, ER_BAD_REQUEST,
                      "to: allowed is a version before %" G_GUINT64_FORMAT,
                      call->version);
    }
    if (code == ER_OK && call->version - to > AD_ROLLBACK_VERSIONS_MAX) {
        code =
            er_set(&status, ER_BAD_REQUEST, "to: allowed are %d versions back",
                   AD_ROLLBACK_VERSIONS_MAX);
    }
    if (code != ER_OK) {
        ad_change_refuse(call, NULL, &status);
        return;
    }
    ad_taking_back *back = g_new0(ad_taking_back, 1);
    back->call = call;
    back->to = to;
    back->undo =
        g_ptr_array_new_with_free_func((GDestroyNotify)dc_edits_destroy);
    _ad_rollback_read(back);
}
