#include "routing.h"

#include "copies.h"
#include "lengths.h"
#include "loads.h"
#include "order.h"
#include "pace.h"
#include "placement.h"
#include "servers.h"

#define _RT_COPIES_SEARCHED_MAX 64    /* for one request */
#define _RT_PREFIX_SAVED_FRACTION 0.5 /* of the prefill, when cached */
#define _RT_PACE_TOKENS 32 /* the pace counts for at least so many tokens */
#define _RT_HOME_RANK_US 300000 /* added to a wait, per earlier home */

/* -- private: prefixes ---------------------------------------------------- */

/* Returns the index of the entry for a prefix on a server, given by the slot
   index in the low 16 bits of its id. A later pair replaces an earlier one. */
static uint32_t
_rt_prefix_slot(uint64_t prefix, uint32_t server)
{
    return (uint32_t)(rd_mix(prefix ^ rd_mix(server)) % DP_PREFIXES);
}

static bool
_rt_holds_prefix(const dp_policy *policy, const dp_server *server,
                 uint64_t prefix)
{
    uint32_t index = server->id.id & 0xffff;
    const dp_prefix *entry = &policy->prefixes[_rt_prefix_slot(prefix, index)];
    return prefix != 0 && entry->held && entry->prefix == prefix &&
           entry->server == index;
}

void
rt_on_prefix_cache(dp_policy *policy, const dp_server *server, uint64_t prefix,
                   bool resident)
{
    uint32_t index = server->id.id & 0xffff;
    dp_prefix *entry = &policy->prefixes[_rt_prefix_slot(prefix, index)];
    bool same = entry->prefix == prefix && entry->server == index;
    if (resident || same) {
        *entry = (dp_prefix){
            .prefix = prefix, .server = (uint16_t)index, .held = resident};
    }
}

/* -- private: costs of own copies ----------------------------------------- */

/* Returns for how many tokens the pace of a server is counted as a cost. */
static uint32_t
_rt_pace_tokens(const dp_request *request)
{
    if (request->class_ != DP_CLASS_LONG) {
        return _RT_PACE_TOKENS;
    }
    return MAX(_RT_PACE_TOKENS,
               le_query_remaining(request, request->resume_from));
}

/* Returns the cost of running the request on an own server: token time, hops
   between zones, less the prefill that a cached prefix saves. */
static double
_rt_cost_us(const dp_policy *policy, const dp_request *request,
            const dp_server *server)
{
    if (!dp_feature_enabled(policy, LWD_FEATURE_ROUTING)) {
        return server->running;
    }
    double cost_us =
        pc_query_interval_us(policy, server, server->running + 1) *
        _rt_pace_tokens(request);
    if (server->desc.zone != policy->desc.zone) {
        cost_us += 2.0 * policy->desc.hop_us;
    }
    if (_rt_holds_prefix(policy, server, request->prefix)) {
        cost_us -= _RT_PREFIX_SAVED_FRACTION *
                   (double)pc_query_prefill_us(server, request->prompt_tokens);
    }
    return cost_us;
}

dp_copy *
rt_query_free_copy(const dp_policy *policy, const dp_request *request,
                   const dp_server *except)
{
    dp_copy *best = NULL;
    double best_us = 0;
    uint32_t seen = 0;
    const li_link *link = request->adapter->copies.first;
    for (; link && seen < _RT_COPIES_SEARCHED_MAX; link = link->next, seen++) {
        dp_copy *copy = LI_ITEM(link, dp_copy, adapter_link);
        const dp_server *server = copy->server;
        if (!cp_query_resident(copy) || server == except ||
            !sv_query_can_start_attempt(policy, server) ||
            !or_query_admits(policy, server, request->class_)) {
            continue;
        }
        double cost_us = _rt_cost_us(policy, request, server);
        if (!best || cost_us < best_us) {
            best = copy;
            best_us = cost_us;
        }
    }
    return best;
}

/* Returns the number of own copies that share the adapter's pending requests,
   pending loads included; at least 1. */
static uint32_t
_rt_own_copies(const dp_adapter *adapter)
{
    return MAX(adapter->own_resident + adapter->incoming_copies, 1);
}

/* -- waits ---------------------------------------------------------------- */

uint64_t
rt_query_wait_us(const dp_policy *policy, const dp_server *server)
{
    if (server->running < server->desc.slots &&
        server->active_copies.count == 0) {
        return 0;
    }
    double tokens = 0;
    const li_link *link = server->active_copies.first;
    for (; link; link = link->next) {
        const dp_adapter *adapter =
            LI_ITEM(link, const dp_copy, active_link)->adapter;
        tokens += (double)adapter->pending_tokens / _rt_own_copies(adapter);
    }
    /* The first running attempt to end, then the pending requests. If the
       remaining lengths of n attempts spread evenly between 0 and twice their
       mean, the shortest is expected to be 2 / (n + 1) of the mean. */
    uint32_t slots = server->desc.slots;
    double first = 2.0 * server->running_tokens /
                   (MAX(server->running, 1) * (slots + 1.0));
    double interval_us = pc_query_interval_us(policy, server, slots);
    return (uint64_t)((first + tokens / slots) * interval_us);
}

/* Returns the expected wait for an own copy that is resident or has a pending
   load; UINT64_MAX for any other. */
static uint64_t
_rt_copy_wait_us(const dp_policy *policy, const dp_copy *copy)
{
    if (!sv_query_usable(copy->server) || !cp_query_advertised(copy)) {
        return UINT64_MAX;
    }
    uint64_t wait_us = rt_query_wait_us(policy, copy->server);
    if (!cp_query_resident(copy)) {
        wait_us += ld_query_time_to_resident_us(policy, copy);
    }
    return wait_us;
}

uint64_t
rt_query_adapter_wait_us(const dp_policy *policy, const dp_adapter *adapter)
{
    uint64_t least_us = UINT64_MAX;
    uint32_t seen = 0;
    const li_link *link = adapter->copies.first;
    for (; link && seen < _RT_COPIES_SEARCHED_MAX; link = link->next, seen++) {
        const dp_copy *copy = LI_ITEM(link, const dp_copy, adapter_link);
        uint64_t wait_us = _rt_copy_wait_us(policy, copy);
        least_us = MIN(least_us, wait_us);
    }
    return least_us;
}

uint32_t
rt_query_waiting_requests(const dp_server *server)
{
    uint32_t waiting = 0;
    const li_link *link = server->active_copies.first;
    for (; link; link = link->next) {
        const dp_adapter *adapter =
            LI_ITEM(link, const dp_copy, active_link)->adapter;
        waiting += adapter->pending_count / _rt_own_copies(adapter);
    }
    return waiting;
}

/* -- private: servers of other instances ---------------------------------- */

static bool
_rt_can_forward(const dp_server *server)
{
    return !server->desc.owned && server->desc.owner != LWD_OWNER_NONE &&
           server->state == LWD_SERVER_READY && !server->last_summary.ejected;
}

/* Returns the expected wait for a server of another instance, both hops
   included. */
static uint64_t
_rt_remote_wait_us(const dp_policy *policy, const dp_server *server)
{
    uint32_t busy = server->last_summary.running +
                    server->last_summary.waiting + server->forwarded_since;
    uint64_t wait_us = 2 * (uint64_t)policy->desc.hop_us;
    if (busy < server->desc.slots) {
        return wait_us;
    }
    /* One request's time on a slot; 1 s until an answer was seen. */
    uint64_t work_us =
        policy->median_tokens > 0
            ? (uint64_t)(policy->median_tokens *
                         pc_query_interval_us(policy, server,
                                              server->desc.slots))
            : DP_US_PER_S;
    wait_us += server->last_summary.backlog_ms * DP_US_PER_MS;
    return wait_us + server->forwarded_since * work_us / server->desc.slots;
}

/* Makes the server the route if its expected wait plus added_us is shorter. */
static void
_rt_try_remote(const dp_policy *policy, dp_server *server, uint64_t added_us,
               rt_route *route)
{
    if (!_rt_can_forward(server)) {
        return;
    }
    uint64_t wait_us = _rt_remote_wait_us(policy, server) + added_us;
    if (route->kind == RT_NONE || wait_us < route->wait_us) {
        *route = (rt_route){
            .kind = RT_FORWARD, .server = server, .wait_us = wait_us};
    }
}

/* Offers the copies on servers of other instances to a route. */
static void
_rt_try_remote_copies(const dp_policy *policy, const dp_request *request,
                      rt_route *route)
{
    uint32_t seen = 0;
    const li_link *link = request->adapter->copies.first;
    for (; link && seen < _RT_COPIES_SEARCHED_MAX; link = link->next, seen++) {
        dp_copy *copy = LI_ITEM(link, dp_copy, adapter_link);
        if (cp_query_resident(copy) && copy->server != request->target) {
            _rt_try_remote(policy, copy->server, 0, route);
        }
    }
}

/* -- private: homes ------------------------------------------------------- */

/* Returns the expected wait when the server loads the adapter. */
static uint64_t
_rt_home_wait_us(const dp_policy *policy, const dp_adapter *adapter,
                 const dp_server *server)
{
    uint64_t load_us = ld_query_adapter_wait_us(policy, adapter);
    if (sv_query_usable(server)) {
        return load_us + rt_query_wait_us(policy, server);
    }
    /* The owner's own wait for loads counts, unless the adapter is loaded
       before others. */
    if (load_us >= ld_query_wait_us(policy)) {
        load_us =
            MAX(server->last_summary.load_wait_ms, policy->desc.load_ms) *
            DP_US_PER_MS;
    }
    return load_us + _rt_remote_wait_us(policy, server);
}

/* Offers the home servers of an adapter to a route; load_gain_us is what a
   load must gain. An earlier home is preferred to a slightly better later one,
   so that all instances choose the same. */
static void
_rt_try_homes(dp_policy *policy, const dp_request *request,
              uint64_t load_gain_us, rt_route *route)
{
    dp_adapter *adapter = request->adapter;
    pl_refresh_homes(policy, adapter);
    uint64_t rank_us = 0;
    for (uint32_t at = 0; at < adapter->home_count; at++) {
        dp_server *server = sv_query_by_index(policy, adapter->homes[at]);
        if (!server || server == request->target ||
            cp_query_find(policy, server, adapter) ||
            (!sv_query_usable(server) && !_rt_can_forward(server))) {
            continue;
        }
        uint64_t wait_us = _rt_home_wait_us(policy, adapter, server);
        uint64_t offer_us = wait_us + load_gain_us + rank_us;
        rank_us += _RT_HOME_RANK_US;
        if (route->kind == RT_NONE || offer_us < route->wait_us) {
            bool own = server->desc.owned;
            *route = (rt_route){.kind = own ? RT_WAIT : RT_FORWARD,
                                .server = server,
                                .wait_us = offer_us,
                                .needs_load = true};
        }
    }
}

/* -- the route ------------------------------------------------------------ */

static void
_rt_try_own(const dp_policy *policy, const dp_request *request,
            rt_route *route)
{
    uint64_t wait_us = rt_query_adapter_wait_us(policy, request->adapter);
    if (wait_us != UINT64_MAX) {
        *route = (rt_route){.kind = RT_WAIT, .wait_us = wait_us};
    }
}

rt_route
rt_query_route(dp_policy *policy, const dp_request *request)
{
    dp_copy *copy = rt_query_free_copy(policy, request, NULL);
    if (copy) {
        return (rt_route){
            .kind = RT_SEND, .copy = copy, .server = copy->server};
    }
    rt_route route = {.kind = RT_NONE};
    _rt_try_own(policy, request, &route);
    if (!request->forwarded) {
        _rt_try_remote_copies(policy, request, &route);
        uint64_t load_gain_us =
            route.kind == RT_NONE ? 0 : ld_query_min_gain_us(policy);
        _rt_try_homes(policy, request, load_gain_us, &route);
    }
    if (route.kind == RT_NONE && policy->usable_own > 0) {
        route = (rt_route){
            .kind = RT_WAIT,
            .wait_us = ld_query_adapter_wait_us(policy, request->adapter),
            .needs_load = true};
    }
    return route;
}
