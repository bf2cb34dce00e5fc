/* Drafts from submission to end, and their streams on owned servers. */
#include "scheduler_private.h"

#include "lacewing/counter.h"

/* Failure reported to the policy for each end of a stream. */
static const lwd_failure _sc_failures[BE_END_NUM] = {
    [BE_END_DEFAULT] = LWD_FAILURE_BROKEN,
    [BE_END_NOT_STARTED] = LWD_FAILURE_NOT_STARTED,
    [BE_END_NOT_RESIDENT] = LWD_FAILURE_NOT_RESIDENT,
    [BE_END_FENCED] = LWD_FAILURE_FENCED,
    [BE_END_BROKEN] = LWD_FAILURE_BROKEN,
    [BE_END_STALLED] = LWD_FAILURE_BROKEN,
    [BE_END_SERVER_DOWN] = LWD_FAILURE_DIED,
};

/* -- private: drafts and attempts ----------------------------------------- */

void
_sc_draft_free(void *data)
{
    _sc_draft *draft = data;
    g_free(draft->prompt);
    g_free(draft->team);
    g_free(draft->forward_instance);
    g_free(draft);
}

void
_sc_attempt_free(void *data)
{
    _sc_attempt *attempt = data;
    attempt->server->open_attempts--;
    be_stream_destroy(attempt->stream);
    g_free(attempt);
}

_sc_draft *
_sc_find_draft(sc_scheduler *scheduler, uint64_t id)
{
    return g_hash_table_lookup(scheduler->drafts, &id);
}

static void
_sc_drop_attempt(_sc_attempt *attempt)
{
    _sc_server *server = attempt->server;
    uint64_t id = attempt->id.id;
    g_hash_table_remove(attempt->scheduler->attempts, &id);
    _sc_finish_handover_if_drained(server);
}

void
_sc_end_draft(_sc_draft *draft, const dr_end *end)
{
    sc_scheduler *scheduler = draft->scheduler;
    dr_sink *sink = draft->sink;
    uint64_t id = draft->id;
    dr_end counted_end = *end;
    counted_end.attempts = draft->attempts;
    g_hash_table_steal(scheduler->drafts, &id);
    ct_set(CT_OPEN_REQUESTS, g_hash_table_size(scheduler->drafts));
    if (sink) {
        sink->vt->end(sink, &counted_end);
    }
    _sc_draft_free(draft);
}

void
_sc_deliver_token(_sc_draft *draft, uint32_t index, const char *text)
{
    if (index != draft->next_index) {
        ct_add(CT_PIECES_DROPPED, 1);
        return;
    }
    draft->next_index++;
    if (draft->sink) {
        draft->sink->vt->token(draft->sink, index, text);
    }
}

/* -- private: streams ----------------------------------------------------- */

static void
_sc_on_token(be_stream *stream, uint32_t index, const char *text, void *data)
{
    (void)stream;
    _sc_attempt *attempt = data;
    sc_scheduler *scheduler = attempt->scheduler;
    bool first = attempt->tokens == 0;
    attempt->tokens = index + 1;
    lwd_attempt id = attempt->id;
    _sc_draft *draft = _sc_find_draft(scheduler, attempt->draft_id);
    if (draft) {
        draft->may_have_run = true;
        _sc_deliver_token(draft, index, text);
    }
    _sc_feed(scheduler, &(lwd_event){.type = first ? LWD_EVENT_FIRST_TOKEN
                                                   : LWD_EVENT_PROGRESS,
                                     .attempt = id,
                                     .tokens = index + 1});
}

/* Reports the end of an attempt to the policy, then drops the attempt. The
   order matters: dropping the last attempt on a server that is handed over
   also destroys the policy's entry of that server. */
static void
_sc_end_attempt(_sc_attempt *attempt, const lwd_event *event)
{
    sc_scheduler *scheduler = attempt->scheduler;
    uint64_t id = attempt->id.id;
    _sc_feed(scheduler, event);
    attempt = g_hash_table_lookup(scheduler->attempts, &id);
    if (attempt) {
        _sc_drop_attempt(attempt);
    }
}

static void
_sc_stream_completed(_sc_attempt *attempt, const be_result *result)
{
    sc_scheduler *scheduler = attempt->scheduler;
    uint64_t draft_id = attempt->draft_id;
    g_autofree char *server = g_strdup(attempt->server->name);
    g_autofree char *reason = g_strdup(result->finish_reason);
    uint32_t tokens = result->tokens;
    _sc_end_attempt(attempt, &(lwd_event){.type = LWD_EVENT_FINISHED,
                                          .attempt = attempt->id,
                                          .tokens = tokens});
    _sc_draft *draft = _sc_find_draft(scheduler, draft_id);
    if (draft && draft->next_index == tokens) {
        _sc_end_draft(draft, &(dr_end){.code = ER_OK,
                                       .ran = DR_RAN_RAN,
                                       .tokens = tokens,
                                       .finish_reason = reason,
                                       .server = server});
    }
}

static void
_sc_stream_failed(_sc_attempt *attempt, const be_result *result)
{
    sc_scheduler *scheduler = attempt->scheduler;
    g_autofree char *name = g_strdup(attempt->server->name);
    be_end end = result->end;
    lwd_event event = {.type = LWD_EVENT_FAILED,
                       .attempt = attempt->id,
                       .tokens = result->tokens,
                       .failure = _sc_failures[end]};
    if (end == BE_END_PAUSED) {
        event.type = LWD_EVENT_PAUSED;
    }
    _sc_draft *draft = _sc_find_draft(scheduler, attempt->draft_id);
    if (draft && end == BE_END_SERVER_DOWN) {
        draft->may_have_run = true;
    }
    _sc_end_attempt(attempt, &event);
    _sc_server *server = g_hash_table_lookup(scheduler->servers, name);
    if (server && end == BE_END_SERVER_DOWN) {
        _sc_mark_server_down(server);
    }
    if (end == BE_END_FENCED) {
        scheduler->callbacks->fenced(name, scheduler->user_data);
    }
}

static void
_sc_on_end(be_stream *stream, const be_result *result, void *data)
{
    (void)stream;
    _sc_attempt *attempt = data;
    if (result->end == BE_END_COMPLETED) {
        _sc_stream_completed(attempt, result);
    }
    else {
        _sc_stream_failed(attempt, result);
    }
}

/* -- private: actions ----------------------------------------------------- */

static void
_sc_fail_attempt(sc_scheduler *scheduler, const lwd_action *action,
                 lwd_failure failure)
{
    lwd_feed(scheduler->policy, _sc_now_us(scheduler),
             &(lwd_event){.type = LWD_EVENT_FAILED,
                          .attempt = action->attempt,
                          .tokens = action->resume_from,
                          .failure = failure});
}

static void
_sc_start_stream(_sc_draft *draft, _sc_server *server,
                 const lwd_action *action)
{
    sc_scheduler *scheduler = draft->scheduler;
    _sc_attempt *attempt = g_new0(_sc_attempt, 1);
    attempt->scheduler = scheduler;
    attempt->id = action->attempt;
    attempt->draft_id = draft->id;
    attempt->server = server;
    attempt->started_us = _sc_now_us(scheduler);
    server->open_attempts++;
    draft->attempts++;
    g_autofree char *name =
        g_strdup_printf("%s/%" G_GUINT64_FORMAT "/%u", scheduler->instance,
                        draft->id, draft->attempts);
    attempt->stream = be_complete(
        server->backend, &(be_complete_desc){.model = draft->model->name,
                                             .prompt = draft->prompt,
                                             .attempt = name,
                                             .max_tokens = draft->max_tokens,
                                             .resume_from = draft->next_index,
                                             .priority = action->priority,
                                             .on_token = _sc_on_token,
                                             .on_end = _sc_on_end,
                                             .user_data = attempt});
    be_stream_set_read_stopped(attempt->stream, draft->backpressure);
    g_hash_table_insert(scheduler->attempts, &attempt->id.id, attempt);
}

void
_sc_act_send(sc_scheduler *scheduler, const lwd_action *action)
{
    _sc_draft *draft = _sc_find_draft(scheduler, action->tag);
    _sc_server *server = _sc_find_server(scheduler, action->server);
    if (!draft || !server) {
        _sc_fail_attempt(scheduler, action, LWD_FAILURE_NOT_STARTED);
        return;
    }
    if (!scheduler->callbacks->may_order(server->name, false,
                                         scheduler->user_data)) {
        _sc_fail_attempt(scheduler, action, LWD_FAILURE_FENCED);
        return;
    }
    if (action->hedge) {
        ct_add(CT_HEDGED, 1);
    }
    else if (draft->next_index > 0 && draft->attempts > 0) {
        ct_add(CT_RESUMED, 1);
    }
    _sc_start_stream(draft, server, action);
}

void
_sc_act_refuse(sc_scheduler *scheduler, const lwd_action *action)
{
    _sc_draft *draft = _sc_find_draft(scheduler, action->tag);
    if (!draft) {
        return;
    }
    bool ran = action->ran || draft->may_have_run;
    _sc_end_draft(draft, &(dr_end){.code = action->reason,
                                   .ran = ran ? DR_RAN_RAN : DR_RAN_NOT_RUN,
                                   .tokens = draft->next_index,
                                   .retry_after_ms = action->retry_after_ms});
}

void
_sc_act_cancel(sc_scheduler *scheduler, const lwd_action *action)
{
    _sc_attempt *attempt =
        g_hash_table_lookup(scheduler->attempts, &action->attempt.id);
    if (attempt) {
        _sc_drop_attempt(attempt);
    }
}

void
_sc_act_pause(sc_scheduler *scheduler, const lwd_action *action)
{
    const _sc_attempt *attempt =
        g_hash_table_lookup(scheduler->attempts, &action->attempt.id);
    if (attempt) {
        be_stream_pause(attempt->stream);
    }
}

/* -- public: drafts ------------------------------------------------------- */

static _sc_draft *
_sc_draft_create(sc_scheduler *scheduler, _sc_model *model,
                 const sc_draft_desc *desc)
{
    _sc_draft *draft = g_new0(_sc_draft, 1);
    draft->scheduler = scheduler;
    draft->id = scheduler->next_draft++;
    draft->sink = desc->sink;
    draft->model = model;
    draft->prompt = g_strdup(desc->prompt);
    draft->team = g_strdup(desc->team ? desc->team : "");
    draft->team_weight = desc->team_weight;
    draft->operation = desc->operation;
    draft->prompt_tokens = desc->prompt_tokens;
    draft->max_tokens = desc->max_tokens;
    draft->fingerprint = desc->fingerprint;
    draft->prefix = desc->prefix;
    draft->next_index = desc->resume_from;
    if (desc->time_left_ms) {
        draft->deadline_us =
            _sc_now_us(scheduler) + (uint64_t)desc->time_left_ms * 1000;
    }
    g_hash_table_insert(scheduler->drafts, &draft->id, draft);
    ct_set(CT_OPEN_REQUESTS, g_hash_table_size(scheduler->drafts));
    return draft;
}

/* Submits the draft to the policy. */
static er_code
_sc_submit_request(_sc_draft *draft, const _sc_server *server,
                   er_status *status)
{
    sc_scheduler *scheduler = draft->scheduler;
    draft->request = lwd_make_request(
        scheduler->policy, _sc_now_us(scheduler),
        &(lwd_request_desc){.tag = draft->id,
                            .adapter = draft->model->id,
                            .team = g_str_hash(draft->team),
                            .team_weight = draft->team_weight,
                            .operation = draft->operation,
                            .prompt_tokens = draft->prompt_tokens,
                            .max_tokens = draft->max_tokens,
                            .resume_from = draft->next_index,
                            .deadline_us = draft->deadline_us,
                            .fingerprint = draft->fingerprint,
                            .prefix = draft->prefix,
                            .server = server ? server->id : (lwd_server){0},
                            .forwarded = server != NULL});
    if (!draft->request.id) {
        const er_status *last = lwd_query_last_status(scheduler->policy);
        return er_set(status, last->code, "%s", last->message);
    }
    return ER_OK;
}

uint64_t
sc_submit(sc_scheduler *scheduler, const sc_draft_desc *desc,
          er_status *status)
{
    _sc_model *model = g_hash_table_lookup(scheduler->models, desc->model);
    if (!model) {
        er_set(status, ER_UNKNOWN_MODEL, "adapter %s is not configured",
               desc->model);
        return 0;
    }
    const _sc_server *server = NULL;
    if (desc->server) {
        server = g_hash_table_lookup(scheduler->servers, desc->server);
        if (!server || !server->owned) {
            er_set(status, ER_NO_SERVER,
                   "backend server %s is not owned by this instance",
                   desc->server);
            return 0;
        }
    }
    _sc_draft *draft = _sc_draft_create(scheduler, model, desc);
    uint64_t id = draft->id;
    if (_sc_submit_request(draft, server, status) != ER_OK) {
        g_hash_table_remove(scheduler->drafts, &id);
        return 0;
    }
    _sc_run_actions_later(scheduler);
    return id;
}

void
sc_cancel(sc_scheduler *scheduler, uint64_t id)
{
    _sc_draft *draft = _sc_find_draft(scheduler, id);
    if (!draft) {
        return;
    }
    draft->sink = NULL;
    ct_add(CT_CANCELLED, 1);
    lwd_request request = draft->request;
    _sc_feed(scheduler,
             &(lwd_event){.type = LWD_EVENT_CALLER_GONE, .request = request});
    draft = _sc_find_draft(scheduler, id);
    if (draft) {
        _sc_cancel_forward(draft);
        g_hash_table_remove(scheduler->drafts, &id);
        ct_set(CT_OPEN_REQUESTS, g_hash_table_size(scheduler->drafts));
    }
}

void
sc_set_backpressure(sc_scheduler *scheduler, uint64_t id, bool on)
{
    _sc_draft *draft = _sc_find_draft(scheduler, id);
    if (!draft || draft->backpressure == on) {
        return;
    }
    draft->backpressure = on;
    if (!on && draft->forward_attempt) {
        _sc_send_credit(draft);
    }
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, scheduler->attempts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _sc_attempt *attempt = value;
        if (attempt->draft_id == id) {
            be_stream_set_read_stopped(attempt->stream, on);
        }
    }
}
