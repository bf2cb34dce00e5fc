/*
 * server_limit.h: rate limit that a backend server named (prefix sl_).
 *
 * A server in need names in its answers the requests per second that it takes
 * from all instances together, for as long as it says so. The record holds the
 * limit that is in force as far as this instance knows.
 *
 *     if (sl_apply_named(&server->limit, 9.4, now_us) & SL_STARTED) { ... }
 *     if (sl_apply_absent(&server->limit, sent_us) & SL_ENDED) { ... }
 *
 * Answers may overtake each other: one without a limit ends it only if its
 * request was sent after the limit was last named. The same two calls apply
 * what other instances received, with times on the local clock.
 *
 * No sockets and no clock.
 */
#ifndef LACEWING_SERVER_LIMIT_H
#define LACEWING_SERVER_LIMIT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Changes of a record; bits that may be combined. */
typedef enum sl_change {
    SL_STARTED = 1, /* there was no limit before */
    SL_CHANGED = 2, /* it has another value now */
    SL_ENDED = 4
} sl_change;

typedef struct sl_limit {
    bool limited;
    double per_s;          /* of all instances together */
    uint64_t started_us;   /* when it was first named */
    uint64_t named_us;     /* when it was last named */
    uint64_t unlimited_us; /* when the last request was sent whose answer named
                              none; 0: none did */
    uint64_t logged_us;    /* node: the last log line on it */
} sl_limit;

/* An answer that arrived at seen_us named a limit. Returns sl_change. */
uint32_t sl_apply_named(sl_limit *limit, double per_s, uint64_t seen_us);
/* The answer to a request sent at sent_us named none. Returns sl_change. */
uint32_t sl_apply_absent(sl_limit *limit, uint64_t sent_us);

#endif
