/*
 * backend.h: client of one backend server (prefix be_).
 *
 * Each be_server talks to one backend server over HTTP (docs/BACKEND_API.md):
 *
 * - Completions are streams: a callback for each token, then exactly one
 *   callback for the end.
 * - Orders are control requests: load, evict, list, report and health check.
 *   Each ends with one callback.
 * - Calls go to the operations of a plain service. Each ends with one
 *   callback.
 *
 *     be_server *server = be_create(&(be_desc){
 *         .address = "127.0.0.1:8100", .timers = timers});
 *     be_set_fence(server, 7, "daemon-1");
 *     be_stream *stream = be_complete(server, &(be_complete_desc){
 *         .model = "a@1", .prompt = "p", .max_tokens = 64,
 *         .attempt = "r/1", .on_token = ..., .on_end = ...});
 *     be_stream_destroy(stream);
 *
 * A stream that receives nothing for stall_timeout_ms is given up, because a
 * dead connection may report no error. The client then checks the server's
 * health over a new connection: the stream ends with BE_END_STALLED if the
 * server answers, else with BE_END_SERVER_DOWN.
 *
 * A call that must not be repeated is sent once, over a new connection. A
 * pooled connection may have died while idle, and the HTTP library may then
 * send the call again.
 *
 * Limits: one main context. No callback runs inside the function that starts
 * the work.
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
    uint32_t connections;      /* most open at once; default 512 */
    uint32_t stall_timeout_ms; /* between two reads; default 1500 */
    uint32_t start_timeout_ms; /* until the first token; default 15000 */
    uint32_t order_timeout_ms; /* of an order; default 10000 */
    uint32_t probe_timeout_ms; /* of be_check_health() and
                                  be_list_adapters(); default 500 */
} be_desc;

be_server *be_create(const be_desc *desc);
/* Ends all streams, orders and calls without a callback. Destroys the streams
   that have not ended. */
void be_destroy(be_server *server);

/* Sets the fencing number and owner name of all later requests. */
void be_set_fence(be_server *server, uint64_t fence, const char *owner);

/* -- completions ---------------------------------------------------------- */

typedef enum be_end {
    BE_END_DEFAULT = 0,  /* same as BE_END_BROKEN */
    BE_END_COMPLETED,    /* the done event was received */
    BE_END_PAUSED,       /* paused by be_stream_pause() */
    BE_END_NOT_STARTED,  /* refused or not connected: nothing ran */
    BE_END_NOT_RESIDENT, /* the adapter is not resident: nothing ran */
    BE_END_FENCED,       /* the server has a newer owner: nothing ran */
    BE_END_BROKEN,       /* the stream broke; the server passes its health
                            check, or the stream's events are invalid */
    BE_END_STALLED,      /* no progress within the timeout; the server passes
                            its health check */
    BE_END_SERVER_DOWN,  /* broke or made no progress; the server fails its
                            health check */
    BE_END_NUM
} be_end;

typedef struct be_result {
    be_end end;
    uint32_t tokens;           /* index after the last token received */
    const char *finish_reason; /* only for BE_END_COMPLETED */
    er_status status;          /* reason of any other end */
} be_result;

/* Receives one token: its index in the complete answer and its text. */
typedef void (*be_token_callback)(be_stream *stream, uint32_t index,
                                  const char *text, void *user_data);
/* The callback may destroy the stream. */
typedef void (*be_end_callback)(be_stream *stream, const be_result *result,
                                void *user_data);

typedef struct be_complete_desc {
    const char *model;          /* required: ADAPTER@VERSION */
    const char *prompt;         /* required */
    const char *attempt;        /* required: unique ID of this attempt */
    uint32_t max_tokens;        /* of the complete answer */
    uint32_t resume_from;       /* index of the first token to send */
    uint32_t priority;          /* lower values run first */
    be_token_callback on_token; /* required */
    be_end_callback on_end;     /* required */
    void *user_data;
} be_complete_desc;

be_stream *be_complete(be_server *server, const be_complete_desc *desc);
/* Ends the stream without a callback and tells the engine to cancel it. */
void be_stream_destroy(be_stream *stream);
/* Asks the engine to pause. The stream ends with BE_END_PAUSED if the engine
   does. */
void be_stream_pause(be_stream *stream);
/* Stops or resumes reading, for backpressure. */
void be_stream_set_read_stopped(be_stream *stream, bool stopped);

/* -- orders --------------------------------------------------------------- */

typedef struct be_order_result {
    er_code code;              /* ER_OK, ER_FENCED, ER_LOAD_FAILED, ... */
    const char *incarnation;   /* of list and health check */
    const char *const *models; /* of list: NULL-terminated */
    bool leaving;              /* of health check */
    uint32_t running;          /* of report: requests */
    uint32_t waiting;          /* of report: requests */
    uint32_t lag_ms;           /* of report: age of the sample */
} be_order_result;

typedef void (*be_order_callback)(be_server *server,
                                  const be_order_result *result,
                                  void *user_data);

/* model is ADAPTER@VERSION. */
void be_load(be_server *server, const char *model, be_order_callback callback,
             void *user_data);
void be_evict(be_server *server, const char *model, be_order_callback callback,
              void *user_data);
/* Lists the adapters that the server holds, with its incarnation. */
void be_list_adapters(be_server *server, be_order_callback callback,
                      void *user_data);
/* Fetches the server's load report: running and waiting requests. */
void be_fetch_report(be_server *server, be_order_callback callback,
                     void *user_data);
/* Checks the server's health over a new connection. */
void be_check_health(be_server *server, be_order_callback callback,
                     void *user_data);

/* -- calls of plain services ---------------------------------------------- */

/* Whether the operation ran at the server. */
typedef enum be_ran {
    BE_RAN_DEFAULT = 0, /* same as BE_RAN_UNKNOWN */
    BE_RAN_NO,          /* it is certain that it did not run */
    BE_RAN_YES,
    BE_RAN_UNKNOWN, /* it may have run */
    BE_RAN_NUM
} be_ran;

typedef struct be_call_result {
    er_code code;
    be_ran ran;
    uint32_t http_status;
    GBytes *body; /* of the answer; NULL if there is none */
    er_status status;
} be_call_result;

typedef void (*be_call_callback)(be_server *server,
                                 const be_call_result *result,
                                 void *user_data);

typedef struct be_call_desc {
    const char *operation; /* required */
    const char *attempt;   /* required: ID of this attempt */
    const char *key;       /* idempotency key; NULL: none */
    GBytes *body;          /* required: JSON */
    bool repeatable;       /* the HTTP library may send it again */
    uint32_t timeout_ms;   /* default order_timeout_ms (10000) */
    be_call_callback call; /* required: receives the result */
    void *user_data;
} be_call_desc;

void be_call(be_server *server, const be_call_desc *desc);

/* -- queries -------------------------------------------------------------- */

/* Number of streams that have not ended. */
uint32_t be_query_open_streams(const be_server *server);
const char *be_query_address(const be_server *server);

#endif
