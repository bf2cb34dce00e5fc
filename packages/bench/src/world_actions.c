/* Executes the actions of the policies. */
#include "world_state.h"

static uint32_t
_server_index(const wd_world *world, const wd_instance *instance,
              lwd_server server)
{
    for (uint32_t i = 0; i < world->deployment->servers; i++) {
        if (instance->servers[i].id == server.id) {
            return i;
        }
    }
    g_error("an action of the policy names an unknown server");
}

static uint32_t
_adapter_index(const wd_instance *instance, lwd_adapter adapter)
{
    gpointer found = NULL;
    bool known = g_hash_table_lookup_extended(
        instance->adapter_index, GUINT_TO_POINTER(adapter.id), NULL, &found);
    g_assert(known);
    return GPOINTER_TO_UINT(found);
}

uint32_t
wd_make_leg(wd_world *world, const wd_leg *leg)
{
    g_array_append_vals(world->legs, leg, 1);
    uint32_t index = world->legs->len - 1;
    const ar_request *request = &world->desc->trace->requests[leg->request];
    vc_add_leg(world->checker, index, request->adapter, leg->parent);
    return index;
}

/* -- private: requests ---------------------------------------------------- */

/* Adds the part of the wait that ends now in which the adapter was not yet
   resident. */
static void
_add_stall(wd_world *world, uint32_t index, uint32_t server, uint32_t adapter)
{
    wd_outcome *outcome = &world->result->outcomes[index];
    uint64_t loaded_us = en_query_loaded_us(world->engines[server], adapter);
    if (loaded_us > outcome->wait_start_us) {
        outcome->stall_us += loaded_us - outcome->wait_start_us;
    }
    outcome->wait_start_us = eq_query_now_us(world->queue);
}

static void
_send(wd_world *world, wd_instance *instance, const lwd_action *action)
{
    uint32_t leg = (uint32_t)action->tag;
    uint32_t server = _server_index(world, instance, action->server);
    uint32_t adapter = _adapter_index(instance, action->adapter);
    uint32_t index = wd_leg_at(world, leg)->request;
    const ar_request *request = &world->desc->trace->requests[index];
    wd_attempt attempt = {.leg = leg, .server = server, .id = action->attempt};
    g_array_append_val(world->attempts, attempt);
    uint64_t key = world->attempts->len - 1;
    uint64_t *id = g_memdup2(&action->attempt.id, sizeof(*id));
    g_hash_table_insert(instance->attempt_index, id,
                        GUINT_TO_POINTER((guint)key));
    vc_start_attempt(world->checker, eq_query_now_us(world->queue), leg,
                     server, adapter);
    _add_stall(world, index, server, adapter);
    world->result->attempts++;
    en_send(world->engines[server],
            &(en_job){.key = key,
                      .adapter = adapter,
                      .priority = action->priority,
                      .prompt_tokens = request->prompt_tokens,
                      .answer_tokens = request->answer_tokens,
                      .tokens_made = action->resume_from,
                      .prefix = request->prefix});
}

static uint64_t
_attempt_key(const wd_instance *instance, lwd_attempt id)
{
    gpointer found = NULL;
    bool known = g_hash_table_lookup_extended(instance->attempt_index, &id.id,
                                              NULL, &found);
    g_assert(known);
    return GPOINTER_TO_UINT(found);
}

static void
_cancel(wd_world *world, wd_instance *instance, const lwd_action *action)
{
    uint64_t key = _attempt_key(instance, action->attempt);
    const wd_attempt *attempt = wd_attempt_at(world, key);
    if (!en_cancel(world->engines[attempt->server], key)) {
        return; /* has ended; its event is on the way */
    }
    uint32_t index = wd_leg_at(world, attempt->leg)->request;
    uint32_t adapter = world->desc->trace->requests[index].adapter;
    vc_end_attempt(world->checker, attempt->leg, attempt->server, adapter,
                   false);
}

static void
_pause(wd_world *world, wd_instance *instance, const lwd_action *action)
{
    uint64_t key = _attempt_key(instance, action->attempt);
    en_pause(world->engines[wd_attempt_at(world, key)->server], key);
}

static void
_refuse(wd_world *world, const lwd_action *action)
{
    uint32_t leg = (uint32_t)action->tag;
    vc_refuse_leg(world->checker, leg, action->ran);
    wd_leg_at(world, leg)->open = false;
    if (wd_leg_at(world, leg)->parent == WD_NO_LEG) {
        wd_end_request(world, leg, WD_REFUSED);
        return;
    }
    wd_report_forward(world, leg, action->reason,
                      action->ran ? LWD_FAILURE_BROKEN
                                  : LWD_FAILURE_NOT_STARTED,
                      action->retry_after_ms);
}

static void
_forward(wd_world *world, wd_instance *instance, const lwd_action *action)
{
    uint32_t parent = (uint32_t)action->tag;
    g_assert(action->instance < world->instance_count);
    wd_leg leg = {
        .request = wd_leg_at(world, parent)->request,
        .instance = action->instance,
        .parent = parent,
        .child = WD_NO_LEG,
        .server = _server_index(world, instance, action->server),
        .resume_from = action->resume_from,
        .tokens = action->resume_from,
        .open = true,
    };
    uint32_t child = wd_make_leg(world, &leg);
    wd_leg_at(world, parent)->child = child;
    world->result->forwards++;
    uint64_t at_us = eq_query_now_us(world->queue) + world->deployment->hop_us;
    eq_push(world->queue, at_us, wd_on_forward, world,
            (eq_args){.index = child});
}

static void
_cancel_forward(wd_world *world, const lwd_action *action)
{
    wd_leg *leg = wd_leg_at(world, (uint32_t)action->tag);
    if (leg->child == WD_NO_LEG) {
        return;
    }
    uint64_t at_us = eq_query_now_us(world->queue) + world->deployment->hop_us;
    eq_push(world->queue, at_us, wd_on_cancel_forward, world,
            (eq_args){.index = leg->child});
    leg->child = WD_NO_LEG;
}

/* -- private: adapters and peers ------------------------------------------ */

static void
_load_or_evict(wd_world *world, wd_instance *instance,
               const lwd_action *action)
{
    uint32_t server = _server_index(world, instance, action->server);
    uint32_t adapter = _adapter_index(instance, action->adapter);
    if (action->type == LWD_ACTION_EVICT) {
        vc_evict(world->checker, server, adapter);
        en_evict(world->engines[server], adapter);
        return;
    }
    world->result->loads++;
    vc_start_load(world->checker, eq_query_now_us(world->queue));
    en_load(world->engines[server], adapter);
}

static void
_send_to_peers(wd_world *world, const wd_instance *instance,
               const lwd_event *event)
{
    for (uint32_t i = 0; i < world->instance_count; i++) {
        if (i != instance->index) {
            wd_feed_later(world, world->deployment->hop_us, i, event);
        }
    }
}

static void
_execute(wd_world *world, wd_instance *instance, const lwd_action *action)
{
    switch (action->type) {
    case LWD_ACTION_SEND:
        _send(world, instance, action);
        break;
    case LWD_ACTION_FORWARD:
        _forward(world, instance, action);
        break;
    case LWD_ACTION_REFUSE:
        _refuse(world, action);
        break;
    case LWD_ACTION_CANCEL:
        _cancel(world, instance, action);
        break;
    case LWD_ACTION_CANCEL_FORWARD:
        _cancel_forward(world, action);
        break;
    case LWD_ACTION_PAUSE:
        _pause(world, instance, action);
        break;
    case LWD_ACTION_LOAD:
    case LWD_ACTION_EVICT:
        _load_or_evict(world, instance, action);
        break;
    case LWD_ACTION_SUMMARY:
        _send_to_peers(world, instance,
                       &(lwd_event){.type = LWD_EVENT_SUMMARY,
                                    .server = {_server_index(world, instance,
                                                             action->server)},
                                    .summary = &action->summary});
        break;
    case LWD_ACTION_SUSPECT:
        _send_to_peers(world, instance,
                       &(lwd_event){.type = LWD_EVENT_SUSPECT,
                                    .fingerprint = action->fingerprint,
                                    .deaths = action->deaths});
        break;
    default:
        g_error("the policy returned an action of an unknown type");
    }
}

static void
_on_wakeup(void *owner, uint64_t now_us, const eq_args *args)
{
    wd_world *world = owner;
    wd_instance *instance = &world->instances[args->index];
    if (instance->wakeup_us != args->value) {
        return; /* replaced by an earlier wakeup */
    }
    (void)now_us;
    instance->wakeup_us = UINT64_MAX;
    wd_feed(world, instance, &(lwd_event){.type = LWD_EVENT_TICK});
}

#define WAKEUP_DELAY_MIN_US 100

void
wd_drain(wd_world *world, wd_instance *instance)
{
    lwd_action action;
    while (lwd_next_action(instance->policy, &action)) {
        _execute(world, instance, &action);
    }
    uint64_t wakeup_us = lwd_query_wakeup_us(instance->policy);
    if (wakeup_us == UINT64_MAX || wakeup_us >= instance->wakeup_us) {
        return;
    }
    uint64_t earliest_us = eq_query_now_us(world->queue) + WAKEUP_DELAY_MIN_US;
    instance->wakeup_us = MAX(wakeup_us, earliest_us);
    eq_push(world->queue, instance->wakeup_us, _on_wakeup, world,
            (eq_args){.index = instance->index, .value = instance->wakeup_us});
}
