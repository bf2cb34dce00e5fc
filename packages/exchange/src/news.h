/*
 * news.h: what is known of the rows of the platform's tables (prefix nw_).
 *
 * Keeps the version and a digest of what matters of each row, a digest of
 * each table, and the rows that changed since they were last told to other
 * instances. Rows come from the store and from others, in any order: one that
 * is older than what is known is told to be old. The word of another instance
 * spares a call of the store.
 *
 *     if (!nw_query_old(news, NW_SERVERS, row)) {
 *         nw_put(news, NW_SERVERS, row, digest, true);
 *     }
 *     ... nw_query_rows(news, NW_SERVERS) go to the others ...
 *     nw_clear_rows(news, NW_SERVERS);
 *
 * Limits: of a removed row its version is kept until the store itself tells
 * the removal.
 */
#ifndef LACEWING_NEWS_H
#define LACEWING_NEWS_H

#include "lacewing/dialect.h"

typedef enum nw_table {
    NW_OPERATOR = 0,
    NW_SERVERS,
    NW_OWN,
    NW_TABLE_NUM
} nw_table;

typedef struct nw_news nw_news;

nw_news *nw_create(void);
void nw_destroy(nw_news *news);

/* A row as it is now; value NULL: removed. digest: of what matters in it. of
   the store: it is kept for the others if its digest changed. */
void nw_put(nw_news *news, nw_table table, const dl_row *row, uint64_t digest,
            bool of_store);
/* A row that a read of the whole table did not hold. */
void nw_drop(nw_news *news, nw_table table, const char *key);
void nw_clear_rows(nw_news *news, nw_table table);

/* queries */
bool nw_query_old(const nw_news *news, nw_table table, const dl_row *row);
uint64_t nw_query_digest(const nw_news *news, nw_table table);
/* dl_row that changed since nw_clear_rows(). */
const GArray *nw_query_rows(const nw_news *news, nw_table table);

#endif
