/*
 * hear.h: reads what a server says of itself off an answer's head
 * (prefix hr_).
 *
 * Any head counts, whatever its status and whatever becomes of the answer. An
 * answer that names another server is that server's word.
 *
 *     fl_server_notice heard;
 *     if (hr_read(&(hr_desc){...}, head, &heard)) { fl_apply_notice(fleet,
 * &heard); }
 */
#ifndef LACEWING_HEAR_H
#define LACEWING_HEAR_H

#include "fleet.h"
#include "lacewing/http1.h"

typedef struct hr_desc {
    const dl_dialect *dialect; /* required */
    const fl_fleet *fleet;     /* required */
    const char *server;        /* required, that was asked */
    uint64_t born_ms;          /* of its process, when it was asked */
    uint64_t now_us;
} hr_desc;

/* False: a server that is not known. The result refers to both arguments. */
bool hr_read(const hr_desc *desc, const h1_head *head, fl_server_notice *out);

#endif
