/* Applies a new version of the configuration to the tasks. */
#include "daemon_private.h"

#include <string.h>

static char *
_dn_model_name(const dc_adapter *adapter, const char *version)
{
    return g_strdup_printf("%s@%s", adapter->name, version);
}

/* An adapter that is the same object in both versions has not changed. */
static void
_dn_remove_old_models(dn_daemon *daemon, const dc_config *config,
                      const dc_config *previous)
{
    for (uint32_t i = 0; i < dc_query_count(previous, DC_ADAPTER); i++) {
        const dc_adapter *old = dc_query_adapter_at(previous, i);
        const dc_adapter *adapter = dc_query_adapter(config, old->name);
        if (adapter == old) {
            continue;
        }
        for (char **version = old->versions; *version; version++) {
            if (!adapter || !dc_query_adapter_has_version(adapter, *version)) {
                g_autofree char *name = _dn_model_name(old, *version);
                sc_remove_model(daemon->scheduler, name);
            }
        }
    }
}

/* Adds the new and changed adapters. A version without a share of the requests
   needs no pinned copies. */
static void
_dn_set_models(dn_daemon *daemon, const dc_config *config,
               const dc_config *previous)
{
    for (uint32_t i = 0; i < dc_query_count(config, DC_ADAPTER); i++) {
        const dc_adapter *adapter = dc_query_adapter_at(config, i);
        if (previous && dc_query_adapter(previous, adapter->name) == adapter) {
            continue;
        }
        for (char **version = adapter->versions; *version; version++) {
            g_autofree char *name = _dn_model_name(adapter, *version);
            uint32_t share_pct =
                adapter->share_pct[version - adapter->versions];
            sc_set_model(daemon->scheduler, name,
                         share_pct ? adapter->pinned : 0);
        }
    }
}

static void
_dn_remove_old_servers(dn_daemon *daemon, const dc_config *config,
                       const dc_config *previous)
{
    for (uint32_t i = 0; i < dc_query_count(previous, DC_SERVER); i++) {
        const dc_server *old = dc_query_server_at(previous, i);
        const dc_server *server = dc_query_server(config, old->name);
        if (!server || server->kind != DC_SERVER_ENGINE) {
            sc_remove_server(daemon->scheduler, old->name);
        }
    }
}

static void
_dn_set_servers(dn_daemon *daemon, const dc_config *config)
{
    for (uint32_t i = 0; i < dc_query_count(config, DC_SERVER); i++) {
        const dc_server *server = dc_query_server_at(config, i);
        if (server->kind != DC_SERVER_ENGINE) {
            continue;
        }
        sc_set_server(daemon->scheduler,
                      &(sc_server_desc){
                          .name = server->name,
                          .zone = server->zone,
                          .address = server->address,
                          .slots = server->slots,
                          .adapter_slots = server->adapter_slots,
                          .tokens_per_s = server->tokens_per_s,
                          .prefill_per_s = server->prefill_per_s,
                          .pausable = server->pausable,
                          .leaving = server->state == DC_SERVER_DRAIN,
                      });
    }
}

static void
_dn_set_limits(dn_daemon *daemon, const dc_config *config)
{
    const dc_limits *limits = dc_query_limits(config);
    const dc_tolerances *tolerances = dc_query_tolerances(config);
    sc_set_limits(
        daemon->scheduler,
        &(lwd_desc){.load_ms = limits->load_ms,
                    .first_token_target_ms = tolerances->first_token_ms,
                    .token_interval_ms = tolerances->token_interval_ms,
                    .eject_share_pct = limits->eject_share_pct,
                    .hedge_budget_pct = limits->hedge_budget_pct,
                    .retry_budget_pct = limits->retry_budget_pct,
                    .poison_deaths = limits->convict_deaths});
}

void
_dn_set_ready_if_configured(dn_daemon *daemon)
{
    if (!daemon->ready && !daemon->stopping &&
        cf_query_ready(daemon->config)) {
        daemon->ready = true;
        ca_set_config(daemon->callers, cf_query_config(daemon->config));
        ca_set_ready(daemon->callers, true);
        mm_set_state(daemon->members, CO_PEER_READY);
    }
}

void
_dn_config_changed(const dc_config *config, const dc_config *previous,
                   uint64_t version, void *data)
{
    dn_daemon *daemon = data;
    if (previous) {
        _dn_remove_old_servers(daemon, config, previous);
        _dn_remove_old_models(daemon, config, previous);
    }
    _dn_set_servers(daemon, config);
    _dn_set_models(daemon, config, previous);
    wg_set_limits(daemon->weights, dc_query_limits(config));
    _dn_set_limits(daemon, config);
    cs_set_config(daemon->calls, config);
    on_set_config(daemon->owner, config);
    if (daemon->ready) {
        ca_set_config(daemon->callers, config);
    }
    mm_set_config_version(daemon->members, version);
}
