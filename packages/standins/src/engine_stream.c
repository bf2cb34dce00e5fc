#include "engine_stream.h"

struct es_stream {
    sh_shell *shell;
    SoupServerMessage *message;
    char *model;
    char *attempt;
    es_gone_call gone;
    void *user_data;
    gulong finished;
    bool started; /* the answer's head is out */
    bool closed;  /* the caller left */
};

/* -- private -------------------------------------------------------------- */

static void
_es_on_finished(SoupServerMessage *message, void *user_data)
{
    (void)message;
    es_stream *stream = user_data;
    stream->closed = true;
    stream->gone(stream->attempt, stream->user_data);
}

static void
_es_start(es_stream *stream)
{
    if (stream->started) {
        return;
    }
    stream->started = true;
    SoupMessageHeaders *headers =
        soup_server_message_get_response_headers(stream->message);
    soup_server_message_set_status(stream->message, 200, NULL);
    soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
    soup_message_headers_replace(headers, "Content-Type", "text/event-stream");
    soup_message_body_set_accumulate(
        soup_server_message_get_response_body(stream->message), FALSE);
}

static void
_es_send(es_stream *stream, char *event)
{
    if (sh_is_silent(stream->shell, stream->message)) {
        g_free(event);
        return;
    }
    _es_start(stream);
    SoupMessageBody *body =
        soup_server_message_get_response_body(stream->message);
    soup_message_body_append_take(body, (guchar *)event, strlen(event));
    soup_server_message_unpause(stream->message);
}

static void
_es_refuse_evicted(es_stream *stream)
{
    sh_answer(stream->shell, stream->message, 404,
              "{\"error\":{\"type\":\"adapter_not_resident\"}}");
}

static void
_es_complete(es_stream *stream, en_end end, uint32_t tokens)
{
    if (end == EN_END_PAUSED) {
        _es_send(stream,
                 g_strdup_printf("data: {\"paused\":true,\"tokens\":%u}\n\n",
                                 tokens));
    }
    else if (end != EN_END_CANCELLED) {
        _es_send(stream,
                 g_strdup_printf("data: {\"done\":true,\"tokens\":%u,"
                                 "\"finish_reason\":\"%s\"}\n\n",
                                 tokens,
                                 end == EN_END_LENGTH ? "length" : "stop"));
    }
    if (sh_is_silent(stream->shell, stream->message)) {
        return;
    }
    _es_start(stream);
    soup_message_body_complete(
        soup_server_message_get_response_body(stream->message));
    soup_server_message_unpause(stream->message);
}

/* -- public --------------------------------------------------------------- */

es_stream *
es_create(const es_desc *desc)
{
    es_stream *stream = g_new0(es_stream, 1);
    stream->shell = desc->shell;
    stream->message = g_object_ref(desc->message);
    stream->model = g_strdup(desc->model);
    stream->attempt = g_strdup(desc->attempt);
    stream->gone = desc->gone;
    stream->user_data = desc->user_data;
    stream->finished = g_signal_connect(stream->message, "finished",
                                        G_CALLBACK(_es_on_finished), stream);
    return stream;
}

void
es_token(es_stream *stream, uint32_t index, const char *text)
{
    _es_send(stream, g_strdup_printf("data: {\"index\":%u,\"text\":\"%s\","
                                     "\"model\":\"%s\"}\n\n",
                                     index, text, stream->model));
}

void
es_end(es_stream *stream, en_end end, uint32_t tokens)
{
    if (stream->closed) {
        es_discard(stream);
        return;
    }
    if (end == EN_END_BROKEN) {
        sh_close_connection(stream->message);
    }
    else if (end == EN_END_EVICTED && !stream->started) {
        _es_refuse_evicted(stream);
    }
    else {
        _es_complete(stream, end, tokens);
    }
    es_discard(stream);
}

void
es_discard(es_stream *stream)
{
    g_signal_handler_disconnect(stream->message, stream->finished);
    g_object_unref(stream->message);
    g_free(stream->model);
    g_free(stream->attempt);
    g_free(stream);
}
