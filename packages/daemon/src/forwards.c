#include "forwards.h"

#include <inttypes.h>

struct fw_forwards {
    sc_scheduler *scheduler;
    mm_members *members;
    GHashTable *incoming; /* "INSTANCE/REQUEST" -> _fw_incoming */
};

/* A draft that another instance forwarded here. */
typedef struct _fw_incoming {
    dr_sink sink; /* first member */
    fw_forwards *forwards;
    char *key;
    char *instance;
    uint64_t request; /* the draft's id there */
    uint32_t attempt;
    uint64_t draft;      /* its id here */
    uint32_t next_index; /* index after the last token sent */
    uint32_t credited_tokens;
} _fw_incoming;

static void
_fw_incoming_free(void *data)
{
    _fw_incoming *incoming = data;
    g_free(incoming->key);
    g_free(incoming->instance);
    g_free(incoming);
}

static char *
_fw_key(const char *instance, uint64_t request)
{
    return g_strdup_printf("%s/%" PRIu64, instance, request);
}

/* -- private: answers to the forwarding instance -------------------------- */

static void
_fw_send_final(fw_forwards *forwards, const char *instance, uint64_t request,
               uint32_t attempt, const dr_end *end)
{
    Lacewing__Final final = LACEWING__FINAL__INIT;
    final.request = request;
    final.attempt = attempt;
    final.tokens = end->tokens;
    final.code = end->code;
    final.ran = end->ran;
    final.retry_after_ms = end->retry_after_ms;
    final.finish_reason = end->finish_reason ? (char *)end->finish_reason : "";
    final.message = end->message ? (char *)end->message : "";
    final.server = end->server ? (char *)end->server : "";
    Lacewing__Envelope envelope = LACEWING__ENVELOPE__INIT;
    envelope.body_case = LACEWING__ENVELOPE__BODY_FINAL;
    envelope.final = &final;
    mm_send(forwards->members, instance, &envelope);
}

static void
_fw_on_token(dr_sink *sink, uint32_t index, const char *text)
{
    _fw_incoming *incoming = (_fw_incoming *)sink;
    char *texts[] = {(char *)text};
    Lacewing__Piece piece = LACEWING__PIECE__INIT;
    piece.request = incoming->request;
    piece.attempt = incoming->attempt;
    piece.index = index;
    piece.n_text = 1;
    piece.text = texts;
    Lacewing__Envelope envelope = LACEWING__ENVELOPE__INIT;
    envelope.body_case = LACEWING__ENVELOPE__BODY_PIECE;
    envelope.piece = &piece;
    incoming->next_index = index + 1;
    if (incoming->next_index >= incoming->credited_tokens + FW_WINDOW_TOKENS) {
        sc_set_backpressure(incoming->forwards->scheduler, incoming->draft,
                            true);
    }
    /* Last: if the send loses the link, it frees incoming. */
    mm_send(incoming->forwards->members, incoming->instance, &envelope);
}

static void
_fw_on_end(dr_sink *sink, const dr_end *end)
{
    _fw_incoming *incoming = (_fw_incoming *)sink;
    /* Out of the table first: a send that loses the link frees what is in it.
     */
    g_hash_table_steal(incoming->forwards->incoming, incoming->key);
    _fw_send_final(incoming->forwards, incoming->instance, incoming->request,
                   incoming->attempt, end);
    _fw_incoming_free(incoming);
}

static const dr_sink_vt _fw_sink_vt = {
    .token = _fw_on_token,
    .end = _fw_on_end,
};

/* -- private: messages ---------------------------------------------------- */

static void
_fw_cancel_incoming(fw_forwards *forwards, const char *key)
{
    const _fw_incoming *incoming =
        g_hash_table_lookup(forwards->incoming, key);
    if (incoming) {
        sc_cancel(forwards->scheduler, incoming->draft);
        g_hash_table_remove(forwards->incoming, key);
    }
}

static void
_fw_receive_forward(fw_forwards *forwards, const char *instance,
                    const Lacewing__Forward *from)
{
    char *key = _fw_key(instance, from->request);
    _fw_cancel_incoming(forwards, key);
    _fw_incoming *incoming = g_new0(_fw_incoming, 1);
    incoming->sink.vt = &_fw_sink_vt;
    incoming->forwards = forwards;
    incoming->key = key;
    incoming->instance = g_strdup(instance);
    incoming->request = from->request;
    incoming->attempt = from->attempt;
    incoming->next_index = from->resume_from;
    incoming->credited_tokens = from->resume_from;
    er_status status = {0};
    incoming->draft =
        sc_submit(forwards->scheduler,
                  &(sc_draft_desc){.sink = &incoming->sink,
                                   .model = from->model,
                                   .prompt = from->prompt,
                                   .team = from->team,
                                   .team_weight = from->team_weight,
                                   .operation = from->operation,
                                   .prompt_tokens = from->prompt_tokens,
                                   .max_tokens = from->max_tokens,
                                   .resume_from = from->resume_from,
                                   .time_left_ms = from->time_left_ms,
                                   .fingerprint = from->fingerprint,
                                   .prefix = from->prefix,
                                   .server = from->server},
                  &status);
    if (incoming->draft) {
        g_hash_table_insert(forwards->incoming, incoming->key, incoming);
        return;
    }
    _fw_send_final(forwards, instance, from->request, from->attempt,
                   &(dr_end){.code = status.code,
                             .ran = DR_RAN_NOT_RUN,
                             .message = status.message});
    _fw_incoming_free(incoming);
}

static void
_fw_receive_piece(fw_forwards *forwards, const Lacewing__Piece *piece)
{
    for (size_t i = 0; i < piece->n_text; i++) {
        sc_receive_piece(forwards->scheduler, piece->request, piece->attempt,
                         piece->index + (uint32_t)i, piece->text[i]);
    }
}

static void
_fw_receive_final(fw_forwards *forwards, const Lacewing__Final *final)
{
    er_code code = final->code < ER_NUM ? (er_code) final->code : ER_INTERNAL;
    sc_receive_final(forwards->scheduler, final->request, final->attempt,
                     &(dr_end){.code = code,
                               .ran = (dr_ran) final->ran,
                               .tokens = final->tokens,
                               .retry_after_ms = final->retry_after_ms,
                               .finish_reason = final->finish_reason,
                               .message = final->message,
                               .server = final->server});
}

static void
_fw_receive_cancel(fw_forwards *forwards, const char *instance,
                   const Lacewing__Cancel *cancel)
{
    g_autofree char *key = _fw_key(instance, cancel->request);
    const _fw_incoming *incoming =
        g_hash_table_lookup(forwards->incoming, key);
    if (incoming && incoming->attempt == cancel->attempt) {
        _fw_cancel_incoming(forwards, key);
    }
}

static void
_fw_receive_credit(fw_forwards *forwards, const char *instance,
                   const Lacewing__Credit *credit)
{
    g_autofree char *key = _fw_key(instance, credit->request);
    _fw_incoming *incoming = g_hash_table_lookup(forwards->incoming, key);
    if (!incoming) {
        return;
    }
    incoming->credited_tokens = MAX(incoming->credited_tokens, credit->tokens);
    if (incoming->next_index < incoming->credited_tokens + FW_WINDOW_TOKENS) {
        sc_set_backpressure(forwards->scheduler, incoming->draft, false);
    }
}

/* -- public --------------------------------------------------------------- */

fw_forwards *
fw_create(sc_scheduler *scheduler, mm_members *members)
{
    fw_forwards *forwards = g_new0(fw_forwards, 1);
    forwards->scheduler = scheduler;
    forwards->members = members;
    forwards->incoming = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                               _fw_incoming_free);
    return forwards;
}

void
fw_destroy(fw_forwards *forwards)
{
    if (forwards) {
        g_hash_table_unref(forwards->incoming);
        g_free(forwards);
    }
}

bool
fw_receive_message(fw_forwards *forwards, const pe_peer *peer,
                   const Lacewing__Envelope *envelope)
{
    switch (envelope->body_case) {
    case LACEWING__ENVELOPE__BODY_FORWARD:
        _fw_receive_forward(forwards, peer->instance, envelope->forward);
        return true;
    case LACEWING__ENVELOPE__BODY_PIECE:
        _fw_receive_piece(forwards, envelope->piece);
        return true;
    case LACEWING__ENVELOPE__BODY_FINAL:
        _fw_receive_final(forwards, envelope->final);
        return true;
    case LACEWING__ENVELOPE__BODY_CANCEL:
        _fw_receive_cancel(forwards, peer->instance, envelope->cancel);
        return true;
    case LACEWING__ENVELOPE__BODY_CREDIT:
        _fw_receive_credit(forwards, peer->instance, envelope->credit);
        return true;
    default:
        return false;
    }
}

void
fw_handle_link_lost(fw_forwards *forwards, const char *instance)
{
    g_autoptr(GPtrArray) keys = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, forwards->incoming);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const _fw_incoming *incoming = value;
        if (g_str_equal(incoming->instance, instance)) {
            g_ptr_array_add(keys, g_strdup(incoming->key));
        }
    }
    for (guint i = 0; i < keys->len; i++) {
        _fw_cancel_incoming(forwards, keys->pdata[i]);
    }
}

bool
fw_send(fw_forwards *forwards, const sc_forward *from)
{
    Lacewing__Forward forward = LACEWING__FORWARD__INIT;
    forward.request = from->draft;
    forward.attempt = from->attempt;
    forward.server = (char *)from->server;
    forward.model = (char *)from->model;
    forward.prompt = (char *)from->prompt;
    forward.max_tokens = from->max_tokens;
    forward.resume_from = from->resume_from;
    forward.time_left_ms = from->time_left_ms;
    forward.team = (char *)from->team;
    forward.team_weight = from->team_weight;
    forward.operation = from->operation;
    forward.prompt_tokens = from->prompt_tokens;
    forward.fingerprint = from->fingerprint;
    forward.prefix = from->prefix;
    Lacewing__Envelope envelope = LACEWING__ENVELOPE__INIT;
    envelope.body_case = LACEWING__ENVELOPE__BODY_FORWARD;
    envelope.forward = &forward;
    return mm_send(forwards->members, from->instance, &envelope);
}

void
fw_send_cancel(fw_forwards *forwards, uint64_t draft, uint32_t attempt,
               const char *instance)
{
    Lacewing__Cancel cancel = LACEWING__CANCEL__INIT;
    cancel.request = draft;
    cancel.attempt = attempt;
    Lacewing__Envelope envelope = LACEWING__ENVELOPE__INIT;
    envelope.body_case = LACEWING__ENVELOPE__BODY_CANCEL;
    envelope.cancel = &cancel;
    mm_send(forwards->members, instance, &envelope);
}

void
fw_send_credit(fw_forwards *forwards, uint64_t draft, uint32_t attempt,
               const char *instance, uint32_t tokens)
{
    (void)attempt;
    Lacewing__Credit credit = LACEWING__CREDIT__INIT;
    credit.request = draft;
    credit.tokens = tokens;
    Lacewing__Envelope envelope = LACEWING__ENVELOPE__INIT;
    envelope.body_case = LACEWING__ENVELOPE__BODY_CREDIT;
    envelope.credit = &credit;
    mm_send(forwards->members, instance, &envelope);
}

uint32_t
fw_query_open_drafts(const fw_forwards *forwards)
{
    return g_hash_table_size(forwards->incoming);
}
