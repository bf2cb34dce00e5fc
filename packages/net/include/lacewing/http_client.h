/*
 * http_client.h: HTTP client for small requests to stores and servers (prefix
 * hc_).
 *
 * Each request gets exactly one callback, with the whole answer or with the
 * reason why there is none. Connections are pooled by address.
 *
 *     hc_call(client, &(hc_request){.address = "10.0.0.7:80",
 *         .method = "GET", .path = "/report", .timeout_ms = 500,
 *         .done = on_report, .user_data = self});
 *
 * Limits: at most 16 requests per address at one time, more of them end with
 * ER_CONNECTION; the body of an answer is collected in memory; pieces that
 * would exceed HC_MAX_ANSWER_BYTES are dropped.
 */
#ifndef LACEWING_HTTP_CLIENT_H
#define LACEWING_HTTP_CLIENT_H

#include "lacewing/upstream.h"

/* Default of hc_request.max_answer_bytes. */
#define HC_MAX_ANSWER_BYTES (16 * 1024 * 1024)

typedef struct hc_client hc_client;

/* Valid only during the callback. Without an answer, `code` and `sent` alone
   are set. */
typedef struct hc_answer {
    er_code code; /* ER_OK for an answer of any status, ER_TIMEOUT if none came
                     in time, ER_CONNECTION if the connection failed
                     or the answer is too long or not valid HTTP */
    bool sent;    /* part of the request may have reached the server */
    uint32_t status; /* HTTP status */
    const h1_head *head;
    const char *bytes; /* body */
    size_t count;
} hc_answer;

typedef void (*hc_done)(const hc_answer *answer, void *user_data);
typedef void (*hc_head)(const h1_head *head, void *user_data);

typedef struct hc_request {
    const char *address;
    const char *method;
    const char *path;
    const char *headers; /* additional header lines, each with CRLF; or NULL */
    const char *type;    /* Content-Type; required with a body */
    const char *body;    /* or NULL */
    size_t body_count;
    uint32_t timeout_ms;       /* from hc_call() to the end of the answer */
    uint32_t max_answer_bytes; /* longest body; default 16 MiB */
    /* optional: the head is complete; the body may still fail */
    hc_head head;
    hc_done done; /* required */
    void *user_data;
} hc_request;

typedef struct hc_desc {
    nc_hub *hub;        /* required */
    lp_loop *loop;      /* required */
    tm_service *timers; /* required */
} hc_desc;

hc_client *hc_create(const hc_desc *desc);
/* Drops requests in flight without calling `done`. */
void hc_destroy(hc_client *client);
/* Sends a request. `done` is never called before this returns. */
void hc_call(hc_client *client, const hc_request *request);
/* Same as hc_call(), with a Host header other than the address. */
void hc_call_with_host(hc_client *client, const hc_request *request,
                       const char *host);

#endif
