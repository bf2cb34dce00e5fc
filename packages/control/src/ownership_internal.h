/*
 * ownership_internal.h: state of the ownership machine, shared by its files.
 *
 *   ownership.c         creation, table calls, scans, queries
 *   ownership_event.c   events from peers and engines
 *   ownership_lease.c   the own live row and what the lease allows
 *   ownership_watch.c   ending the incarnations of silent peers
 *   ownership_server.c  taking, losing and handing over servers
 *   ownership_assign.c  which daemon should own each server
 *
 * Owner rows are text: INSTANCE ZONE INCARNATION FENCE FROM FROM_FENCE HOW,
 * with "-" for no instance. FROM and FROM_FENCE are the owner before and its
 * fence; HOW is how the owner acquired the server: first, taken, planned or
 * unsettled (_ow_acquisition, in this order).
 */
#ifndef LACEWING_OWNERSHIP_INTERNAL_H
#define LACEWING_OWNERSHIP_INTERNAL_H

#include "lacewing/ownership.h"
#include "support.h"

/* Between passes over all peers and servers. */
#define _OW_WORK_INTERVAL_US UINT64_C(100000)
/* Between probes of one server. */
#define _OW_PROBE_INTERVAL_US UINT64_C(2000000)
/* How long a server stays free before a daemon of another zone takes it. */
#define _OW_OTHER_ZONE_DELAY_US UINT64_C(5000000)
/* How long a successful probe counts. */
#define _OW_PROBE_VALID_US UINT64_C(5000000)
/* Delay after a failed table call. */
#define _OW_RETRY_US UINT64_C(500000)
/* An acknowledgement older than this makes the owner renew its live row. */
#define _OW_ACK_MAX_AGE_US UINT64_C(800000)
/* How long a server stays free before a daemon takes it that is not its
   preferred owner. */
#define _OW_SECOND_CHOICE_DELAY_US UINT64_C(1000000)
/* Added for each rank (_ow_rank()), so that of several daemons that could take
   the same server or end the same peer one goes first. */
#define _OW_RANK_DELAY_US UINT64_C(300000)
/* Between reads of a live row that is absent. */
#define _OW_ABSENT_REREAD_US UINT64_C(1000000)
/* How long an ended incarnation is remembered. */
#define _OW_PEER_RETENTION_US UINT64_C(600000000)
#define _OW_SCAN_ROWS 500 /* per page of a scan */
/* Between moves of servers that even out the shares. */
#define _OW_MOVE_INTERVAL_US UINT64_C(1000000)
/* Value of a live row that its daemon must not write any more. */
#define _OW_TOMBSTONE "ended"
#define _OW_NO_INSTANCE "-"

typedef enum _ow_acquisition {
    _OW_ACQUIRED_FIRST = 0, /* never owned before */
    _OW_ACQUIRED_TAKEN,     /* the old owner's incarnation had ended */
    _OW_ACQUIRED_HANDOVER,  /* the old owner gave it up */
    _OW_ACQUIRED_HANDOVER_UNDRAINED, /* the old owner gave it up while an owner
                                        before it was perhaps not drained, so
                                        that its own report of being drained
                                        does not allow evictions */
    _OW_ACQUIRED_NUM
} _ow_acquisition;

typedef struct _ow_row {
    uint64_t version; /* 0: absent */
    char *instance;
    char *zone;
    char *from;
    uint64_t incarnation;
    uint64_t fence;
    uint64_t from_fence;
    _ow_acquisition acquisition;
} _ow_row;

typedef struct _ow_peer {
    char *instance;
    char *zone;
    uint64_t incarnation; /* 0: not known yet */
    co_peer_state state;
    bool heartbeat_sent; /* the own incarnation sent it a heartbeat that asks
                            it to watch */
    bool direct_contact; /* its newest heartbeat asks the own incarnation to
                            watch it */
    bool ended;          /* its live row is absent or a tombstone */
    bool ended_finally;  /* and its live row can never come back */
    bool row_existed;    /* it took a server, so it had a live row; an absent
                            row was deleted then */
    bool instance_gone;  /* the platform reports that the instance ended */
    uint64_t acked_us;   /* sent time of the newest acknowledged heartbeat */
    uint64_t heard_us;   /* its newest direct heartbeat; 0: none */
    uint64_t ended_us;
    uint64_t row_version;    /* of its live row; 0: not read yet */
    uint64_t row_changed_us; /* when row_version was first read */
    uint64_t next_read_us;   /* next read of its live row */
    uint64_t open_call;      /* open read or end; 0: none */
} _ow_peer;

typedef enum _ow_server_state {
    _OW_SERVER_OTHER = 0, /* not owned by this daemon */
    _OW_SERVER_TAKING,
    _OW_SERVER_OWNED,
    _OW_SERVER_HANDING_OVER, /* the outcome of the hand-over is not known */
    _OW_SERVER_STATE_NUM
} _ow_server_state;

typedef struct _ow_server {
    char *name;
    char *zone;
    bool checks_fence;
    bool leaving;
    uint64_t probe_ok_us; /* newest probe that reached it; 0: the last
                             failed */
    uint64_t next_probe_us;
    bool configured; /* in the newest ow_set_servers() */
    bool row_known;  /* the row, or that there is none, has been read */
    _ow_row row;
    _ow_server_state state;
    uint64_t fence; /* while owned */
    uint64_t evict_after_us;
    uint64_t open_call; /* open take, hand-over or read; 0: none */
    uint64_t handover_started_us;
    uint64_t retry_us;      /* no new call before */
    uint64_t free_since_us; /* 0: not free */
    char *committed_value;  /* the row's value in the open commit */
    bool read_needed;
    bool contested;  /* a peer reports another owner with a higher fence */
    char *handed_to; /* streams of this daemon still run there; NULL: none */
    uint64_t handed_fence;
    const char *preferred_owner; /* daemon that should own it; NULL: none */
    uint64_t preferred_incarnation;
} _ow_server;

typedef enum _ow_call_kind {
    _OW_CALL_RENEW = 0,    /* also creates the own live row */
    _OW_CALL_READ_CREATED, /* reads the own live row after a create that was
                              not answered */
    _OW_CALL_DELETE,       /* the own live row, at a stop */
    _OW_CALL_SCAN_OWNERS,
    _OW_CALL_READ_PEER,
    _OW_CALL_END_PEER,
    _OW_CALL_TAKE,
    _OW_CALL_HAND_OVER,
    _OW_CALL_READ_OWNER,
    _OW_CALL_NUM
} _ow_call_kind;

typedef struct _ow_call {
    _ow_call_kind kind;
    uint64_t number;
    uint64_t sent_us;
    uint64_t incarnation; /* the own one when it was sent */
    char *name;           /* server, zone of a scan, or key of a peer */
} _ow_call;

struct ow_machine {
    ow_desc desc; /* with defaults applied */
    char *instance;
    char *zone;
    uint64_t incarnation;
    uint64_t lease_us;
    uint64_t usable_us; /* lease less margin */
    GRand *rand;
    _co_outbox *outbox;
    GHashTable *servers; /* name -> _ow_server */
    GHashTable *peers;   /* "INSTANCE/INCARNATION" -> _ow_peer */
    GHashTable *calls;   /* &number -> _ow_call */
    uint64_t next_number;
    uint64_t last_work_us; /* newest pass over all peers and servers */
    bool paused; /* this process did not run for usable_us, and the lease has
                    not been renewed since */
    bool started;
    uint64_t started_us;
    /* own live row */
    uint64_t live_version;   /* 0: absent */
    bool create_unconfirmed; /* a create was not answered */
    uint64_t renewal_count;  /* the row's value */
    uint64_t renewed_us;     /* sent time of the newest answered renewal */
    bool renewed;
    uint64_t next_renew_us;
    uint64_t renew_call;
    uint64_t last_failed_us; /* sent time of the newest call that failed */
    bool failed;
    uint64_t last_answered_us; /* sent time of the newest answered call */
    /* scans and assignment of servers */
    uint64_t next_scan_us;
    uint64_t scan_call;
    bool assignment_stale;
    GHashTable *daemon_zones; /* zones that have a daemon, a set */
    uint64_t next_move_us;    /* no move to even out shares before */
    uint64_t last_change_us;  /* of membership or servers */
    bool stopping;
    bool live_row_deleted; /* at a stop */
};

/* -- ownership.c ---------------------------------------------------------- */

/* Registers a table call; its result is passed on by its number. */
_ow_call *_ow_call_open(ow_machine *ow, uint64_t now_us, _ow_call_kind kind,
                        const char *name);
void _ow_call_send(ow_machine *ow, _co_call *call);
ow_action *_ow_push_action(ow_machine *ow, ow_action_type type,
                           const _ow_server *server);
/* Finds a peer or adds it; returns NULL when there are too many. */
_ow_peer *_ow_peer_get(ow_machine *ow, const char *instance, const char *zone,
                       uint64_t incarnation);
_ow_peer *_ow_peer_find(const ow_machine *ow, const char *instance,
                        uint64_t incarnation);
bool _ow_peer_alive(const _ow_peer *peer);
void _ow_peer_mark_ended(_ow_peer *peer, uint64_t now_us);
/* Takes back that a peer has ended, unless finally: its live row was absent
   but may yet be created. */
void _ow_peer_unmark_ended(_ow_peer *peer, uint64_t now_us);

/* -- ownership_event.c ---------------------------------------------------- */

er_code _ow_feed_peer(ow_machine *ow, uint64_t now_us, const ow_event *event);
er_code _ow_feed_instance_gone(ow_machine *ow, uint64_t now_us,
                               const ow_event *event);
er_code _ow_feed_server(ow_machine *ow, uint64_t now_us,
                        const ow_event *event);

/* -- ownership_lease.c ---------------------------------------------------- */

/* Renews the own live row, or deletes it at a stop, if that is due. */
void _ow_lease_work(ow_machine *ow, uint64_t now_us);
/* Adds the renewal of the own live row to a commit. */
void _ow_add_renewal(ow_machine *ow, _co_call *call);
void _ow_lease_renewed(ow_machine *ow, const _ow_call *call, uint64_t version);
/* Handles a failed condition on the own live row; row is its present state. */
void _ow_lease_conflict(ow_machine *ow, uint64_t now_us, const pf_row *row);
bool _ow_is_tombstone(const pf_row *row);
void _ow_lease_result(ow_machine *ow, uint64_t now_us, const _ow_call *call,
                      const co_table_result *result);
void _ow_create_result(ow_machine *ow, uint64_t now_us, const _ow_call *call,
                       const co_table_result *result);
void _ow_delete_result(ow_machine *ow, uint64_t now_us,
                       const co_table_result *result);
/* Returns whether the live row was renewed within the lease time. */
bool _ow_lease_fresh(const ow_machine *ow, uint64_t now_us);
/* Returns whether every peer of the own zone and of the given one has
   acknowledged a heartbeat sent less than age_us ago. */
bool _ow_acks_fresh(const ow_machine *ow, uint64_t now_us, uint64_t age_us,
                    const char *zone);
/* Returns what the lease allows on servers of a zone, which daemons of that
   zone and of the own one may take over. */
ow_use _ow_lease_use(const ow_machine *ow, uint64_t now_us, const char *zone,
                     bool checks_fence);

/* -- ownership_watch.c ---------------------------------------------------- */

/* Stops acknowledging an incarnation. Must precede every commit that ends it
   or takes its server. */
void _ow_refuse_acks(ow_machine *ow, const char *instance,
                     uint64_t incarnation);
/* Reads the live rows of the watched peers that are due, and forgets peers
   that ended long ago. */
void _ow_watch_work(ow_machine *ow, uint64_t now_us);
void _ow_watch_result(ow_machine *ow, uint64_t now_us, const _ow_call *call,
                      const co_table_result *result);
void _ow_end_result(ow_machine *ow, uint64_t now_us, const _ow_call *call,
                    const co_table_result *result);

/* -- ownership_server.c --------------------------------------------------- */

void _ow_row_clear(_ow_row *row);
/* Stores a server's owner row if it is newer than the known one, and applies
   what follows from it. */
void _ow_row_update(ow_machine *ow, uint64_t now_us, _ow_server *server,
                    const pf_row *row);
/* Starts the table call that is due for each server: a read of its row, a take
   or a hand-over. */
void _ow_server_work(ow_machine *ow, uint64_t now_us);
void _ow_server_result(ow_machine *ow, uint64_t now_us, const _ow_call *call,
                       const co_table_result *result);
/* Ends the ownership of a server, if this daemon has it, and reports that. */
void _ow_server_lose(ow_machine *ow, _ow_server *server, bool planned);
void _ow_set_evict_after(ow_machine *ow, _ow_server *server,
                         uint64_t evict_after_us);

/* -- ownership_assign.c --------------------------------------------------- */

/* Chooses the preferred owner of each server if membership, servers or
   ownership have changed since the last time. */
void _ow_assign_owners(ow_machine *ow);
/* Returns whether this daemon may take the server: it is of the own zone, or
   of one without daemons. */
bool _ow_is_responsible(const ow_machine *ow, const _ow_server *server);
/* Returns this daemon's rank among the ready daemons of its zone for a server
   or peer of that name, 0 for the first. All daemons compute the same order,
   by a hash of the name and each daemon's own. */
uint32_t _ow_rank(const ow_machine *ow, const char *name);

#endif
