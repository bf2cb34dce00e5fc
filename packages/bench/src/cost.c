/* Processor time and memory of decisions. */
#include "cost.h"
#include "baseline.h"
#include <glib.h>
#include <malloc.h>
#include <math.h>
#include <time.h>

#define DECISION_COUNT 20000
#define INSTANCE_COUNT 6
#define LOAD_US 250000    /* time of one load */
#define ANSWER_US 2000000 /* time from a send to the end of its answer */
#define REQUESTS_PER_S_PER_SERVER 2.0
#define ANSWER_TOKENS 40

/* The event that completes an ordered load, send or forward. */
typedef struct co_pending_reply {
    uint64_t at_us;
    lwd_event event;
} co_pending_reply;

typedef struct co_state {
    const co_desc *desc;
    lwd_policy *policy;
    GQueue *load_replies;   /* co_pending_reply, by time */
    GQueue *answer_replies; /* co_pending_reply, by time */
    lwd_adapter *adapters;
} co_state;

static size_t
_heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

static double
_cpu_time_us(void)
{
    struct timespec time;
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return (double)time.tv_sec * 1e6 + (double)time.tv_nsec / 1e3;
}

static void
_schedule_reply(GQueue *queue, uint64_t at_us, const lwd_event *event)
{
    co_pending_reply *reply = g_new0(co_pending_reply, 1);
    reply->at_us = at_us;
    reply->event = *event;
    g_queue_push_tail(queue, reply);
}

static void
_drain(co_state *state, uint64_t now_us)
{
    lwd_action action;
    while (lwd_next_action(state->policy, &action)) {
        lwd_event event = {.server = action.server,
                           .adapter = action.adapter,
                           .request = action.request,
                           .attempt = action.attempt,
                           .tokens = ANSWER_TOKENS};
        if (action.type == LWD_ACTION_LOAD) {
            event.type = LWD_EVENT_LOAD_DONE;
            _schedule_reply(state->load_replies, now_us + LOAD_US, &event);
        }
        else if (action.type == LWD_ACTION_SEND) {
            event.type = LWD_EVENT_FINISHED;
            _schedule_reply(state->answer_replies, now_us + ANSWER_US, &event);
        }
        else if (action.type == LWD_ACTION_FORWARD) {
            event.type = LWD_EVENT_FORWARD_FINISHED;
            _schedule_reply(state->answer_replies, now_us + ANSWER_US, &event);
        }
    }
}

static void
_feed(co_state *state, uint64_t now_us, const lwd_event *event)
{
    lwd_feed(state->policy, now_us, event);
    _drain(state, now_us);
}

/* Feeds the replies that are due. */
static void
_deliver_due_replies(co_state *state, GQueue *queue, uint64_t now_us)
{
    co_pending_reply *reply = g_queue_peek_head(queue);
    while (reply != NULL && reply->at_us <= now_us) {
        g_queue_pop_head(queue);
        if (reply->event.type == LWD_EVENT_FINISHED) {
            lwd_event first = reply->event;
            first.type = LWD_EVENT_FIRST_TOKEN;
            first.tokens = 0;
            _feed(state, now_us, &first);
        }
        _feed(state, now_us, &reply->event);
        g_free(reply);
        reply = g_queue_peek_head(queue);
    }
}

static void
_setup(co_state *state)
{
    const co_desc *desc = state->desc;
    bool baseline = desc->policy == WD_POLICY_BASELINE;
    state->policy = baseline
                        ? bl_create()
                        : lwd_create(&(lwd_desc){.seed = desc->seed + 1,
                                                 .loads_per_s_milli = 1000,
                                                 .loads_in_transit = 2});
    for (uint32_t i = 0; i < desc->servers; i++) {
        uint32_t owner = baseline ? 0 : i % INSTANCE_COUNT;
        lwd_make_server(state->policy, 0,
                        &(lwd_server_desc){.tag = i,
                                           .zone = owner % 4,
                                           .slots = EN_SLOTS,
                                           .adapter_slots = EN_ADAPTER_SLOTS,
                                           .owner = owner,
                                           .owned = owner == 0,
                                           .pausable = true});
    }
    for (uint32_t i = 0; i < desc->adapters; i++) {
        state->adapters[i] =
            lwd_make_adapter(state->policy, 0, &(lwd_adapter_desc){.tag = i});
    }
}

/* Draws a rank whose logarithm is uniformly distributed, so that few adapters
   get most requests. */
static uint32_t
_draw_adapter(GRand *random, uint32_t adapters)
{
    double rank = pow(adapters, g_rand_double(random)) - 1;
    return MIN((uint32_t)rank, adapters - 1);
}

static void
_run_decision(co_state *state, GRand *random, uint64_t now_us)
{
    _deliver_due_replies(state, state->load_replies, now_us);
    _deliver_due_replies(state, state->answer_replies, now_us);
    if (lwd_query_wakeup_us(state->policy) <= now_us) {
        _feed(state, now_us, &(lwd_event){.type = LWD_EVENT_TICK});
    }
    uint32_t adapter = _draw_adapter(random, state->desc->adapters);
    lwd_make_request(state->policy, now_us,
                     &(lwd_request_desc){.adapter = state->adapters[adapter],
                                         .team = adapter % 12,
                                         .operation = adapter % 5,
                                         .prompt_tokens = 200,
                                         .max_tokens = 128,
                                         .deadline_us = now_us + 11000000});
    _drain(state, now_us);
}

co_result
co_query(const co_desc *desc)
{
    co_state state = {.desc = desc,
                      .load_replies = g_queue_new(),
                      .answer_replies = g_queue_new(),
                      .adapters = g_new0(lwd_adapter, desc->adapters)};
    GRand *random = g_rand_new_with_seed(desc->seed);
    size_t empty_bytes = _heap_bytes();
    _setup(&state);
    _drain(&state, 0);
    size_t before_bytes = _heap_bytes();
    double interval_us =
        1e6 * INSTANCE_COUNT / (REQUESTS_PER_S_PER_SERVER * desc->servers);
    double start_us = _cpu_time_us();
    for (uint32_t i = 1; i <= DECISION_COUNT; i++) {
        _run_decision(&state, random, (uint64_t)(i * interval_us));
    }
    double time_us = _cpu_time_us() - start_us;
    g_queue_free_full(state.load_replies, g_free);
    g_queue_free_full(state.answer_replies, g_free);
    double kept_bytes = (double)_heap_bytes() - (double)before_bytes;
    co_result result = {.decision_us = time_us / DECISION_COUNT,
                        .decision_bytes = MAX(kept_bytes, 0) / DECISION_COUNT,
                        .instance_bytes =
                            (double)(before_bytes - empty_bytes)};
    lwd_destroy(state.policy);
    g_free(state.adapters);
    g_rand_free(random);
    return result;
}
