/*
 * load_report.h: load reports of the stand-in engine with an adjustable delay
 * (prefix lr_).
 *
 * The engine takes a sample every LR_PERIOD_MS; a report shows the newest
 * sample that is at least lag_ms old.
 *
 *     lr_reports reports = {.lag_ms = 500};
 *     lr_sample(&reports, &(lr_item){.at_us = now_us, .running = 3});
 *     lr_item reported = lr_query_delayed(&reports, now_us);
 *
 * Limits: keeps LR_SAMPLES samples; a lag of LR_SAMPLES * LR_PERIOD_MS or
 * more finds none.
 */
#ifndef LACEWING_STANDIN_LOAD_REPORT_H
#define LACEWING_STANDIN_LOAD_REPORT_H

#include <stdint.h>

#define LR_SAMPLES 64
#define LR_PERIOD_MS 100

/* A sample. */
typedef struct lr_item {
    uint64_t at_us;   /* when it was taken, on the clock of now_us */
    uint64_t wall_ms; /* the same moment in wall-clock time */
    uint32_t running; /* drafts */
    uint32_t waiting; /* drafts */
} lr_item;

typedef struct lr_reports {
    lr_item items[LR_SAMPLES]; /* ring buffer */
    uint64_t count;            /* of samples taken so far */
    uint32_t lag_ms;
} lr_reports;

void lr_sample(lr_reports *reports, const lr_item *item);
/* The newest sample that is at least lag_ms old; all zeros if none is. */
lr_item lr_query_delayed(const lr_reports *reports, uint64_t now_us);

#endif
