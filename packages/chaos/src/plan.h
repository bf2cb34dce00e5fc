/*
 * plan.h: the schedule of faults of a run (prefix pn_).
 *
 * A plan is a list of steps in order of time that depends only on the seed
 * and the length of the run. A fault has a step that begins it and one that
 * ends it; PN_LEAVING has no end. Faults overlap, but never within a group:
 * the daemons are one group, so that at most one daemon is out at a time, the
 * engines with "poison" are another, and each other member is its own.
 * PN_LEAVING starts only while no engine has a fault; faults of other engines
 * may begin after it.
 *
 *     GArray *steps = pn_create(7, 30000);
 *     for (guint i = 0; i < steps->len; i++) {
 *         apply_step(&g_array_index(steps, pn_step, i));
 *     }
 *     g_array_unref(steps);
 */
#ifndef LACEWING_CHAOS_PLAN_H
#define LACEWING_CHAOS_PLAN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* code, printed name, members that it may affect, minimum and maximum duration
   in ms. Members: daemons a, b, c; engines e1 to e4; services s1, s2; zone z2;
   "poison" is all engines. */
#define PN_FAULTS(X)                                                          \
    X(PN_KILL_DAEMON, "kill", "a b c", 1000, 3000)                            \
    X(PN_PAUSE_DAEMON, "pause", "a b c", 4000, 7000)                          \
    X(PN_STOP_DAEMON, "stop", "a b c", 4000, 6000)                            \
    X(PN_PLATFORM_DOWN, "platform down", "platform", 2000, 5000)              \
    X(PN_PLATFORM_SILENT, "platform silent", "platform", 2000, 5000)          \
    X(PN_PLATFORM_LATE, "platform late", "platform", 2000, 4000)              \
    X(PN_LOSE_ANSWERS, "answers lost", "platform s1 s2", 500, 1000)           \
    X(PN_FAIL_LOADS, "loads fail", "platform", 500, 1000)                     \
    X(PN_KILL_ENGINE, "kill", "e1 e2 e3", 1000, 3000)                         \
    X(PN_RESTART_ENGINE, "restart empty", "e1 e2 e3", 500, 1500)              \
    X(PN_SILENT_ENGINE, "silent", "e1 e2 e3", 500, 1500)                      \
    X(PN_SLOW_ENGINE, "slow", "e1 e2 e3", 3000, 5000)                         \
    X(PN_POISON, "poison", "poison", 4000, 6000)                              \
    X(PN_PARTITION, "partition", "z2", 4000, 6000)                            \
    X(PN_LEAVING, "leaving", "e4", 0, 0)

typedef enum pn_fault {
#define PN_ENUM(code, name, members, min, max) code,
    PN_FAULTS(PN_ENUM)
#undef PN_ENUM
        PN_FAULT_NUM
} pn_fault;

typedef struct pn_step {
    uint32_t at_ms; /* from the start of the run */
    pn_fault fault;
    bool is_end;        /* the step ends the fault, else it begins it */
    const char *member; /* static */
} pn_step;

/* Returns the steps (pn_step) of a run of this length; free them with
   g_array_unref(). */
GArray *pn_create(uint64_t seed, uint32_t length_ms);

/* queries */
/* Name as printed. */
const char *pn_query_name(pn_fault fault);

#endif
