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

/* Returns when the write is due even if it does not fill a transaction: a
   claim after claim_linger_ms, an outcome after outcome_linger_ms. */
static uint64_t
_cl_due_us(const cl_machine *cl, const _cl_slot *slot)
{
    bool closing = slot->phase == _CL_PHASE_CLOSING;
    return slot->phase_start_us + _co_ms_to_us(closing
                                                   ? cl->desc.outcome_linger_ms
                                                   : cl->desc.claim_linger_ms);
}

/* True when a transaction is free and the queue can fill one, or holds a write
   that is due. Rows that are in a transaction already don't count. */
static bool
_cl_is_commit_due(const cl_machine *cl, uint64_t now_us)
{
    if (cl->table_down || cl->commits_in_flight >= cl->desc.max_transactions) {
        return false;
    }
    uint32_t ready_rows = 0;
    for (const GList *link = cl->queue.head; link; link = link->next) {
        const _cl_slot *slot = link->data;
        if (g_hash_table_contains(cl->keys_in_flight, slot->row_key)) {
            continue;
        }
        ready_rows++;
        if (ready_rows >= cl->desc.batch_rows ||
            now_us >= _cl_due_us(cl, slot)) {
            return true;
        }
    }
    return false;
}

/* -- private: a transaction ----------------------------------------------- */

/* Returns the value that the slot's next write stores. */
static char *
_cl_row_value(const cl_machine *cl, const _cl_slot *slot)
{
    bool closing = slot->phase == _CL_PHASE_CLOSING;
    return _cl_row_format(&(_cl_row){
        .attempt = slot->attempt,
        .instance = cl->instance,
        .incarnation = cl->desc.incarnation,
        .hash = slot->hash,
        .state = closing ? slot->closing_state : _CL_ROW_CLAIMED,
        .status = slot->status,
        .outcome = closing ? slot->outcome : NULL,
    });
}

static void
_cl_add_to_commit(cl_machine *cl, _co_call *call, _cl_call *open,
                  _cl_slot *slot, const char *value)
{
    bool closing = slot->phase == _CL_PHASE_CLOSING;
    bool any = cl->desc.unsafe_unconditional_claim && !closing;
    _co_commit_add(call, slot->row_key,
                   any ? PF_VERSION_ANY : slot->expected_version, value);
    g_hash_table_add(cl->keys_in_flight, slot->row_key);
    g_array_append_val(open->ids, slot->id);
    if (!closing) {
        slot->phase = _CL_PHASE_COMMITTING;
        slot->commit_sent = true;
    }
}

/* Sends one transaction with the first rows of the queue. */
static void
_cl_commit(cl_machine *cl, uint64_t now_us)
{
    _cl_call *open = _cl_call_register(cl, now_us, false);
    _co_call *call = _co_commit_new(open->number);
    uint32_t max_rows = cl->desc.no_group_commit ? 1 : cl->desc.batch_rows;
    size_t bytes = 0;
    GList *link = cl->queue.head;
    while (link && open->ids->len < max_rows && bytes < cl->desc.batch_bytes) {
        GList *next = link->next;
        _cl_slot *slot = link->data;
        /* A row is in at most one transaction at a time. */
        if (!g_hash_table_contains(cl->keys_in_flight, slot->row_key)) {
            g_autofree char *value = _cl_row_value(cl, slot);
            bytes += strlen(value);
            g_queue_delete_link(&cl->queue, link);
            _cl_add_to_commit(cl, call, open, slot, value);
        }
        link = next;
    }
    cl->commits_in_flight++;
    cl->stats.transactions++;
    _cl_push_table_call(cl, call);
}

void
_cl_flush(cl_machine *cl, uint64_t now_us)
{
    while (_cl_is_commit_due(cl, now_us)) {
        uint32_t before = cl->queue.length;
        _cl_commit(cl, now_us);
        g_assert(cl->queue.length < before);
    }
}

void
_cl_read_row(cl_machine *cl, uint64_t now_us, _cl_slot *slot)
{
    _cl_call *open = _cl_call_register(cl, now_us, true);
    g_array_append_val(open->ids, slot->id);
    slot->read_number = open->number;
    cl->stats.reads++;
    _cl_push_table_call(cl, _co_read_new(open->number, slot->row_key));
}

void
_cl_probe_table(cl_machine *cl, uint64_t now_us)
{
    if (!cl->table_down || cl->probe_number || now_us < cl->next_probe_us) {
        return;
    }
    _cl_call *open = _cl_call_register(cl, now_us, true);
    /* No row has this key: it only matters whether an answer comes. */
    cl->probe_number = open->number;
    cl->stats.reads++;
    _cl_push_table_call(cl, _co_read_new(open->number, "claim/"));
}

/* -- private: results ----------------------------------------------------- */

static void
_cl_commit_result(cl_machine *cl, uint64_t now_us, const _cl_call *call,
                  const co_table_result *result)
{
    cl->commits_in_flight--;
    for (guint i = 0; i < call->ids->len; i++) {
        _cl_slot *slot =
            _cl_find_slot(cl, g_array_index(call->ids, cl_claim, i));
        g_assert(slot);
        g_hash_table_remove(cl->keys_in_flight, slot->row_key);
        if (result->code == ER_OK) {
            _cl_write_committed(cl, now_us, slot, result->commit->versions[i]);
        }
        else if (result->code != ER_CONFLICT) {
            _cl_write_unanswered(cl, now_us, slot);
        }
        else if (result->commit->rows[i].key) {
            cl->stats.conflicts++;
            _cl_handle_row(cl, now_us, slot, &result->commit->rows[i]);
        }
        else {
            /* This row's condition held, but nothing of the transaction took
               effect: it is queued again. */
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
    _cl_slot *slot = _cl_find_slot(cl, g_array_index(call->ids, cl_claim, 0));
    if (!slot || slot->read_number != call->number) {
        return;
    }
    slot->read_number = 0;
    if (result->code == ER_OK && result->read->count > 0) {
        _cl_handle_row(cl, now_us, slot, &result->read->rows[0]);
        return;
    }
    _cl_read_failed(cl, now_us, slot);
}

/* The table counts as down after ER_PLATFORM_DOWN or two consecutive calls
   without an answer, until a call has an answer. */
static void
_cl_update_table_down(cl_machine *cl, uint64_t now_us, er_code code)
{
    if (_co_is_table_answer(code)) {
        cl->failures = 0;
        cl->table_down = false;
        return;
    }
    cl->failures++;
    cl->table_down =
        cl->table_down || code == ER_PLATFORM_DOWN || cl->failures > 1;
    cl->next_probe_us = now_us + _co_ms_to_us(cl->desc.probe_ms);
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
    _cl_update_table_down(cl, now_us, result->code);
    if (call->number == cl->probe_number) {
        cl->probe_number = 0;
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
