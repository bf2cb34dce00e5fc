/*
 * budget.h: this instance's share of the sends that may follow a first one
 * (prefix bg_).
 *
 * All instances together may send a service's requests again at most ratio x
 * requests + slack times in a window. Each counts its own first sends and
 * takes an even part of the slack; the share is cut by a margin, so that an
 * instance that cannot see a new one stays within the whole.
 *
 *     bg_first(budget, now_us);
 *     if (bg_take(budget, now_us, live_instances)) { send again }
 *
 * Limits: one budget a service; windows are slid in steps of a tenth.
 */
#ifndef LACEWING_BUDGET_H
#define LACEWING_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

typedef struct bg_budget bg_budget;

typedef struct bg_desc {
    double ratio;       /* of first sends */
    double slack;       /* sends a window, over all instances */
    uint32_t window_ms; /* default 10000 */
} bg_desc;

bg_budget *bg_create(const bg_desc *desc);
void bg_destroy(bg_budget *budget);

void bg_first(bg_budget *budget, uint64_t now_us);
/* Uses one send if there is one. */
bool bg_take(bg_budget *budget, uint64_t now_us, uint32_t live_instances);

/* queries */
double bg_query_left(bg_budget *budget, uint64_t now_us,
                     uint32_t live_instances);

#endif
