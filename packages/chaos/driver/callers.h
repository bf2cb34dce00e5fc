/*
 * callers.h: the callers of a run (prefix cr_).
 *
 * Sends a workload to usable daemons, as a load balancer does, sends some
 * bookings again through another daemon, and records every answer as an
 * HK_CALL event.
 *
 *     cr_callers *callers = cr_create(&(cr_desc){.fleet = fleet,
 *         .record = &record, .seed = 7});
 *     cr_run(callers, 30000);
 *     cr_print_answers(callers);
 *     cr_destroy(callers);
 *
 * Limits: cr_run() runs the default main context until every request has its
 * answer.
 */
#ifndef LACEWING_CHAOS_CALLERS_H
#define LACEWING_CHAOS_CALLERS_H

#include "fleet.h"
#include "record.h"

/* Prompt of the drafts that crash engines, see cr_set_poison(). */
#define CR_POISON_PROMPT "POISON"

typedef struct cr_desc {
    hn_fleet *fleet;
    rc_record *record;
    uint64_t seed;
    double rate; /* requests per second; default 25 */
} cr_desc;

typedef struct cr_callers cr_callers;

cr_callers *cr_create(const cr_desc *desc);
void cr_destroy(cr_callers *callers);
/* Sends requests for this time, then waits for the remaining answers. */
void cr_run(cr_callers *callers, uint32_t duration_ms);
/* While enabled, some drafts have CR_POISON_PROMPT, which crashes the engines
   that have the order crash_on for it. May be called on any thread. */
void cr_set_poison(cr_callers *callers, bool enabled);
/* Prints the number of answers by kind of request, outcome, error type and
   whether the request ran. */
void cr_print_answers(const cr_callers *callers);

#endif
