/*
 * timeline.h: the timeline of one request from the log files of several
 * instances (private, prefix sr_).
 *
 * Reads log lines in the format of lacewingd; other text may precede the time.
 * The timeline has the lines of the request itself and those that may explain
 * them: changes in what an instance knows of the request's servers, the
 * leases, the store, the configuration and its peers, shortly before the
 * request, during it or shortly after it. Lines are in the order of time.
 *
 *     g_autoptr(sr_timeline) timeline = sr_create("q7");
 *     sr_add(timeline, "a.log", text);
 *     g_autofree char *lines = sr_query_text(timeline);
 *
 * Limits: all lines are kept in memory; differences between the clocks of the
 * instances are not corrected.
 */
#ifndef LACEWING_TOOL_TIMELINE_H
#define LACEWING_TOOL_TIMELINE_H

#include <glib.h>

typedef struct sr_timeline sr_timeline;

sr_timeline *sr_create(const char *request);
void sr_destroy(sr_timeline *timeline);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(sr_timeline, sr_destroy)

/* Adds the lines of one log file. A line without the field "instance" gets the
   name of the file as its instance. */
void sr_add(sr_timeline *timeline, const char *file, const char *text);

/* The timeline, one line each: "+MS ms MARK INSTANCE PART: TEXT FIELDS". MS
   counts from the first line of the request; MARK is "*" on the lines of the
   request, else blank. NULL if no line has the request. Free with g_free(). */
char *sr_query_text(const sr_timeline *timeline);

#endif
