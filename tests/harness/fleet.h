/*
 * fleet.h: real processes on loopback, for tests (prefix hn_).
 *
 * Starts stand-ins and daemons, each on ports of a loopback address that
 * belongs to this fleet alone, sends them signals and orders, and ends them
 * all by process id.
 *
 *     hn_fleet *fleet = hn_create(&(hn_desc){.bin = "build/bin"});
 *     hn_add_server(fleet, &(hn_server_desc){.name = "e1", .zone = "z1"});
 *     hn_add_daemon(fleet, &(hn_daemon_desc){.name = "a", .zone = "z1"});
 *     hn_start(fleet);
 *     hn_signal(hn_find(fleet, "a"), SIGKILL);
 *     hn_destroy(fleet);
 *
 * Limits: up to 200 members; every process also ends by itself.
 */
#ifndef LACEWING_FLEET_H
#define LACEWING_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct hn_fleet hn_fleet;
typedef struct hn_member hn_member;

typedef struct hn_desc {
    const char *bin; /* folder of the programs; default $LACEWING_BIN */
    bool verbose;    /* keep the members' logs on standard error */
    bool tls;        /* callers' and operators' ports and links by TLS */
} hn_desc;

typedef struct hn_server_desc {
    const char *name;
    const char *zone;
    bool service; /* a plain service, else an engine */
    bool checks_fence;
    uint32_t slots;         /* default 16 */
    uint32_t adapter_slots; /* default 16 */
    uint32_t tokens_per_s;  /* default 200 */
} hn_server_desc;

typedef struct hn_daemon_desc {
    const char *name;
    const char *zone;
    uint32_t notice_ms; /* default 300 */
} hn_daemon_desc;

hn_fleet *hn_create(const hn_desc *desc);
/* Kills what still runs and waits for it. */
void hn_destroy(hn_fleet *fleet);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(hn_fleet, hn_destroy)

void hn_add_server(hn_fleet *fleet, const hn_server_desc *desc);
void hn_add_daemon(hn_fleet *fleet, const hn_daemon_desc *desc);
/* Starts the platform, the backend servers and the daemons; false when one
   does not come up. extra: further groups of the configuration (INI). */
bool hn_start(hn_fleet *fleet, const char *extra);
/* Waits until every daemon is ready and every engine has an owner. */
bool hn_wait_ready(hn_fleet *fleet, uint32_t timeout_ms);

/* The same for one daemon, which need not know every owner. */
bool hn_wait_member_ready(const hn_member *daemon, uint32_t timeout_ms);

hn_member *hn_find(hn_fleet *fleet, const char *name);
void hn_signal(hn_member *member, int signal);
/* Waits for a member's end; false on timeout. exit_code may be NULL. */
bool hn_wait_exit(hn_member *member, uint32_t timeout_ms, int *exit_code);
/* New certificates from a new authority, in the same files. */
bool hn_renew_certificates(hn_fleet *fleet);
/* Starts a member again after its end. */
bool hn_restart(hn_member *member);
/* An order to fail, as JSON, to a stand-in's control port. */
bool hn_send_order(hn_member *member, const char *json);
/* The test hook of a daemon's links: JSON as for /test/cut. */
bool hn_set_partition(hn_member *daemon, const char *json);

/* queries */
const char *hn_query_url(const hn_member *member);
/* Operators' port of a daemon. */
const char *hn_query_admin_url(const hn_member *member);
const char *hn_query_platform_url(const hn_fleet *fleet);
bool hn_query_running(const hn_member *member);
/* File of a stand-in's history, one JSON object a line. */
const char *hn_query_history(const hn_member *member);
/* Folder of settings, logs and histories. */
const char *hn_query_directory(const hn_fleet *fleet);
/* Authority of the certificates, with TLS; else NULL. */
const char *hn_query_ca(const hn_fleet *fleet);

#endif
