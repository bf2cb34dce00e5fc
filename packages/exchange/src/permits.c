#include "permits.h"

#include <math.h>
#include <string.h>

/* Time constant of the count of requests that want a permit: with one of a
   second, the count is their rate. */
#define _PM_WANTED_DECAY_US 1000000.0
/* Permits are asked for as many requests as come in this time. */
#define _PM_AHEAD_S 0.5
#define _PM_MAX_WANTED 64
/* Asks are repeated at this interval while permits are wanted, as they may be
   lost, and the demand changes. */
#define _PM_ASK_INTERVAL_US 100000
/* Permits count as wanted for this long. */
#define _PM_WANTED_US 300000
/* Unused permits are reported this long after they expired at most. What
   was saved up for longer would exceed the limit when it is granted again. */
#define _PM_REPORT_EXPIRED_US 300000
/* Time constant of the rate of granted permits. */
#define _PM_GRANTED_DECAY_US 2000000.0

/* -- private -------------------------------------------------------------- */

static double
_pm_decay(double count, uint64_t since_us, uint64_t now_us, double constant_us)
{
    return now_us > since_us
               ? count * exp(-(double)(now_us - since_us) / constant_us)
               : count;
}

/* Drops the first grants, up to the one at the index. */
static void
_pm_drop_grants(pm_permits *permits, uint32_t count)
{
    permits->grant_count -= count;
    memmove(permits->grants, permits->grants + count,
            permits->grant_count * sizeof(permits->grants[0]));
}

static void
_pm_expire(pm_permits *permits, uint64_t now_us)
{
    uint32_t count = 0;
    while (count < permits->grant_count &&
           now_us >= permits->grants[count].until_us) {
        const pm_grant *grant = &permits->grants[count++];
        if (grant->until_us >= permits->expired_us + _PM_REPORT_EXPIRED_US) {
            permits->expired = 0;
        }
        permits->expired += grant->count;
        permits->expired_us = grant->until_us;
    }
    if (count) {
        _pm_drop_grants(permits, count);
    }
    if (now_us >= permits->expired_us + _PM_REPORT_EXPIRED_US) {
        permits->expired = 0;
    }
}

static uint32_t
_pm_count(const pm_permits *permits, uint64_t now_us)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < permits->grant_count; i++) {
        if (now_us < permits->grants[i].until_us) {
            count += permits->grants[i].count;
        }
    }
    return count;
}

/* -- public --------------------------------------------------------------- */

void
pm_note_wanted(pm_permits *permits, uint32_t want, uint64_t now_us)
{
    permits->last_wanted_us = now_us;
    if (want & PM_URGENT) {
        permits->urgent_us = now_us;
    }
    if (!(want & PM_COUNTED)) {
        permits->wanted = 1.0 + _pm_decay(permits->wanted, permits->wanted_us,
                                          now_us, _PM_WANTED_DECAY_US);
        permits->wanted_us = now_us;
    }
}

void
pm_add(pm_permits *permits, uint32_t count, uint64_t now_us)
{
    _pm_expire(permits, now_us);
    permits->granted = count + _pm_decay(permits->granted, permits->granted_us,
                                         now_us, _PM_GRANTED_DECAY_US);
    permits->granted_us = now_us;
    if (permits->grant_count == PM_MAX_GRANTS) {
        permits->grants[PM_MAX_GRANTS - 1].count += count;
        return;
    }
    permits->grants[permits->grant_count++] =
        (pm_grant){.count = count, .until_us = now_us + PM_LIFETIME_US};
}

void
pm_take(pm_permits *permits, uint64_t now_us)
{
    _pm_expire(permits, now_us);
    if (permits->grant_count && --permits->grants[0].count == 0) {
        _pm_drop_grants(permits, 1);
    }
}

bool
pm_take_ask(pm_permits *permits, uint64_t now_us, pm_ask *out)
{
    _pm_expire(permits, now_us);
    if (permits->last_wanted_us == 0 ||
        now_us >= permits->last_wanted_us + _PM_WANTED_US ||
        (permits->asked_us &&
         now_us < permits->asked_us + _PM_ASK_INTERVAL_US)) {
        return false;
    }
    double wanted = _pm_decay(permits->wanted, permits->wanted_us, now_us,
                              _PM_WANTED_DECAY_US);
    uint32_t weight =
        (uint32_t)CLAMP(ceil(wanted * _PM_AHEAD_S), 1, _PM_MAX_WANTED);
    uint32_t held = _pm_count(permits, now_us);
    if (held >= weight && permits->expired == 0) {
        return false;
    }
    *out = (pm_ask){
        .wanted = weight > held ? weight - held : 0,
        .weight = weight,
        .urgent =
            permits->urgent_us && now_us < permits->urgent_us + _PM_WANTED_US,
        .expired = permits->expired,
    };
    permits->expired = 0;
    permits->asked_us = now_us;
    return true;
}

bool
pm_query_any(const pm_permits *permits, uint64_t now_us)
{
    return _pm_count(permits, now_us) > 0;
}

double
pm_query_per_s(const pm_permits *permits, uint64_t now_us)
{
    return _pm_decay(permits->granted, permits->granted_us, now_us,
                     _PM_GRANTED_DECAY_US) /
           (_PM_GRANTED_DECAY_US / G_USEC_PER_SEC);
}
