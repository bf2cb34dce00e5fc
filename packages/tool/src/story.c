#include "story.h"

#include <stdbool.h>
#include <stdint.h>
#include <string.h>

/* Beliefs that changed so long before the request may have decided it: two
   leases and the pause after an interruption. */
#define _SR_BEFORE_US (15 * G_USEC_PER_SEC)
/* A lost server is told by the platform some time after it broke answers. */
#define _SR_AFTER_US (5 * G_USEC_PER_SEC)
/* d: a digit */
#define _SR_STAMP "dddd-dd-ddTdd:dd:dd.ddddddZ "

typedef struct _sr_line {
    int64_t at_us;
    uint32_t number; /* as read */
    char *instance;
    char *what; /* part, text and fields */
    char *request;
    char *server;
} _sr_line;

struct sr_story {
    char *request;
    GPtrArray *lines; /* _sr_line */
};

/* Parts whose lines tell what an instance believes. */
static const char *const _sr_parts[] = {"fleet", "orders", "lease",
                                        "store", "config", "daemon",
                                        "peers", "log",    NULL};

/* -- private: lines ------------------------------------------------------- */

static void
_sr_free_line(void *data)
{
    _sr_line *line = data;
    g_free(line->instance);
    g_free(line->what);
    g_free(line->request);
    g_free(line->server);
    g_free(line);
}

/* The value of a field " NAME=VALUE", unquoted; NULL: none. */
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
_sr_is_stamp(const char *text)
{
    const char *shape = _SR_STAMP;
    while (*shape &&
           (*shape == 'd' ? g_ascii_isdigit(*text) : *shape == *text)) {
        shape++;
        text++;
    }
    return *shape == 0;
}

/* The time of a line, which other words may precede. */
static const char *
_sr_stamp(const char *line)
{
    while (*line && !_sr_is_stamp(line)) {
        line++;
    }
    return *line ? line : NULL;
}

static _sr_line *
_sr_parse(const char *file, const char *text, uint32_t number)
{
    const char *stamp = _sr_stamp(text);
    if (!stamp) {
        return NULL;
    }
    g_autofree char *time = g_strndup(stamp, strcspn(stamp, " "));
    g_autoptr(GDateTime) at = g_date_time_new_from_iso8601(time, NULL);
    const char *what = stamp + strlen(time);
    what += strspn(what, " ");
    what += strcspn(what, " "); /* the level */
    if (!at || !*what) {
        return NULL;
    }
    _sr_line *line = g_new0(_sr_line, 1);
    line->at_us = g_date_time_to_unix(at) * G_USEC_PER_SEC +
                  g_date_time_get_microsecond(at);
    line->number = number;
    line->what = g_strdup(what + 1);
    line->instance = _sr_field(what, "instance");
    if (!line->instance) {
        line->instance = g_path_get_basename(file);
    }
    line->request = _sr_field(what, "request");
    line->server = _sr_field(what, "server");
    return line;
}

/* -- private: the story --------------------------------------------------- */

static bool
_sr_is_belief(const _sr_line *line)
{
    for (uint32_t i = 0; _sr_parts[i]; i++) {
        size_t length = strlen(_sr_parts[i]);
        if (strncmp(line->what, _sr_parts[i], length) == 0 &&
            line->what[length] == ':') {
            return true;
        }
    }
    return false;
}

static gint
_sr_by_time(gconstpointer a, gconstpointer b)
{
    const _sr_line *first = *(const _sr_line *const *)a;
    const _sr_line *second = *(const _sr_line *const *)b;
    if (first->at_us != second->at_us) {
        return first->at_us < second->at_us ? -1 : 1;
    }
    return first->number < second->number ? -1 : 1;
}

/* The request's own lines; adds the servers that they name. */
static GPtrArray *
_sr_own_lines(const sr_story *story, GHashTable *servers)
{
    GPtrArray *own = g_ptr_array_new();
    for (guint i = 0; i < story->lines->len; i++) {
        _sr_line *line = story->lines->pdata[i];
        if (g_strcmp0(line->request, story->request) != 0) {
            continue;
        }
        g_ptr_array_add(own, line);
        if (line->server && strcmp(line->server, "-") != 0) {
            g_hash_table_add(servers, line->server);
        }
    }
    g_ptr_array_sort(own, _sr_by_time);
    return own;
}

/* -- public --------------------------------------------------------------- */

sr_story *
sr_create(const char *request)
{
    sr_story *story = g_new0(sr_story, 1);
    story->request = g_strdup(request);
    story->lines = g_ptr_array_new_with_free_func(_sr_free_line);
    return story;
}

void
sr_destroy(sr_story *story)
{
    g_ptr_array_unref(story->lines);
    g_free(story->request);
    g_free(story);
}

void
sr_add(sr_story *story, const char *file, const char *text)
{
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    for (uint32_t i = 0; lines[i]; i++) {
        _sr_line *line = _sr_parse(file, lines[i], story->lines->len);
        if (line) {
            g_ptr_array_add(story->lines, line);
        }
    }
}

char *
sr_query_text(const sr_story *story)
{
    g_autoptr(GHashTable) servers = g_hash_table_new(g_str_hash, g_str_equal);
    g_autoptr(GPtrArray) told = _sr_own_lines(story, servers);
    if (told->len == 0) {
        return NULL;
    }
    int64_t first_us = ((const _sr_line *)told->pdata[0])->at_us;
    int64_t last_us = ((const _sr_line *)told->pdata[told->len - 1])->at_us;
    for (guint i = 0; i < story->lines->len; i++) {
        _sr_line *line = story->lines->pdata[i];
        /* One that went to no server: what was believed of all counts. */
        bool of_others = line->server && g_hash_table_size(servers) &&
                         !g_hash_table_contains(servers, line->server);
        if (!line->request && !of_others && _sr_is_belief(line) &&
            line->at_us >= first_us - _SR_BEFORE_US &&
            line->at_us <= last_us + _SR_AFTER_US) {
            g_ptr_array_add(told, line);
        }
    }
    g_ptr_array_sort(told, _sr_by_time);
    GString *text = g_string_new("");
    for (guint i = 0; i < told->len; i++) {
        const _sr_line *line = told->pdata[i];
        g_string_append_printf(text, "%+8" G_GINT64_FORMAT " ms %s %s %s\n",
                               (line->at_us - first_us) / 1000,
                               line->request ? "*" : " ", line->instance,
                               line->what);
    }
    return g_string_free(text, FALSE);
}
