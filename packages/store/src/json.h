/*
 * json.h: JSON bodies of calls to the platform (prefix js_).
 *
 * js_commit_body() writes the body of a request. The readers parse the body of
 * an answer, check the type of each member, and return false if the body
 * violates docs/PLATFORM_API.md.
 *
 *     g_autoptr(GArray) rows = rw_create();
 *     if (!js_read_rows(body, rows)) { ... }
 *
 * Limits: values are UTF-8 text.
 */
#ifndef LACEWING_STORE_JSON_H
#define LACEWING_STORE_JSON_H

#include "rows.h"

GBytes *js_commit_body(const pf_op *ops, size_t count);

/* The readers append to the given array. After a failure it may hold some of
   the elements. */
bool js_read_versions(GBytes *body, GArray *versions);
/* A null element is appended as a row without a key. */
bool js_read_rows(GBytes *body, GArray *rows);
/* Reads a body that is a single row. */
bool js_read_row(GBytes *body, GArray *rows);
/* instances holds pf_instance; its clear function must free the strings. */
bool js_read_instances(GBytes *body, GArray *instances);

#endif
