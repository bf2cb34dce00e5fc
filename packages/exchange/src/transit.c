#include "transit.h"

#include <glib.h>

/* Half of the smallest store's loads at full speed, as the deployments so far
   have it. */
#define _TS_BEGIN_LOADS 4.0
#define _TS_LEAST_LOADS 1.0
#define _TS_MOST_LOADS 32.0
/* A load is found to be done up to a few ms late; a store that is overrun by
   a half shows more than this. */
#define _TS_SLOW_TIMES 1.4
/* What each slow load takes from the share, and what all loads of a round at
   the usual speed add. */
#define _TS_SHRINK 0.5
#define _TS_GROW 0.5
/* Until the first load shows better. */
#define _TS_USUAL_MS 400.0

void
ts_setup(ts_share *share)
{
    *share = (ts_share){.loads = _TS_BEGIN_LOADS, .usual_ms = _TS_USUAL_MS};
}

void
ts_feed_load(ts_share *share, double duration_ms)
{
    share->usual_ms = MIN(share->usual_ms, duration_ms);
    if (duration_ms > share->usual_ms * _TS_SLOW_TIMES) {
        share->loads = MAX(share->loads - _TS_SHRINK, _TS_LEAST_LOADS);
    }
    else {
        share->loads =
            MIN(share->loads + _TS_GROW / share->loads, _TS_MOST_LOADS);
    }
}

bool
ts_query_may_load(const ts_share *share, uint32_t under_way)
{
    return under_way + 1.0 <= share->loads;
}
