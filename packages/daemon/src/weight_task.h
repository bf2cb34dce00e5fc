/*
 * weight_task.h: this instance's share of the weight store's load rate
 * (prefix wg_).
 *
 * Runs the share state machine (ws_): reports the load rate that this instance
 * may use, borrows rate from peers while adapter loads wait here, and lends
 * unused rate to peers.
 *
 *     wg_task *weights = wg_create(&(wg_desc){.timers = timers,
 *         .instance = "a", .callbacks = &callbacks, .user_data = self});
 *     wg_set_limits(weights, dc_query_limits(config));
 *     wg_set_load_wait(weights, "s1", 800);
 *
 * Limits: one main context. The demand is an estimate: the longest wait that
 * the decisions expect for an adapter load, times the current rate.
 */
#ifndef LACEWING_WEIGHT_TASK_H
#define LACEWING_WEIGHT_TASK_H

#include "lacewing/config.h"
#include "lacewing/weight_share.h"
#include "wakeup.h"

typedef struct wg_task wg_task;

typedef struct wg_callbacks {
    /* The rate (loads per 1000 s) and the number of loads in transit that
       this instance may use. */
    void (*share_changed)(uint32_t rate_milli, uint32_t in_transit,
                          void *user_data);
    /* Asks an instance to lend rate. */
    void (*send_loan_ask)(const char *instance, uint64_t number,
                          uint32_t rate_milli, void *user_data);
    /* Answers a request for a loan. */
    void (*send_loan_grant)(const char *instance, uint64_t number,
                            uint32_t rate_milli, uint32_t duration_ms,
                            void *user_data);
} wg_callbacks;

typedef struct wg_desc {
    tm_service *timers;
    const char *instance;
    uint64_t seed; /* for random choices */
    const wg_callbacks *callbacks;
    void *user_data;
} wg_desc;

wg_task *wg_create(const wg_desc *desc);
void wg_destroy(wg_task *task);
/* Sets the load limits of the weight store. Until the first call, events and
   waits are ignored. */
void wg_set_limits(wg_task *task, const dc_limits *limits);
/* Sets the expected wait for a load, from the summary of an owned server. */
void wg_set_load_wait(wg_task *task, const char *server, uint32_t wait_ms);
/* Feeds an event, such as a message of a peer, to the state machine. */
void wg_feed(wg_task *task, const ws_event *event);

#endif
