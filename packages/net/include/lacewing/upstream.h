/*
 * upstream.h: requests to servers over pooled connections (prefix us_).
 *
 * There is one us_pool per address. A request takes an idle connection or
 * opens one, uses it alone until its answer is complete, and returns it to the
 * pool if it can be reused: the answer keeps the connection open, the whole
 * request was sent, and no bytes arrived that belong to no request. Answers
 * that carry the id of another request are skipped.
 *
 *     us_conn *conn = us_start(pool, &(us_desc){.calls = &calls,
 *         .user_data = self, .id_header = "Request-Id", .id = id});
 *     us_write(conn, bytes, count);
 *
 * end() is called exactly once, unless us_cancel() came first. US_NOT_SENT is
 * reported only when no byte of the request has left this process.
 *
 * Limits: a connection is opened when none is idle, up to the pool's capacity;
 * the user has to time out answers.
 */
#ifndef LACEWING_UPSTREAM_H
#define LACEWING_UPSTREAM_H

#include "lacewing/conn.h"
#include "lacewing/http1.h"
#include "lacewing/timer.h"

typedef struct us_pool us_pool;
/* A pooled connection with the request that uses it. The user may refer to it
   until end() returns or us_cancel() is called. */
typedef struct us_conn us_conn;

typedef enum us_end {
    US_END_DEFAULT = 0, /* never reported */
    US_COMPLETE,        /* the whole answer was received */
    US_BROKEN,          /* ended early, or the answer is not valid HTTP */
    US_NOT_SENT         /* no byte of the request has left this process */
} us_end;

typedef struct us_callbacks {
    void (*head)(us_conn *conn, const h1_head *head, void *user_data);
    void (*body)(us_conn *conn, const char *bytes, size_t count,
                 void *user_data);
    void (*end)(us_conn *conn, us_end end, void *user_data);
} us_callbacks;

typedef struct us_pool_desc {
    nc_hub *hub;             /* required */
    lp_loop *loop;           /* required */
    const char *address;     /* required, IP:PORT */
    uint32_t capacity;       /* most connections; default 64 */
    uint32_t idle_ms;        /* closes connections idle for so long;
                                default 4000 */
    uint32_t idle_margin_ms; /* closes this long before the idle timeout
                                that the server announces, so that no request
                                meets its close; default 800 */
} us_pool_desc;

typedef struct us_desc {
    const us_callbacks *calls;
    void *user_data;
    const char *id_header; /* optional: skips answers with another id here */
    const char *id;
    bool head_only; /* the method is HEAD: the answer has no body */
    bool fresh;     /* opens a new connection instead of an idle one */
} us_desc;

us_pool *us_create(const us_pool_desc *desc);
/* Requests in flight end with US_BROKEN. */
void us_destroy(us_pool *pool);
/* Sets the most connections, at least 1; does not close any. */
void us_set_capacity(us_pool *pool, uint32_t capacity);
/* Closes idle connections whose idle time has run out. */
void us_close_expired(us_pool *pool, uint64_t now_us);
/* Closes all idle connections. */
void us_close_idle(us_pool *pool);

/* Starts a request. Returns NULL if all connections are in use, or none can be
   opened. */
us_conn *us_start(us_pool *pool, const us_desc *desc);
/* Opens a connection that becomes idle, to learn whether the server accepts
   one; see us_query_established_count() and us_query_refused_us(). Does
   nothing if one is being opened already. */
void us_open_idle(us_pool *pool);
void us_write(us_conn *conn, const char *bytes, size_t count);
/* Stops or continues reading the answer. */
void us_pause(us_conn *conn, bool paused);
/* Closes the connection without calling end(). */
void us_cancel(us_conn *conn);

/* queries */
/* Head of the answer; valid in end(). */
const h1_head *us_query_head(const us_conn *conn);
bool us_query_connected(const us_conn *conn);
/* Part of the current request has left this process. */
bool us_query_any_sent(const us_conn *conn);
/* The connection has served other requests before. */
bool us_query_reused(const us_conn *conn);
/* Connections of the pool, idle and in use. */
uint32_t us_query_conn_count(const us_pool *pool);
/* Connections that are established, idle and in use. */
uint32_t us_query_established_count(const us_pool *pool);
/* When a connection could last not be established, on the loop's clock;
   0: never. */
uint64_t us_query_refused_us(const us_pool *pool);
/* Connections opened since us_create(). */
uint64_t us_query_opened_total(const us_pool *pool);

#endif
