#include "owner_task.h"

#include "lacewing/counter.h"
#include "lacewing/log.h"
#include <inttypes.h>

struct on_task {
    ow_machine *machine;
    tm_service *timers;
    tb_table *table;
    wk_wakeup wakeup;
    GHashTable *lost; /* server -> fence (uint64_t *) of a planned loss */
    const on_out *out;
    void *user_data;
    bool pumping;
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
_on_own(on_task *task, const ow_action *action)
{
    g_autofree char *fence = g_strdup_printf("%" PRIu64, action->fence);
    lg_write(LG_OWNER_TAKEN, "server", action->server, "fence", fence, NULL);
    g_hash_table_remove(task->lost, action->server);
    task->out->own(action->server, action->fence, action->evict_after_us,
                   task->user_data);
}

static void
_on_lose(on_task *task, const ow_action *action)
{
    lg_write(action->planned ? LG_OWNER_HANDED : LG_OWNER_LOST, "server",
             action->server, NULL);
    if (action->planned) {
        uint64_t *fence = g_new(uint64_t, 1);
        *fence = action->fence;
        g_hash_table_insert(task->lost, g_strdup(action->server), fence);
    }
    task->out->lose(action->server, action->planned, task->user_data);
}

static void
_on_carry_out(on_task *task, const ow_action *action)
{
    switch (action->type) {
    case OW_ACTION_TABLE:
        tb_call(task->table, &action->table, _on_table, task);
        break;
    case OW_ACTION_ACQUIRED:
        _on_own(task, action);
        break;
    case OW_ACTION_EVICT_AFTER:
        task->out->settle(action->server, action->evict_after_us,
                          task->user_data);
        break;
    case OW_ACTION_LOST:
        _on_lose(task, action);
        break;
    case OW_ACTION_OWNER_CHANGED:
        task->out->owner(action->server, action->instance, action->fence,
                         task->user_data);
        break;
    case OW_ACTION_NOTIFY_DRAINED:
        task->out->tell_drained(action->server, action->instance,
                                action->fence, task->user_data);
        break;
    case OW_ACTION_PROBE:
        task->out->probe(action->server, task->user_data);
        break;
    case OW_ACTION_REFUSE_ACKS:
        task->out->refuse(action->instance, action->incarnation,
                          task->user_data);
        break;
    case OW_ACTION_INCARNATION_ENDED:
        task->out->ended(action->incarnation, task->user_data);
        break;
    case OW_ACTION_DEFAULT:
    case OW_ACTION_NUM:
        break;
    }
}

static void
_on_pump(on_task *task)
{
    if (task->pumping) {
        return;
    }
    task->pumping = true;
    ow_action action;
    while (ow_next_action(task->machine, &action)) {
        _on_carry_out(task, &action);
    }
    task->pumping = false;
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
    task->out = desc->out;
    task->user_data = desc->user_data;
    task->lost =
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
        g_hash_table_unref(task->lost);
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
    _on_pump(task);
}

void
on_feed(on_task *task, const ow_event *event)
{
    ow_feed(task->machine, _on_now_us(task), event);
    _on_pump(task);
}

void
on_take_idle(on_task *task, const char *server)
{
    const uint64_t *fence = g_hash_table_lookup(task->lost, server);
    if (!fence) {
        return;
    }
    on_feed(task, &(ow_event){.type = OW_EVENT_STREAMS_ENDED,
                              .server = server,
                              .fence = *fence});
    g_hash_table_remove(task->lost, server);
}

void
on_stop(on_task *task)
{
    ow_stop(task->machine, _on_now_us(task));
    _on_pump(task);
}

bool
on_query_may_order(const on_task *task, const char *server, bool evict)
{
    ow_use use = ow_query_use(task->machine, _on_now_us(task), server, NULL);
    return use == OW_USE_FULL || (use == OW_USE_NO_EVICTIONS && !evict);
}

const ow_machine *
on_query_machine(const on_task *task)
{
    return task->machine;
}
