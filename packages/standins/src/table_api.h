/*
 * table_api.h: the table calls of the stand-in platform (prefix ta_).
 *
 * Serves the in-memory table of lacewing/store.h over HTTP and JSON:
 * POST /table/commit, GET /table/row, GET /table/scan.
 *
 *     ta_api *api = ta_create(shell);
 *     ta_handle(api, message, "/table/row", query);
 *
 * Limits: values are UTF-8 text.
 */
#ifndef LACEWING_STANDIN_TABLE_API_H
#define LACEWING_STANDIN_TABLE_API_H

#include "shell.h"

typedef struct ta_api ta_api;

ta_api *ta_create(sh_shell *shell);
/* Takes NULL. */
void ta_destroy(ta_api *api);
/* Handles a call to a path below /table/ and answers it, now or later. */
void ta_handle(ta_api *api, SoupServerMessage *message, const char *path,
               GHashTable *query);

/* queries */
uint64_t ta_query_commits(const ta_api *api);
uint64_t ta_query_reads(const ta_api *api);

#endif
