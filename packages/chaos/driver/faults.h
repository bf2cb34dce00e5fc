/*
 * faults.h: makes the faults of a plan (prefix ft_).
 *
 *     ft_run(&(ft_desc){.fleet = fleet, .record = &record,
 *                       .callers = callers, .steps = steps});
 *
 * Runs on a thread of its own until the last step; then every member runs
 * again and every fault has ended, but for the server that left.
 */
#ifndef LACEWING_CHAOS_FAULTS_H
#define LACEWING_CHAOS_FAULTS_H

#include "callers.h"
#include "plan.h"

typedef struct ft_desc {
    hn_fleet *fleet;
    rc_record *record;
    cr_callers *callers;
    const GArray *steps; /* pn_step */
} ft_desc;

void ft_run(const ft_desc *desc);

#endif
