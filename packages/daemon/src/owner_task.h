/*
 * owner_task.h: ownership of backend servers (prefix on_).
 *
 * Runs the ownership state machine (ow_) over the platform's table: claims,
 * renews and hands over leases on backend servers, and reports to the daemon
 * which servers this instance may use.
 *
 *     on_task *owner = on_create(&(on_desc){.timers = timers,
 *         .table = calls, .instance = "a", .zone = "z1",
 *         .incarnation = 17, .callbacks = &callbacks, .user_data = self});
 *     on_set_config(owner, config);
 *     if (on_query_may_command(owner, "s1", false)) { ... }
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

typedef struct on_callbacks {
    /* This instance owns the server; no evictions there before
       evict_after_us. */
    void (*server_acquired)(const char *server, uint64_t fence,
                            uint64_t evict_after_us, void *user_data);
    /* The time before which nothing is evicted has changed. */
    void (*evict_after_changed)(const char *server, uint64_t evict_after_us,
                                void *user_data);
    /* This instance no longer owns the server. planned: running streams may
       finish there, then call on_handle_drained(); else they are
       cancelled. */
    void (*server_lost)(const char *server, bool planned, void *user_data);
    /* Another instance owns the server. */
    void (*owner_changed)(const char *server, const char *instance,
                          uint64_t fence, void *user_data);
    /* Tells the new owner (instance) that this instance, the old owner, has
       nothing open on the server any more; fence is the old one. */
    void (*send_drained)(const char *server, const char *instance,
                         uint64_t fence, void *user_data);
    /* Checks whether a server of another zone is reachable from here. */
    void (*probe_server)(const char *server, void *user_data);
    /* Stops acknowledging heartbeats of this incarnation; must take effect
       before it returns. */
    void (*stop_acknowledging)(const char *instance, uint64_t incarnation,
                               void *user_data);
    /* Another instance has ended this incarnation, and all servers are lost.
       The argument is the next incarnation, to be used from now on. */
    void (*incarnation_ended)(uint64_t incarnation, void *user_data);
} on_callbacks;

typedef struct on_desc {
    tm_service *timers;
    tb_table *table;
    const char *instance;
    const char *zone;
    uint64_t incarnation;
    const on_callbacks *callbacks;
    void *user_data;
} on_desc;

on_task *on_create(const on_desc *desc);
void on_destroy(on_task *task);
/* Sets the servers to own from the backend engines of a configuration; those
   in the drain state count as leaving. */
void on_set_config(on_task *task, const dc_config *config);
/* Feeds an event, such as a message of a peer, to the state machine. */
void on_feed(on_task *task, const ow_event *event);
/* Reports that the scheduler has no stream left on a server that was lost as
   planned. Ignored for other servers. */
void on_handle_drained(on_task *task, const char *server);
/* Starts a planned stop: hands over all owned servers. */
void on_stop(on_task *task);

/* queries */
/* Whether the lease allows commands (loads and the like) to a server now;
   evict: evictions too. */
bool on_query_may_command(const on_task *task, const char *server, bool evict);
const ow_machine *on_query_machine(const on_task *task);

#endif
