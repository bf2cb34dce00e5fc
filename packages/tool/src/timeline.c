#include "timeline.h"

#include <stdbool.h>
#include <stdint.h>
#include <string.h>

/* A change of state this long before the request may have affected it: two
   leases and the pause after an interruption. */
#define _SR_BEFORE_US (15 * G_USEC_PER_SEC)
/* The platform reports a lost server some time after its responses broke. */
#define _SR_AFTER_US (5 * G_USEC_PER_SEC)
/* Format of the time of a line; d stands for a digit. */
#define _SR_TIME_FORMAT "dddd-dd-ddTdd:dd:dd.ddddddZ "

typedef struct _sr_line {
    int64_t at_us;   /* since the Unix epoch */
    uint32_t number; /* in the order read; sorts lines of the same time */
    char *instance;
    char *message; /* part, text and fields: what follows the level */
    char *request; /* NULL: none */
    char *server;  /* NULL: none */
} _sr_line;

struct sr_timeline {
    char *request;
    GPtrArray *lines; /* _sr_line */
};

/* Parts (LG_ITEMS of lacewing/log.h) whose lines show what an instance knows
   of the servers, the leases, the store, the configuration and its peers. */
static const char *const _sr_state_parts[] = {"fleet", "orders", "lease",
                                              "store", "config", "daemon",
                                              "peers", "log",    NULL};

/* -- private: lines ------------------------------------------------------- */

static void
_sr_free_line(void *data)
{
    _sr_line *line = data;
    g_free(line->instance);
    g_free(line->message);
    g_free(line->request);
    g_free(line->server);
    g_free(line);
}

/* The value of a field " NAME=VALUE", without its quotes and escapes. Returns
   NULL if the line has no such field. */
static char *
_sr_field(const char *text, const char *name)
{
    g_autofree char *key = g_strdup_printf(" %s=", name);
    const char *at = strstr(text, key);
    if (!at) {
        return NULL;
    }
    at += strlen(key);
    if (*at != '"') {
        return g_strndup(at, strcspn(at, " "));
    }
    const char *end = at + 1;
    while (*end && *end != '"') {
        end += end[0] == '\\' && end[1] ? 2 : 1;
    }
    g_autofree char *quoted = g_strndup(at + 1, (gsize)(end - at - 1));
    return g_strcompress(quoted);
}

static bool
_sr_is_time(const char *text)
{
    const char *format = _SR_TIME_FORMAT;
    while (*format &&
           (*format == 'd' ? g_ascii_isdigit(*text) : *format == *text)) {
        format++;
        text++;
    }
    return *format == 0;
}

/* The place of the time in a line, which may start with other text. Returns
   NULL if the line has none. */
static const char *
_sr_find_time(const char *line)
{
    while (*line && !_sr_is_time(line)) {
        line++;
    }
    return *line ? line : NULL;
}

static _sr_line *
_sr_parse(const char *file, const char *text, uint32_t number)
{
    const char *start = _sr_find_time(text);
    if (!start) {
        return NULL;
    }
    g_autofree char *time = g_strndup(start, strcspn(start, " "));
    g_autoptr(GDateTime) at = g_date_time_new_from_iso8601(time, NULL);
    const char *message = start + strlen(time);
    message += strspn(message, " ");
    message += strcspn(message, " "); /* the level */
    if (!at || !*message) {
        return NULL;
    }
    _sr_line *line = g_new0(_sr_line, 1);
    line->at_us = g_date_time_to_unix(at) * G_USEC_PER_SEC +
                  g_date_time_get_microsecond(at);
    line->number = number;
    line->message = g_strdup(message + 1);
    line->instance = _sr_field(message, "instance");
    if (!line->instance) {
        line->instance = g_path_get_basename(file);
    }
    line->request = _sr_field(message, "request");
    line->server = _sr_field(message, "server");
    return line;
}

/* -- private: the timeline ------------------------------------------------ */

static bool
_sr_is_state_change(const _sr_line *line)
{
    for (uint32_t i = 0; _sr_state_parts[i]; i++) {
        size_t length = strlen(_sr_state_parts[i]);
        if (strncmp(line->message, _sr_state_parts[i], length) == 0 &&
            line->message[length] == ':') {
            return true;
        }
    }
    return false;
}

static gint
_sr_compare_time(gconstpointer a, gconstpointer b)
{
    const _sr_line *first = *(const _sr_line *const *)a;
    const _sr_line *second = *(const _sr_line *const *)b;
    if (first->at_us != second->at_us) {
        return first->at_us < second->at_us ? -1 : 1;
    }
    return first->number < second->number ? -1 : 1;
}

/* The lines of the request itself, by time. Adds the servers that they name to
   servers, which borrows their names. */
static GPtrArray *
_sr_select_own_lines(const sr_timeline *timeline, GHashTable *servers)
{
    GPtrArray *own_lines = g_ptr_array_new();
    for (guint i = 0; i < timeline->lines->len; i++) {
        _sr_line *line = timeline->lines->pdata[i];
        if (g_strcmp0(line->request, timeline->request) != 0) {
            continue;
        }
        g_ptr_array_add(own_lines, line);
        if (line->server && strcmp(line->server, "-") != 0) {
            g_hash_table_add(servers, line->server);
        }
    }
    g_ptr_array_sort(own_lines, _sr_compare_time);
    return own_lines;
}

/* -- public --------------------------------------------------------------- */

sr_timeline *
sr_create(const char *request)
{
    sr_timeline *timeline = g_new0(sr_timeline, 1);
    timeline->request = g_strdup(request);
    timeline->lines = g_ptr_array_new_with_free_func(_sr_free_line);
    return timeline;
}

void
sr_destroy(sr_timeline *timeline)
{
    g_ptr_array_unref(timeline->lines);
    g_free(timeline->request);
    g_free(timeline);
}

void
sr_add(sr_timeline *timeline, const char *file, const char *text)
{
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    for (uint32_t i = 0; lines[i]; i++) {
        _sr_line *line = _sr_parse(file, lines[i], timeline->lines->len);
        if (line) {
            g_ptr_array_add(timeline->lines, line);
        }
    }
}

char *
sr_query_text(const sr_timeline *timeline)
{
    g_autoptr(GHashTable) servers = g_hash_table_new(g_str_hash, g_str_equal);
    g_autoptr(GPtrArray) selected = _sr_select_own_lines(timeline, servers);
    if (selected->len == 0) {
        return NULL;
    }
    int64_t first_us = ((const _sr_line *)selected->pdata[0])->at_us;
    int64_t last_us =
        ((const _sr_line *)selected->pdata[selected->len - 1])->at_us;
    for (guint i = 0; i < timeline->lines->len; i++) {
        _sr_line *line = timeline->lines->pdata[i];
        /* If the request went to no server, lines of all servers count. */
        bool of_other_server = line->server && g_hash_table_size(servers) &&
                               !g_hash_table_contains(servers, line->server);
        if (!line->request && !of_other_server && _sr_is_state_change(line) &&
            line->at_us >= first_us - _SR_BEFORE_US &&
            line->at_us <= last_us + _SR_AFTER_US) {
            g_ptr_array_add(selected, line);
        }
    }
    g_ptr_array_sort(selected, _sr_compare_time);
    GString *text = g_string_new("");
    for (guint i = 0; i < selected->len; i++) {
        const _sr_line *line = selected->pdata[i];
        g_string_append_printf(text, "%+8" G_GINT64_FORMAT " ms %s %s %s\n",
                               (line->at_us - first_us) / 1000,
                               line->request ? "*" : " ", line->instance,
                               line->message);
    }
    return g_string_free(text, FALSE);
}
