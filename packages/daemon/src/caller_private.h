/* caller_private.h: shared by the sources of the callers' HTTP server. */
#ifndef LACEWING_CALLER_PRIVATE_H
#define LACEWING_CALLER_PRIVATE_H

#include "caller.h"
#include "http_reply.h"
#include "rate_limit.h"

/* Size of the buffers for request ids and team names. */
#define _CA_NAME_BUFFER_BYTES 80

struct ca_server {
    tm_service *timers;
    sc_scheduler *scheduler;
    cs_calls *calls;
    ex_ring *explain;
    tl_context *tls;
    dc_config *config;       /* NULL until the first configuration */
    GSocketService *service; /* accepts the connections */
    SoupServer *soup;        /* serves them */
    char *instance; /* with incarnation and next_request: a request's id */
    uint64_t incarnation;
    uint64_t next_request;
    uint32_t connections;
    uint32_t connections_max;
    uint32_t idle_timeout_s;
    uint32_t open_requests;
    lm_limiter *rate_limiter;
    bool ready;
    bool stopping;
};

/* The part of a request that drafts and calls have in common. */
typedef struct _ca_request {
    ca_server *server;
    SoupServerMessage *message;
    char id[_CA_NAME_BUFFER_BYTES];
    char team[_CA_NAME_BUFFER_BYTES];
    uint32_t team_weight;
    uint32_t deadline_ms;
    uint64_t started_us;
    uint32_t body_bytes;
    gulong finished_handler;
    guint disconnect_source; /* watches the socket; 0: none */
    void (*on_disconnect)(struct _ca_request *request);
    void *user_data; /* for on_disconnect */
} _ca_request;

/* Checks the method, that requests are accepted, the key, the team and its
   rate. Returns NULL after refusing the request. */
_ca_request *_ca_request_create(ca_server *server, SoupServerMessage *message);
void _ca_request_free(_ca_request *request);
/* Pauses the message until the caller of this function unpauses it, and calls
   on_disconnect if the caller's connection ends first. */
void _ca_request_defer(_ca_request *request,
                       void (*on_disconnect)(_ca_request *request));
/* Sets the deadline from X-Deadline-Ms, else from the operation. Returns false
   after refusing the request. */
bool _ca_request_set_deadline(_ca_request *request,
                              const dc_operation *operation);
uint32_t _ca_request_elapsed_ms(const _ca_request *request);
/* Completes the entry with the id, team and times, counts the answer in the
   metrics, and adds the entry to the explain ring. */
void _ca_request_record(const _ca_request *request, ex_entry *entry);
void _ca_refuse(SoupServerMessage *message, er_code code, const char *text);
/* Parses the body as a JSON object. Returns NULL after refusing it. */
JsonObject *_ca_parse_body(SoupServerMessage *message, JsonParser *parser);

/* caller_listen.c */
/* Accepts connections at IP:PORT. */
er_code _ca_listen(ca_server *server, const char *address, er_status *status);
/* Makes libsoup listen on an unreachable Unix socket: it keeps connections
   open for a next request only while it listens on a socket of its own. */
er_code _ca_enable_keep_alive(ca_server *server, er_status *status);
/* The socket under the message's connection; borrowed; NULL: not known. */
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
