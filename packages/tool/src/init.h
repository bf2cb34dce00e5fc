/*
 * init.h: writes the first configuration to the platform's table (private).
 *
 * The configuration is split into parts that fit into a row. Each part is
 * written as one change, with its audit record, starting at version 1. If
 * tl_init() is called again with the same configuration, it continues after
 * the last part written, and succeeds if all are written. A table that holds
 * another configuration is not changed.
 */
#ifndef LACEWING_TOOL_INIT_H
#define LACEWING_TOOL_INIT_H

#include "lacewing/config.h"
#include "lacewing/store.h"

/* A part ends at the first group boundary after this many bytes of edits. */
#define TL_INIT_PART_BYTES (128 * 1024)

typedef struct tl_init_desc {
    pf_table *table;         /* required */
    const dc_config *config; /* required */
    const char *who;         /* required: author in the audit trail */
    uint32_t timeout_ms;     /* per part; default 15000 */
    bool progress;           /* print progress on standard error */
} tl_init_desc;

/* Iterates the default main context until the configuration is written.
   ER_OK: *version is that of the last part. ER_CONFLICT: the table holds
   another configuration. ER_TIMEOUT, ER_PLATFORM_DOWN: the configuration is
   written in part or not at all; call again to continue. */
er_code tl_init(const tl_init_desc *desc, uint64_t *version,
                er_status *status);

#endif
