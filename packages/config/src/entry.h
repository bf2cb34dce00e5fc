/*
 * entry.h: one validated group of the document (private).
 *
 * dc_entry_create() checks the keys and values of one group and converts them
 * to typed fields. Entries are immutable and reference-counted, so that
 * versions of a configuration share the entries that did not change.
 */
#ifndef LACEWING_CONFIG_ENTRY_H
#define LACEWING_CONFIG_ENTRY_H

#include "lacewing/config.h"
#include "lacewing/settings.h"

typedef struct dc_entry {
    dc_kind kind;
    char *group;
    const char *name; /* the part of group after the kind; "" if none */
    char **pairs;     /* as written: key, value, key, value, NULL */
    union {
        dc_deployment deployment;
        dc_limits limits;
        dc_tolerances tolerances;
        dc_zone zone;
        dc_server server;
        dc_model model;
        dc_team team;
        dc_adapter adapter;
        dc_operation operation;
    } as;
} dc_entry;

/* The allowed keys of a kind. */
typedef struct dc_key_table {
    const st_key *keys;
    size_t count;
} dc_key_table;

extern const dc_key_table dc_key_tables[DC_KIND_NUM];

/* Validates one group. Takes ownership of pairs, also on failure. file is the
   name used in messages. */
er_code dc_entry_create(const char *file, const char *group, char **pairs,
                        dc_entry **entry, er_status *status);
dc_entry *dc_entry_ref(dc_entry *entry);
void dc_entry_unref(dc_entry *entry);

/* queries */
/* A value as written; NULL if the key is not set. */
const char *dc_entry_query_value(const dc_entry *entry, const char *key);
/* Whether both have the same keys and values, in any order. */
bool dc_entry_query_equal(const dc_entry *a, const dc_entry *b);

#endif
