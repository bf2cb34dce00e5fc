#include "event_stream.h"

#include <string.h>

struct es_parser {
    GString *buffer;
    size_t read_offset;
    bool failed;
};

es_parser *
es_create(void)
{
    es_parser *parser = g_new0(es_parser, 1);
    parser->buffer = g_string_new(NULL);
    return parser;
}

void
es_destroy(es_parser *parser)
{
    if (parser) {
        g_string_free(parser->buffer, TRUE);
        g_free(parser);
    }
}

void
es_push(es_parser *parser, const char *bytes, size_t size)
{
    g_string_erase(parser->buffer, 0, (gssize)parser->read_offset);
    parser->read_offset = 0;
    g_string_append_len(parser->buffer, bytes, (gssize)size);
}

static char *
_es_take_line(es_parser *parser)
{
    char *start = parser->buffer->str + parser->read_offset;
    size_t left = parser->buffer->len - parser->read_offset;
    char *end = memchr(start, '\n', left);
    if (!end) {
        parser->failed = parser->failed || left > ES_LINE_BYTES_MAX;
        return NULL;
    }
    *end = '\0';
    if (end > start && end[-1] == '\r') {
        end[-1] = '\0';
    }
    parser->read_offset = (size_t)(end + 1 - parser->buffer->str);
    return start;
}

const char *
es_next(es_parser *parser)
{
    const char *line;
    while (!parser->failed && (line = _es_take_line(parser))) {
        if (g_str_has_prefix(line, "data:")) {
            const char *data = line + strlen("data:");
            return *data == ' ' ? data + 1 : data;
        }
    }
    return NULL;
}

bool
es_query_failed(const es_parser *parser)
{
    return parser->failed;
}
