/*
 * head_check.h: checks the requests of a connection before the HTTP library
 * reads them (prefix hk_).
 *
 * The library answers requests that RFC 9112 calls ambiguous (two lengths,
 * a space before a colon) and drops connections whose heads are too large.
 * hk_wrap() puts a reader of packages/net in front of it: requests that pass
 * reach the library byte for byte; behind the first that does not, the
 * library sees the end of the connection, and the caller gets 400 or 431.
 *
 *     g_autoptr(GIOStream) checked = hk_wrap(&(hk_desc){.base = stream,
 *         .socket = socket});
 *     soup_server_accept_iostream(soup, checked, local, remote, NULL);
 *
 * Limits: heads of 32 KiB; after a refusal up to 8 MiB are read and dropped,
 * so that the answer is not lost in a reset.
 */
#ifndef LACEWING_HEAD_CHECK_H
#define LACEWING_HEAD_CHECK_H

#include <gio/gio.h>
#include <stdint.h>

typedef struct hk_desc {
    GIOStream *base;     /* required; pollable in both directions */
    GSocket *socket;     /* required; below the base */
    uint32_t head_bytes; /* largest head; default 32768 */
} hk_desc;

/* The caller owns the stream; it keeps the base and the socket. */
GIOStream *hk_wrap(const hk_desc *desc);

#endif
