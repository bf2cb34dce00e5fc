#include "weight_task.h"

#include <glib.h>

/* A rate in loads per 1000 s times a time in ms, divided by this, is a number
   of loads. */
#define _WG_MILLI_RATE_MS_PER_LOAD UINT64_C(1000000)

struct wg_task {
    ws_machine *machine; /* NULL before the first limits */
    tm_service *timers;
    wk_wakeup wakeup;
    char *instance;
    uint64_t seed;
    uint32_t load_ms;          /* duration of one load at full speed */
    GHashTable *load_waits_ms; /* server -> expected wait of a load */
    const wg_callbacks *callbacks;
    void *user_data;
    bool executing; /* a callback of an action may feed further events */
};

static uint64_t
_wg_now_us(const wg_task *task)
{
    return tm_query_now_us(task->timers);
}

static void
_wg_execute_action(wg_task *task, const ws_action *action)
{
    switch (action->type) {
    case WS_ACTION_REQUEST_LOAN:
        task->callbacks->send_loan_ask(action->instance, action->number,
                                       action->rate_milli, task->user_data);
        break;
    case WS_ACTION_GRANT_LOAN:
        task->callbacks->send_loan_grant(action->instance, action->number,
                                         action->rate_milli,
                                         action->duration_ms, task->user_data);
        break;
    case WS_ACTION_RATE_CHANGED:
        task->callbacks->share_changed(action->rate_milli, action->in_transit,
                                       task->user_data);
        break;
    case WS_ACTION_DEFAULT:
    case WS_ACTION_NUM:
        break;
    }
}

static void
_wg_execute_actions(wg_task *task)
{
    if (task->executing) {
        return;
    }
    task->executing = true;
    ws_action action;
    while (ws_next_action(task->machine, &action)) {
        _wg_execute_action(task, &action);
    }
    task->executing = false;
    wk_set(&task->wakeup, ws_query_wakeup_us(task->machine));
}

static void
_wg_on_tick(uint64_t now_us, void *data)
{
    (void)now_us;
    wg_feed(data, &(ws_event){.type = WS_EVENT_TICK});
}

wg_task *
wg_create(const wg_desc *desc)
{
    wg_task *task = g_new0(wg_task, 1);
    task->timers = desc->timers;
    task->instance = g_strdup(desc->instance);
    task->seed = desc->seed;
    task->callbacks = desc->callbacks;
    task->user_data = desc->user_data;
    task->load_waits_ms =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    wk_setup(&task->wakeup, desc->timers, _wg_on_tick, task);
    return task;
}

void
wg_destroy(wg_task *task)
{
    if (task) {
        wk_shutdown(&task->wakeup);
        ws_destroy(task->machine);
        g_hash_table_unref(task->load_waits_ms);
        g_free(task->instance);
        g_free(task);
    }
}

void
wg_set_limits(wg_task *task, const dc_limits *limits)
{
    uint32_t rate_milli = (uint32_t)(limits->loads_per_s * 1000.0);
    task->load_ms = limits->load_ms;
    if (task->machine) {
        ws_set_store_limits(task->machine, _wg_now_us(task), rate_milli,
                            limits->loads_in_transit, limits->entry_instances);
    }
    else {
        task->machine = ws_create(&(ws_desc){
            .instance = task->instance,
            .seed = task->seed,
            .loads_per_s_milli = rate_milli,
            .loads_in_transit = limits->loads_in_transit,
            .instances = limits->entry_instances,
        });
    }
    wg_feed(task, &(ws_event){.type = WS_EVENT_TICK});
}

/* Estimates the loads that wait: the longest expected wait, less the time of
   the load itself, times the current rate. */
static uint32_t
_wg_count_waiting_loads(const wg_task *task)
{
    uint32_t longest_wait_ms = 0;
    GHashTableIter iter;
    void *wait;
    g_hash_table_iter_init(&iter, task->load_waits_ms);
    while (g_hash_table_iter_next(&iter, NULL, &wait)) {
        longest_wait_ms = MAX(longest_wait_ms, GPOINTER_TO_UINT(wait));
    }
    if (longest_wait_ms <= task->load_ms) {
        return 0;
    }
    uint64_t rate_milli = ws_query_rate_milli(task->machine, _wg_now_us(task));
    return (uint32_t)((longest_wait_ms - task->load_ms) * rate_milli /
                      _WG_MILLI_RATE_MS_PER_LOAD) +
           1;
}

void
wg_set_load_wait(wg_task *task, const char *server, uint32_t wait_ms)
{
    if (!task->machine) {
        return;
    }
    g_hash_table_insert(task->load_waits_ms, g_strdup(server),
                        GUINT_TO_POINTER(wait_ms));
    ws_set_demand(task->machine, _wg_now_us(task),
                  _wg_count_waiting_loads(task));
    _wg_execute_actions(task);
}

void
wg_feed(wg_task *task, const ws_event *event)
{
    if (task->machine) {
        ws_feed(task->machine, _wg_now_us(task), event);
        _wg_execute_actions(task);
    }
}
