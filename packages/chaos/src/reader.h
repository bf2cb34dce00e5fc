/*
 * reader.h: reads the history files of stand-ins into a history (prefix rd_).
 *
 *     rd_add_file(history, "e1", "/tmp/x/e1.history");
 *
 * Limits: lines that are not JSON objects are skipped; a crash of the stand-in
 * can truncate its last line.
 */
#ifndef LACEWING_CHAOS_READER_H
#define LACEWING_CHAOS_READER_H

#include "checker.h"

/* Adds the events of each line, with server as their subject. Returns false if
   the file cannot be read. */
bool rd_add_file(hk_history *history, const char *server, const char *file);
/* Adds the event of one line. Returns false if the line holds none that the
   checker uses. */
bool rd_add_line(hk_history *history, const char *server, const char *line);

#endif
