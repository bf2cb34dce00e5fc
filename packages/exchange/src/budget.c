#include "budget.h"

#include <glib.h>
#include <string.h>

#define _BG_DEFAULT_WINDOW_MS 10000
#define _BG_WINDOW_STEPS 10
/* Share of the budget that is used. The rest covers instances that are not
   seen yet, and windows that begin at other times than this one's steps. */
#define _BG_USED_SHARE 0.6

struct bg_budget {
    bg_desc desc;
    uint64_t step_us;
    uint64_t step; /* number of the newest step, kept at index 0 */
    /* The newest step is not over. Resends are summed over one step more than
       the window has, so that none of the window is missed, and first sends
       over as many as it has, so that none outside of it counts. */
    uint32_t first_sends[_BG_WINDOW_STEPS + 1];
    uint32_t resends[_BG_WINDOW_STEPS + 1];
};

bg_budget *
bg_create(const bg_desc *desc)
{
    bg_budget *budget = g_new0(bg_budget, 1);
    budget->desc = *desc;
    if (!budget->desc.window_ms) {
        budget->desc.window_ms = _BG_DEFAULT_WINDOW_MS;
    }
    budget->step_us =
        (uint64_t)budget->desc.window_ms * 1000 / _BG_WINDOW_STEPS;
    return budget;
}

void
bg_destroy(bg_budget *budget)
{
    g_free(budget);
}

/* Moves the window on to the present step. */
static void
_bg_slide_window(bg_budget *budget, uint64_t now_us)
{
    uint64_t step = now_us / budget->step_us;
    uint64_t steps_passed = step > budget->step ? step - budget->step : 0;
    for (uint64_t i = 0; i < MIN(steps_passed, _BG_WINDOW_STEPS + 1); i++) {
        memmove(&budget->first_sends[1], &budget->first_sends[0],
                sizeof(budget->first_sends[0]) * _BG_WINDOW_STEPS);
        memmove(&budget->resends[1], &budget->resends[0],
                sizeof(budget->resends[0]) * _BG_WINDOW_STEPS);
        budget->first_sends[0] = 0;
        budget->resends[0] = 0;
    }
    budget->step = MAX(step, budget->step);
}

void
bg_count_first_send(bg_budget *budget, uint64_t now_us)
{
    _bg_slide_window(budget, now_us);
    budget->first_sends[0]++;
}

/* Returns the resends of a whole window. */
static double
_bg_allowed(const bg_budget *budget, uint32_t live_instances)
{
    double first_sends = 0;
    for (uint32_t i = 0; i < _BG_WINDOW_STEPS; i++) {
        first_sends += budget->first_sends[i];
    }
    return _BG_USED_SHARE * (budget->desc.ratio * first_sends +
                             budget->desc.slack / MAX(live_instances, 1));
}

double
bg_query_resends_left(bg_budget *budget, uint64_t now_us,
                      uint32_t live_instances)
{
    _bg_slide_window(budget, now_us);
    double resends = 0;
    for (uint32_t i = 0; i <= _BG_WINDOW_STEPS; i++) {
        resends += budget->resends[i];
    }
    return _bg_allowed(budget, live_instances) - resends;
}

bool
bg_take_resend(bg_budget *budget, uint64_t now_us, uint32_t live_instances,
               double kept_share)
{
    double left = bg_query_resends_left(budget, now_us, live_instances);
    double kept = kept_share * _bg_allowed(budget, live_instances);
    if (left - kept < 1.0) {
        return false;
    }
    budget->resends[0]++;
    return true;
}
