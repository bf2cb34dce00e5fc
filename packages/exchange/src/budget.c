#include "budget.h"

#include <glib.h>
#include <string.h>

#define _BG_WINDOW_MS 10000
#define _BG_STEPS 10
/* Part of the budget that is used: the rest is for instances that are not
   seen yet and for windows that lie otherwise. */
#define _BG_SHARE 0.6

struct bg_budget {
    bg_desc desc;
    uint64_t step_us;
    uint64_t step; /* number of the newest step */
    uint32_t first[_BG_STEPS + 1];
    uint32_t again[_BG_STEPS + 1];
};

bg_budget *
bg_create(const bg_desc *desc)
{
    bg_budget *budget = g_new0(bg_budget, 1);
    budget->desc = *desc;
    if (!budget->desc.window_ms) {
        budget->desc.window_ms = _BG_WINDOW_MS;
    }
    budget->step_us = (uint64_t)budget->desc.window_ms * 1000 / _BG_STEPS;
    return budget;
}

void
bg_destroy(bg_budget *budget)
{
    g_free(budget);
}

static void
_bg_slide(bg_budget *budget, uint64_t now_us)
{
    uint64_t step = now_us / budget->step_us;
    uint64_t passed = step > budget->step ? step - budget->step : 0;
    for (uint64_t i = 0; i < MIN(passed, _BG_STEPS + 1); i++) {
        memmove(&budget->first[1], &budget->first[0],
                sizeof(budget->first[0]) * _BG_STEPS);
        memmove(&budget->again[1], &budget->again[0],
                sizeof(budget->again[0]) * _BG_STEPS);
        budget->first[0] = 0;
        budget->again[0] = 0;
    }
    budget->step = MAX(step, budget->step);
}

void
bg_first(bg_budget *budget, uint64_t now_us)
{
    _bg_slide(budget, now_us);
    budget->first[0]++;
}

double
bg_query_left(bg_budget *budget, uint64_t now_us, uint32_t live_instances)
{
    _bg_slide(budget, now_us);
    double first = 0;
    double again = 0;
    for (uint32_t i = 0; i <= _BG_STEPS; i++) {
        first += i < _BG_STEPS ? budget->first[i] : 0;
        again += budget->again[i];
    }
    double allowed = _BG_SHARE * (budget->desc.ratio * first +
                                  budget->desc.slack / MAX(live_instances, 1));
    return allowed - again;
}

bool
bg_take(bg_budget *budget, uint64_t now_us, uint32_t live_instances)
{
    if (bg_query_left(budget, now_us, live_instances) < 1.0) {
        return false;
    }
    budget->again[0]++;
    return true;
}
