#include "report.h"

#include <string.h>

static const char page_head[] =
    "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
    "<title>Report</title><style>"
    "body{font:14px sans-serif;margin:2em;max-width:60em}"
    "td,th{padding:2px 10px;text-align:left}"
    "td.n{text-align:right;font-variant-numeric:tabular-nums}"
    ".bad{color:#b00;font-weight:bold}"
    "figure{margin:1em 0}pre{background:#f4f4f4;padding:1em}"
    "</style></head><body>\n<h1>Report</h1>\n";

/* -- private: measurements ------------------------------------------------ */

static double
_tl_query_largest(const tl_report *report, const char *measure)
{
    double largest = 0;
    for (uint32_t i = 0; i < report->measurements->len; i++) {
        const tl_measurement *measurement =
            g_ptr_array_index(report->measurements, i);
        if (strcmp(measurement->measure, measure) == 0) {
            largest =
                MAX(largest, MAX(measurement->baseline, measurement->ours));
        }
    }
    return largest;
}

static void
_tl_add_measurement(GString *page, const tl_measurement *measurement,
                    double largest)
{
    g_autofree char *bars =
        tl_plot_bars(measurement->baseline, measurement->ours, largest);
    g_autofree char *deployment =
        g_markup_escape_text(measurement->deployment, -1);
    g_autofree char *seed = g_markup_escape_text(measurement->seed, -1);
    g_autofree char *violations =
        g_markup_escape_text(measurement->violations, -1);
    bool bad =
        *measurement->violations && strcmp(measurement->violations, "0") != 0;
    g_string_append_printf(
        page,
        "<tr><td>%s</td><td class=\"n\">%s</td><td class=\"n\">%.4g</td>"
        "<td class=\"n\">%.4g</td><td class=\"n\">%.4g</td>"
        "<td class=\"n%s\">%s</td><td>%s</td></tr>\n",
        deployment, seed, measurement->baseline, measurement->ours,
        measurement->ratio, bad ? " bad" : "", violations, bars);
}

static void
_tl_add_measure(GString *page, const tl_report *report, const char *measure)
{
    double largest = _tl_query_largest(report, measure);
    g_autofree char *name = g_markup_escape_text(measure, -1);
    g_string_append_printf(
        page,
        "<h2>%s</h2>\n<table><tr><th>deployment</th><th>seed</th>"
        "<th>baseline</th><th>ours</th><th>ratio</th><th>violations</th>"
        "<th>grey: baseline, blue: ours, full width: %.4g</th></tr>\n",
        name, largest);
    for (uint32_t i = 0; i < report->measurements->len; i++) {
        const tl_measurement *measurement =
            g_ptr_array_index(report->measurements, i);
        if (strcmp(measurement->measure, measure) == 0) {
            _tl_add_measurement(page, measurement, largest);
        }
    }
    g_string_append(page, "</table>\n");
}

static void
_tl_add_measures(GString *page, const tl_report *report)
{
    g_autoptr(GHashTable) done = g_hash_table_new(g_str_hash, g_str_equal);
    for (uint32_t i = 0; i < report->measurements->len; i++) {
        const tl_measurement *measurement =
            g_ptr_array_index(report->measurements, i);
        if (g_hash_table_add(done, measurement->measure)) {
            _tl_add_measure(page, report, measurement->measure);
        }
    }
}

/* -- private: curves and other lines -------------------------------------- */

static void
_tl_add_curve(GString *page, const tl_series *series)
{
    g_autofree char *curve = tl_plot_curve(series);
    g_autofree char *name = g_markup_escape_text(series->name, -1);
    uint32_t count = series->at_ms->len;
    g_string_append_printf(
        page,
        "<figure><figcaption>%s: 0 to %.6g, from %.6g to %.6g ms, %u points"
        "</figcaption>%s</figure>\n",
        name, tl_series_query_largest(series),
        g_array_index(series->at_ms, double, 0),
        g_array_index(series->at_ms, double, count - 1), count, curve);
}

static void
_tl_add_others(GString *page, const tl_report *report)
{
    if (report->other_lines->len == 0) {
        return;
    }
    g_string_append(page, "<h2>Other lines</h2>\n<pre>");
    for (uint32_t i = 0; i < report->other_lines->len; i++) {
        g_autofree char *line = g_markup_escape_text(
            g_ptr_array_index(report->other_lines, i), -1);
        g_string_append_printf(page, "%s\n", line);
    }
    g_string_append(page, "</pre>\n");
}

/* -- public --------------------------------------------------------------- */

char *
tl_report_query_html(const tl_report *report)
{
    GString *page = g_string_new(page_head);
    g_string_append_printf(page, "<p>%u lines</p>\n", report->lines);
    _tl_add_measures(page, report);
    if (report->series->len) {
        g_string_append(page, "<h2>Over time</h2>\n");
    }
    for (uint32_t i = 0; i < report->series->len; i++) {
        _tl_add_curve(page, g_ptr_array_index(report->series, i));
    }
    _tl_add_others(page, report);
    g_string_append(page, "</body></html>\n");
    return g_string_free(page, FALSE);
}
