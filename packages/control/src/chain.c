#include "chain_internal.h"

#include <string.h>

/* Interval of ticks while not ready, with open submits or the table failing.
 */
#define _CC_TICK_US UINT64_C(100000)

/* -- private: calls and actions ------------------------------------------- */

cc_action *
_cc_push_action(cc_machine *cc, cc_action_type type)
{
    cc_action *action = _co_outbox_push(cc->outbox);
    action->type = type;
    return action;
}

_cc_call *
_cc_call_register(cc_machine *cc, _cc_call_kind kind, uint64_t tag)
{
    _cc_call *call = g_new0(_cc_call, 1);
    call->number = cc->next_number++;
    call->kind = kind;
    call->tag = tag;
    g_hash_table_insert(cc->calls, &call->number, call);
    return call;
}

void
_cc_push_table_call(cc_machine *cc, _co_call *call)
{
    cc_action *action = _cc_push_action(cc, CC_ACTION_TABLE);
    action->table = *_co_outbox_take_call(cc->outbox, call);
}

char *
_cc_version_key(const char *prefix, uint64_t version)
{
    return g_strdup_printf("%s%012" G_GUINT64_FORMAT, prefix, version);
}

/* -- private: events ------------------------------------------------------ */

/* Runs everything that is due; each call that takes the time ends with it,
   except cc_provide_snapshot(). */
static void
_cc_run_due_work(cc_machine *cc, uint64_t now_us)
{
    cc->last_run_us = now_us;
    if (!cc->started) {
        cc->started = true;
        cc->start_us = now_us;
    }
    _cc_run_submits(cc, now_us);
    _cc_sync(cc, now_us);
}

static er_code
_cc_feed_table(cc_machine *cc, uint64_t now_us, const co_table_result *result)
{
    if (!result) {
        return ER_BAD_REQUEST;
    }
    g_autofree _cc_call *call =
        g_hash_table_lookup(cc->calls, &result->number);
    if (!call) {
        return ER_STALE;
    }
    g_hash_table_steal(cc->calls, &result->number);
    cc->table_failing = !_co_is_table_answer(result->code);
    switch (call->kind) {
    case _CC_CALL_SCAN:
        _cc_scan_result(cc, now_us, result);
        break;
    case _CC_CALL_READ_SNAPSHOT_ROW:
        _cc_snapshot_row_result(cc, now_us, result);
        break;
    case _CC_CALL_SUBMIT:
        _cc_submit_result(cc, now_us, call, result);
        break;
    case _CC_CALL_READ_BACK:
        _cc_read_back_result(cc, now_us, call, result);
        break;
    case _CC_CALL_WRITE_SNAPSHOT_ROW:
        _cc_write_snapshot_row_result(cc, call, result);
        break;
    default:
        break;
    }
    return ER_OK;
}

/* Records a peer's version and polls soon if it is the newest known. */
static er_code
_cc_feed_peer_version(cc_machine *cc, uint64_t now_us, const cc_event *event)
{
    if (!event->instance) {
        return ER_BAD_REQUEST;
    }
    uint64_t *version = g_hash_table_lookup(cc->peers, event->instance);
    if (!version) {
        version = g_new0(uint64_t, 1);
        g_hash_table_insert(cc->peers, g_strdup(event->instance), version);
    }
    *version = event->version;
    if (event->version > cc->newest_known) {
        cc->newest_known = event->version;
        _cc_poll_soon(cc, now_us);
    }
    return ER_OK;
}

static er_code
_cc_feed_object(cc_machine *cc, uint64_t now_us, const cc_event *event)
{
    if (event->number == 0) {
        return ER_BAD_REQUEST;
    }
    if (event->number == cc->get_number) {
        _cc_snapshot_object_result(cc, now_us, event);
        return ER_OK;
    }
    if (event->number == cc->put_number) {
        _cc_put_snapshot_result(cc, event->code);
        return ER_OK;
    }
    return ER_STALE;
}

static er_code
_cc_feed_peer(cc_machine *cc, uint64_t now_us, const cc_event *event)
{
    if (!event->instance) {
        return ER_BAD_REQUEST;
    }
    switch (event->type) {
    case CC_EVENT_PEER_GONE:
        g_hash_table_remove(cc->peers, event->instance);
        return ER_OK;
    case CC_EVENT_FETCH_REQUESTED:
        _cc_serve_fetch(cc, event);
        return ER_OK;
    default:
        if (!event->text) {
            return ER_BAD_REQUEST;
        }
        _cc_apply_peer_text(cc, now_us, event);
        return ER_OK;
    }
}

er_code
cc_feed(cc_machine *cc, uint64_t now_us, const cc_event *event)
{
    er_code code = ER_OK;
    switch (event->type) {
    case CC_EVENT_TICK:
        break;
    case CC_EVENT_TABLE:
        code = _cc_feed_table(cc, now_us, event->table);
        break;
    case CC_EVENT_PEER_VERSION:
        code = _cc_feed_peer_version(cc, now_us, event);
        break;
    case CC_EVENT_PEER_GONE:
    case CC_EVENT_TEXT_RECEIVED:
    case CC_EVENT_FETCH_REQUESTED:
        code = _cc_feed_peer(cc, now_us, event);
        break;
    case CC_EVENT_OBJECT:
        code = _cc_feed_object(cc, now_us, event);
        break;
    default:
        return ER_BAD_REQUEST;
    }
    _cc_run_due_work(cc, now_us);
    return code;
}

/* -- commands ------------------------------------------------------------- */

er_code
cc_submit(cc_machine *cc, uint64_t now_us, const cc_submit_desc *desc)
{
    if (!desc->id || !desc->who || !desc->text || !desc->audit ||
        strchr(desc->id, '\n') || strchr(desc->who, '\n')) {
        return ER_BAD_REQUEST;
    }
    _cc_submit *submit = g_new0(_cc_submit, 1);
    submit->tag = desc->tag;
    submit->expect = desc->expect;
    submit->deadline_us = now_us + _co_ms_to_us(cc->desc.submit_timeout_ms);
    submit->id = g_strdup(desc->id);
    submit->who = g_strdup(desc->who);
    submit->text = g_strdup(desc->text);
    submit->audit = g_strdup(desc->audit);
    g_ptr_array_add(cc->submits, submit);
    _cc_run_due_work(cc, now_us);
    return ER_OK;
}

void
cc_provide_snapshot(cc_machine *cc, uint64_t now_us, uint64_t version,
                    const char *text)
{
    (void)now_us;
    _cc_put_snapshot(cc, version, text);
    _cc_serve_snapshot(cc, version, text);
}

bool
cc_next_action(cc_machine *cc, cc_action *action)
{
    return _co_outbox_pop(cc->outbox, action);
}

/* -- create and destroy --------------------------------------------------- */

/* Returns desc with the defaults filled in. */
static cc_desc
_cc_resolve(const cc_desc *desc)
{
    cc_desc out = *desc;
    out.seed = desc->seed ? desc->seed : 1;
    out.poll_ms = _co_or_default(desc->poll_ms, 10000);
    out.poll_jitter_pct = _co_or_default(desc->poll_jitter_pct, 30);
    out.retry_ms = _co_or_default(desc->retry_ms, 500);
    out.peer_wait_ms = _co_or_default(desc->peer_wait_ms, 2000);
    out.snapshot_every = _co_or_default(desc->snapshot_every, 64);
    out.keep_changes = _co_or_default(desc->keep_changes, 64);
    out.submit_timeout_ms = _co_or_default(desc->submit_timeout_ms, 5000);
    return out;
}

cc_machine *
cc_create(const cc_desc *desc)
{
    if (!desc->instance) {
        return NULL;
    }
    cc_machine *cc = g_new0(cc_machine, 1);
    cc->desc = _cc_resolve(desc);
    cc->instance = g_strdup(desc->instance);
    cc->rand = g_rand_new_with_seed((guint32)cc->desc.seed);
    cc->outbox = _co_outbox_new(sizeof(cc_action));
    cc->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    cc->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    cc->submits = g_ptr_array_new_with_free_func(_cc_submit_free);
    cc->snapshot_requesters = g_ptr_array_new_with_free_func(g_free);
    g_queue_init(&cc->recent_changes);
    cc->next_number = 1;
    return cc;
}

static void
_cc_change_free(void *data)
{
    _cc_change_clear(data);
    g_free(data);
}

void
cc_destroy(cc_machine *cc)
{
    if (cc) {
        g_queue_clear_full(&cc->recent_changes, _cc_change_free);
        g_hash_table_unref(cc->peers);
        g_hash_table_unref(cc->calls);
        g_ptr_array_unref(cc->submits);
        g_ptr_array_unref(cc->snapshot_requesters);
        _co_outbox_free(cc->outbox);
        g_rand_free(cc->rand);
        g_free(cc->instance);
        g_free(cc);
    }
}

/* -- queries -------------------------------------------------------------- */

uint64_t
cc_query_wakeup_us(const cc_machine *cc)
{
    if (!cc->started) {
        return 0;
    }
    uint64_t wakeup_us = cc->poll_open ? UINT64_MAX : cc->next_poll_us;
    bool needs_tick = !cc->ready || cc->submits->len > 0 || cc->table_failing;
    uint64_t tick_us = cc->last_run_us + _CC_TICK_US;
    return needs_tick ? MIN(wakeup_us, tick_us) : wakeup_us;
}

uint64_t
cc_query_version(const cc_machine *cc)
{
    return cc->version;
}

bool
cc_query_ready(const cc_machine *cc)
{
    return cc->ready;
}

uint64_t
cc_query_newest_known(const cc_machine *cc)
{
    return cc->newest_known;
}

const char *
cc_query_change_text(const cc_machine *cc, uint64_t version)
{
    const _cc_change *change = _cc_find_change(cc, version);
    return change ? change->text : NULL;
}

void
cc_query_lagging_peers(const cc_machine *cc,
                       void (*call)(const char *instance, uint64_t version,
                                    void *user_data),
                       void *user_data)
{
    uint64_t newest = MAX(cc->version, cc->newest_known);
    GHashTableIter iter;
    void *instance;
    void *version;
    g_hash_table_iter_init(&iter, cc->peers);
    while (g_hash_table_iter_next(&iter, &instance, &version)) {
        if (*(const uint64_t *)version < newest) {
            call(instance, *(const uint64_t *)version, user_data);
        }
    }
}
