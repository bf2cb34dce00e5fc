/*
 * entry.h: one group of the document, checked and typed (private).
 *
 * Entries are immutable and reference-counted, so that versions of a
 * configuration share those that did not change.
 */
#ifndef LACEWING_CONFIG_ENTRY_H
#define LACEWING_CONFIG_ENTRY_H

#include "lacewing/config.h"
#include "lacewing/settings.h"

typedef struct dc_entry {
    dc_kind kind;
    char *group;
    const char *name; /* the part of group behind the kind */
    char **pairs;     /* key, value, key, value, NULL */
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

/* Keys of a kind. */
typedef struct dc_key_table {
    const st_key *keys;
    size_t count;
} dc_key_table;

extern const dc_key_table dc_key_tables[DC_KIND_NUM];

/* Checks one group; pairs is taken over. */
er_code dc_entry_create(const char *file, const char *group, char **pairs,
                        dc_entry **entry, er_status *status);
dc_entry *dc_entry_ref(dc_entry *entry);
void dc_entry_unref(dc_entry *entry);

/* queries */
const char *dc_entry_query_value(const dc_entry *entry, const char *key);
bool dc_entry_query_equal(const dc_entry *a, const dc_entry *b);

#endif
