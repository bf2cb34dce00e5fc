/*
 * rate.h: requests a second for each team (prefix lm_).
 *
 * A token bucket for each name, filled at its rate, one second deep.
 *
 *     if (!lm_take(limiter, "team", rate_milli, now_us, &wait_ms)) { ... }
 *
 * Limits: one bucket for each name ever seen.
 */
#ifndef LACEWING_RATE_H
#define LACEWING_RATE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct lm_limiter lm_limiter;

lm_limiter *lm_create(void);
void lm_destroy(lm_limiter *limiter);
/* Takes one at rate_milli per 1000 s; false with the time to come back. */
bool lm_take(lm_limiter *limiter, const char *name, uint64_t rate_milli,
             uint64_t now_us, uint32_t *wait_ms);

#endif
