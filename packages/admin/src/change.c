/*
 * change.c: checks a change, lets the host commit it, answers the outcome and
 * records refusals in the audit trail.
 */
#include "internal.h"

#include "lacewing/feasibility.h"
#include "lacewing/log.h"
#include "lacewing/timer.h"
#include <string.h>

#define MS_PER_S 1000

/* A change from its first check to its answer. */
typedef struct ad_pending_change {
    ad_call *call;
    dc_edits *requested; /* as sent by the author */
    dc_edits *edits;     /* those with an effect; NULL until applied */
    dc_config *after;    /* NULL until the edits are applied */
    uint64_t expect;     /* version that the author saw */
    char *id;            /* given by the author, or random */
    er_status status;    /* reason of a refusal */
} ad_pending_change;

/* -- private: lifetime and audit record ----------------------------------- */

static void
_ad_pending_free(ad_pending_change *pending)
{
    dc_edits_destroy(pending->requested);
    dc_edits_destroy(pending->edits);
    g_clear_pointer(&pending->after, dc_unref);
    g_free(pending->id);
    g_free(pending);
}

static char *
_ad_record_text(const ad_pending_change *pending, uint64_t version)
{
    const ad_call *call = pending->call;
    /* A refused change may name groups of other teams. Its record must not
       reveal their current values to the author's team. */
    bool show_values =
        pending->status.code == ER_OK || call->actor.role == DC_ROLE_OPERATOR;
    const ad_record record = {
        .version = version,
        .when_ms = tm_query_wall_ms(),
        .id = pending->id,
        .who = call->actor.who,
        .team = call->actor.team,
        .note = ad_call_string(call, "note"),
        .refused = pending->status.code,
        .why = pending->status.message,
        .before = show_values ? call->config : NULL,
        .after = pending->after,
        .edits = pending->edits ? pending->edits : pending->requested,
    };
    return ad_record_query_text(&record);
}

/* -- private: refusals ---------------------------------------------------- */

static void
_ad_answer_refused(ad_pending_change *pending, bool audited)
{
    ad_call *call = pending->call;
    if (pending->status.code == ER_CONFLICT) {
        ad_answer_conflict(call, pending->expect, pending->id);
        _ad_pending_free(pending);
        return;
    }
    g_autoptr(JsonBuilder) builder = ad_error_begin(&pending->status);
    json_builder_set_member_name(builder, "audited");
    json_builder_add_boolean_value(builder, audited);
    json_builder_end_object(builder);
    ad_answer_json(call, er_query_http(pending->status.code), builder);
    _ad_pending_free(pending);
}

static void
_ad_on_refusal_written(const pf_commit_result *result, void *data)
{
    _ad_answer_refused(data, result->code == ER_OK);
}

/* Bounds the refusals that one instance writes each second, so that refused
   calls cannot flood the table. */
static bool
_ad_may_write_refusal(ad_admin *admin)
{
    uint64_t second = tm_query_wall_ms() / MS_PER_S;
    if (admin->refused_second != second) {
        admin->refused_second = second;
        admin->refused_rows = 0;
    }
    return admin->refused_rows++ < AD_REFUSED_ROWS_PER_S;
}

static void
_ad_refuse(ad_pending_change *pending)
{
    ad_admin *admin = pending->call->admin;
    lg_write(LG_CONFIG_REFUSED, "who", pending->call->actor.who, "code",
             er_query_name(pending->status.code), "why",
             pending->status.message, NULL);
    if (!_ad_may_write_refusal(admin)) {
        _ad_answer_refused(pending, false);
        return;
    }
    g_autofree char *record = _ad_record_text(pending, pending->call->version);
    g_autofree char *key =
        g_strdup_printf(AD_REFUSED_PREFIX "%013" G_GUINT64_FORMAT "-%s",
                        tm_query_wall_ms(), pending->id);
    g_autoptr(GBytes) value = g_bytes_new(record, strlen(record));
    const pf_op op = {.key = key, .expect = PF_VERSION_ABSENT, .value = value};
    pf_table_commit(admin->table, &op, 1, _ad_on_refusal_written, pending);
}

/* -- private: checks ------------------------------------------------------ */

/* Returns the first error that the change introduces, or NULL. Errors that
   exist before the change do not prevent it. */
static const dc_finding *
_ad_find_new_error(const dc_findings *before, const dc_findings *after)
{
    for (uint32_t i = 0; i < dc_findings_query_count(after); i++) {
        const dc_finding *finding = dc_findings_query_at(after, i);
        bool is_new = dc_query_finding_is_error(finding->code);
        for (uint32_t j = 0; is_new && j < dc_findings_query_count(before);
             j++) {
            const dc_finding *old = dc_findings_query_at(before, j);
            is_new = old->code != finding->code ||
                     strcmp(old->group, finding->group) != 0;
        }
        if (is_new) {
            return finding;
        }
    }
    return NULL;
}

static er_code
_ad_check_plan(ad_pending_change *pending)
{
    if (ad_call_flag(pending->call, "force")) {
        return ER_OK;
    }
    g_autoptr(dc_findings) before =
        dc_check_feasibility(pending->call->config);
    g_autoptr(dc_findings) after = dc_check_feasibility(pending->after);
    const dc_finding *finding = _ad_find_new_error(before, after);
    if (!finding) {
        return ER_OK;
    }
    return er_set(&pending->status, ER_SETTING_CONFLICT,
                  "%s: [%s] %s; send \"force\": true to commit anyway",
                  dc_query_finding_name(finding->code), finding->group,
                  finding->message);
}

static er_code
_ad_check_version(ad_pending_change *pending)
{
    const ad_call *call = pending->call;
    er_code code = ad_call_number(call, "expect", call->version,
                                  &pending->expect, &pending->status);
    if (code != ER_OK) {
        return code;
    }
    if (pending->expect > call->version) {
        return er_set(&pending->status, ER_NOT_READY,
                      "version %" G_GUINT64_FORMAT
                      " is not yet in force on this instance; version "
                      "%" G_GUINT64_FORMAT " is",
                      pending->expect, call->version);
    }
    if (pending->expect < call->version) {
        return er_set(&pending->status, ER_CONFLICT,
                      "version %" G_GUINT64_FORMAT
                      " is in force, but the change expects version "
                      "%" G_GUINT64_FORMAT,
                      call->version, pending->expect);
    }
    return ER_OK;
}

static er_code
_ad_check(ad_pending_change *pending)
{
    const ad_call *call = pending->call;
    er_code code = _ad_check_version(pending);
    if (code != ER_OK) {
        return code;
    }
    code =
        ad_may_edit(call, call->config, pending->requested, &pending->status);
    if (code != ER_OK) {
        return code;
    }
    code = dc_apply_edits(call->config, pending->requested, &pending->after,
                          &pending->status);
    if (code != ER_OK) {
        return code;
    }
    pending->edits = dc_diff(call->config, pending->after);
    code = ad_may_edit(call, pending->after, pending->requested,
                       &pending->status);
    return code == ER_OK ? _ad_check_plan(pending) : code;
}

/* -- private: outcome ----------------------------------------------------- */

static void
_ad_answer_unknown_outcome(ad_pending_change *pending)
{
    er_status status = {0};
    er_set(&status, ER_OUTCOME_UNKNOWN,
           "the table did not answer; read the outcome with "
           "GET changes/%s?expect=%" G_GUINT64_FORMAT
           " or send the change again with the same id and expect",
           pending->id, pending->expect);
    ad_answer_error(pending->call, &status);
    _ad_pending_free(pending);
}

static void
_ad_on_outcome(const ad_outcome *outcome, void *data)
{
    ad_pending_change *pending = data;
    switch (outcome->code) {
    case ER_OK:
        lg_write(LG_CONFIG_ACCEPTED, "who", pending->call->actor.who, "id",
                 pending->id, NULL);
        ad_answer_committed(pending->call, outcome->version, pending->id,
                            true);
        _ad_pending_free(pending);
        return;
    case ER_TIMEOUT:
        _ad_answer_unknown_outcome(pending);
        return;
    case ER_CONFLICT:
        er_set(&pending->status, ER_CONFLICT,
               "another change was committed as version %" G_GUINT64_FORMAT,
               pending->expect + 1);
        _ad_refuse(pending);
        return;
    default:
        er_set(&pending->status, outcome->code,
               "not committed: the change and its audit record could not be "
               "written");
        ad_answer_error(pending->call, &pending->status);
        _ad_pending_free(pending);
    }
}

static void
_ad_submit(ad_pending_change *pending)
{
    ad_call *call = pending->call;
    g_autofree char *text = dc_edits_query_text(pending->edits);
    g_autofree char *audit = _ad_record_text(pending, pending->expect + 1);
    if (strlen(text) > AD_BODY_BYTES_MAX ||
        strlen(audit) >= PF_VALUE_BYTES_MAX) {
        er_set(&pending->status, ER_BODY_TOO_LARGE,
               "the change is too large for one row; split it into smaller "
               "changes");
        ad_answer_error(call, &pending->status);
        _ad_pending_free(pending);
        return;
    }
    const ad_change change = {.expect = pending->expect,
                              .id = pending->id,
                              .who = call->actor.who,
                              .text = text,
                              .audit = audit};
    call->admin->host->vt->submit(call->admin->host, &change, _ad_on_outcome,
                                  pending);
}

static ad_pending_change *
_ad_pending_create(ad_call *call, dc_edits *edits)
{
    ad_pending_change *pending = g_new0(ad_pending_change, 1);
    pending->call = call;
    pending->requested = edits;
    pending->expect = call->version;
    const char *id = ad_call_string(call, "id");
    pending->id = id && dc_query_is_valid_name(id) ? g_strdup(id)
                                                   : g_uuid_string_random();
    return pending;
}

/* -- shared within the package -------------------------------------------- */

void
ad_change_refuse(ad_call *call, const dc_edits *edits, const er_status *status)
{
    dc_edits *copy = dc_edits_create();
    uint32_t count = edits ? dc_edits_query_count(edits) : 0;
    for (uint32_t i = 0; i < count; i++) {
        const dc_edit *edit = dc_edits_query_at(edits, i);
        dc_edits_add(copy, edit->group, edit->key, edit->value);
    }
    ad_pending_change *pending = _ad_pending_create(call, copy);
    pending->status = *status;
    _ad_refuse(pending);
}

void
ad_change_begin(ad_call *call, dc_edits *edits)
{
    ad_pending_change *pending = _ad_pending_create(call, edits);
    const char *id = ad_call_string(call, "id");
    if (id && !dc_query_is_valid_name(id)) {
        er_set(&pending->status, ER_BAD_REQUEST,
               "id: must be 1 to 64 characters of A-Z a-z 0-9 . _ -");
        _ad_refuse(pending);
        return;
    }
    if (_ad_check(pending) != ER_OK) {
        _ad_refuse(pending);
        return;
    }
    if (dc_edits_query_count(pending->edits) == 0) {
        ad_answer_committed(call, call->version, pending->id, false);
        _ad_pending_free(pending);
        return;
    }
    _ad_submit(pending);
}
