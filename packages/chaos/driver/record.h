/*
 * record.h: what the threads of a run share: the history and which daemons
 * are usable (prefix rc_).
 *
 *     rc_record record;
 *     rc_setup(&record);
 *     rc_add(&record, &(hk_event){...});
 *     rc_set_usable(&record, "a", false);
 *     rc_shutdown(&record);
 *
 * rc_add() and rc_set_usable() may be called on any thread. The history is
 * read when no thread adds any more.
 */
#ifndef LACEWING_CHAOS_RECORD_H
#define LACEWING_CHAOS_RECORD_H

#include "checker.h"

#define RC_DAEMON_COUNT 3

typedef struct rc_record {
    GMutex lock; /* of history */
    hk_history *history;
    gint usable[RC_DAEMON_COUNT]; /* as a load balancer would know; atomic */
    gint ended;                   /* unused */
} rc_record;

/* Names of the daemons; index as in rc_record.usable. */
extern const char *const rc_daemon_names[RC_DAEMON_COUNT];

void rc_setup(rc_record *record);
void rc_shutdown(rc_record *record);
/* Copies the event and its strings. */
void rc_add(rc_record *record, const hk_event *event);
/* Ignores other names. */
void rc_set_usable(rc_record *record, const char *daemon, bool usable);

#endif
