/* caller_private.h: what the files of the callers' side share. */
#ifndef LACEWING_CALLER_PRIVATE_H
#define LACEWING_CALLER_PRIVATE_H

#include "caller.h"
#include "http_reply.h"
#include "rate.h"

#define _CA_TEXT_BYTES 80

struct ca_server {
    tm_service *timers;
    sc_scheduler *scheduler;
    cs_calls *calls;
    ex_ring *explain;
    tl_context *tls;
    dc_config *config; /* NULL: not ready */
    GSocketService *service;
    SoupServer *soup;
    char *instance;
    uint64_t incarnation;
    uint64_t next_request;
    uint32_t connections;
    uint32_t connections_max;
    uint32_t idle_timeout_s;
    uint32_t open;
    lm_limiter *rates;
    bool ready;
    bool stopping;
};

/* What is known of a request before its kind matters. */
typedef struct _ca_request {
    ca_server *server;
    SoupServerMessage *message;
    char id[_CA_TEXT_BYTES];
    char team[_CA_TEXT_BYTES];
    uint32_t team_weight;
    uint32_t deadline_ms;
    uint64_t started_us;
    uint32_t body_bytes;
    gulong finished_handler;
    guint gone_source; /* watches for a caller that leaves */
    void (*on_gone)(struct _ca_request *request);
    void *user_data; /* of on_gone */
} _ca_request;

/* Checks readiness, key, team and rate. NULL: refused already. */
_ca_request *_ca_request_create(ca_server *server, SoupServerMessage *message);
void _ca_request_free(_ca_request *request);
/* Holds the answer back until the request is answered, and calls on_gone if
   the caller leaves first. */
void _ca_request_hold(_ca_request *request,
                      void (*on_gone)(_ca_request *request));
/* Sets the deadline from the header, else the operation's. False: refused. */
bool _ca_request_deadline(_ca_request *request, const dc_operation *operation);
uint32_t _ca_request_elapsed_ms(const _ca_request *request);
void _ca_request_explain(const _ca_request *request, ex_entry *entry);
void _ca_refuse(SoupServerMessage *message, er_code code, const char *text);
/* Parses the body as a JSON object; NULL: refused already. */
JsonObject *_ca_body(SoupServerMessage *message, JsonParser *parser);

/* caller_listen.c: takes connections at IP:PORT. */
er_code _ca_listen(ca_server *server, const char *address, er_status *status);
/* The library keeps connections for a next request only while it listens on
   a socket of its own: gives it one that nobody can reach. */
er_code _ca_keep_connections(ca_server *server, er_status *status);
/* Borrowed; NULL: not known. */
GSocket *_ca_query_socket(SoupServerMessage *message);

/* caller_draft.c */
void _ca_on_completions(SoupServer *soup, SoupServerMessage *message,
                        const char *path, GHashTable *query, void *data);
void _ca_on_chat(SoupServer *soup, SoupServerMessage *message,
                 const char *path, GHashTable *query, void *data);
/* caller_service.c */
void _ca_on_service(SoupServer *soup, SoupServerMessage *message,
                    const char *path, GHashTable *query, void *data);

#endif
