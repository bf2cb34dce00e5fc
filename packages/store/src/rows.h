/*
 * rows.h: rows of a result (prefix rw_).
 *
 * An array of pf_row that owns its keys and values.
 *
 *     g_autoptr(GArray) rows = rw_create();
 *     rw_add(rows, "k", bytes, 3);
 *
 * Limits: none of its own.
 */
#ifndef LACEWING_PLATFORM_ROWS_H
#define LACEWING_PLATFORM_ROWS_H

#include "lacewing/store.h"

/* Unref with g_array_unref(). */
GArray *rw_create(void);

/* Copies key, takes a reference on value; both may be NULL. */
void rw_add(GArray *rows, const char *key, GBytes *value, uint64_t version);

#endif
