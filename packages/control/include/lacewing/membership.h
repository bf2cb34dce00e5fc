/*
 * membership.h: the daemons of the cluster and their states (prefix mb_).
 *
 * Daemons send each other heartbeats. A heartbeat carries the sender's
 * incarnation, state, sequence number and configuration version, a sample of
 * the peers it knows, and the backend servers it knows to be leaving. Each
 * daemon sends to at most zone_links peers of its own zone and to
 * remote_links peers of each other zone. A small zone is linked fully; in a
 * large one the links go to the neighbours in the order of a hash of the
 * names, so that they are mutual. Samples are passed on by gossip, so the
 * cost of a daemon does not grow with the number of daemons.
 *
 * A peer that is silent, both directly and in samples, becomes suspect and
 * then dead by this daemon's own clock. Another daemon's report of its death
 * counts unless the peer showed a sign of life recently. A dead incarnation
 * comes back only when its own sequence is seen to grow, directly or in
 * samples, which shows that it was cut off and not dead. A higher incarnation
 * of the same instance always comes back. The platform's list never revives a
 * peer: it only adds addresses and leaving marks.
 *
 *     mb_machine *mb = mb_create(&(mb_desc){.instance = "a", .zone = "z1",
 *         .address = "127.0.0.1:7001", .incarnation = 17});
 *     mb_feed(mb, now_us, &(mb_event){.type = MB_EVENT_LISTED,
 *         .instance = "b", .zone = "z1", .address = "127.0.0.1:7002"});
 *
 * commands:  mb_create mb_destroy mb_set_state mb_set_incarnation
 *            mb_set_config_version mb_feed mb_next_action
 * queries:   mb_query_wakeup_us mb_query_peer mb_query_count
 *            mb_query_each mb_query_server_leaving
 *
 * Limits: see control.h.
 */
#ifndef LACEWING_MEMBERSHIP_H
#define LACEWING_MEMBERSHIP_H

#include "lacewing/control.h"

#define MB_SAMPLE_MAX 16         /* peers described in one heartbeat */
#define MB_LEAVING_SERVERS_MAX 8 /* leaving servers in one heartbeat */

typedef struct mb_desc {
    const char *instance;      /* required */
    const char *zone;          /* required */
    const char *address;       /* required */
    uint64_t incarnation;      /* required */
    uint64_t seed;             /* default 1 */
    uint32_t period_ms;        /* between heartbeats on a link within the zone;
                                  default 250 */
    uint32_t remote_period_ms; /* between heartbeats on a link to another zone;
                                  default 1000 */
    uint32_t zone_links;       /* links within the zone; default 6 */
    uint32_t remote_links;     /* links to each other zone; default 1 */
    uint32_t sample_peers; /* live peers described in turn in each heartbeat
                              within the zone, twice as many to other zones;
                              default 2 */
    uint32_t suspect_ms;   /* silence after which a linked peer is suspect;
                              default 800; for a peer of another zone times
                              1 + remote_period_ms / period_ms */
    uint32_t dead_ms;      /* silence after which a linked peer is dead;
                              default 1200; for a peer of another zone longer
                              by the same factor */
    uint32_t indirect_dead_ms; /* silence after which a peer known only from
                                  samples is dead; default 30000 */
    uint32_t forget_ms;        /* how long dead peers are kept;
                                  default 600000 */
    uint32_t leaving_repeats;  /* heartbeats to each peer that name a leaving
                                  server; default 8 */
    uint32_t peer_capacity;    /* peers held; default 1024 */
    bool unsafe_list_revives;  /* tests only: the platform's list makes dead
                                  peers ready */
} mb_desc;

typedef struct mb_peer {
    const char *instance;
    const char *zone;
    const char *address;
    uint64_t incarnation;
    uint64_t sequence; /* of its newest known heartbeat */
    uint64_t config_version;
    co_peer_state state;
} mb_peer;

/* A heartbeat, as received or to be sent. */
typedef struct mb_heartbeat {
    uint64_t incarnation; /* of the sender */
    uint64_t sequence;
    uint64_t ack_sequence;    /* of the receiver's newest heartbeat that the
                                 sender got; 0: no acknowledgement */
    uint64_t ack_incarnation; /* of the receiver, as known to the sender;
                                 0: unknown */
    uint64_t config_version;
    co_peer_state state;
    bool watch;  /* true: asks the receiver to watch the sender (ownership.h)
                    from now on; false: releases it from watching */
    bool answer; /* sent only because the receiver sends heartbeats; the
                    receiver is not among the sender's links */
    const mb_peer *peers;
    size_t peer_count;
    const char *const *leaving_servers;
    size_t leaving_count;
} mb_heartbeat;

typedef enum mb_event_type {
    MB_EVENT_DEFAULT = 0, /* refused */
    /* Time has passed. Fields: none. */
    MB_EVENT_TICK,
    /* A heartbeat was received. Fields: instance, zone, address,
       heartbeat. */
    MB_EVENT_HEARTBEAT,
    /* The platform's list contains an entry instance. Fields: instance,
       zone, address, leaving. */
    MB_EVENT_LISTED,
    /* An instance was removed from the platform's list. Fields: instance. */
    MB_EVENT_UNLISTED,
    /* A backend server was reported as leaving. Fields: server. */
    MB_EVENT_SERVER_LEAVING,
    /* Stop acknowledging heartbeats of this incarnation of a peer and of
       older ones. Fields: instance, incarnation. */
    MB_EVENT_REFUSE_ACKS,
    MB_EVENT_NUM
} mb_event_type;

typedef struct mb_event {
    mb_event_type type;
    const char *instance;
    const char *zone;
    const char *address;
    const char *server;
    const mb_heartbeat *heartbeat;
    uint64_t incarnation;
    bool leaving;
} mb_event;

typedef enum mb_action_type {
    MB_ACTION_DEFAULT = 0,
    /* Send a heartbeat to a peer. Fields: instance, zone, address,
       incarnation (of the peer; 0: not known yet), heartbeat. */
    MB_ACTION_SEND,
    /* A peer's state or incarnation changed. Fields: instance, zone,
       address, incarnation, state. */
    MB_ACTION_PEER_CHANGED,
    /* A heartbeat of a peer was accepted. Fields: instance, zone,
       incarnation, version (of its configuration), asks_to_watch (it asks
       our current incarnation to watch). */
    MB_ACTION_HEARTBEAT_RECEIVED,
    /* A peer acknowledged one of our heartbeats. Fields: instance, zone,
       incarnation, sent_us (when that heartbeat was sent). */
    MB_ACTION_HEARTBEAT_ACKED,
    /* A peer acknowledged a heartbeat that released it from watching us.
       Fields: instance, zone, incarnation. */
    MB_ACTION_PEER_STOPPED_WATCHING,
    /* A backend server is leaving: send it nothing new. Emitted once for each
       server. Fields: server. */
    MB_ACTION_SERVER_LEAVING,
    MB_ACTION_NUM
} mb_action_type;

typedef struct mb_action {
    mb_action_type type;
    const char *instance;
    const char *zone;
    const char *address;
    const char *server;
    uint64_t incarnation;
    uint64_t sent_us;
    uint64_t version;
    co_peer_state state;
    bool asks_to_watch; /* the heartbeat asks us to watch its sender */
    mb_heartbeat heartbeat;
} mb_action;

typedef struct mb_machine mb_machine;

/* Returns NULL when a required field is missing. */
mb_machine *mb_create(const mb_desc *desc);
void mb_destroy(mb_machine *mb);
/* Sets the own state. A change is sent at once on every link. The initial
   state is starting. */
void mb_set_state(mb_machine *mb, uint64_t now_us, co_peer_state state);
/* Sets the own incarnation after the old one has ended
   (OW_ACTION_INCARNATION_ENDED). */
void mb_set_incarnation(mb_machine *mb, uint64_t now_us, uint64_t incarnation);
/* Sets the own configuration version. A change is sent at once on every
   link. */
void mb_set_config_version(mb_machine *mb, uint64_t now_us, uint64_t version);
/* Returns ER_STALE for a heartbeat that is not newer than the newest received
   from its sender, or whose sender has no room within peer_capacity. */
er_code mb_feed(mb_machine *mb, uint64_t now_us, const mb_event *event);
bool mb_next_action(mb_machine *mb, mb_action *action);

/* queries */
uint64_t mb_query_wakeup_us(const mb_machine *mb);
/* Returns false when the peer is not known. */
bool mb_query_peer(const mb_machine *mb, const char *instance, mb_peer *peer);
/* Returns the number of peers in a state; CO_PEER_DEFAULT: of those known to
   be alive. */
uint32_t mb_query_count(const mb_machine *mb, co_peer_state state);
void mb_query_each(const mb_machine *mb,
                   void (*call)(const mb_peer *peer, void *user_data),
                   void *user_data);
/* Returns whether the backend server was ever reported as leaving. */
bool mb_query_server_leaving(const mb_machine *mb, const char *server);

#endif
