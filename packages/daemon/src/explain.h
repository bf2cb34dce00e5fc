/*
 * explain.h: history of recent requests (prefix ex_).
 *
 * A ring buffer of this instance's last requests with model, backend server,
 * attempts, times and outcome, for `lacewing explain`.
 *
 *     ex_add(ring, &(ex_entry){.id = "a-1", .model = "x@1"});
 *     bool found = ex_query_json(ring, "a-1", NULL, json);
 *
 * Limits: holds EX_CAPACITY requests and overwrites the oldest. Lookup is
 * linear.
 */
#ifndef LACEWING_EXPLAIN_H
#define LACEWING_EXPLAIN_H

#include "draft.h"
#include <json-glib/json-glib.h>
#include <stdbool.h>

#define EX_CAPACITY 4096 /* requests */
#define EX_TEXT_BYTES 80 /* of a text with its NUL; longer ones are cut */

typedef struct ex_entry {
    char id[EX_TEXT_BYTES];
    char team[EX_TEXT_BYTES];
    char model[EX_TEXT_BYTES]; /* or the name of the operation */
    char server[EX_TEXT_BYTES];
    er_code code;
    dr_ran ran;
    uint32_t tokens;
    uint32_t attempts;
    uint32_t first_token_ms; /* since the request; 0: no token */
    uint32_t total_ms;
    uint32_t deadline_ms; /* since the request */
    bool replayed;        /* stored outcome of an earlier attempt */
} ex_entry;

typedef struct ex_ring ex_ring;

ex_ring *ex_create(void);
void ex_destroy(ex_ring *ring);
void ex_add(ex_ring *ring, const ex_entry *entry);
/* Appends one object. Returns false when the request is not found or does not
   belong to the team (NULL: any team). */
bool ex_query_json(const ex_ring *ring, const char *id, const char *team,
                   JsonBuilder *json);

#endif
