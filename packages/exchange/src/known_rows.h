/*
 * known_rows.h: versions and digests of the rows of the platform's tables, and
 * the rows to pass on to other instances (prefix kr_).
 *
 * Keeps for each row its version and a digest of its relevant content, for
 * each table a digest over its rows, and the rows that changed since they were
 * last passed on. Rows arrive from the store and from other instances in any
 * order; kr_query_stale() recognises one that is older than the known version.
 * A row received from another instance saves a call to the store.
 *
 *     if (!kr_query_stale(rows, KR_SERVERS, row)) {
 *         kr_put(rows, KR_SERVERS, row, digest, true);
 *     }
 *     ... send kr_query_changed_rows(rows, KR_SERVERS) to the others ...
 *     kr_clear_changed_rows(rows, KR_SERVERS);
 *
 * Limits: the version of a removed row is kept until the store itself reports
 * the removal.
 */
#ifndef LACEWING_KNOWN_ROWS_H
#define LACEWING_KNOWN_ROWS_H

#include "lacewing/dialect.h"

/* The table that operators write, the one that lists servers, and the
   instances' own. */
typedef enum kr_table {
    KR_OPERATOR = 0,
    KR_SERVERS,
    KR_OWN,
    KR_TABLE_NUM
} kr_table;

typedef struct kr_known_rows kr_known_rows;

kr_known_rows *kr_create(void);
void kr_destroy(kr_known_rows *known_rows);

/* Notes a row as it is now; value NULL: removed. digest: of its relevant
   content, 0 if removed. from_store: the row came from the store itself; it is
   then kept to be passed on if its digest changed. */
void kr_put(kr_known_rows *known_rows, kr_table table_id, const dl_row *row,
            uint64_t digest, bool from_store);
/* Forgets all rows of a table, before it is read from a restored store. */
void kr_clear(kr_known_rows *known_rows, kr_table table_id);
/* Drops a row that a read of the whole table did not have. */
void kr_drop(kr_known_rows *known_rows, kr_table table_id, const char *key);
/* Clears the list of rows to pass on. */
void kr_clear_changed_rows(kr_known_rows *known_rows, kr_table table_id);

/* queries */
/* Tells whether a row is older than the version known of it. */
bool kr_query_stale(const kr_known_rows *known_rows, kr_table table_id,
                    const dl_row *row);
uint64_t kr_query_digest(const kr_known_rows *known_rows, kr_table table_id);
/* Returns the dl_row that changed since kr_clear_changed_rows(). */
const GArray *kr_query_changed_rows(const kr_known_rows *known_rows,
                                    kr_table table_id);

#endif
