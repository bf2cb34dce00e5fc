#include "claims_internal.h"

/* -- private: phases ------------------------------------------------------ */

static void
_cl_go(_cl_slot *slot, uint64_t now_us, _cl_phase phase)
{
    slot->phase = phase;
    slot->since_us = now_us;
}

static void
_cl_queue(cl_machine *cl, uint64_t now_us, _cl_slot *slot)
{
    _cl_go(slot, now_us, _CL_PHASE_QUEUED);
    _cl_enqueue(cl, now_us, slot);
}

void
_cl_close(cl_machine *cl, uint64_t now_us, _cl_slot *slot, _cl_row_state state)
{
    slot->close = state;
    _cl_go(slot, now_us, _CL_PHASE_CLOSING);
    _cl_enqueue(cl, now_us, slot);
}

static void
_cl_send(cl_machine *cl, uint64_t now_us, _cl_slot *slot)
{
    if (slot->abandoned || now_us >= slot->deadline_us) {
        slot->abandoned = true;
        _cl_answer(cl, slot, ER_DEADLINE, CL_RAN_NO);
        _cl_close(cl, now_us, slot, _CL_ROW_NOT_SENT);
        return;
    }
    _cl_go(slot, now_us, _CL_PHASE_SENT);
    cl_action *action = _co_outbox_push(cl->box);
    action->type = CL_ACTION_SEND;
    action->claim = slot->id;
    action->tag = slot->tag;
    action->attempt = _co_outbox_copy_text(cl->box, slot->attempt);
}

void
_cl_abandon(cl_machine *cl, uint64_t now_us, _cl_slot *slot)
{
    slot->abandoned = true;
    slot->call = 0; /* a read back is of no use any more */
    switch (slot->phase) {
    case _CL_PHASE_QUEUED:
        _cl_dequeue(cl, slot);
        break;
    case _CL_PHASE_READING:
    case _CL_PHASE_WAITING:
        break;
    default:
        return; /* its commit is under way: decided by the result */
    }
    if (!slot->asked) {
        _cl_release(cl, slot);
        return;
    }
    cl->stats.abandoned++;
    _cl_close(cl, now_us, slot, _CL_ROW_NOT_SENT);
}

/* -- private: the row of another attempt ---------------------------------- */

typedef enum _cl_alive {
    _CL_ALIVE_UNKNOWN = 0,
    _CL_ALIVE_YES,
    _CL_ALIVE_NO,
} _cl_alive;

static _cl_alive
_cl_claimer(const cl_machine *cl, const _cl_row *row)
{
    if (row->incarnation == cl->desc.incarnation &&
        g_str_equal(row->instance, cl->instance)) {
        return _CL_ALIVE_YES;
    }
    g_autofree char *key = g_strdup_printf("%s/%" G_GUINT64_FORMAT,
                                           row->instance, row->incarnation);
    return (_cl_alive)GPOINTER_TO_UINT(g_hash_table_lookup(cl->peers, key));
}

static void
_cl_other_claimed(cl_machine *cl, uint64_t now_us, _cl_slot *slot,
                  const _cl_row *row)
{
    _cl_alive alive = _cl_claimer(cl, row);
    if (cl->desc.unsafe_take_over && alive != _CL_ALIVE_YES) {
        slot->expect = row->version;
        _cl_queue(cl, now_us, slot);
        return;
    }
    if (alive == _CL_ALIVE_NO) {
        _cl_answer(cl, slot, ER_OUTCOME_UNKNOWN, CL_RAN_UNKNOWN);
        _cl_release(cl, slot);
        return;
    }
    if (slot->phase != _CL_PHASE_WAITING) {
        _cl_go(slot, now_us, _CL_PHASE_WAITING);
    }
    slot->asked = false; /* what we asked for has lost */
    slot->unknown_alive = alive == _CL_ALIVE_UNKNOWN;
    slot->poll_us =
        now_us + _co_jitter_us(cl->rand, _co_ms_to_us(cl->desc.poll_ms), 20);
}

static void
_cl_replay(cl_machine *cl, _cl_slot *slot, const _cl_row *row)
{
    if (!slot->answered) {
        slot->answered = true;
        cl_action *action = _co_outbox_push(cl->box);
        action->type = CL_ACTION_ANSWER;
        action->claim = slot->id;
        action->tag = slot->tag;
        action->code = ER_OK;
        action->ran = CL_RAN_YES;
        action->status = row->status;
        action->outcome = _co_outbox_copy_text(cl->box, row->outcome);
        action->replayed = true;
    }
    _cl_release(cl, slot);
}

static void
_cl_other(cl_machine *cl, uint64_t now_us, _cl_slot *slot, const _cl_row *row)
{
    if (!g_str_equal(row->hash, slot->hash) &&
        row->state != _CL_ROW_NOT_SENT) {
        _cl_answer(cl, slot, ER_KEY_REUSED, CL_RAN_NO);
        _cl_release(cl, slot);
        return;
    }
    switch (row->state) {
    case _CL_ROW_DONE:
        _cl_replay(cl, slot, row);
        return;
    case _CL_ROW_NOT_SENT:
        slot->expect = row->version;
        _cl_queue(cl, now_us, slot);
        return;
    case _CL_ROW_CLAIMED:
        _cl_other_claimed(cl, now_us, slot, row);
        return;
    default:
        _cl_answer(cl, slot, ER_OUTCOME_UNKNOWN, CL_RAN_UNKNOWN);
        _cl_release(cl, slot);
        return;
    }
}

/* -- private: closing ----------------------------------------------------- */

/* The row stands otherwise than the closing write expected. */
static void
_cl_seen_closing(cl_machine *cl, uint64_t now_us, _cl_slot *slot,
                 const _cl_row *row)
{
    bool ours = row->attempt && g_str_equal(row->attempt, slot->attempt);
    bool open = row->version == 0 || (ours && row->state == _CL_ROW_CLAIMED);
    /* An abandoned claim over this row may still take effect. */
    bool exposed = !ours && row->version != 0 &&
                   row->state == _CL_ROW_NOT_SENT && slot->asked;
    if (!open && !(exposed && slot->close == _CL_ROW_NOT_SENT)) {
        _cl_release(cl, slot);
        return;
    }
    slot->expect = row->version;
    _cl_enqueue(cl, now_us, slot);
}

/* -- what the table said -------------------------------------------------- */

void
_cl_written(cl_machine *cl, uint64_t now_us, _cl_slot *slot, uint64_t version)
{
    if (slot->phase == _CL_PHASE_CLOSING) {
        cl->stats.outcomes++;
        _cl_release(cl, slot);
        return;
    }
    cl->stats.claims++;
    slot->expect = version;
    _cl_send(cl, now_us, slot);
}

void
_cl_seen(cl_machine *cl, uint64_t now_us, _cl_slot *slot, const pf_row *found)
{
    g_auto(_cl_row) row = {0};
    if (!_cl_row_parse(found, &row)) {
        _cl_answer(cl, slot, ER_INTERNAL, CL_RAN_UNKNOWN);
        _cl_release(cl, slot);
        return;
    }
    if (slot->phase == _CL_PHASE_CLOSING) {
        _cl_seen_closing(cl, now_us, slot, &row);
        return;
    }
    bool ours = row.attempt && g_str_equal(row.attempt, slot->attempt);
    if (ours && row.state == _CL_ROW_CLAIMED) {
        cl->stats.claims++;
        slot->expect = row.version;
        _cl_send(cl, now_us, slot);
        return;
    }
    if (slot->abandoned) {
        /* The commit lost: nothing of it can come any more. */
        _cl_release(cl, slot);
        return;
    }
    if (row.version == 0) {
        slot->expect = 0;
        _cl_queue(cl, now_us, slot);
        return;
    }
    _cl_other(cl, now_us, slot, &row);
}

void
_cl_unanswered(cl_machine *cl, uint64_t now_us, _cl_slot *slot)
{
    if (slot->phase == _CL_PHASE_CLOSING) {
        _cl_enqueue(cl, now_us, slot);
        return;
    }
    if (cl->desc.unsafe_send_on_timeout) {
        _cl_send(cl, now_us, slot);
        return;
    }
    if (slot->abandoned || cl->down) {
        _cl_answer(cl, slot, ER_PLATFORM_DOWN, CL_RAN_NO);
        slot->abandoned = true;
        cl->stats.abandoned++;
        _cl_close(cl, now_us, slot, _CL_ROW_NOT_SENT);
        return;
    }
    _cl_go(slot, now_us, _CL_PHASE_READING);
    _cl_read(cl, now_us, slot);
}

void
_cl_read_failed(cl_machine *cl, uint64_t now_us, _cl_slot *slot)
{
    if (slot->phase == _CL_PHASE_WAITING) {
        slot->poll_us = now_us + _co_ms_to_us(cl->desc.probe_ms);
        return;
    }
    _cl_answer(cl, slot, ER_PLATFORM_DOWN, CL_RAN_NO);
    _cl_abandon(cl, now_us, slot);
}

/* -- time-outs ------------------------------------------------------------ */

static void
_cl_look_waiting(cl_machine *cl, uint64_t now_us, _cl_slot *slot)
{
    uint64_t unknown_us = slot->since_us + _co_ms_to_us(cl->desc.unknown_ms);
    if (slot->unknown_alive && now_us >= unknown_us) {
        _cl_answer(cl, slot, ER_OUTCOME_UNKNOWN, CL_RAN_UNKNOWN);
        _cl_release(cl, slot);
        return;
    }
    if (now_us >= slot->deadline_us) {
        _cl_answer(cl, slot, ER_IN_PROGRESS, CL_RAN_UNKNOWN);
        _cl_release(cl, slot);
        return;
    }
    if (slot->call == 0 && now_us >= slot->poll_us) {
        _cl_read(cl, now_us, slot);
    }
}

void
_cl_look(cl_machine *cl, uint64_t now_us, _cl_slot *slot)
{
    uint64_t give_up_us = slot->start_us + _co_ms_to_us(cl->desc.give_up_ms);
    bool late = now_us >= MIN(give_up_us, slot->deadline_us);
    switch (slot->phase) {
    case _CL_PHASE_WAITING:
        _cl_look_waiting(cl, now_us, slot);
        break;
    case _CL_PHASE_SENT:
        if (now_us >= slot->deadline_us) {
            _cl_answer(cl, slot, ER_OUTCOME_UNKNOWN, CL_RAN_UNKNOWN);
        }
        break;
    case _CL_PHASE_QUEUED:
    case _CL_PHASE_COMMITTING:
    case _CL_PHASE_READING:
        if (late && !slot->abandoned) {
            _cl_answer(cl, slot, ER_PLATFORM_DOWN, CL_RAN_NO);
            _cl_abandon(cl, now_us, slot);
        }
        break;
    default:
        break;
    }
}
