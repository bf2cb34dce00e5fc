#include "limited_wait.h"

#include "limit_share.h"

/* A refused caller returns no earlier and no later than this. */
#define _LW_MIN_RETURN_US 400000
#define _LW_MAX_RETURN_US 30000000

lw_verdict
lw_decide(lw_returns *returns, const lw_load *load)
{
    double share = MAX(load->limit_per_s, LS_MIN_PER_S) / load->instances;
    double per_s = MAX(load->permits_per_s, share);
    double turn_us = (load->waiting + 1.0) / per_s * G_USEC_PER_SEC;
    if (turn_us <= (double)load->max_wait_us) {
        return (lw_verdict){.waits = true};
    }
    uint64_t at_us = MAX(returns->next_us, load->now_us + _LW_MIN_RETURN_US);
    at_us = MIN(at_us, load->now_us + _LW_MAX_RETURN_US);
    returns->next_us = at_us + (uint64_t)(G_USEC_PER_SEC / per_s);
    return (lw_verdict){.retry_after_us = at_us - load->now_us};
}
