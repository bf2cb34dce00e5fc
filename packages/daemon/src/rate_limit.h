/*
 * rate_limit.h: rate limiter for the requests of teams (prefix lm_).
 *
 * One token bucket for each name. Its capacity is one second's worth of its
 * rate, but at least one request.
 *
 *     if (!lm_take(limiter, "team", rate_milli, now_us, &wait_ms)) { ... }
 *
 * Limits: buckets are never removed; there is one for each name ever used.
 */
#ifndef LACEWING_RATE_LIMIT_H
#define LACEWING_RATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

typedef struct lm_limiter lm_limiter;

lm_limiter *lm_create(void);
void lm_destroy(lm_limiter *limiter);
/* Takes one token from the bucket, which is refilled at rate_milli requests
   in 1000 s. Returns false and the time to wait if there is none. */
bool lm_take(lm_limiter *limiter, const char *name, uint64_t rate_milli,
             uint64_t now_us, uint32_t *wait_ms);

#endif
