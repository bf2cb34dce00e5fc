/*
 * load_bookings.h: compares the answers to bookings with the runs that the
 * services recorded (prefix lb_).
 *
 *     lb_add_key(bookings, "key");
 *     lb_add_result(bookings, "key", result);
 *     lb_read_history(bookings, "http://127.0.0.1:9001");
 *     lb_counts counts = lb_query_counts(bookings);
 *
 * Limits: a service that restarts loses its history, so none may restart
 * between the first booking and lb_read_history().
 */
#ifndef LACEWING_STANDIN_LOAD_BOOKINGS_H
#define LACEWING_STANDIN_LOAD_BOOKINGS_H

#include "load_client.h"

typedef struct lb_bookings lb_bookings;

typedef struct lb_counts {
    uint64_t keys;          /* bookings */
    uint64_t results;       /* including resends and time-outs */
    uint64_t doubled;       /* keys that ran more than once */
    uint64_t lost;          /* keys with a successful answer that never ran */
    uint64_t false_not_run; /* keys that ran, but each result says "not_run" */
    uint64_t differing;     /* keys whose successful answers differ */
} lb_counts;

lb_bookings *lb_create(void);
void lb_destroy(lb_bookings *bookings);
/* Adds a booking before its first request; its key must be new. */
void lb_add_key(lb_bookings *bookings, const char *key);
/* Adds the result of one request for a booking that was added before. */
void lb_add_result(lb_bookings *bookings, const char *key,
                   const lc_result *result);
/* Adds the runs in the history of a stand-in service; returns false if the
   history can't be read. Blocks. */
bool lb_read_history(lb_bookings *bookings, const char *url);

/* queries */
/* doubled, lost and false_not_run are 0 before lb_read_history(). */
lb_counts lb_query_counts(const lb_bookings *bookings);

#endif
