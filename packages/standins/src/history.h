/*
 * history.h: what a stand-in truly did (prefix hs_).
 *
 * Each entry is one JSON object on a line: "event", "at_us" (CLOCK_REALTIME)
 * and fields. With a file, each line is written through at once, so that it
 * survives a crash of the stand-in.
 *
 *     hs_begin(history, "run");
 *     hs_add_text(history, "key", key);
 *     hs_add_int(history, "count", 1);
 *     hs_end(history);
 *
 * Limits: HS_ENTRIES_MAX entries in memory; more are counted only (and still
 * written to the file).
 */
#ifndef LACEWING_STANDIN_HISTORY_H
#define LACEWING_STANDIN_HISTORY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define HS_ENTRIES_MAX 200000

typedef struct hs_history hs_history;

/* file: appended to; NULL: memory alone. */
hs_history *hs_create(const char *file);
void hs_destroy(hs_history *history);

void hs_begin(hs_history *history, const char *event);
/* Text may be NULL: the field is left out. */
void hs_add_text(hs_history *history, const char *name, const char *text);
void hs_add_int(hs_history *history, const char *name, int64_t number);
void hs_add_bool(hs_history *history, const char *name, bool value);
void hs_end(hs_history *history);

/* {"dropped":N,"events":[...]}; free with g_free(). */
char *hs_query_json(const hs_history *history);

#endif
