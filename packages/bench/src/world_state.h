/*
 * world_state.h: the state of one run, shared by world*.c (prefix wd_).
 *
 * A leg is one request as one instance sees it; a forward makes a new leg
 * whose parent is the one it came from. An attempt is one SEND, and its
 * index is the key that the engine knows it by.
 *
 * Limits: private to world.c, world_actions.c and world_events.c.
 */
#ifndef BENCH_WORLD_STATE_H
#define BENCH_WORLD_STATE_H

#include "world.h"
#include <glib.h>

#define WD_NONE UINT32_MAX

typedef struct wd_leg {
    uint32_t request; /* index in the trace */
    uint32_t instance;
    uint32_t parent; /* WD_NONE: the entry's own */
    uint32_t child;  /* the forward it stands on, if any */
    uint32_t server; /* forwarded: the server it was sent for */
    uint32_t resume_from;
    uint32_t tokens; /* most that any attempt has made */
    lwd_request id;
    bool open;
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
    lwd_server *servers;       /* by server */
    lwd_adapter *adapters;     /* by adapter */
    GHashTable *adapter_index; /* id to adapter */
    GHashTable *attempt_index; /* uint64_t id to attempt */
    uint64_t wakeup_us;
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
    uint32_t *owners; /* by server */
    wd_instance *instances;
    uint32_t instance_count;
    GArray *legs;     /* wd_leg */
    GArray *attempts; /* wd_attempt */
    uint32_t open;    /* requests without an end */
    en_totals window_start;
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

/* world_events.c: what reaches the instances */

/* Feeds an event, then carries out what the policy wants. */
er_code wd_feed(wd_world *world, wd_instance *instance,
                const lwd_event *event);
/* An event that reaches an instance later; server and adapter are indices,
   a summary is copied. */
void wd_feed_later(wd_world *world, uint64_t delay_us, uint32_t instance,
                   const lwd_event *event);
void wd_on_note(void *user_data, uint64_t now_us, const en_note *note);
void wd_on_arrival(void *owner, uint64_t now_us, const eq_args *args);
void wd_on_deadline(void *owner, uint64_t now_us, const eq_args *args);
void wd_on_forward(void *owner, uint64_t now_us, const eq_args *args);
void wd_on_cancel_forward(void *owner, uint64_t now_us, const eq_args *args);
/* A forwarded leg ended: its parent hears after the hop. */
void wd_report_forward(wd_world *world, uint32_t leg, er_code reason,
                       lwd_failure failure, uint32_t retry_after_ms);
/* Ends a leg's request with the outcome, when it is the entry's own. */
void wd_end_request(wd_world *world, uint32_t leg, wd_end end);

/* world_actions.c */

/* Carries out the actions of an instance and sets its next wakeup. */
void wd_drain(wd_world *world, wd_instance *instance);
/* A new leg; returns its index. */
uint32_t wd_make_leg(wd_world *world, const wd_leg *leg);

#endif
