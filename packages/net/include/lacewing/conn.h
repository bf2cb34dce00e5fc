/*
 * conn.h: TCP connections on the event loop (prefix nc_).
 *
 * An nc_hub holds what the connections of one event loop share. They read into
 * its buffer, one after another, and pass the bytes to the `data` callback.
 * Bytes that it does not consume are kept and passed again with the next input
 * or by nc_resume(). What is written during one iteration of the loop is sent
 * together before the loop sleeps. Every connection has TCP_NODELAY, short
 * keep-alive probes and TCP_USER_TIMEOUT, so that a peer behind a network
 * partition ends in NC_LOST rather than in silence. TCP_USER_TIMEOUT also ends
 * a connection whose peer is alive but reads nothing; nc_allow_slow_reader()
 * replaces it.
 *
 *     nc_conn *conn = nc_connect(hub, "10.0.0.7:8080", &callbacks, self);
 *     nc_write(conn, bytes, count);
 *     nc_close(conn);
 *
 * nc_close() may be called at any time, also from a callback; the memory is
 * freed before the loop sleeps. `closed` reports every other end, never that
 * by nc_close(). When it is called, the connection is closed already and must
 * not be used any more.
 *
 * Limits: numeric IPv4 addresses, no name resolution; one thread.
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
    NC_END_DEFAULT = 0, /* never reported */
    NC_FINISHED,        /* the peer closed it in order */
    NC_LOST,            /* reset, timed out or failed */
    NC_REFUSED          /* could not be established */
} nc_end;

typedef struct nc_callbacks {
    /* optional: connection established; not called for accepted ones */
    void (*opened)(nc_conn *conn, void *user_data);
    /* Returns how many bytes were consumed. */
    size_t (*data)(nc_conn *conn, const char *bytes, size_t count,
                   void *user_data);
    /* The connection ended, but not by nc_close(). */
    void (*closed)(nc_conn *conn, nc_end end, void *user_data);
    /* optional: all written bytes were passed to the socket */
    void (*drained)(nc_conn *conn, void *user_data);
} nc_callbacks;

/* Called for each connection that a listener accepts. */
typedef void (*nc_accepted)(nc_conn *conn, void *user_data);

typedef struct nc_hub_desc {
    lp_loop *loop; /* required */
    /* closes the connection when sent bytes stay unacknowledged for so long;
       default 2000 */
    uint32_t user_timeout_ms;
    /* unconsumed input of a connection beyond which reading stops; default
       65536 */
    uint32_t max_unconsumed_bytes;
} nc_hub_desc;

nc_hub *nc_create(const nc_hub_desc *desc);
/* All connections must have been closed before. */
void nc_destroy(nc_hub *hub);

/* Listens on IP:PORT. Returns NULL if that fails; `status` says why.
   `accepted` has to call nc_set_callbacks() or nc_close(). */
nc_listener *nc_listen(nc_hub *hub, const char *address, nc_accepted accepted,
                       void *user_data, er_status *status);
/* Stops listening; accepted connections stay open. */
void nc_unlisten(nc_listener *listener);

/* Parses IP:PORT. Returns false when the text is not one. */
bool nc_parse_address(const char *address, struct sockaddr_in *out);

/* Starts to connect; writes are queued until the connection is established.
   Returns NULL if the address is not IP:PORT, no descriptor is left or
   connecting failed at once. */
nc_conn *nc_connect(nc_hub *hub, const char *address,
                    const nc_callbacks *callbacks, void *user_data);
/* Sets the callbacks of an accepted connection. Must be called before the
   current iteration of the loop ends. */
void nc_set_callbacks(nc_conn *conn, const nc_callbacks *callbacks,
                      void *user_data);

/* Copies the bytes and sends them before the loop sleeps, or later when the
   socket takes them. */
void nc_write(nc_conn *conn, const char *bytes, size_t count);
/* Passes unconsumed input to `data` again. */
void nc_resume(nc_conn *conn);
/* Stops or continues reading, for backpressure. */
void nc_pause(nc_conn *conn, bool paused);
/* Lets the peer read nothing for as long as it likes: its closed window no
   longer ends the connection. The caller of this bounds that time itself and
   asks nc_query_peer_silent() whether the peer still acknowledges. */
void nc_allow_slow_reader(nc_conn *conn);
/* Sends what was written, then a FIN; drops input from then on. */
void nc_finish(nc_conn *conn);
/* Same as nc_finish(), but leaves input unread in the socket: the peer can
   tell from the end of the connection that what it sent was not processed. */
void nc_finish_unread(nc_conn *conn);
/* Sets whether the peer sees a reset, not an orderly end, when the connection
   is closed without nc_finish(), also by the end of this process. */
void nc_reset_on_close(nc_conn *conn, bool reset);
/* Drops written bytes that are not sent yet; `closed` is not called. */
void nc_close(nc_conn *conn);
/* Sends as much of the written bytes as the socket takes now, then closes. For
   the shutdown of the loop, which sends nothing after its last iteration. */
void nc_flush_and_close(nc_conn *conn);

/* queries */
/* Established and not closed. */
bool nc_query_open(const nc_conn *conn);
/* The socket holds bytes that were not read yet. */
bool nc_query_input_pending(const nc_conn *conn);
/* Not closed, and the socket holds neither bytes nor the peer's FIN. */
bool nc_query_nothing_to_read(const nc_conn *conn);
/* Bytes passed to the socket so far. */
uint64_t nc_query_sent(const nc_conn *conn);
/* Bytes written but not passed to the socket yet. */
size_t nc_query_unsent(const nc_conn *conn);
/* Bytes of input kept because `data` did not consume them. */
size_t nc_query_unconsumed(const nc_conn *conn);
/* The peer acknowledges neither bytes nor probes of its window, and has not
   for the hub's user_timeout_ms. Costs a system call. */
bool nc_query_peer_silent(const nc_conn *conn);
uint32_t nc_query_conn_count(const nc_hub *hub);

#endif
