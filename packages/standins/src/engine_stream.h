/*
 * engine_stream.h: one completion as server-sent events (prefix es_).
 *
 *     es_stream *stream = es_create(shell, message, "a@v", on_gone, self);
 *     es_token(stream, 0, " word");
 *     es_end(stream, EN_END_LENGTH, 1);   (frees it)
 *
 * Limits: one thread; texts need no escapes but those of JSON strings.
 */
#ifndef LACEWING_STANDIN_ENGINE_STREAM_H
#define LACEWING_STANDIN_ENGINE_STREAM_H

#include "engine.h"
#include "shell.h"

typedef struct es_stream es_stream;

/* The caller left; the stream is still to be ended with es_end(). */
typedef void (*es_gone_call)(const char *attempt, void *user_data);

typedef struct es_desc {
    sh_shell *shell;
    SoupServerMessage *message;
    const char *model;
    const char *attempt;
    es_gone_call gone;
    void *user_data;
} es_desc;

es_stream *es_create(const es_desc *desc);
void es_token(es_stream *stream, uint32_t index, const char *text);
/* Sends what belongs to this end and frees the stream. */
void es_end(es_stream *stream, en_end end, uint32_t tokens);
/* Frees a stream that never was one; the message is left alone. */
void es_discard(es_stream *stream);

#endif
