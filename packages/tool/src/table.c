#include "command.h"

#include <stdarg.h>
#include <string.h>

#define COLUMN_GAP 2 /* spaces */

struct tl_table {
    GPtrArray *columns; /* char *: names */
    GPtrArray *cells;   /* char *, row by row; NULL for an empty cell */
};

static tl_table *
_tl_table_create(void)
{
    tl_table *table = g_new0(tl_table, 1);
    table->columns = g_ptr_array_new_with_free_func(g_free);
    table->cells = g_ptr_array_new_with_free_func(g_free);
    return table;
}

tl_table *
tl_table_create_columns(const GPtrArray *columns)
{
    tl_table *table = _tl_table_create();
    for (uint32_t i = 0; i < columns->len; i++) {
        g_ptr_array_add(table->columns,
                        g_strdup(g_ptr_array_index(columns, i)));
    }
    return table;
}

tl_table *
tl_table_create(const char *first, ...)
{
    tl_table *table = _tl_table_create();
    va_list names;
    va_start(names, first);
    for (const char *name = first; name; name = va_arg(names, const char *)) {
        g_ptr_array_add(table->columns, g_strdup(name));
    }
    va_end(names);
    return table;
}

void
tl_table_destroy(tl_table *table)
{
    if (table) {
        g_ptr_array_unref(table->columns);
        g_ptr_array_unref(table->cells);
        g_free(table);
    }
}

void
tl_table_add(tl_table *table, const char *const *cells)
{
    for (uint32_t i = 0; i < table->columns->len; i++) {
        g_ptr_array_add(table->cells, g_strdup(cells[i]));
    }
}

static const char *
_tl_cell(const tl_table *table, uint32_t row, uint32_t column)
{
    return g_ptr_array_index(table->cells, row * table->columns->len + column);
}

static uint32_t
_tl_count_rows(const tl_table *table)
{
    g_assert(table->columns->len > 0);
    return table->cells->len / table->columns->len;
}

static char *
_tl_table_to_json(const tl_table *table)
{
    g_autoptr(JsonBuilder) builder = json_builder_new_immutable();
    json_builder_begin_array(builder);
    for (uint32_t row = 0; row < _tl_count_rows(table); row++) {
        json_builder_begin_object(builder);
        for (uint32_t i = 0; i < table->columns->len; i++) {
            const char *cell = _tl_cell(table, row, i);
            json_builder_set_member_name(builder,
                                         g_ptr_array_index(table->columns, i));
            if (cell) {
                json_builder_add_string_value(builder, cell);
            }
            else {
                json_builder_add_null_value(builder);
            }
        }
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
    g_autoptr(JsonNode) root = json_builder_get_root(builder);
    g_autofree char *text = json_to_string(root, TRUE);
    return g_strconcat(text, "\n", NULL);
}

static size_t
_tl_column_width(const tl_table *table, uint32_t column)
{
    size_t width = strlen(g_ptr_array_index(table->columns, column));
    for (uint32_t row = 0; row < _tl_count_rows(table); row++) {
        const char *cell = _tl_cell(table, row, column);
        width = MAX(width, cell ? (size_t)g_utf8_strlen(cell, -1) : 0);
    }
    return width;
}

static void
_tl_append_cell(GString *text, const char *cell, size_t width, bool last)
{
    g_string_append(text, cell ? cell : "");
    if (last) {
        g_string_append_c(text, '\n');
        return;
    }
    size_t length = cell ? (size_t)g_utf8_strlen(cell, -1) : 0;
    g_string_append_printf(text, "%*s", (int)(width - length + COLUMN_GAP),
                           "");
}

char *
tl_table_query_text(const tl_table *table, bool json)
{
    if (json) {
        return _tl_table_to_json(table);
    }
    uint32_t columns = table->columns->len;
    g_autoptr(GArray) widths =
        g_array_sized_new(FALSE, TRUE, sizeof(size_t), columns);
    GString *text = g_string_new(NULL);
    for (uint32_t i = 0; i < columns; i++) {
        size_t width = _tl_column_width(table, i);
        g_array_append_val(widths, width);
        _tl_append_cell(text, g_ptr_array_index(table->columns, i), width,
                        i + 1 == columns);
    }
    for (uint32_t row = 0; row < _tl_count_rows(table); row++) {
        for (uint32_t i = 0; i < columns; i++) {
            _tl_append_cell(text, _tl_cell(table, row, i),
                            g_array_index(widths, size_t, i),
                            i + 1 == columns);
        }
    }
    return g_string_free(text, FALSE);
}
