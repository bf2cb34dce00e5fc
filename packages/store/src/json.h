/*
 * json.h: bodies of the platform's calls (prefix js_).
 *
 * Writers give the body of a request; readers check every type and answer
 * false to what docs/PLATFORM_API.md does not allow.
 *
 * Limits: values are UTF-8 text.
 */
#ifndef LACEWING_PLATFORM_JSON_H
#define LACEWING_PLATFORM_JSON_H

#include "rows.h"

GBytes *js_commit_body(const pf_op *ops, size_t count);

/* Readers add to rows or versions and return false on anything malformed. */
bool js_read_versions(GBytes *body, GArray *versions);
bool js_read_rows(GBytes *body, GArray *rows);
bool js_read_row(GBytes *body, GArray *rows);
/* instances holds pf_instance and frees its strings. */
bool js_read_instances(GBytes *body, GArray *instances);

#endif
