/* The scheduler's core: feeds the policy, executes its actions, and holds the
   tables of models, instances, servers and drafts. */
#include "scheduler_private.h"

#include "lacewing/counter.h"
#include "lacewing/hash.h"

/* Period of the checks of servers and forwards. */
#define _SC_CHECK_PERIOD_MS 500

/* -- private: helpers ----------------------------------------------------- */

uint64_t
_sc_now_us(const sc_scheduler *scheduler)
{
    return tm_query_now_us(scheduler->timers);
}

uint32_t
_sc_instance_number(sc_scheduler *scheduler, const char *name)
{
    for (guint i = 0; i < scheduler->instances->len; i++) {
        if (g_str_equal(scheduler->instances->pdata[i], name)) {
            return i + 1;
        }
    }
    g_ptr_array_add(scheduler->instances, g_strdup(name));
    return scheduler->instances->len;
}

const char *
_sc_instance_name(const sc_scheduler *scheduler, uint32_t number)
{
    if (number == 0 || number > scheduler->instances->len) {
        return NULL;
    }
    return scheduler->instances->pdata[number - 1];
}

_sc_server *
_sc_find_server(const sc_scheduler *scheduler, lwd_server id)
{
    return g_hash_table_lookup(scheduler->servers_by_id,
                               GUINT_TO_POINTER(id.id));
}

/* -- private: events and actions ------------------------------------------ */

static void
_sc_act_summary(sc_scheduler *scheduler, const lwd_action *action)
{
    const _sc_server *server = _sc_find_server(scheduler, action->server);
    if (server) {
        scheduler->callbacks->publish_summary(server->name, &action->summary,
                                              scheduler->user_data);
    }
}

static void
_sc_execute_action(sc_scheduler *scheduler, const lwd_action *action)
{
    switch (action->type) {
    case LWD_ACTION_SEND:
        _sc_act_send(scheduler, action);
        break;
    case LWD_ACTION_FORWARD:
        _sc_act_forward(scheduler, action);
        break;
    case LWD_ACTION_REFUSE:
        _sc_act_refuse(scheduler, action);
        break;
    case LWD_ACTION_CANCEL:
        _sc_act_cancel(scheduler, action);
        break;
    case LWD_ACTION_CANCEL_FORWARD:
        _sc_act_cancel_forward(scheduler, action);
        break;
    case LWD_ACTION_PAUSE:
        _sc_act_pause(scheduler, action);
        break;
    case LWD_ACTION_LOAD:
        _sc_act_load(scheduler, action);
        break;
    case LWD_ACTION_EVICT:
        _sc_act_evict(scheduler, action);
        break;
    case LWD_ACTION_SUMMARY:
        _sc_act_summary(scheduler, action);
        break;
    case LWD_ACTION_SUSPECT:
        scheduler->callbacks->publish_suspect(
            action->fingerprint, action->deaths, scheduler->user_data);
        break;
    case LWD_ACTION_DEFAULT:
    case LWD_ACTION_NUM:
        break;
    }
}

static void
_sc_on_wakeup(uint64_t now_us, void *data)
{
    (void)now_us;
    _sc_feed(data, &(lwd_event){.type = LWD_EVENT_TICK});
}

void
_sc_run_actions(sc_scheduler *scheduler)
{
    if (scheduler->running_actions) {
        return;
    }
    scheduler->running_actions = true;
    lwd_action action;
    while (lwd_next_action(scheduler->policy, &action)) {
        _sc_execute_action(scheduler, &action);
    }
    scheduler->running_actions = false;
    wk_set(&scheduler->wakeup, lwd_query_wakeup_us(scheduler->policy));
}

static gboolean
_sc_on_run_actions(void *data)
{
    sc_scheduler *scheduler = data;
    scheduler->run_source = 0;
    _sc_run_actions(scheduler);
    return G_SOURCE_REMOVE;
}

void
_sc_run_actions_later(sc_scheduler *scheduler)
{
    if (!scheduler->run_source) {
        scheduler->run_source = g_idle_add_full(
            G_PRIORITY_DEFAULT, _sc_on_run_actions, scheduler, NULL);
    }
}

void
_sc_feed(sc_scheduler *scheduler, const lwd_event *event)
{
    lwd_feed(scheduler->policy, _sc_now_us(scheduler), event);
    _sc_run_actions(scheduler);
}

/* -- public: creation and limits ------------------------------------------ */

static void
_sc_model_free(void *data)
{
    _sc_model *model = data;
    g_free(model->name);
    g_free(model);
}

sc_scheduler *
sc_create(const sc_desc *desc)
{
    g_assert(desc->timers && desc->callbacks && desc->instance && desc->zone);
    sc_scheduler *scheduler = g_new0(sc_scheduler, 1);
    scheduler->timers = desc->timers;
    scheduler->callbacks = desc->callbacks;
    scheduler->user_data = desc->user_data;
    scheduler->instance = g_strdup(desc->instance);
    scheduler->zone = g_strdup(desc->zone);
    scheduler->servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, _sc_server_free);
    scheduler->servers_by_id = g_hash_table_new(NULL, NULL);
    scheduler->servers_by_tag = g_hash_table_new(g_int64_hash, g_int64_equal);
    scheduler->models =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, _sc_model_free);
    scheduler->models_by_id = g_hash_table_new(NULL, NULL);
    scheduler->drafts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                              NULL, _sc_draft_free);
    scheduler->attempts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                                NULL, _sc_attempt_free);
    scheduler->instances = g_ptr_array_new_with_free_func(g_free);
    scheduler->unreachable =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    scheduler->next_draft = 1;
    wk_setup(&scheduler->wakeup, desc->timers, _sc_on_wakeup, scheduler);
    lwd_desc policy = desc->policy;
    policy.instance = _sc_instance_number(scheduler, desc->instance);
    policy.zone = (uint32_t)hs_u64(desc->zone);
    policy.seed = policy.seed ? policy.seed : hs_u64(desc->instance);
    scheduler->policy = lwd_create(&policy);
    scheduler->checks = tm_make_timer(
        desc->timers, &(tm_timer_desc){.period_ms = _SC_CHECK_PERIOD_MS,
                                       .call = _sc_check_servers,
                                       .user_data = scheduler});
    return scheduler;
}

void
sc_destroy(sc_scheduler *scheduler)
{
    if (!scheduler) {
        return;
    }
    wk_shutdown(&scheduler->wakeup);
    tm_destroy_timer(scheduler->timers, scheduler->checks);
    if (scheduler->run_source) {
        g_source_remove(scheduler->run_source);
    }
    g_hash_table_unref(scheduler->attempts);
    g_hash_table_unref(scheduler->drafts);
    g_hash_table_unref(scheduler->servers_by_id);
    g_hash_table_unref(scheduler->servers_by_tag);
    g_hash_table_unref(scheduler->servers);
    g_hash_table_unref(scheduler->models_by_id);
    g_hash_table_unref(scheduler->models);
    g_ptr_array_unref(scheduler->instances);
    g_hash_table_unref(scheduler->unreachable);
    lwd_destroy(scheduler->policy);
    g_free(scheduler->instance);
    g_free(scheduler->zone);
    g_free(scheduler);
}

void
sc_set_limits(sc_scheduler *scheduler, const lwd_desc *limits)
{
    lwd_set_limits(scheduler->policy, limits);
}

/* -- public: models ------------------------------------------------------- */

/* Makes the policy's adapter of the model. */
static void
_sc_make_adapter(sc_scheduler *scheduler, _sc_model *model, uint32_t pinned)
{
    uint64_t tag = hs_u64(model->name);
    model->removed = false;
    model->id = lwd_make_adapter(
        scheduler->policy, _sc_now_us(scheduler),
        &(lwd_adapter_desc){.tag = tag, .hash = tag, .pinned = pinned});
    g_hash_table_insert(scheduler->models_by_id,
                        GUINT_TO_POINTER(model->id.id), model);
    _sc_run_actions_later(scheduler);
}

void
sc_set_model(sc_scheduler *scheduler, const char *name, uint32_t pinned)
{
    _sc_model *model = g_hash_table_lookup(scheduler->models, name);
    if (!model) {
        model = g_new0(_sc_model, 1);
        model->name = g_strdup(name);
        model->removed = true;
        g_hash_table_insert(scheduler->models, model->name, model);
    }
    if (model->removed) {
        _sc_make_adapter(scheduler, model, pinned);
    }
}

static gboolean
_sc_draft_uses_model(void *key, void *value, void *model)
{
    (void)key;
    return ((_sc_draft *)value)->model == model;
}

static gboolean
_sc_is_model(void *key, void *value, void *model)
{
    (void)key;
    return value == model;
}

void
sc_remove_model(sc_scheduler *scheduler, const char *name)
{
    _sc_model *model = g_hash_table_lookup(scheduler->models, name);
    if (!model) {
        return;
    }
    model->removed = true;
    lwd_destroy_adapter(scheduler->policy, _sc_now_us(scheduler), model->id);
    _sc_run_actions(scheduler);
    if (g_hash_table_find(scheduler->drafts, _sc_draft_uses_model, model)) {
        return; /* its drafts still use the entry */
    }
    g_hash_table_foreach_remove(scheduler->models_by_id, _sc_is_model, model);
    g_hash_table_remove(scheduler->models, name);
}

/* -- public: from other instances ----------------------------------------- */

void
sc_receive_summary(sc_scheduler *scheduler, const char *name,
                   const lwd_summary *summary)
{
    const _sc_server *server = g_hash_table_lookup(scheduler->servers, name);
    if (server && !server->owned) {
        _sc_feed(scheduler, &(lwd_event){.type = LWD_EVENT_SUMMARY,
                                         .server = server->id,
                                         .summary = summary});
    }
}

void
sc_receive_suspect(sc_scheduler *scheduler, uint64_t fingerprint,
                   uint32_t deaths)
{
    _sc_feed(scheduler, &(lwd_event){.type = LWD_EVENT_SUSPECT,
                                     .fingerprint = fingerprint,
                                     .deaths = deaths});
}

void
sc_set_weight_share(sc_scheduler *scheduler, uint32_t loads_per_s_milli,
                    uint32_t loads_in_transit)
{
    _sc_feed(scheduler, &(lwd_event){.type = LWD_EVENT_WEIGHT_SHARE,
                                     .loads_per_s_milli = loads_per_s_milli,
                                     .loads_in_transit = loads_in_transit});
}

/* -- public: queries ------------------------------------------------------ */

uint32_t
sc_query_open_drafts(const sc_scheduler *scheduler)
{
    return g_hash_table_size(scheduler->drafts);
}

uint32_t
sc_query_open_attempts(const sc_scheduler *scheduler, const char *name)
{
    const _sc_server *server = g_hash_table_lookup(scheduler->servers, name);
    return server ? server->open_attempts : 0;
}

bool
sc_query_any_server_usable(const sc_scheduler *scheduler)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, scheduler->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const _sc_server *server = value;
        bool assigned =
            server->owned ? server->adapters_listed &&
                                scheduler->callbacks->may_order(
                                    server->name, false, scheduler->user_data)
                          : server->owner != NULL;
        if (assigned && !server->down && !server->leaving &&
            !server->handing_over) {
            return true;
        }
    }
    return false;
}

bool
sc_query_has_model(const sc_scheduler *scheduler, const char *model)
{
    const _sc_model *entry = g_hash_table_lookup(scheduler->models, model);
    return entry && !entry->removed;
}

static void
_sc_query_server(const _sc_server *server, JsonBuilder *json)
{
    lwd_server_info info = {0};
    lwd_query_server_info(server->scheduler->policy, server->id, &info);
    json_builder_begin_object(json);
    json_builder_set_member_name(json, "name");
    json_builder_add_string_value(json, server->name);
    json_builder_set_member_name(json, "zone");
    json_builder_add_string_value(json, server->zone);
    json_builder_set_member_name(json, "owner");
    json_builder_add_string_value(json, server->owner ? server->owner : "");
    json_builder_set_member_name(json, "owned");
    json_builder_add_boolean_value(json, server->owned);
    json_builder_set_member_name(json, "fence");
    json_builder_add_int_value(json, (gint64)server->fence);
    json_builder_set_member_name(json, "leaving");
    json_builder_add_boolean_value(json, server->leaving);
    json_builder_set_member_name(json, "down");
    json_builder_add_boolean_value(json, server->down);
    json_builder_set_member_name(json, "ejected");
    json_builder_add_boolean_value(json, info.ejected);
    json_builder_set_member_name(json, "running");
    json_builder_add_int_value(json, info.running);
    json_builder_set_member_name(json, "waiting");
    json_builder_add_int_value(json, info.waiting);
    json_builder_set_member_name(json, "backlog_ms");
    json_builder_add_int_value(json, info.backlog_ms);
    json_builder_set_member_name(json, "token_interval_us");
    json_builder_add_int_value(json, info.token_interval_us);
    json_builder_set_member_name(json, "resident");
    json_builder_add_int_value(json, info.resident);
    json_builder_set_member_name(json, "loading");
    json_builder_add_int_value(json, info.loading);
    json_builder_end_object(json);
}

void
sc_query_servers(const sc_scheduler *scheduler, JsonBuilder *json)
{
    g_autoptr(GList) names = g_hash_table_get_keys(scheduler->servers);
    names = g_list_sort(names, (GCompareFunc)strcmp);
    json_builder_begin_array(json);
    for (GList *item = names; item; item = item->next) {
        _sc_query_server(g_hash_table_lookup(scheduler->servers, item->data),
                         json);
    }
    json_builder_end_array(json);
}
