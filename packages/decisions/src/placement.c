#include "placement.h"

#include "copies.h"
#include "lengths.h"
#include "pace.h"
#include "routing.h"
#include "servers.h"
#include <math.h>

#define _PL_DECAY_S 100.0         /* popularity decays by 1/e in this time */
#define _PL_RECENT_DECAY_S 4.0    /* the same for the recent popularity */
#define _PL_KEY_SCALE 1048576.0   /* heap keys for each unit of a logarithm */
#define _PL_KEY_OFFSET 1e6        /* makes all logarithms positive */
#define _PL_EVICTED_DEMAND_S 10.0 /* requests in it wait for the reload */

/* -- popularity ----------------------------------------------------------- */

/* Returns the logarithm of the weight of a request that comes now. Weights
   grow with time instead of older counts being decayed. */
static double
_pl_log_weight_now(const dp_policy *policy, double decay_s)
{
    return (double)policy->now_us / (decay_s * (double)DP_US_PER_S);
}

/* Returns log(exp(left) + exp(right)) without overflow. */
static double
_pl_add_logarithms(double left, double right)
{
    double greater = fmax(left, right);
    return greater + log1p(exp(-fabs(left - right)));
}

void
pl_record_request(dp_policy *policy, dp_adapter *adapter)
{
    double weight = _pl_log_weight_now(policy, _PL_DECAY_S);
    adapter->popularity = dp_feature_enabled(policy, LWD_FEATURE_PLACEMENT)
                              ? _pl_add_logarithms(adapter->popularity, weight)
                              : weight; /* least recently used is evicted */
    adapter->recent = _pl_add_logarithms(
        adapter->recent, _pl_log_weight_now(policy, _PL_RECENT_DECAY_S));
}

double
pl_query_popularity_per_copy(const dp_adapter *adapter)
{
    uint32_t copies = MAX(adapter->own_resident, 1);
    if (copies <= adapter->desc.pinned) {
        return INFINITY;
    }
    return adapter->popularity - log(copies);
}

uint64_t
pl_query_heap_key(double logarithm)
{
    if (isinf(logarithm)) {
        return logarithm > 0 ? UINT64_MAX : 0;
    }
    return (uint64_t)((logarithm + _PL_KEY_OFFSET) * _PL_KEY_SCALE);
}

double
pl_query_request_rate(const dp_policy *policy, const dp_adapter *adapter)
{
    double count =
        exp(adapter->popularity - _pl_log_weight_now(policy, _PL_DECAY_S));
    return count / _PL_DECAY_S;
}

double
pl_query_recent_request_rate(const dp_policy *policy,
                             const dp_adapter *adapter)
{
    double count =
        exp(adapter->recent - _pl_log_weight_now(policy, _PL_RECENT_DECAY_S));
    return count / _PL_RECENT_DECAY_S;
}

/* -- homes ---------------------------------------------------------------- */

typedef struct _pl_home {
    uint64_t weight;
    uint16_t index;
} _pl_home;

/* Inserts a server into the homes, sorted by falling weight; the last one is
   dropped when there are more than DP_HOMES. */
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
    if (policy->now_us < server->handover_until_us) {
        return NULL;
    }
    for (;;) {
        hp_node *least = hp_query_least(&server->evictable);
        if (!least) {
            return NULL;
        }
        dp_copy *copy = HP_ITEM(least, dp_copy, evictable_node);
        uint64_t key =
            pl_query_heap_key(pl_query_popularity_per_copy(copy->adapter));
        if (key <= least->key) {
            return key == UINT64_MAX ? NULL : copy;
        }
        /* The popularity has grown since the copy was queued. */
        hp_remove(&server->evictable, &copy->evictable_node);
        hp_push(&server->evictable, &copy->evictable_node, key);
    }
}

/* Returns the time for which the first pending long request of the adapter
   would run on the server; 0 when there is none. */
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

/* Returns the cost of a new copy on a server, in microseconds of waiting;
   INFINITY when no slot is free and no copy may be evicted. */
static double
_pl_cost_us(dp_policy *policy, const dp_adapter *adapter, dp_server *server,
            double margin)
{
    double cost_us = (double)rt_query_wait_us(policy, server) +
                     _pl_long_work_us(policy, adapter, server);
    if (server == adapter->failed_on) {
        cost_us += (double)policy->desc.load_ms * DP_US_PER_MS;
    }
    if (server->occupied_slots < server->desc.adapter_slots) {
        return cost_us;
    }
    const dp_copy *victim = pl_choose_victim(policy, server);
    if (!victim ||
        adapter->popularity <
            pl_query_popularity_per_copy(victim->adapter) + margin) {
        return INFINITY;
    }
    double requests = pl_query_request_rate(policy, victim->adapter) /
                      MAX(victim->adapter->own_resident, 1) *
                      _PL_EVICTED_DEMAND_S;
    return cost_us + requests * policy->desc.load_ms * (double)DP_US_PER_MS;
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
    /* No home server can take it: tries a few random servers, if requests are
       waiting for the adapter. */
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
