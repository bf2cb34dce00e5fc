/*
 * caller.h: connections of callers (prefix cr_).
 *
 * Reads one request at a time from each connection and hands it over when it
 * is whole; what follows it waits. Answers go out with a length, in chunks,
 * or to a caller of HTTP/1.0 up to the end of the connection. Limits of the
 * configuration hold for heads, bodies, slow heads and idle connections.
 *
 * Limits: a body is gathered before the request goes on.
 */
#ifndef LACEWING_CALLER_H
#define LACEWING_CALLER_H

#include "lacewing/conn.h"
#include "lacewing/http1.h"
#include "lacewing/routes.h"

typedef struct cr_port cr_port;
typedef struct cr_conn cr_conn;

typedef struct cr_calls {
    /* A request is whole. Ends with exactly one cr_respond(), cr_end() or
       cr_abort(), unless gone() comes first. Returns what gone() takes. */
    void *(*request)(cr_conn *conn, const h1_head *head, const char *body,
                     size_t body_count, void *user_data);
    /* The caller has closed its connection; the request is void. */
    void (*gone)(void *request, void *user_data);
    /* Written bytes have left after cr_query_unsent() was high. */
    void (*drained)(void *request, void *user_data);
} cr_calls;

typedef struct cr_desc {
    nc_hub *hub;         /* required */
    lp_loop *loop;       /* required */
    const char *address; /* required, IP:PORT */
    const cr_calls *calls;
    void *user_data;
} cr_desc;

typedef struct cr_answer {
    uint32_t status;
    const char *headers; /* lines with CRLF each; or NULL */
    const char *body;
    size_t body_count;
    bool no_body; /* answer to a HEAD: the length is told only */
    bool close;   /* the connection ends after it */
} cr_answer;

cr_port *cr_create(const cr_desc *desc, er_status *status);
void cr_destroy(cr_port *port);
void cr_set_limits(cr_port *port, const rc_limits *limits);
/* Time-outs of heads and idle connections; call some times a second. */
void cr_tick(cr_port *port, uint64_t now_us);
/* Answers tell callers to close; idle connections end when told. */
void cr_leave(cr_port *port);
void cr_close_idle(cr_port *port);

void cr_respond(cr_conn *conn, const cr_answer *answer);
/* Streams: the head, pieces, and a good or a bad end. */
void cr_begin(cr_conn *conn, uint32_t status, const char *headers);
void cr_piece(cr_conn *conn, const char *bytes, size_t count);
void cr_end(cr_conn *conn);
/* Ends the connection; what was begun stays visibly incomplete. */
void cr_abort(cr_conn *conn);

/* queries */
uint32_t cr_query_open(const cr_port *port);
uint32_t cr_query_busy(const cr_port *port);
size_t cr_query_unsent(const cr_conn *conn);

#endif
