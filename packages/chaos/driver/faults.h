/*
 * faults.h: injects the faults of a plan into a fleet and records them (prefix
 * ft_).
 *
 *     ft_run(&(ft_desc){.fleet = fleet, .record = &record,
 *                       .callers = callers, .steps = steps});
 *
 * ft_run() blocks until the last step is done and is meant for a thread of its
 * own. Then every member runs again and every fault has ended, except that a
 * server with PN_LEAVING stays leaving.
 */
#ifndef LACEWING_CHAOS_FAULTS_H
#define LACEWING_CHAOS_FAULTS_H

#include "callers.h"
#include "plan.h"

typedef struct ft_desc {
    hn_fleet *fleet;
    rc_record *record;
    cr_callers *callers;
    const GArray *steps; /* pn_step, in order of time */
} ft_desc;

void ft_run(const ft_desc *desc);

#endif
