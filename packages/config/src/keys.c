/* keys.c: the table of keys for each kind of group, and their reference. */
#include "entry.h"

static const char *const server_kinds[] = {"engine", "service", NULL};
static const char *const fences[] = {"ignore", "check", NULL};
static const char *const server_states[] = {"ready", "drain", NULL};
static const char *const operation_kinds[] = {"draft", "call", NULL};

static const st_key deployment_keys[] = {
    {.group = "deployment",
     .name = "name",
     .offset = offsetof(dc_deployment, name),
     .help = "Name of the deployment."},
    {.group = "deployment",
     .name = "region",
     .offset = offsetof(dc_deployment, region),
     .fallback = "",
     .help = "Region of the deployment."},
};

static const st_key limits_keys[] = {
    {"limits", "loads_per_s", ST_DOUBLE, offsetof(dc_limits, loads_per_s),
     "loads/s", 0.001, 100000, NULL, "4",
     "Load rate of the weight store for the whole deployment."},
    {"limits", "loads_at_once", ST_U32, offsetof(dc_limits, loads_at_once),
     "loads", 1, 10000, NULL, "2",
     "Concurrent loads that the weight store serves at full speed."},
    {"limits", "loads_in_transit", ST_U32,
     offsetof(dc_limits, loads_in_transit), "loads", 1, 100000, NULL, "16",
     "Adapters in transit at once at full speed; above this number each load "
     "takes longer."},
    {"limits", "load_ms", ST_U32, offsetof(dc_limits, load_ms), "ms", 1,
     600000, NULL, "250", "Duration of one adapter load at full speed."},
    {"limits", "entry_instances", ST_U32, offsetof(dc_limits, entry_instances),
     "instances", 1, 10000, NULL, "6",
     "Daemons that may run at once; loads_per_s is divided by this number."},
    {"limits", "body_bytes_max", ST_U32, offsetof(dc_limits, body_bytes_max),
     "bytes", 1024, 67108864, NULL, "1048576",
     "Maximum size of a request body."},
    {"limits", "requests_open_max", ST_U32,
     offsetof(dc_limits, requests_open_max), "requests", 1, 65536, NULL,
     "16384", "Maximum number of requests in flight per instance."},
    {"limits", "eject_share_pct", ST_U32, offsetof(dc_limits, eject_share_pct),
     "%", 1, 90, NULL, "34",
     "Maximum share of a zone's backend servers that are ejected as "
     "stragglers at once."},
    {"limits", "hedge_budget_pct", ST_U32,
     offsetof(dc_limits, hedge_budget_pct), "%", 1, 100, NULL, "3",
     "Maximum of parallel second attempts, as a share of all requests."},
    {"limits", "retry_budget_pct", ST_U32,
     offsetof(dc_limits, retry_budget_pct), "%", 1, 100, NULL, "10",
     "Maximum of retries, as a share of the requests that succeeded."},
    {"limits", "convict_deaths", ST_U32, offsetof(dc_limits, convict_deaths),
     "deaths", 1, 10, NULL, "2",
     "Deaths of backend servers after which a request is rejected for good."},
    {"limits", "stop_ms", ST_U32, offsetof(dc_limits, stop_ms), "ms", 1000,
     86400000, NULL, "600000", "Longest time that a planned stop waits."},
};

static const st_key tolerances_keys[] = {
    {"tolerances", "first_token_ms", ST_U32,
     offsetof(dc_tolerances, first_token_ms), "ms", 10, 600000, NULL, "700",
     "Target time to the first token."},
    {"tolerances", "token_interval_ms", ST_U32,
     offsetof(dc_tolerances, token_interval_ms), "ms", 1, 10000, NULL, "55",
     "Target time between tokens."},
};

static const st_key zone_keys[] = {
    {"zone *", "latency_ms", ST_DOUBLE, offsetof(dc_zone, latency_ms), "ms",
     0.01, 1000, NULL, "1",
     "One-way network latency to the other availability zones."},
};

static const st_key server_keys[] = {
    {.group = "server *",
     .name = "zone",
     .offset = offsetof(dc_server, zone),
     .help = "Availability zone of the server."},
    {.group = "server *",
     .name = "address",
     .offset = offsetof(dc_server, address),
     .help = "IP:port."},
    {"server *", "kind", ST_ENUM, offsetof(dc_server, kind), NULL, 0, 0,
     server_kinds, "engine", "A model engine or a plain service."},
    {"server *", "slots", ST_U32, offsetof(dc_server, slots), "requests", 1,
     4096, NULL, "16", "Maximum number of concurrent requests."},
    {"server *", "adapter_slots", ST_U32, offsetof(dc_server, adapter_slots),
     "adapters", 0, 4096, NULL, "16",
     "Maximum number of resident adapters (engines)."},
    {"server *", "tokens_per_s", ST_U32, offsetof(dc_server, tokens_per_s),
     "tokens/s", 0, 100000, NULL, "0",
     "Tokens per second of a request that runs alone; 0: unknown, learned at "
     "run time."},
    {"server *", "prefill_per_s", ST_U32, offsetof(dc_server, prefill_per_s),
     "tokens/s", 0, 1000000, NULL, "0",
     "Prompt tokens processed per second; 0: unknown."},
    {"server *", "fence", ST_ENUM, offsetof(dc_server, fence), NULL, 0, 0,
     fences, "ignore",
     "Whether the server rejects an order with an old fencing number (check) "
     "or executes it (ignore)."},
    {"server *", "pausable", ST_BOOL, offsetof(dc_server, pausable), NULL, 0,
     0, NULL, "false", "Whether the engine can pause and resume streams."},
    {"server *", "state", ST_ENUM, offsetof(dc_server, state), NULL, 0, 0,
     server_states, "ready",
     "drain: the server finishes its requests and is sent no new ones."},
};

static const st_key team_keys[] = {
    {"team *", "weight", ST_U32, offsetof(dc_team, weight), "shares", 1, 1000,
     NULL, "1", "Share of the team relative to other teams under load."},
    {"team *", "keys", ST_LIST, offsetof(dc_team, key_list), NULL, 0, 0, NULL,
     "",
     "API keys as role:sha256hex, separated by ';'; roles are caller, editor "
     "and operator."},
    {"team *", "requests_per_s", ST_U32, offsetof(dc_team, requests_per_s),
     "requests/s", 0, 1000000, NULL, "0",
     "Maximum requests per second of the whole team; 0: no limit."},
};

static const st_key adapter_keys[] = {
    {.group = "adapter *",
     .name = "model",
     .offset = offsetof(dc_adapter, model),
     .help = "Base model of the adapter."},
    {.group = "adapter *",
     .name = "team",
     .offset = offsetof(dc_adapter, team),
     .help = "Team that owns the adapter."},
    {"adapter *", "versions", ST_LIST, offsetof(dc_adapter, versions), NULL, 0,
     0, NULL, NULL, "Versions that may be requested, separated by ';'."},
    {"adapter *", "shares", ST_LIST, offsetof(dc_adapter, share_list), NULL, 0,
     0, NULL, "",
     "Percentage of the requests without a version that each version gets; "
     "the sum is 100. Empty: the last version gets all."},
    {"adapter *", "pinned", ST_U32, offsetof(dc_adapter, pinned), "copies", 0,
     1000, NULL, "0", "Copies that stay resident on engines at all times."},
};

static const st_key operation_keys[] = {
    {"operation *", "kind", ST_ENUM, offsetof(dc_operation, kind), NULL, 0, 0,
     operation_kinds, "draft", "A draft by an engine or a call to a service."},
    {"operation *", "idempotent", ST_BOOL, offsetof(dc_operation, idempotent),
     NULL, 0, 0, NULL, "false",
     "Whether a call may run more than once; a draft always may."},
    {"operation *", "deadline_ms", ST_U32, offsetof(dc_operation, deadline_ms),
     "ms", 1, 86400000, NULL, "30000", "Time for the whole response."},
    {"operation *", "max_tokens", ST_U32, offsetof(dc_operation, max_tokens),
     "tokens", 1, 1000000, NULL, "256", "Maximum length of a draft."},
    {"operation *", "servers", ST_LIST, offsetof(dc_operation, servers), NULL,
     0, 0, NULL, "", "Services that accept the call; empty: all services."},
};

#define DC_TABLE(table)                                                       \
    {                                                                         \
        table, G_N_ELEMENTS(table)                                            \
    }

const dc_key_table dc_key_tables[DC_KIND_NUM] = {
    [DC_DEPLOYMENT] = DC_TABLE(deployment_keys),
    [DC_LIMITS] = DC_TABLE(limits_keys),
    [DC_TOLERANCES] = DC_TABLE(tolerances_keys),
    [DC_ZONE] = DC_TABLE(zone_keys),
    [DC_SERVER] = DC_TABLE(server_keys),
    [DC_MODEL] = {NULL, 0},
    [DC_TEAM] = DC_TABLE(team_keys),
    [DC_ADAPTER] = DC_TABLE(adapter_keys),
    [DC_OPERATION] = DC_TABLE(operation_keys),
};

bool
dc_query_kind_key(dc_kind kind, uint32_t index, const char **key,
                  const char **fallback)
{
    const dc_key_table *table = &dc_key_tables[kind];
    if (index >= table->count) {
        return false;
    }
    *key = table->keys[index].name;
    *fallback = table->keys[index].fallback;
    return true;
}

char *
dc_query_reference(void)
{
    GString *reference = g_string_new(NULL);
    for (uint32_t kind = 0; kind < DC_KIND_NUM; kind++) {
        const dc_key_table *table = &dc_key_tables[kind];
        if (!table->count) {
            g_string_append_printf(reference, "## %s\n\nNo keys.\n\n",
                                   dc_query_kind_name((dc_kind)kind));
            continue;
        }
        g_autofree char *section = st_query_reference(
            dc_query_kind_name((dc_kind)kind), table->keys, table->count);
        g_string_append_printf(reference, "%s\n", section);
    }
    return g_string_free(reference, FALSE);
}
