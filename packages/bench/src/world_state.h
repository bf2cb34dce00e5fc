/*
 * world_state.h: the state of one run, shared by world*.c (prefix wd_).
 *
 * A leg is the part of a request that one instance handles: the first leg is
 * that of the entry instance, and each forward adds a leg whose parent is the
 * leg that forwarded it. An attempt is one LWD_ACTION_SEND; its index in the
 * array of attempts is its key at the engine.
 *
 * Limits: private to world.c, world_actions.c and world_events.c.
 */
#ifndef BENCH_WORLD_STATE_H
#define BENCH_WORLD_STATE_H

#include "world.h"
#include <glib.h>

#define WD_NO_LEG UINT32_MAX

typedef struct wd_leg {
    uint32_t request; /* index in the trace */
    uint32_t instance;
    uint32_t parent; /* leg; WD_NO_LEG: the leg of the entry instance */
    uint32_t
        child; /* leg of the present forward; WD_NO_LEG if there is none */
    uint32_t server; /* of a forwarded leg: the server that the parent chose */
    uint32_t resume_from;
    uint32_t tokens; /* most that any attempt has generated */
    lwd_request id;
    bool open; /* not ended */
} wd_leg;

typedef struct wd_attempt {
    uint32_t leg;
    uint32_t server;
    lwd_attempt id;
} wd_attempt;

typedef struct wd_instance {
    uint32_t index;
    uint32_t zone;
    lwd_policy *policy;
    lwd_server *servers;       /* id at the policy, by server */
    lwd_adapter *adapters;     /* id at the policy, by adapter */
    GHashTable *adapter_index; /* index by the policy's id */
    GHashTable *attempt_index; /* index by the policy's id, a uint64_t */
    uint64_t wakeup_us;        /* next LWD_EVENT_TICK; UINT64_MAX: none */
} wd_instance;

typedef struct wd_world {
    const wd_desc *desc;
    const ar_deployment *deployment;
    wd_result *result;
    eq_queue *queue;
    ws_store *store;
    vc_checker *checker;
    GRand *random;
    en_engine **engines;
    uint32_t *owners; /* index of the instance, by server */
    wd_instance *instances;
    uint32_t instance_count;
    GArray *legs;           /* wd_leg */
    GArray *attempts;       /* wd_attempt */
    uint32_t open_requests; /* requests that have not ended */
    en_totals window_start; /* at the start of the measured period */
} wd_world;

static inline wd_leg *
wd_leg_at(wd_world *world, uint32_t leg)
{
    return &g_array_index(world->legs, wd_leg, leg);
}

static inline wd_attempt *
wd_attempt_at(wd_world *world, uint64_t attempt)
{
    return &g_array_index(world->attempts, wd_attempt, attempt);
}

/* world_events.c: events that reach the instances */

/* Feeds an event to the policy, then executes its actions. */
er_code wd_feed(wd_world *world, wd_instance *instance,
                const lwd_event *event);
/* Delivers an event to an instance after a delay. event->server.id is the
   index of the server and not the policy's id; the summary is copied. */
void wd_feed_later(wd_world *world, uint64_t delay_us, uint32_t instance,
                   const lwd_event *event);
void wd_on_engine_event(void *user_data, uint64_t now_us,
                        const en_event *engine_event);
void wd_on_arrival(void *owner, uint64_t now_us, const eq_args *args);
void wd_on_deadline(void *owner, uint64_t now_us, const eq_args *args);
void wd_on_forward(void *owner, uint64_t now_us, const eq_args *args);
void wd_on_cancel_forward(void *owner, uint64_t now_us, const eq_args *args);
/* Reports the end of a forwarded leg to its parent, after the latency between
   instances. */
void wd_report_forward(wd_world *world, uint32_t leg, er_code reason,
                       lwd_failure failure, uint32_t retry_after_ms);
/* Records the outcome of a request; leg is the one at its entry instance. */
void wd_end_request(wd_world *world, uint32_t leg, wd_status status);

/* world_actions.c */

/* Executes the actions of an instance and schedules its next wakeup. */
void wd_drain(wd_world *world, wd_instance *instance);
/* Adds a leg and returns its index. */
uint32_t wd_make_leg(wd_world *world, const wd_leg *leg);

#endif
