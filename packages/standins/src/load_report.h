/*
 * load_report.h: load reports that admit the truth late (prefix lr_).
 *
 *     lr_reports reports = {.lag_ms = 500};
 *     lr_sample(&reports, &(lr_item){.at_us = now_us, .running = 3});
 *     lr_item seen = lr_query_delayed(&reports, now_us);
 *
 * Limits: holds LR_SAMPLES samples.
 */
#ifndef LACEWING_STANDIN_LOAD_REPORT_H
#define LACEWING_STANDIN_LOAD_REPORT_H

#include <stdint.h>

#define LR_SAMPLES 64
#define LR_PERIOD_MS 100

typedef struct lr_item {
    uint64_t at_us;
    uint64_t wall_ms;
    uint32_t running;
    uint32_t waiting;
} lr_item;

typedef struct lr_reports {
    lr_item items[LR_SAMPLES]; /* ring */
    uint64_t count;
    uint32_t lag_ms;
} lr_reports;

void lr_sample(lr_reports *reports, const lr_item *item);
/* The newest sample that is old enough; zeros when there is none. */
lr_item lr_query_delayed(const lr_reports *reports, uint64_t now_us);

#endif
