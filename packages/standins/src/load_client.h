/*
 * load_client.h: one request as a caller sends it (prefix lc_).
 *
 * Sends a draft or a call of a service to a daemon, or straight to a
 * stand-in backend server, reads the whole answer and judges it: a draft
 * against the text that its adapter and version must give.
 *
 *     lc_client *client = lc_create(&(lc_desc){.connections = 1024});
 *     lc_send(client, &(lc_request_desc){.url = "http://127.0.0.1:8000",
 *         .model = "a@1", .prompt = "p", .max_tokens = 64, .stream = true,
 *         .done = on_done, .user_data = self});
 *
 * Limits: one main context. Each call ends by exactly one call of done, which
 * may send the next one.
 */
#ifndef LACEWING_STANDIN_LOAD_CLIENT_H
#define LACEWING_STANDIN_LOAD_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

typedef struct lc_client lc_client;

typedef struct lc_desc {
    uint32_t connections; /* at once; default 4096 */
    const char *secret;   /* key of a team, sent as a bearer token */
} lc_desc;

typedef enum lc_outcome {
    LC_OUTCOME_DEFAULT = 0, /* whole and right */
    LC_WRONG,               /* whole, but not the text it had to be */
    LC_REFUSED,             /* an error with a type, also within a stream */
    LC_BROKEN,              /* the answer ended early or made no sense */
    LC_SILENT,              /* nothing more before the time limit */
    LC_OUTCOME_NUM
} lc_outcome;

typedef struct lc_result {
    lc_outcome outcome;
    uint32_t status;         /* HTTP; 0: none */
    const char *type;        /* of the error; "" none */
    const char *ran;         /* "not_run", "ran", "unknown"; "" none */
    const char *text;        /* draft: its text; call: the body */
    uint32_t retry_after_ms; /* 0: not said */
    uint32_t tokens;         /* pieces of a stream */
    uint64_t first_us;       /* monotonic time of the first piece; 0: none */
    uint64_t end_us;
} lc_result;

typedef void (*lc_done_callback)(const lc_result *result, void *user_data);

typedef struct lc_request_desc {
    const char *url;       /* http://ADDRESS:PORT, required */
    bool direct;           /* to a stand-in, not to a daemon */
    const char *operation; /* NULL: a draft; a service's otherwise */
    const char *model;     /* ADAPTER@VERSION */
    const char *prompt;
    uint32_t max_tokens;
    bool stream;
    const char *key;       /* Idempotency-Key; NULL: none */
    const char *body;      /* of a call of a service */
    const char *id;        /* of the request, for direct ones */
    uint32_t deadline_ms;  /* 0: not sent */
    uint32_t timeout_ms;   /* default 30000 */
    lc_done_callback done; /* required */
    void *user_data;
} lc_request_desc;

lc_client *lc_create(const lc_desc *desc);
/* Only without open calls. */
void lc_destroy(lc_client *client);
void lc_send(lc_client *client, const lc_request_desc *desc);

/* queries */
uint32_t lc_query_open_requests(const lc_client *client);
const char *lc_query_outcome_name(lc_outcome outcome);

#endif
