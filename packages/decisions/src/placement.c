#include "placement.h"

#include "copies.h"
#include "lengths.h"
#include "pace.h"
#include "routing.h"
#include "servers.h"
#include <math.h>

#define _PL_MEMORY_S 100.0 /* popularity decays by 1/e in this time */
#define _PL_RECENT_S 4.0
#define _PL_KEY_SCALE 1048576.0
#define _PL_KEY_OFFSET 1e6
#define _PL_HORIZON_S 10.0 /* a lost adapter is missed for this time */

/* -- popularity ----------------------------------------------------------- */

static double
_pl_now(const dp_policy *policy, double memory_s)
{
    return (double)policy->now_us / (memory_s * (double)DP_US_PER_S);
}

/* log(exp(left) + exp(right)) */
static double
_pl_add(double left, double right)
{
    double most = fmax(left, right);
    return most + log1p(exp(-fabs(left - right)));
}

void
pl_note_use(dp_policy *policy, dp_adapter *adapter)
{
    double now = _pl_now(policy, _PL_MEMORY_S);
    adapter->popularity = dp_part_on(policy, LWD_PART_PLACEMENT)
                              ? _pl_add(adapter->popularity, now)
                              : now; /* the last use alone */
    adapter->recent = _pl_add(adapter->recent, _pl_now(policy, _PL_RECENT_S));
}

double
pl_query_worth(const dp_adapter *adapter)
{
    uint32_t copies = MAX(adapter->own_resident, 1);
    if (copies <= adapter->desc.pinned) {
        return INFINITY;
    }
    return adapter->popularity - log(copies);
}

uint64_t
pl_query_key(double logarithm)
{
    if (isinf(logarithm)) {
        return logarithm > 0 ? UINT64_MAX : 0;
    }
    return (uint64_t)((logarithm + _PL_KEY_OFFSET) * _PL_KEY_SCALE);
}

double
pl_query_rate(const dp_policy *policy, const dp_adapter *adapter)
{
    double count = exp(adapter->popularity - _pl_now(policy, _PL_MEMORY_S));
    return count / _PL_MEMORY_S;
}

double
pl_query_recent_rate(const dp_policy *policy, const dp_adapter *adapter)
{
    double count = exp(adapter->recent - _pl_now(policy, _PL_RECENT_S));
    return count / _PL_RECENT_S;
}

/* -- homes ---------------------------------------------------------------- */

typedef struct _pl_home {
    uint64_t weight;
    uint16_t index;
} _pl_home;

static void
_pl_insert_home(_pl_home *homes, uint32_t *count, _pl_home home)
{
    uint32_t at = *count;
    if (at == DP_HOMES) {
        if (homes[at - 1].weight >= home.weight) {
            return;
        }
        at--;
    }
    else {
        (*count)++;
    }
    for (; at > 0 && homes[at - 1].weight < home.weight; at--) {
        homes[at] = homes[at - 1];
    }
    homes[at] = home;
}

void
pl_refresh_homes(dp_policy *policy, dp_adapter *adapter)
{
    if (adapter->homes_epoch == policy->homes_epoch) {
        return;
    }
    _pl_home homes[DP_HOMES];
    uint32_t count = 0;
    for (uint32_t index = 0; index < policy->servers.used_slots; index++) {
        const dp_server *server = sv_query_by_index(policy, index);
        if (!server || server->state == LWD_SERVER_LEAVING) {
            continue;
        }
        uint64_t weight =
            rd_mix(adapter->desc.hash ^ rd_mix(server->desc.tag));
        _pl_insert_home(
            homes, &count,
            (_pl_home){.weight = weight, .index = (uint16_t)index});
    }
    for (uint32_t at = 0; at < count; at++) {
        adapter->homes[at] = homes[at].index;
    }
    adapter->home_count = count;
    adapter->homes_epoch = policy->homes_epoch;
}

/* -- choices -------------------------------------------------------------- */

dp_copy *
pl_choose_victim(dp_policy *policy, dp_server *server)
{
    if (policy->now_us < server->settle_us) {
        return NULL;
    }
    for (;;) {
        hp_node *least = hp_query_least(&server->idle);
        if (!least) {
            return NULL;
        }
        dp_copy *copy = HP_ITEM(least, dp_copy, idle);
        uint64_t key = pl_query_key(pl_query_worth(copy->adapter));
        if (key <= least->key) {
            return key == UINT64_MAX ? NULL : copy;
        }
        /* It was used since it was queued. */
        hp_remove(&server->idle, &copy->idle);
        hp_push(&server->idle, &copy->idle, key);
    }
}

/* Time that long work waiting for the adapter would run on the server. */
static double
_pl_long_work_us(const dp_policy *policy, const dp_adapter *adapter,
                 const dp_server *server)
{
    const dp_request *request =
        HP_ITEM(hp_query_least(&adapter->pending[DP_CLASS_LONG]),
                const dp_request, pending);
    if (!request) {
        return 0;
    }
    return pc_query_interval_us(policy, server, server->running + 1) *
           le_query_remaining(request, request->resume_from);
}

/* Cost of a new copy on a server, in microseconds of waiting; INFINITY when
   there is no room. */
static double
_pl_cost_us(dp_policy *policy, const dp_adapter *adapter, dp_server *server,
            double margin)
{
    double cost_us = (double)rt_query_wait_us(policy, server) +
                     _pl_long_work_us(policy, adapter, server);
    if (server == adapter->failed_on) {
        cost_us += (double)policy->desc.load_ms * DP_US_PER_MS;
    }
    if (server->places < server->desc.adapter_slots) {
        return cost_us;
    }
    const dp_copy *victim = pl_choose_victim(policy, server);
    if (!victim ||
        adapter->popularity < pl_query_worth(victim->adapter) + margin) {
        return INFINITY;
    }
    double missed = pl_query_rate(policy, victim->adapter) /
                    MAX(victim->adapter->own_resident, 1) * _PL_HORIZON_S;
    return cost_us + missed * policy->desc.load_ms * (double)DP_US_PER_MS;
}

static bool
_pl_can_take(dp_policy *policy, const dp_adapter *adapter,
             const dp_server *server)
{
    return server && sv_query_usable(server) &&
           !cp_query_find(policy, server, adapter);
}

dp_server *
pl_choose_server(dp_policy *policy, dp_adapter *adapter, double margin)
{
    pl_refresh_homes(policy, adapter);
    dp_server *best = NULL;
    double best_us = INFINITY;
    for (uint32_t at = 0; at < adapter->home_count; at++) {
        dp_server *server = sv_query_by_index(policy, adapter->homes[at]);
        if (!_pl_can_take(policy, adapter, server)) {
            continue;
        }
        double cost_us = _pl_cost_us(policy, adapter, server, margin);
        if (cost_us < best_us) {
            best_us = cost_us;
            best = server;
        }
    }
    /* No home will do: a few others, for the requests that wait. */
    for (uint32_t at = 0; !best && at < DP_HOMES && isinf(margin); at++) {
        uint32_t slots = policy->servers.used_slots;
        dp_server *server =
            sv_query_by_index(policy, (uint32_t)rd_next(policy, slots));
        if (_pl_can_take(policy, adapter, server) &&
            !isinf(_pl_cost_us(policy, adapter, server, margin))) {
            best = server;
        }
    }
    return best;
}
