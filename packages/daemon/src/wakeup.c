#include "wakeup.h"

#include <glib.h>

/* A later wakeup gets its callback early and is then set again. */
#define _WK_MAX_WAIT_MS 60000

void
wk_setup(wk_wakeup *wakeup, tm_service *timers, tm_call call, void *user_data)
{
    wakeup->timers = timers;
    wakeup->timer = (tm_timer){0};
    wakeup->call = call;
    wakeup->user_data = user_data;
}

void
wk_shutdown(wk_wakeup *wakeup)
{
    if (wakeup->timers) {
        tm_destroy_timer(wakeup->timers, wakeup->timer);
        wakeup->timer = (tm_timer){0};
    }
}

void
wk_set(wk_wakeup *wakeup, uint64_t at_us)
{
    if (at_us == wakeup->at_us && tm_is_valid(wakeup->timers, wakeup->timer)) {
        return;
    }
    wk_shutdown(wakeup);
    wakeup->at_us = at_us;
    if (at_us == UINT64_MAX) {
        return;
    }
    uint64_t now_us = tm_query_now_us(wakeup->timers);
    uint64_t wait_us = at_us > now_us ? at_us - now_us : 0;
    uint64_t wait_ms = MIN((wait_us + 999) / 1000, _WK_MAX_WAIT_MS);
    wakeup->timer = tm_make_timer(
        wakeup->timers, &(tm_timer_desc){.period_ms = (uint32_t)wait_ms,
                                         .once = true,
                                         .call = wakeup->call,
                                         .user_data = wakeup->user_data});
}
