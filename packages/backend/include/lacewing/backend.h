/*
 * backend.h: requests and orders to one backend server (prefix be_).
 *
 * One be_server for each backend server, over HTTP (docs/BACKEND_API.md).
 * Completions are streams: a call back for each token, then exactly one end.
 * Orders (load, evict, list) and calls of plain services end with one call
 * back each.
 *
 *     be_server *server = be_create(&(be_desc){
 *         .address = "127.0.0.1:8100", .timers = timers});
 *     be_set_fence(server, 7, "daemon-1");
 *     be_stream *stream = be_complete(server, &(be_complete_desc){
 *         .model = "a@1", .prompt = "p", .max_tokens = 64,
 *         .attempt = "r/1", .on_tokens = ..., .on_end = ...});
 *     be_stream_destroy(stream);
 *
 * A stream that makes no progress within stall_timeout_ms is given up: a
 * connection may be dead without saying so. The server itself is then tried
 * over a new connection, and the end says BE_END_STALLED or BE_END_SERVER_DOWN
 * accordingly.
 *
 * A call that may not be repeated always takes a new connection, so that it
 * never rides on one that died while idle, and is sent once.
 *
 * Limits: one main context. Call backs never come from inside the function
 * that started the work.
 */
#ifndef LACEWING_BACKEND_H
#define LACEWING_BACKEND_H

#include "lacewing/error.h"
#include "lacewing/timer.h"
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct be_server be_server;
typedef struct be_stream be_stream;

typedef struct be_desc {
    const char *address;       /* required: IP:PORT */
    tm_service *timers;        /* required */
    uint32_t connections;      /* at once; default 512 */
    uint32_t stall_timeout_ms; /* without progress; default 1500 */
    uint32_t start_timeout_ms; /* to the first token; default 15000 */
    uint32_t order_timeout_ms; /* of one order; default 10000 */
    uint32_t probe_ms;         /* of a health check; default 500 */
} be_desc;

be_server *be_create(const be_desc *desc);
/* Ends all its streams and calls without a call back. */
void be_destroy(be_server *server);

/* Fencing number and owner name sent with whatever is sent from now on. */
void be_set_fence(be_server *server, uint64_t fence, const char *owner);

/* -- completions ---------------------------------------------------------- */

typedef enum be_end {
    BE_END_DEFAULT = 0,  /* broken */
    BE_END_COMPLETED,    /* the done event came */
    BE_END_PAUSED,       /* paused as asked */
    BE_END_NOT_STARTED,  /* refused, or never connected: nothing ran */
    BE_END_NOT_RESIDENT, /* the adapter is not held: nothing ran */
    BE_END_FENCED,       /* a newer owner gives orders: nothing ran */
    BE_END_BROKEN,       /* the stream broke, the server answers */
    BE_END_STALLED,      /* no progress, the server answers */
    BE_END_SERVER_DOWN,  /* the stream broke, the server does not answer */
    BE_END_NUM
} be_end;

typedef struct be_result {
    be_end end;
    uint32_t tokens;           /* index after the last token seen */
    const char *finish_reason; /* of a whole answer */
    er_status status;          /* why, when it is not whole */
} be_result;

/* One token: its index in the whole answer and its text. */
typedef void (*be_token_callback)(be_stream *stream, uint32_t index,
                                  const char *text, void *user_data);
/* The stream may be destroyed inside. */
typedef void (*be_end_callback)(be_stream *stream, const be_result *result,
                                void *user_data);

typedef struct be_complete_desc {
    const char *model;   /* required: ADAPTER@VERSION */
    const char *prompt;  /* required */
    const char *attempt; /* required: unique */
    uint32_t max_tokens; /* of the whole answer */
    uint32_t resume_from;
    uint32_t priority;          /* less is sooner */
    be_token_callback on_token; /* required */
    be_end_callback on_end;     /* required */
    void *user_data;
} be_complete_desc;

be_stream *be_complete(be_server *server, const be_complete_desc *desc);
/* Ends it without a call back; the engine is told to cancel. */
void be_stream_destroy(be_stream *stream);
/* Asks the engine to pause; the end is BE_END_PAUSED when it obeys. */
void be_stream_pause(be_stream *stream);
/* Stops or starts reading, for back pressure. */
void be_stream_set_read_stopped(be_stream *stream, bool held);

/* -- orders --------------------------------------------------------------- */

typedef struct be_order_result {
    er_code code;              /* ER_OK, ER_FENCED, ER_LOAD_FAILED, ... */
    const char *incarnation;   /* list and health */
    const char *const *models; /* list: NULL-terminated */
    bool leaving;              /* health */
    uint32_t running;          /* report */
    uint32_t waiting;          /* report */
    uint32_t lag_ms;           /* report: age of the sample */
} be_order_result;

typedef void (*be_order_callback)(be_server *server,
                                  const be_order_result *result,
                                  void *user_data);

void be_load(be_server *server, const char *model, be_order_callback call,
             void *user_data);
void be_evict(be_server *server, const char *model, be_order_callback call,
              void *user_data);
void be_list_adapters(be_server *server, be_order_callback call,
                      void *user_data);
void be_fetch_report(be_server *server, be_order_callback call,
                     void *user_data);
void be_check_health(be_server *server, be_order_callback call,
                     void *user_data);

/* -- calls of plain services ---------------------------------------------- */

typedef enum be_ran {
    BE_RAN_DEFAULT = 0, /* unknown */
    BE_RAN_NO,          /* certainly not */
    BE_RAN_YES,
    BE_RAN_UNKNOWN,
    BE_RAN_NUM
} be_ran;

typedef struct be_call_result {
    er_code code;
    be_ran ran;
    uint32_t http_status;
    GBytes *body; /* answer's body; NULL without an answer */
    er_status status;
} be_call_result;

typedef void (*be_call_callback)(be_server *server,
                                 const be_call_result *result,
                                 void *user_data);

typedef struct be_call_desc {
    const char *operation; /* required */
    const char *attempt;   /* required */
    const char *key;       /* idempotency key; NULL none */
    GBytes *body;          /* required: JSON */
    bool repeatable;       /* may be sent again by the HTTP library */
    uint32_t timeout_ms;   /* default 10000 */
    be_call_callback call; /* required */
    void *user_data;
} be_call_desc;

void be_call(be_server *server, const be_call_desc *desc);

/* queries */
uint32_t be_query_open_streams(const be_server *server);
const char *be_query_address(const be_server *server);

#endif
