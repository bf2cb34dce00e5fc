/*
 * link.h: one connection between two daemons (prefix lk_).
 *
 * A link sends and receives envelopes over a connected stream (plain TCP or
 * TLS). It reads until the connection ends. Envelopes to send are queued and
 * written in order, all that are waiting by one call.
 *
 *     lk_link *link = lk_create(&(lk_desc){
 *         .stream = G_IO_STREAM(connection), .on_message = on_message,
 *         .on_closed = on_closed, .user_data = peer});
 *     lk_send(link, &envelope);
 *     lk_destroy(link);
 *
 * Limits: all calls come from one main context. A link closes with
 * ER_OVERLOADED if more than queue_bytes_max wait in its queue. on_closed is
 * called at most once, and never after lk_destroy().
 */
#ifndef LACEWING_LINK_H
#define LACEWING_LINK_H

#include "lacewing.pb-c.h"
#include "lacewing/error.h"
#include <gio/gio.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct lk_link lk_link;

/* The envelope is freed after the callback. */
typedef void (*lk_message_call)(lk_link *link,
                                const Lacewing__Envelope *envelope,
                                void *user_data);
typedef void (*lk_closed_call)(lk_link *link, const er_status *why,
                               void *user_data);

typedef struct lk_desc {
    GIOStream *stream; /* required; the link takes its own reference */
    lk_message_call on_message; /* required */
    lk_closed_call on_closed;   /* required */
    void *user_data;
    uint32_t queue_bytes_max; /* default 16 MiB */
} lk_desc;

lk_link *lk_create(const lk_desc *desc);
void lk_destroy(lk_link *link);

/* Queues one envelope. Returns false if the link is closed, or closes because
   the queue is too long. */
bool lk_send(lk_link *link, const Lacewing__Envelope *envelope);

/* Queries. lk_is_valid() returns whether the link is open. */
bool lk_is_valid(const lk_link *link);
uint64_t lk_query_bytes_in(const lk_link *link);
uint64_t lk_query_bytes_out(const lk_link *link);
uint32_t lk_query_queued_bytes(const lk_link *link);

#endif
