/* The simulation of one run: setup, faults and result. */
#include "baseline.h"
#include "world_state.h"

#define SLOWED_SERVERS 2
#define SLOWED_FACTOR 10.0 /* on the time of a step */
#define SLOWED_FOR_US 5000000ULL
#define SLOWED_PERIOD_US 20000000ULL
#define SLOWED_START_US 60000000ULL
#define RESTART_US 120000000ULL
#define LEAVE_US 160000000ULL
/* Delay until instances see a change of the list of live and leaving servers.
 */
#define SERVER_LIST_DELAY_US 1000000ULL
#define LOAD_MS 250

/* -- private: faults ------------------------------------------------------ */

static void
_on_slowdown(void *owner, uint64_t now_us, const eq_args *args)
{
    wd_world *world = owner;
    en_slow(world->engines[args->index], args->value ? SLOWED_FACTOR : 1);
    uint64_t wait_us =
        args->value ? SLOWED_FOR_US : SLOWED_PERIOD_US - SLOWED_FOR_US;
    eq_push(world->queue, now_us + wait_us, _on_slowdown, world,
            (eq_args){.index = args->index, .value = !args->value});
}

/* Sends a server's state to all instances: to its owner after owner_delay_us,
   to the others by the list of servers. */
static void
_send_server_state(wd_world *world, uint32_t server, lwd_server_state state,
                   uint64_t owner_delay_us)
{
    for (uint32_t i = 0; i < world->instance_count; i++) {
        bool owner = world->owners[server] == i;
        wd_feed_later(world, owner ? owner_delay_us : SERVER_LIST_DELAY_US, i,
                      &(lwd_event){.type = LWD_EVENT_SERVER_STATE,
                                   .server = {server},
                                   .server_state = state});
    }
}

static void
_on_started(void *owner, uint64_t now_us, const eq_args *args)
{
    (void)now_us;
    _send_server_state(owner, args->index, LWD_SERVER_RESTARTED, 0);
}

static void
_on_restart(void *owner, uint64_t now_us, const eq_args *args)
{
    wd_world *world = owner;
    en_restart(world->engines[args->index]);
    _send_server_state(world, args->index, LWD_SERVER_DOWN, 0);
    eq_push(world->queue, now_us + EN_COLD_START_MS * 1000ULL, _on_started,
            world, (eq_args){.index = args->index});
}

static void
_on_leave(void *owner, uint64_t now_us, const eq_args *args)
{
    wd_world *world = owner;
    vc_set_leaving(world->checker, now_us, args->index);
    _send_server_state(world, args->index, LWD_SERVER_LEAVING,
                       SERVER_LIST_DELAY_US);
}

static void
_schedule_faults(wd_world *world)
{
    gint32 servers = (gint32)world->deployment->servers;
    uint32_t first = (uint32_t)g_rand_int_range(world->random, 0, servers);
    uint32_t step = (uint32_t)g_rand_int_range(world->random, 1, servers);
    uint32_t second = (first + step) % (uint32_t)servers;
    if (world->desc->scenario == AR_SLOWED) {
        eq_push(world->queue, SLOWED_START_US, _on_slowdown, world,
                (eq_args){.index = first, .value = 1});
        eq_push(world->queue, SLOWED_START_US + SLOWED_PERIOD_US / 3,
                _on_slowdown, world, (eq_args){.index = second, .value = 1});
    }
    if (world->desc->scenario == AR_STEADY) {
        eq_push(world->queue, RESTART_US, _on_restart, world,
                (eq_args){.index = first});
        eq_push(world->queue, LEAVE_US, _on_leave, world,
                (eq_args){.index = second});
    }
}

/* -- private: totals ------------------------------------------------------ */

static en_totals
_sum_totals(const wd_world *world)
{
    en_totals sum = {0};
    for (uint32_t i = 0; i < world->deployment->servers; i++) {
        en_totals totals = en_query_totals(world->engines[i]);
        sum.steps += totals.steps;
        sum.tokens += totals.tokens;
    }
    return sum;
}

static void
_on_window_edge(void *owner, uint64_t now_us, const eq_args *args)
{
    (void)now_us;
    wd_world *world = owner;
    en_totals totals = _sum_totals(world);
    if (args->value == 0) {
        world->window_start = totals;
        return;
    }
    world->result->window.steps = totals.steps - world->window_start.steps;
    world->result->window.tokens = totals.tokens - world->window_start.tokens;
}

/* -- private: setup ------------------------------------------------------- */

/* Assigns the servers of a zone to its instances in turn. */
static void
_setup_owners(wd_world *world)
{
    const ar_deployment *deployment = world->deployment;
    world->owners = g_new0(uint32_t, deployment->servers);
    for (uint32_t i = 0; i < deployment->servers; i++) {
        uint32_t zone = i % deployment->zones;
        uint32_t in_zone =
            (world->instance_count + deployment->zones - 1 - zone) /
            deployment->zones;
        if (in_zone > 0) {
            uint32_t turn = i / deployment->zones % in_zone;
            world->owners[i] = zone + turn * deployment->zones;
        }
    }
}

static void
_setup_engines(wd_world *world)
{
    const wd_desc *desc = world->desc;
    world->engines = g_new0(en_engine *, world->deployment->servers);
    for (uint32_t i = 0; i < world->deployment->servers; i++) {
        world->engines[i] = en_create(
            &(en_desc){.server = i,
                       .seed = desc->seed * 1000 + i,
                       .slowness = ar_query_slowness(world->deployment, i),
                       .queue = world->queue,
                       .store = world->store,
                       .on_event = wd_on_engine_event,
                       .user_data = world});
    }
}

/* The limits of the weight store are split among the instances in proportion
   to the servers that they own. */
static lwd_policy *
_make_policy(const wd_world *world, const wd_instance *instance)
{
    if (world->desc->policy == WD_POLICY_BASELINE) {
        return bl_create();
    }
    const ar_deployment *deployment = world->deployment;
    uint32_t owned = 0;
    for (uint32_t i = 0; i < deployment->servers; i++) {
        owned += world->owners[i] == instance->index;
    }
    uint32_t rate =
        deployment->loads_per_s_milli * owned / deployment->servers;
    uint32_t transit =
        deployment->loads_in_transit_max * owned / deployment->servers;
    return lwd_create(
        &(lwd_desc){.seed = world->desc->seed + 1,
                    .instance = instance->index,
                    .zone = instance->zone,
                    .loads_per_s_milli = rate,
                    .loads_in_transit = MAX(transit, 1),
                    .load_ms = LOAD_MS,
                    .hop_us = deployment->hop_us,
                    .disabled_features = world->desc->disabled_features});
}

static void
_setup_instance(wd_world *world, uint32_t index)
{
    const ar_deployment *deployment = world->deployment;
    wd_instance *instance = &world->instances[index];
    instance->index = index;
    instance->zone = index % deployment->zones;
    instance->wakeup_us = UINT64_MAX;
    instance->servers = g_new0(lwd_server, deployment->servers);
    instance->adapters = g_new0(lwd_adapter, deployment->adapters);
    instance->adapter_index = g_hash_table_new(NULL, NULL);
    instance->attempt_index =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    instance->policy = _make_policy(world, instance);
    for (uint32_t i = 0; i < deployment->servers; i++) {
        instance->servers[i] = lwd_make_server(
            instance->policy, 0,
            &(lwd_server_desc){.tag = i,
                               .zone = i % deployment->zones,
                               .slots = EN_SLOTS,
                               .adapter_slots = EN_ADAPTER_SLOTS,
                               .owner = world->owners[i],
                               .owned = world->owners[i] == index,
                               .pausable = true});
    }
    for (uint32_t i = 0; i < deployment->adapters; i++) {
        instance->adapters[i] = lwd_make_adapter(
            instance->policy, 0, &(lwd_adapter_desc){.tag = i});
        g_hash_table_insert(instance->adapter_index,
                            GUINT_TO_POINTER(instance->adapters[i].id),
                            GUINT_TO_POINTER(i));
    }
}

static void
_setup(wd_world *world)
{
    const wd_desc *desc = world->desc;
    const ar_deployment *deployment = world->deployment;
    bool baseline = desc->policy == WD_POLICY_BASELINE;
    world->queue = eq_create();
    world->random = g_rand_new_with_seed(desc->seed);
    world->store = ws_create(
        &(ws_desc){.seed = desc->seed,
                   .loads_per_s_milli = deployment->loads_per_s_milli,
                   .load_ms = LOAD_MS,
                   .loads_in_transit_max = deployment->loads_in_transit_max});
    world->checker = vc_create(
        &(vc_desc){.servers = deployment->servers,
                   .adapters = deployment->adapters,
                   .loads_per_s_milli = deployment->loads_per_s_milli,
                   .loads_in_transit = deployment->loads_in_transit_max});
    world->legs = g_array_new(FALSE, FALSE, sizeof(wd_leg));
    world->attempts = g_array_new(FALSE, FALSE, sizeof(wd_attempt));
    world->instance_count = baseline ? 1 : deployment->instances;
    _setup_owners(world);
    _setup_engines(world);
    world->instances = g_new0(wd_instance, world->instance_count);
    for (uint32_t i = 0; i < world->instance_count; i++) {
        _setup_instance(world, i);
    }
    for (uint32_t i = 0; i < world->instance_count; i++) {
        wd_drain(world, &world->instances[i]);
    }
}

static void
_shutdown(wd_world *world)
{
    for (uint32_t i = 0; i < world->instance_count; i++) {
        wd_instance *instance = &world->instances[i];
        lwd_destroy(instance->policy);
        g_free(instance->servers);
        g_free(instance->adapters);
        g_hash_table_unref(instance->adapter_index);
        g_hash_table_unref(instance->attempt_index);
    }
    for (uint32_t i = 0; i < world->deployment->servers; i++) {
        en_destroy(world->engines[i]);
    }
    g_free(world->instances);
    g_free(world->engines);
    g_free(world->owners);
    g_array_unref(world->legs);
    g_array_unref(world->attempts);
    vc_destroy(world->checker);
    ws_destroy(world->store);
    g_rand_free(world->random);
    eq_destroy(world->queue);
}

/* -- runs ----------------------------------------------------------------- */

void
wd_run(const wd_desc *desc, wd_result *result)
{
    *result = (wd_result){
        .outcomes = g_new0(wd_outcome, desc->trace->count),
        .count = desc->trace->count,
    };
    wd_world world = {
        .desc = desc, .deployment = desc->deployment, .result = result};
    _setup(&world);
    _schedule_faults(&world);
    eq_push(world.queue, AR_MEASURE_START_US, _on_window_edge, &world,
            (eq_args){.value = 0});
    eq_push(world.queue, AR_MEASURE_END_US, _on_window_edge, &world,
            (eq_args){.value = 1});
    eq_push(world.queue, desc->trace->requests[0].at_us, wd_on_arrival, &world,
            (eq_args){.index = 0});
    while (world.open_requests > 0 ||
           eq_query_now_us(world.queue) < AR_ARRIVALS_END_US) {
        eq_run_next(world.queue);
    }
    result->whole_run = _sum_totals(&world);
    for (int i = 0; i < VC_KIND_NUM; i++) {
        result->violations[i] = vc_query_count(world.checker, (vc_kind)i);
    }
    result->violation_count = vc_query_total(world.checker);
    _shutdown(&world);
}

void
wd_clear(wd_result *result)
{
    g_free(result->outcomes);
    *result = (wd_result){0};
}
