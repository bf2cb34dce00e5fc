/*
 * daemon.h: one instance of lacewinglead (prefix dn_).
 *
 * Makes the tasks (configuration, ownership, membership, scheduler, calls,
 * callers, operators) and carries their messages to each other.
 *
 *     dn_daemon *daemon = dn_create(&settings, &status);
 *     dn_stop(daemon, on_stopped, self);
 *     dn_destroy(daemon);
 *
 * Limits: one default main context for each process, though a process may
 * hold several daemons.
 */
#ifndef LACEWING_DAEMON_H
#define LACEWING_DAEMON_H

#include "settings.h"

typedef struct dn_daemon dn_daemon;

typedef void (*dn_stopped_call)(void *user_data);

/* NULL when an address or certificate cannot be used. */
dn_daemon *dn_create(const ds_settings *settings, er_status *status);
void dn_destroy(dn_daemon *daemon);

/* Planned stop: announces it, waits for the balancer, hands the backend
   servers over, finishes what is in flight, then calls back. */
void dn_stop(dn_daemon *daemon, dn_stopped_call call, void *user_data);
/* Reads the certificates again. */
void dn_reload(dn_daemon *daemon);

#endif
