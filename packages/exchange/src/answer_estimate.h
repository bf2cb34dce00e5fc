/*
 * answer_estimate.h: estimates whether an answer ends before this instance
 * stops (prefix ae_).
 *
 * A stopping instance accepts a request only if its answer will probably end
 * in the time that is left; once the platform sends new callers to other
 * instances, only if it ends in time in the worst case too. Any other request
 * is refused at once as not run, so that another instance serves it from its
 * beginning.
 *
 *     if (!ae_query_fits(&answer, left_us, worst_case)) { refuse }
 *
 * This serves rolling restarts under streams of very different lengths.
 *
 * Pure functions: no sockets and no clock.
 */
#ifndef LACEWING_ANSWER_ESTIMATE_H
#define LACEWING_ANSWER_ESTIMATE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct ae_answer {
    bool stream;
    uint32_t max_tokens;  /* that the stream may have */
    uint32_t hint_tokens; /* the caller's estimate of them; 0: none */
    uint64_t timeout_us;  /* of the caller or the route: ends the answer */
} ae_answer;

/* queries */
/* Returns the duration for an answer of the length that the caller estimates;
   0: no estimate. */
uint64_t ae_query_expected_us(const ae_answer *answer);
/* Returns the duration for an answer of the greatest length allowed. */
uint64_t ae_query_worst_case_us(const ae_answer *answer);
/* Returns whether the answer ends within left_us, by the worst case or by the
   expected duration; without an estimate the latter always fits. */
bool ae_query_fits(const ae_answer *answer, uint64_t left_us, bool worst_case);

#endif
