#include "listen.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

GSocketAddress *
ln_parse_address(const char *text, er_status *status)
{
    g_autoptr(GError) error = NULL;
    g_autoptr(GSocketConnectable) connectable =
        g_network_address_parse(text, 0, &error);
    GSocketAddress *address = NULL;
    if (connectable) {
        GNetworkAddress *network = G_NETWORK_ADDRESS(connectable);
        address = g_inet_socket_address_new_from_string(
            g_network_address_get_hostname(network),
            g_network_address_get_port(network));
    }
    if (!address) {
        er_set(status, ER_FILE, "%s: %s", text,
               error ? error->message : "not an IP address and port");
    }
    return address;
}

er_code
ln_listen(GSocketService *service, const char *text, er_status *status)
{
    g_autoptr(GError) error = NULL;
    g_autoptr(GSocketAddress) address = ln_parse_address(text, status);
    if (!address) {
        return ER_FILE;
    }
    if (!g_socket_listener_add_address(
            G_SOCKET_LISTENER(service), address, G_SOCKET_TYPE_STREAM,
            G_SOCKET_PROTOCOL_TCP, NULL, NULL, &error)) {
        return er_set(status, ER_FILE, "%s: %s", text, error->message);
    }
    g_socket_service_start(service);
    return ER_OK;
}

void
ln_no_delay(GSocketConnection *connection)
{
    g_socket_set_option(g_socket_connection_get_socket(connection),
                        IPPROTO_TCP, TCP_NODELAY, 1, NULL);
}
