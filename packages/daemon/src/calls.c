/* Calls: submits, sends and retries them, and runs the claims' actions. */
#include "calls_private.h"

#include "lacewing/counter.h"
#include <inttypes.h>
#include <string.h>

#define _CS_TRIES_MAX 3         /* sends of one call */
#define _CS_COOLDOWN_MS 1000    /* a server that failed is tried last */
#define _CS_RETRY_AFTER_MS 1000 /* suggested to callers after a failure */

static void _cs_run_actions(cs_calls *calls);

/* -- private: helpers ----------------------------------------------------- */

uint64_t
_cs_now_us(const cs_calls *calls)
{
    return tm_query_now_us(calls->timers);
}

static void
_cs_call_free(void *data)
{
    _cs_call *call = data;
    g_free(call->operation);
    g_free(call->key);
    g_strfreev(call->servers);
    g_bytes_unref(call->body);
    g_free(call->attempt);
    g_free(call->server);
    g_free(call);
}

static _cs_call *
_cs_find_call(cs_calls *calls, uint64_t id)
{
    return g_hash_table_lookup(calls->calls, &id);
}

/* Calls on_answer, unless the call is abandoned or answered. */
static void
_cs_deliver_answer(_cs_call *call, const cs_answer *answer)
{
    cs_answer_callback on_answer = call->on_answer;
    call->on_answer = NULL;
    if (on_answer) {
        on_answer(answer, call->user_data);
    }
}

/* Delivers the answer and frees the call. */
static void
_cs_finish_call(_cs_call *call, const cs_answer *answer)
{
    cs_calls *calls = call->calls;
    uint64_t id = call->id;
    _cs_deliver_answer(call, answer);
    g_hash_table_remove(calls->calls, &id);
}

/* Returns 0 when less than 1 ms is left. */
static uint32_t
_cs_time_left_ms(const _cs_call *call)
{
    uint64_t now_us = _cs_now_us(call->calls);
    if (call->deadline_us <= now_us + 1000) {
        return 0;
    }
    return (uint32_t)((call->deadline_us - now_us) / 1000);
}

/* -- private: sending ----------------------------------------------------- */

static void _cs_send_attempt(_cs_call *call);

/* Reports the result of a claimed call, and frees the call if it is answered
   or abandoned by then. */
static void
_cs_finish_claim(_cs_call *call, cl_result result, uint32_t status,
                 const char *body)
{
    cs_calls *calls = call->calls;
    uint64_t id = call->id;
    cl_finish(calls->claims, _cs_now_us(calls), call->claim, result, status,
              body);
    _cs_run_actions(calls);
    const _cs_call *remaining = _cs_find_call(calls, id);
    if (remaining && !remaining->on_answer) {
        g_hash_table_remove(calls->calls, &id);
    }
}

static void
_cs_on_attempt_succeeded(_cs_call *call, const be_call_result *result)
{
    gsize size = 0;
    const char *bytes = g_bytes_get_data(result->body, &size);
    g_autofree char *body = g_strndup(bytes, size);
    if (call->claim.id) {
        _cs_finish_claim(call, CL_RESULT_DONE, result->http_status, body);
        return;
    }
    _cs_finish_call(call, &(cs_answer){.code = ER_OK,
                                       .ran = DR_RAN_RAN,
                                       .http_status = result->http_status,
                                       .body = body,
                                       .server = call->server});
}

static void
_cs_fail_call(_cs_call *call, er_code code, be_ran ran)
{
    if (call->claim.id) {
        _cs_finish_claim(
            call, ran == BE_RAN_NO ? CL_RESULT_NOT_SENT : CL_RESULT_UNKNOWN, 0,
            NULL);
        return;
    }
    _cs_finish_call(
        call,
        &(cs_answer){.code = code,
                     .ran = ran == BE_RAN_NO ? DR_RAN_NOT_RUN : DR_RAN_UNKNOWN,
                     .retry_after_ms = _CS_RETRY_AFTER_MS});
}

/* Puts the server in cooldown, and retries if the operation is idempotent or
   certainly did not run. */
static void
_cs_on_attempt_failed(_cs_call *call, const be_call_result *result)
{
    _cs_server *server =
        g_hash_table_lookup(call->calls->servers, call->server);
    if (server) {
        server->cooldown_until_us =
            _cs_now_us(call->calls) + (uint64_t)_CS_COOLDOWN_MS * 1000;
    }
    bool may_retry = call->idempotent || result->ran == BE_RAN_NO;
    if (may_retry && call->tries < _CS_TRIES_MAX &&
        _cs_time_left_ms(call) > 0) {
        _cs_send_attempt(call);
        return;
    }
    _cs_fail_call(call, result->code, result->ran);
}

static void
_cs_on_attempt_result(be_server *backend, const be_call_result *result,
                      void *data)
{
    (void)backend;
    _cs_call *call = data;
    call->in_flight = false;
    if (result->code == ER_OK) {
        _cs_on_attempt_succeeded(call, result);
    }
    else {
        _cs_on_attempt_failed(call, result);
    }
}

/* Sends the call to the next server in the ranking, from its start again after
   the last one. */
static void
_cs_send_attempt(_cs_call *call)
{
    _cs_server *server = _cs_choose_server(call);
    if (!server && call->next_candidate > 0) {
        call->next_candidate = 0;
        server = _cs_choose_server(call);
    }
    uint32_t left_ms = _cs_time_left_ms(call);
    if (!server || left_ms == 0) {
        _cs_fail_call(call, server ? ER_DEADLINE : ER_NO_SERVER, BE_RAN_NO);
        return;
    }
    call->in_flight = true;
    call->tries++;
    call->next_candidate++;
    g_free(call->server);
    call->server = g_strdup(server->name);
    be_call(server->backend, &(be_call_desc){.operation = call->operation,
                                             .attempt = call->attempt,
                                             .key = call->key,
                                             .body = call->body,
                                             .repeatable = call->idempotent,
                                             .timeout_ms = left_ms,
                                             .call = _cs_on_attempt_result,
                                             .user_data = call});
}

static gboolean
_cs_on_idle_start(void *data)
{
    _cs_send_attempt(data);
    return G_SOURCE_REMOVE;
}

/* -- private: claims ------------------------------------------------------ */

static const dr_ran _cs_ran_by_claim[CL_RAN_NUM] = {
    [CL_RAN_NO] = DR_RAN_NOT_RUN,
    [CL_RAN_YES] = DR_RAN_RAN,
    [CL_RAN_UNKNOWN] = DR_RAN_UNKNOWN,
};

static void
_cs_on_table_result(const co_table_result *result, void *data)
{
    cs_calls *calls = data;
    cl_feed(calls->claims, _cs_now_us(calls),
            &(cl_event){.type = CL_EVENT_TABLE, .table = result});
    _cs_run_actions(calls);
}

/* Sends the call that the claim was made for; if it was abandoned meanwhile,
   reports the claim as not sent. */
static void
_cs_run_send(cs_calls *calls, const cl_action *action)
{
    _cs_call *call = _cs_find_call(calls, action->tag);
    if (!call) {
        cl_finish(calls->claims, _cs_now_us(calls), action->claim,
                  CL_RESULT_NOT_SENT, 0, NULL);
        return;
    }
    ct_add(CT_CLAIMS, 1);
    call->attempt = g_strdup(action->attempt);
    _cs_send_attempt(call);
}

static void
_cs_run_answer(cs_calls *calls, const cl_action *action)
{
    _cs_call *call = _cs_find_call(calls, action->tag);
    if (!call) {
        return;
    }
    cs_answer answer = {.code = action->code,
                        .ran = _cs_ran_by_claim[action->ran],
                        .retry_after_ms = action->retry_after_ms,
                        .http_status = action->status,
                        .body = action->outcome,
                        .replayed = action->replayed,
                        .server = action->replayed ? NULL : call->server};
    _cs_deliver_answer(call, &answer);
    if (!call->in_flight) {
        uint64_t id = call->id;
        g_hash_table_remove(calls->calls, &id);
    }
}

static void
_cs_run_action(cs_calls *calls, const cl_action *action)
{
    switch (action->type) {
    case CL_ACTION_TABLE:
        if (action->table.kind == CO_TABLE_COMMIT ||
            action->table.kind == CO_TABLE_DEFAULT) {
            ct_add(CT_CLAIM_WRITES, 1);
        }
        tb_call(calls->table, &action->table, _cs_on_table_result, calls);
        break;
    case CL_ACTION_SEND:
        _cs_run_send(calls, action);
        break;
    case CL_ACTION_ANSWER:
        _cs_run_answer(calls, action);
        break;
    case CL_ACTION_DEFAULT:
    case CL_ACTION_NUM:
        break;
    }
}

/* Runs all actions that the claims ask for, then sets the wakeup. Does nothing
   if called from inside an action: the outer call's loop goes on. */
static void
_cs_run_actions(cs_calls *calls)
{
    if (calls->running_actions) {
        return;
    }
    calls->running_actions = true;
    cl_action action;
    while (cl_next_action(calls->claims, &action)) {
        _cs_run_action(calls, &action);
    }
    calls->running_actions = false;
    wk_set(&calls->wakeup, cl_query_wakeup_us(calls->claims));
}

static void
_cs_on_tick(uint64_t now_us, void *data)
{
    cs_calls *calls = data;
    cl_feed(calls->claims, now_us, &(cl_event){.type = CL_EVENT_TICK});
    _cs_run_actions(calls);
}

/* -- public --------------------------------------------------------------- */

cs_calls *
cs_create(const cs_desc *desc)
{
    cs_calls *calls = g_new0(cs_calls, 1);
    calls->timers = desc->timers;
    calls->table = desc->table;
    calls->instance = g_strdup(desc->instance);
    calls->zone = g_strdup(desc->zone);
    calls->incarnation = desc->incarnation;
    calls->servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, _cs_server_free);
    calls->leaving =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    calls->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                         _cs_call_free);
    calls->next_call = 1;
    calls->claims = cl_create(&(cl_desc){.instance = desc->instance,
                                         .incarnation = desc->incarnation,
                                         .seed = desc->incarnation});
    wk_setup(&calls->wakeup, desc->timers, _cs_on_tick, calls);
    return calls;
}

void
cs_destroy(cs_calls *calls)
{
    if (calls) {
        wk_shutdown(&calls->wakeup);
        g_hash_table_unref(calls->servers);
        g_hash_table_unref(calls->leaving);
        g_hash_table_unref(calls->calls);
        cl_destroy(calls->claims);
        g_free(calls->instance);
        g_free(calls->zone);
        g_free(calls);
    }
}

void
cs_update_peer(cs_calls *calls, const char *instance, uint64_t incarnation,
               bool alive)
{
    cl_feed(calls->claims, _cs_now_us(calls),
            &(cl_event){.type = CL_EVENT_PEER_LIVENESS,
                        .instance = instance,
                        .incarnation = incarnation,
                        .alive = alive});
    _cs_run_actions(calls);
}

/* Returns the SHA-256 of operation and body. The claim holds it, so that a key
   that is used again for another call is detected. */
static char *
_cs_body_hash(const cs_call_desc *desc)
{
    g_autoptr(GChecksum) sum = g_checksum_new(G_CHECKSUM_SHA256);
    gsize size = 0;
    const guchar *body = g_bytes_get_data(desc->body, &size);
    g_checksum_update(sum, (const guchar *)desc->operation->name,
                      (gssize)strlen(desc->operation->name) + 1);
    g_checksum_update(sum, body, (gssize)size);
    return g_strdup(g_checksum_get_string(sum));
}

static _cs_call *
_cs_call_create(cs_calls *calls, const cs_call_desc *desc)
{
    _cs_call *call = g_new0(_cs_call, 1);
    call->calls = calls;
    call->id = calls->next_call++;
    call->operation = g_strdup(desc->operation->name);
    call->key = g_strdup(desc->key);
    call->servers = g_strdupv(desc->operation->servers);
    call->idempotent = desc->operation->idempotent;
    call->body = g_bytes_ref(desc->body);
    call->deadline_us =
        _cs_now_us(calls) + (uint64_t)desc->time_left_ms * 1000;
    call->on_answer = desc->on_answer;
    call->user_data = desc->user_data;
    g_hash_table_insert(calls->calls, &call->id, call);
    return call;
}

uint64_t
cs_submit(cs_calls *calls, const cs_call_desc *desc)
{
    _cs_call *call = _cs_call_create(calls, desc);
    uint64_t id = call->id;
    if (call->idempotent) {
        call->attempt =
            g_strdup_printf("%s/%" PRIx64 "/%" PRIu64, calls->instance,
                            calls->incarnation, id);
        g_idle_add_full(G_PRIORITY_DEFAULT, _cs_on_idle_start, call, NULL);
        return id;
    }
    g_autofree char *hash = _cs_body_hash(desc);
    call->claim =
        cl_make_claim(calls->claims, _cs_now_us(calls),
                      &(cl_claim_desc){.tag = id,
                                       .team = desc->team,
                                       .key = desc->key,
                                       .body_hash = hash,
                                       .deadline_us = call->deadline_us});
    if (!call->claim.id) {
        g_hash_table_remove(calls->calls, &id);
        return 0;
    }
    wk_set(&calls->wakeup, 0);
    return id;
}

void
cs_abandon(cs_calls *calls, uint64_t id)
{
    _cs_call *call = _cs_find_call(calls, id);
    if (!call) {
        return;
    }
    call->on_answer = NULL;
    if (call->claim.id) {
        cl_detach_caller(calls->claims, _cs_now_us(calls), call->claim);
        if (!call->in_flight) {
            g_hash_table_remove(calls->calls, &id);
        }
        _cs_run_actions(calls);
    }
}

uint32_t
cs_query_open_calls(const cs_calls *calls)
{
    return g_hash_table_size(calls->calls);
}

uint32_t
cs_query_unwritten_outcomes(const cs_calls *calls)
{
    return cl_query_unwritten_count(calls->claims);
}

cl_stats
cs_query_stats(const cs_calls *calls)
{
    return cl_query_stats(calls->claims);
}
