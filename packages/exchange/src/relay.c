#include "relay.h"

#include "lacewing/hash.h"
#include <glib.h>
#include <string.h>

/* Up to this number of instances the CPU time of direct messages matters less
   than the added latency of relays: with 83 instances they take 2 % of a core
   on each. */
#define _RL_DIRECT_MAX 96
/* Above this number of instances polling is shared. Equal to the default of
   le_desc.subset_threshold, above which only some instances hold servers. */
#define _RL_POLL_SEPARATELY_MAX 24
/* A relay's link is at least this fraction (1/n) as fast as the fastest link
   of its zone. */
#define _RL_LINK_DIVISOR 2

typedef struct _rl_instance {
    char *instance;
    char *zone;
    char *address;
    uint32_t link_mbps;
    bool leaving;
    uint64_t rank; /* hash; a zone's two lowest eligible ones are used */
    /* Set only for those two. */
    uint32_t relay_index;
    bool only_relay; /* its zone has no second relay */
} _rl_instance;

struct rl_plan {
    char *instance;
    char *zone;
    uint32_t direct_max;
    GPtrArray *all;    /* _rl_instance; by zone and rank if sorted */
    GPtrArray *relays; /* _rl_instance, two of each zone; not owned */
    bool is_relay;     /* others may choose the local instance */
    bool sorted;
};

static void
_rl_free_instance(void *data)
{
    _rl_instance *instance = data;
    g_free(instance->instance);
    g_free(instance->zone);
    g_free(instance->address);
    g_free(instance);
}

static int
_rl_compare_zone_and_rank(const void *a, const void *b)
{
    const _rl_instance *one = *(const _rl_instance *const *)a;
    const _rl_instance *two = *(const _rl_instance *const *)b;
    int zones = strcmp(one->zone, two->zone);
    return zones != 0 ? zones
                      : (one->rank > two->rank) - (one->rank < two->rank);
}

/* Chooses the relays of one zone: its instances are those in [from, to). */
static void
_rl_choose_relays(rl_plan *plan, guint from, guint to)
{
    uint32_t fastest = 0;
    for (guint i = from; i < to; i++) {
        const _rl_instance *instance = plan->all->pdata[i];
        fastest =
            instance->leaving ? fastest : MAX(fastest, instance->link_mbps);
    }
    _rl_instance *relays[RL_RELAYS_PER_ZONE] = {NULL};
    uint32_t count = 0;
    for (guint i = from; i < to; i++) {
        _rl_instance *instance = plan->all->pdata[i];
        if (instance->leaving ||
            instance->link_mbps * _RL_LINK_DIVISOR < fastest) {
            continue;
        }
        if (count < RL_RELAYS_PER_ZONE) {
            relays[count++] = instance;
        }
        plan->is_relay |= strcmp(instance->instance, plan->instance) == 0;
    }
    for (uint32_t i = 0; i < count; i++) {
        relays[i]->relay_index = i;
        relays[i]->only_relay = count == 1;
        g_ptr_array_add(plan->relays, relays[i]);
    }
}

/* Sorts the instances and chooses the relays, unless that is done. */
static void
_rl_sort(rl_plan *plan)
{
    if (plan->sorted) {
        return;
    }
    plan->sorted = true;
    plan->is_relay = false;
    g_ptr_array_set_size(plan->relays, 0);
    g_ptr_array_sort(plan->all, _rl_compare_zone_and_rank);
    guint to = 0;
    for (guint from = 0; from < plan->all->len; from = to) {
        const _rl_instance *first = plan->all->pdata[from];
        for (to = from + 1; to < plan->all->len; to++) {
            const _rl_instance *next = plan->all->pdata[to];
            if (strcmp(first->zone, next->zone) != 0) {
                break;
            }
        }
        _rl_choose_relays(plan, from, to);
    }
}

/* -- public --------------------------------------------------------------- */

rl_plan *
rl_create(const rl_desc *desc)
{
    g_assert(desc->instance && desc->zone);
    rl_plan *plan = g_new0(rl_plan, 1);
    plan->instance = g_strdup(desc->instance);
    plan->zone = g_strdup(desc->zone);
    plan->direct_max = desc->direct_max ? desc->direct_max : _RL_DIRECT_MAX;
    plan->all = g_ptr_array_new_with_free_func(_rl_free_instance);
    plan->relays = g_ptr_array_new();
    return plan;
}

void
rl_destroy(rl_plan *plan)
{
    if (plan) {
        g_ptr_array_unref(plan->all);
        g_ptr_array_unref(plan->relays);
        g_free(plan->instance);
        g_free(plan->zone);
        g_free(plan);
    }
}

void
rl_clear(rl_plan *plan)
{
    g_ptr_array_set_size(plan->all, 0);
    g_ptr_array_set_size(plan->relays, 0);
    plan->sorted = false;
}

void
rl_put(rl_plan *plan, const rl_peer *peer)
{
    _rl_instance *instance = g_new0(_rl_instance, 1);
    instance->instance = g_strdup(peer->instance);
    instance->zone = g_strdup(peer->zone);
    instance->address = g_strdup(peer->address);
    instance->link_mbps = peer->link_mbps;
    instance->leaving = peer->leaving;
    g_autofree char *pair =
        g_strconcat(plan->instance, " ", peer->instance, NULL);
    instance->rank = hs_u64(pair);
    g_ptr_array_add(plan->all, instance);
    plan->sorted = false;
}

bool
rl_accept(rl_seen *seen, uint64_t incarnation, uint64_t number)
{
    if (incarnation != seen->incarnation) {
        *seen = (rl_seen){.incarnation = incarnation, .newest = number};
        return true;
    }
    if (number > seen->newest) {
        uint64_t ahead = number - seen->newest;
        seen->window = ahead > 64 ? 0
                                  : (ahead == 64 ? 0 : seen->window << ahead) |
                                        (UINT64_C(1) << (ahead - 1));
        seen->newest = number;
        return true;
    }
    uint64_t behind = seen->newest - number;
    if (behind == 0 || behind > 64) {
        return false;
    }
    uint64_t bit = UINT64_C(1) << (behind - 1);
    bool received = (seen->window & bit) != 0;
    seen->window |= bit;
    return !received;
}

static void
_rl_call_unless_local(const rl_plan *plan, const _rl_instance *instance,
                      rl_callback call, void *user_data)
{
    if (strcmp(instance->instance, plan->instance) != 0) {
        call(instance->instance, instance->address, user_data);
    }
}

void
rl_each_target(rl_plan *plan, uint64_t number, bool redundant,
               rl_callback call, void *user_data)
{
    _rl_sort(plan);
    bool relayed = rl_query_relayed(plan);
    const GPtrArray *list = relayed ? plan->relays : plan->all;
    for (guint i = 0; i < list->len; i++) {
        const _rl_instance *instance = list->pdata[i];
        if (!relayed || redundant || instance->only_relay ||
            instance->relay_index == number % RL_RELAYS_PER_ZONE) {
            _rl_call_unless_local(plan, instance, call, user_data);
        }
    }
}

void
rl_each_zone_peer(rl_plan *plan, rl_callback call, void *user_data)
{
    _rl_sort(plan);
    for (guint i = 0; i < plan->all->len; i++) {
        const _rl_instance *instance = plan->all->pdata[i];
        if (strcmp(instance->zone, plan->zone) == 0) {
            _rl_call_unless_local(plan, instance, call, user_data);
        }
    }
}

bool
rl_query_polling_shared(const rl_plan *plan)
{
    return plan->all->len > _RL_POLL_SEPARATELY_MAX;
}

bool
rl_query_relayed(const rl_plan *plan)
{
    return plan->all->len > plan->direct_max;
}

uint32_t
rl_query_position(const rl_plan *plan, const char *task)
{
    g_autofree char *own = g_strconcat(task, " ", plan->instance, NULL);
    uint64_t rank = hs_u64(own);
    uint32_t position = 1;
    for (guint i = 0; i < plan->all->len; i++) {
        const _rl_instance *instance = plan->all->pdata[i];
        g_autofree char *other =
            g_strconcat(task, " ", instance->instance, NULL);
        position += !instance->leaving && hs_u64(other) < rank;
    }
    return position;
}

const char *
rl_query_first(const rl_plan *plan, const char *task, bool local_leaves)
{
    const char *first = plan->instance;
    uint64_t lowest = UINT64_MAX;
    for (guint i = 0; i < plan->all->len; i++) {
        const _rl_instance *instance = plan->all->pdata[i];
        bool local = strcmp(instance->instance, plan->instance) == 0;
        if (local ? local_leaves : instance->leaving) {
            continue;
        }
        g_autofree char *name =
            g_strconcat(task, " ", instance->instance, NULL);
        uint64_t rank = hs_u64(name);
        if (rank < lowest) {
            lowest = rank;
            first = instance->instance;
        }
    }
    return first;
}

bool
rl_query_is_relay(rl_plan *plan)
{
    _rl_sort(plan);
    return rl_query_relayed(plan) && plan->is_relay;
}
