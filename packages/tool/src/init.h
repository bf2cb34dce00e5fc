/*
 * init.h: the first configuration, into the platform's table (private).
 *
 * Written as the first changes of the chain, each with its audit record, in
 * parts that fit into a row. Run again with the same configuration it goes on
 * where it was, or finds that all is there. A table that holds another
 * configuration is left as it is.
 */
#ifndef LACEWING_TOOL_INIT_H
#define LACEWING_TOOL_INIT_H

#include "lacewing/config.h"
#include "lacewing/store.h"

/* Bytes of edits in one change, beside its last group. */
#define TL_INIT_PART_BYTES (128 * 1024)

typedef struct tl_init_desc {
    pf_table *table;         /* required */
    const dc_config *config; /* required */
    const char *who;         /* required: for the audit trail */
    uint32_t timeout_ms;     /* of one part; default 15000 */
    bool progress;           /* on standard error */
} tl_init_desc;

/* Runs the default main context until the end. ER_OK: *version is the last
   one written. ER_CONFLICT: another configuration is there. ER_TIMEOUT,
   ER_PLATFORM_DOWN: it is there in part or not at all; run it again. */
er_code tl_init(const tl_init_desc *desc, uint64_t *version,
                er_status *status);

#endif
