/*
 * weight_task.h: this instance's share of the weight store (prefix wg_).
 *
 * Drives the share machine (ws_): tells the scheduler the rate in force, asks
 * peers for theirs while loads wait here, and lends what is spare.
 *
 *     wg_task *weights = wg_create(&(wg_desc){.timers = timers,
 *         .instance = "a", .out = &out, .user_data = self});
 *     wg_set_limits(weights, dc_query_limits(config));
 *     wg_take_load_wait(weights, "s1", 800);
 *
 * Limits: one main context. The demand is what the decisions expect an
 * adapter to wait for its load, at the rate in force.
 */
#ifndef LACEWING_WEIGHT_TASK_H
#define LACEWING_WEIGHT_TASK_H

#include "lacewing/config.h"
#include "lacewing/weight_share.h"
#include "wakeup.h"

typedef struct wg_task wg_task;

typedef struct wg_out {
    void (*share)(uint32_t rate_milli, uint32_t in_transit, void *user_data);
    void (*ask)(const char *instance, uint64_t number, uint32_t rate_milli,
                void *user_data);
    void (*grant)(const char *instance, uint64_t number, uint32_t rate_milli,
                  uint32_t duration_ms, void *user_data);
} wg_out;

typedef struct wg_desc {
    tm_service *timers;
    const char *instance;
    uint64_t seed;
    const wg_out *out;
    void *user_data;
} wg_desc;

wg_task *wg_create(const wg_desc *desc);
void wg_destroy(wg_task *task);
void wg_set_limits(wg_task *task, const dc_limits *limits);
/* Expected wait for a load, as an owned server's summary says. */
void wg_take_load_wait(wg_task *task, const char *server, uint32_t wait_ms);
void wg_feed(wg_task *task, const ws_event *event);

#endif
