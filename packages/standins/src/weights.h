/*
 * weights.h: the stand-in's weight store (prefix wt_).
 *
 * A few loads a second, a few at once at full speed, each a fixed time while
 * few are in transit and proportionally longer beyond that. Over the rate a
 * fetch is refused.
 *
 *     wt_weights *weights = wt_create(&(wt_desc){.loads_per_s = 6});
 *     wt_start start = wt_begin(weights, now_us, &duration_ms);
 *     ... after duration_ms: wt_end(weights);
 *
 * Limits: the duration is fixed when the fetch begins.
 */
#ifndef LACEWING_STANDIN_WEIGHTS_H
#define LACEWING_STANDIN_WEIGHTS_H

#include <stdint.h>

typedef enum wt_start {
    WT_START_DEFAULT = 0, /* begun: wt_end() must follow */
    WT_OVER_RATE,
    WT_FAILS, /* as ordered */
    WT_START_NUM
} wt_start;

typedef struct wt_desc {
    double loads_per_s;  /* default 6 */
    uint32_t at_once;    /* loads that may begin together; default 2 */
    uint32_t load_ms;    /* default 250 */
    uint32_t full_speed; /* in transit before they slow; default 16 */
} wt_desc;

typedef struct wt_weights wt_weights;

wt_weights *wt_create(const wt_desc *desc);
void wt_destroy(wt_weights *weights);

wt_start wt_begin(wt_weights *weights, uint64_t now_us, uint32_t *duration_ms);
void wt_end(wt_weights *weights);
/* The next fetches fail. */
void wt_fail(wt_weights *weights, uint32_t count);

/* queries */
uint32_t wt_query_in_transit(const wt_weights *weights);

#endif
