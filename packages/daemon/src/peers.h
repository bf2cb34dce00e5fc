/*
 * peers.h: the links to other instances (prefix pe_).
 *
 * Accepts links, dials peers on demand and keeps one link to each instance.
 * A new link from the same dialling side replaces the old one, which may be
 * dead without the socket reporting it. If both sides dialled at once, of the
 * two links the one dialled by the instance with the smaller name is kept.
 *
 *     pe_peers *peers = pe_create(&(pe_desc){.instance = "a", .zone = "z1",
 *         .address = "127.0.0.1:7001", .incarnation = 17,
 *         .on_message = take, .on_lost = lost, .user_data = self}, &status);
 *     pe_send(peers, "b", "127.0.0.1:7002", &envelope);
 *
 * Limits: one main context. on_lost is called once for each lost link whose
 * peer had identified itself with a hello.
 */
#ifndef LACEWING_PEERS_H
#define LACEWING_PEERS_H

#include "lacewing.pb-c.h"
#include "lacewing/error.h"
#include "tls.h"
#include <stdbool.h>
#include <stdint.h>

typedef struct pe_peers pe_peers;

/* The instance at the other end of a link, as its hello described it. */
typedef struct pe_peer {
    const char *instance;
    const char *zone;
    const char *address;
    uint64_t incarnation;
} pe_peer;

typedef void (*pe_message_call)(const pe_peer *peer,
                                const Lacewing__Envelope *envelope,
                                void *user_data);
/* The link to the instance has ended, or another one has replaced it. */
typedef void (*pe_lost_call)(const char *instance, void *user_data);

typedef struct pe_desc {
    const char *instance; /* required */
    const char *zone;     /* required */
    const char *address;  /* required: IP:PORT to listen on */
    const char *secret;   /* both ends must have the same; default none */
    uint64_t incarnation; /* required */
    tl_context *tls;      /* NULL: plain TCP */
    pe_message_call on_message;
    pe_lost_call on_lost;
    void *user_data;
} pe_desc;

/* Returns NULL with ER_FILE if the address cannot be listened on. */
pe_peers *pe_create(const pe_desc *desc, er_status *status);
void pe_destroy(pe_peers *peers);

/* Sets the incarnation that later hellos announce. */
void pe_set_incarnation(pe_peers *peers, uint64_t incarnation);

/* Returns false if there is no link now; one is then dialled if the address is
   known. */
bool pe_send(pe_peers *peers, const char *instance, const char *address,
             const Lacewing__Envelope *envelope);
/* Sends to every linked instance. */
void pe_broadcast(pe_peers *peers, const Lacewing__Envelope *envelope);
/* Sends to every linked instance of this zone. */
void pe_broadcast_zone(pe_peers *peers, const Lacewing__Envelope *envelope);
/* Closes the link to an instance, if there is one. */
void pe_close_link(pe_peers *peers, const char *instance);
/* Test hook: simulates a network partition by silently dropping all messages
   to and from instances of these zones. NULL or empty ends it. */
void pe_set_partitioned_zones(pe_peers *peers, const char *const *zones);

/* queries */
bool pe_query_linked(const pe_peers *peers, const char *instance);
uint32_t pe_query_link_count(const pe_peers *peers);

#endif
