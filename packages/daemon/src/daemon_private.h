/* daemon_private.h: the daemon's state and the functions that its files
   (daemon.c, daemon_*.c) share. */
#ifndef LACEWING_DAEMON_PRIVATE_H
#define LACEWING_DAEMON_PRIVATE_H

#include "caller.h"
#include "config_task.h"
#include "daemon.h"
#include "forwards.h"
#include "lacewing/admin.h"
#include "owner_task.h"
#include "weight_task.h"
#include <libsoup/soup.h>

struct dn_daemon {
    tm_service *timers;
    pf_table *pf_table;
    pf_objects *objects;
    pf_instances *instances;
    tb_table *table;
    tl_context *tls;
    tl_context *link_tls;
    sc_scheduler *scheduler;
    cs_calls *calls;
    cf_task *config;
    on_task *owner;
    wg_task *weights;
    mm_members *members;
    fw_forwards *forwards;
    ex_ring *explain;
    ca_server *callers;
    SoupServer *admin;
    ad_admin *admin_api;
    ad_host *admin_host;
    char *instance;
    char *zone;
    uint64_t incarnation;
    uint64_t next_incarnation; /* to use once another instance has
                                  ended the current one */
    uint32_t notice_ms;        /* see ds_settings */
    guint incarnation_source;  /* switches to next_incarnation; 0: none */
    bool ready;                /* callers are accepted; set once */
    bool stopping;
    uint64_t stop_deadline_us; /* end of a planned stop at the latest */
    uint64_t idle_since_us; /* while stopping: when the last open work ended;
                               0: some is open */
    tm_timer ownership_timer;
    tm_timer stop_timer; /* ends the notice, then checks for open work */
    dn_stopped_call on_stopped;
    void *stopped_data;
};

/* daemon_callbacks.c: callbacks of the tasks */
extern const sc_callbacks _dn_scheduler_callbacks;
extern const cf_callbacks _dn_config_callbacks;
extern const on_callbacks _dn_owner_callbacks;
extern const mm_callbacks _dn_members_callbacks;
extern const wg_callbacks _dn_weights_callbacks;

/* daemon_config.c */
/* Applies a new configuration version to all tasks. */
void _dn_config_changed(const dc_config *config, const dc_config *previous,
                        uint64_t version, void *daemon);
/* Starts to accept callers and announces the ready state, once, as soon as the
   configuration is ready; not while stopping. */
void _dn_set_ready_if_configured(dn_daemon *daemon);

/* Broadcasts which backend servers this instance owns. Timer callback; in
   daemon_callbacks.c. */
void _dn_broadcast_owned_servers(uint64_t now_us, void *daemon);

/* daemon_admin.c: the operators' port */
bool _dn_admin_setup(dn_daemon *daemon, const ds_settings *settings,
                     er_status *status);
void _dn_admin_shutdown(dn_daemon *daemon);
void _dn_admin_reload(dn_daemon *daemon);

#endif
