/*
 * weights.h: the stand-in's weight store (prefix wt_).
 *
 * Simulates the limits of the weight store. A token bucket limits how many
 * fetches begin, and a fetch beyond the rate is refused. A fetch takes a
 * fixed time while few are in transit, and proportionally longer beyond
 * that.
 *
 *     wt_store *store = wt_create(&(wt_desc){.fetches_per_s = 6});
 *     uint32_t duration_ms = 0;
 *     if (wt_begin_fetch(store, now_us, &duration_ms) ==
 *         WT_RESULT_DEFAULT) {
 *         ... after duration_ms: wt_end_fetch(store);
 *     }
 *
 * Limits: the duration is fixed when the fetch begins.
 */
#ifndef LACEWING_STANDIN_WEIGHTS_H
#define LACEWING_STANDIN_WEIGHTS_H

#include <stdint.h>

/* Outcome of wt_begin_fetch(). */
typedef enum wt_result {
    WT_RESULT_DEFAULT = 0, /* begun: wt_end_fetch() must follow */
    WT_RATE_LIMITED,       /* refused: over the rate */
    WT_FAILED,             /* fails because of wt_fail_next() */
    WT_RESULT_NUM
} wt_result;

typedef struct wt_desc {
    double fetches_per_s;        /* default 6 */
    uint32_t burst_fetches;      /* that may begin together; default 2 */
    uint32_t fetch_ms;           /* at full speed; default 250 */
    uint32_t full_speed_fetches; /* in transit at full speed; default 16 */
} wt_desc;

typedef struct wt_store wt_store;

wt_store *wt_create(const wt_desc *desc);
void wt_destroy(wt_store *store);

/* Sets *duration_ms if the fetch begins. */
wt_result wt_begin_fetch(wt_store *store, uint64_t now_us,
                         uint32_t *duration_ms);
void wt_end_fetch(wt_store *store);
/* Makes the next count fetches fail. */
void wt_fail_next(wt_store *store, uint32_t count);

/* queries */
uint32_t wt_query_in_transit(const wt_store *store);

#endif
