/*
 * call.h: small HTTP calls to stores and servers (prefix hc_).
 *
 * One request, one whole answer, one call back, also when nothing answers.
 * Connections are pooled by address.
 *
 *     hc_call(client, &(hc_request){.address = "10.0.0.7:80",
 *         .method = "GET", .path = "/report", .timeout_ms = 500,
 *         .done = on_report, .user_data = self});
 *
 * Limits: answers are gathered in memory, up to HC_ANSWER_BYTES.
 */
#ifndef LACEWING_CALL_H
#define LACEWING_CALL_H

#include "lacewing/upstream.h"

#define HC_ANSWER_BYTES (16 * 1024 * 1024)

typedef struct hc_client hc_client;

typedef struct hc_answer {
    er_code code; /* ER_OK: an answer; ER_TIMEOUT and ER_CONNECTION: none */
    bool sent;    /* part of the request may have arrived */
    uint32_t status;
    const h1_head *head;
    const char *bytes;
    size_t count;
} hc_answer;

typedef void (*hc_done)(const hc_answer *answer, void *user_data);
typedef void (*hc_head)(const h1_head *head, void *user_data);

typedef struct hc_request {
    const char *address;
    const char *method;
    const char *path;
    const char *headers; /* further lines, each with CRLF; or NULL */
    const char *type;    /* of the body */
    const char *body;    /* or NULL */
    size_t body_count;
    uint32_t timeout_ms;
    hc_head head; /* or NULL: the head is there, what follows may break off */
    hc_done done;
    void *user_data;
} hc_request;

typedef struct hc_desc {
    nc_hub *hub;        /* required */
    lp_loop *loop;      /* required */
    tm_service *timers; /* required */
} hc_desc;

hc_client *hc_create(const hc_desc *desc);
/* Calls under way are dropped without a call back. */
void hc_destroy(hc_client *client);
void hc_call(hc_client *client, const hc_request *request);
/* The same with another Host than the address. */
void hc_call_as(hc_client *client, const hc_request *request,
                const char *host);

#endif
