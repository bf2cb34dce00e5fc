#include "latency.h"

#include <glib.h>
#include <gsl/gsl_histogram.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <math.h>
#include <stdbool.h>

/* Range of the histogram; samples outside count in the outermost bins. */
#define _LT_HISTOGRAM_MIN_MS 0.1
#define _LT_HISTOGRAM_MAX_MS 1e5
#define _LT_BINS 30
#define _LT_BAR_CHARS_MAX 50 /* length of the longest bar */

struct lt_set {
    GArray *samples; /* double */
    bool sorted;
};

lt_set *
lt_create(void)
{
    lt_set *set = g_new0(lt_set, 1);
    set->samples = g_array_new(FALSE, FALSE, sizeof(double));
    return set;
}

void
lt_destroy(lt_set *set)
{
    g_array_unref(set->samples);
    g_free(set);
}

void
lt_add(lt_set *set, double ms)
{
    g_array_append_val(set->samples, ms);
    set->sorted = false;
}

void
lt_print(lt_set *set, const char *name)
{
    if (set->samples->len) {
        g_print("%-16s %8u %9.2f %9.2f %9.2f %9.2f %9.2f\n", name,
                set->samples->len, lt_query_ms(set, 0.5),
                lt_query_ms(set, 0.9), lt_query_ms(set, 0.99),
                lt_query_ms(set, 0.999), lt_query_ms(set, 1.0));
    }
}

void
lt_print_histogram(const lt_set *set)
{
    double bounds_ms[_LT_BINS + 1];
    double log_step =
        log(_LT_HISTOGRAM_MAX_MS / _LT_HISTOGRAM_MIN_MS) / _LT_BINS;
    for (int i = 0; i <= _LT_BINS; i++) {
        bounds_ms[i] = _LT_HISTOGRAM_MIN_MS * exp(log_step * i);
    }
    gsl_histogram *bins = gsl_histogram_alloc(_LT_BINS);
    gsl_histogram_set_ranges(bins, bounds_ms, _LT_BINS + 1);
    for (guint i = 0; i < set->samples->len; i++) {
        double ms = g_array_index(set->samples, double, i);
        gsl_histogram_increment(bins, CLAMP(ms, _LT_HISTOGRAM_MIN_MS,
                                            _LT_HISTOGRAM_MAX_MS * 0.999));
    }
    double highest_count = MAX(gsl_histogram_max_val(bins), 1.0);
    for (size_t i = 0; i < _LT_BINS; i++) {
        double count = gsl_histogram_get(bins, i);
        if (count > 0) {
            g_autofree char *bar = g_strnfill(
                (gsize)ceil(count / highest_count * _LT_BAR_CHARS_MAX), '#');
            g_print("%9.2f ms %8.0f %s\n", bounds_ms[i], count, bar);
        }
    }
    gsl_histogram_free(bins);
}

uint32_t
lt_query_count(const lt_set *set)
{
    return set->samples->len;
}

double
lt_query_ms(lt_set *set, double quantile)
{
    double *samples = (double *)(void *)set->samples->data;
    if (!set->samples->len) {
        return 0;
    }
    if (!set->sorted) {
        gsl_sort(samples, 1, set->samples->len);
        set->sorted = true;
    }
    return gsl_stats_quantile_from_sorted_data(samples, 1, set->samples->len,
                                               quantile);
}
