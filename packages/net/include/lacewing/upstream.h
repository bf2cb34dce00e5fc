/*
 * upstream.h: requests to servers over pooled connections (prefix us_).
 *
 * One us_pool for each address. A request takes an idle connection or makes
 * one, has it alone until its answer is complete, and gives it back when
 * nothing speaks against that: the answer keeps the connection, all of the
 * request has left, and no byte came that belongs to no request. Answers
 * with another request's id are passed over.
 *
 *     us_line *line = us_start(pool, &(us_desc){.calls = &calls,
 *         .user_data = self, .id_header = "Request-Id", .id = id});
 *     us_write(line, bytes, count);
 *
 * Ends: exactly one call of end(), unless us_cancel() came first. US_NOT_SENT
 * is given only when no byte of the request has left this process.
 *
 * Limits: a connection is made when none is idle, up to the pool's capacity;
 * time-outs of answers are the user's.
 */
#ifndef LACEWING_UPSTREAM_H
#define LACEWING_UPSTREAM_H

#include "lacewing/conn.h"
#include "lacewing/http1.h"
#include "lacewing/timer.h"

typedef struct us_pool us_pool;
typedef struct us_line us_line;

typedef enum us_end {
    US_END_DEFAULT = 0,
    US_COMPLETE, /* the whole answer has come */
    US_BROKEN,   /* ended early, or is no answer in the protocol */
    US_NOT_SENT  /* no byte of the request has left */
} us_end;

typedef struct us_calls {
    void (*head)(us_line *line, const h1_head *head, void *user_data);
    void (*body)(us_line *line, const char *bytes, size_t count,
                 void *user_data);
    void (*end)(us_line *line, us_end end, void *user_data);
} us_calls;

typedef struct us_pool_desc {
    nc_hub *hub;             /* required */
    lp_loop *loop;           /* required */
    const char *address;     /* required, IP:PORT */
    uint32_t capacity;       /* connections; default 64 */
    uint32_t idle_ms;        /* unused ones are closed; default 4000 */
    uint32_t idle_margin_ms; /* before the server's own idle limit; default
                                800 */
} us_pool_desc;

typedef struct us_desc {
    const us_calls *calls;
    void *user_data;
    const char *id_header; /* optional: answers with another id are not ours */
    const char *id;
    bool head_only; /* the request is a HEAD */
    bool fresh;     /* on a new connection */
} us_desc;

us_pool *us_create(const us_pool_desc *desc);
/* Requests under way end as broken. */
void us_destroy(us_pool *pool);
void us_set_capacity(us_pool *pool, uint32_t capacity);
/* Closes idle connections that are past their time. */
void us_tick(us_pool *pool, uint64_t now_us);
/* Closes all idle connections. */
void us_drop_idle(us_pool *pool);

/* NULL: all connections are in use, or none can be made. */
us_line *us_start(us_pool *pool, const us_desc *desc);
void us_write(us_line *line, const char *bytes, size_t count);
void us_pause(us_line *line, bool paused);
void us_cancel(us_line *line);

/* queries */
/* Head of the answer that ends; valid in end(). */
const h1_head *us_query_head(const us_line *line);
bool us_query_connected(const us_line *line);
bool us_query_sent(const us_line *line);
/* It had served other requests before. */
bool us_query_reused(const us_line *line);
uint32_t us_query_open(const us_pool *pool);
uint64_t us_query_made(const us_pool *pool);

#endif
