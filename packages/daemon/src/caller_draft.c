/* Callers' drafts: parses requests, writes event streams and full answers. */
#include "caller_private.h"

#include "lacewing/counter.h"
#include "lacewing/hash.h"
#include <inttypes.h>
#include <string.h>

#define _CA_BYTES_PER_TOKEN 4 /* estimates the tokens of a prompt */
#define _CA_PREFIX_BYTES 256  /* start of the prompt in the prefix hash */
/* Back pressure on the draft begins above the high mark of unwritten bytes and
   ends below the low mark. */
#define _CA_QUEUE_HIGH_BYTES (256 * 1024)
#define _CA_QUEUE_LOW_BYTES (64 * 1024)
#define _CA_US_PER_S 1000000 /* not used */

/* JSON of a streamed chunk and of a full answer, in which the two dialects
   differ. */
typedef struct _ca_dialect {
    const char *id_prefix;
    const char *chunk_object;
    const char *full_object;
    const char *chunk_open; /* JSON before the quoted text */
    const char *chunk_close;
    const char *full_open;
    const char *full_close;
} _ca_dialect;

static const _ca_dialect _ca_completion_dialect = {
    .id_prefix = "cmpl-",
    .chunk_object = "text_completion",
    .full_object = "text_completion",
    .chunk_open = "\"text\":",
    .chunk_close = "",
    .full_open = "\"text\":",
    .full_close = "",
};

static const _ca_dialect _ca_chat_dialect = {
    .id_prefix = "chatcmpl-",
    .chunk_object = "chat.completion.chunk",
    .full_object = "chat.completion",
    .chunk_open = "\"delta\":{\"role\":\"assistant\",\"content\":",
    .chunk_close = "}",
    .full_open = "\"message\":{\"role\":\"assistant\",\"content\":",
    .full_close = "}",
};

/* One draft of a caller; as a sink, writes the HTTP answer. */
typedef struct _ca_draft {
    dr_sink sink; /* first member */
    _ca_request *request;
    const _ca_dialect *dialect;
    uint64_t draft_id;
    char *model;
    char *chunk_head; /* JSON of each event before its choices */
    GString *text;    /* if not streamed: the answer so far */
    GString *event;   /* buffer for one event */
    bool stream;
    bool stream_started; /* the response headers are set */
    bool backpressure;   /* set in the scheduler */
    uint32_t prompt_tokens;
    uint32_t max_tokens;
    uint32_t first_token_ms; /* 0: no token yet */
    uint64_t queued_bytes;   /* handed to libsoup, not yet written */
    gulong written_handler;
} _ca_draft;

/* -- private: helpers ----------------------------------------------------- */

static void
_ca_draft_free(_ca_draft *draft)
{
    if (draft->written_handler) {
        g_signal_handler_disconnect(draft->request->message,
                                    draft->written_handler);
    }
    _ca_request_free(draft->request);
    g_string_free(draft->text, TRUE);
    g_string_free(draft->event, TRUE);
    g_free(draft->model);
    g_free(draft->chunk_head);
    g_free(draft);
}

/* Returns the JSON of an event or full answer up to its choices. */
static char *
_ca_format_head(const _ca_draft *draft, const char *object)
{
    g_autoptr(GString) head = g_string_new("{\"id\":\"");
    g_string_append_printf(
        head, "%s%s\",\"object\":\"%s\",\"created\":%" PRIu64 ",\"model\":",
        draft->dialect->id_prefix, draft->request->id, object,
        tm_query_wall_ms() / 1000);
    hp_append_quoted(head, draft->model);
    return g_strdup(head->str);
}

/* -- private: writing a stream -------------------------------------------- */

static void
_ca_on_written(SoupServerMessage *message, guint bytes, void *data)
{
    (void)message;
    _ca_draft *draft = data;
    draft->queued_bytes -= MIN(bytes, draft->queued_bytes);
    if (draft->backpressure && draft->queued_bytes < _CA_QUEUE_LOW_BYTES) {
        draft->backpressure = false;
        sc_set_backpressure(draft->request->server->scheduler, draft->draft_id,
                            false);
    }
}

static void
_ca_start_stream(_ca_draft *draft)
{
    SoupServerMessage *message = draft->request->message;
    SoupMessageHeaders *headers =
        soup_server_message_get_response_headers(message);
    draft->stream_started = true;
    draft->chunk_head = _ca_format_head(draft, draft->dialect->chunk_object);
    soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
    soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
    soup_message_headers_set_content_type(headers, "text/event-stream", NULL);
    soup_message_headers_replace(headers, "Cache-Control", "no-store");
    soup_message_body_set_accumulate(
        soup_server_message_get_response_body(message), FALSE);
    draft->written_handler = g_signal_connect(
        message, "wrote-body-data", G_CALLBACK(_ca_on_written), draft);
}

static void
_ca_write(_ca_draft *draft, const char *bytes, size_t size)
{
    SoupServerMessage *message = draft->request->message;
    soup_message_body_append(soup_server_message_get_response_body(message),
                             SOUP_MEMORY_COPY, bytes, size);
    draft->queued_bytes += size;
    if (!draft->backpressure && draft->queued_bytes > _CA_QUEUE_HIGH_BYTES) {
        draft->backpressure = true;
        sc_set_backpressure(draft->request->server->scheduler, draft->draft_id,
                            true);
    }
    soup_server_message_unpause(message);
}

static void
_ca_write_chunk(_ca_draft *draft, const char *text, const char *finish)
{
    GString *event = draft->event;
    g_string_assign(event, "data: ");
    g_string_append(event, draft->chunk_head);
    g_string_append(event, ",\"choices\":[{\"index\":0,");
    g_string_append(event, draft->dialect->chunk_open);
    hp_append_quoted(event, text);
    g_string_append(event, draft->dialect->chunk_close);
    g_string_append(event, ",\"finish_reason\":");
    if (finish) {
        hp_append_quoted(event, finish);
    }
    else {
        g_string_append(event, "null");
    }
    g_string_append(event, "}]}\n\n");
    _ca_write(draft, event->str, event->len);
}

static void
_ca_close_stream(_ca_draft *draft)
{
    SoupServerMessage *message = draft->request->message;
    soup_message_body_complete(soup_server_message_get_response_body(message));
    soup_server_message_unpause(message);
}

/* -- private: the sink ---------------------------------------------------- */

static void
_ca_on_token(dr_sink *sink, uint32_t index, const char *text)
{
    (void)index;
    _ca_draft *draft = (_ca_draft *)sink;
    ct_add(CT_TOKENS, 1);
    /* 0 means that there is no token yet, so the time is at least 1. */
    if (!draft->first_token_ms) {
        draft->first_token_ms = _ca_request_elapsed_ms(draft->request) + 1;
        ct_add(CT_FIRST_TOKEN_MS, draft->first_token_ms);
    }
    if (!draft->stream) {
        g_string_append(draft->text, text);
        return;
    }
    if (!draft->stream_started) {
        _ca_start_stream(draft);
    }
    _ca_write_chunk(draft, text, NULL);
}

static void
_ca_send_full_answer(_ca_draft *draft, const dr_end *end)
{
    g_autofree char *head =
        _ca_format_head(draft, draft->dialect->full_object);
    g_autoptr(GString) body = g_string_new(head);
    g_string_append(body, ",\"choices\":[{\"index\":0,");
    g_string_append(body, draft->dialect->full_open);
    hp_append_quoted(body, draft->text->str);
    g_string_append(body, draft->dialect->full_close);
    g_string_append(body, ",\"finish_reason\":");
    hp_append_quoted(body, end->finish_reason ? end->finish_reason : "stop");
    g_string_append_printf(body,
                           "}],\"usage\":{\"prompt_tokens\":%u,"
                           "\"completion_tokens\":%u,\"total_tokens\":%u}}",
                           draft->prompt_tokens, end->tokens,
                           draft->prompt_tokens + end->tokens);
    hp_text(draft->request->message, SOUP_STATUS_OK, "application/json",
            body->str);
    soup_server_message_unpause(draft->request->message);
}

static void
_ca_send_stream_end(_ca_draft *draft, const dr_end *end)
{
    if (!draft->stream_started) {
        _ca_start_stream(draft);
    }
    _ca_write_chunk(draft, "",
                    end->finish_reason ? end->finish_reason : "stop");
    static const char last[] = "data: [DONE]\n\n";
    _ca_write(draft, last, strlen(last));
    _ca_close_stream(draft);
}

static void
_ca_send_error(_ca_draft *draft, const dr_end *end)
{
    hp_refusal refusal = {.code = end->code,
                          .ran = end->ran,
                          .retry_after_ms = end->retry_after_ms,
                          .message = end->message};
    if (!draft->stream_started) {
        hp_refuse(draft->request->message, &refusal);
        soup_server_message_unpause(draft->request->message);
        return;
    }
    ct_count_refused(end->code);
    g_autofree char *error = hp_format_error(&refusal);
    g_autofree char *event = g_strdup_printf("data: %s\n\n", error);
    _ca_write(draft, event, strlen(event));
    _ca_close_stream(draft);
}

static void
_ca_draft_record(const _ca_draft *draft, const dr_end *end)
{
    ex_entry entry = {.code = end->code,
                      .ran = end->ran,
                      .tokens = end->tokens,
                      .attempts = end->attempts,
                      .first_token_ms = draft->first_token_ms};
    g_strlcpy(entry.model, draft->model, sizeof(entry.model));
    g_strlcpy(entry.server, end->server ? end->server : "",
              sizeof(entry.server));
    _ca_request_record(draft->request, &entry);
}

static void
_ca_on_end(dr_sink *sink, const dr_end *end)
{
    _ca_draft *draft = (_ca_draft *)sink;
    _ca_draft_record(draft, end);
    if (end->code != ER_OK) {
        _ca_send_error(draft, end);
    }
    else if (draft->stream) {
        _ca_send_stream_end(draft, end);
    }
    else {
        _ca_send_full_answer(draft, end);
    }
    _ca_draft_free(draft);
}

static const dr_sink_vt _ca_sink_vt = {
    .token = _ca_on_token,
    .end = _ca_on_end,
};

/* Cancels the draft, as the caller's connection has ended. */
static void
_ca_on_disconnect(_ca_request *request)
{
    _ca_draft *draft = request->user_data;
    sc_cancel(request->server->scheduler, draft->draft_id);
    _ca_draft_record(draft,
                     &(dr_end){.code = ER_CANCELLED, .ran = DR_RAN_UNKNOWN});
    soup_server_message_set_status(request->message,
                                   er_query_http(ER_CANCELLED), NULL);
    if (draft->stream_started) {
        soup_message_body_complete(
            soup_server_message_get_response_body(request->message));
    }
    soup_server_message_unpause(request->message);
    _ca_draft_free(draft);
}

/* -- private: parsing ----------------------------------------------------- */

/* Returns the draft operation that X-Operation names, else the first one, and
   its position in the configuration; NULL if there is none. */
static const dc_operation *
_ca_find_draft_operation(const ca_server *server, SoupServerMessage *message,
                         uint32_t *position)
{
    const char *name = soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), "X-Operation");
    for (uint32_t i = 0; i < dc_query_count(server->config, DC_OPERATION);
         i++) {
        const dc_operation *operation =
            dc_query_operation_at(server->config, i);
        if (operation->kind == DC_OPERATION_DRAFT &&
            (!name || strcmp(operation->name, name) == 0)) {
            *position = i;
            return operation;
        }
    }
    return NULL;
}

static bool
_ca_append_message(JsonArray *messages, guint at, GString *prompt)
{
    JsonNode *node = json_array_get_element(messages, at);
    if (!JSON_NODE_HOLDS_OBJECT(node)) {
        return false;
    }
    JsonObject *object = json_node_get_object(node);
    const char *role =
        json_object_get_string_member_with_default(object, "role", "user");
    const char *content =
        json_object_get_string_member_with_default(object, "content", NULL);
    if (!content) {
        return false;
    }
    g_string_append_printf(prompt, "%s: %s\n", role, content);
    return true;
}

/* Returns the prompt, for chat all messages as "ROLE: CONTENT" lines; NULL if
   it is missing or malformed. */
static char *
_ca_parse_prompt(JsonObject *body, const _ca_dialect *dialect)
{
    if (dialect == &_ca_completion_dialect) {
        return g_strdup(
            json_object_get_string_member_with_default(body, "prompt", NULL));
    }
    JsonNode *node = json_object_get_member(body, "messages");
    if (!node || !JSON_NODE_HOLDS_ARRAY(node)) {
        return NULL;
    }
    JsonArray *messages = json_node_get_array(node);
    g_autoptr(GString) prompt = g_string_new(NULL);
    for (guint i = 0; i < json_array_get_length(messages); i++) {
        if (!_ca_append_message(messages, i, prompt)) {
            return NULL;
        }
    }
    return prompt->len ? g_strdup(prompt->str) : NULL;
}

/* Returns ADAPTER@VERSION for the model that the body names. If it names no
   version, a hash of the request id picks one by the configured shares.
   Returns NULL after refusing the request. */
static char *
_ca_resolve_model(_ca_request *request, JsonObject *body)
{
    const char *name =
        json_object_get_string_member_with_default(body, "model", NULL);
    if (!name) {
        _ca_refuse(request->message, ER_BAD_REQUEST, "model is missing");
        return NULL;
    }
    uint32_t share_position =
        (uint32_t)(hs_u64(request->id) % DC_SHARE_TOTAL_PCT);
    const dc_adapter *adapter = NULL;
    const char *version = NULL;
    er_status status = {0};
    if (dc_query_resolve(request->server->config, name, share_position,
                         &adapter, &version, &status) != ER_OK) {
        _ca_refuse(request->message, ER_UNKNOWN_MODEL, status.message);
        return NULL;
    }
    if (strcmp(adapter->team, request->team) != 0) {
        _ca_refuse(request->message, ER_FORBIDDEN,
                   "the adapter belongs to another team");
        return NULL;
    }
    return g_strdup_printf("%s@%s", adapter->name, version);
}

static bool
_ca_parse_draft(_ca_draft *draft, JsonObject *body,
                const dc_operation *operation)
{
    _ca_request *request = draft->request;
    int64_t max_tokens = json_object_get_int_member_with_default(
        body, "max_tokens", operation->max_tokens);
    if (max_tokens < 1 || max_tokens > operation->max_tokens) {
        g_autofree char *text = g_strdup_printf("max_tokens must be 1 to %u",
                                                operation->max_tokens);
        _ca_refuse(request->message, ER_BAD_REQUEST, text);
        return false;
    }
    draft->max_tokens = (uint32_t)max_tokens;
    draft->stream =
        json_object_get_boolean_member_with_default(body, "stream", FALSE);
    draft->model = _ca_resolve_model(request, body);
    return draft->model != NULL;
}

/* -- private: submission -------------------------------------------------- */

/* Hashes the model and the first prompt_bytes of the prompt. */
static uint64_t
_ca_hash_prompt(const char *model, const char *prompt, size_t prompt_bytes)
{
    g_autoptr(GString) text = g_string_new(model);
    g_string_append_c(text, '\n');
    g_string_append_len(text, prompt, (gssize)prompt_bytes);
    return hs_u64_bytes(text->str, text->len);
}

static void
_ca_submit_draft(_ca_draft *draft, const char *prompt, uint32_t operation)
{
    _ca_request *request = draft->request;
    size_t prompt_bytes = strlen(prompt);
    draft->prompt_tokens = (uint32_t)(prompt_bytes / _CA_BYTES_PER_TOKEN) + 1;
    er_status status = {0};
    draft->draft_id = sc_submit(
        request->server->scheduler,
        &(sc_draft_desc){
            .sink = &draft->sink,
            .model = draft->model,
            .prompt = prompt,
            .team = request->team,
            .team_weight = request->team_weight,
            .operation = operation,
            .prompt_tokens = draft->prompt_tokens,
            .max_tokens = draft->max_tokens,
            .time_left_ms = request->deadline_ms,
            .fingerprint = _ca_hash_prompt(draft->model, prompt, prompt_bytes),
            .prefix = _ca_hash_prompt(draft->model, prompt,
                                      MIN(prompt_bytes, _CA_PREFIX_BYTES))},
        &status);
    if (!draft->draft_id) {
        _ca_refuse(request->message, status.code, status.message);
        _ca_draft_free(draft);
        return;
    }
    request->user_data = draft;
    _ca_request_defer(request, _ca_on_disconnect);
}

static void
_ca_handle_draft(ca_server *server, SoupServerMessage *message,
                 const _ca_dialect *dialect)
{
    _ca_request *request = _ca_request_create(server, message);
    if (!request) {
        return;
    }
    uint32_t position = 0;
    const dc_operation *operation =
        _ca_find_draft_operation(server, message, &position);
    _ca_draft *draft = g_new0(_ca_draft, 1);
    draft->sink.vt = &_ca_sink_vt;
    draft->request = request;
    draft->dialect = dialect;
    draft->text = g_string_new(NULL);
    draft->event = g_string_new(NULL);
    g_autoptr(JsonParser) parser = json_parser_new();
    g_autofree char *prompt = NULL;
    JsonObject *body = NULL;
    if (!operation) {
        _ca_refuse(message, ER_UNKNOWN_OPERATION,
                   "no configured draft operation matches X-Operation");
    }
    else if (_ca_request_set_deadline(request, operation) &&
             (body = _ca_parse_body(message, parser))) {
        prompt = _ca_parse_prompt(body, dialect);
        if (!prompt || !*prompt) {
            _ca_refuse(message, ER_BAD_REQUEST,
                       "the prompt (messages for chat) is missing, empty or "
                       "malformed");
        }
        else if (_ca_parse_draft(draft, body, operation)) {
            _ca_submit_draft(draft, prompt, position);
            return;
        }
    }
    _ca_draft_free(draft);
}

/* -- handlers ------------------------------------------------------------- */

void
_ca_on_completions(SoupServer *soup, SoupServerMessage *message,
                   const char *path, GHashTable *query, void *data)
{
    (void)soup;
    (void)path;
    (void)query;
    _ca_handle_draft(data, message, &_ca_completion_dialect);
}

void
_ca_on_chat(SoupServer *soup, SoupServerMessage *message, const char *path,
            GHashTable *query, void *data)
{
    (void)soup;
    (void)path;
    (void)query;
    _ca_handle_draft(data, message, &_ca_chat_dialect);
}
