/*
 * conn.h: TCP connections on the loop (prefix nc_).
 *
 * A connection reads into one shared buffer and hands the bytes to its user;
 * what the user does not use is kept until nc_resume(). Writes of one turn
 * leave together before the loop sleeps. Every connection has TCP_NODELAY,
 * short keep-alive probes and TCP_USER_TIMEOUT, so that a peer behind a
 * partition ends in NC_LOST rather than in silence.
 *
 *     nc_conn *conn = nc_connect(hub, "10.0.0.7:8080", &calls, self);
 *     nc_write(conn, bytes, count);
 *     nc_close(conn);
 *
 * nc_close() may be called at any time, also from a call back; the memory
 * goes after the turn. After `closed` was called the connection is closed
 * already and must not be used.
 *
 * Limits: IPv4 by number; one thread.
 */
#ifndef LACEWING_CONN_H
#define LACEWING_CONN_H

#include "lacewing/error.h"
#include "lacewing/loop.h"
#include <netinet/in.h>
#include <stddef.h>

typedef struct nc_hub nc_hub;
typedef struct nc_conn nc_conn;
typedef struct nc_listener nc_listener;

typedef enum nc_end {
    NC_END_DEFAULT = 0,
    NC_FINISHED, /* the peer ended it in order */
    NC_LOST,     /* reset, timed out or failed */
    NC_REFUSED   /* never connected */
} nc_end;

typedef struct nc_calls {
    /* optional: connected; not called for accepted ones */
    void (*opened)(nc_conn *conn, void *user_data);
    /* Returns how many bytes were used. */
    size_t (*data)(nc_conn *conn, const char *bytes, size_t count,
                   void *user_data);
    void (*closed)(nc_conn *conn, nc_end end, void *user_data);
    /* optional: all written bytes have left */
    void (*drained)(nc_conn *conn, void *user_data);
} nc_calls;

typedef void (*nc_accepted)(nc_conn *conn, void *user_data);

typedef struct nc_hub_desc {
    lp_loop *loop;            /* required */
    uint32_t user_timeout_ms; /* unacknowledged bytes end the connection;
                                 default 2000 */
    uint32_t kept_bytes;      /* unused input kept before reading stops;
                                 default 65536 */
} nc_hub_desc;

nc_hub *nc_create(const nc_hub_desc *desc);
/* Connections must be closed before. */
void nc_destroy(nc_hub *hub);

nc_listener *nc_listen(nc_hub *hub, const char *address, nc_accepted accepted,
                       void *user_data, er_status *status);
void nc_unlisten(nc_listener *listener);

/* IP:PORT as a socket's name; false: it is not one. */
bool nc_parse_address(const char *address, struct sockaddr_in *out);

/* NULL when the address is not one or no descriptor is left. */
nc_conn *nc_connect(nc_hub *hub, const char *address, const nc_calls *calls,
                    void *user_data);
/* For an accepted connection, before the turn ends. */
void nc_set_calls(nc_conn *conn, const nc_calls *calls, void *user_data);

void nc_write(nc_conn *conn, const char *bytes, size_t count);
/* Offers kept input again. */
void nc_resume(nc_conn *conn);
/* Stops or goes on reading, when the other side takes no more. */
void nc_pause(nc_conn *conn, bool paused);
/* Sends what is written, then a FIN; input is dropped from then on. */
void nc_finish(nc_conn *conn);
/* The same, but input is left unread: the peer can tell from the end of the
   connection that what it sent was not taken. */
void nc_finish_unread(nc_conn *conn);
void nc_close(nc_conn *conn);
/* Closes it after what is written has left, as far as the socket takes it now:
   for an end of the loop itself, which sends nothing after its last turn. */
void nc_close_sent(nc_conn *conn);

/* queries */
bool nc_query_open(const nc_conn *conn);
/* Bytes that were not handed over yet stand in the socket. */
bool nc_query_input(const nc_conn *conn);
/* Neither bytes nor the peer's end stand in the socket. */
bool nc_query_quiet(const nc_conn *conn);
/* Bytes that have left this process. */
uint64_t nc_query_sent(const nc_conn *conn);
size_t nc_query_unsent(const nc_conn *conn);
size_t nc_query_kept(const nc_conn *conn);
uint32_t nc_query_count(const nc_hub *hub);

#endif
