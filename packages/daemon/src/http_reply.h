/*
 * http_reply.h: writes HTTP answers to callers (prefix hp_).
 *
 *     hp_refuse(message, &(hp_refusal){.code = ER_OVERLOADED,
 *         .ran = DR_RAN_NOT_RUN, .retry_after_ms = 800});
 *
 * A refusal is JSON: {"error":{"type","message","code","ran",
 * "retry_after_ms"}}. If retry_after_ms is not 0, it is in the JSON and,
 * rounded up to whole seconds, in a Retry-After header.
 *
 * Limits: a paused message stays paused; whoever paused it must unpause it.
 */
#ifndef LACEWING_HTTP_REPLY_H
#define LACEWING_HTTP_REPLY_H

#include "draft.h"
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

typedef struct hp_refusal {
    er_code code;
    dr_ran ran;
    uint32_t retry_after_ms; /* 0: not stated */
    const char *message;     /* NULL or empty: the code's name */
    const char *server;      /* not used */
} hp_refusal;

/* Answers with the error, and counts and logs the refusal. */
void hp_refuse(SoupServerMessage *message, const hp_refusal *refusal);
/* Returns the JSON of a refusal, for an event of a stream; free with
   g_free(). */
char *hp_format_error(const hp_refusal *refusal);
/* Answers with the builder's root as JSON; the caller keeps the builder. */
void hp_json(SoupServerMessage *message, uint32_t status, JsonBuilder *json);
/* Answers with a copy of the text; type is its content type. */
void hp_text(SoupServerMessage *message, uint32_t status, const char *type,
             const char *text);
/* Appends the text as a JSON string with its quotes. */
void hp_append_quoted(GString *out, const char *text);

#endif
