#include "ending.h"

#include <glib.h>

/* Of a stream's first event at a busy server, and of each token behind it. */
#define _EN_FIRST_US 1200000
#define _EN_TOKEN_US 11000
/* Callers' guesses are right at the median; twice a guess is seldom passed. */
#define _EN_HINT_TIMES 2
/* Of a plain answer or a first event, and of each token, at a server that
   others slow down. */
#define _EN_FIRST_LONGEST_US 2500000
#define _EN_TOKEN_LONGEST_US 25000

uint64_t
en_query_likely_us(const en_answer *answer)
{
    if (!answer->stream || answer->hint_tokens == 0) {
        return 0;
    }
    uint64_t tokens = MIN((uint64_t)answer->hint_tokens * _EN_HINT_TIMES,
                          answer->most_tokens);
    return MIN(_EN_FIRST_US + tokens * _EN_TOKEN_US, answer->patience_us);
}

uint64_t
en_query_longest_us(const en_answer *answer)
{
    uint64_t tokens = answer->stream ? answer->most_tokens : 0;
    return MIN(_EN_FIRST_LONGEST_US + tokens * _EN_TOKEN_LONGEST_US,
               answer->patience_us);
}

bool
en_query_fits(const en_answer *answer, uint64_t left_us, bool sure)
{
    return (sure ? en_query_longest_us(answer) : en_query_likely_us(answer)) <=
           left_us;
}
