/*
 * listen.h: addresses to listen on (prefix ln_).
 *
 *     if (ln_listen(service, "127.0.0.1:8080", &status) != ER_OK) { ... }
 *
 * Limits: IP numbers only, no names.
 */
#ifndef LACEWING_LISTEN_H
#define LACEWING_LISTEN_H

#include "lacewing/error.h"
#include <gio/gio.h>

/* Address of IP:PORT; NULL with ER_FILE when it is not one. The caller owns
   it. */
GSocketAddress *ln_parse(const char *text, er_status *status);
/* Adds IP:PORT to a service and starts it; ER_FILE when it cannot be taken. */
er_code ln_listen(GSocketService *service, const char *text,
                  er_status *status);
/* Sends what is written at once, without waiting for more. */
void ln_no_delay(GSocketConnection *connection);

#endif
