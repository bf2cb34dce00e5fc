/*
 * load_bookings.h: what callers were told of each booking, held against what
 * the services ran (prefix lb_).
 *
 *     lb_begin(bookings, "key");
 *     lb_take(bookings, "key", result);
 *     lb_check(bookings, "http://127.0.0.1:9001");
 *     lb_counts counts = lb_query(bookings);
 *
 * Limits: services must not have restarted since the start.
 */
#ifndef LACEWING_STANDIN_LOAD_BOOKINGS_H
#define LACEWING_STANDIN_LOAD_BOOKINGS_H

#include "load_client.h"

typedef struct lb_bookings lb_bookings;

typedef struct lb_counts {
    uint64_t keys;
    uint64_t answers;
    uint64_t doubled;       /* keys that ran more than once */
    uint64_t lost;          /* answered as done, but never ran */
    uint64_t false_not_run; /* every answer said not run, but it ran */
    uint64_t differing;     /* two answers as done that differ */
} lb_counts;

lb_bookings *lb_create(void);
void lb_destroy(lb_bookings *bookings);
void lb_begin(lb_bookings *bookings, const char *key);
void lb_take(lb_bookings *bookings, const char *key, const lc_result *result);
/* Reads a stand-in service's history; false when it does not answer. */
bool lb_check(lb_bookings *bookings, const char *url);

/* queries */
/* doubled, lost and false_not_run: 0 before lb_check(). */
lb_counts lb_query(const lb_bookings *bookings);

#endif
