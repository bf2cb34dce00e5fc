#include "chain_internal.h"

#include <string.h>

/* -- private: what became of a change ------------------------------------- */

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
_cc_tell(cc_machine *cc, const _cc_submit *submit, er_code code,
         uint64_t version)
{
    cc_action *action = _cc_act(cc, CC_ACTION_SUBMITTED);
    action->tag = submit->tag;
    action->code = code;
    action->version = version;
    return action;
}

static void
_cc_end(cc_machine *cc, _cc_submit *submit)
{
    g_ptr_array_remove(cc->submits, submit);
}

static void
_cc_audit_refused(cc_machine *cc, const _cc_submit *submit)
{
    g_autofree char *key = g_strdup_printf("audit/refused/%s", submit->id);
    _cc_call *open = _cc_call_open(cc, _CC_CALL_REFUSED, 0);
    _co_call *call = _co_commit_new(open->number);
    _co_commit_add(call, key, PF_VERSION_ANY, submit->audit);
    _cc_call_send(cc, call);
}

/* Another change came first; change may be NULL when its text is not held. */
static void
_cc_lost(cc_machine *cc, _cc_submit *submit, const _cc_change *change)
{
    cc_action *action = _cc_tell(cc, submit, ER_CONFLICT, submit->expect + 1);
    if (change) {
        action->text = _co_outbox_copy_text(cc->box, change->text);
        action->who = _co_outbox_copy_text(cc->box, change->who);
    }
    else {
        action->version = cc->version;
    }
    _cc_audit_refused(cc, submit);
    _cc_end(cc, submit);
}

static void
_cc_won(cc_machine *cc, _cc_submit *submit)
{
    uint64_t version = submit->expect + 1;
    _cc_change change = {.version = version,
                         .id = g_strdup(submit->id),
                         .who = g_strdup(submit->who),
                         .text = g_strdup(submit->text)};
    _cc_apply(cc, &change);
    _cc_tell(cc, submit, ER_OK, version);
    _cc_end(cc, submit);
    if (version % cc->desc.snapshot_every == 0 && version == cc->version) {
        cc->want_version = version;
        cc_action *action = _cc_act(cc, CC_ACTION_WANT_SNAPSHOT);
        action->version = version;
    }
}

/* The row of the version that a change wants to be. */
static void
_cc_row_seen(cc_machine *cc, _cc_submit *submit, const pf_row *row)
{
    _cc_change change = {0};
    if (!_cc_change_parse(row, &change)) {
        _cc_lost(cc, submit, NULL);
        return;
    }
    if (g_str_equal(change.id, submit->id)) {
        _cc_won(cc, submit);
    }
    else {
        _cc_lost(cc, submit, &change);
    }
    _cc_change_clear(&change);
}

/* -- private: steps ------------------------------------------------------- */

static void
_cc_ask(cc_machine *cc, _cc_submit *submit)
{
    uint64_t version = submit->expect + 1;
    g_autofree char *key = _cc_key(_CC_PREFIX, version);
    g_autofree char *audit_key = _cc_key("audit/change/", version);
    g_autofree char *value =
        g_strdup_printf("%s\n%s\n%s", submit->id, submit->who, submit->text);
    uint64_t expect =
        cc->desc.unsafe_any_version ? PF_VERSION_ANY : PF_VERSION_ABSENT;
    _cc_call *open = _cc_call_open(cc, _CC_CALL_SUBMIT, submit->tag);
    _co_call *call = _co_commit_new(open->number);
    _co_commit_add(call, key, expect, value);
    _co_commit_add(call, audit_key, expect, submit->audit);
    submit->open = true;
    submit->asked = true;
    _cc_call_send(cc, call);
}

static void
_cc_read_back(cc_machine *cc, _cc_submit *submit)
{
    g_autofree char *key = _cc_key(_CC_PREFIX, submit->expect + 1);
    _cc_call *open = _cc_call_open(cc, _CC_CALL_READ_BACK, submit->tag);
    submit->open = true;
    _cc_call_send(cc, _co_read_new(open->number, key));
}

/* True when the change has ended. */
static bool
_cc_step(cc_machine *cc, uint64_t now_us, _cc_submit *submit)
{
    if (now_us >= submit->until_us) {
        _cc_tell(cc, submit, submit->asked ? ER_TIMEOUT : ER_PLATFORM_DOWN, 0);
        _cc_end(cc, submit);
        return true;
    }
    if (submit->open || now_us < submit->try_us) {
        return false;
    }
    const _cc_change *there = _cc_kept(cc, submit->expect + 1);
    bool ours = there && g_str_equal(there->id, submit->id);
    if (submit->expect < cc->version && there) {
        if (ours) {
            _cc_won(cc, submit);
        }
        else {
            _cc_lost(cc, submit, there);
        }
        return true;
    }
    if (submit->expect > cc->version) {
        /* We may be behind; a version that nobody has made is refused. */
        if (submit->polled) {
            _cc_lost(cc, submit, NULL);
            return true;
        }
        _cc_hurry(cc, now_us);
        return false;
    }
    if (submit->read_back || submit->expect < cc->version) {
        _cc_read_back(cc, submit);
    }
    else {
        _cc_ask(cc, submit);
    }
    return false;
}

void
_cc_submit_work(cc_machine *cc, uint64_t now_us)
{
    guint i = 0;
    while (i < cc->submits->len) {
        if (!_cc_step(cc, now_us, cc->submits->pdata[i])) {
            i++;
        }
    }
}

static _cc_submit *
_cc_find(const cc_machine *cc, uint64_t tag)
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
    _cc_submit *submit = _cc_find(cc, call->tag);
    if (!submit) {
        _cc_hurry(cc, now_us);
        return;
    }
    submit->open = false;
    if (result->code == ER_OK) {
        _cc_won(cc, submit);
        return;
    }
    if (result->code == ER_CONFLICT && result->commit->rows[0].key) {
        _cc_row_seen(cc, submit, &result->commit->rows[0]);
        _cc_hurry(cc, now_us);
        return;
    }
    submit->read_back = true;
    submit->try_us =
        now_us +
        (result->code == ER_TIMEOUT ? 0 : _co_ms_to_us(cc->desc.retry_ms));
}

void
_cc_read_back_result(cc_machine *cc, uint64_t now_us, const _cc_call *call,
                     const co_table_result *result)
{
    _cc_submit *submit = _cc_find(cc, call->tag);
    if (!submit) {
        return;
    }
    submit->open = false;
    if (result->code != ER_OK || result->read->count == 0) {
        submit->try_us = now_us + _co_ms_to_us(cc->desc.retry_ms);
        return;
    }
    submit->read_back = false;
    if (result->read->rows[0].version != 0) {
        _cc_row_seen(cc, submit, &result->read->rows[0]);
        _cc_hurry(cc, now_us);
    }
}

/* -- private: snapshots --------------------------------------------------- */

void
_cc_store(cc_machine *cc, uint64_t version, const char *text)
{
    if (cc->want_version != version || cc->put_number) {
        return;
    }
    cc->want_version = 0;
    cc->put_version = version;
    cc->put_number = cc->next_number++;
    g_autofree char *key = _cc_key("config-", version);
    cc_action *action = _cc_act(cc, CC_ACTION_PUT);
    action->number = cc->put_number;
    action->key = _co_outbox_copy_text(cc->box, key);
    action->text = _co_outbox_copy_text(cc->box, text);
}

static void
_cc_point(cc_machine *cc, uint64_t version)
{
    g_autofree char *value = g_strdup_printf("%" G_GUINT64_FORMAT, version);
    _cc_call *open = _cc_call_open(cc, _CC_CALL_POINT, version);
    _co_call *call = _co_commit_new(open->number);
    _co_commit_add(call, _CC_SNAPSHOT_KEY, cc->point_version, value);
    _cc_call_send(cc, call);
}

void
_cc_stored(cc_machine *cc, er_code code)
{
    cc->put_number = 0;
    if (code == ER_OK) {
        _cc_point(cc, cc->put_version);
    }
}

void
_cc_point_result(cc_machine *cc, const _cc_call *call,
                 const co_table_result *result)
{
    if (result->code == ER_OK) {
        cc->point_version = result->commit->versions[0];
        return;
    }
    if (result->code != ER_CONFLICT) {
        return; /* the next snapshot will do */
    }
    const pf_row *row = &result->commit->rows[0];
    g_autofree char *text = _co_row_text(row);
    uint64_t there = text ? g_ascii_strtoull(text, NULL, 10) : 0;
    cc->point_version = row->version;
    if (there < call->tag) {
        _cc_point(cc, call->tag);
    }
}
