/* base.c: buffers, loop, HTTP, JSON and the record. */
#include "bed.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MAX_CONNS 1024
#define MAX_TIMERS 8192

/* -- buffers -------------------------------------------------------------- */

void
buffer_add(buffer *b, const void *bytes, size_t count)
{
    if (b->length + count + 1 > b->capacity) {
        b->capacity = (b->length + count + 1) * 2;
        b->data = realloc(b->data, b->capacity);
    }
    if (count) {
        memcpy(b->data + b->length, bytes, count);
    }
    b->length += count;
    b->data[b->length] = '\0';
}

void
buffer_print(buffer *b, const char *format, ...)
{
    char text[4096];
    va_list args;
    va_start(args, format);
    int length = vsnprintf(text, sizeof(text), format, args);
    va_end(args);
    if (length >= (int)sizeof(text)) {
        fprintf(stderr, "text too long\n");
        exit(2);
    }
    buffer_add(b, text, (size_t)length);
}

void
buffer_drop(buffer *b, size_t count)
{
    memmove(b->data, b->data + count, b->length - count);
    b->length -= count;
    b->data[b->length] = '\0';
}

/* -- loop ----------------------------------------------------------------- */

typedef struct listener {
    int fd;
    void (*accepted)(conn *c);
    void *owner;
} listener;

typedef struct timer {
    int64_t due_ms;
    timer_call call;
    void *data;
} timer;

static conn *conns[MAX_CONNS];
static int conn_count;
static listener listeners[16];
static int listener_count;
static timer timers[MAX_TIMERS];
static int timer_count;

int64_t
now_ms(void)
{
    static int64_t start;
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    int64_t ms = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
    start = start ? start : ms;
    return ms - start;
}

void
call_later(int64_t delay_ms, timer_call call, void *data)
{
    if (timer_count == MAX_TIMERS) {
        fprintf(stderr, "too many timers\n");
        exit(2);
    }
    timers[timer_count++] = (timer){now_ms() + delay_ms, call, data};
}

static conn *
make_conn(int fd, void *owner)
{
    if (conn_count == MAX_CONNS) {
        fprintf(stderr, "too many connections\n");
        exit(2);
    }
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    fcntl(fd, F_SETFL, O_NONBLOCK);
    fcntl(fd, F_SETFD, FD_CLOEXEC);
    conn *c = calloc(1, sizeof(*c));
    c->fd = fd;
    c->reading = true;
    c->owner = owner;
    conns[conn_count++] = c;
    return c;
}

void
listen_here(char *address, size_t size, void (*accepted)(conn *c), void *owner)
{
    struct sockaddr_in name = {.sin_family = AF_INET,
                               .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof(name);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (bind(fd, (struct sockaddr *)&name, sizeof(name)) || listen(fd, 256) ||
        getsockname(fd, (struct sockaddr *)&name, &length)) {
        perror("listen");
        exit(2);
    }
    snprintf(address, size, "127.0.0.1:%d", ntohs(name.sin_port));
    listeners[listener_count++] = (listener){fd, accepted, owner};
}

int
free_port(const char *ip)
{
    for (int port = 21000 + getpid() % 4000; port < 32000; port++) {
        struct sockaddr_in name = {.sin_family = AF_INET,
                                   .sin_port = htons((uint16_t)port)};
        inet_pton(AF_INET, ip, &name.sin_addr);
        int tcp = socket(AF_INET, SOCK_STREAM, 0);
        int udp = socket(AF_INET, SOCK_DGRAM, 0);
        bool good = bind(tcp, (struct sockaddr *)&name, sizeof(name)) == 0 &&
                    bind(udp, (struct sockaddr *)&name, sizeof(name)) == 0;
        close(tcp);
        close(udp);
        static int last;
        if (good && port > last) {
            last = port;
            return port;
        }
    }
    fprintf(stderr, "no free port\n");
    exit(2);
}

conn *
open_conn(const char *ip, int port, int receive_bytes, void *owner)
{
    struct sockaddr_in name = {.sin_family = AF_INET,
                               .sin_port = htons((uint16_t)port)};
    inet_pton(AF_INET, ip, &name.sin_addr);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (receive_bytes) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                   sizeof(receive_bytes));
    }
    if (connect(fd, (struct sockaddr *)&name, sizeof(name)) &&
        errno != EINPROGRESS) {
        close(fd);
        return NULL;
    }
    conn *c = make_conn(fd, owner);
    c->connecting = true;
    return c;
}

void
write_bytes(conn *c, const void *bytes, size_t count)
{
    if (c->fd >= 0 && !c->freed) {
        buffer_add(&c->out, bytes, count);
    }
}

void
write_text(conn *c, const char *text)
{
    write_bytes(c, text, strlen(text));
}

void
close_conn(conn *c)
{
    if (c->fd >= 0) {
        close(c->fd);
        c->fd = -1;
    }
    c->freed = true;
}

static void
lose_conn(conn *c)
{
    if (c->freed) {
        return;
    }
    close_conn(c);
    if (c->on_closed) {
        c->on_closed(c);
    }
}

static void
flush(conn *c)
{
    while (!c->freed && !c->connecting && c->out.length) {
        ssize_t count = send(c->fd, c->out.data, c->out.length, MSG_NOSIGNAL);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (count < 0) {
            lose_conn(c);
            return;
        }
        buffer_drop(&c->out, (size_t)count);
        if (!c->out.length && c->on_drained) {
            c->on_drained(c);
            return; /* the rest follows in the next turn */
        }
    }
    if (!c->freed && !c->connecting && c->closing && !c->out.length) {
        lose_conn(c);
    }
}

static void
take_input(conn *c)
{
    static char bytes[65536];
    ssize_t count = recv(c->fd, bytes, sizeof(bytes), 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (count <= 0) {
        lose_conn(c);
        return;
    }
    buffer_add(&c->in, bytes, (size_t)count);
    if (c->on_input) {
        c->on_input(c);
    }
}

static void
serve_conn(conn *c, short ready)
{
    if (c->freed || !ready) {
        return;
    }
    if (c->connecting) {
        int failure = 0;
        socklen_t size = sizeof(failure);
        getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &failure, &size);
        if (failure) {
            lose_conn(c);
            return;
        }
        c->connecting = false;
    }
    if (ready & POLLOUT) {
        flush(c);
    }
    if (!c->freed && (ready & (POLLIN | POLLERR | POLLHUP)) &&
        (c->reading || (ready & (POLLERR | POLLHUP)))) {
        take_input(c);
    }
}

static void
accept_all(const listener *l)
{
    int fd;
    while ((fd = accept(l->fd, NULL, NULL)) >= 0) {
        l->accepted(make_conn(fd, l->owner));
    }
}

static void
free_conns(void)
{
    int kept = 0;
    for (int i = 0; i < conn_count; i++) {
        conn *c = conns[i];
        if (!c->freed) {
            conns[kept++] = c;
            continue;
        }
        free(c->in.data);
        free(c->out.data);
        c->in = c->out = (buffer){0};
        /* The record itself stays: timers may refer to it. */
    }
    conn_count = kept;
}

static int
run_timers(void)
{
    int64_t now = now_ms();
    int64_t next = now + 50;
    for (int i = 0; i < timer_count;) {
        if (timers[i].due_ms > now) {
            next = timers[i].due_ms < next ? timers[i].due_ms : next;
            i++;
            continue;
        }
        timer due = timers[i];
        timers[i] = timers[--timer_count];
        due.call(due.data);
    }
    return (int)(next > now ? next - now : 0);
}

void
run_until(int64_t until_ms)
{
    static struct pollfd fds[MAX_CONNS + 16];
    while (now_ms() < until_ms) {
        int timeout_ms = run_timers();
        free_conns();
        int count = 0;
        for (int i = 0; i < listener_count; i++) {
            fds[count++] =
                (struct pollfd){.fd = listeners[i].fd, .events = POLLIN};
        }
        int polled = conn_count;
        for (int i = 0; i < polled; i++) {
            conn *c = conns[i];
            if (!c->connecting) {
                flush(c);
            }
            short events = c->reading && !c->connecting ? POLLIN : 0;
            events |= c->connecting || c->out.length ? POLLOUT : 0;
            fds[count++] = (struct pollfd){.fd = c->fd, .events = events};
        }
        if (poll(fds, (nfds_t)count, timeout_ms) <= 0) {
            continue;
        }
        for (int i = 0; i < listener_count; i++) {
            if (fds[i].revents) {
                accept_all(&listeners[i]);
            }
        }
        for (int i = 0; i < polled; i++) {
            serve_conn(conns[i], fds[listener_count + i].revents);
        }
    }
}

/* -- HTTP ----------------------------------------------------------------- */

bool
get_header(const char *head, const char *name, char *out, size_t size)
{
    size_t length = strlen(name);
    out[0] = '\0';
    for (const char *line = head; line && *line;) {
        const char *end = strstr(line, "\r\n");
        if (strncasecmp(line, name, length) == 0 && line[length] == ':') {
            const char *value = line + length + 1;
            value += strspn(value, " \t");
            size_t count = end ? (size_t)(end - value) : strlen(value);
            count = count < size ? count : size - 1;
            memcpy(out, value, count);
            out[count] = '\0';
            return true;
        }
        line = end ? end + 2 : NULL;
    }
    return false;
}

bool
take_request(conn *c, request *out)
{
    if (c->freed || !c->in.length) {
        return false;
    }
    char *end = strstr(c->in.data, "\r\n\r\n");
    if (!end) {
        return false;
    }
    char length_text[24];
    size_t head_length = (size_t)(end - c->in.data) + 4;
    char *head = strndup(c->in.data, head_length - 2);
    get_header(head, "Content-Length", length_text, sizeof(length_text));
    size_t body_length = (size_t)strtoul(length_text, NULL, 10);
    if (c->in.length < head_length + body_length) {
        free(head);
        return false;
    }
    *out = (request){.head = head, .body_length = body_length};
    sscanf(head, "%15s %1023s", out->method, out->target);
    out->body = strndup(c->in.data + head_length, body_length);
    buffer_drop(&c->in, head_length + body_length);
    return true;
}

void
free_request(request *r)
{
    free(r->head);
    free(r->body);
}

/* -- JSON ----------------------------------------------------------------- */

struct json {
    char type; /* s, n, b, 0, o, a */
    char *text;
    int64_t number;
    char **names; /* of an object */
    json **items;
    size_t count;
};

typedef struct parser {
    const char *at;
    const char *end;
    bool bad;
} parser;

static json *parse_value(parser *p);

static void
skip_blanks(parser *p)
{
    while (p->at < p->end && strchr(" \t\r\n", *p->at)) {
        p->at++;
    }
}

static char *
parse_string(parser *p)
{
    buffer text = {0};
    buffer_add(&text, "", 0);
    p->at++;
    while (p->at < p->end && *p->at != '"') {
        if (*p->at == '\\' && p->at + 1 < p->end) {
            p->at++;
        }
        buffer_add(&text, p->at++, 1);
    }
    p->bad = p->bad || p->at >= p->end;
    p->at++;
    return text.data;
}

static void
add_item(json *j, char *name, json *item)
{
    for (size_t i = 0; name && i < j->count; i++) {
        if (strcmp(j->names[i], name) == 0) {
            json_free(j->items[i]);
            j->items[i] = item;
            free(name);
            return;
        }
    }
    j->items = realloc(j->items, (j->count + 1) * sizeof(*j->items));
    j->names = realloc(j->names, (j->count + 1) * sizeof(*j->names));
    j->items[j->count] = item;
    j->names[j->count++] = name;
}

static void
parse_items(parser *p, json *j, char close)
{
    p->at++;
    skip_blanks(p);
    while (!p->bad && p->at < p->end && *p->at != close) {
        char *name = NULL;
        if (close == '}') {
            if (*p->at != '"') {
                p->bad = true;
                return;
            }
            name = parse_string(p);
            skip_blanks(p);
            p->bad = p->bad || p->at >= p->end || *p->at++ != ':';
        }
        add_item(j, name, parse_value(p));
        skip_blanks(p);
        if (p->at < p->end && *p->at == ',') {
            p->at++;
            skip_blanks(p);
        }
    }
    p->bad = p->bad || p->at >= p->end;
    p->at++;
}

static json *
parse_value(parser *p)
{
    json *j = calloc(1, sizeof(*j));
    skip_blanks(p);
    if (p->bad || p->at >= p->end) {
        p->bad = true;
        return j;
    }
    if (*p->at == '"') {
        j->type = 's';
        j->text = parse_string(p);
    }
    else if (*p->at == '{' || *p->at == '[') {
        j->type = *p->at == '{' ? 'o' : 'a';
        parse_items(p, j, *p->at == '{' ? '}' : ']');
    }
    else {
        char *end;
        j->type = isdigit((unsigned char)*p->at) || *p->at == '-' ? 'n' : 'b';
        j->number = strtoll(p->at, &end, 10);
        while (p->at < p->end && !strchr(",]} \t\r\n", *p->at)) {
            p->at++;
        }
    }
    return j;
}

json *
json_parse(const char *text, size_t length)
{
    parser p = {text, text + length, false};
    json *j = parse_value(&p);
    if (p.bad || j->type != 'o') {
        json_free(j);
        return NULL;
    }
    return j;
}

void
json_free(json *j)
{
    if (!j) {
        return;
    }
    for (size_t i = 0; i < j->count; i++) {
        free(j->names[i]);
        json_free(j->items[i]);
    }
    free(j->names);
    free(j->items);
    free(j->text);
    free(j);
}

const json *
json_member(const json *j, const char *name)
{
    for (size_t i = 0; j && j->type == 'o' && i < j->count; i++) {
        if (strcmp(j->names[i], name) == 0) {
            return j->items[i];
        }
    }
    return NULL;
}

const char *
json_string(const json *j)
{
    return j && j->type == 's' ? j->text : NULL;
}

int64_t
json_integer(const json *j, int64_t fallback)
{
    return j && j->type == 'n' ? j->number : fallback;
}

size_t
json_count(const json *j)
{
    return j ? j->count : 0;
}

const json *
json_at(const json *j, size_t at)
{
    return j->items[at];
}

/* -- the record ----------------------------------------------------------- */

static FILE *record;

void
open_record(const char *file)
{
    record = fopen(file, "w");
    if (!record) {
        perror(file);
        exit(2);
    }
}

void
note(const char *format, ...)
{
    va_list args;
    fprintf(record, "%8.3f ", (double)now_ms() / 1000.0);
    va_start(args, format);
    vfprintf(record, format, args);
    va_end(args);
    fputc('\n', record);
    fflush(record);
}
