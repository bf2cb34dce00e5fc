#include "load_limit.h"

#include <glib.h>

/* Half of the loads at full speed of the smallest store in the deployments so
   far. */
#define _LL_INITIAL_LOADS 4.0
#define _LL_MIN_LOADS 1.0
#define _LL_MAX_LOADS 32.0
/* Loads that take this many times the baseline are slow. It allows for the few
   ms by which the end of a load is seen late; a store with half as many loads
   again as it serves at full speed makes them slower than this. */
#define _LL_SLOW_FACTOR 1.4
/* Subtracted from the limit by each slow load, and added by a whole round of
   loads that were not slow. */
#define _LL_DECREASE 0.5
#define _LL_INCREASE 0.5
/* Baseline until a shorter load is seen. */
#define _LL_INITIAL_BASELINE_MS 400.0

void
ll_setup(ll_limit *limit)
{
    *limit = (ll_limit){.max_loads = _LL_INITIAL_LOADS,
                        .baseline_ms = _LL_INITIAL_BASELINE_MS};
}

void
ll_feed_load(ll_limit *limit, double duration_ms)
{
    limit->baseline_ms = MIN(limit->baseline_ms, duration_ms);
    if (duration_ms > limit->baseline_ms * _LL_SLOW_FACTOR) {
        limit->max_loads = MAX(limit->max_loads - _LL_DECREASE, _LL_MIN_LOADS);
    }
    else {
        limit->max_loads = MIN(
            limit->max_loads + _LL_INCREASE / limit->max_loads, _LL_MAX_LOADS);
    }
}

bool
ll_query_may_load(const ll_limit *limit, uint32_t in_flight)
{
    return in_flight + 1.0 <= limit->max_loads;
}
