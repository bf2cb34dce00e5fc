/* The callers' connections: accepted, bounded, wrapped in TLS. */
#include "caller_private.h"

#include "listen.h"

/* -- private: connections ------------------------------------------------- */

static void
_ca_on_connection_gone(void *data, GObject *connection)
{
    (void)connection;
    ((ca_server *)data)->connections--;
}

typedef struct _ca_incoming {
    ca_server *server;
    GSocketConnection *connection;
} _ca_incoming;

static void
_ca_serve(ca_server *server, GSocketConnection *connection, GIOStream *stream)
{
    g_autoptr(GSocketAddress) local =
        g_socket_connection_get_local_address(connection, NULL);
    g_autoptr(GSocketAddress) remote =
        g_socket_connection_get_remote_address(connection, NULL);
    soup_server_accept_iostream(server->soup, stream, local, remote, NULL);
}

static void
_ca_on_wrapped(GIOStream *stream, void *data)
{
    _ca_incoming *incoming = data;
    if (stream && incoming->server->soup) {
        _ca_serve(incoming->server, incoming->connection, stream);
    }
    g_clear_object(&stream);
    g_object_unref(incoming->connection);
    g_free(incoming);
}

static void
_ca_take_connection(ca_server *server, GSocketConnection *connection)
{
    if (!server->tls) {
        _ca_serve(server, connection, G_IO_STREAM(connection));
        return;
    }
    _ca_incoming *incoming = g_new0(_ca_incoming, 1);
    incoming->server = server;
    incoming->connection = g_object_ref(connection);
    tl_wrap_server(server->tls, G_IO_STREAM(connection), _ca_on_wrapped,
                   incoming);
}

static gboolean
_ca_on_incoming(GSocketService *service, GSocketConnection *connection,
                GObject *source, void *data)
{
    (void)service;
    (void)source;
    ca_server *server = data;
    if (server->connections >= server->connections_max) {
        return TRUE;
    }
    server->connections++;
    g_object_weak_ref(G_OBJECT(connection), _ca_on_connection_gone, server);
    g_socket_set_timeout(g_socket_connection_get_socket(connection),
                         server->idle_timeout_s);
    ln_no_delay(connection);
    _ca_take_connection(server, connection);
    return TRUE;
}

er_code
_ca_listen(ca_server *server, const char *address, er_status *status)
{
    g_signal_connect(server->service, "incoming", G_CALLBACK(_ca_on_incoming),
                     server);
    return ln_listen(server->service, address, status);
}
