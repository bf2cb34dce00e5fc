#include "load_report.h"

void
lr_sample(lr_reports *reports, const lr_item *item)
{
    reports->items[reports->count % LR_SAMPLES] = *item;
    reports->count++;
}

lr_item
lr_query_delayed(const lr_reports *reports, uint64_t now_us)
{
    uint64_t lag_us = reports->lag_ms * UINT64_C(1000);
    for (uint64_t back = 1; back <= LR_SAMPLES && back <= reports->count;
         back++) {
        const lr_item *item =
            &reports->items[(reports->count - back) % LR_SAMPLES];
        if (item->at_us + lag_us <= now_us) {
            return *item;
        }
    }
    return (lr_item){0};
}
