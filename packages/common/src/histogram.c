#include "lacewing/histogram.h"

#include <inttypes.h>

/* Upper bounds of the buckets in ms. Among them are the latency targets of
   callers' requests (150 to 1,000) and their deadlines (2,500 to 30,000). */
static const uint32_t _hg_bounds_ms[] = {
    5, 10, 25, 50, 100, 150, 250, 600, 800, 1000, 2500, 10000, 30000};

#define _HG_BOUND_COUNT G_N_ELEMENTS(_hg_bounds_ms)
#define _HG_US_PER_S 1e6

static const char *const _hg_names[HG_ITEM_NUM] = {
#define HG_NAME(code, name, help) [code] = name,
    HG_ITEMS(HG_NAME)
#undef HG_NAME
};

static const char *const _hg_helps[HG_ITEM_NUM] = {
#define HG_HELP(code, name, help) [code] = help,
    HG_ITEMS(HG_HELP)
#undef HG_HELP
};

static const char *const _hg_label_values[HG_LABEL_NUM] = {
#define HG_VALUE(code, value) [code] = value,
    HG_LABELS(HG_VALUE)
#undef HG_VALUE
};

typedef struct _hg_histogram {
    /* By bucket. The last one is for times above all bounds. */
    uint64_t counts[_HG_BOUND_COUNT + 1];
    uint64_t count;
    uint64_t sum_us;
} _hg_histogram;

static _hg_histogram _hg_histograms[HG_ITEM_NUM][HG_LABEL_NUM];

void
hg_observe(hg_item item, hg_label label, uint64_t time_us)
{
    _hg_histogram *histogram = &_hg_histograms[item][label];
    uint32_t bucket = 0;
    while (bucket < _HG_BOUND_COUNT &&
           time_us > _hg_bounds_ms[bucket] * 1000ULL) {
        bucket++;
    }
    histogram->counts[bucket]++;
    histogram->count++;
    histogram->sum_us += time_us;
}

const char *
hg_query_name(hg_item item)
{
    return _hg_names[item];
}

const char *
hg_query_help(hg_item item)
{
    return _hg_helps[item];
}

/* Appends a number with a decimal point, whatever the locale is. */
static void
_hg_append_seconds(GString *page, double seconds)
{
    char text[G_ASCII_DTOSTR_BUF_SIZE];
    g_string_append(page,
                    g_ascii_formatd(text, sizeof(text), "%.10g", seconds));
}

static void
_hg_append(GString *page, hg_item item, hg_label label)
{
    const _hg_histogram *histogram = &_hg_histograms[item][label];
    const char *name = _hg_names[item];
    const char *kind = _hg_label_values[label];
    uint64_t cumulative_count = 0;
    for (uint32_t bucket = 0; bucket < _HG_BOUND_COUNT; bucket++) {
        cumulative_count += histogram->counts[bucket];
        g_string_append_printf(page, "lacewing_%s_bucket{kind=\"%s\",le=\"",
                               name, kind);
        _hg_append_seconds(page, _hg_bounds_ms[bucket] / 1000.0);
        g_string_append_printf(page, "\"} %" PRIu64 "\n", cumulative_count);
    }
    g_string_append_printf(
        page, "lacewing_%s_bucket{kind=\"%s\",le=\"+Inf\"} %" PRIu64 "\n",
        name, kind, histogram->count);
    g_string_append_printf(page, "lacewing_%s_sum{kind=\"%s\"} ", name, kind);
    _hg_append_seconds(page, (double)histogram->sum_us / _HG_US_PER_S);
    g_string_append_printf(page,
                           "\nlacewing_%s_count{kind=\"%s\"} %" PRIu64 "\n",
                           name, kind, histogram->count);
}

void
hg_append_text(GString *page)
{
    for (uint32_t item = 0; item < HG_ITEM_NUM; item++) {
        g_string_append_printf(page,
                               "# HELP lacewing_%s %s.\n"
                               "# TYPE lacewing_%s histogram\n",
                               _hg_names[item], _hg_helps[item],
                               _hg_names[item]);
        for (uint32_t label = 0; label < HG_LABEL_NUM; label++) {
            if (_hg_histograms[item][label].count) {
                _hg_append(page, (hg_item)item, (hg_label)label);
            }
        }
    }
}
