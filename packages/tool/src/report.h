/*
 * report.h: lines of runs, read and drawn (private, prefix tl_).
 *
 * A line is a list of key=value. One with "measure" is a figure of a bench:
 * baseline against ours. One with "at_ms" is a point in time of a load or
 * chaos run. Other lines that hold key=value are listed.
 */
#ifndef LACEWING_TOOL_REPORT_H
#define LACEWING_TOOL_REPORT_H

#include "lacewing/error.h"
#include <glib.h>

typedef struct tl_figure {
    char *measure;
    char *deployment;
    char *seed;
    char *violations;
    double baseline;
    double ours;
    double ratio;
} tl_figure;

/* One quantity over time. */
typedef struct tl_series {
    char *name;
    GArray *at_ms; /* double */
    GArray *value; /* double */
} tl_series;

typedef struct tl_report {
    GPtrArray *figures; /* tl_figure, by measure, in order of reading */
    GPtrArray *series;  /* tl_series */
    GPtrArray *others;  /* char *: lines with key=value */
    uint32_t lines;     /* read */
} tl_report;

tl_report *tl_report_create(void);
void tl_report_destroy(tl_report *report);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(tl_report, tl_report_destroy)
/* Reads the lines of a text; source is put before names of series. */
void tl_report_read(tl_report *report, const char *source, const char *text);

/* The page; free with g_free(). */
char *tl_report_query_html(const tl_report *report);

/* Drawings as SVG; free with g_free(). */
char *tl_plot_bars(double baseline, double ours, double largest);
char *tl_plot_curve(const tl_series *series);
double tl_series_query_largest(const tl_series *series);

#endif
