/* Checks of owned servers: health, restarts, resident adapters and load. */
#include "scheduler_private.h"

#include "lacewing/log.h"

void
_sc_mark_server_down(_sc_server *server)
{
    if (server->down) {
        return;
    }
    server->down = true;
    lg_write(LG_SERVER_FAILED, "server", server->name, NULL);
    _sc_feed_state(server, LWD_SERVER_DOWN);
}

static void
_sc_feed_resident(_sc_server *server, const char *const *models)
{
    sc_scheduler *scheduler = server->scheduler;
    for (; models && *models; models++) {
        const _sc_model *model =
            g_hash_table_lookup(scheduler->models, *models);
        if (model) {
            lwd_feed(scheduler->policy, _sc_now_us(scheduler),
                     &(lwd_event){.type = LWD_EVENT_RESIDENT,
                                  .server = server->id,
                                  .adapter = model->id,
                                  .resident = true});
        }
    }
}

/* Handles the first list after sc_own(): tells the policy that this instance
   owns the server and which adapters are resident there. */
static void
_sc_start_ownership(_sc_server *server, const be_order_result *result)
{
    sc_scheduler *scheduler = server->scheduler;
    server->adapters_listed = true;
    g_free(server->incarnation);
    server->incarnation = g_strdup(result->incarnation);
    server->down = false;
    _sc_feed_own(server);
    lwd_feed(scheduler->policy, _sc_now_us(scheduler),
             &(lwd_event){.type = LWD_EVENT_SERVER_STATE,
                          .server = server->id,
                          .server_state = LWD_SERVER_RESTARTED});
    _sc_feed_resident(server, result->models);
    if (server->leaving) {
        _sc_feed_state(server, LWD_SERVER_LEAVING);
    }
    _sc_run_actions(scheduler);
}

/* Compares a later list with the state kept here: the engine may have
   restarted, or answer again after a failure. */
static void
_sc_check_restart(_sc_server *server, const be_order_result *result)
{
    bool restarted = g_strcmp0(server->incarnation, result->incarnation) != 0;
    if (restarted) {
        lg_write(LG_SERVER_RESTARTED, "server", server->name, NULL);
        g_free(server->incarnation);
        server->incarnation = g_strdup(result->incarnation);
    }
    if (!restarted && !server->down) {
        return;
    }
    server->down = false;
    _sc_feed_state(server,
                   restarted ? LWD_SERVER_RESTARTED : LWD_SERVER_READY);
    _sc_feed_resident(server, result->models);
    _sc_run_actions(server->scheduler);
}

static void
_sc_on_list(be_server *backend, const be_order_result *result, void *data)
{
    (void)backend;
    _sc_server *server = data;
    server->listing = false;
    if (!server->owned) {
        return;
    }
    if (result->code != ER_OK) {
        _sc_mark_server_down(server);
        return;
    }
    if (!server->adapters_listed) {
        _sc_start_ownership(server, result);
        return;
    }
    _sc_check_restart(server, result);
}

static void
_sc_on_health(be_server *backend, const be_order_result *result, void *data)
{
    (void)backend;
    _sc_server *server = data;
    sc_scheduler *scheduler = server->scheduler;
    if (server->owned && result->code == ER_OK && result->leaving &&
        !server->leaving) {
        scheduler->callbacks->server_leaving(server->name,
                                             scheduler->user_data);
    }
}

static void
_sc_on_probe(be_server *backend, const be_order_result *result, void *data)
{
    (void)backend;
    _sc_server *server = data;
    sc_scheduler *scheduler = server->scheduler;
    scheduler->callbacks->probe_done(server->name, result->code == ER_OK,
                                     scheduler->user_data);
}

void
sc_probe(sc_scheduler *scheduler, const char *name)
{
    _sc_server *server = g_hash_table_lookup(scheduler->servers, name);
    if (server) {
        be_check_health(server->backend, _sc_on_probe, server);
    }
}

/* Counts this instance's attempts that are certainly running on the server:
   those that have returned a token. */
static uint32_t
_sc_count_running(const _sc_server *server)
{
    uint32_t count = 0;
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, server->scheduler->attempts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const _sc_attempt *attempt = value;
        count += attempt->server == server && attempt->tokens > 0;
    }
    return count;
}

static void
_sc_on_report(be_server *backend, const be_order_result *result, void *data)
{
    (void)backend;
    _sc_server *server = data;
    sc_scheduler *scheduler = server->scheduler;
    if (!server->owned || result->code != ER_OK) {
        return;
    }
    uint64_t now_us = _sc_now_us(scheduler);
    uint64_t sampled_us = now_us - (uint64_t)result->lag_ms * 1000;
    _sc_feed(scheduler, &(lwd_event){.type = LWD_EVENT_LOAD_REPORT,
                                     .server = server->id,
                                     .running = result->running,
                                     .waiting = result->waiting,
                                     .sampled_us = sampled_us});
    /* While evictions are not allowed yet, the owner task must know whether
       requests of a former owner still run; only a report sampled after
       sc_own() can tell. */
    if (server->evict_after_us > now_us && sampled_us > server->acquired_us) {
        uint32_t ours = _sc_count_running(server);
        uint32_t foreign = result->running > ours ? result->running - ours : 0;
        scheduler->callbacks->foreign_requests(server->name, foreign,
                                               scheduler->user_data);
    }
}

void
_sc_check_server(_sc_server *server)
{
    if (server->listing) {
        return;
    }
    server->listing = true;
    be_list_adapters(server->backend, _sc_on_list, server);
    be_check_health(server->backend, _sc_on_health, server);
    be_fetch_report(server->backend, _sc_on_report, server);
}

void
_sc_check_servers(uint64_t now_us, void *data)
{
    (void)now_us;
    sc_scheduler *scheduler = data;
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, scheduler->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _sc_server *server = value;
        if (server->owned) {
            _sc_check_server(server);
        }
    }
    _sc_check_forwards(scheduler);
}
