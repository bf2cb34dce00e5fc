/*
 * budget.h: this instance's share of the budget for resends: retries and
 * hedges that follow the first send of a request (prefix bg_).
 *
 * All instances together may make at most ratio x first sends + slack resends
 * for a service in a window of time. Each instance counts its own first sends
 * and takes an equal part of the slack. It uses only part of its share, so
 * that the total stays within the limit while a new instance is not seen yet.
 *
 *     bg_count_first_send(budget, now_us);
 *     if (bg_take_resend(budget, now_us, live_instances, 0)) { send again }
 *
 * Limits: one budget per service; the window slides in steps of a tenth.
 */
#ifndef LACEWING_BUDGET_H
#define LACEWING_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

typedef struct bg_budget bg_budget;

typedef struct bg_desc {
    double ratio;       /* resends per first send */
    double slack;       /* further resends per window, over all instances */
    uint32_t window_ms; /* default 10000 */
} bg_desc;

bg_budget *bg_create(const bg_desc *desc);
void bg_destroy(bg_budget *budget);

void bg_count_first_send(bg_budget *budget, uint64_t now_us);
/* Takes one resend from the budget; returns false if none is left but the
   kept_share of the whole budget, 0 to 1, which is kept for others. */
bool bg_take_resend(bg_budget *budget, uint64_t now_us,
                    uint32_t live_instances, double kept_share);

/* queries */
double bg_query_resends_left(bg_budget *budget, uint64_t now_us,
                             uint32_t live_instances);

#endif
