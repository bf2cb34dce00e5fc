/*
 * ending.h: whether an answer ends before the instance does (prefix en_).
 *
 * A stopping instance takes a request only if its answer is likely to end in
 * the time that is left; once the platform sends new callers to others, only
 * if it is sure to. What is not taken is refused at once as not run, so that
 * another instance serves it from its beginning.
 *
 *     if (!en_query_fits(&answer, left_us, sure)) { refuse }
 *
 * Answers the load of streams of very different lengths in a rolling restart.
 *
 * No sockets and no clock.
 */
#ifndef LACEWING_ENDING_H
#define LACEWING_ENDING_H

#include <stdbool.h>
#include <stdint.h>

typedef struct en_answer {
    bool stream;
    uint32_t most_tokens; /* that the stream may have */
    uint32_t hint_tokens; /* the caller's guess of them; 0: none */
    uint64_t patience_us; /* the caller or the route waits no longer */
} en_answer;

/* queries */
/* Time that it takes if it is as long as the caller guesses; 0: no guess. */
uint64_t en_query_likely_us(const en_answer *answer);
/* Time that it takes if it is as long as it may be. */
uint64_t en_query_longest_us(const en_answer *answer);
bool en_query_fits(const en_answer *answer, uint64_t left_us, bool sure);

#endif
