/*
 * caller.h: the HTTP server for callers (prefix ca_).
 *
 * Serves POST /v1/completions, POST /v1/chat/completions, GET /v1/models and
 * POST /v1/services/OPERATION to callers, and GET /metrics, /healthz and
 * /readyz to operators. Checks keys, rates and body sizes, resolves the
 * adapter and its version, submits drafts to the scheduler (sc_) and calls
 * to cs_, and writes the answers.
 *
 *     ca_server *callers = ca_create(&(ca_desc){...}, &status);
 *     ca_set_config(callers, config);
 *     ca_stop(callers);
 *
 * Request headers: Authorization: Bearer KEY, X-Deadline-Ms,
 * X-Operation, Idempotency-Key. Answer headers: X-Request-Id, and
 * X-Replayed: true if a call got the stored outcome of an earlier attempt.
 *
 * Limits: one main context; a connection that sends nothing for
 * idle_timeout_s is closed. A body over the configured size is refused before
 * it is read if its length is stated; without a length (chunked) its bytes
 * are counted, and those over the limit are dropped.
 */
#ifndef LACEWING_CALLER_H
#define LACEWING_CALLER_H

#include "calls.h"
#include "explain.h"
#include "scheduler.h"
#include "tls.h"

typedef struct ca_server ca_server;

typedef struct ca_desc {
    tm_service *timers;
    sc_scheduler *scheduler;
    cs_calls *calls;
    ex_ring *explain;
    tl_context *tls;      /* NULL: plain HTTP */
    const char *address;  /* IP:PORT */
    const char *instance; /* first part of request ids */
    uint64_t incarnation;
    uint32_t connections_max; /* further ones are closed; default 8192 */
    uint32_t idle_timeout_s;  /* default 60 */
} ca_desc;

ca_server *ca_create(const ca_desc *desc, er_status *status);
void ca_destroy(ca_server *server);
/* Sets the configuration for new requests. Until the first call, requests
   are refused with ER_NOT_READY. */
void ca_set_config(ca_server *server, const dc_config *config);
/* Sets what /readyz reports to load balancers. Requests are accepted either
   way. */
void ca_set_ready(ca_server *server, bool ready);
/* Refuses new requests with ER_STOPPING and DR_RAN_NOT_RUN; open ones go
   on. */
void ca_stop(ca_server *server);

/* queries */
/* Requests for drafts and calls that are not yet answered. */
uint32_t ca_query_open_requests(const ca_server *server);

#endif
