/*
 * owner_task.h: which backend servers this instance owns (prefix on_).
 *
 * Drives the ownership machine (ow_) over the table and tells the scheduler
 * what it may use.
 *
 *     on_task *owner = on_create(&(on_desc){.timers = timers,
 *         .table = calls, .instance = "a", .zone = "z1",
 *         .incarnation = 17, .out = &out, .user_data = self});
 *     on_set_config(owner, config);
 *     if (on_query_may_order(owner, "s1", false)) { ... }
 *
 * Limits: one main context.
 */
#ifndef LACEWING_OWNER_TASK_H
#define LACEWING_OWNER_TASK_H

#include "lacewing/config.h"
#include "lacewing/ownership.h"
#include "table_calls.h"
#include "wakeup.h"

typedef struct on_task on_task;

typedef struct on_out {
    void (*own)(const char *server, uint64_t fence, uint64_t settle_us,
                void *user_data);
    void (*settle)(const char *server, uint64_t settle_us, void *user_data);
    void (*lose)(const char *server, bool planned, void *user_data);
    void (*owner)(const char *server, const char *instance, uint64_t fence,
                  void *user_data);
    void (*tell_drained)(const char *server, const char *instance,
                         uint64_t fence, void *user_data);
    /* Find out whether a server of another zone is reached. */
    void (*probe)(const char *server, void *user_data);
    /* Acknowledge no heartbeat of this incarnation any more, at once. */
    void (*refuse)(const char *instance, uint64_t incarnation,
                   void *user_data);
    void (*ended)(uint64_t incarnation, void *user_data);
} on_out;

typedef struct on_desc {
    tm_service *timers;
    tb_table *table;
    const char *instance;
    const char *zone;
    uint64_t incarnation;
    const on_out *out;
    void *user_data;
} on_desc;

on_task *on_create(const on_desc *desc);
void on_destroy(on_task *task);
/* Backend engines of a configuration; leaving says which are drained. */
void on_set_config(on_task *task, const dc_config *config);
void on_feed(on_task *task, const ow_event *event);
/* The scheduler has no stream left on a server that was lost as planned. */
void on_take_idle(on_task *task, const char *server);
void on_stop(on_task *task);

/* queries */
bool on_query_may_order(const on_task *task, const char *server, bool evict);
const ow_machine *on_query_machine(const on_task *task);

#endif
