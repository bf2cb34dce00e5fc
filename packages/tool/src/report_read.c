#include "report.h"

#include <string.h>

/* -- creation ------------------------------------------------------------- */

static void
_tl_measurement_free(void *data)
{
    tl_measurement *measurement = data;
    g_free(measurement->measure);
    g_free(measurement->deployment);
    g_free(measurement->seed);
    g_free(measurement->violations);
    g_free(measurement);
}

static void
_tl_series_free(void *data)
{
    tl_series *series = data;
    g_free(series->name);
    g_array_unref(series->at_ms);
    g_array_unref(series->value);
    g_free(series);
}

tl_report *
tl_report_create(void)
{
    tl_report *report = g_new0(tl_report, 1);
    report->measurements =
        g_ptr_array_new_with_free_func(_tl_measurement_free);
    report->series = g_ptr_array_new_with_free_func(_tl_series_free);
    report->other_lines = g_ptr_array_new_with_free_func(g_free);
    return report;
}

void
tl_report_destroy(tl_report *report)
{
    if (report) {
        g_ptr_array_unref(report->measurements);
        g_ptr_array_unref(report->series);
        g_ptr_array_unref(report->other_lines);
        g_free(report);
    }
}

/* -- private: one line ---------------------------------------------------- */

/* The key=value pairs of a line; words without '=' or without a key are left
   out. */
static GHashTable *
_tl_parse_pairs(const char *line)
{
    GHashTable *pairs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_auto(GStrv) words = g_strsplit_set(line, " \t", -1);
    for (char **word = words; *word; word++) {
        const char *equal = strchr(*word, '=');
        if (equal && equal != *word) {
            g_hash_table_insert(pairs,
                                g_strndup(*word, (gsize)(equal - *word)),
                                g_strdup(equal + 1));
        }
    }
    return pairs;
}

static bool
_tl_parse_number(GHashTable *pairs, const char *key, double *number)
{
    const char *text = g_hash_table_lookup(pairs, key);
    if (!text || !*text) {
        return false;
    }
    char *end = NULL;
    *number = g_ascii_strtod(text, &end);
    return *end == '\0' && *number == *number;
}

static char *
_tl_copy_value(GHashTable *pairs, const char *key)
{
    const char *text = g_hash_table_lookup(pairs, key);
    return g_strdup(text ? text : "");
}

static bool
_tl_read_measurement(tl_report *report, GHashTable *pairs)
{
    double baseline = 0;
    double ours = 0;
    if (!g_hash_table_contains(pairs, "measure") ||
        !_tl_parse_number(pairs, "baseline", &baseline) ||
        !_tl_parse_number(pairs, "ours", &ours)) {
        return false;
    }
    tl_measurement *measurement = g_new0(tl_measurement, 1);
    measurement->measure = _tl_copy_value(pairs, "measure");
    measurement->deployment = _tl_copy_value(pairs, "deployment");
    measurement->seed = _tl_copy_value(pairs, "seed");
    measurement->violations = _tl_copy_value(pairs, "violations");
    measurement->baseline = baseline;
    measurement->ours = ours;
    _tl_parse_number(pairs, "ratio", &measurement->ratio);
    g_ptr_array_add(report->measurements, measurement);
    return true;
}

static tl_series *
_tl_find_or_add_series(tl_report *report, const char *source, const char *key)
{
    g_autofree char *name = g_strdup_printf("%s: %s", source, key);
    for (uint32_t i = 0; i < report->series->len; i++) {
        tl_series *series = g_ptr_array_index(report->series, i);
        if (strcmp(series->name, name) == 0) {
            return series;
        }
    }
    tl_series *series = g_new0(tl_series, 1);
    series->name = g_steal_pointer(&name);
    series->at_ms = g_array_new(FALSE, FALSE, sizeof(double));
    series->value = g_array_new(FALSE, FALSE, sizeof(double));
    g_ptr_array_add(report->series, series);
    return series;
}

static bool
_tl_read_sample(tl_report *report, const char *source, GHashTable *pairs)
{
    double at_ms = 0;
    if (!_tl_parse_number(pairs, "at_ms", &at_ms)) {
        return false;
    }
    g_autoptr(GList) keys = g_hash_table_get_keys(pairs);
    keys = g_list_sort(keys, (GCompareFunc)strcmp);
    for (GList *key = keys; key; key = key->next) {
        double value = 0;
        if (strcmp(key->data, "at_ms") != 0 &&
            _tl_parse_number(pairs, key->data, &value)) {
            tl_series *series =
                _tl_find_or_add_series(report, source, key->data);
            g_array_append_val(series->at_ms, at_ms);
            g_array_append_val(series->value, value);
        }
    }
    return true;
}

/* -- public --------------------------------------------------------------- */

void
tl_report_read(tl_report *report, const char *source, const char *text)
{
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    for (char **line = lines; *line; line++) {
        g_autoptr(GHashTable) pairs = _tl_parse_pairs(*line);
        if (g_hash_table_size(pairs) == 0) {
            continue;
        }
        report->lines++;
        if (!_tl_read_measurement(report, pairs) &&
            !_tl_read_sample(report, source, pairs)) {
            g_ptr_array_add(report->other_lines, g_strdup(*line));
        }
    }
}

double
tl_series_query_largest(const tl_series *series)
{
    double largest = 0;
    for (uint32_t i = 0; i < series->value->len; i++) {
        largest = MAX(largest, g_array_index(series->value, double, i));
    }
    return largest;
}
