/* What in a configuration cannot work. */
#include "lacewing/plan.h"

#include <stdarg.h>
#include <string.h>

#define MS_PER_S 1000

struct dc_findings {
    GPtrArray *list; /* dc_finding */
    uint32_t errors;
};

static const struct {
    const char *name;
    bool error;
} codes[DC_FINDING_NUM] = {
#define DC_ROW(code, text, is_error)                                          \
    [code] = {.name = (text), .error = (is_error)},
    DC_FINDINGS(DC_ROW)
#undef DC_ROW
};

/* -- private: findings ---------------------------------------------------- */

static void
_dc_finding_free(void *data)
{
    dc_finding *finding = data;
    g_free(finding->group);
    g_free(finding->message);
    g_free(finding);
}

static void _dc_find(dc_findings *findings, dc_finding_code code,
                     const char *kind, const char *name, const char *format,
                     ...) __attribute__((format(printf, 5, 6)));

static void
_dc_find(dc_findings *findings, dc_finding_code code, const char *kind,
         const char *name, const char *format, ...)
{
    dc_finding *finding = g_new0(dc_finding, 1);
    finding->code = code;
    finding->group =
        name ? g_strdup_printf("%s %s", kind, name) : g_strdup(kind);
    va_list arguments;
    va_start(arguments, format);
    finding->message = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    g_ptr_array_add(findings->list, finding);
    findings->errors += codes[code].error ? 1 : 0;
}

/* -- private: servers ----------------------------------------------------- */

typedef struct dc_supply {
    uint32_t engines; /* ready */
    uint32_t services;
    uint64_t adapter_slots;
    uint32_t fastest_tokens_per_s; /* 0: not known */
} dc_supply;

/* What the ready servers of a zone give; zone NULL: of all zones. */
static dc_supply
_dc_supply_of(const dc_config *config, const char *zone)
{
    dc_supply supply = {0};
    for (uint32_t i = 0; i < dc_query_count(config, DC_SERVER); i++) {
        const dc_server *server = dc_query_server_at(config, i);
        if (server->state != DC_SERVER_READY ||
            (zone && strcmp(server->zone, zone) != 0)) {
            continue;
        }
        if (server->kind == DC_SERVER_SERVICE) {
            supply.services++;
            continue;
        }
        supply.engines++;
        supply.adapter_slots += server->adapter_slots;
        supply.fastest_tokens_per_s =
            MAX(supply.fastest_tokens_per_s, server->tokens_per_s);
    }
    return supply;
}

static void
_dc_check_zones(const dc_config *config, dc_findings *findings)
{
    for (uint32_t i = 0; i < dc_query_count(config, DC_ZONE); i++) {
        const char *zone = dc_query_zone_at(config, i)->name;
        dc_supply supply = _dc_supply_of(config, zone);
        if (supply.engines + supply.services == 0) {
            _dc_find(findings, DC_ZONE_WITHOUT_SERVER, "zone", zone,
                     "no backend server of the zone is ready; cut off, it "
                     "serves nothing");
        }
        else if (supply.engines == 0) {
            _dc_find(findings, DC_ZONE_WITHOUT_ENGINE, "zone", zone,
                     "no engine of the zone is ready; cut off, it makes no "
                     "drafts");
        }
    }
}

static void
_dc_check_engines(const dc_config *config, dc_findings *findings)
{
    for (uint32_t i = 0; i < dc_query_count(config, DC_SERVER); i++) {
        const dc_server *server = dc_query_server_at(config, i);
        if (server->kind == DC_SERVER_ENGINE && server->adapter_slots == 0) {
            _dc_find(findings, DC_ENGINE_WITHOUT_SLOTS, "server", server->name,
                     "an engine with adapter_slots = 0 can run no adapter");
        }
    }
}

/* -- private: adapters ---------------------------------------------------- */

/* Versions that have a share; only these are pinned. */
static uint32_t
_dc_shared_versions(const dc_adapter *adapter)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < adapter->version_count; i++) {
        count += adapter->share_pct[i] > 0;
    }
    return count;
}

static void
_dc_check_pinned(const dc_config *config, const dc_supply *supply,
                 dc_findings *findings)
{
    uint64_t pinned = 0;
    for (uint32_t i = 0; i < dc_query_count(config, DC_ADAPTER); i++) {
        const dc_adapter *adapter = dc_query_adapter_at(config, i);
        pinned += (uint64_t)adapter->pinned * _dc_shared_versions(adapter);
        if (adapter->pinned > supply->engines) {
            _dc_find(findings, DC_PINNED_OVER_SERVERS, "adapter",
                     adapter->name, "pinned = %u copies on %u ready engines",
                     adapter->pinned, supply->engines);
        }
    }
    if (pinned > supply->adapter_slots) {
        _dc_find(findings, DC_PINNED_OVER_SLOTS, "limits", NULL,
                 "%" G_GUINT64_FORMAT " pinned copies, %" G_GUINT64_FORMAT
                 " adapter slots on ready engines",
                 pinned, supply->adapter_slots);
    }
}

/* -- private: operations -------------------------------------------------- */

static void
_dc_check_draft(const dc_config *config, const dc_operation *operation,
                const dc_supply *supply, dc_findings *findings)
{
    const dc_limits *limits = dc_query_limits(config);
    if (supply->engines == 0) {
        _dc_find(findings, DC_OPERATION_WITHOUT_SERVER, "operation",
                 operation->name, "no engine is ready");
    }
    if (operation->deadline_ms <= limits->load_ms) {
        _dc_find(findings, DC_DEADLINE_BELOW_LOAD, "operation",
                 operation->name,
                 "deadline_ms = %u, but one adapter load takes %u ms",
                 operation->deadline_ms, limits->load_ms);
    }
    uint64_t fastest = supply->fastest_tokens_per_s;
    uint64_t longest_ms =
        fastest ? (uint64_t)operation->max_tokens * MS_PER_S / fastest : 0;
    if (longest_ms > operation->deadline_ms) {
        _dc_find(findings, DC_DEADLINE_BELOW_TOKENS, "operation",
                 operation->name,
                 "max_tokens = %u take %" G_GUINT64_FORMAT
                 " ms on the fastest engine, deadline_ms = %u",
                 operation->max_tokens, longest_ms, operation->deadline_ms);
    }
}

static uint32_t
_dc_ready_services(const dc_config *config, const dc_operation *operation,
                   const dc_supply *supply)
{
    if (!operation->servers[0]) {
        return supply->services;
    }
    uint32_t ready = 0;
    for (char **name = operation->servers; *name; name++) {
        const dc_server *server = dc_query_server(config, *name);
        ready += server->state == DC_SERVER_READY ? 1 : 0;
    }
    return ready;
}

static void
_dc_check_call(const dc_config *config, const dc_operation *operation,
               const dc_supply *supply, dc_findings *findings)
{
    uint32_t ready = _dc_ready_services(config, operation, supply);
    if (ready == 0) {
        _dc_find(findings, DC_OPERATION_WITHOUT_SERVER, "operation",
                 operation->name, "no service that takes it is ready");
    }
    if (ready == 1) {
        _dc_find(findings, DC_OPERATION_ON_ONE_SERVER, "operation",
                 operation->name,
                 "one service takes it; while that is out, it is refused");
    }
}

static void
_dc_check_operations(const dc_config *config, const dc_supply *supply,
                     dc_findings *findings)
{
    uint32_t stop_ms = dc_query_limits(config)->stop_ms;
    for (uint32_t i = 0; i < dc_query_count(config, DC_OPERATION); i++) {
        const dc_operation *operation = dc_query_operation_at(config, i);
        if (operation->kind == DC_OPERATION_DRAFT) {
            _dc_check_draft(config, operation, supply, findings);
        }
        else {
            _dc_check_call(config, operation, supply, findings);
        }
        if (operation->deadline_ms > stop_ms) {
            _dc_find(findings, DC_STOP_BELOW_DEADLINE, "operation",
                     operation->name,
                     "deadline_ms = %u, but a planned stop waits stop_ms = %u",
                     operation->deadline_ms, stop_ms);
        }
    }
}

/* -- private: limits and teams -------------------------------------------- */

static void
_dc_check_limits(const dc_config *config, dc_findings *findings)
{
    const dc_limits *limits = dc_query_limits(config);
    if (limits->loads_in_transit < limits->entry_instances) {
        _dc_find(findings, DC_TRANSIT_BELOW_INSTANCES, "limits", NULL,
                 "loads_in_transit = %u for entry_instances = %u: some "
                 "instances may load nothing at times",
                 limits->loads_in_transit, limits->entry_instances);
    }
    double at_once = limits->loads_per_s * limits->load_ms / MS_PER_S;
    if (at_once > limits->loads_at_once) {
        _dc_find(findings, DC_LOADS_OVER_RATE, "limits", NULL,
                 "loads_per_s = %g of %u ms each need %.3g at once, "
                 "loads_at_once = %u",
                 limits->loads_per_s, limits->load_ms, at_once,
                 limits->loads_at_once);
    }
}

static void
_dc_check_teams(const dc_config *config, dc_findings *findings)
{
    uint32_t operators = 0;
    for (uint32_t i = 0; i < dc_query_count(config, DC_TEAM); i++) {
        const dc_team *team = dc_query_team_at(config, i);
        if (team->key_count == 0) {
            _dc_find(findings, DC_TEAM_WITHOUT_KEY, "team", team->name,
                     "the team has no key and can send nothing");
        }
        for (uint32_t j = 0; j < team->key_count; j++) {
            operators += team->keys[j].role == DC_ROLE_OPERATOR ? 1 : 0;
        }
    }
    if (operators == 0) {
        _dc_find(findings, DC_NO_OPERATOR, "team", NULL,
                 "no team has an operator key; nobody can change it");
    }
}

static int
_dc_compare_findings(const void *a, const void *b)
{
    const dc_finding *left = *(dc_finding *const *)a;
    const dc_finding *right = *(dc_finding *const *)b;
    if (left->code != right->code) {
        return left->code < right->code ? -1 : 1;
    }
    return strcmp(left->group, right->group);
}

/* -- public --------------------------------------------------------------- */

dc_findings *
dc_check_feasibility(const dc_config *config)
{
    dc_findings *findings = g_new0(dc_findings, 1);
    findings->list = g_ptr_array_new_with_free_func(_dc_finding_free);
    dc_supply supply = _dc_supply_of(config, NULL);
    _dc_check_zones(config, findings);
    _dc_check_engines(config, findings);
    _dc_check_pinned(config, &supply, findings);
    _dc_check_operations(config, &supply, findings);
    _dc_check_limits(config, findings);
    _dc_check_teams(config, findings);
    g_ptr_array_sort(findings->list, _dc_compare_findings);
    return findings;
}

void
dc_findings_destroy(dc_findings *findings)
{
    if (findings) {
        g_ptr_array_unref(findings->list);
        g_free(findings);
    }
}

uint32_t
dc_findings_query_count(const dc_findings *findings)
{
    return findings->list->len;
}

uint32_t
dc_findings_query_errors(const dc_findings *findings)
{
    return findings->errors;
}

const dc_finding *
dc_findings_query_at(const dc_findings *findings, uint32_t at)
{
    return g_ptr_array_index(findings->list, at);
}

const char *
dc_query_finding_name(dc_finding_code code)
{
    return codes[code].name;
}

bool
dc_query_finding_is_error(dc_finding_code code)
{
    return codes[code].error;
}
