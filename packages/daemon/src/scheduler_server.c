/* Backend servers: configuration, ownership, loads and evictions. */
#include "scheduler_private.h"

#include "lacewing/counter.h"
#include "lacewing/hash.h"
#include "lacewing/log.h"

/* One load or eviction order in flight. */
typedef struct _sc_order {
    sc_scheduler *scheduler;
    lwd_server server;
    lwd_adapter adapter;
    bool load;
} _sc_order;

/* -- private: loads and evictions ----------------------------------------- */

static void
_sc_order_ended(const _sc_order *order, er_code code)
{
    lwd_event_type type = LWD_EVENT_LOAD_DONE;
    if (!order->load) {
        type = LWD_EVENT_EVICT_DONE;
    }
    else if (code != ER_OK) {
        type = LWD_EVENT_LOAD_FAILED;
        ct_add(CT_LOAD_FAILURES, 1);
    }
    _sc_feed(order->scheduler, &(lwd_event){.type = type,
                                            .server = order->server,
                                            .adapter = order->adapter});
}

static void
_sc_on_order(be_server *backend, const be_order_result *result, void *data)
{
    (void)backend;
    g_autofree _sc_order *order = data;
    sc_scheduler *scheduler = order->scheduler;
    _sc_server *server = _sc_find_server(scheduler, order->server);
    if (server && order->load && result->code != ER_OK) {
        lg_write(LG_LOAD_FAILED, "server", server->name, "why",
                 er_query_name(result->code), NULL);
    }
    _sc_order_ended(order, result->code);
    if (server && result->code == ER_CONNECTION) {
        _sc_check_server(server);
    }
    if (server && result->code == ER_FENCED) {
        scheduler->callbacks->fenced(server->name, scheduler->user_data);
    }
}

/* Ends an order that the lease does not allow. */
static gboolean
_sc_on_order_refused(void *data)
{
    _sc_order *order = data;
    _sc_order_ended(order, ER_STALE);
    return G_SOURCE_REMOVE;
}

static void
_sc_start_order(sc_scheduler *scheduler, const lwd_action *action, bool load)
{
    _sc_server *server = _sc_find_server(scheduler, action->server);
    const _sc_model *model = g_hash_table_lookup(
        scheduler->models_by_id, GUINT_TO_POINTER(action->adapter.id));
    if (!server || !model) {
        return;
    }
    _sc_order *order = g_new0(_sc_order, 1);
    order->scheduler = scheduler;
    order->server = action->server;
    order->adapter = action->adapter;
    order->load = load;
    if (!scheduler->callbacks->may_order(server->name, !load,
                                         scheduler->user_data)) {
        g_idle_add_full(G_PRIORITY_DEFAULT, _sc_on_order_refused, order,
                        g_free);
    }
    else if (load) {
        ct_add(CT_LOADS, 1);
        be_load(server->backend, model->name, _sc_on_order, order);
    }
    else {
        ct_add(CT_EVICTIONS, 1);
        be_evict(server->backend, model->name, _sc_on_order, order);
    }
}

void
_sc_act_load(sc_scheduler *scheduler, const lwd_action *action)
{
    _sc_start_order(scheduler, action, true);
}

void
_sc_act_evict(sc_scheduler *scheduler, const lwd_action *action)
{
    _sc_start_order(scheduler, action, false);
}

/* -- private: server events for the policy -------------------------------- */

void
_sc_feed_state(_sc_server *server, lwd_server_state state)
{
    _sc_feed(server->scheduler, &(lwd_event){.type = LWD_EVENT_SERVER_STATE,
                                             .server = server->id,
                                             .server_state = state});
}

void
_sc_feed_own(_sc_server *server)
{
    sc_scheduler *scheduler = server->scheduler;
    lwd_feed(scheduler->policy, _sc_now_us(scheduler),
             &(lwd_event){
                 .type = LWD_EVENT_OWNER,
                 .server = server->id,
                 .owned = true,
                 .owner = _sc_instance_number(scheduler, scheduler->instance),
                 .handover_until_us = server->evict_after_us});
}

/* -- public --------------------------------------------------------------- */

void
_sc_server_free(void *data)
{
    _sc_server *server = data;
    be_destroy(server->backend);
    g_free(server->name);
    g_free(server->zone);
    g_free(server->incarnation);
    g_free(server->owner);
    g_free(server);
}

static _sc_server *
_sc_server_create(sc_scheduler *scheduler, const sc_server_desc *desc)
{
    _sc_server *server = g_new0(_sc_server, 1);
    server->scheduler = scheduler;
    server->name = g_strdup(desc->name);
    server->zone = g_strdup(desc->zone);
    server->backend = be_create(
        &(be_desc){.address = desc->address, .timers = scheduler->timers});
    server->desc = *desc;
    server->id = lwd_make_server(
        scheduler->policy, _sc_now_us(scheduler),
        &(lwd_server_desc){.tag = hs_u64(desc->name),
                           .zone = (uint32_t)hs_u64(desc->zone),
                           .owner = LWD_OWNER_NONE,
                           .slots = desc->slots,
                           .adapter_slots = desc->adapter_slots,
                           .tokens_per_s = desc->tokens_per_s,
                           .prefill_per_s = desc->prefill_per_s,
                           .pausable = desc->pausable});
    g_hash_table_insert(scheduler->servers, server->name, server);
    g_hash_table_insert(scheduler->servers_by_id,
                        GUINT_TO_POINTER(server->id.id), server);
    return server;
}

static bool
_sc_server_unchanged(const _sc_server *server, const sc_server_desc *desc)
{
    return g_str_equal(be_query_address(server->backend), desc->address) &&
           g_str_equal(server->zone, desc->zone) &&
           server->desc.slots == desc->slots &&
           server->desc.adapter_slots == desc->adapter_slots &&
           server->desc.pausable == desc->pausable;
}

void
sc_set_server(sc_scheduler *scheduler, const sc_server_desc *desc)
{
    _sc_server *server = g_hash_table_lookup(scheduler->servers, desc->name);
    if (server && !_sc_server_unchanged(server, desc)) {
        bool owned = server->owned;
        uint64_t fence = server->fence;
        uint64_t evict_after_us = server->evict_after_us;
        sc_remove_server(scheduler, desc->name);
        _sc_server_create(scheduler, desc);
        if (owned) {
            sc_own(scheduler, desc->name, fence, evict_after_us);
        }
    }
    else if (!server) {
        _sc_server_create(scheduler, desc);
    }
    if (desc->leaving) {
        sc_set_leaving(scheduler, desc->name);
    }
    _sc_run_actions_later(scheduler);
}

/* Drops the attempts without an event: the policy has already removed the
   server. */
static void
_sc_drop_attempts(sc_scheduler *scheduler, const _sc_server *server)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, scheduler->attempts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((_sc_attempt *)value)->server == server) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

void
sc_remove_server(sc_scheduler *scheduler, const char *name)
{
    _sc_server *server = g_hash_table_lookup(scheduler->servers, name);
    if (!server) {
        return;
    }
    lwd_destroy_server(scheduler->policy, _sc_now_us(scheduler), server->id);
    _sc_drop_attempts(scheduler, server);
    g_hash_table_remove(scheduler->servers_by_id,
                        GUINT_TO_POINTER(server->id.id));
    g_hash_table_remove(scheduler->servers, name);
    _sc_run_actions(scheduler);
}

/* Replaces the entry of a server by a new one, as if it had just been
   configured. */
static _sc_server *
_sc_server_recreate(_sc_server *old)
{
    sc_scheduler *scheduler = old->scheduler;
    g_autofree char *name = g_strdup(old->name);
    g_autofree char *zone = g_strdup(old->zone);
    g_autofree char *address = g_strdup(be_query_address(old->backend));
    g_autofree char *owner = g_strdup(old->owner);
    bool leaving = old->leaving;
    sc_server_desc desc = old->desc;
    desc.name = name;
    desc.zone = zone;
    desc.address = address;
    sc_remove_server(scheduler, name);
    _sc_server *server = _sc_server_create(scheduler, &desc);
    if (leaving) {
        sc_set_leaving(scheduler, name);
    }
    if (g_strcmp0(owner, scheduler->instance) != 0) {
        sc_set_owner(scheduler, name, owner);
    }
    return server;
}

void
sc_own(sc_scheduler *scheduler, const char *name, uint64_t fence,
       uint64_t evict_after_us)
{
    _sc_server *server = g_hash_table_lookup(scheduler->servers, name);
    if (!server) {
        return;
    }
    if (server->handing_over) {
        server = _sc_server_recreate(server);
    }
    server->owned = true;
    server->adapters_listed = false;
    server->listing = false;
    server->fence = fence;
    server->acquired_us = _sc_now_us(scheduler);
    server->evict_after_us = evict_after_us;
    g_free(server->owner);
    server->owner = g_strdup(scheduler->instance);
    be_set_fence(server->backend, fence, scheduler->instance);
    _sc_check_server(server);
}

void
sc_set_evict_after(sc_scheduler *scheduler, const char *name,
                   uint64_t evict_after_us)
{
    _sc_server *server = g_hash_table_lookup(scheduler->servers, name);
    if (!server || !server->owned) {
        return;
    }
    server->evict_after_us = evict_after_us;
    if (server->adapters_listed) {
        _sc_feed_own(server);
        _sc_run_actions(scheduler);
    }
}

/* Marks a server that another instance owns as up or down, as that instance
   answers or not. */
static void
_sc_update_reachability(_sc_server *server)
{
    bool down =
        server->owner &&
        g_hash_table_contains(server->scheduler->unreachable, server->owner);
    if (!server->owned && !server->handing_over && server->down != down) {
        server->down = down;
        _sc_feed_state(server, down ? LWD_SERVER_DOWN : LWD_SERVER_READY);
    }
}

void
sc_set_reachable(sc_scheduler *scheduler, const char *instance, bool reachable)
{
    bool changed =
        reachable
            ? g_hash_table_remove(scheduler->unreachable, instance)
            : g_hash_table_add(scheduler->unreachable, g_strdup(instance));
    if (!changed) {
        return;
    }
    GHashTableIter iter;
    void *server;
    g_hash_table_iter_init(&iter, scheduler->servers);
    while (g_hash_table_iter_next(&iter, NULL, &server)) {
        _sc_update_reachability(server);
    }
}

static void
_sc_feed_owner(_sc_server *server, const char *owner)
{
    sc_scheduler *scheduler = server->scheduler;
    char *copy = g_strdup(owner);
    g_free(server->owner);
    server->owner = copy;
    uint32_t number =
        copy ? _sc_instance_number(scheduler, copy) : LWD_OWNER_NONE;
    _sc_feed(scheduler, &(lwd_event){.type = LWD_EVENT_OWNER,
                                     .server = server->id,
                                     .owned = false,
                                     .owner = number});
    _sc_update_reachability(server);
}

/* Aborts the attempts on the server, so that their drafts are resumed
   elsewhere. */
static void
_sc_abort_attempts(_sc_server *server)
{
    sc_scheduler *scheduler = server->scheduler;
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, scheduler->attempts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const _sc_attempt *attempt = value;
        if (attempt->server != server) {
            continue;
        }
        lwd_feed(scheduler->policy, _sc_now_us(scheduler),
                 &(lwd_event){.type = LWD_EVENT_FAILED,
                              .attempt = attempt->id,
                              .tokens = attempt->tokens,
                              .failure = LWD_FAILURE_BROKEN});
        g_hash_table_iter_remove(&iter);
    }
}

void
sc_disown(sc_scheduler *scheduler, const char *name, bool planned)
{
    _sc_server *server = g_hash_table_lookup(scheduler->servers, name);
    if (!server || !server->owned) {
        return;
    }
    server->owned = false;
    server->adapters_listed = false;
    if (planned) {
        server->handing_over = true;
        _sc_feed_state(server, LWD_SERVER_LEAVING);
        _sc_finish_handover_if_drained(server);
        return;
    }
    _sc_abort_attempts(server);
    _sc_feed_owner(server, NULL);
}

void
_sc_finish_handover_if_drained(_sc_server *server)
{
    sc_scheduler *scheduler = server->scheduler;
    if (!server->handing_over || server->open_attempts > 0) {
        return;
    }
    g_autofree char *name = g_strdup(server->name);
    _sc_server_recreate(server);
    scheduler->callbacks->handover_drained(name, scheduler->user_data);
}

void
sc_set_owner(sc_scheduler *scheduler, const char *name, const char *instance)
{
    _sc_server *server = g_hash_table_lookup(scheduler->servers, name);
    if (!server || server->owned || g_strcmp0(server->owner, instance) == 0) {
        return;
    }
    if (server->handing_over) {
        g_free(server->owner);
        server->owner = g_strdup(instance);
        return;
    }
    _sc_feed_owner(server, instance);
}

void
sc_set_leaving(sc_scheduler *scheduler, const char *name)
{
    _sc_server *server = g_hash_table_lookup(scheduler->servers, name);
    if (!server || server->leaving) {
        return;
    }
    server->leaving = true;
    lg_write(LG_SERVER_LEAVING, "server", name, NULL);
    _sc_feed_state(server, LWD_SERVER_LEAVING);
}
