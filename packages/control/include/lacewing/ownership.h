/*
 * ownership.h: decides which daemon may send orders to a backend server
 * (prefix ow_).
 *
 * Each backend server has one owner at a time, a daemon of its own zone,
 * agreed through the table:
 *
 *   live/ZONE/INSTANCE/INCARNATION   one row per running daemon, renewed by
 *                                    conditional write; another daemon ends
 *                                    the incarnation by writing "ended"
 *   owner/ZONE/SERVER                instance, incarnation and fence; written
 *                                    only when the owner changes
 *
 * A daemon ends another's incarnation only after its live row was unchanged,
 * and nothing was heard of it, for the lease time on the first one's own
 * clock. A server whose owner's incarnation has ended is taken by a
 * conditional write with fence + 1. An owner may use its servers while
 *   - its last renewal was sent less than the lease time ago, or
 *   - every peer of the zone that could end it has acknowledged a heartbeat
 *     sent less than the lease time ago, and its last renewal was sent less
 *     than lease_indirect_ms ago, or
 *   - the table does not answer and the engine checks fences.
 * When both the table and a peer are silent, servers that ignore fences are
 * used without evictions (OW_USE_NO_EVICTIONS).
 *
 *     ow_machine *ow = ow_create(&(ow_desc){.instance = "a", .zone = "z1",
 *         .incarnation = 17});
 *     ow_set_servers(ow, now_us, servers, 2);
 *     ow_feed(ow, now_us, &(ow_event){.type = OW_EVENT_TICK});
 *     ... handle every action from ow_next_action() ...
 *     if (ow_query_use(ow, now_us, "s1", &fence) != OW_USE_NONE) {
 *         send_request("s1", fence);
 *     }
 *
 * Call ow_query_use() right before every request or order to a server, with
 * the time read then. Send nothing on OW_USE_NONE, and evict only on
 * OW_USE_FULL. A process that was paused finds its lease lapsed there,
 * however old its last tick is.
 *
 * The membership machine (membership.h) feeds this one:
 *   MB_ACTION_SEND with heartbeat.watch set, before it is sent:
 *                        OW_EVENT_HEARTBEAT_SENT
 *   MB_ACTION_PEER_STOPPED_WATCHING: OW_EVENT_PEER_STOPPED_WATCHING
 *   MB_ACTION_HEARTBEAT_RECEIVED:    OW_EVENT_HEARTBEAT_RECEIVED
 *   MB_ACTION_HEARTBEAT_ACKED:       OW_EVENT_HEARTBEAT_ACKED
 *   MB_ACTION_PEER_CHANGED:          OW_EVENT_PEER_STATE
 * In return OW_ACTION_REFUSE_ACKS feeds MB_EVENT_REFUSE_ACKS at once.
 *
 * commands:  ow_create ow_destroy ow_set_servers ow_feed ow_stop
 *            ow_next_action
 * queries:   ow_query_wakeup_us ow_query_use ow_query_owner
 *            ow_query_owned_count ow_query_stopped
 *
 * Limits: see control.h; server and peer counts are bounded by the desc.
 */
#ifndef LACEWING_OWNERSHIP_H
#define LACEWING_OWNERSHIP_H

#include "lacewing/control.h"

typedef struct ow_desc {
    const char *instance;        /* required */
    const char *zone;            /* required */
    uint64_t incarnation;        /* required, new with each start */
    uint64_t seed;               /* of the random jitter; default 1 */
    uint32_t lease_ms;           /* default 2500 */
    uint32_t lease_margin_ms;    /* the owner stops this much before its lease
                                    lapses; default 200 */
    uint32_t lease_indirect_ms;  /* lease time that a daemon waits which never
                                    had a heartbeat directly from the owner;
                                    default 12000 */
    uint32_t renew_ms;           /* between renewals of the live row while all
                                    peers acknowledge; default 5000 */
    uint32_t renew_fast_ms;      /* between renewals otherwise; default 1000 */
    uint32_t scan_interval_ms;   /* between scans of a zone's owner rows;
                                    default 3000 */
    uint32_t watch_interval_ms;  /* between reads of the live row of a dead
                                    peer; default 250 */
    uint32_t table_silence_ms;   /* the table counts as silent for this long
                                    after a failed call was sent, unless a
                                    later one is answered; default 6000 */
    uint32_t rebalance_quiet_ms; /* membership and servers must be unchanged
                                    for this long before a server moves to
                                    even out the shares; default 10000 */
    uint32_t order_lifetime_ms;  /* longest time for which an order or a stream
                                    of an old owner can go on; default
                                    120000 */
    uint32_t server_capacity;    /* servers held; default 1024 */
    uint32_t peer_capacity;      /* peers held, each with up to 4 incarnations
                                    on average; default 1024 */
    bool unsafe_skip_row_wait;   /* tests only: ends a silent daemon without
                                    watching its live row */
    bool unsafe_skip_lease_check; /* tests only: an owner never checks its own
                                     lease */
    bool unsafe_skip_evict_wait;  /* tests only: allows evictions as soon as a
                                     server is acquired */
} ow_desc;

typedef struct ow_server_desc {
    const char *name;
    const char *zone;
    bool checks_fence; /* its engine refuses orders with an old fence */
    bool leaving;      /* must not be taken any more */
} ow_server_desc;

typedef enum ow_event_type {
    OW_EVENT_DEFAULT = 0, /* refused */
    /* Time has passed. Fields: none. */
    OW_EVENT_TICK,
    /* A table call has ended. Fields: table. */
    OW_EVENT_TABLE,
    /* Membership reports the state of a peer. Fields: instance, zone,
       incarnation, state. */
    OW_EVENT_PEER_STATE,
    /* A heartbeat that asks a peer to watch this instance is about to be
       sent. Fields: instance, zone, incarnation. */
    OW_EVENT_HEARTBEAT_SENT,
    /* A peer has confirmed that it no longer watches this instance. Fields:
       instance, zone, incarnation. */
    OW_EVENT_PEER_STOPPED_WATCHING,
    /* A heartbeat came directly from a peer. Fields: instance, incarnation,
       asks_to_watch. */
    OW_EVENT_HEARTBEAT_RECEIVED,
    /* A peer acknowledged a heartbeat of this instance. Fields: instance,
       incarnation, sent_us (when the heartbeat was sent). */
    OW_EVENT_HEARTBEAT_ACKED,
    /* The platform's list no longer holds an instance that it held, so its
       process has ended. Fields: instance. */
    OW_EVENT_INSTANCE_GONE,
    /* A peer reports who owns a server. Fields: server, instance, fence. */
    OW_EVENT_OWNER_REPORTED,
    /* The old owner of a server has no stream or order open on it. Fields:
       server, instance, fence (of the old owner). */
    OW_EVENT_OLD_OWNER_DRAINED,
    /* The engine's report, sampled after this instance's first order as
       the owner. Fields: server, foreign_requests. */
    OW_EVENT_FOREIGN_REQUESTS,
    /* The last stream of this instance on a server that it handed over has
       ended. Fields: server, fence (of OW_ACTION_LOST). */
    OW_EVENT_STREAMS_ENDED,
    /* Result of a probe requested by OW_ACTION_PROBE. Fields: server,
       reachable. */
    OW_EVENT_PROBE_RESULT,
    /* An engine refused the fence of this instance. Fields: server, fence
       (the engine's). */
    OW_EVENT_FENCE_REFUSED,
    OW_EVENT_NUM
} ow_event_type;

typedef struct ow_event {
    ow_event_type type;
    const co_table_result *table;
    const char *instance;
    const char *zone;
    const char *server;
    uint64_t incarnation;
    uint64_t sent_us;
    uint64_t fence;
    uint32_t foreign_requests; /* requests running on the engine, less those
                                  of this instance that surely ran at that
                                  time (first token seen, end not seen) */
    co_peer_state state;
    bool reachable;
    bool asks_to_watch; /* the heartbeat asks the current incarnation of this
                           instance to watch its sender */
} ow_event;

typedef enum ow_action_type {
    OW_ACTION_DEFAULT = 0,
    /* Make a table call. Fields: table. */
    OW_ACTION_TABLE,
    /* This instance has become the owner of a server. Fields: server, fence,
       evict_after_us. List the engine's adapters with the new fence before
       anything else. */
    OW_ACTION_ACQUIRED,
    /* The time before which nothing is evicted has changed. Fields: server,
       fence, evict_after_us. */
    OW_ACTION_EVICT_AFTER,
    /* This instance no longer owns a server. Fields: server, fence, planned:
       true: streams under way may end on it, then feed
       OW_EVENT_STREAMS_ENDED; false: cancel what runs there. */
    OW_ACTION_LOST,
    /* The known owner of a server has changed; it may be this instance.
       Fields: server, instance ("-" for none), fence. */
    OW_ACTION_OWNER_CHANGED,
    /* Tell the new owner that the streams of this instance on its server have
       ended. Fields: server, instance (new owner), fence (of this instance,
       the old one). */
    OW_ACTION_NOTIFY_DRAINED,
    /* Find out whether this instance reaches a server of another zone, and
       feed OW_EVENT_PROBE_RESULT. Fields: server. */
    OW_ACTION_PROBE,
    /* Acknowledge no heartbeat of this incarnation any more, from before the
       next action on: it is being ended or its server taken. Feed
       MB_EVENT_REFUSE_ACKS. Fields: instance, incarnation. */
    OW_ACTION_REFUSE_ACKS,
    /* Another daemon ended this incarnation: all servers are lost, what runs
       there is cancelled. Heartbeats must carry the new incarnation number
       from now on. Fields: incarnation (the new one). */
    OW_ACTION_INCARNATION_ENDED,
    OW_ACTION_NUM
} ow_action_type;

typedef struct ow_action {
    ow_action_type type;
    co_table_call table;
    const char *server;
    const char *instance;
    uint64_t fence;
    uint64_t evict_after_us; /* no eviction before this time; UINT64_MAX: none
                                until told */
    uint64_t incarnation;
    bool planned;
} ow_action;

/* What a server may be used for right now. */
typedef enum ow_use {
    OW_USE_DEFAULT = 0,  /* none */
    OW_USE_NONE,         /* not the owner, or the lease has lapsed */
    OW_USE_NO_EVICTIONS, /* requests and loads, no evictions: an old owner may
                            not be drained, a hand-over is under way, or both
                            table and peers are silent */
    OW_USE_FULL,
    OW_USE_NUM
} ow_use;

typedef struct ow_machine ow_machine;

/* Returns NULL when a required field is missing. */
ow_machine *ow_create(const ow_desc *desc);
void ow_destroy(ow_machine *ow);
/* Sets the configuration's backend servers: all of them, of all zones. A
   server that is no longer listed is lost (planned). */
void ow_set_servers(ow_machine *ow, uint64_t now_us,
                    const ow_server_desc *servers, size_t count);
/* Returns ER_BAD_REQUEST for an event without its fields, ER_STALE for the
   result of an unknown call. */
er_code ow_feed(ow_machine *ow, uint64_t now_us, const ow_event *event);
/* Begins a planned stop: hands every server over, then deletes the live row.
   Other daemons take each server at once. */
void ow_stop(ow_machine *ow, uint64_t now_us);
bool ow_next_action(ow_machine *ow, ow_action *action);

/* queries */
uint64_t ow_query_wakeup_us(const ow_machine *ow);
/* Returns what a server may be used for at now_us; fence (may be NULL) gets
   the fence to send with each request and order. */
ow_use ow_query_use(const ow_machine *ow, uint64_t now_us, const char *server,
                    uint64_t *fence);
/* Returns the owner as far as known, NULL when unknown; fence may be NULL. */
const char *ow_query_owner(const ow_machine *ow, const char *server,
                           uint64_t *fence);
uint32_t ow_query_owned_count(const ow_machine *ow);
/* Returns whether, after ow_stop(), all servers are handed over and the live
   row is deleted. */
bool ow_query_stopped(const ow_machine *ow);

#endif
