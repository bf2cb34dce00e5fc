#include "chain_internal.h"

#include <string.h>

/* -- private: outcome of a submit ----------------------------------------- */

void
_cc_submit_free(void *data)
{
    _cc_submit *submit = data;
    g_free(submit->id);
    g_free(submit->who);
    g_free(submit->text);
    g_free(submit->audit);
    g_free(submit);
}

static cc_action *
_cc_push_submit_result(cc_machine *cc, const _cc_submit *submit, er_code code,
                       uint64_t version)
{
    cc_action *action = _cc_push_action(cc, CC_ACTION_SUBMIT_RESULT);
    action->tag = submit->tag;
    action->code = code;
    action->version = version;
    return action;
}

static void
_cc_remove_submit(cc_machine *cc, _cc_submit *submit)
{
    g_ptr_array_remove(cc->submits, submit);
}

static void
_cc_audit_refused(cc_machine *cc, const _cc_submit *submit)
{
    g_autofree char *key = g_strdup_printf("audit/refused/%s", submit->id);
    _cc_call *open = _cc_call_register(cc, _CC_CALL_AUDIT_REFUSED, 0);
    _co_call *call = _co_commit_new(open->number);
    _co_commit_add(call, key, PF_VERSION_ANY, submit->audit);
    _cc_push_table_call(cc, call);
}

/* Ends a submit whose version another change has. change is that change, NULL
   when its text is not held. */
static void
_cc_end_conflict(cc_machine *cc, _cc_submit *submit, const _cc_change *change)
{
    cc_action *action =
        _cc_push_submit_result(cc, submit, ER_CONFLICT, submit->expect + 1);
    if (change) {
        action->text = _co_outbox_copy_text(cc->outbox, change->text);
        action->who = _co_outbox_copy_text(cc->outbox, change->who);
    }
    else {
        action->version = cc->version;
    }
    _cc_audit_refused(cc, submit);
    _cc_remove_submit(cc, submit);
}

/* Ends a submit that was committed: applies its change, and requests a
   snapshot every snapshot_every versions. */
static void
_cc_end_committed(cc_machine *cc, _cc_submit *submit)
{
    uint64_t version = submit->expect + 1;
    _cc_change change = {.version = version,
                         .id = g_strdup(submit->id),
                         .who = g_strdup(submit->who),
                         .text = g_strdup(submit->text)};
    _cc_apply_change(cc, &change);
    _cc_push_submit_result(cc, submit, ER_OK, version);
    _cc_remove_submit(cc, submit);
    if (version % cc->desc.snapshot_every == 0 && version == cc->version) {
        cc->requested_version = version;
        cc_action *action = _cc_push_action(cc, CC_ACTION_REQUEST_SNAPSHOT);
        action->version = version;
    }
}

/* Ends a submit by the row that holds its version: committed if the row has
   its id, else a conflict. */
static void
_cc_decide_by_row(cc_machine *cc, _cc_submit *submit, const pf_row *row)
{
    _cc_change change = {0};
    if (!_cc_change_parse(row, &change)) {
        _cc_end_conflict(cc, submit, NULL);
        return;
    }
    if (g_str_equal(change.id, submit->id)) {
        _cc_end_committed(cc, submit);
    }
    else {
        _cc_end_conflict(cc, submit, &change);
    }
    _cc_change_clear(&change);
}

/* -- private: steps of a submit ------------------------------------------- */

/* Sends the commit that creates the change row and its audit row. */
static void
_cc_commit_change(cc_machine *cc, _cc_submit *submit)
{
    uint64_t version = submit->expect + 1;
    g_autofree char *key = _cc_version_key(_CC_PREFIX, version);
    g_autofree char *audit_key = _cc_version_key("audit/change/", version);
    g_autofree char *value =
        g_strdup_printf("%s\n%s\n%s", submit->id, submit->who, submit->text);
    uint64_t expect =
        cc->desc.unsafe_overwrite_change ? PF_VERSION_ANY : PF_VERSION_ABSENT;
    _cc_call *open = _cc_call_register(cc, _CC_CALL_SUBMIT, submit->tag);
    _co_call *call = _co_commit_new(open->number);
    _co_commit_add(call, key, expect, value);
    _co_commit_add(call, audit_key, expect, submit->audit);
    submit->call_open = true;
    submit->commit_sent = true;
    _cc_push_table_call(cc, call);
}

static void
_cc_read_back(cc_machine *cc, _cc_submit *submit)
{
    g_autofree char *key = _cc_version_key(_CC_PREFIX, submit->expect + 1);
    _cc_call *open = _cc_call_register(cc, _CC_CALL_READ_BACK, submit->tag);
    submit->call_open = true;
    _cc_push_table_call(cc, _co_read_new(open->number, key));
}

/* Makes the next step of a submit; true when it has ended and was freed. */
static bool
_cc_submit_step(cc_machine *cc, uint64_t now_us, _cc_submit *submit)
{
    if (now_us >= submit->deadline_us) {
        _cc_push_submit_result(
            cc, submit, submit->commit_sent ? ER_TIMEOUT : ER_PLATFORM_DOWN,
            0);
        _cc_remove_submit(cc, submit);
        return true;
    }
    if (submit->call_open || now_us < submit->next_try_us) {
        return false;
    }
    const _cc_change *existing = _cc_find_change(cc, submit->expect + 1);
    bool is_own = existing && g_str_equal(existing->id, submit->id);
    if (submit->expect < cc->version && existing) {
        if (is_own) {
            _cc_end_committed(cc, submit);
        }
        else {
            _cc_end_conflict(cc, submit, existing);
        }
        return true;
    }
    if (submit->expect > cc->version) {
        /* This daemon may be behind, so the chain is read first. If the
           expected version still does not exist then, it is refused. */
        if (submit->chain_polled) {
            _cc_end_conflict(cc, submit, NULL);
            return true;
        }
        _cc_poll_soon(cc, now_us);
        return false;
    }
    /* The outcome of the commit is not known, or the change that has this
       version is no longer held: its row decides. */
    if (submit->needs_read_back || submit->expect < cc->version) {
        _cc_read_back(cc, submit);
    }
    else {
        _cc_commit_change(cc, submit);
    }
    return false;
}

void
_cc_run_submits(cc_machine *cc, uint64_t now_us)
{
    guint i = 0;
    while (i < cc->submits->len) {
        if (!_cc_submit_step(cc, now_us, cc->submits->pdata[i])) {
            i++;
        }
    }
}

static _cc_submit *
_cc_find_submit(const cc_machine *cc, uint64_t tag)
{
    for (guint i = 0; i < cc->submits->len; i++) {
        _cc_submit *submit = cc->submits->pdata[i];
        if (submit->tag == tag) {
            return submit;
        }
    }
    return NULL;
}

void
_cc_submit_result(cc_machine *cc, uint64_t now_us, const _cc_call *call,
                  const co_table_result *result)
{
    _cc_submit *submit = _cc_find_submit(cc, call->tag);
    if (!submit) {
        _cc_poll_soon(cc, now_us);
        return;
    }
    submit->call_open = false;
    if (result->code == ER_OK) {
        _cc_end_committed(cc, submit);
        return;
    }
    if (result->code == ER_CONFLICT && result->commit->rows[0].key) {
        _cc_decide_by_row(cc, submit, &result->commit->rows[0]);
        _cc_poll_soon(cc, now_us);
        return;
    }
    submit->needs_read_back = true;
    /* A call that timed out has waited already. */
    submit->next_try_us =
        now_us +
        (result->code == ER_TIMEOUT ? 0 : _co_ms_to_us(cc->desc.retry_ms));
}

void
_cc_read_back_result(cc_machine *cc, uint64_t now_us, const _cc_call *call,
                     const co_table_result *result)
{
    _cc_submit *submit = _cc_find_submit(cc, call->tag);
    if (!submit) {
        return;
    }
    submit->call_open = false;
    if (result->code != ER_OK || result->read->count == 0) {
        submit->next_try_us = now_us + _co_ms_to_us(cc->desc.retry_ms);
        return;
    }
    submit->needs_read_back = false;
    if (result->read->rows[0].version != 0) {
        _cc_decide_by_row(cc, submit, &result->read->rows[0]);
        _cc_poll_soon(cc, now_us);
    }
}

/* -- private: snapshots --------------------------------------------------- */

void
_cc_put_snapshot(cc_machine *cc, uint64_t version, const char *text)
{
    if (cc->requested_version != version || cc->put_number) {
        return;
    }
    cc->requested_version = 0;
    cc->put_version = version;
    cc->put_number = cc->next_number++;
    g_autofree char *key = _cc_version_key("config-", version);
    cc_action *action = _cc_push_action(cc, CC_ACTION_PUT_OBJECT);
    action->number = cc->put_number;
    action->key = _co_outbox_copy_text(cc->outbox, key);
    action->text = _co_outbox_copy_text(cc->outbox, text);
}

static void
_cc_write_snapshot_row(cc_machine *cc, uint64_t version)
{
    g_autofree char *value = g_strdup_printf("%" G_GUINT64_FORMAT, version);
    _cc_call *open =
        _cc_call_register(cc, _CC_CALL_WRITE_SNAPSHOT_ROW, version);
    _co_call *call = _co_commit_new(open->number);
    _co_commit_add(call, _CC_SNAPSHOT_KEY, cc->snapshot_row_version, value);
    _cc_push_table_call(cc, call);
}

void
_cc_put_snapshot_result(cc_machine *cc, er_code code)
{
    cc->put_number = 0;
    if (code == ER_OK) {
        _cc_write_snapshot_row(cc, cc->put_version);
    }
}

void
_cc_write_snapshot_row_result(cc_machine *cc, const _cc_call *call,
                              const co_table_result *result)
{
    if (result->code == ER_OK) {
        cc->snapshot_row_version = result->commit->versions[0];
        return;
    }
    if (result->code != ER_CONFLICT) {
        return; /* the next snapshot writes the row again */
    }
    const pf_row *row = &result->commit->rows[0];
    g_autofree char *text = _co_row_text(row);
    uint64_t named_version = text ? g_ascii_strtoull(text, NULL, 10) : 0;
    cc->snapshot_row_version = row->version;
    if (named_version < call->tag) {
        _cc_write_snapshot_row(cc, call->tag);
    }
}
