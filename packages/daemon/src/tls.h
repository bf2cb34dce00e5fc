/*
 * tls.h: certificates from settings (prefix tl_).
 *
 * Holds a certificate with its key and, if set, the authority that the other
 * end's certificate must come from. Wraps accepted and dialled connections.
 * tl_reload() reads the files again; connections that are open keep theirs.
 *
 *     tl_context *tls = tl_create(&(tl_desc){.certificate_file = "c.pem",
 *         .key_file = "k.pem", .ca_file = "ca.pem"}, &status);
 *     tl_wrap_server(tls, stream, on_wrapped, self);
 *
 * Limits: PEM files; with a ca_file both ends must show a certificate from
 * it. Names in certificates are not compared, since processes are addressed
 * by IP number.
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

/* NULL with ER_FILE when a file cannot be used. */
tl_context *tl_create(const tl_desc *desc, er_status *status);
void tl_destroy(tl_context *tls);
/* On failure the earlier certificate stays in use. */
er_code tl_reload(tl_context *tls, er_status *status);

/* The wrapped stream, or NULL after a failed handshake; the call owns it. */
typedef void (*tl_wrapped_call)(GIOStream *stream, void *user_data);

void tl_wrap_server(tl_context *tls, GIOStream *stream, tl_wrapped_call call,
                    void *user_data);
void tl_wrap_client(tl_context *tls, GIOStream *stream, tl_wrapped_call call,
                    void *user_data);

/* The certificate in use; borrowed. */
GTlsCertificate *tl_query_certificate(const tl_context *tls);

#endif
