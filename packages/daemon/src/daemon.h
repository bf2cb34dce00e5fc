/*
 * daemon.h: one entry instance of lacewingd (prefix dn_).
 *
 * Creates the tasks of an instance (configuration, ownership, membership,
 * scheduler, calls, the caller and operator ports) and passes what one task
 * reports to the others that need it.
 *
 *     dn_daemon *daemon = dn_create(&settings, &status);
 *     dn_stop(daemon, on_stopped, self);
 *     dn_destroy(daemon);
 *
 * Limits: runs on the default main context. A process may hold several
 * daemons; they share that context.
 */
#ifndef LACEWING_DAEMON_H
#define LACEWING_DAEMON_H

#include "settings.h"

typedef struct dn_daemon dn_daemon;

typedef void (*dn_stopped_call)(void *user_data);

/* Returns NULL and sets status if an address cannot be listened on or a
   certificate cannot be loaded. */
dn_daemon *dn_create(const ds_settings *settings, er_status *status);
void dn_destroy(dn_daemon *daemon);

/* Starts a planned stop: announces it to the peers, waits notice_ms for the
   load balancer to notice, hands the owned backend servers over, waits for
   work in flight, then calls call. The wait for work in flight is bounded by
   the stop_ms limit of the configuration. Further calls have no effect. */
void dn_stop(dn_daemon *daemon, dn_stopped_call call, void *user_data);
/* Reloads the TLS certificates from their files. If one cannot be loaded, this
   is logged; see tl_reload(). */
void dn_reload(dn_daemon *daemon);

#endif
