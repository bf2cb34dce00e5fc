/*
 * loop.h: event loop for sockets (prefix lp_).
 *
 * GLib's main context with epoll in place of poll(): one system call per
 * wake-up, whatever the number of sockets. Each socket has an lp_watch;
 * timers, signals and idle callbacks remain GLib's. Up to eight callbacks can
 * be registered to run before the loop sleeps, to write what one iteration
 * has collected.
 *
 *     lp_loop *loop = lp_create();
 *     lp_watch watch = {.fd = fd, .call = on_ready, .user_data = self};
 *     lp_set_watch(loop, &watch, LP_READ);
 *     lp_run(loop);
 *
 * Times are microseconds of CLOCK_BOOTTIME, which continues while the machine
 * is suspended; lp_query_now_us() is the time read once per iteration.
 *
 * Limits: one loop per process, on the default main context; one thread.
 */
#ifndef LACEWING_LOOP_H
#define LACEWING_LOOP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Bits of `wanted` and `ready`. LP_ERROR is reported only, never requested: an
   error or a hang-up on the socket. */
#define LP_READ 1U
#define LP_WRITE 2U
#define LP_ERROR 4U

typedef struct lp_loop lp_loop;
typedef struct lp_watch lp_watch;

typedef void (*lp_on_ready)(lp_watch *watch, uint32_t ready, void *user_data);

/* Owned by the caller; must not move in memory until lp_remove_watch(). */
struct lp_watch {
    int fd;
    uint32_t wanted; /* LP_READ and LP_WRITE; maintained by lp_set_watch() */
    bool added;      /* maintained by lp_set_watch() and lp_remove_watch() */
    lp_on_ready call;
    void *user_data;
};

/* Called before the loop sleeps. */
typedef void (*lp_before_sleep)(void *user_data);

lp_loop *lp_create(void);
void lp_destroy(lp_loop *loop);

/* Adds a watch or changes what it waits for; 0 waits for errors only. */
void lp_set_watch(lp_loop *loop, lp_watch *watch, uint32_t wanted);
/* Removes a watch; it is not called any more, also not for events that the
   current iteration has received already. */
void lp_remove_watch(lp_loop *loop, lp_watch *watch);

/* Adds a callback that runs once before each sleep, in the order of adding; at
   most 8. */
void lp_add_before_sleep(lp_loop *loop, lp_before_sleep call, void *user_data);

void lp_run(lp_loop *loop);
void lp_quit(lp_loop *loop);

/* Returns and resets the duration of the longest iteration. Events that arrive
   during an iteration wait until it ends. */
uint64_t lp_take_longest_turn_us(lp_loop *loop);

/* queries */
/* Time at which the current iteration began. */
uint64_t lp_query_now_us(const lp_loop *loop);
/* Reads the clock itself, for time limits that are checked in an iteration
   that may have begun long ago, as after a pause of the process. */
uint64_t lp_query_clock_us(void);

#endif
