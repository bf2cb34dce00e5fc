/*
 * head_check.h: checks the HTTP requests of a connection before the HTTP
 * library reads them (prefix hk_).
 *
 * The library accepts requests that RFC 9112 calls ambiguous (two lengths,
 * a space before a colon) and closes connections whose heads are too large
 * without an answer. hk_wrap() puts the parser of packages/net in front of it.
 * Valid requests reach the library byte for byte. At the first invalid one the
 * library sees the end of the connection, and the caller gets 400 or 431.
 *
 *     g_autoptr(GIOStream) checked = hk_wrap(&(hk_desc){.base = stream,
 *         .socket = socket});
 *     soup_server_accept_iostream(soup, checked, local, remote, NULL);
 *
 * Limits: heads of at most 32 KiB. After a refusal up to 8 MiB are read and
 * discarded: closing a socket with unread input sends a reset, which can
 * destroy the answer before the caller has read it.
 */
#ifndef LACEWING_HEAD_CHECK_H
#define LACEWING_HEAD_CHECK_H

#include <gio/gio.h>
#include <stdint.h>

typedef struct hk_desc {
    GIOStream *base;     /* required; both of its streams are pollable */
    GSocket *socket;     /* required; the socket below base */
    uint32_t head_bytes; /* maximum size of a head; default 32768 */
} hk_desc;

/* Returns a stream that the caller owns and that holds references to the base
   and the socket. */
GIOStream *hk_wrap(const hk_desc *desc);

#endif
