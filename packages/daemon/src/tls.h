/*
 * tls.h: TLS for accepted and outgoing connections (prefix tl_).
 *
 * Holds a certificate with its key and, if set, the certificate authority
 * (CA) that must have signed the peer's certificate. tl_reload() reads the
 * files again; open connections keep the certificate that they began with.
 *
 *     tl_context *tls = tl_create(&(tl_desc){.certificate_file = "c.pem",
 *         .key_file = "k.pem", .ca_file = "ca.pem"}, &status);
 *     tl_wrap_server(tls, stream, on_wrapped, self);
 *
 * Limits: PEM files. With a ca_file both ends must present a certificate
 * that it signed. Names in certificates are not checked, since processes are
 * addressed by IP address.
 */
#ifndef LACEWING_TLS_H
#define LACEWING_TLS_H

#include "lacewing/error.h"
#include <gio/gio.h>

typedef struct tl_context tl_context;

typedef struct tl_desc {
    const char *certificate_file; /* required */
    const char *key_file;         /* required */
    const char *ca_file;          /* NULL: any client may connect */
} tl_desc;

/* Returns NULL with ER_FILE if a file cannot be read or parsed. */
tl_context *tl_create(const tl_desc *desc, er_status *status);
void tl_destroy(tl_context *tls);
/* Reads the files again. On failure the former certificate stays in use. */
er_code tl_reload(tl_context *tls, er_status *status);

/* Gets the TLS stream, which the callback then owns; NULL if the handshake
   failed. */
typedef void (*tl_handshake_callback)(GIOStream *stream, void *user_data);

/* Starts the handshake of an accepted or an outgoing connection. */
void tl_wrap_server(tl_context *tls, GIOStream *stream,
                    tl_handshake_callback callback, void *user_data);
void tl_wrap_client(tl_context *tls, GIOStream *stream,
                    tl_handshake_callback callback, void *user_data);

/* The certificate in use; borrowed. */
GTlsCertificate *tl_query_certificate(const tl_context *tls);

#endif
