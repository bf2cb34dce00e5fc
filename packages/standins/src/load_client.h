/*
 * load_client.h: an HTTP client that acts as a caller (prefix lc_).
 *
 * Sends a draft or a call of a service to a daemon, or directly to a stand-in
 * backend server, reads the answer and classifies the outcome. It compares
 * the text of a draft with the text that the stand-in engine generates for
 * this adapter and version.
 *
 *     lc_client *client = lc_create(&(lc_desc){.connections = 1024});
 *     lc_send(client, &(lc_request_desc){.url = "http://127.0.0.1:8000",
 *         .model = "a@1", .prompt = "p", .max_tokens = 64, .stream = true,
 *         .done = on_done, .user_data = self});
 *
 * Limits: one main context. Each request ends with exactly one done callback,
 * which may send the next request.
 */
#ifndef LACEWING_STANDIN_LOAD_CLIENT_H
#define LACEWING_STANDIN_LOAD_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

typedef struct lc_client lc_client;

typedef struct lc_desc {
    uint32_t connections; /* most at the same time; default 4096 */
    const char *secret;   /* key of a team, sent as bearer token; or NULL */
} lc_desc;

typedef enum lc_outcome {
    LC_OUTCOME_DEFAULT = 0, /* complete and correct */
    LC_WRONG,               /* complete, but not the expected text */
    LC_REFUSED,             /* an error with a type, also within a stream */
    LC_BROKEN,              /* neither complete nor an error with a type */
    LC_SILENT,              /* not complete within timeout_ms */
    LC_OUTCOME_NUM
} lc_outcome;

/* Its strings are valid during the done callback only. */
typedef struct lc_result {
    lc_outcome outcome;
    uint32_t status;  /* HTTP; 0: none */
    const char *type; /* of the error; "" if there is none */
    const char *ran;  /* "not_run", "ran", "unknown"; "" if absent */
    const char *text; /* of a draft, or the body of a service's answer */
    uint32_t retry_after_ms; /* 0: not stated */
    uint32_t tokens;         /* events with text of a stream; else 1 or 0 */
    uint64_t first_us;       /* monotonic, first token; 0: no stream or none */
    uint64_t end_us;         /* monotonic */
} lc_result;

typedef void (*lc_done_callback)(const lc_result *result, void *user_data);

typedef struct lc_request_desc {
    const char *url;       /* http://ADDRESS:PORT, required */
    bool direct;           /* url is a stand-in's, not a daemon's */
    const char *operation; /* of a service; NULL: a draft */
    const char *model;     /* of a draft: ADAPTER@VERSION */
    const char *prompt;    /* of a draft */
    uint32_t max_tokens;   /* of a draft */
    bool stream;           /* of a draft; direct ones always stream */
    const char *key;       /* Idempotency-Key; NULL: none */
    const char *body;      /* JSON of a call of a service; default {} */
    const char *id;        /* X-Attempt of a direct request; NULL: none */
    uint32_t deadline_ms;  /* X-Deadline-Ms; 0: none */
    uint32_t timeout_ms;   /* default 30000 */
    lc_done_callback done; /* required */
    void *user_data;
} lc_request_desc;

lc_client *lc_create(const lc_desc *desc);
/* No request may be open. */
void lc_destroy(lc_client *client);
void lc_send(lc_client *client, const lc_request_desc *desc);

/* queries */
/* Number of requests whose done callback has not started yet. */
uint32_t lc_query_open_requests(const lc_client *client);
/* "whole", "wrong", "refused", "broken" or "silent". */
const char *lc_query_outcome_name(lc_outcome outcome);

#endif
