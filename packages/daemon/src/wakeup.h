/*
 * wakeup.h: timer for the next wakeup of a state machine (prefix wk_).
 *
 * The user calls wk_set() with the state machine's next wakeup time after each
 * event; the callback then feeds it a tick.
 *
 *     wk_setup(&wakeup, timers, on_tick, self);
 *     wk_set(&wakeup, ow_query_wakeup_us(ow));
 *     wk_shutdown(&wakeup);
 *
 * Limits: resolution 1 ms, rounded up. The callback comes after at most 60 s,
 * also for a later wakeup time.
 */
#ifndef LACEWING_WAKEUP_H
#define LACEWING_WAKEUP_H

#include "lacewing/timer.h"

typedef struct wk_wakeup {
    tm_service *timers;
    tm_timer timer;
    uint64_t at_us; /* requested wakeup time */
    tm_call call;
    void *user_data;
} wk_wakeup;

void wk_setup(wk_wakeup *wakeup, tm_service *timers, tm_call call,
              void *user_data);
void wk_shutdown(wk_wakeup *wakeup);
/* Sets the time of the next callback, in place of the one set before;
   UINT64_MAX: no callback. */
void wk_set(wk_wakeup *wakeup, uint64_t at_us);

#endif
