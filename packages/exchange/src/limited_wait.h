/*
 * limited_wait.h: which requests wait where all servers are limited
 * (prefix lw_).
 *
 * A request waits if its turn comes early enough at the rate of this
 * instance's permits. The others are refused at once, with times to come back
 * that follow each other at that rate, so that callers return below the limit.
 *
 *     lw_verdict verdict = lw_decide(&returns, &(lw_load){...});
 *     if (!verdict.waits) { ... refuse, Retry-After: verdict.retry_after_us }
 *
 * Made for services all of whose servers name rate limits below the demand.
 *
 * No sockets and no clock.
 */
#ifndef LACEWING_LIMITED_WAIT_H
#define LACEWING_LIMITED_WAIT_H

#include <stdbool.h>
#include <stdint.h>

/* The turns of refused callers; zero at the start. */
typedef struct lw_returns {
    uint64_t next_us; /* when the next one may come back */
} lw_returns;

typedef struct lw_load {
    double permits_per_s; /* granted to this instance lately */
    double limit_per_s;   /* of all servers and instances together */
    uint32_t instances;   /* that share the limit, at least 1 */
    uint32_t waiting;     /* requests that wait already */
    uint64_t max_wait_us; /* of this request */
    uint64_t now_us;
} lw_load;

typedef struct lw_verdict {
    bool waits;
    uint64_t retry_after_us; /* if it does not wait */
} lw_verdict;

lw_verdict lw_decide(lw_returns *returns, const lw_load *load);

#endif
