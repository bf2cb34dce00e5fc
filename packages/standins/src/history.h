/*
 * history.h: the record of what a stand-in did (prefix hs_).
 *
 * Tests compare it with the answers that callers got. Each entry is one JSON
 * object on a line: "event", "at_us" (CLOCK_REALTIME) and fields. With a file,
 * each entry is flushed to it at once, so that it survives a crash of the
 * stand-in.
 *
 *     hs_begin(history, "run");
 *     hs_add_text(history, "key", key);
 *     hs_add_int(history, "count", 1);
 *     hs_end(history);
 *
 * Limits: HS_ENTRIES_MAX entries in memory; later ones are only counted as
 * dropped, but still written to the file.
 */
#ifndef LACEWING_STANDIN_HISTORY_H
#define LACEWING_STANDIN_HISTORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define HS_ENTRIES_MAX 200000

typedef struct hs_history hs_history;

/* The file is appended to; if NULL or not writable, only memory is used. */
hs_history *hs_create(const char *file);
void hs_destroy(hs_history *history);

/* Starts an entry; hs_end() completes it. */
void hs_begin(hs_history *history, const char *event);
/* Adds a field; omits it if text is NULL. */
void hs_add_text(hs_history *history, const char *name, const char *text);
void hs_add_int(hs_history *history, const char *name, int64_t number);
void hs_add_bool(hs_history *history, const char *name, bool value);
void hs_end(hs_history *history);

/* {"dropped":N,"events":[...]}; free it with g_free(). */
char *hs_query_json(const hs_history *history);

#endif
