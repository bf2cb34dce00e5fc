/*
 * engine_stream.h: streams one completion as server-sent events (prefix
 * es_).
 *
 * The answer's headers go out with the first event. Until then the message
 * can still be answered with an error.
 *
 *     es_stream *stream = es_create(&(es_desc){.shell = shell,
 *         .message = message, .model = "a@v", .attempt = "r/1",
 *         .on_disconnect = on_disconnect, .user_data = self});
 *     es_send_token(stream, 0, " word");
 *     es_finish(stream, EN_FINISH_LENGTH, 1);   (frees the stream)
 *
 * Limits: one thread. Texts and model names are put into JSON strings as
 * they are, so they must not contain characters that JSON escapes.
 */
#ifndef LACEWING_STANDIN_ENGINE_STREAM_H
#define LACEWING_STANDIN_ENGINE_STREAM_H

#include "engine.h"
#include "shell.h"

typedef struct es_stream es_stream;

/* The caller disconnected. The stream must still be ended with
   es_finish(). */
typedef void (*es_disconnect_call)(const char *attempt, void *user_data);

/* All members but user_data are required. */
typedef struct es_desc {
    sh_shell *shell;
    SoupServerMessage *message;
    const char *model;
    const char *attempt; /* passed to on_disconnect */
    es_disconnect_call on_disconnect;
    void *user_data; /* passed to on_disconnect */
} es_desc;

es_stream *es_create(const es_desc *desc);
void es_send_token(es_stream *stream, uint32_t index, const char *text);
/* Sends the last event or the error that this reason calls for, or breaks
   the connection for EN_FINISH_ABORTED, and frees the stream. */
void es_finish(es_stream *stream, en_finish_reason reason, uint32_t tokens);
/* Frees the stream and sends nothing: the message can be answered by other
   means. */
void es_discard(es_stream *stream);

#endif
