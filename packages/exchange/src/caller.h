/*
 * caller.h: HTTP connections of callers (prefix cr_).
 *
 * Reads one request at a time from each connection and hands it to the user
 * once it is complete; bytes after it wait until it is answered. Answers are
 * sent with a length, in chunks, or, to an HTTP/1.0 caller, until the
 * connection closes. The configuration's limits apply to the size of heads
 * and bodies, to the time a head takes, to idle connections, and to the time
 * for which a caller reads nothing of its answer.
 *
 * Limits: a request body is buffered whole before the request is handed on.
 */
#ifndef LACEWING_CALLER_H
#define LACEWING_CALLER_H

#include "lacewing/conn.h"
#include "lacewing/http1.h"
#include "lacewing/routes.h"

typedef struct cr_port cr_port;
typedef struct cr_conn cr_conn;

/* Why a caller's connection ended before its answer. */
typedef enum cr_gone_reason {
    CR_CLOSED = 0, /* the caller closed it in order */
    CR_LOST,       /* reset or failed */
    CR_UNREAD,     /* the caller has read nothing for the idle limit */
    CR_SILENT,     /* the caller's machine no longer acknowledges */
    CR_NO_MEMORY   /* cr_drop(): no memory for what the caller has not read */
} cr_gone_reason;

typedef struct cr_callbacks {
    /* A request is complete. The user ends it with exactly one cr_respond(),
       cr_end_stream() or cr_abort(), unless gone() comes first. Returns the
       user's request, which is passed to gone() and drained(). */
    void *(*request)(cr_conn *conn, const h1_head *head, const char *body,
                     size_t body_count, void *user_data);
    /* The caller's connection ended; the request must not be answered. */
    void (*gone)(void *request, cr_gone_reason why, void *user_data);
    /* optional: all written bytes have left, see cr_query_unsent_bytes() */
    void (*drained)(void *request, void *user_data);
} cr_callbacks;

typedef struct cr_desc {
    nc_hub *hub;         /* required */
    lp_loop *loop;       /* required */
    const char *address; /* required, IP:PORT */
    const cr_callbacks *callbacks;
    void *user_data;
} cr_desc;

typedef struct cr_answer {
    uint32_t status;
    const char *headers; /* lines with CRLF each; or NULL */
    const char *body;
    size_t body_count;
    bool no_body; /* answer to a HEAD: neither body nor Content-Length */
    bool close;   /* the connection ends after it */
} cr_answer;

cr_port *cr_create(const cr_desc *desc, er_status *status);
void cr_destroy(cr_port *port);
void cr_set_limits(cr_port *port, const rc_limits *limits);
/* Applies the time-outs; call it several times a second. */
void cr_tick(cr_port *port, uint64_t now_us);
/* Makes every connection close after its answer; idle connections stay until
   cr_close_idle(). An answer that has begun keeps its connection. */
void cr_disable_keep_alive(cr_port *port);
/* Closes idle connections, except new ones that may still send their first
   request. */
void cr_close_idle(cr_port *port);

/* Closes the connection at once and frees what the caller has not read; calls
   gone(). */
void cr_drop(cr_conn *conn, cr_gone_reason why);
/* Returns the text of a reason, for logs. */
const char *cr_query_gone_text(cr_gone_reason why);

void cr_respond(cr_conn *conn, const cr_answer *answer);
/* Sends a stream: its head, its pieces and its regular end. */
void cr_begin_stream(cr_conn *conn, uint32_t status, const char *headers);
void cr_write_piece(cr_conn *conn, const char *bytes, size_t count);
void cr_end_stream(cr_conn *conn);
/* Closes the connection; a stream that has begun is left visibly
   incomplete. */
void cr_abort(cr_conn *conn);

/* queries */
uint32_t cr_query_open_connections(const cr_port *port);
/* Connections with a request that is not answered yet. */
uint32_t cr_query_busy_connections(const cr_port *port);
size_t cr_query_unsent_bytes(const cr_conn *conn);

#endif
