#include "claims_internal.h"

#include <string.h>

/* The low bits of a claim's id are its slot index, the others its
   generation. */
#define _CL_SLOT_BITS 20
#define _CL_SLOT_MASK ((UINT64_C(1) << _CL_SLOT_BITS) - 1)
/* From the start of a claim, if the caller gives no deadline. */
#define _CL_DEFAULT_DEADLINE_US UINT64_C(30000000)

/* -- private: slots ------------------------------------------------------- */

_cl_slot *
_cl_find_slot(const cl_machine *cl, cl_claim claim)
{
    uint64_t index = claim.id & _CL_SLOT_MASK;
    if (claim.id == 0 || index >= cl->desc.claim_capacity) {
        return NULL;
    }
    _cl_slot *slot = &cl->slots[index];
    return slot->phase != _CL_PHASE_FREE && slot->id.id == claim.id ? slot
                                                                    : NULL;
}

static _cl_slot *
_cl_alloc_slot(cl_machine *cl)
{
    if (cl->free_count == 0) {
        return NULL;
    }
    uint32_t index = cl->free_slots[--cl->free_count];
    _cl_slot *slot = &cl->slots[index];
    *slot = (_cl_slot){0};
    slot->id.id = (++cl->generation << _CL_SLOT_BITS) | index;
    g_ptr_array_add(cl->active, slot);
    return slot;
}

/* Frees what the slot holds and marks it free. */
static void
_cl_slot_clear(_cl_slot *slot)
{
    g_clear_pointer(&slot->row_key, g_free);
    g_clear_pointer(&slot->attempt, g_free);
    g_clear_pointer(&slot->hash, g_free);
    g_clear_pointer(&slot->outcome, g_free);
    slot->phase = _CL_PHASE_FREE;
}

void
_cl_release_slot(cl_machine *cl, _cl_slot *slot)
{
    cl->free_slots[cl->free_count++] = (uint32_t)(slot->id.id & _CL_SLOT_MASK);
    _cl_slot_clear(slot);
    g_ptr_array_remove_fast(cl->active, slot);
}

/* -- private: calls and answers ------------------------------------------- */

_cl_call *
_cl_call_register(cl_machine *cl, uint64_t now_us, bool is_read)
{
    _cl_call *call = g_new0(_cl_call, 1);
    call->number = cl->next_number++;
    call->sent_us = now_us;
    call->is_read = is_read;
    call->ids = g_array_new(FALSE, FALSE, sizeof(cl_claim));
    g_hash_table_insert(cl->calls, &call->number, call);
    return call;
}

static void
_cl_call_free(void *data)
{
    _cl_call *call = data;
    g_array_unref(call->ids);
    g_free(call);
}

void
_cl_push_table_call(cl_machine *cl, _co_call *call)
{
    cl_action *action = _co_outbox_push(cl->outbox);
    action->type = CL_ACTION_TABLE;
    action->table = *_co_outbox_take_call(cl->outbox, call);
}

void
_cl_answer(cl_machine *cl, _cl_slot *slot, er_code code, cl_ran ran)
{
    if (slot->answered) {
        return;
    }
    slot->answered = true;
    cl_action *action = _co_outbox_push(cl->outbox);
    action->type = CL_ACTION_ANSWER;
    action->claim = slot->id;
    action->tag = slot->tag;
    action->code = code;
    action->ran = ran;
    if (code == ER_PLATFORM_DOWN || code == ER_NO_SERVER ||
        code == ER_IN_PROGRESS) {
        action->retry_after_ms = cl->desc.retry_after_ms;
    }
}

/* -- commands ------------------------------------------------------------- */

static bool
_cl_is_valid(const cl_claim_desc *desc)
{
    return desc->team && desc->key && desc->body_hash && desc->key[0] &&
           strlen(desc->key) <= CL_KEY_BYTES &&
           !strpbrk(desc->body_hash, " \n");
}

cl_claim
cl_make_claim(cl_machine *cl, uint64_t now_us, const cl_claim_desc *desc)
{
    _cl_slot *slot = _cl_is_valid(desc) ? _cl_alloc_slot(cl) : NULL;
    if (!slot) {
        return (cl_claim){0};
    }
    cl_claim id = slot->id;
    slot->phase = _CL_PHASE_QUEUED;
    slot->tag = desc->tag;
    slot->row_key = _cl_row_key(desc->team, desc->key);
    slot->attempt = g_strdup_printf(
        "%s.%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT, cl->instance,
        cl->desc.incarnation, ++cl->next_attempt);
    slot->hash = g_strdup(desc->body_hash);
    slot->start_us = now_us;
    slot->phase_start_us = now_us;
    slot->deadline_us = desc->deadline_us ? desc->deadline_us
                                          : now_us + _CL_DEFAULT_DEADLINE_US;
    if (cl->table_down) {
        cl->stats.refused++;
        _cl_answer(cl, slot, ER_PLATFORM_DOWN, CL_RAN_NO);
        _cl_release_slot(cl, slot);
        return id;
    }
    _cl_enqueue(cl, now_us, slot);
    _cl_flush(cl, now_us);
    return id;
}

/* Answers the caller with the service's answer. */
static void
_cl_answer_done(cl_machine *cl, _cl_slot *slot)
{
    if (slot->answered) {
        return;
    }
    slot->answered = true;
    cl_action *action = _co_outbox_push(cl->outbox);
    action->type = CL_ACTION_ANSWER;
    action->claim = slot->id;
    action->tag = slot->tag;
    action->code = ER_OK;
    action->ran = CL_RAN_YES;
    action->status = slot->status;
    action->outcome = _co_outbox_copy_text(cl->outbox, slot->outcome);
}

er_code
cl_finish(cl_machine *cl, uint64_t now_us, cl_claim claim, cl_result result,
          uint32_t status, const char *outcome)
{
    _cl_slot *slot = _cl_find_slot(cl, claim);
    if (!slot || slot->phase != _CL_PHASE_SENT) {
        return ER_STALE;
    }
    bool fits = !outcome || strlen(outcome) <= CL_OUTCOME_BYTES;
    switch (result) {
    case CL_RESULT_DONE:
        slot->status = status;
        slot->outcome = g_strdup(outcome ? outcome : "");
        _cl_answer_done(cl, slot);
        if (!fits) {
            g_clear_pointer(&slot->outcome, g_free);
        }
        _cl_start_closing(cl, now_us, slot,
                          fits ? _CL_ROW_DONE : _CL_ROW_UNKNOWN);
        break;
    case CL_RESULT_NOT_SENT:
        _cl_answer(cl, slot, ER_NO_SERVER, CL_RAN_NO);
        _cl_start_closing(cl, now_us, slot, _CL_ROW_NOT_SENT);
        break;
    default:
        _cl_answer(cl, slot, ER_OUTCOME_UNKNOWN, CL_RAN_UNKNOWN);
        _cl_start_closing(cl, now_us, slot, _CL_ROW_UNKNOWN);
        break;
    }
    _cl_flush(cl, now_us);
    return ER_OK;
}

er_code
cl_detach_caller(cl_machine *cl, uint64_t now_us, cl_claim claim)
{
    _cl_slot *slot = _cl_find_slot(cl, claim);
    if (!slot) {
        return ER_STALE;
    }
    slot->answered = true;
    if (slot->phase != _CL_PHASE_SENT && slot->phase != _CL_PHASE_CLOSING &&
        !slot->abandoned) {
        _cl_abandon(cl, now_us, slot);
    }
    _cl_flush(cl, now_us);
    return ER_OK;
}

/* -- private: events ------------------------------------------------------ */

static er_code
_cl_feed_peer(cl_machine *cl, const cl_event *event)
{
    if (!event->instance) {
        return ER_BAD_REQUEST;
    }
    char *key = g_strdup_printf("%s/%" G_GUINT64_FORMAT, event->instance,
                                event->incarnation);
    g_hash_table_insert(
        cl->peers, key,
        GUINT_TO_POINTER(event->alive ? _CL_ALIVE_YES : _CL_ALIVE_NO));
    return ER_OK;
}

static void
_cl_tick(cl_machine *cl, uint64_t now_us)
{
    cl->last_tick_us = now_us;
    /* A check may release its slot, and the last one takes its place; counting
       down, that one was checked already. */
    for (guint i = cl->active->len; i > 0; i--) {
        _cl_check_timeouts(cl, now_us, cl->active->pdata[i - 1]);
    }
    _cl_probe_table(cl, now_us);
}

er_code
cl_feed(cl_machine *cl, uint64_t now_us, const cl_event *event)
{
    er_code code = ER_OK;
    switch (event->type) {
    case CL_EVENT_TICK:
        _cl_tick(cl, now_us);
        break;
    case CL_EVENT_TABLE:
        code = _cl_feed_table(cl, now_us, event->table);
        break;
    case CL_EVENT_PEER_LIVENESS:
        code = _cl_feed_peer(cl, event);
        break;
    default:
        code = ER_BAD_REQUEST;
        break;
    }
    _cl_flush(cl, now_us);
    return code;
}

bool
cl_next_action(cl_machine *cl, cl_action *action)
{
    return _co_outbox_pop(cl->outbox, action);
}

/* -- create and destroy --------------------------------------------------- */

/* Returns desc with the defaults filled in. */
static cl_desc
_cl_resolve(const cl_desc *desc)
{
    cl_desc out = *desc;
    out.seed = desc->seed ? desc->seed : 1;
    out.claim_capacity = _co_or_default(desc->claim_capacity, 4096);
    out.batch_rows = _co_or_default(desc->batch_rows, 64);
    out.batch_bytes = _co_or_default(desc->batch_bytes, 524288);
    out.max_transactions = _co_or_default(desc->max_transactions, 4);
    out.claim_linger_ms =
        desc->no_group_commit ? 0 : _co_or_default(desc->claim_linger_ms, 10);
    out.outcome_linger_ms = desc->no_group_commit
                                ? 0
                                : _co_or_default(desc->outcome_linger_ms, 200);
    out.claim_timeout_ms = _co_or_default(desc->claim_timeout_ms, 1500);
    out.probe_ms = _co_or_default(desc->probe_ms, 500);
    out.unknown_claimer_ms = _co_or_default(desc->unknown_claimer_ms, 2000);
    out.poll_ms = _co_or_default(desc->poll_ms, 100);
    out.retry_after_ms = _co_or_default(desc->retry_after_ms, 1000);
    if (desc->no_group_commit) {
        out.max_transactions = UINT32_MAX;
    }
    return out;
}

cl_machine *
cl_create(const cl_desc *desc)
{
    if (!desc->instance || !desc->incarnation ||
        desc->claim_capacity > _CL_SLOT_MASK) {
        return NULL;
    }
    cl_machine *cl = g_new0(cl_machine, 1);
    cl->desc = _cl_resolve(desc);
    cl->instance = g_strdup(desc->instance);
    cl->rand = g_rand_new_with_seed((guint32)cl->desc.seed);
    cl->outbox = _co_outbox_new(sizeof(cl_action));
    cl->slots = g_new0(_cl_slot, cl->desc.claim_capacity);
    cl->free_slots = g_new0(uint32_t, cl->desc.claim_capacity);
    cl->free_count = cl->desc.claim_capacity;
    for (uint32_t i = 0; i < cl->free_count; i++) {
        cl->free_slots[i] = cl->free_count - 1 - i;
    }
    cl->active = g_ptr_array_new();
    g_queue_init(&cl->queue);
    cl->keys_in_flight = g_hash_table_new(g_str_hash, g_str_equal);
    cl->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                      _cl_call_free);
    cl->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    cl->next_number = 1;
    return cl;
}

void
cl_destroy(cl_machine *cl)
{
    if (!cl) {
        return;
    }
    for (guint i = 0; i < cl->active->len; i++) {
        _cl_slot_clear(cl->active->pdata[i]);
    }
    g_queue_clear(&cl->queue);
    g_hash_table_unref(cl->keys_in_flight);
    g_hash_table_unref(cl->calls);
    g_hash_table_unref(cl->peers);
    g_ptr_array_unref(cl->active);
    _co_outbox_free(cl->outbox);
    g_rand_free(cl->rand);
    g_free(cl->slots);
    g_free(cl->free_slots);
    g_free(cl->instance);
    g_free(cl);
}

/* -- queries -------------------------------------------------------------- */

uint64_t
cl_query_wakeup_us(const cl_machine *cl)
{
    if (cl->active->len == 0 && !cl->table_down) {
        return UINT64_MAX;
    }
    return cl->last_tick_us + _CL_TICK_US;
}

uint32_t
cl_query_unanswered_count(const cl_machine *cl)
{
    uint32_t count = 0;
    for (guint i = 0; i < cl->active->len; i++) {
        count += !((const _cl_slot *)cl->active->pdata[i])->answered;
    }
    return count;
}

uint32_t
cl_query_unwritten_count(const cl_machine *cl)
{
    uint32_t count = 0;
    for (guint i = 0; i < cl->active->len; i++) {
        const _cl_slot *slot = cl->active->pdata[i];
        count += slot->phase == _CL_PHASE_CLOSING || slot->abandoned;
    }
    return count;
}

bool
cl_query_table_down(const cl_machine *cl)
{
    return cl->table_down;
}

cl_claim_state
cl_query_claim_state(const cl_machine *cl, cl_claim claim)
{
    const _cl_slot *slot = _cl_find_slot(cl, claim);
    if (!slot) {
        return CL_STATE_NONE;
    }
    if (slot->phase == _CL_PHASE_CLOSING || slot->answered) {
        return CL_STATE_ENDED;
    }
    return slot->phase == _CL_PHASE_SENT ? CL_STATE_SENT : CL_STATE_PENDING;
}

cl_stats
cl_query_stats(const cl_machine *cl)
{
    return cl->stats;
}
