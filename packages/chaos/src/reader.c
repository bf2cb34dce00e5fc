#include "reader.h"

#include "shell.h"

/* "event" of a history entry -> type. */
static const struct {
    const char *name;
    hk_type type;
} _rd_event_types[] = {
    {"run", HK_RUN},
    {"start", HK_START},
    {"completion", HK_END},
    {"evict", HK_EVICT},
};

static hk_type
_rd_find_type(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(_rd_event_types); i++) {
        if (g_str_equal(name, _rd_event_types[i].name)) {
            return _rd_event_types[i].type;
        }
    }
    return HK_TYPE_DEFAULT;
}

bool
rd_add_line(hk_history *history, const char *server, const char *line)
{
    g_autoptr(JsonNode) root = json_from_string(line, NULL);
    if (!root || !JSON_NODE_HOLDS_OBJECT(root)) {
        return false;
    }
    JsonObject *entry = json_node_get_object(root);
    hk_type type = _rd_find_type(sh_query_text(entry, "event", ""));
    if (type == HK_TYPE_DEFAULT) {
        return false;
    }
    hk_add(
        history,
        &(hk_event){.type = type,
                    .at_us = sh_query_int(entry, "at_us", 0),
                    .subject = server,
                    .incarnation = sh_query_text(entry, "incarnation", NULL),
                    .attempt = sh_query_text(entry, "attempt", NULL),
                    .model = sh_query_text(entry, "model", NULL),
                    .key = sh_query_text(entry, "key", NULL),
                    .prompt = sh_query_text(entry, "prompt", NULL)});
    return true;
}

bool
rd_add_file(hk_history *history, const char *server, const char *file)
{
    g_autofree char *text = NULL;
    if (!g_file_get_contents(file, &text, NULL, NULL)) {
        return false;
    }
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    for (char **line = lines; *line; line++) {
        if (**line) {
            rd_add_line(history, server, *line);
        }
    }
    return true;
}
