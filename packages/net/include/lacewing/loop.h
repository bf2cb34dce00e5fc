/*
 * loop.h: sockets on the main loop (prefix lp_).
 *
 * GLib's main context with epoll in place of poll(): one system call for each
 * wake-up, whatever the number of sockets. Parts put an lp_watch for each
 * socket; timers, signals and idle calls stay GLib's. A part may ask for one
 * call before the loop sleeps, where it writes what the turn has collected.
 *
 *     lp_loop *loop = lp_create();
 *     lp_watch watch = {.fd = fd, .call = on_ready, .user_data = self};
 *     lp_set(loop, &watch, LP_READ);
 *     lp_run(loop);
 *
 * Times are microseconds of CLOCK_BOOTTIME, which goes on while the machine
 * is suspended; lp_query_now_us() is read once a turn.
 *
 * Limits: one loop a process, on the default main context; one thread.
 */
#ifndef LACEWING_LOOP_H
#define LACEWING_LOOP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define LP_READ 1U
#define LP_WRITE 2U
/* Only told, never asked for: an error or a hang-up on the socket. */
#define LP_ERROR 4U

typedef struct lp_loop lp_loop;
typedef struct lp_watch lp_watch;

typedef void (*lp_call)(lp_watch *watch, uint32_t ready, void *user_data);

/* Owned by its user, at a fixed place until lp_clear(). */
struct lp_watch {
    int fd;
    uint32_t wanted; /* LP_READ and LP_WRITE; kept by lp_set() */
    bool added;      /* kept by lp_set() and lp_clear() */
    lp_call call;
    void *user_data;
};

/* Called before the loop sleeps. */
typedef void (*lp_before_sleep)(void *user_data);

lp_loop *lp_create(void);
void lp_destroy(lp_loop *loop);

/* Sets what a watch waits for; 0 waits for errors only. */
void lp_set(lp_loop *loop, lp_watch *watch, uint32_t wanted);
/* Takes a watch off; no call follows, also of the turn under way. */
void lp_clear(lp_loop *loop, lp_watch *watch);

/* One call for each sleep, in the order of their adding; at most 8. */
void lp_add_before_sleep(lp_loop *loop, lp_before_sleep call, void *user_data);

void lp_run(lp_loop *loop);
void lp_quit(lp_loop *loop);

/* Longest turn since this was asked last; what comes meanwhile waits. */
uint64_t lp_take_longest_turn_us(lp_loop *loop);

/* queries */
uint64_t lp_query_now_us(const lp_loop *loop);
/* The clock itself, for checks that may follow a pause of the process. */
uint64_t lp_query_clock_us(void);

#endif
