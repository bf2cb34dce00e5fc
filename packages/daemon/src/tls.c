#include "tls.h"

struct tl_context {
    char *certificate_file;
    char *key_file;
    char *ca_file;
    GTlsCertificate *certificate;
    GTlsDatabase *ca_database; /* NULL: no CA set */
};

typedef struct _tl_handshake {
    tl_handshake_callback callback;
    void *user_data;
} _tl_handshake;

er_code
tl_reload(tl_context *tls, er_status *status)
{
    g_autoptr(GError) error = NULL;
    g_autoptr(GTlsCertificate) certificate = g_tls_certificate_new_from_files(
        tls->certificate_file, tls->key_file, &error);
    if (!certificate) {
        return er_set(status, ER_FILE, "%s: %s", tls->certificate_file,
                      error->message);
    }
    g_autoptr(GTlsDatabase) ca_database = NULL;
    if (tls->ca_file) {
        ca_database = g_tls_file_database_new(tls->ca_file, &error);
        if (!ca_database) {
            return er_set(status, ER_FILE, "%s: %s", tls->ca_file,
                          error->message);
        }
    }
    g_set_object(&tls->certificate, certificate);
    g_set_object(&tls->ca_database, ca_database);
    return ER_OK;
}

tl_context *
tl_create(const tl_desc *desc, er_status *status)
{
    tl_context *tls = g_new0(tl_context, 1);
    tls->certificate_file = g_strdup(desc->certificate_file);
    tls->key_file = g_strdup(desc->key_file);
    tls->ca_file = g_strdup(desc->ca_file);
    if (tl_reload(tls, status) != ER_OK) {
        g_clear_pointer(&tls, tl_destroy);
    }
    return tls;
}

void
tl_destroy(tl_context *tls)
{
    if (tls) {
        g_clear_object(&tls->certificate);
        g_clear_object(&tls->ca_database);
        g_free(tls->certificate_file);
        g_free(tls->key_file);
        g_free(tls->ca_file);
        g_free(tls);
    }
}

/* Accepts a certificate whose only fault is a name that does not match. */
static gboolean
_tl_on_accept_certificate(GTlsConnection *connection, GTlsCertificate *peer,
                          GTlsCertificateFlags errors, void *data)
{
    (void)connection;
    (void)peer;
    (void)data;
    return (errors & ~G_TLS_CERTIFICATE_BAD_IDENTITY) == 0;
}

static void
_tl_on_handshake(GObject *source, GAsyncResult *result, void *data)
{
    g_autofree _tl_handshake *handshake = data;
    g_autoptr(GIOStream) stream = G_IO_STREAM(source);
    if (!g_tls_connection_handshake_finish(G_TLS_CONNECTION(source), result,
                                           NULL)) {
        handshake->callback(NULL, handshake->user_data);
        return;
    }
    handshake->callback(g_steal_pointer(&stream), handshake->user_data);
}

static void
_tl_start_handshake(tl_context *tls, GIOStream *connection,
                    tl_handshake_callback callback, void *user_data)
{
    GTlsConnection *tls_connection = G_TLS_CONNECTION(connection);
    if (tls->ca_database) {
        g_tls_connection_set_database(tls_connection, tls->ca_database);
    }
    g_signal_connect(connection, "accept-certificate",
                     G_CALLBACK(_tl_on_accept_certificate), NULL);
    _tl_handshake *handshake = g_new0(_tl_handshake, 1);
    handshake->callback = callback;
    handshake->user_data = user_data;
    g_tls_connection_handshake_async(tls_connection, G_PRIORITY_DEFAULT, NULL,
                                     _tl_on_handshake, handshake);
}

void
tl_wrap_server(tl_context *tls, GIOStream *stream,
               tl_handshake_callback callback, void *user_data)
{
    GIOStream *connection =
        g_tls_server_connection_new(stream, tls->certificate, NULL);
    if (!connection) {
        callback(NULL, user_data);
        return;
    }
    g_object_set(connection, "authentication-mode",
                 tls->ca_database ? G_TLS_AUTHENTICATION_REQUIRED
                                  : G_TLS_AUTHENTICATION_NONE,
                 NULL);
    _tl_start_handshake(tls, connection, callback, user_data);
}

void
tl_wrap_client(tl_context *tls, GIOStream *stream,
               tl_handshake_callback callback, void *user_data)
{
    GIOStream *connection = g_tls_client_connection_new(stream, NULL, NULL);
    if (!connection) {
        callback(NULL, user_data);
        return;
    }
    g_tls_connection_set_certificate(G_TLS_CONNECTION(connection),
                                     tls->certificate);
    _tl_start_handshake(tls, connection, callback, user_data);
}

GTlsCertificate *
tl_query_certificate(const tl_context *tls)
{
    return tls->certificate;
}
