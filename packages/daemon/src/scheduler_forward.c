/* Forwards of drafts to the owners of other servers, and their answers. */
#include "scheduler_private.h"

#include "lacewing/counter.h"

/* Tokens of a forwarded draft between two credits. Less than FW_WINDOW_TOKENS
   (forwards.h), after which the sender waits for a credit. */
#define _SC_CREDIT_TOKENS 64
/* The owner refuses a draft itself at the deadline; its refusal gets this long
   to arrive. */
#define _SC_DEADLINE_GRACE_US UINT64_C(500000)

/* -- private: to other instances ------------------------------------------ */

/* Returns 0 for a draft without a deadline, and at least 1 for one with a
   deadline, also when it has passed. */
static uint32_t
_sc_time_left_ms(const _sc_draft *draft)
{
    if (!draft->deadline_us) {
        return 0;
    }
    uint64_t now_us = _sc_now_us(draft->scheduler);
    if (draft->deadline_us <= now_us + 1000) {
        return 1;
    }
    return (uint32_t)((draft->deadline_us - now_us) / 1000);
}

static bool
_sc_send_forward(_sc_draft *draft, const _sc_server *server,
                 const char *instance)
{
    sc_scheduler *scheduler = draft->scheduler;
    return scheduler->callbacks->send_forward(
        &(sc_forward){.draft = draft->id,
                      .attempt = draft->attempts,
                      .instance = instance,
                      .server = server->name,
                      .model = draft->model->name,
                      .prompt = draft->prompt,
                      .team = draft->team,
                      .team_weight = draft->team_weight,
                      .operation = draft->operation,
                      .prompt_tokens = draft->prompt_tokens,
                      .max_tokens = draft->max_tokens,
                      .resume_from = draft->next_index,
                      .time_left_ms = _sc_time_left_ms(draft),
                      .fingerprint = draft->fingerprint,
                      .prefix = draft->prefix},
        scheduler->user_data);
}

void
_sc_act_forward(sc_scheduler *scheduler, const lwd_action *action)
{
    _sc_draft *draft = _sc_find_draft(scheduler, action->tag);
    const _sc_server *server = _sc_find_server(scheduler, action->server);
    const char *instance = _sc_instance_name(scheduler, action->instance);
    if (!draft) {
        return;
    }
    draft->attempts++;
    if (server && instance && _sc_send_forward(draft, server, instance)) {
        draft->forward_attempt = draft->attempts;
        g_free(draft->forward_instance);
        draft->forward_instance = g_strdup(instance);
        g_strlcpy(draft->last_server, server->name,
                  sizeof(draft->last_server));
        ct_add(CT_FORWARDED, 1);
        return;
    }
    lwd_feed(scheduler->policy, _sc_now_us(scheduler),
             &(lwd_event){.type = LWD_EVENT_FORWARD_FAILED,
                          .request = draft->request,
                          .reason = ER_CONNECTION,
                          .tokens = draft->next_index,
                          .failure = LWD_FAILURE_NOT_STARTED});
}

void
_sc_cancel_forward(_sc_draft *draft)
{
    sc_scheduler *scheduler = draft->scheduler;
    if (draft->forward_attempt) {
        scheduler->callbacks->cancel_forward(draft->id, draft->forward_attempt,
                                             draft->forward_instance,
                                             scheduler->user_data);
        draft->forward_attempt = 0;
    }
}

void
_sc_act_cancel_forward(sc_scheduler *scheduler, const lwd_action *action)
{
    _sc_draft *draft = _sc_find_draft(scheduler, action->tag);
    if (draft) {
        _sc_cancel_forward(draft);
    }
}

void
_sc_send_credit(const _sc_draft *draft)
{
    sc_scheduler *scheduler = draft->scheduler;
    scheduler->callbacks->send_credit(draft->id, draft->forward_attempt,
                                      draft->forward_instance,
                                      draft->next_index, scheduler->user_data);
}

/* -- public: from other instances ----------------------------------------- */

/* Lets the policy retry the draft or refuse it. */
static void
_sc_forward_failed(_sc_draft *draft, const dr_end *end)
{
    draft->may_have_run = draft->may_have_run || end->ran != DR_RAN_NOT_RUN;
    lwd_failure failure = end->ran == DR_RAN_NOT_RUN ? LWD_FAILURE_NOT_STARTED
                                                     : LWD_FAILURE_BROKEN;
    _sc_feed(draft->scheduler,
             &(lwd_event){.type = LWD_EVENT_FORWARD_FAILED,
                          .request = draft->request,
                          .reason = end->code,
                          .tokens = draft->next_index,
                          .retry_after_ms = end->retry_after_ms,
                          .failure = failure});
}

void
sc_receive_piece(sc_scheduler *scheduler, uint64_t id, uint32_t attempt,
                 uint32_t index, const char *text)
{
    _sc_draft *draft = _sc_find_draft(scheduler, id);
    if (!draft || draft->forward_attempt != attempt) {
        ct_add(CT_PIECES_DROPPED, 1);
        return;
    }
    if (index > draft->next_index) { /* a piece was lost on the way */
        _sc_cancel_forward(draft);
        _sc_forward_failed(
            draft, &(dr_end){.code = ER_CONNECTION, .ran = DR_RAN_UNKNOWN});
        return;
    }
    draft->may_have_run = true;
    _sc_deliver_token(draft, index, text);
    if (!draft->backpressure && draft->next_index % _SC_CREDIT_TOKENS == 0) {
        _sc_send_credit(draft);
    }
}

void
sc_receive_final(sc_scheduler *scheduler, uint64_t id, uint32_t attempt,
                 const dr_end *end)
{
    _sc_draft *draft = _sc_find_draft(scheduler, id);
    if (!draft || draft->forward_attempt != attempt) {
        ct_add(CT_PIECES_DROPPED, 1);
        return;
    }
    draft->forward_attempt = 0;
    /* If the numbers of tokens differ, some were lost on the way. */
    if (end->code != ER_OK || end->tokens != draft->next_index) {
        _sc_forward_failed(draft, end);
        return;
    }
    lwd_request request = draft->request;
    _sc_feed(scheduler, &(lwd_event){.type = LWD_EVENT_FORWARD_FINISHED,
                                     .request = request,
                                     .tokens = end->tokens});
    draft = _sc_find_draft(scheduler, id);
    if (draft) {
        _sc_end_draft(draft, end);
    }
}

/* Returns the ids of the forwarded drafts for which matches() is true. */
static GArray *
_sc_find_forwards(sc_scheduler *scheduler,
                  bool (*matches)(const _sc_draft *draft, const void *data),
                  const void *data)
{
    GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, scheduler->drafts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const _sc_draft *draft = value;
        if (draft->forward_attempt && matches(draft, data)) {
            g_array_append_val(ids, draft->id);
        }
    }
    return ids;
}

static void
_sc_fail_forwards(sc_scheduler *scheduler, const GArray *ids, er_code code)
{
    for (guint i = 0; i < ids->len; i++) {
        _sc_draft *draft =
            _sc_find_draft(scheduler, g_array_index(ids, uint64_t, i));
        if (draft && draft->forward_attempt) {
            _sc_cancel_forward(draft);
            _sc_forward_failed(draft,
                               &(dr_end){.code = code, .ran = DR_RAN_UNKNOWN});
        }
    }
}

static bool
_sc_is_forwarded_to(const _sc_draft *draft, const void *instance)
{
    return g_strcmp0(draft->forward_instance, instance) == 0;
}

void
sc_handle_link_lost(sc_scheduler *scheduler, const char *instance)
{
    g_autoptr(GArray) ids =
        _sc_find_forwards(scheduler, _sc_is_forwarded_to, instance);
    _sc_fail_forwards(scheduler, ids, ER_CONNECTION);
}

static bool
_sc_is_overdue(const _sc_draft *draft, const void *now_us)
{
    return draft->deadline_us && draft->deadline_us + _SC_DEADLINE_GRACE_US <
                                     *(const uint64_t *)now_us;
}

void
_sc_check_forwards(sc_scheduler *scheduler)
{
    uint64_t now_us = _sc_now_us(scheduler);
    g_autoptr(GArray) ids =
        _sc_find_forwards(scheduler, _sc_is_overdue, &now_us);
    _sc_fail_forwards(scheduler, ids, ER_DEADLINE);
}
