/*
 * record.h: the history of a run that several threads add to (prefix rc_).
 *
 *     rc_record record;
 *     rc_setup(&record);
 *     rc_add(&record, &(hk_event){...});
 *     rc_shutdown(&record);
 */
#ifndef LACEWING_CHAOS_RECORD_H
#define LACEWING_CHAOS_RECORD_H

#include "checker.h"

#define RC_DAEMONS 3

typedef struct rc_record {
    GMutex lock;
    hk_history *history;
    gint usable[RC_DAEMONS]; /* what a balancer would know; atomic */
    gint ended;              /* the run is over; atomic */
} rc_record;

extern const char *const rc_daemons[RC_DAEMONS];

void rc_setup(rc_record *record);
void rc_shutdown(rc_record *record);
void rc_add(rc_record *record, const hk_event *event);
void rc_set_usable(rc_record *record, const char *daemon, bool usable);

#endif
