#include "lacewing/upstream.h"

#include <string.h>

/* Defaults of us_pool_desc. */
#define _US_CAPACITY 64
#define _US_IDLE_MS 4000
#define _US_IDLE_MARGIN_MS 800
/* Least time for which an idle connection may be reused, also when the server
   announces a timeout below the margin. */
#define _US_IDLE_MIN_MS 200

struct us_pool {
    nc_hub *hub;
    lp_loop *loop;
    char *address;
    uint32_t capacity;
    uint64_t idle_us;
    uint64_t idle_margin_us;
    GQueue idle;      /* us_conn, most recently used first */
    GQueue active;    /* us_conn */
    us_conn *opening; /* of us_open_idle(), not established yet; or NULL */
    uint64_t refused_us;
    uint64_t opened_total;
};

struct us_conn {
    us_pool *pool;
    nc_conn *tcp;
    h1_reader *reader;
    GList link; /* in idle or active */
    us_desc desc;
    char *id;
    bool active;
    bool closed;
    /* The current answer is skipped: it belongs to another request or is
       interim (1xx). */
    bool skip_answer;
    bool not_reusable; /* close instead of returning to the pool */
    uint32_t requests_served;
    uint64_t idle_until_us;
    uint64_t idle_timeout_us;
    uint64_t sent_before_request; /* bytes sent for earlier requests */
    guint free_source; /* idle source that frees a cancelled connection */
};

/* -- private: connections ------------------------------------------------- */

/* Frees a connection that is in no queue. */
static void
_us_free_unlinked(us_conn *conn)
{
    if (conn->pool->opening == conn) {
        conn->pool->opening = NULL;
    }
    if (conn->free_source) {
        g_source_remove(conn->free_source);
    }
    if (!conn->closed) {
        nc_close(conn->tcp);
    }
    h1_destroy(conn->reader);
    g_free(conn->id);
    g_free(conn);
}

static void
_us_free(us_conn *conn)
{
    g_queue_unlink(conn->active ? &conn->pool->active : &conn->pool->idle,
                   &conn->link);
    _us_free_unlinked(conn);
}

/* Ends the request and makes its connection idle, or frees it. */
static void
_us_finish(us_conn *conn, us_end end)
{
    us_pool *pool = conn->pool;
    const h1_head *head = h1_query_head(conn->reader);
    bool reuse = end == US_COMPLETE && !conn->closed && !conn->not_reusable &&
                 head->keep_alive && nc_query_unsent(conn->tcp) == 0;
    if (conn->desc.calls) {
        conn->desc.calls->end(conn, end, conn->desc.user_data);
    }
    if (!reuse) {
        _us_free(conn);
        return;
    }
    g_queue_unlink(&pool->active, &conn->link);
    g_queue_push_head_link(&pool->idle, &conn->link);
    conn->active = false;
    conn->requests_served++;
    conn->idle_until_us = lp_query_now_us(pool->loop) + conn->idle_timeout_us;
    h1_reset(conn->reader);
    nc_pause(conn->tcp, false);
}

/* -- private: callbacks of the reader ------------------------------------- */

/* Sets how long the connection may stay idle, at most as the server's
   "Keep-Alive: timeout=SECONDS" allows. */
static void
_us_read_keep_alive(us_conn *conn, const h1_head *head)
{
    const char *value = h1_query_header(head, "keep-alive");
    const char *timeout = value ? strstr(value, "timeout=") : NULL;
    conn->idle_timeout_us = conn->pool->idle_us;
    if (timeout) {
        uint64_t server_timeout_us =
            g_ascii_strtoull(timeout + strlen("timeout="), NULL, 10) *
            G_USEC_PER_SEC;
        uint64_t margin_us = conn->pool->idle_margin_us;
        uint64_t limit_us =
            server_timeout_us > margin_us ? server_timeout_us - margin_us : 0;
        limit_us = MAX(limit_us, _US_IDLE_MIN_MS * 1000);
        conn->idle_timeout_us = MIN(limit_us, conn->idle_timeout_us);
    }
}

static bool
_us_on_head(const h1_head *head, void *user_data)
{
    us_conn *conn = user_data;
    if (!conn->active) {
        return false;
    }
    _us_read_keep_alive(conn, head);
    const char *id =
        conn->id ? h1_query_header(head, conn->desc.id_header) : NULL;
    conn->skip_answer =
        (id && strcmp(id, conn->id) != 0) || head->status < 200;
    if (conn->skip_answer) {
        /* An interim answer does not prevent reuse, but one to another
           request does. */
        conn->not_reusable = conn->not_reusable || head->status >= 200;
        return false;
    }
    conn->desc.calls->head(conn, head, conn->desc.user_data);
    return conn->desc.head_only;
}

static void
_us_on_body(const char *bytes, size_t count, void *user_data)
{
    us_conn *conn = user_data;
    /* An earlier piece of the same input may have cancelled it. */
    if (conn->active && !conn->closed && !conn->skip_answer) {
        conn->desc.calls->body(conn, bytes, count, conn->desc.user_data);
    }
}

static const h1_callbacks _us_reader_callbacks = {.head = _us_on_head,
                                                  .body = _us_on_body};

/* -- private: callbacks of the connection --------------------------------- */

static size_t
_us_on_data(nc_conn *tcp, const char *bytes, size_t count, void *user_data)
{
    (void)tcp;
    us_conn *conn = user_data;
    if (!conn->active) {
        _us_free(conn); /* bytes that belong to no request */
        return count;
    }
    size_t used = 0;
    while (used < count && !conn->closed) {
        used += h1_feed(conn->reader, bytes + used, count - used);
        h1_state state = h1_query_state(conn->reader);
        if (conn->closed) {
            break; /* cancelled by a callback */
        }
        if (state == H1_DONE && conn->skip_answer) {
            conn->skip_answer = false;
            h1_reset(conn->reader);
            continue;
        }
        if (state == H1_DONE) {
            /* Bytes after the answer belong to no request. */
            conn->not_reusable = conn->not_reusable || used < count;
            _us_finish(conn, US_COMPLETE);
            return count;
        }
        if (state == H1_BROKEN || state == H1_TOO_LARGE) {
            _us_finish(conn, US_BROKEN);
            return count;
        }
    }
    return count;
}

static bool
_us_any_sent(const us_conn *conn)
{
    return nc_query_sent(conn->tcp) > conn->sent_before_request;
}

static void
_us_on_closed(nc_conn *tcp, nc_end end, void *user_data)
{
    (void)tcp;
    us_conn *conn = user_data;
    conn->closed = true;
    if (end == NC_REFUSED) {
        conn->pool->refused_us = lp_query_clock_us();
    }
    if (conn->pool->opening == conn) {
        _us_free_unlinked(conn);
        return;
    }
    if (!conn->active) {
        _us_free(conn);
        return;
    }
    if (end == NC_FINISHED && !conn->skip_answer) {
        h1_feed_end(conn->reader);
    }
    bool complete =
        h1_query_state(conn->reader) == H1_DONE && !conn->skip_answer;
    _us_finish(conn, complete             ? US_COMPLETE
                     : _us_any_sent(conn) ? US_BROKEN
                                          : US_NOT_SENT);
}

/* Makes the connection of us_open_idle() idle. */
static void
_us_on_opened(nc_conn *tcp, void *user_data)
{
    (void)tcp;
    us_conn *conn = user_data;
    us_pool *pool = conn->pool;
    if (pool->opening == conn) {
        pool->opening = NULL;
        conn->idle_until_us = lp_query_now_us(pool->loop) + pool->idle_us;
        g_queue_push_head_link(&pool->idle, &conn->link);
    }
}

static const nc_callbacks _us_conn_callbacks = {
    .opened = _us_on_opened, .data = _us_on_data, .closed = _us_on_closed};

/* -- public --------------------------------------------------------------- */

us_pool *
us_create(const us_pool_desc *desc)
{
    g_assert(desc->hub && desc->loop && desc->address);
    us_pool *pool = g_new0(us_pool, 1);
    pool->hub = desc->hub;
    pool->loop = desc->loop;
    pool->address = g_strdup(desc->address);
    pool->capacity = desc->capacity ? desc->capacity : _US_CAPACITY;
    pool->idle_us = 1000ULL * (desc->idle_ms ? desc->idle_ms : _US_IDLE_MS);
    pool->idle_margin_us =
        1000ULL *
        (desc->idle_margin_ms ? desc->idle_margin_ms : _US_IDLE_MARGIN_MS);
    g_queue_init(&pool->idle);
    g_queue_init(&pool->active);
    return pool;
}

void
us_close_idle(us_pool *pool)
{
    GList *link;
    while ((link = g_queue_pop_head_link(&pool->idle))) {
        _us_free_unlinked(link->data);
    }
}

void
us_destroy(us_pool *pool)
{
    if (!pool) {
        return;
    }
    GList *link;
    while ((link = g_queue_pop_head_link(&pool->active))) {
        us_conn *conn = link->data;
        nc_close(conn->tcp);
        conn->closed = true;
        if (conn->desc.calls) {
            conn->desc.calls->end(conn, US_BROKEN, conn->desc.user_data);
        }
        _us_free_unlinked(conn);
    }
    us_close_idle(pool);
    g_clear_pointer(&pool->opening, _us_free_unlinked);
    g_free(pool->address);
    g_free(pool);
}

void
us_set_capacity(us_pool *pool, uint32_t capacity)
{
    pool->capacity = MAX(capacity, 1);
}

void
us_close_expired(us_pool *pool, uint64_t now_us)
{
    GList *next;
    for (GList *at = pool->idle.head; at; at = next) {
        next = at->next;
        us_conn *conn = at->data;
        if (now_us >= conn->idle_until_us) {
            _us_free(conn);
        }
    }
}

static us_conn *
_us_open(us_pool *pool)
{
    if (pool->idle.length + pool->active.length >= pool->capacity) {
        return NULL;
    }
    us_conn *conn = g_new0(us_conn, 1);
    conn->tcp =
        nc_connect(pool->hub, pool->address, &_us_conn_callbacks, conn);
    if (!conn->tcp) {
        g_free(conn);
        return NULL;
    }
    conn->pool = pool;
    conn->link.data = conn;
    conn->reader = h1_create(&(h1_desc){.kind = H1_RESPONSE,
                                        .calls = &_us_reader_callbacks,
                                        .user_data = conn});
    pool->opened_total++;
    return conn;
}

static us_conn *
_us_take_idle(us_pool *pool)
{
    us_close_expired(pool, lp_query_now_us(pool->loop));
    GList *link;
    while ((link = g_queue_pop_head_link(&pool->idle))) {
        us_conn *conn = link->data;
        /* The server's FIN, or bytes that belong to no request, may have
           arrived during this iteration of the loop. */
        if (nc_query_nothing_to_read(conn->tcp)) {
            return conn;
        }
        _us_free_unlinked(conn);
    }
    return NULL;
}

us_conn *
us_start(us_pool *pool, const us_desc *desc)
{
    us_conn *conn = desc->fresh ? NULL : _us_take_idle(pool);
    if (!conn) {
        conn = _us_open(pool);
    }
    if (!conn) {
        return NULL;
    }
    g_queue_push_tail_link(&pool->active, &conn->link);
    conn->active = true;
    conn->sent_before_request = nc_query_sent(conn->tcp);
    conn->skip_answer = false;
    conn->desc = *desc;
    g_free(conn->id);
    conn->id = g_strdup(desc->id);
    return conn;
}

void
us_open_idle(us_pool *pool)
{
    if (!pool->opening) {
        pool->opening = _us_open(pool);
    }
}

void
us_write(us_conn *conn, const char *bytes, size_t count)
{
    nc_write(conn->tcp, bytes, count);
}

void
us_pause(us_conn *conn, bool paused)
{
    if (!conn->closed) {
        nc_pause(conn->tcp, paused);
    }
}

static gboolean
_us_free_later(void *data)
{
    us_conn *conn = data;
    conn->free_source = 0;
    _us_free(conn);
    return G_SOURCE_REMOVE;
}

void
us_cancel(us_conn *conn)
{
    if (conn->closed) {
        return;
    }
    nc_close(conn->tcp);
    conn->closed = true;
    conn->desc.calls = NULL;
    /* Freed later, as this may run inside a callback of the reader. */
    conn->free_source = g_idle_add(_us_free_later, conn);
}

const h1_head *
us_query_head(const us_conn *conn)
{
    return h1_query_head(conn->reader);
}

bool
us_query_connected(const us_conn *conn)
{
    return nc_query_open(conn->tcp);
}

bool
us_query_any_sent(const us_conn *conn)
{
    return _us_any_sent(conn);
}

bool
us_query_reused(const us_conn *conn)
{
    return conn->requests_served > 0;
}

uint32_t
us_query_conn_count(const us_pool *pool)
{
    return pool->idle.length + pool->active.length;
}

static uint32_t
_us_count_established(const GQueue *conns)
{
    uint32_t count = 0;
    for (const GList *at = conns->head; at; at = at->next) {
        const us_conn *conn = at->data;
        count += !conn->closed && nc_query_open(conn->tcp);
    }
    return count;
}

uint32_t
us_query_established_count(const us_pool *pool)
{
    return _us_count_established(&pool->idle) +
           _us_count_established(&pool->active);
}

uint64_t
us_query_refused_us(const us_pool *pool)
{
    return pool->refused_us;
}

uint64_t
us_query_opened_total(const us_pool *pool)
{
    return pool->opened_total;
}
