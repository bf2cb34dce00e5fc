/*
 * wakeup.h: one timer that follows a machine's wakeup time (prefix wk_).
 *
 *     wk_setup(&wakeup, timers, on_tick, self);
 *     wk_set(&wakeup, ow_query_wakeup_us(ow));
 *     wk_shutdown(&wakeup);
 *
 * Limits: resolution 1 ms, rounded up.
 */
#ifndef LACEWING_WAKEUP_H
#define LACEWING_WAKEUP_H

#include "lacewing/timer.h"

typedef struct wk_wakeup {
    tm_service *timers;
    tm_timer timer;
    uint64_t at_us; /* when the timer is due */
    tm_call call;
    void *user_data;
} wk_wakeup;

void wk_setup(wk_wakeup *wakeup, tm_service *timers, tm_call call,
              void *user_data);
void wk_shutdown(wk_wakeup *wakeup);
/* Next call at this time; UINT64_MAX: none. Replaces the one set before. */
void wk_set(wk_wakeup *wakeup, uint64_t at_us);

#endif
