/*
 * feasibility.h: feasibility checks of a configuration (part of prefix dc_).
 *
 * A valid configuration can still require more than its backend servers
 * provide. dc_check_feasibility() reports each such place as a typed finding.
 * An error means that the configuration cannot work as written; a warning
 * means that it can work but is probably a mistake.
 *
 *     g_autoptr(dc_findings) findings = dc_check_feasibility(config);
 *     for (uint32_t i = 0; i < dc_findings_query_count(findings); i++) {
 *         const dc_finding *finding = dc_findings_query_at(findings, i);
 *         puts(finding->message);
 *     }
 *
 * Limits: the check compares configured values only; it does not contact any
 * server.
 */
#ifndef LACEWING_FEASIBILITY_H
#define LACEWING_FEASIBILITY_H

#include "lacewing/config.h"

/* code, name, whether it is an error (true) or a warning (false) */
#define DC_FINDINGS(X)                                                        \
    X(DC_PINNED_OVER_SLOTS, "pinned_over_slots", true)                        \
    X(DC_PINNED_OVER_SERVERS, "pinned_over_servers", true)                    \
    X(DC_DEADLINE_BELOW_LOAD, "deadline_below_load", true)                    \
    X(DC_DEADLINE_BELOW_TOKENS, "deadline_below_tokens", false)               \
    X(DC_ZONE_WITHOUT_SERVER, "zone_without_server", true)                    \
    X(DC_ZONE_WITHOUT_ENGINE, "zone_without_engine", false)                   \
    X(DC_OPERATION_WITHOUT_SERVER, "operation_without_server", true)          \
    X(DC_OPERATION_ON_ONE_SERVER, "operation_on_one_server", false)           \
    X(DC_ENGINE_WITHOUT_SLOTS, "engine_without_slots", true)                  \
    X(DC_TRANSIT_BELOW_INSTANCES, "transit_below_instances", false)           \
    X(DC_LOADS_OVER_RATE, "loads_at_once_over_rate", false)                   \
    X(DC_STOP_BELOW_DEADLINE, "stop_below_deadline", true)                    \
    X(DC_TEAM_WITHOUT_KEY, "team_without_key", false)                         \
    X(DC_NO_OPERATOR, "no_operator", false)

typedef enum dc_finding_code {
#define DC_ENUM(code, name, error) code,
    DC_FINDINGS(DC_ENUM)
#undef DC_ENUM
        DC_FINDING_NUM
} dc_finding_code;

typedef struct dc_finding {
    dc_finding_code code;
    char *group; /* the group to change, such as "server a" */
    char *message;
} dc_finding;

typedef struct dc_findings dc_findings;

/* Runs all checks. Findings are sorted in the order of DC_FINDINGS, then by
   group; free with dc_findings_destroy(). */
dc_findings *dc_check_feasibility(const dc_config *config);
void dc_findings_destroy(dc_findings *findings);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(dc_findings, dc_findings_destroy)

/* queries */
uint32_t dc_findings_query_count(const dc_findings *findings);
/* Number of findings that are errors. */
uint32_t dc_findings_query_errors(const dc_findings *findings);
const dc_finding *dc_findings_query_at(const dc_findings *findings,
                                       uint32_t index);
const char *dc_query_finding_name(dc_finding_code code);
bool dc_query_finding_is_error(dc_finding_code code);

#endif
