/* feasibility.c: feasibility checks of a configuration. */
#include "lacewing/feasibility.h"

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
} finding_codes[DC_FINDING_NUM] = {
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

static void _dc_add_finding(dc_findings *findings, dc_finding_code code,
                            const char *kind, const char *name,
                            const char *format, ...)
    __attribute__((format(printf, 5, 6)));

static void
_dc_add_finding(dc_findings *findings, dc_finding_code code, const char *kind,
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
    findings->errors += finding_codes[code].error ? 1 : 0;
}

/* -- private: servers ----------------------------------------------------- */

/* Capacity of ready servers; draining servers do not count. */
typedef struct dc_capacity {
    uint32_t engines;
    uint32_t services;
    uint64_t adapter_slots;
    uint32_t fastest_tokens_per_s; /* 0: unknown */
} dc_capacity;

/* Sums up the ready servers of a zone; zone NULL: of all zones. */
static dc_capacity
_dc_ready_capacity(const dc_config *config, const char *zone)
{
    dc_capacity capacity = {0};
    for (uint32_t i = 0; i < dc_query_count(config, DC_SERVER); i++) {
        const dc_server *server = dc_query_server_at(config, i);
        if (server->state != DC_SERVER_READY ||
            (zone && strcmp(server->zone, zone) != 0)) {
            continue;
        }
        if (server->kind == DC_SERVER_SERVICE) {
            capacity.services++;
            continue;
        }
        capacity.engines++;
        capacity.adapter_slots += server->adapter_slots;
        capacity.fastest_tokens_per_s =
            MAX(capacity.fastest_tokens_per_s, server->tokens_per_s);
    }
    return capacity;
}

static void
_dc_check_zones(const dc_config *config, dc_findings *findings)
{
    for (uint32_t i = 0; i < dc_query_count(config, DC_ZONE); i++) {
        const char *zone = dc_query_zone_at(config, i)->name;
        dc_capacity capacity = _dc_ready_capacity(config, zone);
        if (capacity.engines + capacity.services == 0) {
            _dc_add_finding(
                findings, DC_ZONE_WITHOUT_SERVER, "zone", zone,
                "no backend server in the zone is ready; if the zone is "
                "partitioned from the others, it cannot serve requests");
        }
        else if (capacity.engines == 0) {
            _dc_add_finding(
                findings, DC_ZONE_WITHOUT_ENGINE, "zone", zone,
                "no engine in the zone is ready; if the zone is "
                "partitioned from the others, it cannot serve drafts");
        }
    }
}

static void
_dc_check_engines(const dc_config *config, dc_findings *findings)
{
    for (uint32_t i = 0; i < dc_query_count(config, DC_SERVER); i++) {
        const dc_server *server = dc_query_server_at(config, i);
        if (server->kind == DC_SERVER_ENGINE && server->adapter_slots == 0) {
            _dc_add_finding(
                findings, DC_ENGINE_WITHOUT_SLOTS, "server", server->name,
                "an engine with adapter_slots = 0 cannot run any adapter");
        }
    }
}

/* -- private: adapters ---------------------------------------------------- */

/* Number of versions with a share above 0; only these are pinned. */
static uint32_t
_dc_count_versions_with_share(const dc_adapter *adapter)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < adapter->version_count; i++) {
        count += adapter->share_pct[i] > 0;
    }
    return count;
}

static void
_dc_check_pinned(const dc_config *config, const dc_capacity *capacity,
                 dc_findings *findings)
{
    uint64_t pinned = 0;
    for (uint32_t i = 0; i < dc_query_count(config, DC_ADAPTER); i++) {
        const dc_adapter *adapter = dc_query_adapter_at(config, i);
        pinned +=
            (uint64_t)adapter->pinned * _dc_count_versions_with_share(adapter);
        if (adapter->pinned > capacity->engines) {
            _dc_add_finding(
                findings, DC_PINNED_OVER_SERVERS, "adapter", adapter->name,
                "pinned = %u copies, but only %u engines are ready",
                adapter->pinned, capacity->engines);
        }
    }
    if (pinned > capacity->adapter_slots) {
        _dc_add_finding(findings, DC_PINNED_OVER_SLOTS, "limits", NULL,
                        "%" G_GUINT64_FORMAT
                        " pinned copies, but the ready engines have only "
                        "%" G_GUINT64_FORMAT " adapter slots",
                        pinned, capacity->adapter_slots);
    }
}

/* -- private: operations -------------------------------------------------- */

static void
_dc_check_draft(const dc_config *config, const dc_operation *operation,
                const dc_capacity *capacity, dc_findings *findings)
{
    const dc_limits *limits = dc_query_limits(config);
    if (capacity->engines == 0) {
        _dc_add_finding(findings, DC_OPERATION_WITHOUT_SERVER, "operation",
                        operation->name, "no engine is ready");
    }
    if (operation->deadline_ms <= limits->load_ms) {
        _dc_add_finding(
            findings, DC_DEADLINE_BELOW_LOAD, "operation", operation->name,
            "deadline_ms = %u, but one adapter load takes load_ms = %u",
            operation->deadline_ms, limits->load_ms);
    }
    uint64_t fastest = capacity->fastest_tokens_per_s;
    uint64_t longest_ms =
        fastest ? (uint64_t)operation->max_tokens * MS_PER_S / fastest : 0;
    if (longest_ms > operation->deadline_ms) {
        _dc_add_finding(
            findings, DC_DEADLINE_BELOW_TOKENS, "operation", operation->name,
            "max_tokens = %u takes %" G_GUINT64_FORMAT
            " ms on the fastest engine, but deadline_ms = %u",
            operation->max_tokens, longest_ms, operation->deadline_ms);
    }
}

/* Number of ready services that accept a call. */
static uint32_t
_dc_count_ready_services(const dc_config *config,
                         const dc_operation *operation,
                         const dc_capacity *capacity)
{
    if (!operation->servers[0]) {
        return capacity->services;
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
               const dc_capacity *capacity, dc_findings *findings)
{
    uint32_t ready = _dc_count_ready_services(config, operation, capacity);
    if (ready == 0) {
        _dc_add_finding(findings, DC_OPERATION_WITHOUT_SERVER, "operation",
                        operation->name,
                        "no service that accepts the operation is ready");
    }
    if (ready == 1) {
        _dc_add_finding(
            findings, DC_OPERATION_ON_ONE_SERVER, "operation", operation->name,
            "only one ready service accepts the operation; calls are "
            "rejected while that service is unavailable");
    }
}

static void
_dc_check_operations(const dc_config *config, const dc_capacity *capacity,
                     dc_findings *findings)
{
    uint32_t stop_ms = dc_query_limits(config)->stop_ms;
    for (uint32_t i = 0; i < dc_query_count(config, DC_OPERATION); i++) {
        const dc_operation *operation = dc_query_operation_at(config, i);
        if (operation->kind == DC_OPERATION_DRAFT) {
            _dc_check_draft(config, operation, capacity, findings);
        }
        else {
            _dc_check_call(config, operation, capacity, findings);
        }
        if (operation->deadline_ms > stop_ms) {
            _dc_add_finding(findings, DC_STOP_BELOW_DEADLINE, "operation",
                            operation->name,
                            "deadline_ms = %u, but a planned stop waits only "
                            "stop_ms = %u",
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
        _dc_add_finding(
            findings, DC_TRANSIT_BELOW_INSTANCES, "limits", NULL,
            "loads_in_transit = %u is below entry_instances = %u: at "
            "times some instances cannot load any adapter",
            limits->loads_in_transit, limits->entry_instances);
    }
    double concurrent_loads = limits->loads_per_s * limits->load_ms / MS_PER_S;
    if (concurrent_loads > limits->loads_at_once) {
        _dc_add_finding(
            findings, DC_LOADS_OVER_RATE, "limits", NULL,
            "loads_per_s = %g with load_ms = %u needs %.3g concurrent "
            "loads, but loads_at_once = %u",
            limits->loads_per_s, limits->load_ms, concurrent_loads,
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
            _dc_add_finding(findings, DC_TEAM_WITHOUT_KEY, "team", team->name,
                            "the team has no key and cannot send requests");
        }
        for (uint32_t j = 0; j < team->key_count; j++) {
            operators += team->keys[j].role == DC_ROLE_OPERATOR ? 1 : 0;
        }
    }
    if (operators == 0) {
        _dc_add_finding(findings, DC_NO_OPERATOR, "team", NULL,
                        "no team has an operator key; nobody can change the "
                        "configuration");
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
    dc_capacity capacity = _dc_ready_capacity(config, NULL);
    _dc_check_zones(config, findings);
    _dc_check_engines(config, findings);
    _dc_check_pinned(config, &capacity, findings);
    _dc_check_operations(config, &capacity, findings);
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
dc_findings_query_at(const dc_findings *findings, uint32_t index)
{
    return g_ptr_array_index(findings->list, index);
}

const char *
dc_query_finding_name(dc_finding_code code)
{
    return finding_codes[code].name;
}

bool
dc_query_finding_is_error(dc_finding_code code)
{
    return finding_codes[code].error;
}
