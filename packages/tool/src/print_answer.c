/* Prints JSON answers as text, lists of objects as tables. */
#include "command.h"

#include <stdio.h>
#include <string.h>

#define CELL_CHARS_MAX 60 /* longer texts are shortened with "..." */

char *
tl_cell_text(JsonNode *value)
{
    if (JSON_NODE_HOLDS_NULL(value)) {
        return NULL;
    }
    char *text = JSON_NODE_HOLDS_VALUE(value) &&
                         json_node_get_value_type(value) == G_TYPE_STRING
                     ? g_strdup(json_node_get_string(value))
                     : json_to_string(value, FALSE);
    if (g_utf8_strlen(text, -1) > CELL_CHARS_MAX) {
        g_autofree char *whole = text;
        g_autofree char *head = g_utf8_substring(whole, 0, CELL_CHARS_MAX - 3);
        text = g_strconcat(head, "...", NULL);
    }
    return text;
}

/* -- private: a list of objects ------------------------------------------- */

static void
_tl_collect_columns(JsonObject *object, const char *name, JsonNode *value,
                    void *data)
{
    (void)object;
    (void)value;
    GPtrArray *columns = data;
    for (uint32_t i = 0; i < columns->len; i++) {
        if (strcmp(g_ptr_array_index(columns, i), name) == 0) {
            return;
        }
    }
    g_ptr_array_add(columns, (char *)name);
}

/* Returns the member names of all objects, in order of first appearance. */
static GPtrArray *
_tl_columns(JsonArray *list)
{
    GPtrArray *columns = g_ptr_array_new();
    for (uint32_t i = 0; i < json_array_get_length(list); i++) {
        JsonNode *item = json_array_get_element(list, i);
        if (JSON_NODE_HOLDS_OBJECT(item)) {
            json_object_foreach_member(json_node_get_object(item),
                                       _tl_collect_columns, columns);
        }
    }
    return columns;
}

static void
_tl_add_object(tl_table *table, const GPtrArray *columns, JsonObject *object)
{
    g_autoptr(GPtrArray) cells = g_ptr_array_new_with_free_func(g_free);
    for (uint32_t i = 0; i < columns->len; i++) {
        JsonNode *value =
            json_object_get_member(object, g_ptr_array_index(columns, i));
        g_ptr_array_add(cells, value ? tl_cell_text(value) : NULL);
    }
    tl_table_add(table, (const char *const *)cells->pdata);
}

static void
_tl_print_list(JsonArray *list)
{
    g_autoptr(GPtrArray) columns = _tl_columns(list);
    if (columns->len == 0) {
        return;
    }
    g_autoptr(tl_table) table = tl_table_create_columns(columns);
    for (uint32_t i = 0; i < json_array_get_length(list); i++) {
        JsonNode *item = json_array_get_element(list, i);
        if (JSON_NODE_HOLDS_OBJECT(item)) {
            _tl_add_object(table, columns, json_node_get_object(item));
        }
    }
    g_autofree char *text = tl_table_query_text(table, false);
    fputs(text, stdout);
}

/* -- private: an object --------------------------------------------------- */

/* Returns true for a list whose first element is an object. */
static bool
_tl_is_table(JsonNode *value)
{
    if (!JSON_NODE_HOLDS_ARRAY(value)) {
        return false;
    }
    JsonArray *list = json_node_get_array(value);
    return json_array_get_length(list) > 0 &&
           JSON_NODE_HOLDS_OBJECT(json_array_get_element(list, 0));
}

/* Prints either the members that are tables or the others, as *data says. */
static void
_tl_print_member(JsonObject *object, const char *name, JsonNode *value,
                 void *data)
{
    (void)object;
    bool tables = *(bool *)data;
    if (_tl_is_table(value) != tables) {
        return;
    }
    if (tables) {
        printf("\n%s\n", name);
        _tl_print_list(json_node_get_array(value));
        return;
    }
    g_autofree char *text = tl_cell_text(value);
    printf("%-20s %s\n", name, text ? text : "");
}

static void
_tl_print_object(JsonObject *object)
{
    bool tables = false;
    json_object_foreach_member(object, _tl_print_member, &tables);
    tables = true;
    json_object_foreach_member(object, _tl_print_member, &tables);
}

/* -- public --------------------------------------------------------------- */

void
tl_print_response(JsonNode *answer, bool json)
{
    if (json) {
        g_autofree char *text = json_to_string(answer, TRUE);
        puts(text);
    }
    else if (JSON_NODE_HOLDS_OBJECT(answer)) {
        _tl_print_object(json_node_get_object(answer));
    }
    else if (JSON_NODE_HOLDS_ARRAY(answer)) {
        _tl_print_list(json_node_get_array(answer));
    }
}
