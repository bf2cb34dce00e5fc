/* Delivers requests, events of the engines and messages of other instances to
   the instances. */
#include "world_state.h"

er_code
wd_feed(wd_world *world, wd_instance *instance, const lwd_event *event)
{
    uint64_t now_us = eq_query_now_us(world->queue);
    er_code code = lwd_feed(instance->policy, now_us, event);
    wd_drain(world, instance);
    return code;
}

/* An event that is delivered to an instance later. */
typedef struct wd_message {
    lwd_event event;
    lwd_summary summary;
} wd_message;

static void
_deliver_message(void *owner, uint64_t now_us, const eq_args *args)
{
    (void)now_us;
    wd_world *world = owner;
    wd_instance *instance = &world->instances[args->index];
    g_autofree wd_message *message = args->data;
    lwd_event *event = &message->event;
    if (event->type != LWD_EVENT_SUSPECT) {
        event->server = instance->servers[event->server.id];
    }
    event->summary =
        event->type == LWD_EVENT_SUMMARY ? &message->summary : NULL;
    wd_feed(world, instance, event);
}

void
wd_feed_later(wd_world *world, uint64_t delay_us, uint32_t instance,
              const lwd_event *event)
{
    wd_message *message = g_new0(wd_message, 1);
    message->event = *event;
    if (event->summary != NULL) {
        message->summary = *event->summary;
    }
    eq_push(world->queue, eq_query_now_us(world->queue) + delay_us,
            _deliver_message, world,
            (eq_args){.index = instance, .data = message});
}

/* -- private: ends of requests and forwards ------------------------------- */

void
wd_end_request(wd_world *world, uint32_t leg, wd_status status)
{
    uint32_t index = wd_leg_at(world, leg)->request;
    const ar_request *request = &world->desc->trace->requests[index];
    wd_outcome *outcome = &world->result->outcomes[index];
    g_assert(outcome->status == WD_OPEN);
    outcome->status = status;
    outcome->end_us = eq_query_now_us(world->queue);
    if (status == WD_ANSWERED && outcome->end_us > request->deadline_us) {
        outcome->status = WD_LATE;
    }
    if (outcome->status == WD_ANSWERED) {
        world->result->useful_tokens += request->answer_tokens;
    }
    world->open_requests--;
}

/* Ends a leg whose answer is complete. */
static void
_finish_leg(wd_world *world, uint32_t index)
{
    wd_leg *leg = wd_leg_at(world, index);
    vc_end_leg(world->checker, index);
    leg->open = false;
    if (leg->parent == WD_NO_LEG) {
        wd_end_request(world, index, WD_ANSWERED);
        return;
    }
    wd_report_forward(world, index, ER_OK, LWD_FAILURE_DEFAULT, 0);
}

/* How a forwarded leg ended. */
typedef struct wd_report {
    er_code reason;
    lwd_failure failure;
    uint32_t retry_after_ms;
} wd_report;

static void
_on_forward_ended(void *owner, uint64_t now_us, const eq_args *args)
{
    (void)now_us;
    wd_world *world = owner;
    g_autofree wd_report *report = args->data;
    uint32_t tokens = wd_leg_at(world, args->index)->tokens;
    uint32_t parent = wd_leg_at(world, args->index)->parent;
    wd_leg *leg = wd_leg_at(world, parent);
    if (!leg->open || leg->child != args->index) {
        return;
    }
    leg->child = WD_NO_LEG;
    leg->tokens = MAX(leg->tokens, tokens);
    bool complete = report->reason == ER_OK;
    lwd_event event = {.type = complete ? LWD_EVENT_FORWARD_FINISHED
                                        : LWD_EVENT_FORWARD_FAILED,
                       .request = leg->id,
                       .tokens = tokens,
                       .reason = report->reason,
                       .failure = report->failure,
                       .retry_after_ms = report->retry_after_ms};
    wd_instance *instance = &world->instances[leg->instance];
    uint64_t at_us = eq_query_now_us(world->queue);
    er_code code = lwd_feed(instance->policy, at_us, &event);
    if (complete && code == ER_OK) {
        _finish_leg(world, parent);
    }
    wd_drain(world, instance);
}

void
wd_report_forward(wd_world *world, uint32_t leg, er_code reason,
                  lwd_failure failure, uint32_t retry_after_ms)
{
    wd_report *report = g_new0(wd_report, 1);
    *report = (wd_report){.reason = reason,
                          .failure = failure,
                          .retry_after_ms = retry_after_ms};
    uint64_t at_us = eq_query_now_us(world->queue) + world->deployment->hop_us;
    eq_push(world->queue, at_us, _on_forward_ended, world,
            (eq_args){.index = leg, .data = report});
}

/* -- private: requests ---------------------------------------------------- */

/* Submits a leg's request to the policy of its instance. */
static void
_submit(wd_world *world, uint32_t index)
{
    wd_leg *leg = wd_leg_at(world, index);
    const ar_request *request = &world->desc->trace->requests[leg->request];
    wd_instance *instance = &world->instances[leg->instance];
    bool forwarded = leg->parent != WD_NO_LEG;
    lwd_request_desc desc = {
        .tag = index,
        .adapter = instance->adapters[request->adapter],
        .team = request->team,
        .operation = request->operation,
        .prompt_tokens = request->prompt_tokens,
        .max_tokens = request->max_tokens,
        .resume_from = leg->resume_from,
        .deadline_us = request->deadline_us,
        .fingerprint = request->fingerprint,
        .prefix = request->prefix,
        .forwarded = forwarded,
    };
    if (forwarded) {
        desc.server = instance->servers[leg->server];
    }
    uint64_t now_us = eq_query_now_us(world->queue);
    leg->id = lwd_make_request(instance->policy, now_us, &desc);
    if (leg->id.id == 0) {
        leg->open = false;
        vc_refuse_leg(world->checker, index, false);
        if (forwarded) {
            wd_report_forward(world, index, ER_POOL_FULL,
                              LWD_FAILURE_NOT_STARTED, 1000);
        }
        else {
            wd_end_request(world, index, WD_REFUSED);
        }
    }
    wd_drain(world, instance);
}

void
wd_on_arrival(void *owner, uint64_t now_us, const eq_args *args)
{
    wd_world *world = owner;
    const ar_trace *trace = world->desc->trace;
    const ar_request *request = &trace->requests[args->index];
    wd_leg leg = {.request = args->index,
                  .instance = args->index % world->instance_count,
                  .parent = WD_NO_LEG,
                  .child = WD_NO_LEG,
                  .open = true};
    uint32_t index = wd_make_leg(world, &leg);
    world->result->outcomes[args->index].wait_start_us = now_us;
    world->open_requests++;
    eq_push(world->queue, request->deadline_us, wd_on_deadline, world,
            (eq_args){.index = index});
    if (args->index + 1 < trace->count) {
        eq_push(world->queue, trace->requests[args->index + 1].at_us,
                wd_on_arrival, world, (eq_args){.index = args->index + 1});
    }
    _submit(world, index);
}

void
wd_on_forward(void *owner, uint64_t now_us, const eq_args *args)
{
    (void)now_us;
    _submit(owner, args->index);
}

/* Ends a leg whose caller has left: the real caller, or the parent leg. */
static void
_cancel_leg(wd_world *world, uint32_t index)
{
    wd_leg *leg = wd_leg_at(world, index);
    if (!leg->open) {
        return;
    }
    leg->open = false;
    vc_end_leg(world->checker, index);
    wd_feed(world, &world->instances[leg->instance],
            &(lwd_event){.type = LWD_EVENT_CALLER_GONE, .request = leg->id});
}

void
wd_on_deadline(void *owner, uint64_t now_us, const eq_args *args)
{
    (void)now_us;
    wd_world *world = owner;
    if (wd_leg_at(world, args->index)->open) {
        wd_end_request(world, args->index, WD_LATE);
        _cancel_leg(world, args->index);
    }
}

void
wd_on_cancel_forward(void *owner, uint64_t now_us, const eq_args *args)
{
    (void)now_us;
    _cancel_leg(owner, args->index);
}

/* -- private: events of the engines --------------------------------------- */

static void
_on_job_event(wd_world *world, wd_instance *instance,
              const en_event *engine_event)
{
    const wd_attempt *attempt = wd_attempt_at(world, engine_event->key);
    uint32_t index = attempt->leg;
    wd_leg *leg = wd_leg_at(world, index);
    leg->tokens = MAX(leg->tokens, engine_event->tokens);
    bool ended = engine_event->type == LWD_EVENT_FINISHED ||
                 engine_event->type == LWD_EVENT_FAILED ||
                 engine_event->type == LWD_EVENT_PAUSED;
    if (ended) {
        const ar_request *request =
            &world->desc->trace->requests[leg->request];
        bool not_started = engine_event->failure == LWD_FAILURE_NOT_STARTED ||
                           engine_event->failure == LWD_FAILURE_NOT_RESIDENT;
        vc_end_attempt(world->checker, index, attempt->server,
                       request->adapter, not_started);
        world->result->outcomes[leg->request].wait_start_us =
            eq_query_now_us(world->queue);
    }
    lwd_event event = {.type = engine_event->type,
                       .attempt = attempt->id,
                       .tokens = engine_event->tokens,
                       .failure = engine_event->failure};
    uint64_t now_us = eq_query_now_us(world->queue);
    er_code code = lwd_feed(instance->policy, now_us, &event);
    if (engine_event->type == LWD_EVENT_FINISHED && code == ER_OK) {
        _finish_leg(world, index);
    }
    wd_drain(world, instance);
}

void
wd_on_engine_event(void *user_data, uint64_t now_us,
                   const en_event *engine_event)
{
    (void)now_us;
    wd_world *world = user_data;
    wd_instance *instance =
        &world->instances[world->owners[engine_event->server]];
    lwd_event event = {.type = engine_event->type,
                       .server = instance->servers[engine_event->server],
                       .running = engine_event->running,
                       .waiting = engine_event->waiting,
                       .sampled_us = engine_event->sampled_us,
                       .prefix = engine_event->prefix,
                       .resident = engine_event->resident};
    switch (engine_event->type) {
    case LWD_EVENT_LOAD_DONE:
    case LWD_EVENT_LOAD_FAILED:
        vc_end_load(world->checker);
        event.adapter = instance->adapters[engine_event->adapter];
        break;
    case LWD_EVENT_EVICT_DONE:
        event.adapter = instance->adapters[engine_event->adapter];
        break;
    case LWD_EVENT_LOAD_REPORT:
    case LWD_EVENT_CACHE:
        break;
    default:
        _on_job_event(world, instance, engine_event);
        return;
    }
    wd_feed(world, instance, &event);
}
