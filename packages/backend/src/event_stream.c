#include "event_stream.h"

#include <string.h>

struct se_parser {
    GString *buffer;
    size_t read_offset; /* end of the lines already returned */
    size_t searched;    /* offset up to which no further line ends */
    bool failed;
    uint64_t work_bytes;
};

se_parser *
se_create(void)
{
    se_parser *parser = g_new0(se_parser, 1);
    parser->buffer = g_string_new(NULL);
    return parser;
}

void
se_destroy(se_parser *parser)
{
    if (parser) {
        g_string_free(parser->buffer, TRUE);
        g_free(parser);
    }
}

void
se_push(se_parser *parser, const char *bytes, size_t size)
{
    if (parser->read_offset) {
        parser->work_bytes += parser->buffer->len - parser->read_offset;
        g_string_erase(parser->buffer, 0, (gssize)parser->read_offset);
        parser->searched -= parser->read_offset;
        parser->read_offset = 0;
    }
    g_string_append_len(parser->buffer, bytes, (gssize)size);
}

/* Returns the next complete line without its line end, or NULL. */
static char *
_se_take_line(se_parser *parser)
{
    char *start = parser->buffer->str + parser->read_offset;
    size_t left = parser->buffer->len - parser->read_offset;
    char *unsearched = parser->buffer->str + parser->searched;
    size_t unsearched_bytes = parser->buffer->len - parser->searched;
    char *end = memchr(unsearched, '\n', unsearched_bytes);
    parser->work_bytes +=
        end ? (size_t)(end + 1 - unsearched) : unsearched_bytes;
    if (!end) {
        parser->searched = parser->buffer->len;
        parser->failed = parser->failed || left > SE_LINE_BYTES_MAX;
        return NULL;
    }
    *end = '\0';
    if (end > start && end[-1] == '\r') {
        end[-1] = '\0';
    }
    parser->read_offset = (size_t)(end + 1 - parser->buffer->str);
    parser->searched = parser->read_offset;
    return start;
}

const char *
se_next(se_parser *parser)
{
    const char *line;
    while (!parser->failed && (line = _se_take_line(parser))) {
        if (g_str_has_prefix(line, "data:")) {
            const char *data = line + strlen("data:");
            return *data == ' ' ? data + 1 : data;
        }
    }
    return NULL;
}

uint64_t
se_query_work_bytes(const se_parser *parser)
{
    return parser->work_bytes;
}

bool
se_query_failed(const se_parser *parser)
{
    return parser->failed;
}
