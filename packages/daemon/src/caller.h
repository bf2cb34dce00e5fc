/*
 * caller.h: the callers' side of the daemon (prefix ca_).
 *
 * HTTP for callers: POST /v1/completions, POST /v1/chat/completions,
 * GET /v1/models, POST /v1/services/OPERATION, and for operators GET
 * /metrics, /healthz, /readyz. Checks keys and sizes, finds adapter and
 * version, hands drafts to the scheduler and calls to cs_, and writes the
 * answers.
 *
 *     ca_server *callers = ca_create(&(ca_desc){...}, &status);
 *     ca_set_config(callers, config);
 *     ca_stop(callers);
 *
 * Request headers: Authorization: Bearer KEY, X-Deadline-Ms,
 * X-Operation, Idempotency-Key. Answer headers: X-Request-Id, and of a
 * repeated call X-Replayed: true.
 *
 * Limits: one main context; a connection that sends nothing for
 * idle_timeout_s is closed; bodies over the configured size are refused
 * before they are read.
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
    const char *instance; /* begins request ids */
    uint64_t incarnation;
    uint32_t connections_max; /* default 8192 */
    uint32_t idle_timeout_s;  /* default 60 */
} ca_desc;

ca_server *ca_create(const ca_desc *desc, er_status *status);
void ca_destroy(ca_server *server);
/* Requests are taken from the first configuration on. */
void ca_set_config(ca_server *server, const dc_config *config);
/* /readyz tells the balancer; requests are still taken. */
void ca_set_ready(ca_server *server, bool ready);
/* New requests are refused with ER_STOPPING, as not run. */
void ca_stop(ca_server *server);

/* queries */
uint32_t ca_query_open(const ca_server *server);

#endif
