/*
 * news.h: versions and digests of the rows of the platform's tables, and the
 * rows to pass on to other instances (prefix nw_).
 *
 * Keeps for each row its version and a digest of its relevant content, for
 * each table a digest over its rows, and the rows that changed since they were
 * last passed on. Rows arrive from the store and from other instances in any
 * order; nw_query_stale() recognises one that is older than the known version.
 * A row received from another instance saves a call to the store.
 *
 *     if (!nw_query_stale(rows, NW_SERVERS, row)) {
 *         nw_put(rows, NW_SERVERS, row, digest, true);
 *     }
 *     ... send nw_query_changed_rows(rows, NW_SERVERS) to the others ...
 *     nw_clear_changed_rows(rows, NW_SERVERS);
 *
 * Limits: the version of a removed row is kept until the store itself reports
 * the removal.
 */
#ifndef LACEWING_NEWS_H
#define LACEWING_NEWS_H

#include "lacewing/dialect.h"

/* The table that operators write, the one that lists servers, and the
   instances' own. */
typedef enum nw_table {
    NW_OPERATOR = 0,
    NW_SERVERS,
    NW_OWN,
    NW_TABLE_NUM
} nw_table;

typedef struct nw_known_rows nw_known_rows;

nw_known_rows *nw_create(void);
void nw_destroy(nw_known_rows *known_rows);

/* Notes a row as it is now; value NULL: removed. digest: of its relevant
   content, 0 if removed. from_store: the row came from the store itself; it is
   then kept to be passed on if its digest changed. */
void nw_put(nw_known_rows *known_rows, nw_table table_id, const dl_row *row,
            uint64_t digest, bool from_store);
/* Drops a row that a read of the whole table did not have. */
void nw_drop(nw_known_rows *known_rows, nw_table table_id, const char *key);
/* Clears the list of rows to pass on. */
void nw_clear_changed_rows(nw_known_rows *known_rows, nw_table table_id);

/* queries */
/* Tells whether a row is older than the version known of it. */
bool nw_query_stale(const nw_known_rows *known_rows, nw_table table_id,
                    const dl_row *row);
uint64_t nw_query_digest(const nw_known_rows *known_rows, nw_table table_id);
/* Returns the dl_row that changed since nw_clear_changed_rows(). */
const GArray *nw_query_changed_rows(const nw_known_rows *known_rows,
                                    nw_table table_id);

#endif
