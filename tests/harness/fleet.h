/*
 * fleet.h: runs a deployment as real processes on loopback (prefix hn_).
 *
 * A fleet is one stand-in platform, stand-in backend servers and daemons. Each
 * member is a process of its own. Every fleet uses its own loopback address,
 * so that tests can run in parallel with fixed ports. The harness sends
 * signals and orders to members, and hn_destroy() kills all of them by process
 * id.
 *
 *     hn_fleet *fleet = hn_create(&(hn_desc){.bin = "build/bin"});
 *     hn_add_server(fleet, &(hn_server_desc){.name = "e1", .zone = "z1"});
 *     hn_add_daemon(fleet, &(hn_daemon_desc){.name = "a", .zone = "z1"});
 *     hn_start(fleet, "[model base]\n");
 *     hn_signal(hn_find(fleet, "a"), SIGKILL);
 *     hn_destroy(fleet);
 *
 * With LACEWING_KEEP in the environment the fleet's directory, with its
 * settings, logs and histories, stays after hn_destroy().
 *
 * Limits: up to 200 members. Every process exits by itself after 240 s, so
 * that none outlives a test that is killed.
 */
#ifndef LACEWING_FLEET_H
#define LACEWING_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct hn_fleet hn_fleet;
typedef struct hn_member hn_member;

typedef struct hn_desc {
    const char *bin; /* directory of the programs; default $LACEWING_BIN,
                        else build/bin */
    bool verbose;    /* members log to standard error, else to files */
    bool tls;        /* TLS for callers, operators and links */
} hn_desc;

typedef struct hn_server_desc {
    const char *name;
    const char *zone;
    bool service;           /* a plain service, else an engine */
    bool checks_fence;      /* rejects orders with an old fencing number */
    uint32_t slots;         /* default 16 */
    uint32_t adapter_slots; /* default 16 */
    uint32_t tokens_per_s;  /* default 200 */
} hn_server_desc;

typedef struct hn_daemon_desc {
    const char *name;
    const char *zone;
    uint32_t notice_ms; /* wait between the notice of a planned stop and the
                           stop; default 300 */
} hn_daemon_desc;

hn_fleet *hn_create(const hn_desc *desc);
/* Kills the members that still run, waits for their exit and removes the
   fleet's directory. */
void hn_destroy(hn_fleet *fleet);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(hn_fleet, hn_destroy)

void hn_add_server(hn_fleet *fleet, const hn_server_desc *desc);
void hn_add_daemon(hn_fleet *fleet, const hn_daemon_desc *desc);
/* Starts the members one after another in the order in which they were added,
   the platform first, and writes the configuration. It holds the zones and
   servers that were added; extra holds its other groups (INI). Returns false
   if a member does not answer within 10 s of its start. */
bool hn_start(hn_fleet *fleet, const char *extra);
/* Waits until every running daemon is ready and knows an owner for every
   server that its /status lists. Returns false on timeout. */
bool hn_wait_ready(hn_fleet *fleet, uint32_t timeout_ms);

/* Waits until one daemon is ready; it may still know no owner for some
   servers. Returns false on timeout. */
bool hn_wait_member_ready(const hn_member *daemon, uint32_t timeout_ms);

/* The stand-in platform has the name "platform". Returns NULL if no member has
   this name. */
hn_member *hn_find(hn_fleet *fleet, const char *name);
void hn_signal(hn_member *member, int signal);
/* Waits for a member's exit. Returns false on timeout. exit_code may be NULL;
   it is -1 after a signal. */
bool hn_wait_exit(hn_member *member, uint32_t timeout_ms, int *exit_code);
/* Replaces the certificate authority and the certificate that it signs, in the
   same files. Daemons read them again on SIGHUP. */
bool hn_renew_certificates(hn_fleet *fleet);
/* Starts a member again after its exit. Returns false if it does not answer
   within 10 s. */
bool hn_restart(hn_member *member);
/* Sends an order to a stand-in on POST /control, for example
   {"order":"leaving"}. Returns false unless it is accepted. */
bool hn_send_order(hn_member *member, const char *json);
/* Simulates a partition through the daemon's test hook: {"zones":["z2"]} drops
   all messages to and from the instances of these zones, an empty list ends
   it. Returns false unless the daemon accepts it. */
bool hn_set_partition(hn_member *daemon, const char *json);

/* queries */
/* URL of a daemon's port for callers, or of a stand-in. */
const char *hn_query_url(const hn_member *member);
/* URL of a daemon's port for operators. */
const char *hn_query_admin_url(const hn_member *member);
const char *hn_query_platform_url(const hn_fleet *fleet);
bool hn_query_running(const hn_member *member);
/* File of a stand-in's history: one JSON object per line. */
const char *hn_query_history(const hn_member *member);
/* Directory of settings, logs and histories. */
const char *hn_query_directory(const hn_fleet *fleet);
/* PEM file of the certificate authority; NULL without TLS. */
const char *hn_query_ca(const hn_fleet *fleet);

#endif
