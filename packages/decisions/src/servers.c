#include "servers.h"

#include "attempts.h"
#include "copies.h"
#include "loads.h"
#include "order.h"
#include "pace.h"
#include "poison.h"
#include "requests.h"
#include "summaries.h"

#define _SV_DEFAULT_SLOTS 16
#define _SV_DEFAULT_ADAPTER_SLOTS 16
#define _SV_DEFAULT_TOKENS_PER_S 40
#define _SV_DEFAULT_PREFILL_PER_S 4000

/* -- private: zones ------------------------------------------------------- */

/* Returns the slot of a zone, and takes one for a new zone. */
static uint32_t
_sv_take_zone_slot(dp_policy *policy, uint32_t zone)
{
    for (uint32_t step = 0; step < DP_ZONES; step++) {
        uint32_t slot = (zone + step) % DP_ZONES;
        dp_zone *entry = &policy->zones[slot];
        if (!entry->used || entry->zone == zone) {
            entry->used = true;
            entry->zone = zone;
            return slot;
        }
    }
    return zone % DP_ZONES; /* with more zones than slots, some share one */
}

/* -- private: totals and defaults ----------------------------------------- */

/* Adds a usable server to the totals of usable own servers (sign 1) or removes
   it (sign -1). Called before and after each change that may alter whether it
   is usable. */
static void
_sv_update_usable_totals(dp_policy *policy, const dp_server *server, int sign)
{
    if (!sv_query_usable(server)) {
        return;
    }
    policy->usable_own += (uint32_t)sign;
    policy->own_slots += (uint64_t)((int64_t)server->desc.slots * sign);
}

static lwd_server_desc
_sv_apply_defaults(const lwd_server_desc *desc)
{
    lwd_server_desc resolved = *desc;
    if (resolved.slots == 0) {
        resolved.slots = _SV_DEFAULT_SLOTS;
    }
    if (resolved.adapter_slots == 0) {
        resolved.adapter_slots = _SV_DEFAULT_ADAPTER_SLOTS;
    }
    if (resolved.tokens_per_s == 0) {
        resolved.tokens_per_s = _SV_DEFAULT_TOKENS_PER_S;
    }
    if (resolved.prefill_per_s == 0) {
        resolved.prefill_per_s = _SV_DEFAULT_PREFILL_PER_S;
    }
    return resolved;
}

dp_server *
sv_make(dp_policy *policy, const lwd_server_desc *desc)
{
    uint64_t id = 0;
    dp_server *server = po_make(&policy->servers, &id);
    if (!server) {
        er_set(&policy->status, ER_POOL_FULL, "pool of servers is full");
        return NULL;
    }
    server->id.id = (uint32_t)id;
    server->desc = _sv_apply_defaults(desc);
    if (server->desc.owned) {
        server->desc.owner = policy->desc.instance;
    }
    server->state = LWD_SERVER_READY;
    server->pace.normal = 1;
    pc_reset(server);
    server->zone_slot = _sv_take_zone_slot(policy, desc->zone);
    policy->zones[server->zone_slot].servers++;
    policy->homes_epoch++;
    _sv_update_usable_totals(policy, server, 1);
    sm_schedule(policy, server);
    ld_start_due_loads(policy);
    return server;
}

/* -- private: removal of work --------------------------------------------- */

/* Ends all attempts on the server and routes their requests again. died: the
   server died while they ran, which is counted against their fingerprints. */
static void
_sv_end_attempts(dp_policy *policy, dp_server *server, bool died)
{
    li_link *link = server->attempts.first;
    while (link) {
        dp_attempt *attempt = LI_ITEM(link, dp_attempt, server_link);
        link = link->next;
        if (!attempt->request) {
            at_release(policy, attempt);
            continue;
        }
        if (died) {
            ps_note_death(policy, attempt->request);
        }
        rq_cancel_and_reroute(policy, attempt);
    }
    /* The calls above left cancelled attempts; they need not be waited for, as
       nothing runs on this server any more. */
    while (server->attempts.first) {
        at_release(policy,
                   LI_ITEM(server->attempts.first, dp_attempt, server_link));
    }
}

static void
_sv_drop_copies(dp_policy *policy, dp_server *server)
{
    while (server->copies.first) {
        cp_destroy(policy,
                   LI_ITEM(server->copies.first, dp_copy, server_link));
    }
}

/* Drops all attempts and copies of the server. It must be unusable already, so
   that their requests are not routed to it again. */
static void
_sv_drop_work(dp_policy *policy, dp_server *server, bool died)
{
    _sv_end_attempts(policy, server, died);
    _sv_drop_copies(policy, server);
    rq_reroute_pending(policy);
}

void
sv_destroy(dp_policy *policy, dp_server *server)
{
    _sv_update_usable_totals(policy, server, -1);
    server->state = LWD_SERVER_DOWN;
    policy->homes_epoch++;
    _sv_drop_work(policy, server, false);
    rq_on_server_removed(policy, server);
    if (server->ejected) {
        policy->zones[server->zone_slot].ejected--;
    }
    policy->zones[server->zone_slot].servers--;
    ti_clear(policy, &server->progress_timer);
    ti_clear(policy, &server->summary_timer);
    po_destroy(&policy->servers, server);
}

static void
_sv_restart(dp_policy *policy, dp_server *server)
{
    _sv_update_usable_totals(policy, server, -1);
    server->state = LWD_SERVER_DOWN;
    _sv_drop_work(policy, server, true);
    pc_reset(server);
    server->state = LWD_SERVER_READY;
    _sv_update_usable_totals(policy, server, 1);
}

void
sv_set_state(dp_policy *policy, dp_server *server, lwd_server_state state)
{
    if (server->state == LWD_SERVER_LEAVING && state != LWD_SERVER_DOWN) {
        return; /* leaving is final */
    }
    if (state == LWD_SERVER_RESTARTED) {
        _sv_restart(policy, server);
    }
    else {
        _sv_update_usable_totals(policy, server, -1);
        bool leaving = server->state == LWD_SERVER_LEAVING;
        server->state = leaving ? LWD_SERVER_LEAVING : state;
        _sv_update_usable_totals(policy, server, 1);
    }
    if (state == LWD_SERVER_LEAVING) {
        policy->homes_epoch++;
        rq_reroute_pending(policy);
    }
    if (state == LWD_SERVER_DOWN) {
        _sv_drop_work(policy, server, false);
    }
    ld_start_due_loads(policy);
    or_fill_slots(policy, server);
}

void
sv_set_owner(dp_policy *policy, dp_server *server, uint32_t owner, bool owned,
             uint64_t handover_until_us)
{
    if (server->desc.owned != owned) {
        _sv_update_usable_totals(policy, server, -1);
        lwd_server_state state = server->state;
        server->state = LWD_SERVER_DOWN;
        _sv_drop_work(policy, server, false);
        server->state = state;
        server->desc.owned = owned;
        server->last_summary = (lwd_summary){0};
        server->forwarded_since = 0;
        _sv_update_usable_totals(policy, server, 1);
    }
    server->desc.owner = owner;
    server->handover_until_us = handover_until_us;
    sm_schedule(policy, server);
    ld_start_due_loads(policy);
    or_fill_slots(policy, server);
}

void
sv_set_ejected(dp_policy *policy, dp_server *server, bool ejected)
{
    if (server->ejected == ejected) {
        return;
    }
    _sv_update_usable_totals(policy, server, -1);
    server->ejected = ejected;
    _sv_update_usable_totals(policy, server, 1);
    dp_zone *zone = &policy->zones[server->zone_slot];
    zone->ejected += ejected ? 1 : (uint32_t)-1;
}

/* -- queries -------------------------------------------------------------- */

dp_server *
sv_query_by_index(const dp_policy *policy, uint32_t index)
{
    const po_pool *pool = &policy->servers;
    if (index >= pool->used_slots || !pool->live[index]) {
        return NULL;
    }
    return (dp_server *)(void *)(pool->items +
                                 (size_t)index * pool->desc.item_bytes);
}

bool
sv_query_usable(const dp_server *server)
{
    return server->desc.owned && server->state == LWD_SERVER_READY &&
           !server->ejected;
}

bool
sv_query_can_start_attempt(const dp_policy *policy, const dp_server *server)
{
    if (!server->desc.owned || server->state != LWD_SERVER_READY ||
        server->running >= server->desc.slots) {
        return false;
    }
    return !server->ejected ||
           (server->running == 0 && policy->now_us >= server->probe_us);
}
