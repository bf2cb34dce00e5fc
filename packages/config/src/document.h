/*
 * document.h: a configuration as sets of entries (private).
 */
#ifndef LACEWING_CONFIG_DOCUMENT_H
#define LACEWING_CONFIG_DOCUMENT_H

#include "entry.h"

/* Makes a configuration of entries (dc_entry *, each gets a reference) and of
   those of from (NULL: none) whose groups are not in touched, and checks the
   names that lead from one to another. */
er_code dc_document_create(const char *file, const dc_config *from,
                           GHashTable *touched, const GPtrArray *entries,
                           dc_config **config, er_status *status);

/* queries */
const dc_entry *dc_document_query_entry(const dc_config *config,
                                        const char *group);
/* dc_entry * in order of names. */
const GPtrArray *dc_document_query_entries(const dc_config *config,
                                           dc_kind kind);
/* Both have the very same groups of a kind; false: they may still be equal. */
bool dc_document_query_shared(const dc_config *a, const dc_config *b,
                              dc_kind kind);
const dc_entry *dc_document_query_named(const dc_config *config, dc_kind kind,
                                        const char *name);
const dc_entry *dc_document_query_nth(const dc_config *config, dc_kind kind,
                                      uint32_t at);

#endif
