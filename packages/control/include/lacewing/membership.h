/*
 * membership.h: which daemons there are, and in which state (prefix mb_).
 *
 * Daemons send each other heartbeats with incarnation, state, sequence, the
 * version of the configuration in force, a sample of the peers they know and
 * the backend servers that they know to be leaving. Each sends to at most
 * zone_links peers of its own zone (all of them in small zones; neighbours in
 * the order of a hash of the names in large ones, so that links are mutual)
 * and to remote_links in each other zone. What a peer's sample says spreads
 * further, so cost per daemon does not grow with the number of daemons.
 *
 * A peer not heard of, directly or by samples, is suspect and then dead on
 * this daemon's own clock; the word of another that saw it die counts unless
 * it was heard directly of late. A dead incarnation comes back only when its
 * own sequence is seen to grow, directly or in samples (it was cut off, not
 * dead); the platform's list never brings it back. A higher incarnation of the
 * same instance always does. The list only adds addresses and leaving marks.
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

#define MB_SAMPLE 16         /* most peers carried along in a heartbeat */
#define MB_LEAVING_SERVERS 8 /* most leaving servers in a heartbeat */

typedef struct mb_desc {
    const char *instance;      /* required */
    const char *zone;          /* required */
    const char *address;       /* required */
    uint64_t incarnation;      /* required */
    uint64_t seed;             /* default 1 */
    uint32_t period_ms;        /* of heartbeats on one link; default 250 */
    uint32_t remote_period_ms; /* on links to other zones; default 1000 */
    uint32_t zone_links;       /* default 6 */
    uint32_t remote_links;     /* in each other zone; default 1 */
    uint32_t sample;      /* peers carried along within the zone, twice as many
                             across; default 2 */
    uint32_t suspect_ms;  /* default 800 */
    uint32_t dead_ms;     /* default 1200, of peers with a link */
    uint32_t far_dead_ms; /* of peers known by samples; default 30000 */
    uint32_t forget_ms;   /* dead peers kept; default 600000 */
    uint32_t leaving_repeat;  /* heartbeats that name a leaving server;
                                 default 8 on each link */
    uint32_t peer_capacity;   /* default 1024 */
    bool unsafe_list_revives; /* tests only: the list brings back the dead */
} mb_desc;

typedef struct mb_peer {
    const char *instance;
    const char *zone;
    const char *address;
    uint64_t incarnation;
    uint64_t sequence; /* newest heartbeat of it known */
    uint64_t config_version;
    co_peer_state state;
} mb_peer;

/* One heartbeat, as received or to be sent. */
typedef struct mb_heartbeat {
    uint64_t incarnation; /* of the sender */
    uint64_t sequence;
    uint64_t ack_sequence;    /* newest of the receiver's seen by the sender */
    uint64_t ack_incarnation; /* of the receiver, as the sender knows it; 0:
                                 not known */
    uint64_t config_version;
    co_peer_state state;
    bool watch;  /* the receiver is one of those that watch over the sender
                    (ownership.h) from now on; else it is not any more */
    bool answer; /* sent because the receiver sends, by no plan of its own */
    const mb_peer *peers;
    size_t peer_count;
    const char *const *leaving_servers;
    size_t leaving_count;
} mb_heartbeat;

typedef enum mb_event_type {
    MB_EVENT_DEFAULT = 0, /* refused */
    /* Time has passed. Fields: none. */
    MB_EVENT_TICK,
    /* A heartbeat came in on a link. Fields: instance, zone, address,
       heartbeat. */
    MB_EVENT_HEARTBEAT,
    /* The platform's list holds an entry instance. Fields: instance, zone,
       address, leaving. */
    MB_EVENT_LISTED,
    /* The platform's list no longer holds an instance that it held. Fields:
       instance. */
    MB_EVENT_UNLISTED,
    /* A backend server is leaving, as somebody says. Fields: server. */
    MB_EVENT_SERVER_LEAVING,
    /* Acknowledge an incarnation no more. Fields: instance, incarnation. */
    MB_EVENT_REFUSED,
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
    /* Send a heartbeat. Fields: instance, zone, address, incarnation (of the
       peer; 0: not known yet), heartbeat. */
    MB_ACTION_SEND,
    /* A peer's state or address changed. Fields: instance, zone, address,
       incarnation, state. */
    MB_ACTION_PEER,
    /* A peer's own heartbeat was taken in. Fields: instance, zone,
       incarnation, version (of its configuration), names_us (it asks our
       current incarnation to watch). */
    MB_ACTION_HEARD,
    /* A peer acknowledged a heartbeat of ours. Fields: instance, zone,
       incarnation, sent_us. */
    MB_ACTION_ACKED,
    /* A peer knows that it does not watch over us any more. Fields: instance,
       zone, incarnation. */
    MB_ACTION_UNWATCHED,
    /* A backend server is leaving: nothing new to it; said once. Fields:
       server. */
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
    bool names_us; /* of a heartbeat that asks us to watch */
    mb_heartbeat heartbeat;
} mb_action;

typedef struct mb_machine mb_machine;

mb_machine *mb_create(const mb_desc *desc);
void mb_destroy(mb_machine *mb);
/* Own state; a change is sent at once on every link. Default: starting. */
void mb_set_state(mb_machine *mb, uint64_t now_us, co_peer_state state);
/* Own new incarnation, after OW_ACTION_INCARNATION_ENDED. */
void mb_set_incarnation(mb_machine *mb, uint64_t now_us, uint64_t incarnation);
/* Own configuration version; a change is sent at once on every link. */
void mb_set_config_version(mb_machine *mb, uint64_t now_us, uint64_t version);
er_code mb_feed(mb_machine *mb, uint64_t now_us, const mb_event *event);
bool mb_next_action(mb_machine *mb, mb_action *action);

/* queries */
uint64_t mb_query_wakeup_us(const mb_machine *mb);
/* False when the peer is not known. */
bool mb_query_peer(const mb_machine *mb, const char *instance, mb_peer *peer);
/* Peers in a state; CO_PEER_DEFAULT: all that are not dead. */
uint32_t mb_query_count(const mb_machine *mb, co_peer_state state);
void mb_query_each(const mb_machine *mb,
                   void (*call)(const mb_peer *peer, void *user_data),
                   void *user_data);
bool mb_query_server_leaving(const mb_machine *mb, const char *server);

#endif
