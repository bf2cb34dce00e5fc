#include "lacewing/loop.h"

#include <errno.h>
#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

/* Most sockets served in one iteration; others wait for the next one. */
#define _LP_READY_CAPACITY 128
#define _LP_BEFORE_SLEEP_CAPACITY 8
/* Descriptors of the main context itself: its wake-up and a few sources. More
   than these are not watched. */
#define _LP_CONTEXT_WATCH_CAPACITY 16

typedef struct _lp_source {
    GSource source;
    lp_loop *loop;
} _lp_source;

struct lp_loop {
    GMainLoop *main;
    GSource *source;
    int epoll_fd;
    uint64_t now_us;          /* time at which the current iteration began */
    uint64_t longest_turn_us; /* longest iteration since it was last taken */
    struct epoll_event ready[_LP_READY_CAPACITY]; /* of this iteration */
    int ready_count;
    struct {
        lp_before_sleep call;
        void *user_data;
    } before_sleep[_LP_BEFORE_SLEEP_CAPACITY];
    uint32_t before_sleep_count;
    /* Have no `call`: _lp_poll() reports their events to GLib. */
    lp_watch context_watches[_LP_CONTEXT_WATCH_CAPACITY];
};

/* Global, as the poll function of a main context takes no user data. */
static lp_loop *_lp_current;

uint64_t
lp_query_clock_us(void)
{
    struct timespec now;
    clock_gettime(CLOCK_BOOTTIME, &now);
    return (uint64_t)now.tv_sec * G_USEC_PER_SEC +
           (uint64_t)now.tv_nsec / 1000;
}

uint64_t
lp_query_now_us(const lp_loop *loop)
{
    return loop->now_us;
}

/* -- private: descriptors of the main context ----------------------------- */

/* Returns the watch of a descriptor, else a free one, else NULL. */
static lp_watch *
_lp_get_context_watch(lp_loop *loop, int fd)
{
    for (uint32_t i = 0; i < _LP_CONTEXT_WATCH_CAPACITY; i++) {
        if (loop->context_watches[i].added &&
            loop->context_watches[i].fd == fd) {
            return &loop->context_watches[i];
        }
    }
    for (uint32_t i = 0; i < _LP_CONTEXT_WATCH_CAPACITY; i++) {
        if (!loop->context_watches[i].added) {
            loop->context_watches[i] = (lp_watch){.fd = fd};
            return &loop->context_watches[i];
        }
    }
    return NULL;
}

static uint32_t
_lp_epoll_events(uint32_t wanted)
{
    return (wanted & LP_READ ? (uint32_t)EPOLLIN : 0U) |
           (wanted & LP_WRITE ? (uint32_t)EPOLLOUT : 0U);
}

/* Replaces poll() in the main context. Reports input on the context's own
   descriptors; sockets are left to _lp_dispatch(). */
static int
_lp_poll(GPollFD *fds, guint count, gint timeout_ms)
{
    lp_loop *loop = _lp_current;
    for (guint i = 0; i < count; i++) {
        lp_watch *context_watch = _lp_get_context_watch(loop, fds[i].fd);
        if (context_watch && !context_watch->added) {
            lp_set_watch(loop, context_watch, LP_READ);
        }
        fds[i].revents = 0;
    }
    int ready = epoll_wait(loop->epoll_fd, loop->ready, _LP_READY_CAPACITY,
                           timeout_ms);
    loop->now_us = lp_query_clock_us();
    loop->ready_count = ready > 0 ? ready : 0;
    int reported = 0;
    for (int i = 0; i < loop->ready_count; i++) {
        lp_watch *watch = loop->ready[i].data.ptr;
        if (watch->call) {
            continue;
        }
        for (guint j = 0; j < count; j++) {
            if (fds[j].fd == watch->fd) {
                fds[j].revents = (gushort)(fds[j].events & G_IO_IN);
                reported++;
            }
        }
    }
    return ready < 0 ? ready : reported;
}

/* -- private: event source of the sockets --------------------------------- */

static gboolean
_lp_prepare(GSource *source, gint *timeout_ms)
{
    lp_loop *loop = ((_lp_source *)source)->loop;
    for (uint32_t i = 0; i < loop->before_sleep_count; i++) {
        loop->before_sleep[i].call(loop->before_sleep[i].user_data);
    }
    loop->longest_turn_us =
        MAX(loop->longest_turn_us, lp_query_clock_us() - loop->now_us);
    *timeout_ms = -1;
    return FALSE;
}

static gboolean
_lp_check(GSource *source)
{
    return ((_lp_source *)source)->loop->ready_count > 0;
}

static gboolean
_lp_dispatch(GSource *source, GSourceFunc call, gpointer user_data)
{
    (void)call;
    (void)user_data;
    lp_loop *loop = ((_lp_source *)source)->loop;
    for (int i = 0; i < loop->ready_count; i++) {
        lp_watch *watch = loop->ready[i].data.ptr;
        if (!watch || !watch->call) {
            continue;
        }
        uint32_t events = loop->ready[i].events;
        uint32_t ready = (events & EPOLLIN ? LP_READ : 0U) |
                         (events & EPOLLOUT ? LP_WRITE : 0U) |
                         (events & (EPOLLERR | EPOLLHUP) ? LP_ERROR : 0U);
        watch->call(watch, ready, watch->user_data);
    }
    loop->ready_count = 0;
    return G_SOURCE_CONTINUE;
}

static GSourceFuncs _lp_funcs = {
    .prepare = _lp_prepare,
    .check = _lp_check,
    .dispatch = _lp_dispatch,
};

/* -- public --------------------------------------------------------------- */

lp_loop *
lp_create(void)
{
    g_assert(!_lp_current);
    lp_loop *loop = g_new0(lp_loop, 1);
    loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    loop->now_us = lp_query_clock_us();
    loop->main = g_main_loop_new(NULL, FALSE);
    loop->source = g_source_new(&_lp_funcs, sizeof(_lp_source));
    ((_lp_source *)loop->source)->loop = loop;
    g_source_attach(loop->source, NULL);
    _lp_current = loop;
    g_main_context_set_poll_func(NULL, _lp_poll);
    return loop;
}

void
lp_destroy(lp_loop *loop)
{
    if (!loop) {
        return;
    }
    g_main_context_set_poll_func(NULL, NULL);
    g_source_destroy(loop->source);
    g_source_unref(loop->source);
    g_main_loop_unref(loop->main);
    close(loop->epoll_fd);
    _lp_current = NULL;
    g_free(loop);
}

void
lp_set_watch(lp_loop *loop, lp_watch *watch, uint32_t wanted)
{
    if (watch->added && watch->wanted == wanted) {
        return;
    }
    struct epoll_event event = {.events = _lp_epoll_events(wanted),
                                .data.ptr = watch};
    int operation = watch->added ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
    if (epoll_ctl(loop->epoll_fd, operation, watch->fd, &event) == 0) {
        watch->added = true;
        watch->wanted = wanted;
    }
    else {
        g_critical("cannot watch file descriptor %d: epoll_ctl: %s", watch->fd,
                   g_strerror(errno));
    }
}

void
lp_remove_watch(lp_loop *loop, lp_watch *watch)
{
    if (!watch->added) {
        return;
    }
    epoll_ctl(loop->epoll_fd, EPOLL_CTL_DEL, watch->fd, NULL);
    watch->added = false;
    for (int i = 0; i < loop->ready_count; i++) {
        if (loop->ready[i].data.ptr == watch) {
            loop->ready[i].data.ptr = NULL;
        }
    }
}

void
lp_add_before_sleep(lp_loop *loop, lp_before_sleep call, void *user_data)
{
    g_assert(loop->before_sleep_count < _LP_BEFORE_SLEEP_CAPACITY);
    loop->before_sleep[loop->before_sleep_count].call = call;
    loop->before_sleep[loop->before_sleep_count].user_data = user_data;
    loop->before_sleep_count++;
}

void
lp_run(lp_loop *loop)
{
    g_main_loop_run(loop->main);
}

void
lp_quit(lp_loop *loop)
{
    g_main_loop_quit(loop->main);
}

uint64_t
lp_take_longest_turn_us(lp_loop *loop)
{
    uint64_t longest_us = loop->longest_turn_us;
    loop->longest_turn_us = 0;
    return longest_us;
}
