/*
 * event_stream.h: server-sent events out of bytes (prefix es_).
 *
 * Bytes go in as they arrive; whole "data:" lines come out one at a time.
 *
 *     es_push(parser, bytes, size);
 *     while ((data = es_next(parser))) { ... }
 *
 * Limits: data lines only; a line longer than ES_LINE_BYTES_MAX fails the
 * parser. The text is valid until the next call.
 */
#ifndef LACEWING_EVENT_STREAM_H
#define LACEWING_EVENT_STREAM_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#define ES_LINE_BYTES_MAX (256 * 1024)

typedef struct es_parser es_parser;

es_parser *es_create(void);
void es_destroy(es_parser *parser);
void es_push(es_parser *parser, const char *bytes, size_t size);
/* Next data line without its field name; NULL when there is none. */
const char *es_next(es_parser *parser);
bool es_query_failed(const es_parser *parser);

#endif
