/*
 * report.h: reads the output lines of test runs and makes an HTML page of them
 * (private, prefix tl_).
 *
 * A line that has key=value pairs is one of three kinds. With the keys
 * "measure", "baseline" and "ours" it is a measurement of a bench, which
 * compares a baseline with this project. With "at_ms" it holds the values of a
 * load or chaos run at that time. Any other such line is listed as it is.
 *
 *     g_autoptr(tl_report) report = tl_report_create();
 *     tl_report_read(report, "bench.txt", text);
 *     g_autofree char *page = tl_report_query_html(report);
 */
#ifndef LACEWING_TOOL_REPORT_H
#define LACEWING_TOOL_REPORT_H

#include "lacewing/error.h"
#include <glib.h>

/* Missing texts are "", a missing ratio is 0. */
typedef struct tl_measurement {
    char *measure;
    char *deployment;
    char *seed;
    char *violations; /* a number of violations; shown in red unless "" or 0 */
    double baseline;  /* in the unit of the measure */
    double ours;      /* in the unit of the measure */
    double ratio;     /* as read from the line */
} tl_measurement;

/* The values of one key over time. The arrays have the same length, which is
   not 0. */
typedef struct tl_series {
    char *name;
    GArray *at_ms; /* double */
    GArray *value; /* double */
} tl_series;

typedef struct tl_report {
    GPtrArray *measurements; /* tl_measurement, in the order read */
    GPtrArray *series;       /* tl_series */
    GPtrArray *other_lines;  /* char * */
    uint32_t lines;          /* number of lines read that have key=value */
} tl_report;

tl_report *tl_report_create(void);
void tl_report_destroy(tl_report *report);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(tl_report, tl_report_destroy)
/* Reads the lines of a text. source, such as a file name, becomes the prefix
   of the names of its series. */
void tl_report_read(tl_report *report, const char *source, const char *text);

/* The HTML page; free with g_free(). */
char *tl_report_query_html(const tl_report *report);

/* Draw an SVG element; free with g_free(). largest is the value of a bar of
   full width. */
char *tl_plot_bars(double baseline, double ours, double largest);
char *tl_plot_curve(const tl_series *series);
/* The largest value, or 0 if none is positive. */
double tl_series_query_largest(const tl_series *series);

#endif
