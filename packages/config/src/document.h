/*
 * document.h: a configuration as sorted sets of entries (private).
 *
 * Each kind of group has one set, which versions of a configuration share if
 * none of its groups changed. dc_document_create() merges new entries into
 * the sets of an older configuration and checks the references between
 * groups.
 */
#ifndef LACEWING_CONFIG_DOCUMENT_H
#define LACEWING_CONFIG_DOCUMENT_H

#include "entry.h"

/* Creates a configuration from entries (dc_entry *; a reference is taken to
   each) and from the entries of from (NULL: none) whose groups are not keys of
   edited, and checks that each reference names an existing group. file is the
   name used in messages. */
er_code dc_document_create(const char *file, const dc_config *from,
                           GHashTable *edited, const GPtrArray *entries,
                           dc_config **config, er_status *status);

/* queries */
/* The entry of a group given its full name ("server a"); NULL if there is
   none. */
const dc_entry *dc_document_query_entry(const dc_config *config,
                                        const char *group);
/* The entries of a kind (dc_entry *), in order of names. */
const GPtrArray *dc_document_query_entries(const dc_config *config,
                                           dc_kind kind);
/* Whether a and b share the same set of a kind. If false, the sets may still
   have equal contents. */
bool dc_document_query_shared(const dc_config *a, const dc_config *b,
                              dc_kind kind);
/* The entry of a kind with this name ("" for groups that exist once); NULL if
   there is none. */
const dc_entry *dc_document_query_by_name(const dc_config *config,
                                          dc_kind kind, const char *name);
/* The entry of a kind by its index in order of names. */
const dc_entry *dc_document_query_at(const dc_config *config, dc_kind kind,
                                     uint32_t index);

#endif
