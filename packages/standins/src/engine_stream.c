#include "engine_stream.h"

struct es_stream {
    sh_shell *shell;
    SoupServerMessage *message;
    char *model;
    char *attempt;
    es_disconnect_call on_disconnect;
    void *user_data;
    gulong finished_handler; /* of the signal "finished" */
    bool headers_sent;       /* with status 200, so that no error can follow */
    bool disconnected;       /* the message finished before the stream did */
};

/* -- private -------------------------------------------------------------- */

static void
_es_on_finished(SoupServerMessage *message, void *user_data)
{
    (void)message;
    es_stream *stream = user_data;
    stream->disconnected = true;
    stream->on_disconnect(stream->attempt, stream->user_data);
}

static void
_es_send_headers(es_stream *stream)
{
    if (stream->headers_sent) {
        return;
    }
    stream->headers_sent = true;
    SoupMessageHeaders *headers =
        soup_server_message_get_response_headers(stream->message);
    soup_server_message_set_status(stream->message, 200, NULL);
    soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
    soup_message_headers_replace(headers, "Content-Type", "text/event-stream");
    soup_message_body_set_accumulate(
        soup_server_message_get_response_body(stream->message), FALSE);
}

/* Takes ownership of event. */
static void
_es_send_event(es_stream *stream, char *event)
{
    if (sh_is_silent(stream->shell, stream->message)) {
        g_free(event);
        return;
    }
    _es_send_headers(stream);
    SoupMessageBody *body =
        soup_server_message_get_response_body(stream->message);
    soup_message_body_append_take(body, (guchar *)event, strlen(event));
    soup_server_message_unpause(stream->message);
}

static void
_es_answer_evicted(es_stream *stream)
{
    sh_answer(stream->shell, stream->message, 404,
              "{\"error\":{\"type\":\"adapter_not_resident\"}}");
}

/* Sends the end event, if this reason has one, and ends the body. */
static void
_es_complete_body(es_stream *stream, en_finish_reason reason, uint32_t tokens)
{
    if (reason == EN_FINISH_PAUSED) {
        _es_send_event(
            stream, g_strdup_printf(
                        "data: {\"paused\":true,\"tokens\":%u}\n\n", tokens));
    }
    else if (reason != EN_FINISH_CANCELLED) {
        _es_send_event(
            stream,
            g_strdup_printf("data: {\"done\":true,\"tokens\":%u,"
                            "\"finish_reason\":\"%s\"}\n\n",
                            tokens,
                            reason == EN_FINISH_LENGTH ? "length" : "stop"));
    }
    if (sh_is_silent(stream->shell, stream->message)) {
        return;
    }
    _es_send_headers(stream);
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
    stream->on_disconnect = desc->on_disconnect;
    stream->user_data = desc->user_data;
    stream->finished_handler = g_signal_connect(
        stream->message, "finished", G_CALLBACK(_es_on_finished), stream);
    return stream;
}

void
es_send_token(es_stream *stream, uint32_t index, const char *text)
{
    _es_send_event(stream,
                   g_strdup_printf("data: {\"index\":%u,\"text\":\"%s\","
                                   "\"model\":\"%s\"}\n\n",
                                   index, text, stream->model));
}

void
es_finish(es_stream *stream, en_finish_reason reason, uint32_t tokens)
{
    if (stream->disconnected) {
        es_discard(stream);
        return;
    }
    if (reason == EN_FINISH_ABORTED) {
        sh_close_connection(stream->message);
    }
    else if (reason == EN_FINISH_EVICTED && !stream->headers_sent) {
        _es_answer_evicted(stream);
    }
    else {
        _es_complete_body(stream, reason, tokens);
    }
    es_discard(stream);
}

void
es_discard(es_stream *stream)
{
    g_signal_handler_disconnect(stream->message, stream->finished_handler);
    g_object_unref(stream->message);
    g_free(stream->model);
    g_free(stream->attempt);
    g_free(stream);
}
