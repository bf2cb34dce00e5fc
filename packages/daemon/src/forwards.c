#include "forwards.h"

#include <inttypes.h>

struct fw_forwards {
    sc_scheduler *scheduler;
    mm_members *members;
    GHashTable *remotes; /* "INSTANCE/REQUEST" -> _fw_remote */
};

/* A draft taken in for another instance. */
typedef struct _fw_remote {
    dr_sink sink; /* first member */
    fw_forwards *forwards;
    char *key;
    char *instance;
    uint64_t request; /* the other instance's draft */
    uint32_t attempt;
    uint64_t draft; /* ours */
    uint32_t sent;  /* index after the last token sent */
    uint32_t credited;
} _fw_remote;

static void
_fw_remote_free(void *data)
{
    _fw_remote *remote = data;
    g_free(remote->key);
    g_free(remote->instance);
    g_free(remote);
}

static char *
_fw_key(const char *instance, uint64_t request)
{
    return g_strdup_printf("%s/%" PRIu64, instance, request);
}

/* -- private: back to the instance that forwarded ------------------------- */

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
    _fw_remote *remote = (_fw_remote *)sink;
    char *texts[] = {(char *)text};
    Lacewing__Piece piece = LACEWING__PIECE__INIT;
    piece.request = remote->request;
    piece.attempt = remote->attempt;
    piece.index = index;
    piece.n_text = 1;
    piece.text = texts;
    Lacewing__Envelope envelope = LACEWING__ENVELOPE__INIT;
    envelope.body_case = LACEWING__ENVELOPE__BODY_PIECE;
    envelope.piece = &piece;
    mm_send(remote->forwards->members, remote->instance, &envelope);
    remote->sent = index + 1;
    if (remote->sent >= remote->credited + FW_WINDOW_TOKENS) {
        sc_set_held(remote->forwards->scheduler, remote->draft, true);
    }
}

static void
_fw_on_end(dr_sink *sink, const dr_end *end)
{
    _fw_remote *remote = (_fw_remote *)sink;
    _fw_send_final(remote->forwards, remote->instance, remote->request,
                   remote->attempt, end);
    g_hash_table_remove(remote->forwards->remotes, remote->key);
}

static const dr_sink_vt _fw_sink_vt = {
    .token = _fw_on_token,
    .end = _fw_on_end,
};

/* -- private: messages ---------------------------------------------------- */

static void
_fw_drop(fw_forwards *forwards, const char *key)
{
    const _fw_remote *remote = g_hash_table_lookup(forwards->remotes, key);
    if (remote) {
        sc_cancel(forwards->scheduler, remote->draft);
        g_hash_table_remove(forwards->remotes, key);
    }
}

static void
_fw_take_forward(fw_forwards *forwards, const char *instance,
                 const Lacewing__Forward *from)
{
    char *key = _fw_key(instance, from->request);
    _fw_drop(forwards, key);
    _fw_remote *remote = g_new0(_fw_remote, 1);
    remote->sink.vt = &_fw_sink_vt;
    remote->forwards = forwards;
    remote->key = key;
    remote->instance = g_strdup(instance);
    remote->request = from->request;
    remote->attempt = from->attempt;
    remote->sent = from->resume_from;
    remote->credited = from->resume_from;
    er_status status = {0};
    remote->draft =
        sc_submit(forwards->scheduler,
                  &(sc_draft_desc){.sink = &remote->sink,
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
    if (remote->draft) {
        g_hash_table_insert(forwards->remotes, remote->key, remote);
        return;
    }
    _fw_send_final(forwards, instance, from->request, from->attempt,
                   &(dr_end){.code = status.code,
                             .ran = DR_RAN_NOT_RUN,
                             .message = status.message});
    _fw_remote_free(remote);
}

static void
_fw_take_piece(fw_forwards *forwards, const Lacewing__Piece *piece)
{
    for (size_t i = 0; i < piece->n_text; i++) {
        sc_take_piece(forwards->scheduler, piece->request, piece->attempt,
                      piece->index + (uint32_t)i, piece->text[i]);
    }
}

static void
_fw_take_final(fw_forwards *forwards, const Lacewing__Final *final)
{
    er_code code = final->code < ER_NUM ? (er_code) final->code : ER_INTERNAL;
    sc_take_final(forwards->scheduler, final->request, final->attempt,
                  &(dr_end){.code = code,
                            .ran = (dr_ran) final->ran,
                            .tokens = final->tokens,
                            .retry_after_ms = final->retry_after_ms,
                            .finish_reason = final->finish_reason,
                            .message = final->message,
                            .server = final->server});
}

static void
_fw_take_cancel(fw_forwards *forwards, const char *instance,
                const Lacewing__Cancel *cancel)
{
    g_autofree char *key = _fw_key(instance, cancel->request);
    const _fw_remote *remote = g_hash_table_lookup(forwards->remotes, key);
    if (remote && remote->attempt == cancel->attempt) {
        _fw_drop(forwards, key);
    }
}

static void
_fw_take_credit(fw_forwards *forwards, const char *instance,
                const Lacewing__Credit *credit)
{
    g_autofree char *key = _fw_key(instance, credit->request);
    _fw_remote *remote = g_hash_table_lookup(forwards->remotes, key);
    if (!remote) {
        return;
    }
    remote->credited = MAX(remote->credited, credit->tokens);
    if (remote->sent < remote->credited + FW_WINDOW_TOKENS) {
        sc_set_held(forwards->scheduler, remote->draft, false);
    }
}

/* -- public --------------------------------------------------------------- */

fw_forwards *
fw_create(sc_scheduler *scheduler, mm_members *members)
{
    fw_forwards *forwards = g_new0(fw_forwards, 1);
    forwards->scheduler = scheduler;
    forwards->members = members;
    forwards->remotes =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, _fw_remote_free);
    return forwards;
}

void
fw_destroy(fw_forwards *forwards)
{
    if (forwards) {
        g_hash_table_unref(forwards->remotes);
        g_free(forwards);
    }
}

bool
fw_take_message(fw_forwards *forwards, const pe_peer *peer,
                const Lacewing__Envelope *envelope)
{
    switch (envelope->body_case) {
    case LACEWING__ENVELOPE__BODY_FORWARD:
        _fw_take_forward(forwards, peer->instance, envelope->forward);
        return true;
    case LACEWING__ENVELOPE__BODY_PIECE:
        _fw_take_piece(forwards, envelope->piece);
        return true;
    case LACEWING__ENVELOPE__BODY_FINAL:
        _fw_take_final(forwards, envelope->final);
        return true;
    case LACEWING__ENVELOPE__BODY_CANCEL:
        _fw_take_cancel(forwards, peer->instance, envelope->cancel);
        return true;
    case LACEWING__ENVELOPE__BODY_CREDIT:
        _fw_take_credit(forwards, peer->instance, envelope->credit);
        return true;
    default:
        return false;
    }
}

void
fw_take_lost(fw_forwards *forwards, const char *instance)
{
    g_autoptr(GPtrArray) keys = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, forwards->remotes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const _fw_remote *remote = value;
        if (g_str_equal(remote->instance, instance)) {
            g_ptr_array_add(keys, g_strdup(remote->key));
        }
    }
    for (guint i = 0; i < keys->len; i++) {
        _fw_drop(forwards, keys->pdata[i]);
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
fw_query_open(const fw_forwards *forwards)
{
    return g_hash_table_size(forwards->remotes);
}
