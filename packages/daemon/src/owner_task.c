#include "owner_task.h"

#include "lacewing/counter.h"
#include "lacewing/log.h"
#include <inttypes.h>

struct on_task {
    ow_machine *machine;
    tm_service *timers;
    tb_table *table;
    wk_wakeup wakeup;
    GHashTable *planned_losses; /* server -> fence (uint64_t *), until the
                                          server is drained */
    const on_callbacks *callbacks;
    void *user_data;
    bool executing; /* a callback of an action may feed further events */
};

static uint64_t
_on_now_us(const on_task *task)
{
    return tm_query_now_us(task->timers);
}

static void
_on_table(const co_table_result *result, void *data)
{
    on_feed(data, &(ow_event){.type = OW_EVENT_TABLE, .table = result});
}

static void
_on_handle_acquired(on_task *task, const ow_action *action)
{
    g_autofree char *fence = g_strdup_printf("%" PRIu64, action->fence);
    lg_write(LG_OWNER_TAKEN, "server", action->server, "fence", fence, NULL);
    g_hash_table_remove(task->planned_losses, action->server);
    task->callbacks->server_acquired(action->server, action->fence,
                                     action->evict_after_us, task->user_data);
}

static void
_on_handle_lost(on_task *task, const ow_action *action)
{
    lg_write(action->planned ? LG_OWNER_HANDED : LG_OWNER_LOST, "server",
             action->server, NULL);
    if (action->planned) {
        uint64_t *fence = g_new(uint64_t, 1);
        *fence = action->fence;
        g_hash_table_insert(task->planned_losses, g_strdup(action->server),
                            fence);
    }
    task->callbacks->server_lost(action->server, action->planned,
                                 task->user_data);
}

static void
_on_execute_action(on_task *task, const ow_action *action)
{
    switch (action->type) {
    case OW_ACTION_TABLE:
        tb_call(task->table, &action->table, _on_table, task);
        break;
    case OW_ACTION_ACQUIRED:
        _on_handle_acquired(task, action);
        break;
    case OW_ACTION_EVICT_AFTER:
        task->callbacks->evict_after_changed(
            action->server, action->evict_after_us, task->user_data);
        break;
    case OW_ACTION_LOST:
        _on_handle_lost(task, action);
        break;
    case OW_ACTION_OWNER_CHANGED:
        task->callbacks->owner_changed(action->server, action->instance,
                                       action->fence, task->user_data);
        break;
    case OW_ACTION_NOTIFY_DRAINED:
        task->callbacks->send_drained(action->server, action->instance,
                                      action->fence, task->user_data);
        break;
    case OW_ACTION_PROBE:
        task->callbacks->probe_server(action->server, task->user_data);
        break;
    case OW_ACTION_REFUSE_ACKS:
        task->callbacks->stop_acknowledging(
            action->instance, action->incarnation, task->user_data);
        break;
    case OW_ACTION_INCARNATION_ENDED:
        task->callbacks->incarnation_ended(action->incarnation,
                                           task->user_data);
        break;
    case OW_ACTION_DEFAULT:
    case OW_ACTION_NUM:
        break;
    }
}

static void
_on_execute_actions(on_task *task)
{
    if (task->executing) {
        return;
    }
    task->executing = true;
    ow_action action;
    while (ow_next_action(task->machine, &action)) {
        _on_execute_action(task, &action);
    }
    task->executing = false;
    ct_set(CT_OWNED_SERVERS, ow_query_owned_count(task->machine));
    wk_set(&task->wakeup, ow_query_wakeup_us(task->machine));
}

static void
_on_tick(uint64_t now_us, void *data)
{
    (void)now_us;
    on_feed(data, &(ow_event){.type = OW_EVENT_TICK});
}

on_task *
on_create(const on_desc *desc)
{
    on_task *task = g_new0(on_task, 1);
    task->timers = desc->timers;
    task->table = desc->table;
    task->callbacks = desc->callbacks;
    task->user_data = desc->user_data;
    task->planned_losses =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    task->machine = ow_create(&(ow_desc){.instance = desc->instance,
                                         .zone = desc->zone,
                                         .incarnation = desc->incarnation,
                                         .seed = desc->incarnation});
    wk_setup(&task->wakeup, desc->timers, _on_tick, task);
    return task;
}

void
on_destroy(on_task *task)
{
    if (task) {
        wk_shutdown(&task->wakeup);
        ow_destroy(task->machine);
        g_hash_table_unref(task->planned_losses);
        g_free(task);
    }
}

void
on_set_config(on_task *task, const dc_config *config)
{
    g_autoptr(GArray) servers =
        g_array_new(FALSE, TRUE, sizeof(ow_server_desc));
    for (uint32_t i = 0; i < dc_query_count(config, DC_SERVER); i++) {
        const dc_server *server = dc_query_server_at(config, i);
        if (server->kind != DC_SERVER_ENGINE) {
            continue;
        }
        ow_server_desc desc = {
            .name = server->name,
            .zone = server->zone,
            .checks_fence = server->fence == DC_FENCE_CHECK,
            .leaving = server->state == DC_SERVER_DRAIN,
        };
        g_array_append_val(servers, desc);
    }
    ow_set_servers(task->machine, _on_now_us(task),
                   (const ow_server_desc *)(void *)servers->data,
                   servers->len);
    _on_execute_actions(task);
}

void
on_feed(on_task *task, const ow_event *event)
{
    ow_feed(task->machine, _on_now_us(task), event);
    _on_execute_actions(task);
}

void
on_handle_drained(on_task *task, const char *server)
{
    const uint64_t *fence = g_hash_table_lookup(task->planned_losses, server);
    if (!fence) {
        return;
    }
    on_feed(task, &(ow_event){.type = OW_EVENT_STREAMS_ENDED,
                              .server = server,
                              .fence = *fence});
    g_hash_table_remove(task->planned_losses, server);
}

void
on_stop(on_task *task)
{
    ow_stop(task->machine, _on_now_us(task));
    _on_execute_actions(task);
}

bool
on_query_may_command(const on_task *task, const char *server, bool evict)
{
    ow_use use = ow_query_use(task->machine, _on_now_us(task), server, NULL);
    return use == OW_USE_FULL || (use == OW_USE_NO_EVICTIONS && !evict);
}

const ow_machine *
on_query_machine(const on_task *task)
{
    return task->machine;
}
