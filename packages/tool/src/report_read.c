/* Reading the lines of runs. */
#include "report.h"

#include <string.h>

/* -- private: life -------------------------------------------------------- */

static void
_tl_figure_free(void *data)
{
    tl_figure *figure = data;
    g_free(figure->measure);
    g_free(figure->deployment);
    g_free(figure->seed);
    g_free(figure->violations);
    g_free(figure);
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
    report->figures = g_ptr_array_new_with_free_func(_tl_figure_free);
    report->series = g_ptr_array_new_with_free_func(_tl_series_free);
    report->others = g_ptr_array_new_with_free_func(g_free);
    return report;
}

void
tl_report_destroy(tl_report *report)
{
    if (report) {
        g_ptr_array_unref(report->figures);
        g_ptr_array_unref(report->series);
        g_ptr_array_unref(report->others);
        g_free(report);
    }
}

/* -- private: one line ---------------------------------------------------- */

/* The key=value words of a line; the words without '=' are left out. */
static GHashTable *
_tl_words(const char *line)
{
    GHashTable *words =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_auto(GStrv) parts = g_strsplit_set(line, " \t", -1);
    for (char **part = parts; *part; part++) {
        const char *equal = strchr(*part, '=');
        if (equal && equal != *part) {
            g_hash_table_insert(words,
                                g_strndup(*part, (gsize)(equal - *part)),
                                g_strdup(equal + 1));
        }
    }
    return words;
}

static bool
_tl_number(GHashTable *words, const char *key, double *number)
{
    const char *text = g_hash_table_lookup(words, key);
    if (!text || !*text) {
        return false;
    }
    char *end = NULL;
    *number = g_ascii_strtod(text, &end);
    return *end == '\0' && *number == *number;
}

static char *
_tl_word(GHashTable *words, const char *key)
{
    const char *text = g_hash_table_lookup(words, key);
    return g_strdup(text ? text : "");
}

static bool
_tl_read_figure(tl_report *report, GHashTable *words)
{
    double baseline = 0;
    double ours = 0;
    if (!g_hash_table_contains(words, "measure") ||
        !_tl_number(words, "baseline", &baseline) ||
        !_tl_number(words, "ours", &ours)) {
        return false;
    }
    tl_figure *figure = g_new0(tl_figure, 1);
    figure->measure = _tl_word(words, "measure");
    figure->deployment = _tl_word(words, "deployment");
    figure->seed = _tl_word(words, "seed");
    figure->violations = _tl_word(words, "violations");
    figure->baseline = baseline;
    figure->ours = ours;
    _tl_number(words, "ratio", &figure->ratio);
    g_ptr_array_add(report->figures, figure);
    return true;
}

static tl_series *
_tl_series_of(tl_report *report, const char *source, const char *key)
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
_tl_read_point(tl_report *report, const char *source, GHashTable *words)
{
    double at_ms = 0;
    if (!_tl_number(words, "at_ms", &at_ms)) {
        return false;
    }
    g_autoptr(GList) keys = g_hash_table_get_keys(words);
    keys = g_list_sort(keys, (GCompareFunc)strcmp);
    for (GList *key = keys; key; key = key->next) {
        double value = 0;
        if (strcmp(key->data, "at_ms") != 0 &&
            _tl_number(words, key->data, &value)) {
            tl_series *series = _tl_series_of(report, source, key->data);
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
        g_autoptr(GHashTable) words = _tl_words(*line);
        if (g_hash_table_size(words) == 0) {
            continue;
        }
        report->lines++;
        if (!_tl_read_figure(report, words) &&
            !_tl_read_point(report, source, words)) {
            g_ptr_array_add(report->others, g_strdup(*line));
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
