/* Completions. The answer to each is a stream of server-sent events. */
#include "backend_private.h"

#include "event_stream.h"
#include "lacewing/json_depth.h"
#include <string.h>

#define _BE_READ_BYTES 16384      /* per read */
#define _BE_ERROR_BYTES_MAX 65536 /* of an error body */
#define _BE_US_PER_MS UINT64_C(1000)

struct be_stream {
    be_server *server;
    SoupMessage *message;
    GInputStream *body;
    GCancellable *cancel;
    se_parser *parser;
    JsonParser *json;
    tm_timer stall_timer;
    uint64_t last_progress_us; /* time of the request or the last read */
    uint64_t timeout_us;       /* until the next read */
    char *attempt;             /* ID */
    char *model;
    uint32_t next_index;
    bool any_token;
    bool read_stopped;
    bool reading;
    bool ended;
    be_token_callback on_token;
    be_end_callback on_end;
    void *user_data;
    char buffer[_BE_READ_BYTES];
};

static void _be_stream_read(be_stream *stream);

static void
_be_stream_clear(void *data)
{
    be_stream *stream = data;
    g_clear_object(&stream->message);
    g_clear_object(&stream->body);
    g_object_unref(stream->cancel);
    se_destroy(stream->parser);
    g_object_unref(stream->json);
    g_free(stream->attempt);
    g_free(stream->model);
}

/* The user of the stream and each asynchronous operation hold a reference. */
static be_stream *
_be_stream_ref(be_stream *stream)
{
    return g_rc_box_acquire(stream);
}

static void
_be_stream_unref(be_stream *stream)
{
    g_rc_box_release_full(stream, _be_stream_clear);
}

/* Marks the stream as ended. No callback runs after this. */
static void
_be_stream_deactivate(be_stream *stream)
{
    stream->ended = true;
    tm_destroy_timer(stream->server->timers, stream->stall_timer);
    g_hash_table_remove(stream->server->streams, stream);
    g_cancellable_cancel(stream->cancel);
}

static void
_be_stream_end(be_stream *stream, be_end end, const char *finish_reason,
               const char *error_text)
{
    if (stream->ended) {
        return;
    }
    _be_stream_deactivate(stream);
    be_result result = {.end = end,
                        .tokens = stream->next_index,
                        .finish_reason = finish_reason};
    if (end != BE_END_COMPLETED) {
        er_set(&result.status, ER_SERVER_FAILED, "%s",
               error_text ? error_text : "");
    }
    _be_stream_ref(stream);
    stream->on_end(stream, &result, stream->user_data);
    _be_stream_unref(stream);
}

/* -- private: broken streams and the health check of their server --------- */

typedef struct _be_health_check {
    be_stream *stream;
    be_end end_if_healthy;
    char *error_text;
} _be_health_check;

static void
_be_on_health_check(be_server *server, const be_order_result *result,
                    void *data)
{
    (void)server;
    _be_health_check *check = data;
    be_end end =
        result->code == ER_OK ? check->end_if_healthy : BE_END_SERVER_DOWN;
    _be_stream_end(check->stream, end, NULL, check->error_text);
    _be_stream_unref(check->stream);
    g_free(check->error_text);
    g_free(check);
}

/* Checks the server's health, then ends the stream with end_if_healthy or with
   BE_END_SERVER_DOWN. */
static void
_be_stream_check_and_end(be_stream *stream, be_end end_if_healthy,
                         const char *error_text)
{
    if (stream->ended) {
        return;
    }
    tm_destroy_timer(stream->server->timers, stream->stall_timer);
    _be_health_check *check = g_new0(_be_health_check, 1);
    check->stream = _be_stream_ref(stream);
    check->end_if_healthy = end_if_healthy;
    check->error_text = g_strdup(error_text);
    be_check_health(stream->server, _be_on_health_check, check);
}

static void _be_stream_start_timer(be_stream *stream, uint64_t wait_us);

/* Progress only updates last_progress_us. A timer that fires before the
   timeout has passed since then is set again for the remaining time. */
static void
_be_on_stall_timer(uint64_t now_us, void *data)
{
    be_stream *stream = data;
    uint64_t due_us = stream->last_progress_us + stream->timeout_us;
    if (now_us < due_us) {
        _be_stream_start_timer(stream, due_us - now_us);
    }
    else if (!stream->read_stopped) {
        _be_stream_check_and_end(stream, BE_END_STALLED,
                                 "no data within the timeout");
    }
}

static void
_be_stream_start_timer(be_stream *stream, uint64_t wait_us)
{
    tm_service *timers = stream->server->timers;
    tm_destroy_timer(timers, stream->stall_timer);
    stream->stall_timer = tm_make_timer(
        timers,
        &(tm_timer_desc){.period_ms = (uint32_t)(wait_us / _BE_US_PER_MS) + 1,
                         .once = true,
                         .call = _be_on_stall_timer,
                         .user_data = stream});
}

/* Records progress now and sets the timeout for the next. */
static void
_be_stream_note_progress(be_stream *stream, uint32_t timeout_ms)
{
    bool due_earlier = timeout_ms * _BE_US_PER_MS < stream->timeout_us;
    stream->last_progress_us = tm_query_now_us(stream->server->timers);
    stream->timeout_us = timeout_ms * _BE_US_PER_MS;
    if (due_earlier ||
        !tm_is_valid(stream->server->timers, stream->stall_timer)) {
        _be_stream_start_timer(stream, stream->timeout_us);
    }
}

/* -- private: events ------------------------------------------------------ */

static void
_be_stream_handle_token(be_stream *stream, JsonObject *event)
{
    int64_t index = _be_json_count(event, "index");
    const char *text = _be_json_string(event, "text", NULL);
    if (index < 0 || !text) {
        _be_stream_end(stream, BE_END_BROKEN, NULL,
                       "token without a valid index or text");
        return;
    }
    if (strcmp(_be_json_string(event, "model", ""), stream->model) != 0) {
        _be_stream_end(stream, BE_END_BROKEN, NULL,
                       "token of another adapter");
        return;
    }
    if (index < (int64_t)stream->next_index) {
        return; /* already received */
    }
    if (index > (int64_t)stream->next_index) {
        _be_stream_end(stream, BE_END_BROKEN, NULL,
                       "gap in the token indexes");
        return;
    }
    stream->next_index++;
    stream->any_token = true;
    stream->on_token(stream, (uint32_t)index, text, stream->user_data);
}

static void
_be_stream_handle_done(be_stream *stream, JsonObject *event)
{
    int64_t tokens = _be_json_count(event, "tokens");
    if (tokens != (int64_t)stream->next_index) {
        _be_stream_end(stream, BE_END_BROKEN, NULL,
                       "wrong token count in the done event");
        return;
    }
    g_autofree char *finish_reason =
        g_strdup(_be_json_string(event, "finish_reason", "stop"));
    _be_stream_end(stream, BE_END_COMPLETED, finish_reason, NULL);
}

static void
_be_stream_handle_event(be_stream *stream, const char *data)
{
    if (!jd_query_fits(data, strlen(data)) ||
        !json_parser_load_from_data(stream->json, data, -1, NULL)) {
        _be_stream_end(stream, BE_END_BROKEN, NULL, "event is not valid JSON");
        return;
    }
    JsonNode *root = json_parser_get_root(stream->json);
    if (!root || !JSON_NODE_HOLDS_OBJECT(root)) {
        _be_stream_end(stream, BE_END_BROKEN, NULL,
                       "event is not a JSON object");
        return;
    }
    JsonObject *event = json_node_get_object(root);
    if (json_object_get_boolean_member_with_default(event, "done", FALSE)) {
        _be_stream_handle_done(stream, event);
    }
    else if (json_object_get_boolean_member_with_default(event, "paused",
                                                         FALSE)) {
        _be_stream_end(stream, BE_END_PAUSED, NULL, "paused");
    }
    else if (json_object_has_member(event, "index")) {
        _be_stream_handle_token(stream, event);
    }
}

static void
_be_stream_handle_events(be_stream *stream)
{
    const char *data;
    while (!stream->ended && (data = se_next(stream->parser))) {
        _be_stream_handle_event(stream, data);
    }
    if (!stream->ended && se_query_failed(stream->parser)) {
        _be_stream_end(stream, BE_END_BROKEN, NULL, "event line is too long");
    }
}

/* -- private: reading ----------------------------------------------------- */

static void
_be_stream_handle_read(be_stream *stream, gssize size, const GError *error)
{
    if (size > 0) {
        _be_stream_note_progress(stream, stream->server->stall_timeout_ms);
        se_push(stream->parser, stream->buffer, (size_t)size);
        _be_stream_handle_events(stream);
        if (!stream->ended && !stream->read_stopped) {
            _be_stream_read(stream);
        }
        return;
    }
    _be_stream_check_and_end(
        stream, BE_END_BROKEN,
        error ? error->message : "connection closed before the final event");
}

static void
_be_on_read(GObject *source, GAsyncResult *result, void *data)
{
    be_stream *stream = data;
    g_autoptr(GError) error = NULL;
    gssize size =
        g_input_stream_read_finish(G_INPUT_STREAM(source), result, &error);
    stream->reading = false;
    if (!stream->ended) {
        _be_stream_handle_read(stream, size, error);
    }
    _be_stream_unref(stream);
}

static void
_be_stream_read(be_stream *stream)
{
    if (stream->reading) {
        return;
    }
    stream->reading = true;
    g_input_stream_read_async(stream->body, stream->buffer,
                              sizeof(stream->buffer), G_PRIORITY_DEFAULT,
                              stream->cancel, _be_on_read,
                              _be_stream_ref(stream));
}

/* -- private: status of the answer ---------------------------------------- */

static void
_be_on_error_body(GObject *source, GAsyncResult *result, void *data)
{
    be_stream *stream = data;
    g_autoptr(GBytes) body =
        g_input_stream_read_bytes_finish(G_INPUT_STREAM(source), result, NULL);
    if (!stream->ended) {
        g_autofree char *type = body ? _be_error_type(body) : NULL;
        be_end end = BE_END_NOT_STARTED;
        if (g_strcmp0(type, "adapter_not_resident") == 0) {
            end = BE_END_NOT_RESIDENT;
        }
        else if (g_strcmp0(type, "fenced") == 0) {
            end = BE_END_FENCED;
        }
        _be_stream_end(stream, end, NULL, type);
    }
    _be_stream_unref(stream);
}

static void
_be_stream_handle_error_status(be_stream *stream)
{
    guint http_status = soup_message_get_status(stream->message);
    /* 503 is a refusal: the server did not start the completion. */
    if (http_status >= 500 && http_status != 503) {
        _be_stream_check_and_end(
            stream, BE_END_BROKEN,
            "the server answered with an HTTP 5xx status");
        return;
    }
    g_input_stream_read_bytes_async(stream->body, _BE_ERROR_BYTES_MAX,
                                    G_PRIORITY_DEFAULT, stream->cancel,
                                    _be_on_error_body, _be_stream_ref(stream));
}

static void
_be_on_response(GObject *source, GAsyncResult *result, void *data)
{
    be_stream *stream = data;
    g_autoptr(GError) error = NULL;
    GInputStream *body =
        soup_session_send_finish(SOUP_SESSION(source), result, &error);
    if (stream->ended) {
        g_clear_object(&body);
    }
    else if (!body) {
        be_end end =
            _be_never_connected(error) ? BE_END_NOT_STARTED : BE_END_BROKEN;
        _be_stream_check_and_end(stream, end, error->message);
    }
    else {
        stream->body = body;
        if (soup_message_get_status(stream->message) == SOUP_STATUS_OK) {
            _be_stream_read(stream);
        }
        else {
            _be_stream_handle_error_status(stream);
        }
    }
    _be_stream_unref(stream);
}

/* -- private: requests ---------------------------------------------------- */

static SoupMessage *
_be_completion_message(be_server *server, const be_complete_desc *desc)
{
    SoupMessage *message = _be_message(server, "POST", "/v1/completions");
    g_autofree char *priority = g_strdup_printf("%u", desc->priority);
    SoupMessageHeaders *headers = soup_message_get_request_headers(message);
    soup_message_headers_append(headers, "X-Priority", priority);
    soup_message_headers_append(headers, "X-Attempt", desc->attempt);
    g_autoptr(JsonBuilder) json = json_builder_new();
    json_builder_begin_object(json);
    json_builder_set_member_name(json, "model");
    json_builder_add_string_value(json, desc->model);
    json_builder_set_member_name(json, "prompt");
    json_builder_add_string_value(json, desc->prompt);
    json_builder_set_member_name(json, "max_tokens");
    json_builder_add_int_value(json, desc->max_tokens);
    json_builder_set_member_name(json, "stream");
    json_builder_add_boolean_value(json, TRUE);
    json_builder_set_member_name(json, "resume_from");
    json_builder_add_int_value(json, desc->resume_from);
    json_builder_end_object(json);
    _be_set_json(message, json);
    return message;
}

/* Posts the attempt's ID to path and ignores the answer. */
static void
_be_post_attempt(be_stream *stream, const char *path)
{
    be_server *server = stream->server;
    g_autoptr(SoupMessage) message = _be_message(server, "POST", path);
    g_autoptr(JsonBuilder) json = json_builder_new();
    json_builder_begin_object(json);
    json_builder_set_member_name(json, "attempt");
    json_builder_add_string_value(json, stream->attempt);
    json_builder_end_object(json);
    _be_set_json(message, json);
    soup_session_send_and_read_async(server->session, message,
                                     G_PRIORITY_DEFAULT, server->cancel, NULL,
                                     NULL);
}

/* -- public --------------------------------------------------------------- */

be_stream *
be_complete(be_server *server, const be_complete_desc *desc)
{
    g_assert(desc->model && desc->prompt && desc->attempt);
    g_assert(desc->on_token && desc->on_end);
    be_stream *stream = g_rc_box_new0(be_stream);
    stream->server = server;
    stream->message = _be_completion_message(server, desc);
    stream->cancel = g_cancellable_new();
    stream->parser = se_create();
    stream->json = json_parser_new();
    stream->attempt = g_strdup(desc->attempt);
    stream->model = g_strdup(desc->model);
    stream->next_index = desc->resume_from;
    stream->on_token = desc->on_token;
    stream->on_end = desc->on_end;
    stream->user_data = desc->user_data;
    g_hash_table_add(server->streams, stream);
    _be_stream_note_progress(stream, server->start_timeout_ms);
    soup_session_send_async(server->session, stream->message,
                            G_PRIORITY_DEFAULT, stream->cancel,
                            _be_on_response, _be_stream_ref(stream));
    return stream;
}

void
be_stream_destroy(be_stream *stream)
{
    if (!stream) {
        return;
    }
    if (!stream->ended) {
        _be_stream_deactivate(stream);
        _be_post_attempt(stream, "/v1/cancel");
    }
    _be_stream_unref(stream);
}

void
be_stream_pause(be_stream *stream)
{
    if (!stream->ended) {
        _be_post_attempt(stream, "/v1/pause");
    }
}

void
be_stream_set_read_stopped(be_stream *stream, bool stopped)
{
    bool resume = stream->read_stopped && !stopped;
    stream->read_stopped = stopped;
    if (!resume || stream->ended) {
        return;
    }
    _be_stream_note_progress(stream, stream->server->stall_timeout_ms);
    if (stream->body) {
        _be_stream_read(stream);
    }
}
