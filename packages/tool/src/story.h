/*
 * story.h: what became of one request, from the logs of several instances
 * (private, prefix sr_).
 *
 * Reads log lines as lacewingd writes them (also with other words before the
 * time), finds those of the request, then those that changed what was
 * believed of its servers, the leases, the store and the configuration
 * shortly before and during it, and gives them in the order of time.
 *
 *     sr_story *story = sr_create("q7");
 *     sr_add(story, "a.log", text);
 *     g_autofree char *told = sr_query_text(story);
 *
 * Limits: the texts are kept; clocks of instances are taken as they are.
 */
#ifndef LACEWING_TOOL_STORY_H
#define LACEWING_TOOL_STORY_H

#include <glib.h>

typedef struct sr_story sr_story;

sr_story *sr_create(const char *request);
void sr_destroy(sr_story *story);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(sr_story, sr_destroy)

/* All lines of one file. */
void sr_add(sr_story *story, const char *file, const char *text);

/* Lines of the story, "+MS INSTANCE WHAT"; NULL: no line has the request.
   Free with g_free(). */
char *sr_query_text(const sr_story *story);

#endif
