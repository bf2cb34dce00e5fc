/*
 * reader.h: stand-ins' history files as events (prefix rd_).
 *
 *     rd_add_file(history, "e1", "/tmp/x/e1.history");
 *
 * Limits: lines that are not JSON objects (cut by a crash) are skipped.
 */
#ifndef LACEWING_CHAOS_READER_H
#define LACEWING_CHAOS_READER_H

#include "checker.h"

/* False when the file cannot be read. */
bool rd_add_file(hk_history *history, const char *server, const char *file);
/* One line; false when it holds nothing that the checker uses. */
bool rd_add_line(hk_history *history, const char *server, const char *line);

#endif
