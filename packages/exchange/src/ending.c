#include "ending.h"

#include <glib.h>

/* Time to a stream's first event at a busy server, and for each token after
   it. */
#define _EN_EXPECTED_FIRST_EVENT_US 1200000
#define _EN_EXPECTED_TOKEN_US 11000
/* Callers' estimates are right at the median; few answers exceed twice the
   estimate. */
#define _EN_HINT_FACTOR 2
/* Time to a plain answer or a first event, and for each token after it, at a
   server that other requests slow down. */
#define _EN_WORST_FIRST_EVENT_US 2500000
#define _EN_WORST_TOKEN_US 25000

uint64_t
en_query_expected_us(const en_answer *answer)
{
    if (!answer->stream || answer->hint_tokens == 0) {
        return 0;
    }
    uint64_t tokens = MIN((uint64_t)answer->hint_tokens * _EN_HINT_FACTOR,
                          answer->max_tokens);
    return MIN(_EN_EXPECTED_FIRST_EVENT_US + tokens * _EN_EXPECTED_TOKEN_US,
               answer->timeout_us);
}

uint64_t
en_query_worst_case_us(const en_answer *answer)
{
    uint64_t tokens = answer->stream ? answer->max_tokens : 0;
    return MIN(_EN_WORST_FIRST_EVENT_US + tokens * _EN_WORST_TOKEN_US,
               answer->timeout_us);
}

bool
en_query_fits(const en_answer *answer, uint64_t left_us, bool worst_case)
{
    return (worst_case ? en_query_worst_case_us(answer)
                       : en_query_expected_us(answer)) <= left_us;
}
