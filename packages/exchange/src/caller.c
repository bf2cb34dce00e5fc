#include "caller.h"

#include <string.h>
#include <strings.h>

/* Limits until a configuration is known, and where it sets none. */
#define _CR_DEFAULT_HEAD_BYTES 65536
#define _CR_DEFAULT_BODY_BYTES (8 * 1024 * 1024)
#define _CR_DEFAULT_HEAD_MS 10000
#define _CR_DEFAULT_IDLE_MS 60000
/* A closing connection is still read for this long after its last byte has
   left: closing it with unread input would send a reset, in which the answer
   is lost. */
#define _CR_LINGER_US 1000000
/* The buffer of a larger body is freed after its request, so that idle
   connections do not keep the memory of the largest body that they carried. */
#define _CR_MAX_KEPT_BYTES 65536
/* Time within which a new connection sends its first request; a stopping
   instance does not close it earlier. */
#define _CR_FIRST_REQUEST_US 300000
/* Time between checks whether a caller still acknowledges. */
#define _CR_SILENCE_CHECK_US 500000
/* Idle connections are closed somewhat later than the idle limit that callers
   are told. */
#define _CR_IDLE_GRACE_FACTOR 1.05

typedef enum _cr_state {
    _CR_IDLE = 0,
    _CR_READING,
    _CR_BUSY,   /* the user has a request that is not answered yet */
    _CR_CLOSING /* the last answer is being sent */
} _cr_state;

struct cr_port {
    cr_desc desc;
    nc_listener *listener;
    rc_limits limits;
    GQueue conns;  /* cr_conn */
    uint32_t busy; /* connections in _CR_BUSY */
    bool keep_alive_disabled;
};

struct cr_conn {
    cr_port *port;
    nc_conn *conn;
    h1_reader *reader;
    GList link;
    _cr_state state;
    uint64_t state_since_us;
    bool has_unsent;          /* at the last check */
    uint64_t last_sent_bytes; /* at the last check */
    uint64_t progress_us;     /* of the last change of these two */
    uint64_t silence_checked_us;
    GByteArray *body;
    void *request;
    uint32_t refusal_status; /* status of an answer given here; 0: none */
    bool chunked;            /* the current stream is sent in chunks */
    bool stream_begun;
    bool in_request_callback; /* inside the user's request() */
    bool keep_alive;
    bool received_any; /* at least part of a request was read from it */
};

/* -- private: states ------------------------------------------------------ */

/* Frees a connection that is no longer in port->conns. */
static void
_cr_release(cr_conn *conn)
{
    conn->port->busy -= conn->state == _CR_BUSY;
    nc_close(conn->conn);
    h1_destroy(conn->reader);
    g_byte_array_unref(conn->body);
    g_free(conn);
}

static void
_cr_free(cr_conn *conn)
{
    g_queue_unlink(&conn->port->conns, &conn->link);
    _cr_release(conn);
}

static void
_cr_set_state(cr_conn *conn, _cr_state state)
{
    conn->port->busy -= conn->state == _CR_BUSY;
    conn->port->busy += state == _CR_BUSY;
    conn->state = state;
    conn->state_since_us = lp_query_now_us(conn->port->desc.loop);
}

static void
_cr_clear_body(cr_conn *conn)
{
    if (conn->body->len > _CR_MAX_KEPT_BYTES) {
        g_byte_array_unref(conn->body);
        conn->body = g_byte_array_new();
    }
    g_byte_array_set_size(conn->body, 0);
}

/* Prepares the connection for the next request, or starts to close it. */
static void
_cr_end_request(cr_conn *conn)
{
    conn->request = NULL;
    conn->stream_begun = false;
    if (!conn->keep_alive) {
        _cr_set_state(conn, _CR_CLOSING);
        nc_finish(conn->conn);
        return;
    }
    _cr_set_state(conn, _CR_IDLE);
    h1_reset(conn->reader);
    _cr_clear_body(conn);
    if (!conn->in_request_callback) {
        nc_resume(conn->conn);
    }
}

/* -- private: reading ----------------------------------------------------- */

static bool
_cr_on_head(const h1_head *head, void *user_data)
{
    cr_conn *conn = user_data;
    uint64_t max_bytes = conn->port->limits.body_bytes;
    if (head->length != H1_LENGTH_NONE && head->length > max_bytes) {
        conn->refusal_status = 413;
        return false;
    }
    const char *expect = h1_query_header(head, "expect");
    if (expect && strcasecmp(expect, "100-continue") == 0) {
        static const char continue_response[] =
            "HTTP/1.1 100 Continue\r\n\r\n";
        nc_write(conn->conn, continue_response, strlen(continue_response));
    }
    return false;
}

static void
_cr_on_body(const char *bytes, size_t count, void *user_data)
{
    cr_conn *conn = user_data;
    if (conn->body->len + count > conn->port->limits.body_bytes) {
        conn->refusal_status = 413;
        return;
    }
    g_byte_array_append(conn->body, (const guint8 *)bytes, (guint)count);
}

static const h1_callbacks _cr_reader_callbacks = {.head = _cr_on_head,
                                                  .body = _cr_on_body};

/* Answers a request that the user never sees, and closes the connection. */
static void
_cr_respond_error(cr_conn *conn, uint32_t status)
{
    _cr_set_state(conn, _CR_BUSY);
    cr_respond(conn, &(cr_answer){.status = status, .close = true});
}

static void
_cr_deliver_request(cr_conn *conn)
{
    _cr_set_state(conn, _CR_BUSY);
    const h1_head *head = h1_query_head(conn->reader);
    conn->keep_alive = head->keep_alive && !conn->port->keep_alive_disabled;
    conn->in_request_callback = true;
    void *request = conn->port->desc.callbacks->request(
        conn, head, (const char *)conn->body->data, conn->body->len,
        conn->port->desc.user_data);
    conn->in_request_callback = false;
    if (conn->state == _CR_BUSY) {
        conn->request = request;
    }
}

static size_t
_cr_on_data(nc_conn *nc, const char *bytes, size_t count, void *user_data)
{
    (void)nc;
    cr_conn *conn = user_data;
    size_t used = 0;
    while (used < count &&
           (conn->state == _CR_IDLE || conn->state == _CR_READING)) {
        if (conn->state == _CR_IDLE) {
            conn->refusal_status = 0;
            conn->received_any = true;
            _cr_set_state(conn, _CR_READING);
        }
        used += h1_feed(conn->reader, bytes + used, count - used);
        h1_state state = h1_query_state(conn->reader);
        if (state == H1_TOO_LARGE) {
            _cr_respond_error(conn, 431);
        }
        else if (state == H1_BROKEN) {
            _cr_respond_error(conn, 400);
        }
        else if (conn->refusal_status) {
            _cr_respond_error(conn, conn->refusal_status);
        }
        else if (state == H1_DONE) {
            _cr_deliver_request(conn);
        }
    }
    return conn->state == _CR_CLOSING ? count : used;
}

/* Frees the connection and tells the user of a request that is not answered.
 */
static void
_cr_end(cr_conn *conn, cr_gone_reason why)
{
    if (conn->state == _CR_BUSY && conn->request) {
        void *request = conn->request;
        conn->request = NULL;
        conn->port->desc.callbacks->gone(request, why,
                                         conn->port->desc.user_data);
    }
    _cr_free(conn);
}

static void
_cr_on_closed(nc_conn *nc, nc_end end, void *user_data)
{
    (void)nc;
    _cr_end(user_data, end == NC_FINISHED ? CR_CLOSED : CR_LOST);
}

static void
_cr_on_drained(nc_conn *nc, void *user_data)
{
    (void)nc;
    cr_conn *conn = user_data;
    if (conn->state == _CR_BUSY && conn->request &&
        conn->port->desc.callbacks->drained) {
        conn->port->desc.callbacks->drained(conn->request,
                                            conn->port->desc.user_data);
    }
}

static const nc_callbacks _cr_conn_callbacks = {
    .data = _cr_on_data, .closed = _cr_on_closed, .drained = _cr_on_drained};

static void
_cr_on_accepted(nc_conn *nc, void *user_data)
{
    cr_port *port = user_data;
    cr_conn *conn = g_new0(cr_conn, 1);
    conn->port = port;
    conn->conn = nc;
    conn->link.data = conn;
    conn->body = g_byte_array_new();
    conn->state_since_us = lp_query_now_us(port->desc.loop);
    conn->reader = h1_create(&(h1_desc){.kind = H1_REQUEST,
                                        .head_bytes = port->limits.head_bytes,
                                        .calls = &_cr_reader_callbacks,
                                        .user_data = conn});
    g_queue_push_tail_link(&port->conns, &conn->link);
    nc_allow_slow_reader(nc);
    nc_set_callbacks(nc, &_cr_conn_callbacks, conn);
}

/* -- public: the port ----------------------------------------------------- */

cr_port *
cr_create(const cr_desc *desc, er_status *status)
{
    cr_port *port = g_new0(cr_port, 1);
    port->desc = *desc;
    g_queue_init(&port->conns);
    cr_set_limits(port, &(rc_limits){0});
    port->listener =
        nc_listen(desc->hub, desc->address, _cr_on_accepted, port, status);
    if (!port->listener) {
        g_free(port);
        return NULL;
    }
    return port;
}

void
cr_destroy(cr_port *port)
{
    if (!port) {
        return;
    }
    nc_unlisten(port->listener);
    GList *link;
    while ((link = g_queue_pop_head_link(&port->conns))) {
        cr_conn *conn = link->data;
        if (conn->request) {
            port->desc.callbacks->gone(conn->request, CR_CLOSED,
                                       port->desc.user_data);
        }
        /* Requests of the loop's last iteration were answered after its last
           write to the sockets. */
        nc_flush_and_close(conn->conn);
        _cr_release(conn);
    }
    g_free(port);
}

void
cr_set_limits(cr_port *port, const rc_limits *limits)
{
    port->limits = (rc_limits){
        .head_bytes =
            limits->head_bytes ? limits->head_bytes : _CR_DEFAULT_HEAD_BYTES,
        .body_bytes =
            limits->body_bytes ? limits->body_bytes : _CR_DEFAULT_BODY_BYTES,
        .head_ms = limits->head_ms ? limits->head_ms : _CR_DEFAULT_HEAD_MS,
        .idle_ms = limits->idle_ms ? limits->idle_ms : _CR_DEFAULT_IDLE_MS,
    };
    for (GList *at = port->conns.head; at; at = at->next) {
        h1_set_head_limit(((cr_conn *)at->data)->reader,
                          port->limits.head_bytes);
    }
}

/* Frees a closing connection _CR_LINGER_US after its last byte has left. */
static void
_cr_check_closing(cr_conn *conn, uint64_t now_us)
{
    uint64_t since_us = MAX(conn->state_since_us, conn->progress_us);
    if (!conn->has_unsent && now_us > since_us + _CR_LINGER_US) {
        _cr_free(conn);
    }
}

/* Ends the connection of a caller that has taken no byte for the idle limit,
   or that no longer acknowledges. Returns true if it has ended. */
static bool
_cr_end_if_unread(cr_conn *conn, uint64_t now_us)
{
    uint64_t sent_bytes = nc_query_sent(conn->conn);
    bool has_unsent = nc_query_unsent(conn->conn) > 0;
    if (sent_bytes != conn->last_sent_bytes ||
        has_unsent != conn->has_unsent) {
        conn->last_sent_bytes = sent_bytes;
        conn->has_unsent = has_unsent;
        conn->progress_us = now_us;
    }
    if (has_unsent &&
        now_us > conn->progress_us + conn->port->limits.idle_ms * 1000ULL) {
        _cr_end(conn, CR_UNREAD);
        return true;
    }
    /* Keep-alive probes watch a connection that has nothing to send. */
    bool may_be_silent = has_unsent || conn->state != _CR_IDLE;
    if (!may_be_silent ||
        now_us < conn->silence_checked_us + _CR_SILENCE_CHECK_US) {
        return false;
    }
    conn->silence_checked_us = now_us;
    if (nc_query_peer_silent(conn->conn)) {
        _cr_end(conn, CR_SILENT);
        return true;
    }
    return false;
}

/* Returns true if the connection is idle and no part of a next request has
   arrived, neither in its buffer nor in the socket. */
static bool
_cr_is_unused(const cr_conn *conn)
{
    return conn->state == _CR_IDLE && nc_query_unconsumed(conn->conn) == 0 &&
           !nc_query_input_pending(conn->conn);
}

static void
_cr_check_timeouts(cr_conn *conn, uint64_t now_us)
{
    const rc_limits *limits = &conn->port->limits;
    uint64_t age_us = now_us - conn->state_since_us;
    if (conn->state != _CR_READING && _cr_end_if_unread(conn, now_us)) {
        return;
    }
    switch (conn->state) {
    case _CR_IDLE:
        /* The last answer may still be on its way. */
        age_us = now_us - MAX(conn->state_since_us, conn->progress_us);
        if ((double)age_us >
                limits->idle_ms * 1000.0 * _CR_IDLE_GRACE_FACTOR &&
            !conn->has_unsent && _cr_is_unused(conn)) {
            _cr_free(conn);
        }
        break;
    case _CR_READING: {
        bool in_head = h1_query_state(conn->reader) == H1_HEAD;
        bool timed_out = (in_head && age_us > limits->head_ms * 1000ULL) ||
                         age_us > limits->idle_ms * 1000ULL;
        if (timed_out && !nc_query_input_pending(conn->conn)) {
            _cr_respond_error(conn, 408);
        }
        break;
    }
    case _CR_CLOSING:
        _cr_check_closing(conn, now_us);
        break;
    default:
        break;
    }
}

void
cr_tick(cr_port *port, uint64_t now_us)
{
    GList *next;
    for (GList *at = port->conns.head; at; at = next) {
        next = at->next;
        _cr_check_timeouts(at->data, now_us);
    }
}

void
cr_disable_keep_alive(cr_port *port)
{
    port->keep_alive_disabled = true;
    for (GList *at = port->conns.head; at; at = at->next) {
        cr_conn *conn = at->data;
        conn->keep_alive = conn->keep_alive && conn->stream_begun;
    }
}

void
cr_close_idle(cr_port *port)
{
    uint64_t now_us = lp_query_now_us(port->desc.loop);
    GList *next;
    for (GList *at = port->conns.head; at; at = next) {
        next = at->next;
        cr_conn *conn = at->data;
        bool first_request_due =
            !conn->received_any &&
            now_us < conn->state_since_us + _CR_FIRST_REQUEST_US;
        if (_cr_is_unused(conn) && !first_request_due) {
            /* The last answer may still be unsent. A request that arrives
               after the close stays unread, so that its caller can tell that
               it was not taken and may repeat it. */
            _cr_set_state(conn, _CR_CLOSING);
            nc_finish_unread(conn->conn);
        }
    }
}

const char *
cr_query_gone_text(cr_gone_reason why)
{
    switch (why) {
    case CR_LOST:
        return "connection reset or lost";
    case CR_UNREAD:
        return "caller read nothing for the idle limit";
    case CR_SILENT:
        return "caller no longer acknowledges";
    case CR_NO_MEMORY:
        return "no memory for what the caller has not read";
    default:
        return "caller closed the connection";
    }
}

/* -- public: answers ------------------------------------------------------ */

static void
_cr_write_head(cr_conn *conn, GString *text, uint32_t status,
               const char *headers)
{
    g_string_append_printf(text, "HTTP/1.1 %u %s\r\n%s", status,
                           h1_query_reason(status), headers ? headers : "");
    const h1_head *head = h1_query_head(conn->reader);
    if (!conn->keep_alive) {
        g_string_append(text, "Connection: close\r\n");
    }
    else if (head->minor == 0) {
        g_string_append(text, "Connection: keep-alive\r\n");
    }
}

void
cr_respond(cr_conn *conn, const cr_answer *answer)
{
    g_assert(conn->state == _CR_BUSY && !conn->stream_begun);
    conn->keep_alive =
        conn->keep_alive && !answer->close && !conn->port->keep_alive_disabled;
    g_autoptr(GString) text = g_string_sized_new(512);
    _cr_write_head(conn, text, answer->status, answer->headers);
    if (!answer->no_body) {
        g_string_append_printf(text, "Content-Length: %zu\r\n",
                               answer->body_count);
    }
    g_string_append(text, "\r\n");
    nc_write(conn->conn, text->str, text->len);
    if (!answer->no_body) {
        nc_write(conn->conn, answer->body, answer->body_count);
    }
    _cr_end_request(conn);
}

void
cr_begin_stream(cr_conn *conn, uint32_t status, const char *headers)
{
    g_assert(conn->state == _CR_BUSY && !conn->stream_begun);
    conn->chunked = h1_query_head(conn->reader)->minor >= 1;
    conn->keep_alive =
        conn->keep_alive && conn->chunked && !conn->port->keep_alive_disabled;
    conn->stream_begun = true;
    if (!conn->chunked) {
        /* Without chunks, only a reset shows that a stream is incomplete. */
        nc_reset_on_close(conn->conn, true);
    }
    g_autoptr(GString) text = g_string_sized_new(512);
    _cr_write_head(conn, text, status, headers);
    g_string_append(text, conn->chunked ? "Transfer-Encoding: chunked\r\n\r\n"
                                        : "\r\n");
    nc_write(conn->conn, text->str, text->len);
}

void
cr_write_piece(cr_conn *conn, const char *bytes, size_t count)
{
    g_assert(conn->stream_begun);
    if (count == 0) {
        return;
    }
    char size[24];
    int length = g_snprintf(size, sizeof(size), "%zx\r\n", count);
    if (conn->chunked) {
        nc_write(conn->conn, size, (size_t)length);
    }
    nc_write(conn->conn, bytes, count);
    if (conn->chunked) {
        nc_write(conn->conn, "\r\n", 2);
    }
}

void
cr_end_stream(cr_conn *conn)
{
    g_assert(conn->stream_begun);
    if (conn->chunked) {
        nc_write(conn->conn, "0\r\n\r\n", 5);
    }
    else {
        nc_reset_on_close(conn->conn, false);
    }
    _cr_end_request(conn);
}

void
cr_abort(cr_conn *conn)
{
    conn->request = NULL;
    if (conn->chunked || !conn->stream_begun) {
        /* What was written is sent first; the final chunk is missing. */
        conn->keep_alive = false;
        _cr_end_request(conn);
        return;
    }
    _cr_free(conn);
}

void
cr_drop(cr_conn *conn, cr_gone_reason why)
{
    _cr_end(conn, why);
}

uint32_t
cr_query_open_connections(const cr_port *port)
{
    return port->conns.length;
}

uint32_t
cr_query_busy_connections(const cr_port *port)
{
    return port->busy;
}

size_t
cr_query_unsent_bytes(const cr_conn *conn)
{
    return nc_query_unsent(conn->conn);
}
