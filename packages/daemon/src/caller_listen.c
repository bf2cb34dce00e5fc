/* Accepts callers' connections, limits their number, wraps them in TLS. */
#include "caller_private.h"

#include "head_check.h"
#include "listen.h"

#include <gio/gunixsocketaddress.h>
#include <glib/gstdio.h>

/* Key under which the remote address object holds the connection's socket:
   libsoup passes the address on to messages, but knows the socket of plain
   connections only. */
#define _CA_SOCKET_DATA_KEY "lacewing-socket"

/* -- private: connections ------------------------------------------------- */

static void
_ca_on_connection_closed(void *data, GObject *connection)
{
    (void)connection;
    ((ca_server *)data)->connections--;
}

typedef struct _ca_handshake {
    ca_server *server;
    GSocketConnection *connection;
} _ca_handshake;

/* Passes the stream to libsoup, behind the check of request heads. */
static void
_ca_serve_stream(ca_server *server, GSocketConnection *connection,
                 GIOStream *stream)
{
    g_autoptr(GSocketAddress) local =
        g_socket_connection_get_local_address(connection, NULL);
    g_autoptr(GSocketAddress) remote =
        g_socket_connection_get_remote_address(connection, NULL);
    GSocket *socket = g_socket_connection_get_socket(connection);
    g_autoptr(GIOStream) checked =
        hk_wrap(&(hk_desc){.base = stream, .socket = socket});
    g_object_set_data_full(G_OBJECT(remote), _CA_SOCKET_DATA_KEY,
                           g_object_ref(socket), g_object_unref);
    soup_server_accept_iostream(server->soup, checked, local, remote, NULL);
}

static void
_ca_on_handshake_done(GIOStream *stream, void *data)
{
    _ca_handshake *handshake = data;
    if (stream && handshake->server->soup) {
        _ca_serve_stream(handshake->server, handshake->connection, stream);
    }
    g_clear_object(&stream);
    g_object_unref(handshake->connection);
    g_free(handshake);
}

static void
_ca_accept_connection(ca_server *server, GSocketConnection *connection)
{
    if (!server->tls) {
        _ca_serve_stream(server, connection, G_IO_STREAM(connection));
        return;
    }
    _ca_handshake *handshake = g_new0(_ca_handshake, 1);
    handshake->server = server;
    handshake->connection = g_object_ref(connection);
    tl_wrap_server(server->tls, G_IO_STREAM(connection), _ca_on_handshake_done,
                   handshake);
}

static gboolean
_ca_on_incoming(GSocketService *service, GSocketConnection *connection,
                GObject *source, void *data)
{
    (void)service;
    (void)source;
    ca_server *server = data;
    if (server->connections >= server->connections_max) {
        /* The service drops its reference, which closes the connection. */
        return TRUE;
    }
    server->connections++;
    g_object_weak_ref(G_OBJECT(connection), _ca_on_connection_closed, server);
    g_socket_set_timeout(g_socket_connection_get_socket(connection),
                         server->idle_timeout_s);
    ln_no_delay(connection);
    _ca_accept_connection(server, connection);
    return TRUE;
}

er_code
_ca_listen(ca_server *server, const char *address, er_status *status)
{
    g_signal_connect(server->service, "incoming", G_CALLBACK(_ca_on_incoming),
                     server);
    return ln_listen(server->service, address, status);
}

GSocket *
_ca_query_socket(SoupServerMessage *message)
{
    GSocketAddress *remote = soup_server_message_get_remote_address(message);
    return remote ? g_object_get_data(G_OBJECT(remote), _CA_SOCKET_DATA_KEY)
                  : NULL;
}

er_code
_ca_enable_keep_alive(ca_server *server, er_status *status)
{
    g_autoptr(GError) error = NULL;
    g_autofree char *folder = g_dir_make_tmp("lacewing-XXXXXX", &error);
    if (!folder) {
        return er_set(status, ER_FILE, "%s", error->message);
    }
    g_autofree char *path = g_build_filename(folder, "unused", NULL);
    g_autoptr(GSocketAddress) address = g_unix_socket_address_new(path);
    g_autoptr(GSocket) socket =
        g_socket_new(G_SOCKET_FAMILY_UNIX, G_SOCKET_TYPE_STREAM, 0, &error);
    bool done = socket && g_socket_bind(socket, address, FALSE, &error) &&
                g_socket_listen(socket, &error) &&
                soup_server_listen_socket(server->soup, socket, 0, &error);
    g_unlink(path);
    g_rmdir(folder);
    return done ? ER_OK : er_set(status, ER_FILE, "%s", error->message);
}
