/*
 * callers.h: the callers of a run (prefix cr_).
 *
 * Sends a workload to the daemons that a balancer would choose, books some
 * bookings again through another one, and records every answer.
 *
 *     cr_callers *callers = cr_create(&(cr_desc){.fleet = fleet,
 *         .record = &record, .seed = 7});
 *     cr_run(callers, 30000);
 *     cr_destroy(callers);
 *
 * Limits: runs the default main context until all is answered.
 */
#ifndef LACEWING_CHAOS_CALLERS_H
#define LACEWING_CHAOS_CALLERS_H

#include "fleet.h"
#include "record.h"

#define CR_POISON "POISON"

typedef struct cr_desc {
    hn_fleet *fleet;
    rc_record *record;
    uint64_t seed;
    double rate; /* requests a second; default 25 */
} cr_desc;

typedef struct cr_callers cr_callers;

cr_callers *cr_create(const cr_desc *desc);
void cr_destroy(cr_callers *callers);
void cr_run(cr_callers *callers, uint32_t length_ms);
/* From now on some drafts are the one that crashes engines which were told
   so. Any thread. */
void cr_set_poison(cr_callers *callers, bool on);
/* How many answers there were of each kind. */
void cr_print(const cr_callers *callers);

#endif
