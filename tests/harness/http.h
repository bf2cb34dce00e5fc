/*
 * http.h: a blocking HTTP client for tests (prefix ht_).
 *
 *     g_auto(ht_response) response = {0};
 *     ht_send_request(&(ht_desc){.url = url, .body = "{}"}, &response);
 *     g_autofree char *text = ht_query_text(&response);
 *
 * Each request uses a connection of its own. Functions may be called from any
 * thread.
 */
#ifndef LACEWING_TEST_HTTP_H
#define LACEWING_TEST_HTTP_H

#include <glib.h>
#include <stdint.h>

typedef struct ht_desc {
    const char *method; /* default POST with a body, else GET */
    const char *url;
    const char *body;
    const char *key;             /* sent as Authorization: Bearer KEY */
    const char *idempotency_key; /* sent as Idempotency-Key */
    const char *ca;              /* PEM file of the authority, for https */
    uint32_t deadline_ms;        /* sent as X-Deadline-Ms; 0: not sent */
    uint32_t timeout_ms;         /* for the whole response; default 30000 */
} ht_desc;

typedef struct ht_response {
    uint32_t status;  /* 0: no complete response */
    char *body;       /* never NULL after ht_send_request() */
    char *request_id; /* value of X-Request-Id; NULL: none */
} ht_response;

/* Returns when the response is complete, the connection broke or timeout_ms
   passed. */
void ht_send_request(const ht_desc *desc, ht_response *response);
void ht_clear(ht_response *response);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(ht_response, ht_clear)

/* Connects to the numeric address and port of an http URL, for tests that
   write raw bytes. Returns -1 if the connection fails. The caller closes the
   descriptor. */
int ht_connect(const char *url);

/* Generated text of a completion, streamed or not. Returns NULL unless the
   status is 200 and the response is complete: a stream has to end with
   "[DONE]". Free with g_free(). */
char *ht_query_text(const ht_response *response);
/* String field of the error object, for example "type" or "ran". Returns NULL
   if the body holds no error object. Free with g_free(). */
char *ht_query_error_field(const ht_response *response, const char *field);

#endif
