/*
 * http.h: plain HTTP calls for tests (prefix ht_).
 *
 *     g_auto(ht_response) answer = {0};
 *     ht_send_request(&(ht_desc){.url = url, .body = "{}"}, &answer);
 *
 * Limits: synchronous; any thread.
 */
#ifndef LACEWING_TEST_HTTP_H
#define LACEWING_TEST_HTTP_H

#include <glib.h>
#include <stdint.h>

typedef struct ht_desc {
    const char *method; /* default POST with a body, else GET */
    const char *url;
    const char *body;
    const char *key;             /* Authorization: Bearer */
    const char *idempotency_key; /* header of that name */
    const char *ca;              /* PEM file of the authority, for https */
    uint32_t deadline_ms;        /* X-Deadline-Ms; 0 none */
    uint32_t timeout_ms;         /* default 30000 */
} ht_desc;

typedef struct ht_response {
    uint32_t status; /* 0: no answer */
    char *body;      /* never NULL after ht_send_request() */
    char *request_id;
} ht_response;

void ht_send_request(const ht_desc *desc, ht_response *answer);
void ht_clear(ht_response *answer);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(ht_response, ht_clear)

/* A connection to the host and port of an http URL; -1: none. The caller
   closes it. */
int ht_connect(const char *url);

/* Text of a completion's answer, streamed or whole; NULL unless it ended as
   whole. Free with g_free(). */
char *ht_query_text(const ht_response *answer);
/* Member of the error object ("type", "ran"); NULL without one. Free it. */
char *ht_query_error_field(const ht_response *answer, const char *member);

#endif
