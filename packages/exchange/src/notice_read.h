/*
 * notice_read.h: reads a server's notice from the head of an answer
 * (prefix nr_).
 *
 * The head of every answer is read, whatever its status and whatever becomes
 * of the answer. If the head names another server than the one that was asked,
 * the notice is attributed to the named one.
 *
 *     fl_server_notice report;
 *     if (nr_read_notice(&(nr_desc){...}, head, &report)) {
 *         fl_apply_notice(fleet, &report, &server);
 *     }
 */
#ifndef LACEWING_NOTICE_READ_H
#define LACEWING_NOTICE_READ_H

#include "fleet.h"
#include "lacewing/http1.h"

typedef struct nr_desc {
    const dl_dialect *dialect; /* required */
    const fl_fleet *fleet;     /* required */
    const char *server;        /* required, id of the server that was asked */
    uint64_t born_ms;          /* start of its process when it was asked */
    uint64_t sent_us; /* when it was asked; 0: the answer may be to another
                         request */
    uint64_t now_us;
} nr_desc;

/* Fills *out, whose id refers to desc or to head. Returns false if the head
   names a server that the fleet does not know. */
bool nr_read_notice(const nr_desc *desc, const h1_head *head,
                    fl_server_notice *out);

#endif
