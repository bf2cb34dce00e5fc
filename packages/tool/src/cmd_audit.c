/* lacewing audit, history: print the audit trail. history prints one line for
   each change, audit one for each edit. */
#include "client.h"

#include <stdio.h>

#define MS_PER_S 1000

static gint64 after = -1;
static gint64 limit = 50;
static char *who = NULL;
static char *group = NULL;
static gboolean refused = FALSE;

static const GOptionEntry options[] = {
    {"after", 'a', 0, G_OPTION_ARG_INT64, &after,
     "List versions after this one; default: the newest versions", "VERSION"},
    {"limit", 'l', 0, G_OPTION_ARG_INT64, &limit,
     "Number of versions to read; default 50", "N"},
    {"who", 0, 0, G_OPTION_ARG_STRING, &who,
     "Only changes whose author contains this text", "TEXT"},
    {"group", 'g', 0, G_OPTION_ARG_STRING, &group,
     "Only changes that edit this group", "GROUP"},
    {"refused", 'r', 0, G_OPTION_ARG_NONE, &refused,
     "List refused changes of the last day instead", NULL},
    {NULL},
};

static void
_tl_add_parameter(GString *path, const char *name, const char *value)
{
    if (value) {
        g_autofree char *escaped = g_uri_escape_string(value, NULL, FALSE);
        g_string_append_printf(path, "&%s=%s", name, escaped);
    }
}

static char *
_tl_audit_path(void)
{
    GString *path = g_string_new(NULL);
    g_string_printf(path, "audit?limit=%" G_GINT64_FORMAT, limit);
    if (after >= 0) {
        g_string_append_printf(path, "&after=%" G_GINT64_FORMAT, after);
    }
    _tl_add_parameter(path, "who", who);
    _tl_add_parameter(path, "group", group);
    _tl_add_parameter(path, "refused", refused ? "true" : NULL);
    return g_string_free(path, FALSE);
}

static char *
_tl_format_time(JsonObject *record)
{
    gint64 ms = json_object_get_int_member_with_default(record, "when_ms", 0);
    g_autoptr(GDateTime) when = g_date_time_new_from_unix_utc(ms / MS_PER_S);
    return g_date_time_format(when, "%Y-%m-%d %H:%M:%SZ");
}

static const char *
_tl_get_string(JsonObject *object, const char *name)
{
    return json_object_get_string_member_with_default(object, name, NULL);
}

static char *
_tl_format_change(JsonObject *change)
{
    const char *key = _tl_get_string(change, "key");
    const char *from = _tl_get_string(change, "from");
    const char *to = _tl_get_string(change, "to");
    if (!key) {
        return g_strdup_printf("%s [%s]", to ? "add" : "remove",
                               _tl_get_string(change, "group"));
    }
    return g_strdup_printf("[%s] %s: %s -> %s",
                           _tl_get_string(change, "group"), key,
                           from ? from : "(default)", to ? to : "(default)");
}

/* Adds a row for each edit, or only for the first edit if brief. The first row
   also has the cells that all edits of the record share. */
static void
_tl_add_record(tl_table *table, JsonObject *record, bool brief)
{
    JsonArray *changes = json_object_get_array_member(record, "changes");
    uint32_t count = changes ? json_array_get_length(changes) : 0;
    g_autofree char *when = _tl_format_time(record);
    g_autofree char *version = g_strdup_printf(
        "%" G_GINT64_FORMAT,
        json_object_get_int_member_with_default(record, "version", 0));
    const char *why = _tl_get_string(record, "why");
    const char *reason = _tl_get_string(record, "reason");
    const char *outcome = reason ? reason : _tl_get_string(record, "outcome");
    for (uint32_t i = 0; i < (brief ? 1 : MAX(count, 1)); i++) {
        g_autofree char *change =
            i < count
                ? _tl_format_change(json_array_get_object_element(changes, i))
                : NULL;
        g_autofree char *more =
            brief && count > 1
                ? g_strdup_printf("%s and %u more", change, count - 1)
                : g_strdup(change);
        const char *const cells[] = {
            i ? NULL : version,
            i ? NULL : when,
            i ? NULL : _tl_get_string(record, "who"),
            i ? NULL : outcome,
            more,
            i ? NULL : (why ? why : _tl_get_string(record, "note"))};
        tl_table_add(table, cells);
    }
}

static void
_tl_print_trail(JsonNode *response, bool brief)
{
    g_autoptr(tl_table) table = tl_table_create(
        "VERSION", "WHEN", "WHO", "OUTCOME", "CHANGE", "NOTE", NULL);
    JsonArray *items =
        json_object_get_array_member(json_node_get_object(response), "items");
    for (uint32_t i = 0; items && i < json_array_get_length(items); i++) {
        _tl_add_record(table, json_array_get_object_element(items, i), brief);
    }
    g_autofree char *text = tl_table_query_text(table, false);
    fputs(text, stdout);
}

static tl_exit
_tl_run_trail(int argc, char **argv, bool brief)
{
    if (!tl_parse_client_options(options, NULL, "Prints the audit trail.",
                                 &argc, &argv)) {
        return TL_EXIT_USAGE;
    }
    g_autoptr(tl_client) client = tl_client_create();
    if (!client) {
        return TL_EXIT_USAGE;
    }
    g_autofree char *path = _tl_audit_path();
    g_autoptr(JsonNode) response = NULL;
    er_status status = {0};
    if (tl_client_call(client, "GET", path, NULL, &response, &status) !=
        ER_OK) {
        return tl_fail(&status);
    }
    if (tl_client_is_json_requested()) {
        tl_print_response(response, true);
    }
    else {
        _tl_print_trail(response, brief);
    }
    return TL_EXIT_OK;
}

tl_exit
tl_run_audit(int argc, char **argv)
{
    return _tl_run_trail(argc, argv, false);
}

tl_exit
tl_run_history(int argc, char **argv)
{
    return _tl_run_trail(argc, argv, true);
}
