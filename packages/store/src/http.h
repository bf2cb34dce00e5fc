/*
 * http.h: HTTP calls with a timeout (prefix ht_).
 *
 *     ht_client *client = ht_create(desc);
 *     ht_send(client, &(ht_request){.method = "GET", .path = "/instances",
 *                                   .callback = on_answer,
 *                                   .user_data = self});
 *
 * Each call ends with exactly one callback. A call without an answer in time
 * ends with ER_TIMEOUT. Later calls then use new connections, so that an
 * unresponsive connection costs no second timeout. ht_destroy() ends the calls
 * in flight with ER_CANCELLED.
 *
 * Limits: one main context; answers up to 64 MiB, a limit of libsoup.
 */
#ifndef LACEWING_STORE_HTTP_H
#define LACEWING_STORE_HTTP_H

#include "lacewing/store.h"

/* Receives the end of a call. Codes:
   ER_OK: status 2xx; body is set.
   ER_CONFLICT: status 409; body is set.
   ER_NOT_FOUND: status 404.
   ER_BAD_REQUEST: any other 4xx.
   ER_PLATFORM_DOWN: 5xx or any other status, or a failed connection.
   ER_TIMEOUT: no answer in time.
   ER_CANCELLED: the client was destroyed.
   body is NULL for all but the first two. */
typedef void (*ht_callback)(er_code code, GBytes *body, void *user_data);

typedef struct ht_request {
    const char *method;
    const char *path;     /* escaped, with the query */
    const char *type;     /* media type of body; default application/json */
    GBytes *body;         /* NULL: none */
    ht_callback callback; /* required */
    void *user_data;
} ht_request;

typedef struct ht_client ht_client;

ht_client *ht_create(const pf_http_desc *desc);
void ht_destroy(ht_client *client);
void ht_send(ht_client *client, const ht_request *request);

#endif
