#include "claims_internal.h"

/* Spreads the reads of claims that wait for the same row. */
#define _CL_POLL_JITTER_PCT 20

/* -- private: phases ------------------------------------------------------ */

static void
_cl_set_phase(_cl_slot *slot, uint64_t now_us, _cl_phase phase)
{
    slot->phase = phase;
    slot->phase_start_us = now_us;
}

/* Queues another try to claim the row. */
static void
_cl_queue_claim(cl_machine *cl, uint64_t now_us, _cl_slot *slot)
{
    _cl_set_phase(slot, now_us, _CL_PHASE_QUEUED);
    _cl_enqueue(cl, now_us, slot);
}

void
_cl_start_closing(cl_machine *cl, uint64_t now_us, _cl_slot *slot,
                  _cl_row_state state)
{
    slot->closing_state = state;
    _cl_set_phase(slot, now_us, _CL_PHASE_CLOSING);
    _cl_enqueue(cl, now_us, slot);
}

/* Sends the operation, as this attempt has the row. An abandoned attempt, or
   one past its deadline, is marked not_sent instead. */
static void
_cl_send_operation(cl_machine *cl, uint64_t now_us, _cl_slot *slot)
{
    if (slot->abandoned || now_us >= slot->deadline_us) {
        slot->abandoned = true;
        _cl_answer(cl, slot, ER_DEADLINE, CL_RAN_NO);
        _cl_start_closing(cl, now_us, slot, _CL_ROW_NOT_SENT);
        return;
    }
    _cl_set_phase(slot, now_us, _CL_PHASE_SENT);
    cl_action *action = _co_outbox_push(cl->outbox);
    action->type = CL_ACTION_SEND;
    action->claim = slot->id;
    action->tag = slot->tag;
    action->attempt = _co_outbox_copy_text(cl->outbox, slot->attempt);
}

void
_cl_abandon(cl_machine *cl, uint64_t now_us, _cl_slot *slot)
{
    slot->abandoned = true;
    slot->read_number = 0; /* the result of a read in flight is ignored */
    switch (slot->phase) {
    case _CL_PHASE_QUEUED:
        _cl_dequeue(cl, slot);
        break;
    case _CL_PHASE_READING:
    case _CL_PHASE_WAITING:
        break;
    default:
        return; /* a commit in flight: its result decides */
    }
    if (!slot->commit_sent) {
        _cl_release_slot(cl, slot);
        return;
    }
    cl->stats.abandoned++;
    _cl_start_closing(cl, now_us, slot, _CL_ROW_NOT_SENT);
}

/* -- private: the row of another attempt ---------------------------------- */

/* Tells whether the claimer named by the row is alive. */
static _cl_liveness
_cl_claimer_liveness(const cl_machine *cl, const _cl_row *row)
{
    if (row->incarnation == cl->desc.incarnation &&
        g_str_equal(row->instance, cl->instance)) {
        return _CL_ALIVE_YES;
    }
    g_autofree char *key = g_strdup_printf("%s/%" G_GUINT64_FORMAT,
                                           row->instance, row->incarnation);
    return (_cl_liveness)GPOINTER_TO_UINT(g_hash_table_lookup(cl->peers, key));
}

/* Another attempt has claimed the row: waits for its outcome, or answers
   "outcome unknown" when its claimer is gone. */
static void
_cl_wait_for_other(cl_machine *cl, uint64_t now_us, _cl_slot *slot,
                   const _cl_row *row)
{
    _cl_liveness alive = _cl_claimer_liveness(cl, row);
    if (cl->desc.unsafe_take_over && alive != _CL_ALIVE_YES) {
        slot->expected_version = row->version;
        _cl_queue_claim(cl, now_us, slot);
        return;
    }
    if (alive == _CL_ALIVE_NO) {
        _cl_answer(cl, slot, ER_OUTCOME_UNKNOWN, CL_RAN_UNKNOWN);
        _cl_release_slot(cl, slot);
        return;
    }
    if (slot->phase != _CL_PHASE_WAITING) {
        _cl_set_phase(slot, now_us, _CL_PHASE_WAITING);
    }
    slot->commit_sent = false; /* this attempt's commit did not take effect */
    slot->claimer_unknown = alive == _CL_ALIVE_UNKNOWN;
    slot->next_poll_us =
        now_us + _co_jitter_us(cl->rand, _co_ms_to_us(cl->desc.poll_ms),
                               _CL_POLL_JITTER_PCT);
}

/* Answers with the outcome in the row and ends the claim. */
static void
_cl_replay(cl_machine *cl, _cl_slot *slot, const _cl_row *row)
{
    if (!slot->answered) {
        slot->answered = true;
        cl_action *action = _co_outbox_push(cl->outbox);
        action->type = CL_ACTION_ANSWER;
        action->claim = slot->id;
        action->tag = slot->tag;
        action->code = ER_OK;
        action->ran = CL_RAN_YES;
        action->status = row->status;
        action->outcome = _co_outbox_copy_text(cl->outbox, row->outcome);
        action->replayed = true;
    }
    _cl_release_slot(cl, slot);
}

/* Decides by a row that another attempt has written. */
static void
_cl_handle_other_attempt(cl_machine *cl, uint64_t now_us, _cl_slot *slot,
                         const _cl_row *row)
{
    if (!g_str_equal(row->hash, slot->hash) &&
        row->state != _CL_ROW_NOT_SENT) {
        _cl_answer(cl, slot, ER_KEY_REUSED, CL_RAN_NO);
        _cl_release_slot(cl, slot);
        return;
    }
    switch (row->state) {
    case _CL_ROW_DONE:
        _cl_replay(cl, slot, row);
        return;
    case _CL_ROW_NOT_SENT:
        /* Its claimer never sends it, so this attempt may claim the row. */
        slot->expected_version = row->version;
        _cl_queue_claim(cl, now_us, slot);
        return;
    case _CL_ROW_CLAIMED:
        _cl_wait_for_other(cl, now_us, slot, row);
        return;
    default:
        _cl_answer(cl, slot, ER_OUTCOME_UNKNOWN, CL_RAN_UNKNOWN);
        _cl_release_slot(cl, slot);
        return;
    }
}

/* -- private: closing ----------------------------------------------------- */

/* The closing write failed its condition. Tries again if the row may still
   become or is this attempt's claim, else releases the slot. */
static void
_cl_retry_closing(cl_machine *cl, uint64_t now_us, _cl_slot *slot,
                  const _cl_row *row)
{
    bool is_own = row->attempt && g_str_equal(row->attempt, slot->attempt);
    bool open = row->version == 0 || (is_own && row->state == _CL_ROW_CLAIMED);
    /* Another attempt has marked the row not_sent, and this attempt's
       abandoned commit may still overwrite it. */
    bool may_be_overwritten = !is_own && row->version != 0 &&
                              row->state == _CL_ROW_NOT_SENT &&
                              slot->commit_sent;
    if (!open &&
        !(may_be_overwritten && slot->closing_state == _CL_ROW_NOT_SENT)) {
        _cl_release_slot(cl, slot);
        return;
    }
    slot->expected_version = row->version;
    _cl_enqueue(cl, now_us, slot);
}

/* -- table results -------------------------------------------------------- */

void
_cl_write_committed(cl_machine *cl, uint64_t now_us, _cl_slot *slot,
                    uint64_t version)
{
    if (slot->phase == _CL_PHASE_CLOSING) {
        cl->stats.outcomes++;
        _cl_release_slot(cl, slot);
        return;
    }
    cl->stats.claims++;
    slot->expected_version = version;
    _cl_send_operation(cl, now_us, slot);
}

void
_cl_handle_row(cl_machine *cl, uint64_t now_us, _cl_slot *slot,
               const pf_row *found)
{
    g_auto(_cl_row) row = {0};
    if (!_cl_row_parse(found, &row)) {
        _cl_answer(cl, slot, ER_INTERNAL, CL_RAN_UNKNOWN);
        _cl_release_slot(cl, slot);
        return;
    }
    if (slot->phase == _CL_PHASE_CLOSING) {
        _cl_retry_closing(cl, now_us, slot, &row);
        return;
    }
    bool is_own = row.attempt && g_str_equal(row.attempt, slot->attempt);
    if (is_own && row.state == _CL_ROW_CLAIMED) {
        cl->stats.claims++;
        slot->expected_version = row.version;
        _cl_send_operation(cl, now_us, slot);
        return;
    }
    if (slot->abandoned) {
        /* The commit failed its condition, so it cannot take effect later. */
        _cl_release_slot(cl, slot);
        return;
    }
    if (row.version == 0) {
        slot->expected_version = 0;
        _cl_queue_claim(cl, now_us, slot);
        return;
    }
    _cl_handle_other_attempt(cl, now_us, slot, &row);
}

void
_cl_write_unanswered(cl_machine *cl, uint64_t now_us, _cl_slot *slot)
{
    if (slot->phase == _CL_PHASE_CLOSING) {
        _cl_enqueue(cl, now_us, slot);
        return;
    }
    if (cl->desc.unsafe_send_on_timeout) {
        _cl_send_operation(cl, now_us, slot);
        return;
    }
    /* With the table down a read would have no answer either: gives up. */
    if (slot->abandoned || cl->table_down) {
        _cl_answer(cl, slot, ER_PLATFORM_DOWN, CL_RAN_NO);
        slot->abandoned = true;
        cl->stats.abandoned++;
        _cl_start_closing(cl, now_us, slot, _CL_ROW_NOT_SENT);
        return;
    }
    _cl_set_phase(slot, now_us, _CL_PHASE_READING);
    _cl_read_row(cl, now_us, slot);
}

void
_cl_read_failed(cl_machine *cl, uint64_t now_us, _cl_slot *slot)
{
    if (slot->phase == _CL_PHASE_WAITING) {
        slot->next_poll_us = now_us + _co_ms_to_us(cl->desc.probe_ms);
        return;
    }
    _cl_answer(cl, slot, ER_PLATFORM_DOWN, CL_RAN_NO);
    _cl_abandon(cl, now_us, slot);
}

/* -- timeouts ------------------------------------------------------------- */

static void
_cl_check_waiting(cl_machine *cl, uint64_t now_us, _cl_slot *slot)
{
    uint64_t unknown_us =
        slot->phase_start_us + _co_ms_to_us(cl->desc.unknown_claimer_ms);
    if (slot->claimer_unknown && now_us >= unknown_us) {
        _cl_answer(cl, slot, ER_OUTCOME_UNKNOWN, CL_RAN_UNKNOWN);
        _cl_release_slot(cl, slot);
        return;
    }
    if (now_us >= slot->deadline_us) {
        _cl_answer(cl, slot, ER_IN_PROGRESS, CL_RAN_UNKNOWN);
        _cl_release_slot(cl, slot);
        return;
    }
    if (slot->read_number == 0 && now_us >= slot->next_poll_us) {
        _cl_read_row(cl, now_us, slot);
    }
}

void
_cl_check_timeouts(cl_machine *cl, uint64_t now_us, _cl_slot *slot)
{
    uint64_t claim_timeout_us =
        slot->start_us + _co_ms_to_us(cl->desc.claim_timeout_ms);
    bool late = now_us >= MIN(claim_timeout_us, slot->deadline_us);
    switch (slot->phase) {
    case _CL_PHASE_WAITING:
        _cl_check_waiting(cl, now_us, slot);
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
