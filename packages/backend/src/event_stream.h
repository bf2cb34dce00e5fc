/*
 * event_stream.h: server-sent events out of bytes (prefix se_).
 *
 * Bytes go in as they arrive; whole "data:" lines come out one at a time.
 *
 *     se_push(parser, bytes, size);
 *     while ((data = se_next(parser))) { ... }
 *
 * Limits: data lines only; a line longer than SE_LINE_BYTES_MAX fails the
 * parser. The text is valid until the next call.
 */
#ifndef LACEWING_EVENT_STREAM_H
#define LACEWING_EVENT_STREAM_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#define SE_LINE_BYTES_MAX (256 * 1024)

typedef struct se_parser se_parser;

se_parser *se_create(void);
void se_destroy(se_parser *parser);
void se_push(se_parser *parser, const char *bytes, size_t size);
/* Next data line without its field name; NULL when there is none. */
const char *se_next(se_parser *parser);
bool se_query_failed(const se_parser *parser);

#endif
