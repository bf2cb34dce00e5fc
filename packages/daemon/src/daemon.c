#include "daemon_private.h"

#include "lacewing/log.h"
#include <inttypes.h>

/* Period of the broadcast of the servers that this instance owns. */
#define _DN_OWNERSHIP_PERIOD_MS 1000
/* Period of the check whether a planned stop is complete. */
#define _DN_STOP_CHECK_MS 50
/* Longest planned stop while there is no configuration. */
#define _DN_DEFAULT_STOP_MS 120000
/* Longest wait for the ownership handover, which needs the table, once no
   other work is open. */
#define _DN_HANDOVER_TIMEOUT_US UINT64_C(3000000)

/* -- private: creating the tasks ------------------------------------------ */

static void
_dn_make_platform(dn_daemon *daemon, const ds_settings *settings)
{
    pf_http_desc desc = {.base_url = settings->platform,
                         .identity = settings->instance,
                         .timeout_ms = settings->platform_timeout_ms};
    daemon->pf_table = pf_http_table_create(&desc);
    daemon->objects = pf_http_objects_create(&desc);
    daemon->instances = pf_http_instances_create(&desc);
    daemon->table = tb_create(daemon->pf_table);
}

static const char *
_dn_null_if_empty(const char *text)
{
    return text && *text ? text : NULL;
}

static bool
_dn_make_tls(dn_daemon *daemon, const ds_settings *settings, er_status *status)
{
    if (*settings->certificate) {
        daemon->tls = tl_create(
            &(tl_desc){.certificate_file = settings->certificate,
                       .key_file = settings->key,
                       .ca_file = _dn_null_if_empty(settings->client_ca)},
            status);
        if (!daemon->tls) {
            return false;
        }
    }
    if (*settings->link_certificate) {
        daemon->link_tls = tl_create(
            &(tl_desc){.certificate_file = settings->link_certificate,
                       .key_file = settings->link_key,
                       .ca_file = _dn_null_if_empty(settings->link_ca)},
            status);
        return daemon->link_tls != NULL;
    }
    return true;
}

static void
_dn_make_tasks(dn_daemon *daemon)
{
    daemon->explain = ex_create();
    daemon->scheduler =
        sc_create(&(sc_desc){.timers = daemon->timers,
                             .callbacks = &_dn_scheduler_callbacks,
                             .user_data = daemon,
                             .instance = daemon->instance,
                             .zone = daemon->zone});
    daemon->calls = cs_create(&(cs_desc){.timers = daemon->timers,
                                         .table = daemon->table,
                                         .instance = daemon->instance,
                                         .zone = daemon->zone,
                                         .incarnation = daemon->incarnation});
    daemon->owner = on_create(&(on_desc){.timers = daemon->timers,
                                         .table = daemon->table,
                                         .instance = daemon->instance,
                                         .zone = daemon->zone,
                                         .incarnation = daemon->incarnation,
                                         .callbacks = &_dn_owner_callbacks,
                                         .user_data = daemon});
    daemon->weights = wg_create(&(wg_desc){.timers = daemon->timers,
                                           .instance = daemon->instance,
                                           .seed = daemon->incarnation,
                                           .callbacks = &_dn_weights_callbacks,
                                           .user_data = daemon});
    daemon->config = cf_create(&(cf_desc){.timers = daemon->timers,
                                          .table = daemon->table,
                                          .objects = daemon->objects,
                                          .instance = daemon->instance,
                                          .callbacks = &_dn_config_callbacks,
                                          .user_data = daemon});
}

static bool
_dn_make_endpoints(dn_daemon *daemon, const ds_settings *settings,
                   er_status *status)
{
    daemon->callers = ca_create(&(ca_desc){.timers = daemon->timers,
                                           .scheduler = daemon->scheduler,
                                           .calls = daemon->calls,
                                           .explain = daemon->explain,
                                           .tls = daemon->tls,
                                           .address = settings->listen,
                                           .instance = daemon->instance,
                                           .incarnation = daemon->incarnation},
                                status);
    if (!daemon->callers) {
        return false;
    }
    daemon->members =
        mm_create(&(mm_desc){.timers = daemon->timers,
                             .instances = daemon->instances,
                             .instance = daemon->instance,
                             .zone = daemon->zone,
                             .address = settings->link,
                             .secret = settings->link_secret,
                             .incarnation = daemon->incarnation,
                             .seeds = (const char *const *)settings->seeds,
                             .tls = daemon->link_tls,
                             .callbacks = &_dn_members_callbacks,
                             .user_data = daemon},
                  status);
    return daemon->members != NULL;
}

/* -- public: creation and destruction ------------------------------------- */

dn_daemon *
dn_create(const ds_settings *settings, er_status *status)
{
    dn_daemon *daemon = g_new0(dn_daemon, 1);
    daemon->timers = tm_create(&(tm_desc){0});
    daemon->instance = g_strdup(settings->instance);
    daemon->zone = g_strdup(settings->zone);
    daemon->notice_ms = settings->notice_ms;
    daemon->incarnation = (uint64_t)g_get_real_time();
    _dn_make_platform(daemon, settings);
    _dn_make_tasks(daemon);
    if (!_dn_make_tls(daemon, settings, status) ||
        !_dn_make_endpoints(daemon, settings, status) ||
        !_dn_admin_setup(daemon, settings, status)) {
        g_clear_pointer(&daemon, dn_destroy);
        return NULL;
    }
    daemon->forwards = fw_create(daemon->scheduler, daemon->members);
    daemon->ownership_timer = tm_make_timer(
        daemon->timers, &(tm_timer_desc){.period_ms = _DN_OWNERSHIP_PERIOD_MS,
                                         .call = _dn_broadcast_owned_servers,
                                         .user_data = daemon});
    on_feed(daemon->owner, &(ow_event){.type = OW_EVENT_TICK});
    return daemon;
}

void
dn_destroy(dn_daemon *daemon)
{
    if (!daemon) {
        return;
    }
    if (daemon->incarnation_source) {
        g_source_remove(daemon->incarnation_source);
    }
    tm_destroy_timer(daemon->timers, daemon->ownership_timer);
    tm_destroy_timer(daemon->timers, daemon->stop_timer);
    _dn_admin_shutdown(daemon);
    ca_destroy(daemon->callers);
    mm_destroy(daemon->members);
    cf_destroy(daemon->config);
    on_destroy(daemon->owner);
    wg_destroy(daemon->weights);
    cs_destroy(daemon->calls);
    sc_destroy(daemon->scheduler);
    fw_destroy(daemon->forwards);
    ex_destroy(daemon->explain);
    tb_destroy(daemon->table);
    pf_table_destroy(daemon->pf_table);
    pf_objects_destroy(daemon->objects);
    pf_instances_destroy(daemon->instances);
    tl_destroy(daemon->tls);
    tl_destroy(daemon->link_tls);
    tm_destroy(daemon->timers);
    g_free(daemon->instance);
    g_free(daemon->zone);
    g_free(daemon);
}

void
dn_reload(dn_daemon *daemon)
{
    er_status status = {0};
    bool refused =
        (daemon->tls && tl_reload(daemon->tls, &status) != ER_OK) ||
        (daemon->link_tls && tl_reload(daemon->link_tls, &status) != ER_OK);
    if (refused) {
        lg_write(LG_TLS_REFUSED, "why", status.message, NULL);
    }
    else {
        _dn_admin_reload(daemon);
        lg_write(LG_TLS_RELOADED, NULL);
    }
}

/* -- public: planned stop ------------------------------------------------- */

static uint32_t
_dn_count_open_work(const dn_daemon *daemon)
{
    return ca_query_open_requests(daemon->callers) +
           fw_query_open_drafts(daemon->forwards) +
           cs_query_open_calls(daemon->calls) +
           cs_query_unwritten_outcomes(daemon->calls);
}

static void
_dn_finish_stop(dn_daemon *daemon)
{
    tm_destroy_timer(daemon->timers, daemon->stop_timer);
    lg_write(LG_STOPPED, NULL);
    daemon->on_stopped(daemon->stopped_data);
}

static void
_dn_check_stop(uint64_t now_us, void *data)
{
    dn_daemon *daemon = data;
    if (_dn_count_open_work(daemon) > 0) {
        daemon->idle_since_us = 0;
    }
    else if (!daemon->idle_since_us) {
        daemon->idle_since_us = now_us;
    }
    /* If the table cannot be reached, the leases expire by themselves. */
    bool handed_over = ow_query_stopped(on_query_machine(daemon->owner));
    bool handover_timed_out =
        daemon->idle_since_us &&
        now_us >= daemon->idle_since_us + _DN_HANDOVER_TIMEOUT_US;
    bool done = daemon->idle_since_us && (handed_over || handover_timed_out);
    if (now_us >= daemon->stop_deadline_us || done) {
        _dn_finish_stop(daemon);
    }
}

static void
_dn_on_notice_elapsed(uint64_t now_us, void *data)
{
    dn_daemon *daemon = data;
    const dc_config *config = cf_query_config(daemon->config);
    uint32_t stop_ms =
        config ? dc_query_limits(config)->stop_ms : _DN_DEFAULT_STOP_MS;
    daemon->stop_deadline_us = now_us + (uint64_t)stop_ms * 1000;
    ca_stop(daemon->callers);
    on_stop(daemon->owner);
    g_autofree char *open = g_strdup_printf("%u", _dn_count_open_work(daemon));
    lg_write(LG_STOP_WAITS, "open", open, NULL);
    daemon->stop_timer = tm_make_timer(
        daemon->timers, &(tm_timer_desc){.period_ms = _DN_STOP_CHECK_MS,
                                         .call = _dn_check_stop,
                                         .user_data = daemon});
}

void
dn_stop(dn_daemon *daemon, dn_stopped_call call, void *user_data)
{
    if (daemon->stopping) {
        return;
    }
    daemon->stopping = true;
    daemon->on_stopped = call;
    daemon->stopped_data = user_data;
    lg_write(LG_STOPPING, NULL);
    ca_set_ready(daemon->callers, false);
    mm_set_state(daemon->members, CO_PEER_LEAVING);
    daemon->stop_timer = tm_make_timer(
        daemon->timers, &(tm_timer_desc){.period_ms = daemon->notice_ms,
                                         .once = true,
                                         .call = _dn_on_notice_elapsed,
                                         .user_data = daemon});
}
