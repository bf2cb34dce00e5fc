/*
 * listen.h: listening sockets and their addresses (prefix ln_).
 *
 *     if (ln_listen(service, "127.0.0.1:8080", &status) != ER_OK) { ... }
 *
 * Limits: numeric IP addresses only, no host names.
 */
#ifndef LACEWING_LISTEN_H
#define LACEWING_LISTEN_H

#include "lacewing/error.h"
#include <gio/gio.h>

/* Parses IP:PORT. Returns NULL with ER_FILE if it is malformed. The caller
   owns the address. */
GSocketAddress *ln_parse_address(const char *text, er_status *status);
/* Makes the service listen at IP:PORT and starts it. Returns ER_FILE if the
   address is malformed or cannot be bound. */
er_code ln_listen(GSocketService *service, const char *text,
                  er_status *status);
/* Sets TCP_NODELAY: sends small writes at once. */
void ln_no_delay(GSocketConnection *connection);

#endif
