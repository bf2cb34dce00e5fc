#include "lacewing/conn.h"

#include "lacewing/log.h"
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Defaults of nc_hub_desc. */
#define _NC_USER_TIMEOUT_MS 2000
#define _NC_MAX_UNCONSUMED_BYTES 65536
/* Most bytes read from a socket at once; more input takes further iterations
   of the loop. */
#define _NC_READ_BUFFER_BYTES 65536
/* A buffer of written bytes that held more than this is freed once all are
   sent: a connection that is kept open would keep the memory of the largest
   message that it carried. */
#define _NC_MAX_KEPT_BYTES 65536
/* Fewer sent bytes than this are not freed before the others are sent too. */
#define _NC_MIN_FREED_BYTES 65536
/* Connections that the kernel keeps for a listener until they are accepted. */
#define _NC_BACKLOG 512
/* Most connections accepted in one iteration, so that requests in flight are
   not held up. */
#define _NC_ACCEPT_BATCH 64
/* Consecutive retransmissions, or probes of a closed window, that a silent
   peer leaves unanswered within _NC_USER_TIMEOUT_MS: the first three are sent
   within about 1.4 s. Fewer may be lost on the way. */
#define _NC_SILENT_RETRANSMITS 3
/* Keep-alive probes close an idle connection after about 2 s of silence. */
#define _NC_KEEPALIVE_IDLE_S 1
#define _NC_KEEPALIVE_INTERVAL_S 1
#define _NC_KEEPALIVE_PROBES 2
/* The same without TCP_USER_TIMEOUT, which ends the connection one probe
   earlier. */
#define _NC_SLOW_READER_PROBES 1

struct nc_hub {
    lp_loop *loop;
    uint32_t user_timeout_ms;
    uint32_t max_unconsumed_bytes;
    uint32_t conn_count;     /* connections that are not closed */
    GPtrArray *to_flush;     /* nc_conn to be sent before the loop sleeps */
    GPtrArray *closed_conns; /* nc_conn to be freed before the loop sleeps */
    char read_buffer[_NC_READ_BUFFER_BYTES];
};

struct nc_conn {
    lp_watch watch;
    nc_hub *hub;
    const nc_callbacks *callbacks;
    void *user_data;
    GByteArray *unconsumed; /* input that `data` did not consume */
    GByteArray *out;        /* written bytes */
    size_t out_start;       /* bytes of `out` that are sent already */
    size_t out_max;         /* most bytes that `out` has held */
    bool connecting;
    bool closed;
    bool flush_scheduled;
    uint64_t sent_bytes;
    bool paused;
    bool finishing;    /* a FIN follows what was written */
    bool leave_unread; /* while finishing, input stays in the socket */
};

struct nc_listener {
    lp_watch watch;
    nc_hub *hub;
    nc_accepted accepted;
    void *user_data;
};

/* -- private: sockets ----------------------------------------------------- */

bool
nc_parse_address(const char *address, struct sockaddr_in *out)
{
    const char *colon = strrchr(address, ':');
    char host[INET_ADDRSTRLEN];
    if (!colon || (size_t)(colon - address) >= sizeof(host)) {
        return false;
    }
    memcpy(host, address, (size_t)(colon - address));
    host[colon - address] = '\0';
    guint64 port = 0;
    memset(out, 0, sizeof(*out));
    out->sin_family = AF_INET;
    if (!g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &port, NULL)) {
        return false;
    }
    out->sin_port = htons((uint16_t)port);
    return inet_pton(AF_INET, host, &out->sin_addr) == 1;
}

static void
_nc_set_option(int fd, int level, int name, int value)
{
    setsockopt(fd, level, name, &value, sizeof(value));
}

static void
_nc_set_socket_options(const nc_hub *hub, int fd)
{
    _nc_set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    _nc_set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    _nc_set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, _NC_KEEPALIVE_IDLE_S);
    _nc_set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, _NC_KEEPALIVE_INTERVAL_S);
    _nc_set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, _NC_KEEPALIVE_PROBES);
    _nc_set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
                   (int)hub->user_timeout_ms);
}

/* -- private: one connection ---------------------------------------------- */

static void
_nc_update_watch(nc_conn *conn)
{
    uint32_t wanted = 0;
    if (conn->connecting || conn->out->len > conn->out_start) {
        wanted |= LP_WRITE;
    }
    if (!conn->connecting && !conn->paused && !conn->leave_unread) {
        wanted |= LP_READ;
    }
    lp_set_watch(conn->hub->loop, &conn->watch, wanted);
}

static void
_nc_close_with_reason(nc_conn *conn, nc_end end)
{
    if (conn->closed) {
        return;
    }
    nc_close(conn);
    if (conn->callbacks) {
        conn->callbacks->closed(conn, end, conn->user_data);
    }
}

/* Sends as much as the socket takes. Returns false when the connection is
   lost. */
static bool
_nc_send(nc_conn *conn)
{
    while (!conn->closed && !conn->connecting &&
           conn->out->len > conn->out_start) {
        ssize_t count = send(conn->watch.fd, conn->out->data + conn->out_start,
                             conn->out->len - conn->out_start, MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0) {
            return errno == EAGAIN || errno == EWOULDBLOCK;
        }
        conn->sent_bytes += (uint64_t)count;
        conn->out_start += (size_t)count;
    }
    return true;
}

/* Frees bytes that are sent while others are not, once they are the larger
   part: each byte is moved once on average. */
static void
_nc_free_sent(nc_conn *conn)
{
    if (conn->out_start >= _NC_MIN_FREED_BYTES &&
        conn->out_start >= conn->out->len / 2) {
        g_byte_array_remove_range(conn->out, 0, (guint)conn->out_start);
        conn->out_start = 0;
    }
}

/* Empties `out`, all of which has been sent. */
static void
_nc_clear_out(nc_conn *conn)
{
    if (conn->out_max > _NC_MAX_KEPT_BYTES) {
        g_byte_array_unref(conn->out);
        conn->out = g_byte_array_new();
        conn->out_max = 0;
    }
    g_byte_array_set_size(conn->out, 0);
    conn->out_start = 0;
}

static void
_nc_flush(nc_conn *conn)
{
    if (!_nc_send(conn)) {
        _nc_close_with_reason(conn, NC_LOST);
        return;
    }
    if (conn->closed || conn->connecting) {
        return;
    }
    if (conn->out->len == conn->out_start) {
        _nc_clear_out(conn);
        if (conn->finishing) {
            shutdown(conn->watch.fd, SHUT_WR);
        }
    }
    _nc_update_watch(conn);
    if (conn->out->len == 0 && conn->callbacks && conn->callbacks->drained) {
        conn->callbacks->drained(conn, conn->user_data);
    }
}

static void
_nc_schedule_flush(nc_conn *conn)
{
    if (!conn->flush_scheduled) {
        conn->flush_scheduled = true;
        g_ptr_array_add(conn->hub->to_flush, conn);
    }
}

static void
_nc_deliver(nc_conn *conn, const char *bytes, size_t count)
{
    if (conn->finishing || !conn->callbacks) {
        return;
    }
    size_t used = conn->callbacks->data(conn, bytes, count, conn->user_data);
    g_assert(used <= count);
    if (!conn->closed && used < count) {
        g_byte_array_append(conn->unconsumed, (const guint8 *)bytes + used,
                            (guint)(count - used));
    }
}

static void
_nc_deliver_unconsumed(nc_conn *conn)
{
    if (conn->unconsumed->len == 0 || !conn->callbacks) {
        return;
    }
    size_t used =
        conn->callbacks->data(conn, (const char *)conn->unconsumed->data,
                              conn->unconsumed->len, conn->user_data);
    if (!conn->closed && used > 0) {
        g_byte_array_remove_range(conn->unconsumed, 0, (guint)used);
    }
}

static void
_nc_read(nc_conn *conn)
{
    nc_hub *hub = conn->hub;
    ssize_t count =
        recv(conn->watch.fd, hub->read_buffer, sizeof(hub->read_buffer), 0);
    if (count < 0 &&
        (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
        return;
    }
    if (count <= 0) {
        _nc_close_with_reason(conn, count == 0 ? NC_FINISHED : NC_LOST);
        return;
    }
    if (conn->unconsumed->len == 0) {
        _nc_deliver(conn, hub->read_buffer, (size_t)count);
    }
    else if (!conn->finishing) {
        g_byte_array_append(conn->unconsumed, (const guint8 *)hub->read_buffer,
                            (guint)count);
        _nc_deliver_unconsumed(conn);
    }
    if (!conn->closed && conn->unconsumed->len > hub->max_unconsumed_bytes) {
        nc_pause(conn, true);
    }
}

static void
_nc_on_connected(nc_conn *conn)
{
    int failure = 0;
    socklen_t size = sizeof(failure);
    getsockopt(conn->watch.fd, SOL_SOCKET, SO_ERROR, &failure, &size);
    if (failure) {
        _nc_close_with_reason(conn, NC_REFUSED);
        return;
    }
    conn->connecting = false;
    if (conn->callbacks->opened) {
        conn->callbacks->opened(conn, conn->user_data);
    }
    if (!conn->closed) {
        _nc_flush(conn);
    }
}

static void
_nc_on_ready(lp_watch *watch, uint32_t ready, void *user_data)
{
    (void)watch;
    nc_conn *conn = user_data;
    if (conn->connecting) {
        if (ready & (LP_WRITE | LP_ERROR)) {
            _nc_on_connected(conn);
        }
        return;
    }
    /* Without reading, a hang-up or error alone shows that the peer closed. */
    if (conn->leave_unread && (ready & LP_ERROR)) {
        _nc_close_with_reason(conn, NC_FINISHED);
        return;
    }
    if (!conn->leave_unread && (ready & (LP_READ | LP_ERROR))) {
        _nc_read(conn);
    }
    if (!conn->closed && (ready & LP_WRITE)) {
        _nc_flush(conn);
    }
}

static nc_conn *
_nc_create_conn(nc_hub *hub, int fd)
{
    nc_conn *conn = g_new0(nc_conn, 1);
    conn->hub = hub;
    conn->unconsumed = g_byte_array_new();
    conn->out = g_byte_array_new();
    conn->watch =
        (lp_watch){.fd = fd, .call = _nc_on_ready, .user_data = conn};
    hub->conn_count++;
    _nc_set_socket_options(hub, fd);
    return conn;
}

static void
_nc_free_conn(void *data)
{
    nc_conn *conn = data;
    g_byte_array_unref(conn->unconsumed);
    g_byte_array_unref(conn->out);
    g_free(conn);
}

static void
_nc_before_sleep(void *user_data)
{
    nc_hub *hub = user_data;
    for (guint i = 0; i < hub->to_flush->len; i++) {
        nc_conn *conn = hub->to_flush->pdata[i];
        conn->flush_scheduled = false;
        if (!conn->closed) {
            _nc_flush(conn);
        }
    }
    g_ptr_array_set_size(hub->to_flush, 0);
    g_ptr_array_set_size(hub->closed_conns, 0);
}

/* -- public: hub and listener --------------------------------------------- */

nc_hub *
nc_create(const nc_hub_desc *desc)
{
    g_assert(desc->loop);
    nc_hub *hub = g_new0(nc_hub, 1);
    hub->loop = desc->loop;
    hub->user_timeout_ms =
        desc->user_timeout_ms ? desc->user_timeout_ms : _NC_USER_TIMEOUT_MS;
    hub->max_unconsumed_bytes = desc->max_unconsumed_bytes
                                    ? desc->max_unconsumed_bytes
                                    : _NC_MAX_UNCONSUMED_BYTES;
    hub->to_flush = g_ptr_array_new();
    hub->closed_conns = g_ptr_array_new_with_free_func(_nc_free_conn);
    lp_add_before_sleep(hub->loop, _nc_before_sleep, hub);
    return hub;
}

void
nc_destroy(nc_hub *hub)
{
    if (hub) {
        g_ptr_array_unref(hub->to_flush);
        g_ptr_array_unref(hub->closed_conns);
        g_free(hub);
    }
}

static void
_nc_on_accept(lp_watch *watch, uint32_t ready, void *user_data)
{
    (void)ready;
    nc_listener *listener = user_data;
    for (uint32_t i = 0; i < _NC_ACCEPT_BATCH; i++) {
        int fd = accept4(watch->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        nc_conn *conn = _nc_create_conn(listener->hub, fd);
        listener->accepted(conn, listener->user_data);
        if (!conn->closed) {
            _nc_update_watch(conn);
        }
    }
}

nc_listener *
nc_listen(nc_hub *hub, const char *address, nc_accepted accepted,
          void *user_data, er_status *status)
{
    struct sockaddr_in name;
    if (!nc_parse_address(address, &name)) {
        er_set(status, ER_SETTING_RANGE,
               "\"%s\": the address is not of the form IP:PORT", address);
        return NULL;
    }
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    _nc_set_option(fd, SOL_SOCKET, SO_REUSEADDR, 1);
    if (fd < 0 || bind(fd, (struct sockaddr *)&name, sizeof(name)) ||
        listen(fd, _NC_BACKLOG)) {
        er_set(status, ER_CONNECTION, "%s: %s", address, g_strerror(errno));
        if (fd >= 0) {
            close(fd);
        }
        return NULL;
    }
    nc_listener *listener = g_new0(nc_listener, 1);
    listener->hub = hub;
    listener->accepted = accepted;
    listener->user_data = user_data;
    listener->watch =
        (lp_watch){.fd = fd, .call = _nc_on_accept, .user_data = listener};
    lp_set_watch(hub->loop, &listener->watch, LP_READ);
    return listener;
}

void
nc_unlisten(nc_listener *listener)
{
    if (listener) {
        lp_remove_watch(listener->hub->loop, &listener->watch);
        close(listener->watch.fd);
        g_free(listener);
    }
}

/* -- public: connections -------------------------------------------------- */

nc_conn *
nc_connect(nc_hub *hub, const char *address, const nc_callbacks *callbacks,
           void *user_data)
{
    struct sockaddr_in name;
    if (!nc_parse_address(address, &name)) {
        return NULL;
    }
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return NULL;
    }
    if (connect(fd, (struct sockaddr *)&name, sizeof(name)) &&
        errno != EINPROGRESS) {
        close(fd);
        return NULL;
    }
    nc_conn *conn = _nc_create_conn(hub, fd);
    conn->connecting = true;
    nc_set_callbacks(conn, callbacks, user_data);
    _nc_update_watch(conn);
    return conn;
}

void
nc_set_callbacks(nc_conn *conn, const nc_callbacks *callbacks, void *user_data)
{
    conn->callbacks = callbacks;
    conn->user_data = user_data;
}

void
nc_write(nc_conn *conn, const char *bytes, size_t count)
{
    if (conn->closed || count == 0) {
        return;
    }
    _nc_free_sent(conn);
    g_byte_array_append(conn->out, (const guint8 *)bytes, (guint)count);
    conn->out_max = MAX(conn->out_max, conn->out->len);
    _nc_schedule_flush(conn);
}

void
nc_resume(nc_conn *conn)
{
    if (!conn->closed) {
        _nc_deliver_unconsumed(conn);
    }
    if (!conn->closed && conn->paused &&
        conn->unconsumed->len <= conn->hub->max_unconsumed_bytes) {
        nc_pause(conn, false);
    }
}

void
nc_pause(nc_conn *conn, bool paused)
{
    if (!conn->closed && conn->paused != paused) {
        conn->paused = paused;
        _nc_update_watch(conn);
    }
}

void
nc_finish(nc_conn *conn)
{
    if (!conn->closed) {
        conn->finishing = true;
        _nc_schedule_flush(conn);
    }
}

void
nc_finish_unread(nc_conn *conn)
{
    if (!conn->closed) {
        conn->leave_unread = true;
        nc_finish(conn);
    }
}

void
nc_flush_and_close(nc_conn *conn)
{
    _nc_send(conn);
    nc_close(conn);
}

void
nc_reset_on_close(nc_conn *conn, bool reset)
{
    struct linger linger = {.l_onoff = reset, .l_linger = 0};
    if (!conn->closed) {
        setsockopt(conn->watch.fd, SOL_SOCKET, SO_LINGER, &linger,
                   sizeof(linger));
    }
}

void
nc_close(nc_conn *conn)
{
    if (conn->closed) {
        return;
    }
    conn->closed = true;
    lp_remove_watch(conn->hub->loop, &conn->watch);
    close(conn->watch.fd);
    conn->hub->conn_count--;
    g_ptr_array_add(conn->hub->closed_conns, conn);
}

void
nc_allow_slow_reader(nc_conn *conn)
{
    _nc_set_option(conn->watch.fd, IPPROTO_TCP, TCP_USER_TIMEOUT, 0);
    /* Without TCP_USER_TIMEOUT, the number of probes decides when an idle
       connection to a silent peer ends. */
    _nc_set_option(conn->watch.fd, IPPROTO_TCP, TCP_KEEPCNT,
                   _NC_SLOW_READER_PROBES);
}

bool
nc_query_open(const nc_conn *conn)
{
    return !conn->connecting && !conn->closed;
}

static ssize_t
_nc_peek(const nc_conn *conn)
{
    char byte;
    return recv(conn->watch.fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
}

bool
nc_query_input_pending(const nc_conn *conn)
{
    return !conn->closed && _nc_peek(conn) > 0;
}

bool
nc_query_nothing_to_read(const nc_conn *conn)
{
    return !conn->closed && _nc_peek(conn) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
}

uint64_t
nc_query_sent(const nc_conn *conn)
{
    return conn->sent_bytes;
}

size_t
nc_query_unsent(const nc_conn *conn)
{
    return conn->out->len - conn->out_start;
}

size_t
nc_query_unconsumed(const nc_conn *conn)
{
    return conn->unconsumed->len;
}

bool
nc_query_peer_silent(const nc_conn *conn)
{
    struct tcp_info info = {0};
    socklen_t size = sizeof(info);
    if (conn->closed ||
        getsockopt(conn->watch.fd, IPPROTO_TCP, TCP_INFO, &info, &size)) {
        return false;
    }
    return info.tcpi_last_ack_recv >= conn->hub->user_timeout_ms &&
           (info.tcpi_retransmits >= _NC_SILENT_RETRANSMITS ||
            info.tcpi_probes >= _NC_SILENT_RETRANSMITS);
}

uint32_t
nc_query_conn_count(const nc_hub *hub)
{
    return hub->conn_count;
}
