#include "server_limit.h"

uint32_t
sl_apply_named(sl_limit *limit, double per_s, uint64_t seen_us)
{
    if (seen_us <= limit->unlimited_us || seen_us < limit->named_us) {
        return 0;
    }
    bool limited_before = limit->limited;
    bool changed = limited_before && per_s != limit->per_s;
    if (!limited_before) {
        limit->limited = true;
        limit->started_us = seen_us;
    }
    limit->per_s = per_s;
    limit->named_us = seen_us;
    return (limited_before ? 0 : SL_STARTED) | (changed ? SL_CHANGED : 0);
}

uint32_t
sl_apply_absent(sl_limit *limit, uint64_t sent_us)
{
    limit->unlimited_us = MAX(limit->unlimited_us, sent_us);
    if (!limit->limited || sent_us <= limit->named_us) {
        return 0;
    }
    limit->limited = false;
    return SL_ENDED;
}
