/*
 * http.h: one HTTP call with a time limit (prefix ht_).
 *
 *     ht_client *client = ht_create(desc);
 *     ht_send(client, &(ht_request){.method = "GET", .path = "/instances",
 *                                   .call = on_answer, .user_data = self});
 *
 * Each call ends by exactly one call back. A call that meets silence ends
 * with ER_TIMEOUT and makes the client open new connections: an open one
 * that went silent must not cost a second time limit. ht_destroy() ends what
 * is still open with ER_CANCELLED.
 *
 * Limits: one main context; answers up to 64 MiB by libsoup's own bounds.
 */
#ifndef LACEWING_STORE_HTTP_H
#define LACEWING_STORE_HTTP_H

#include "lacewing/store.h"

/* ER_OK: a 2xx answer with its body. ER_CONFLICT: 409 with its body.
   ER_NOT_FOUND: 404. ER_BAD_REQUEST: other 4xx. ER_PLATFORM_DOWN: 5xx or no
   connection. ER_TIMEOUT: silence. ER_CANCELLED: the client ended. body is
   NULL but for the first two. */
typedef void (*ht_call)(er_code code, GBytes *body, void *user_data);

typedef struct ht_request {
    const char *method;
    const char *path; /* with its query, escaped */
    const char *type; /* of the body; default application/json */
    GBytes *body;     /* NULL: none */
    ht_call call;     /* required */
    void *user_data;
} ht_request;

typedef struct ht_client ht_client;

ht_client *ht_create(const pf_http_desc *desc);
void ht_destroy(ht_client *client);
void ht_send(ht_client *client, const ht_request *request);

#endif
