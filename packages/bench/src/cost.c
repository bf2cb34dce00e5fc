/* Time and memory of decisions. */
#include "cost.h"
#include "baseline.h"
#include <glib.h>
#include <malloc.h>
#include <math.h>
#include <time.h>

#define DECISIONS 20000
#define INSTANCES 6
#define LOAD_US 250000
#define SERVICE_US 2000000
#define SERVER_RATE 2.0 /* requests a second for each server */
#define TOKENS 40

/* An order that will be answered. */
typedef struct co_order {
    uint64_t at_us;
    lwd_event event;
} co_order;

typedef struct co_state {
    const co_desc *desc;
    lwd_policy *policy;
    GQueue *loads;   /* co_order, in the order of time */
    GQueue *answers; /* co_order, in the order of time */
    lwd_adapter *adapters;
} co_state;

static size_t
_heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

static double
_processor_us(void)
{
    struct timespec time;
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return (double)time.tv_sec * 1e6 + (double)time.tv_nsec / 1e3;
}

static void
_answer_later(GQueue *queue, uint64_t at_us, const lwd_event *event)
{
    co_order *order = g_new0(co_order, 1);
    order->at_us = at_us;
    order->event = *event;
    g_queue_push_tail(queue, order);
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
                           .tokens = TOKENS};
        if (action.type == LWD_ACTION_LOAD) {
            event.type = LWD_EVENT_LOAD_DONE;
            _answer_later(state->loads, now_us + LOAD_US, &event);
        }
        else if (action.type == LWD_ACTION_SEND) {
            event.type = LWD_EVENT_FINISHED;
            _answer_later(state->answers, now_us + SERVICE_US, &event);
        }
        else if (action.type == LWD_ACTION_FORWARD) {
            event.type = LWD_EVENT_FORWARD_FINISHED;
            _answer_later(state->answers, now_us + SERVICE_US, &event);
        }
    }
}

static void
_feed(co_state *state, uint64_t now_us, const lwd_event *event)
{
    lwd_feed(state->policy, now_us, event);
    _drain(state, now_us);
}

/* Feeds the answers that are due. */
static void
_answer(co_state *state, GQueue *queue, uint64_t now_us)
{
    co_order *order = g_queue_peek_head(queue);
    while (order != NULL && order->at_us <= now_us) {
        g_queue_pop_head(queue);
        if (order->event.type == LWD_EVENT_FINISHED) {
            lwd_event first = order->event;
            first.type = LWD_EVENT_FIRST_TOKEN;
            _feed(state, now_us, &first);
        }
        _feed(state, now_us, &order->event);
        g_free(order);
        order = g_queue_peek_head(queue);
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
        uint32_t owner = baseline ? 0 : i % INSTANCES;
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

/* Sharply skewed: the logarithm of the rank is even. */
static uint32_t
_draw_adapter(GRand *random, uint32_t adapters)
{
    double rank = pow(adapters, g_rand_double(random)) - 1;
    return MIN((uint32_t)rank, adapters - 1);
}

static void
_decide(co_state *state, GRand *random, uint64_t now_us)
{
    _answer(state, state->loads, now_us);
    _answer(state, state->answers, now_us);
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

co_figures
co_query(const co_desc *desc)
{
    co_state state = {.desc = desc,
                      .loads = g_queue_new(),
                      .answers = g_queue_new(),
                      .adapters = g_new0(lwd_adapter, desc->adapters)};
    GRand *random = g_rand_new_with_seed(desc->seed);
    size_t empty_bytes = _heap_bytes();
    _setup(&state);
    _drain(&state, 0);
    size_t before_bytes = _heap_bytes();
    double interval_us = 1e6 * INSTANCES / (SERVER_RATE * desc->servers);
    double start_us = _processor_us();
    for (uint32_t i = 1; i <= DECISIONS; i++) {
        _decide(&state, random, (uint64_t)(i * interval_us));
    }
    double time_us = _processor_us() - start_us;
    g_queue_free_full(state.loads, g_free);
    g_queue_free_full(state.answers, g_free);
    double kept_bytes = (double)_heap_bytes() - (double)before_bytes;
    co_figures figures = {.us = time_us / DECISIONS,
                          .bytes = MAX(kept_bytes, 0) / DECISIONS,
                          .instance_bytes =
                              (double)(before_bytes - empty_bytes)};
    lwd_destroy(state.policy);
    g_free(state.adapters);
    g_rand_free(random);
    return figures;
}
