/* Completions: one HTTP answer of server-sent events each. */
#include "backend_private.h"
#include "event_stream.h"

#define _BE_READ_BYTES 16384
#define _BE_ERROR_BYTES_MAX 65536
#define _BE_US_PER_MS UINT64_C(1000)

struct be_stream {
    be_server *server;
    SoupMessage *message;
    GInputStream *body;
    GCancellable *cancel;
    se_parser *parser;
    JsonParser *json;
    tm_timer silence;
    uint64_t progress_us; /* when something last came */
    uint64_t patience_us; /* for the next thing to come */
    char *attempt;
    char *model;
    uint32_t next_index;
    bool any_token;
    bool held;
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

/* A stream lives while its user or an open call holds it. */
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

/* Takes the stream out of use: no call back comes after this. */
static void
_be_stream_retire(be_stream *stream)
{
    stream->ended = true;
    tm_destroy_timer(stream->server->timers, stream->silence);
    g_hash_table_remove(stream->server->streams, stream);
    g_cancellable_cancel(stream->cancel);
}

static void
_be_stream_end(be_stream *stream, be_end end, const char *reason,
               const char *why)
{
    if (stream->ended) {
        return;
    }
    _be_stream_retire(stream);
    be_result result = {
        .end = end, .tokens = stream->next_index, .finish_reason = reason};
    if (end != BE_END_COMPLETED) {
        er_set(&result.status, ER_SERVER_FAILED, "%s", why ? why : "");
    }
    _be_stream_ref(stream);
    stream->on_end(stream, &result, stream->user_data);
    _be_stream_unref(stream);
}

/* -- private: a broken stream, and whether its server still answers ------- */

typedef struct _be_probe {
    be_stream *stream;
    be_end alive;
    char *why;
} _be_probe;

static void
_be_on_probe(be_server *server, const be_order_result *result, void *data)
{
    (void)server;
    _be_probe *probe = data;
    be_end end = result->code == ER_OK ? probe->alive : BE_END_SERVER_DOWN;
    _be_stream_end(probe->stream, end, NULL, probe->why);
    _be_stream_unref(probe->stream);
    g_free(probe->why);
    g_free(probe);
}

static void
_be_stream_broken(be_stream *stream, be_end alive, const char *why)
{
    if (stream->ended) {
        return;
    }
    tm_destroy_timer(stream->server->timers, stream->silence);
    _be_probe *probe = g_new0(_be_probe, 1);
    probe->stream = _be_stream_ref(stream);
    probe->alive = alive;
    probe->why = g_strdup(why);
    be_check_health(stream->server, _be_on_probe, probe);
}

static void _be_stream_watch(be_stream *stream, uint64_t wait_us);

/* Progress since the timer was set only moves it on. */
static void
_be_on_silence(uint64_t now_us, void *data)
{
    be_stream *stream = data;
    uint64_t due_us = stream->progress_us + stream->patience_us;
    if (now_us < due_us) {
        _be_stream_watch(stream, due_us - now_us);
    }
    else if (!stream->held) {
        _be_stream_broken(stream, BE_END_STALLED, "no progress");
    }
}

static void
_be_stream_watch(be_stream *stream, uint64_t wait_us)
{
    tm_service *timers = stream->server->timers;
    tm_destroy_timer(timers, stream->silence);
    stream->silence = tm_make_timer(
        timers,
        &(tm_timer_desc){.period_ms = (uint32_t)(wait_us / _BE_US_PER_MS) + 1,
                         .once = true,
                         .call = _be_on_silence,
                         .user_data = stream});
}

/* The stream must make progress within this time from now. */
static void
_be_stream_expect(be_stream *stream, uint32_t patience_ms)
{
    bool sooner = patience_ms * _BE_US_PER_MS < stream->patience_us;
    stream->progress_us = tm_query_now_us(stream->server->timers);
    stream->patience_us = patience_ms * _BE_US_PER_MS;
    if (sooner || !tm_is_valid(stream->server->timers, stream->silence)) {
        _be_stream_watch(stream, stream->patience_us);
    }
}

/* -- private: events ------------------------------------------------------ */

static void
_be_stream_token(be_stream *stream, JsonObject *event)
{
    int64_t index = _be_json_int(event, "index", -1);
    const char *model = _be_json_string(event, "model", "");
    if (strcmp(model, stream->model) != 0) {
        _be_stream_end(stream, BE_END_BROKEN, NULL, "another adapter's token");
        return;
    }
    if (index < (int64_t)stream->next_index) {
        return;
    }
    if (index > (int64_t)stream->next_index) {
        _be_stream_end(stream, BE_END_BROKEN, NULL, "a token is missing");
        return;
    }
    stream->next_index++;
    stream->any_token = true;
    stream->on_token(stream, (uint32_t)index,
                     _be_json_string(event, "text", ""), stream->user_data);
}

static void
_be_stream_done(be_stream *stream, JsonObject *event)
{
    int64_t tokens = _be_json_int(event, "tokens", -1);
    if (tokens != (int64_t)stream->next_index) {
        _be_stream_end(stream, BE_END_BROKEN, NULL, "tokens are missing");
        return;
    }
    g_autofree char *reason =
        g_strdup(_be_json_string(event, "finish_reason", "stop"));
    _be_stream_end(stream, BE_END_COMPLETED, reason, NULL);
}

static void
_be_stream_event(be_stream *stream, const char *data)
{
    if (!json_parser_load_from_data(stream->json, data, -1, NULL)) {
        _be_stream_end(stream, BE_END_BROKEN, NULL, "an event is not JSON");
        return;
    }
    JsonNode *root = json_parser_get_root(stream->json);
    if (!root || !JSON_NODE_HOLDS_OBJECT(root)) {
        _be_stream_end(stream, BE_END_BROKEN, NULL, "an event is no object");
        return;
    }
    JsonObject *event = json_node_get_object(root);
    if (json_object_has_member(event, "done")) {
        _be_stream_done(stream, event);
    }
    else if (json_object_has_member(event, "paused")) {
        _be_stream_end(stream, BE_END_PAUSED, NULL, "paused");
    }
    else if (json_object_has_member(event, "index")) {
        _be_stream_token(stream, event);
    }
}

static void
_be_stream_events(be_stream *stream)
{
    const char *data;
    while (!stream->ended && (data = se_next(stream->parser))) {
        _be_stream_event(stream, data);
    }
    if (!stream->ended && se_query_failed(stream->parser)) {
        _be_stream_end(stream, BE_END_BROKEN, NULL, "an event is too long");
    }
}

/* -- private: reading ----------------------------------------------------- */

static void
_be_stream_took(be_stream *stream, gssize size, const GError *error)
{
    if (size > 0) {
        _be_stream_expect(stream, stream->server->stall_timeout_ms);
        se_push(stream->parser, stream->buffer, (size_t)size);
        _be_stream_events(stream);
        if (!stream->ended && !stream->held) {
            _be_stream_read(stream);
        }
        return;
    }
    _be_stream_broken(stream, BE_END_BROKEN,
                      error ? error->message : "ended without its end");
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
        _be_stream_took(stream, size, error);
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

/* -- private: the answer's head ------------------------------------------- */

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
_be_stream_refused(be_stream *stream)
{
    guint http = soup_message_get_status(stream->message);
    if (http >= 500 && http != 503) {
        _be_stream_broken(stream, BE_END_BROKEN, "the server failed");
        return;
    }
    g_input_stream_read_bytes_async(stream->body, _BE_ERROR_BYTES_MAX,
                                    G_PRIORITY_DEFAULT, stream->cancel,
                                    _be_on_error_body, _be_stream_ref(stream));
}

static void
_be_on_sent(GObject *source, GAsyncResult *result, void *data)
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
        _be_stream_broken(stream, end, error->message);
    }
    else {
        stream->body = body;
        if (soup_message_get_status(stream->message) == SOUP_STATUS_OK) {
            _be_stream_read(stream);
        }
        else {
            _be_stream_refused(stream);
        }
    }
    _be_stream_unref(stream);
}

/* -- private: the request ------------------------------------------------- */

static SoupMessage *
_be_completion(be_server *server, const be_complete_desc *desc)
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
    stream->message = _be_completion(server, desc);
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
    _be_stream_expect(stream, server->start_timeout_ms);
    soup_session_send_async(server->session, stream->message,
                            G_PRIORITY_DEFAULT, stream->cancel, _be_on_sent,
                            _be_stream_ref(stream));
    return stream;
}

void
be_stream_destroy(be_stream *stream)
{
    if (!stream) {
        return;
    }
    if (!stream->ended) {
        _be_stream_retire(stream);
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
be_stream_set_read_stopped(be_stream *stream, bool held)
{
    bool resumed = stream->held && !held;
    stream->held = held;
    if (!resumed || stream->ended) {
        return;
    }
    _be_stream_expect(stream, stream->server->stall_timeout_ms);
    if (stream->body) {
        _be_stream_read(stream);
    }
}
