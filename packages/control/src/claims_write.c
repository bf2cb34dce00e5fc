#include "claims_internal.h"

#include <string.h>

/* -- private: the queue --------------------------------------------------- */

void
_cl_enqueue(cl_machine *cl, uint64_t now_us, _cl_slot *slot)
{
    (void)now_us;
    g_queue_push_tail(&cl->queue, slot);
}

void
_cl_dequeue(cl_machine *cl, _cl_slot *slot)
{
    g_queue_remove(&cl->queue, slot);
}

/* A claim waits claim_linger_ms for company, an outcome longer. */
static uint64_t
_cl_due_us(const cl_machine *cl, const _cl_slot *slot)
{
    bool closing = slot->phase == _CL_PHASE_CLOSING;
    return slot->since_us + _co_ms_to_us(closing ? cl->desc.outcome_linger_ms
                                                 : cl->desc.claim_linger_ms);
}

static bool
_cl_is_due(const cl_machine *cl, uint64_t now_us)
{
    if (cl->down || cl->commits_open >= cl->desc.transactions) {
        return false;
    }
    uint32_t ready = 0;
    for (const GList *link = cl->queue.head; link; link = link->next) {
        const _cl_slot *slot = link->data;
        if (g_hash_table_contains(cl->busy, slot->row_key)) {
            continue;
        }
        ready++;
        if (ready >= cl->desc.batch_ops || now_us >= _cl_due_us(cl, slot)) {
            return true;
        }
    }
    return false;
}

/* -- private: a transaction ----------------------------------------------- */

static char *
_cl_value(const cl_machine *cl, const _cl_slot *slot)
{
    bool closing = slot->phase == _CL_PHASE_CLOSING;
    return _cl_row_format(&(_cl_row){
        .attempt = slot->attempt,
        .instance = cl->instance,
        .incarnation = cl->desc.incarnation,
        .hash = slot->hash,
        .state = closing ? slot->close : _CL_ROW_CLAIMED,
        .status = slot->status,
        .outcome = closing ? slot->outcome : NULL,
    });
}

static void
_cl_add(cl_machine *cl, _co_call *call, _cl_call *open, _cl_slot *slot,
        const char *value)
{
    bool closing = slot->phase == _CL_PHASE_CLOSING;
    bool any = cl->desc.unsafe_any_version && !closing;
    _co_commit_add(call, slot->row_key, any ? PF_VERSION_ANY : slot->expect,
                   value);
    g_hash_table_add(cl->busy, slot->row_key);
    g_array_append_val(open->ids, slot->id);
    if (!closing) {
        slot->phase = _CL_PHASE_COMMITTING;
        slot->asked = true;
    }
}

static void
_cl_commit(cl_machine *cl, uint64_t now_us)
{
    _cl_call *open = _cl_call_open(cl, now_us, false);
    _co_call *call = _co_commit_new(open->number);
    uint32_t most = cl->desc.no_group ? 1 : cl->desc.batch_ops;
    size_t bytes = 0;
    GList *link = cl->queue.head;
    while (link && open->ids->len < most && bytes < cl->desc.batch_bytes) {
        GList *next = link->next;
        _cl_slot *slot = link->data;
        /* One row stands in one transaction at a time. */
        if (!g_hash_table_contains(cl->busy, slot->row_key)) {
            g_autofree char *value = _cl_value(cl, slot);
            bytes += strlen(value);
            g_queue_delete_link(&cl->queue, link);
            _cl_add(cl, call, open, slot, value);
        }
        link = next;
    }
    cl->commits_open++;
    cl->stats.transactions++;
    _cl_call_send(cl, call);
}

void
_cl_flush(cl_machine *cl, uint64_t now_us)
{
    while (_cl_is_due(cl, now_us)) {
        uint32_t before = cl->queue.length;
        _cl_commit(cl, now_us);
        g_assert(cl->queue.length < before);
    }
}

void
_cl_read(cl_machine *cl, uint64_t now_us, _cl_slot *slot)
{
    _cl_call *open = _cl_call_open(cl, now_us, true);
    g_array_append_val(open->ids, slot->id);
    slot->call = open->number;
    cl->stats.reads++;
    _cl_call_send(cl, _co_read_new(open->number, slot->row_key));
}

/* While the table is down one read at a time asks whether it is back. */
void
_cl_probe(cl_machine *cl, uint64_t now_us)
{
    if (!cl->down || cl->probe_call || now_us < cl->probe_us) {
        return;
    }
    _cl_call *open = _cl_call_open(cl, now_us, true);
    cl->probe_call = open->number;
    cl->stats.reads++;
    _cl_call_send(cl, _co_read_new(open->number, "claim/"));
}

/* -- private: results ----------------------------------------------------- */

static void
_cl_commit_result(cl_machine *cl, uint64_t now_us, const _cl_call *call,
                  const co_table_result *result)
{
    cl->commits_open--;
    for (guint i = 0; i < call->ids->len; i++) {
        _cl_slot *slot = _cl_find(cl, g_array_index(call->ids, cl_claim, i));
        g_assert(slot);
        g_hash_table_remove(cl->busy, slot->row_key);
        if (result->code == ER_OK) {
            _cl_written(cl, now_us, slot, result->commit->versions[i]);
        }
        else if (result->code != ER_CONFLICT) {
            _cl_unanswered(cl, now_us, slot);
        }
        else if (result->commit->rows[i].key) {
            cl->stats.conflicts++;
            _cl_seen(cl, now_us, slot, &result->commit->rows[i]);
        }
        else {
            /* Nothing of the transaction took effect: once more. */
            if (slot->phase != _CL_PHASE_CLOSING) {
                slot->phase = _CL_PHASE_QUEUED;
            }
            _cl_enqueue(cl, now_us, slot);
        }
    }
}

static void
_cl_read_result(cl_machine *cl, uint64_t now_us, const _cl_call *call,
                const co_table_result *result)
{
    _cl_slot *slot = _cl_find(cl, g_array_index(call->ids, cl_claim, 0));
    if (!slot || slot->call != call->number) {
        return;
    }
    slot->call = 0;
    if (result->code == ER_OK && result->read->count > 0) {
        _cl_seen(cl, now_us, slot, &result->read->rows[0]);
        return;
    }
    _cl_read_failed(cl, now_us, slot);
}

static void
_cl_note_answer(cl_machine *cl, uint64_t now_us, er_code code)
{
    if (_co_is_table_answer(code)) {
        cl->failures = 0;
        cl->down = false;
        return;
    }
    cl->failures++;
    cl->down = cl->down || code == ER_PLATFORM_DOWN || cl->failures > 1;
    cl->probe_us = now_us + _co_ms_to_us(cl->desc.probe_ms);
}

er_code
_cl_feed_table(cl_machine *cl, uint64_t now_us, const co_table_result *result)
{
    if (!result) {
        return ER_BAD_REQUEST;
    }
    _cl_call *call = g_hash_table_lookup(cl->calls, &result->number);
    if (!call) {
        return ER_STALE;
    }
    g_hash_table_steal(cl->calls, &result->number);
    _cl_note_answer(cl, now_us, result->code);
    if (call->number == cl->probe_call) {
        cl->probe_call = 0;
    }
    else if (call->is_read) {
        _cl_read_result(cl, now_us, call, result);
    }
    else {
        _cl_commit_result(cl, now_us, call, result);
    }
    g_array_unref(call->ids);
    g_free(call);
    return ER_OK;
}
