#include "history.h"

#include <inttypes.h>
#include <json-glib/json-glib.h>
#include <stdio.h>

struct hs_history {
    FILE *file;
    GString *line; /* the entry between hs_begin() and hs_end() */
    GPtrArray *entries;
    uint64_t dropped; /* entries beyond HS_ENTRIES_MAX */
};

/* -- private -------------------------------------------------------------- */

static void
_hs_add_json_string(GString *line, const char *text)
{
    g_autoptr(JsonNode) node = json_node_new(JSON_NODE_VALUE);
    json_node_set_string(node, text);
    g_autofree char *quoted = json_to_string(node, FALSE);
    g_string_append(line, quoted);
}

/* -- public --------------------------------------------------------------- */

hs_history *
hs_create(const char *file)
{
    hs_history *history = g_new0(hs_history, 1);
    history->file = file ? fopen(file, "ae") : NULL;
    history->line = g_string_new(NULL);
    history->entries = g_ptr_array_new_with_free_func(g_free);
    return history;
}

void
hs_destroy(hs_history *history)
{
    if (!history) {
        return;
    }
    if (history->file) {
        fclose(history->file);
    }
    g_string_free(history->line, TRUE);
    g_ptr_array_unref(history->entries);
    g_free(history);
}

void
hs_begin(hs_history *history, const char *event)
{
    g_string_printf(history->line, "{\"event\":\"%s\",\"at_us\":%" PRId64,
                    event, g_get_real_time());
}

void
hs_add_text(hs_history *history, const char *name, const char *text)
{
    if (text) {
        g_string_append_printf(history->line, ",\"%s\":", name);
        _hs_add_json_string(history->line, text);
    }
}

void
hs_add_int(hs_history *history, const char *name, int64_t number)
{
    g_string_append_printf(history->line, ",\"%s\":%" PRId64, name, number);
}

void
hs_add_bool(hs_history *history, const char *name, bool value)
{
    g_string_append_printf(history->line, ",\"%s\":%s", name,
                           value ? "true" : "false");
}

void
hs_end(hs_history *history)
{
    g_string_append_c(history->line, '}');
    if (history->file) {
        fprintf(history->file, "%s\n", history->line->str);
        fflush(history->file);
    }
    if (history->entries->len >= HS_ENTRIES_MAX) {
        history->dropped++;
        return;
    }
    g_ptr_array_add(history->entries, g_strdup(history->line->str));
}

char *
hs_query_json(const hs_history *history)
{
    GString *page = g_string_new(NULL);
    g_string_printf(page, "{\"dropped\":%" PRIu64 ",\"events\":[",
                    history->dropped);
    for (guint i = 0; i < history->entries->len; i++) {
        g_string_append(page, i ? ",\n" : "\n");
        g_string_append(page, g_ptr_array_index(history->entries, i));
    }
    g_string_append(page, "]}");
    return g_string_free(page, FALSE);
}
