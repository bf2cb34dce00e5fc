/*
 * relay.h: chooses relays for broadcasts among many instances (prefix rl_).
 *
 * Up to rl_desc.direct_max instances send each other every message directly.
 * Above that, a message goes to relays in each zone, which forward it to the
 * other instances of their zone, many messages in one datagram. Each message
 * then crosses between two zones once or twice, and an instance receives a
 * few datagrams a second however many peers it has.
 *
 * Relays are the instances of a zone whose links are at least half as fast as
 * the fastest of that zone. Each sender uses two of them, chosen by a hash of
 * both names: every instance computes the same choice without an election, and
 * the work is spread. Messages that must not be lost go through both; those
 * that are repeated soon go through one, alternately. The receiver drops
 * duplicates (rl_accept).
 *
 *     rl_put(plan, &(rl_peer){.instance = "a", .zone = "z1", ...});
 *     rl_each_target(plan, number, true, call, user_data);
 *     rl_each_zone_peer(plan, call, user_data);   - when a relay forwards
 *     if (rl_accept(seen, incarnation, number)) { it is not a duplicate }
 *
 * Made for the message load among hundreds of instances. No sockets and no
 * clock.
 */
#ifndef LACEWING_RELAY_H
#define LACEWING_RELAY_H

#include <stdbool.h>
#include <stdint.h>

/* Relays that one sender uses in each zone. */
#define RL_RELAYS_PER_ZONE 2

typedef struct rl_plan rl_plan;

typedef struct rl_peer {
    const char *instance;
    const char *zone;
    const char *address;
    uint32_t link_mbps; /* speed of its network link; 0: unknown */
    bool leaving;       /* no longer chosen as a relay */
} rl_peer;

typedef struct rl_desc {
    const char *instance; /* required */
    const char *zone;     /* required */
    uint32_t direct_max;  /* most instances that send directly; default 96 */
} rl_desc;

/* Sliding window over the numbers of the messages received from a sender. */
typedef struct rl_seen {
    uint64_t incarnation;
    uint64_t newest;
    uint64_t window; /* bit k is set: newest - 1 - k was received */
} rl_seen;

rl_plan *rl_create(const rl_desc *desc);
void rl_destroy(rl_plan *plan);

/* Removes all instances; rl_put() them again, the local one included. */
void rl_clear(rl_plan *plan);
void rl_put(rl_plan *plan, const rl_peer *peer);

/* Records the number of a message. Returns false if that number was received
   before or is too old for the window. A different incarnation resets the
   window, whether its number is higher or lower: the sender restarted, and
   its clock may have been set back. */
bool rl_accept(rl_seen *seen, uint64_t incarnation, uint64_t number);

/* queries */
typedef void (*rl_callback)(const char *instance, const char *address,
                            void *user_data);
/* Calls back for each instance that the local message of that number is sent
   to first, the local one excluded. redundant: both relays of each zone. */
void rl_each_target(rl_plan *plan, uint64_t number, bool redundant,
                    rl_callback call, void *user_data);
/* Calls back for all other instances of the local zone. */
void rl_each_zone_peer(rl_plan *plan, rl_callback call, void *user_data);
/* Returns whether there are so many instances that sharing what one of them
   reads from the store saves requests of the others. */
bool rl_query_polling_shared(const rl_plan *plan);
/* Returns whether messages go through relays. */
bool rl_query_relayed(const rl_plan *plan);
/* Returns the position, from 1, of the local instance in an order of all
   instances that is different for each task. Other instances that leave do not
   count. */
uint32_t rl_query_position(const rl_plan *plan, const char *task);
/* Returns the instance at the first position of that order among those that do
   not leave. The local one counts unless it leaves (local_leaves) and there
   are others. */
const char *rl_query_first(const rl_plan *plan, const char *task,
                           bool local_leaves);
/* Returns whether others may choose the local instance as a relay. */
bool rl_query_is_relay(rl_plan *plan);

#endif
