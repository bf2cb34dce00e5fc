#include "answer_estimate.h"

#include <glib.h>

/* Time to a stream's first event at a busy server, and for each token after
   it. */
#define _AE_EXPECTED_FIRST_EVENT_US 1200000
#define _AE_EXPECTED_TOKEN_US 11000
/* Callers' estimates are right at the median; few answers exceed twice the
   estimate. */
#define _AE_HINT_FACTOR 2
/* Time to a plain answer or a first event, and for each token after it, at a
   server that other requests slow down. */
#define _AE_WORST_FIRST_EVENT_US 2500000
#define _AE_WORST_TOKEN_US 25000

uint64_t
ae_query_expected_us(const ae_answer *answer)
{
    if (!answer->stream || answer->hint_tokens == 0) {
        return 0;
    }
    uint64_t tokens = MIN((uint64_t)answer->hint_tokens * _AE_HINT_FACTOR,
                          answer->max_tokens);
    return MIN(_AE_EXPECTED_FIRST_EVENT_US + tokens * _AE_EXPECTED_TOKEN_US,
               answer->timeout_us);
}

uint64_t
ae_query_worst_case_us(const ae_answer *answer)
{
    uint64_t tokens = answer->stream ? answer->max_tokens : 0;
    return MIN(_AE_WORST_FIRST_EVENT_US + tokens * _AE_WORST_TOKEN_US,
               answer->timeout_us);
}

bool
ae_query_fits(const ae_answer *answer, uint64_t left_us, bool worst_case)
{
    return (worst_case ? ae_query_worst_case_us(answer)
                       : ae_query_expected_us(answer)) <= left_us;
}
