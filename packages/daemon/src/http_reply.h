/*
 * http_reply.h: answers to callers (prefix hp_).
 *
 *     hp_refuse(message, &(hp_refusal){.code = ER_OVERLOADED,
 *         .ran = DR_RAN_NOT_RUN, .retry_after_ms = 800});
 *
 * A refusal is JSON: {"error":{"type","message","code","ran",
 * "retry_after_ms"}}, with Retry-After in whole seconds when there is a time
 * to come back.
 *
 * Limits: the message must not be paused, or is unpaused by the caller.
 */
#ifndef LACEWING_HTTP_REPLY_H
#define LACEWING_HTTP_REPLY_H

#include "draft.h"
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

typedef struct hp_refusal {
    er_code code;
    dr_ran ran;
    uint32_t retry_after_ms;
    const char *message; /* NULL or empty: the code's name */
    const char *server;
} hp_refusal;

void hp_refuse(SoupServerMessage *message, const hp_refusal *refusal);
/* The error object alone, for an event of a stream; free with g_free(). */
char *hp_query_error(const hp_refusal *refusal);
/* Takes over the builder's root. */
void hp_json(SoupServerMessage *message, uint32_t status, JsonBuilder *json);
void hp_text(SoupServerMessage *message, uint32_t status, const char *type,
             const char *text);
/* Appends the text as a JSON string with its quotes. */
void hp_append_quoted(GString *out, const char *text);

#endif
