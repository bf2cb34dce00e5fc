#include "servers.h"

#include "attempts.h"
#include "copies.h"
#include "loads.h"
#include "order.h"
#include "pace.h"
#include "poison.h"
#include "requests.h"
#include "summaries.h"

#define _SV_SLOTS 16
#define _SV_ADAPTER_SLOTS 16
#define _SV_TOKENS_PER_S 40
#define _SV_PREFILL_PER_S 4000

/* -- private: zones ------------------------------------------------------- */

static uint32_t
_sv_zone_slot(dp_policy *policy, uint32_t zone)
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
    return zone % DP_ZONES; /* more zones than slots share one */
}

/* -- private: what is counted --------------------------------------------- */

/* Takes the server out of, or into, the counts of usable servers. */
static void
_sv_count(dp_policy *policy, const dp_server *server, int sign)
{
    if (!sv_query_usable(server)) {
        return;
    }
    policy->usable_own += (uint32_t)sign;
    policy->own_slots += (uint64_t)((int64_t)server->desc.slots * sign);
}

static lwd_server_desc
_sv_resolve(const lwd_server_desc *desc)
{
    lwd_server_desc resolved = *desc;
    if (resolved.slots == 0) {
        resolved.slots = _SV_SLOTS;
    }
    if (resolved.adapter_slots == 0) {
        resolved.adapter_slots = _SV_ADAPTER_SLOTS;
    }
    if (resolved.tokens_per_s == 0) {
        resolved.tokens_per_s = _SV_TOKENS_PER_S;
    }
    if (resolved.prefill_per_s == 0) {
        resolved.prefill_per_s = _SV_PREFILL_PER_S;
    }
    return resolved;
}

dp_server *
sv_make(dp_policy *policy, const lwd_server_desc *desc)
{
    uint64_t id = 0;
    dp_server *server = po_make(&policy->servers, &id);
    if (!server) {
        er_set(&policy->status, ER_POOL_FULL, "no server left in the pool");
        return NULL;
    }
    server->id.id = (uint32_t)id;
    server->desc = _sv_resolve(desc);
    if (server->desc.owned) {
        server->desc.owner = policy->desc.instance;
    }
    server->state = LWD_SERVER_READY;
    server->pace.normal = 1;
    pc_reset(server);
    server->zone_slot = _sv_zone_slot(policy, desc->zone);
    policy->zones[server->zone_slot].servers++;
    policy->homes_epoch++;
    _sv_count(policy, server, 1);
    sm_schedule(policy, server);
    ld_start_due_loads(policy);
    return server;
}

/* -- private: work that must go elsewhere --------------------------------- */

/* Ends the attempts; their requests go on elsewhere. died: the server did,
   with them running. */
static void
_sv_move_attempts(dp_policy *policy, dp_server *server, bool died)
{
    li_link *link = server->attempts.first;
    while (link) {
        dp_attempt *attempt = LI_ITEM(link, dp_attempt, server_link);
        link = link->next;
        if (!attempt->request) {
            at_forget(policy, attempt);
            continue;
        }
        if (died) {
            ps_note_death(policy, attempt->request);
        }
        rq_move(policy, attempt);
    }
    /* Cancelled attempts hold nothing on a server that is gone. */
    while (server->attempts.first) {
        at_forget(policy,
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

/* Gives up everything on the server; it must be out of use already. */
static void
_sv_empty(dp_policy *policy, dp_server *server, bool died)
{
    _sv_move_attempts(policy, server, died);
    _sv_drop_copies(policy, server);
    rq_reroute_stranded(policy);
}

void
sv_destroy(dp_policy *policy, dp_server *server)
{
    _sv_count(policy, server, -1);
    server->state = LWD_SERVER_DOWN;
    policy->homes_epoch++;
    _sv_empty(policy, server, false);
    rq_on_target_gone(policy, server);
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
    _sv_count(policy, server, -1);
    server->state = LWD_SERVER_DOWN;
    _sv_empty(policy, server, true);
    pc_reset(server);
    server->state = LWD_SERVER_READY;
    _sv_count(policy, server, 1);
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
        _sv_count(policy, server, -1);
        bool leaving = server->state == LWD_SERVER_LEAVING;
        server->state = leaving ? LWD_SERVER_LEAVING : state;
        _sv_count(policy, server, 1);
    }
    if (state == LWD_SERVER_LEAVING) {
        policy->homes_epoch++;
        rq_reroute_stranded(policy);
    }
    if (state == LWD_SERVER_DOWN) {
        _sv_empty(policy, server, false);
    }
    ld_start_due_loads(policy);
    or_fill_slots(policy, server);
}

void
sv_set_owner(dp_policy *policy, dp_server *server, uint32_t owner, bool owned,
             uint64_t settle_us)
{
    if (server->desc.owned != owned) {
        _sv_count(policy, server, -1);
        lwd_server_state state = server->state;
        server->state = LWD_SERVER_DOWN;
        _sv_empty(policy, server, false);
        server->state = state;
        server->desc.owned = owned;
        server->last_summary = (lwd_summary){0};
        server->forwarded_since = 0;
        _sv_count(policy, server, 1);
    }
    server->desc.owner = owner;
    server->handover_until_us = settle_us;
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
    _sv_count(policy, server, -1);
    server->ejected = ejected;
    _sv_count(policy, server, 1);
    dp_zone *zone = &policy->zones[server->zone_slot];
    zone->ejected += ejected ? 1 : (uint32_t)-1;
}

/* -- queries -------------------------------------------------------------- */

dp_server *
sv_query_at(const dp_policy *policy, uint32_t index)
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
sv_query_free(const dp_policy *policy, const dp_server *server)
{
    if (!server->desc.owned || server->state != LWD_SERVER_READY ||
        server->running >= server->desc.slots) {
        return false;
    }
    return !server->ejected ||
           (server->running == 0 && policy->now_us >= server->probe_us);
}
