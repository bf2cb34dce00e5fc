/*
 * event_stream.h: parser of server-sent events (prefix se_).
 *
 * Bytes are pushed as they arrive, in pieces of any size. se_next() returns
 * the complete "data:" lines one at a time.
 *
 *     se_push(parser, bytes, size);
 *     while ((data = se_next(parser))) { ... }
 *
 * Limits: all lines but data lines are skipped. An unfinished line longer than
 * SE_LINE_BYTES_MAX makes the parser fail. The returned text is valid until
 * the next call.
 */
#ifndef LACEWING_EVENT_STREAM_H
#define LACEWING_EVENT_STREAM_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SE_LINE_BYTES_MAX (256 * 1024)

typedef struct se_parser se_parser;

se_parser *se_create(void);
void se_destroy(se_parser *parser);
void se_push(se_parser *parser, const char *bytes, size_t size);
/* Returns the next data line without its field name, or NULL if no complete
   one is left. */
const char *se_next(se_parser *parser);
/* Returns how many bytes were searched or moved so far; it grows linearly with
   the bytes pushed, however these are cut into pieces. */
uint64_t se_query_work_bytes(const se_parser *parser);
/* Returns true if a line was too long. No further line is returned. */
bool se_query_failed(const se_parser *parser);

#endif
