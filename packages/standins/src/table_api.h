/*
 * table_api.h: the stand-in's table calls (prefix ta_).
 *
 * HTTP and JSON in front of the table in memory of lacewing/store.h.
 *
 *     ta_api *table = ta_create(shell);
 *     ta_handle(table, message, "/table/row", query);
 *
 * Limits: values are UTF-8 text.
 */
#ifndef LACEWING_STANDIN_TABLE_API_H
#define LACEWING_STANDIN_TABLE_API_H

#include "shell.h"

typedef struct ta_api ta_api;

ta_api *ta_create(sh_shell *shell);
void ta_destroy(ta_api *api);
void ta_handle(ta_api *api, SoupServerMessage *message, const char *path,
               GHashTable *query);

/* queries */
uint64_t ta_query_commits(const ta_api *api);
uint64_t ta_query_reads(const ta_api *api);

#endif
