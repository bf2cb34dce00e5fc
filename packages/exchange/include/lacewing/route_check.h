/*
 * route_check.h: checks a configuration of routes before it is sent, and
 * compares it with the one in force (prefix rk_).
 *
 *     rk_check(table, print_finding, NULL);
 *     rk_compare(in_force, table, print_finding, NULL);
 *
 * Decides nothing and stores nothing. A key is never part of a finding.
 */
#ifndef LACEWING_ROUTE_CHECK_H
#define LACEWING_ROUTE_CHECK_H

#include "lacewing/routes.h"

/* Kinds of findings: constant, name, error or not. */
#define RK_KINDS(X)                                                           \
    X(RK_UNKNOWN_SERVICE, "unknown-service", true)                            \
    X(RK_NO_TARGET, "no-target", true)                                        \
    X(RK_NEVER_MATCHES, "never-matches", true)                                \
    X(RK_SHARED_KEY, "shared-key", true)                                      \
    X(RK_NO_WAY_IN, "no-way-in", true)                                        \
    X(RK_TOO_LITTLE_MEMORY, "too-little-memory", true)                        \
    X(RK_CONTRADICTION, "contradiction", false)                               \
    X(RK_ADDED, "added", false)                                               \
    X(RK_REMOVED, "removed", false)                                           \
    X(RK_CHANGED, "changed", false)

typedef enum rk_kind {
#define RK_ENUM(code, name, is_error) code,
    RK_KINDS(RK_ENUM)
#undef RK_ENUM
        RK_KIND_NUM
} rk_kind;

typedef struct rk_finding {
    rk_kind kind;
    const char *subject; /* "route NAME", "service NAME", ... */
    const char *why;
} rk_finding;

typedef void (*rk_callback)(const rk_finding *finding, void *user_data);

/* Calls back for entries that cannot work, can never match, or contradict each
   other. Returns the number of errors. */
uint32_t rk_check(const rc_table *table, rk_callback call, void *user_data);
/* Calls back for each entry that was added, removed or changed. Returns their
   number. */
uint32_t rk_compare(const rc_table *before, const rc_table *after,
                    rk_callback call, void *user_data);

/* queries */
const char *rk_query_name(rk_kind kind);
bool rk_query_is_error(rk_kind kind);

#endif
