#include "lacewing/upstream.h"

#include <string.h>

#define _US_CAPACITY 64
#define _US_IDLE_MS 4000
#define _US_IDLE_MARGIN_MS 800
/* Shortest use of a connection whose server closes idle ones at once. */
#define _US_IDLE_SHORTEST_MS 200

struct us_pool {
    nc_hub *hub;
    lp_loop *loop;
    char *address;
    uint32_t capacity;
    uint64_t idle_us;
    uint64_t idle_margin_us;
    GQueue idle;   /* us_line, last used first */
    GQueue active; /* us_line */
    uint64_t made;
};

struct us_line {
    us_pool *pool;
    nc_conn *conn;
    h1_reader *reader;
    GList link; /* in idle or active */
    us_desc desc;
    char *id;
    bool active;
    bool closed;
    bool foreign; /* the answer that is read belongs to another request */
    bool spoilt;  /* not to be used again */
    uint32_t served;
    uint64_t idle_until_us;
    uint64_t idle_limit_us;
    uint64_t sent_before; /* bytes of earlier requests */
    guint free_source;    /* of a cancelled line */
};

/* -- private: lines ------------------------------------------------------- */

/* Frees a line that is in no queue. */
static void
_us_release(us_line *line)
{
    if (line->free_source) {
        g_source_remove(line->free_source);
    }
    if (!line->closed) {
        nc_close(line->conn);
    }
    h1_destroy(line->reader);
    g_free(line->id);
    g_free(line);
}

static void
_us_free(us_line *line)
{
    g_queue_unlink(line->active ? &line->pool->active : &line->pool->idle,
                   &line->link);
    _us_release(line);
}

static void
_us_finish(us_line *line, us_end end)
{
    us_pool *pool = line->pool;
    const h1_head *head = h1_query_head(line->reader);
    bool keep = end == US_COMPLETE && !line->closed && !line->spoilt &&
                head->keep_alive && nc_query_unsent(line->conn) == 0;
    if (line->desc.calls) {
        line->desc.calls->end(line, end, line->desc.user_data);
    }
    if (!keep) {
        _us_free(line);
        return;
    }
    g_queue_unlink(&pool->active, &line->link);
    g_queue_push_head_link(&pool->idle, &line->link);
    line->active = false;
    line->served++;
    line->idle_until_us = lp_query_now_us(pool->loop) + line->idle_limit_us;
    h1_reset(line->reader);
    nc_pause(line->conn, false);
}

/* -- private: the reader's calls ------------------------------------------ */

static void
_us_read_keep_alive(us_line *line, const h1_head *head)
{
    const char *value = h1_query_header(head, "keep-alive");
    const char *timeout = value ? strstr(value, "timeout=") : NULL;
    line->idle_limit_us = line->pool->idle_us;
    if (timeout) {
        uint64_t told_us =
            g_ascii_strtoull(timeout + strlen("timeout="), NULL, 10) *
            G_USEC_PER_SEC;
        uint64_t margin_us = line->pool->idle_margin_us;
        uint64_t limit_us = told_us > margin_us ? told_us - margin_us : 0;
        limit_us = MAX(limit_us, _US_IDLE_SHORTEST_MS * 1000);
        line->idle_limit_us = MIN(limit_us, line->idle_limit_us);
    }
}

static bool
_us_on_head(const h1_head *head, void *user_data)
{
    us_line *line = user_data;
    if (!line->active) {
        return false;
    }
    _us_read_keep_alive(line, head);
    const char *id =
        line->id ? h1_query_header(head, line->desc.id_header) : NULL;
    line->foreign = (id && strcmp(id, line->id) != 0) || head->status < 200;
    if (line->foreign) {
        line->spoilt = line->spoilt || head->status >= 200;
        return false;
    }
    line->desc.calls->head(line, head, line->desc.user_data);
    return line->desc.head_only;
}

static void
_us_on_body(const char *bytes, size_t count, void *user_data)
{
    us_line *line = user_data;
    if (line->active && !line->foreign) {
        line->desc.calls->body(line, bytes, count, line->desc.user_data);
    }
}

static const h1_calls _us_reader_calls = {.head = _us_on_head,
                                          .body = _us_on_body};

/* -- private: the connection's calls -------------------------------------- */

static size_t
_us_on_data(nc_conn *conn, const char *bytes, size_t count, void *user_data)
{
    (void)conn;
    us_line *line = user_data;
    if (!line->active) {
        _us_free(line); /* bytes that belong to no request */
        return count;
    }
    size_t used = 0;
    while (used < count && !line->closed) {
        used += h1_feed(line->reader, bytes + used, count - used);
        h1_state state = h1_query_state(line->reader);
        if (line->closed) {
            break; /* cancelled by a call */
        }
        if (state == H1_DONE && line->foreign) {
            line->foreign = false;
            h1_reset(line->reader);
            continue;
        }
        if (state == H1_DONE) {
            line->spoilt = line->spoilt || used < count;
            _us_finish(line, US_COMPLETE);
            return count;
        }
        if (state == H1_BROKEN || state == H1_TOO_LARGE) {
            _us_finish(line, US_BROKEN);
            return count;
        }
    }
    return count;
}

static bool
_us_sent(const us_line *line)
{
    return nc_query_sent(line->conn) > line->sent_before;
}

static void
_us_on_closed(nc_conn *conn, nc_end end, void *user_data)
{
    (void)conn;
    us_line *line = user_data;
    line->closed = true;
    if (!line->active) {
        _us_free(line);
        return;
    }
    if (end == NC_FINISHED && !line->foreign) {
        h1_feed_end(line->reader);
    }
    bool complete = h1_query_state(line->reader) == H1_DONE && !line->foreign;
    _us_finish(line, complete         ? US_COMPLETE
                     : _us_sent(line) ? US_BROKEN
                                      : US_NOT_SENT);
}

static const nc_calls _us_conn_calls = {.data = _us_on_data,
                                        .closed = _us_on_closed};

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
us_drop_idle(us_pool *pool)
{
    GList *link;
    while ((link = g_queue_pop_head_link(&pool->idle))) {
        _us_release(link->data);
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
        us_line *line = link->data;
        nc_close(line->conn);
        line->closed = true;
        if (line->desc.calls) {
            line->desc.calls->end(line, US_BROKEN, line->desc.user_data);
        }
        _us_release(line);
    }
    us_drop_idle(pool);
    g_free(pool->address);
    g_free(pool);
}

void
us_set_capacity(us_pool *pool, uint32_t capacity)
{
    pool->capacity = MAX(capacity, 1);
}

void
us_tick(us_pool *pool, uint64_t now_us)
{
    GList *next;
    for (GList *at = pool->idle.head; at; at = next) {
        next = at->next;
        us_line *line = at->data;
        if (now_us >= line->idle_until_us) {
            _us_free(line);
        }
    }
}

static us_line *
_us_make(us_pool *pool)
{
    if (pool->idle.length + pool->active.length >= pool->capacity) {
        return NULL;
    }
    us_line *line = g_new0(us_line, 1);
    line->conn = nc_connect(pool->hub, pool->address, &_us_conn_calls, line);
    if (!line->conn) {
        g_free(line);
        return NULL;
    }
    line->pool = pool;
    line->link.data = line;
    line->reader = h1_create(&(h1_desc){
        .kind = H1_RESPONSE, .calls = &_us_reader_calls, .user_data = line});
    pool->made++;
    return line;
}

static us_line *
_us_take_idle(us_pool *pool)
{
    us_tick(pool, lp_query_now_us(pool->loop));
    GList *link;
    while ((link = g_queue_pop_head_link(&pool->idle))) {
        us_line *line = link->data;
        /* The server's end, or bytes that belong to no request, may have come
           in this turn of the loop. */
        if (nc_query_quiet(line->conn)) {
            return line;
        }
        _us_release(line);
    }
    return NULL;
}

us_line *
us_start(us_pool *pool, const us_desc *desc)
{
    us_line *line = desc->fresh ? NULL : _us_take_idle(pool);
    if (!line) {
        line = _us_make(pool);
    }
    if (!line) {
        return NULL;
    }
    g_queue_push_tail_link(&pool->active, &line->link);
    line->active = true;
    line->sent_before = nc_query_sent(line->conn);
    line->foreign = false;
    line->desc = *desc;
    g_free(line->id);
    line->id = g_strdup(desc->id);
    return line;
}

void
us_write(us_line *line, const char *bytes, size_t count)
{
    nc_write(line->conn, bytes, count);
}

void
us_pause(us_line *line, bool paused)
{
    if (!line->closed) {
        nc_pause(line->conn, paused);
    }
}

static gboolean
_us_free_later(void *data)
{
    us_line *line = data;
    line->free_source = 0;
    _us_free(line);
    return G_SOURCE_REMOVE;
}

void
us_cancel(us_line *line)
{
    if (line->closed) {
        return;
    }
    nc_close(line->conn);
    line->closed = true;
    line->desc.calls = NULL;
    /* A call of the reader may be under way: it is freed after the turn. */
    line->free_source = g_idle_add(_us_free_later, line);
}

const h1_head *
us_query_head(const us_line *line)
{
    return h1_query_head(line->reader);
}

bool
us_query_connected(const us_line *line)
{
    return nc_query_open(line->conn);
}

bool
us_query_sent(const us_line *line)
{
    return _us_sent(line);
}

bool
us_query_reused(const us_line *line)
{
    return line->served > 0;
}

uint32_t
us_query_open(const us_pool *pool)
{
    return pool->idle.length + pool->active.length;
}

uint64_t
us_query_made(const us_pool *pool)
{
    return pool->made;
}
