/*
 * rows.h: array of table rows (prefix rw_).
 *
 * The array holds the pf_row elements of a result and owns their keys and
 * values.
 *
 *     g_autoptr(GArray) rows = rw_create();
 *     rw_add(rows, "k", bytes, 3);
 */
#ifndef LACEWING_STORE_ROWS_H
#define LACEWING_STORE_ROWS_H

#include "lacewing/store.h"

/* Release with g_array_unref(). */
GArray *rw_create(void);

/* Appends a row. Copies key and takes a reference to value; either may be
   NULL. */
void rw_add(GArray *rows, const char *key, GBytes *value, uint64_t version);

#endif
