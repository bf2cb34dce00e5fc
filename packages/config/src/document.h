/*
 * document.h: a configuration as sets of entries (private).
 */
#ifndef LACEWING_CONFIG_DOCUMENT_H
#define LACEWING_CONFIG_DOCUMENT_H

#include "entry.h"

/* Makes a configuration of entries (dc_entry *, each gets a reference) and
   checks the names that lead from one to another. */
er_code dc_document_create(const char *file, const GPtrArray *entries,
                           dc_config **config, er_status *status);
/* Adds references to the entries of config whose group is not in touched. */
void dc_document_add_untouched(const dc_config *config, GHashTable *touched,
                               GPtrArray *entries);

/* queries */
const dc_entry *dc_document_query_entry(const dc_config *config,
                                        const char *group);
uint32_t dc_document_query_entries(const dc_config *config);
const dc_entry *dc_document_query_entry_at(const dc_config *config,
                                           uint32_t at);
const dc_entry *dc_document_query_named(const dc_config *config, dc_kind kind,
                                        const char *name);
const dc_entry *dc_document_query_nth(const dc_config *config, dc_kind kind,
                                      uint32_t at);

#endif
