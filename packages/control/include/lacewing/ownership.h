/*
 * ownership.h: which daemon may give a backend server orders (prefix ow_).
 *
 * Each backend server has one owner at a time, a daemon of its own zone,
 * agreed through the table:
 *
 *   live/ZONE/INSTANCE/INCARNATION   one row per running daemon, renewed by
 *                                    conditional write; "ended" by another
 *   owner/ZONE/SERVER                instance, incarnation and fence; written
 *                                    only when the owner changes
 *
 * A daemon's incarnation is ended by another only after its row was seen
 * unchanged, and nothing was heard of it, for the lease time on the other's
 * own clock. A server whose owner's incarnation has ended is taken by a
 * conditional write with fence + 1. An owner may use its servers while
 *   - its last renewal was sent less than the lease time ago, or
 *   - every zone peer that could end it has acknowledged a heartbeat sent
 *     less than the lease time ago, or
 *   - the table does not answer and the engine checks fences.
 * With the table silent and a peer silent too, servers that ignore fences
 * are used without evictions (OW_USE_FROZEN).
 *
 *     ow_machine *ow = ow_create(&(ow_desc){.instance = "a", .zone = "z1",
 *         .incarnation = 17});
 *     ow_set_servers(ow, now_us, servers, 2);
 *     ow_feed(ow, now_us, &(ow_event){.type = OW_EVENT_TICK});
 *     ... drain ow_next_action() ...
 *     if (ow_query_use(ow, now_us, "s1", &fence) != OW_USE_NONE) {
 *         send_request("s1", fence);
 *     }
 *
 * Call ow_query_use() right before every request or order to a server, with
 * the time read then, and send nothing on OW_USE_NONE and evict nothing
 * unless it is OW_USE_FULL. A process that was paused finds its lease lapsed
 * there, however old its last tick is.
 *
 * Wiring: each MB_ACTION_SEND with heartbeat.watch set feeds OW_EVENT_SENT
 * before it is sent; each MB_ACTION_PEER_STOPPED_WATCHING,
 * MB_ACTION_HEARTBEAT_RECEIVED, MB_ACTION_HEARTBEAT_ACKED and
 * MB_ACTION_PEER_CHANGED feeds the event of the same name; OW_ACTION_REFUSE
 * feeds MB_EVENT_REFUSE_ACKS at once.
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
    const char *instance;     /* required */
    const char *zone;         /* required */
    uint64_t incarnation;     /* required, new with each start */
    uint64_t seed;            /* default 1 */
    uint32_t lease_ms;        /* default 2500 */
    uint32_t lease_margin_ms; /* the owner stops this much earlier;
                                 default 200 */
    uint32_t lease_far_ms;    /* for daemons that never had a heartbeat of
                                 the owner directly; default 12000 */
    uint32_t renew_ms;        /* while all peers acknowledge; default 5000 */
    uint32_t renew_fast_ms;   /* else; default 1000 */
    uint32_t scan_ms;         /* of the zone's owner rows; default 3000 */
    uint32_t watch_ms;        /* between reads of a dead peer's row;
                                 default 250 */
    uint32_t silence_ms;      /* a call of the table sent this long ago or less
                                 that failed shows that the table is silent;
                                 default 6000 */
    uint32_t spread_ms; /* membership is quiet for this long before a server
                           moves for evenness; default 10000 */
    uint32_t order_life_ms;    /* longest an order or stream of an old owner
                                  lives on; default 120000 */
    uint32_t server_capacity;  /* default 1024 */
    uint32_t peer_capacity;    /* default 1024 */
    bool unsafe_skip_row_wait; /* tests only: ends a silent daemon without
                                  watching its row */
    bool unsafe_skip_clock;    /* tests only: an owner never checks its own
                                  lease */
    bool unsafe_skip_settle;   /* tests only: evictions at once */
} ow_desc;

typedef struct ow_server_desc {
    const char *name;
    const char *zone;
    bool checks_fence; /* its engine refuses an old fencing number */
    bool leaving;      /* not to be taken any more */
} ow_server_desc;

typedef enum ow_event_type {
    OW_EVENT_DEFAULT = 0, /* refused */
    /* Time has passed. Fields: none. */
    OW_EVENT_TICK,
    /* A table call has ended. Fields: table. */
    OW_EVENT_TABLE,
    /* A peer's state as membership sees it. Fields: instance, zone,
       incarnation, state. */
    OW_EVENT_PEER,
    /* A heartbeat that asks a peer to watch goes out now. Fields: instance,
       zone, incarnation. */
    OW_EVENT_SENT,
    /* A peer knows that it watches no more. Fields: instance, zone,
       incarnation. */
    OW_EVENT_UNWATCHED,
    /* A peer's own heartbeat came in. Fields: instance, incarnation,
       names_us (it asks our current incarnation to watch). */
    OW_EVENT_HEARD,
    /* A peer acknowledged a heartbeat of ours. Fields: instance,
       incarnation, sent_us (when we sent it). */
    OW_EVENT_ACKED,
    /* The platform's list no longer holds an instance that it held, so that
       its process has ended. Fields: instance. */
    OW_EVENT_GONE,
    /* What a peer says of an owner. Fields: server, instance, fence. */
    OW_EVENT_OWNER,
    /* The old owner of a server has no stream or order open on it. Fields:
       server, instance, fence (of the old owner). */
    OW_EVENT_DRAINED,
    /* The engine's report, sampled after this instance's first order as
       the owner: requests running there less those of ours that surely ran
       at that time (first token seen, end not seen). Fields: server,
       foreign. */
    OW_EVENT_FOREIGN,
    /* The last stream of this instance on a server that it handed over has
       ended. Fields: server, fence (of the notice OW_ACTION_LOSE). */
    OW_EVENT_IDLE,
    /* Whether this instance reaches a server of another zone, as a probe
       asked for by OW_ACTION_PROBE found. Fields: server,
       reached. */
    OW_EVENT_REACHED,
    /* An engine refused our fence. Fields: server, fence (the engine's). */
    OW_EVENT_FENCED,
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
    uint32_t foreign;
    co_peer_state state;
    bool reached;
    bool names_us;
} ow_event;

typedef enum ow_action_type {
    OW_ACTION_DEFAULT = 0,
    /* Make a call of the table. Fields: table. */
    OW_ACTION_TABLE,
    /* This instance owns a server. Fields: server, fence, settle_us: no
       eviction before this time (UINT64_MAX: none until told). List the
       engine's adapters with the new fence before anything else. */
    OW_ACTION_OWN,
    /* The time before which nothing is evicted has changed. Fields: server,
       fence, settle_us. */
    OW_ACTION_SETTLE,
    /* This instance no longer owns a server. Fields: server, fence, planned:
       true: streams under way may end on it, then feed OW_EVENT_IDLE; false:
       cancel what runs there. */
    OW_ACTION_LOSE,
    /* Another instance owns a server. Fields: server, instance, fence. */
    OW_ACTION_OWNER,
    /* Tell the new owner that our streams on its server have ended. Fields:
       server, instance (new owner), fence (ours, the old one). */
    OW_ACTION_TELL_DRAINED,
    /* Find out whether this instance reaches a server of another zone, and
       feed OW_EVENT_REACHED. Fields: server. */
    OW_ACTION_PROBE,
    /* Acknowledge no heartbeat of this incarnation any more, from before the
       next action on: it is being ended or its server taken. Feed
       MB_EVENT_REFUSE_ACKS. Fields: instance, incarnation. */
    OW_ACTION_REFUSE,
    /* This incarnation was ended by another: all servers are lost, what runs
       there is cancelled. A new incarnation number is in use, which
       heartbeats must carry from now on. Fields: incarnation. */
    OW_ACTION_ENDED,
    OW_ACTION_NUM
} ow_action_type;

typedef struct ow_action {
    ow_action_type type;
    co_table_call table;
    const char *server;
    const char *instance;
    uint64_t fence;
    uint64_t settle_us;
    uint64_t incarnation;
    bool planned;
} ow_action;

/* How far a server may be used right now. */
typedef enum ow_use {
    OW_USE_DEFAULT = 0, /* none */
    OW_USE_NONE,        /* not the owner, or the lease has lapsed */
    OW_USE_FROZEN, /* requests and loads, no evictions: settling, handing over,
                      or cut off */
    OW_USE_FULL,
    OW_USE_NUM
} ow_use;

typedef struct ow_machine ow_machine;

/* NULL when a required field is missing. */
ow_machine *ow_create(const ow_desc *desc);
void ow_destroy(ow_machine *ow);
/* The configuration's backend servers, all of them, all zones. A server that
   is no longer named is lost (planned). */
void ow_set_servers(ow_machine *ow, uint64_t now_us,
                    const ow_server_desc *servers, size_t count);
/* ER_BAD_REQUEST for an event without its fields, ER_STALE for a result that
   nobody waits for. */
er_code ow_feed(ow_machine *ow, uint64_t now_us, const ow_event *event);
/* Planned stop: hands every server over, then deletes the live row. Other
   daemons take each server at once. */
void ow_stop(ow_machine *ow, uint64_t now_us);
bool ow_next_action(ow_machine *ow, ow_action *action);

/* queries */
uint64_t ow_query_wakeup_us(const ow_machine *ow);
/* What may be sent to a server at now_us; fence (may be NULL) gets the
   number that must go with it. */
ow_use ow_query_use(const ow_machine *ow, uint64_t now_us, const char *server,
                    uint64_t *fence);
/* Owner as far as known, NULL when unknown; fence may be NULL. */
const char *ow_query_owner(const ow_machine *ow, const char *server,
                           uint64_t *fence);
uint32_t ow_query_owned_count(const ow_machine *ow);
/* After ow_stop(): all handed over and the live row is gone. */
bool ow_query_stopped(const ow_machine *ow);

#endif
