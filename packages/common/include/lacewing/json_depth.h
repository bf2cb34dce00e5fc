/*
 * json_depth.h: bounds the nesting of JSON texts from outside (prefix jd_).
 *
 * The parser of json-glib calls itself for each level, so a text of some
 * 100 kB can exhaust the stack of the process. Ask before every parse of a
 * text that another process wrote.
 *
 *     if (!jd_query_fits(bytes, count) || !json_parser_load_from_data(...)) {
 *         ... not usable ...
 *     }
 */
#ifndef LACEWING_JSON_DEPTH_H
#define LACEWING_JSON_DEPTH_H

#include <stdbool.h>
#include <stddef.h>

/* Most levels of arrays and objects within one another. */
#define JD_MAX_DEPTH 64

/* Returns false if the text is nested too deeply. Any bytes may be passed;
   NULL fits. */
bool jd_query_fits(const char *text, size_t size);

#endif
