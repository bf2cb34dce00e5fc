/*
 * ownership_internal.h: state of the ownership machine, shared by its files.
 *
 *   ownership.c         life of the machine, table calls, queries
 *   ownership_event.c   what peers and engines say
 *   ownership_lease.c   the own live row and what it allows
 *   ownership_watch.c   ending silent incarnations
 *   ownership_server.c  taking, losing and handing over servers
 *   ownership_spread.c  which daemon each server should go to
 *
 * Owner rows are text: INSTANCE ZONE INCARNATION FENCE FROM FROM_FENCE HOW,
 * with "-" for no instance; HOW is how it came to the owner (_ow_how).
 */
#ifndef LACEWING_OWNERSHIP_INTERNAL_H
#define LACEWING_OWNERSHIP_INTERNAL_H

#include "lacewing/ownership.h"
#include "support.h"

#define _OW_WORK_US UINT64_C(100000)      /* between looks at everything */
#define _OW_PROBE_US UINT64_C(2000000)    /* between probes of one server */
#define _OW_FAR_US UINT64_C(5000000)      /* free, before another zone takes */
#define _OW_REACHED_US UINT64_C(5000000)  /* for which a probe counts */
#define _OW_RETRY_US UINT64_C(500000)     /* after a failed table call */
#define _OW_ACK_AGE_US UINT64_C(800000)   /* older: renew by the table */
#define _OW_PATIENCE_US UINT64_C(1000000) /* before a second choice takes */
#define _OW_RANK_US UINT64_C(300000)      /* between enders of one peer */
#define _OW_ABSENT_US UINT64_C(1000000)   /* between reads of an absent row */
#define _OW_FORGET_US UINT64_C(600000000)
#define _OW_SCAN_ROWS 500
#define _OW_MOVE_US UINT64_C(1000000) /* between moves for evenness */
#define _OW_TOMBSTONE "ended" /* value of a live row that must not come */
#define _OW_NOBODY "-"

typedef enum _ow_how {
    _OW_HOW_FIRST = 0, /* never owned before */
    _OW_HOW_TAKEN,     /* the owner before had ended */
    _OW_HOW_PLANNED,   /* the owner before gave it up */
    _OW_HOW_UNSETTLED, /* it gave it up while one before it was not drained,
                          so that its word alone does not end the wait */
    _OW_HOW_NUM
} _ow_how;

typedef struct _ow_row {
    uint64_t version; /* 0: absent */
    char *instance;
    char *zone;
    char *from;
    uint64_t incarnation;
    uint64_t fence;
    uint64_t from_fence;
    _ow_how how;
} _ow_row;

typedef struct _ow_peer {
    char *instance;
    char *zone;
    uint64_t incarnation; /* 0: not known yet */
    co_peer_state state;
    bool sent;   /* had a heartbeat of this incarnation of ours */
    bool direct; /* it has sent this incarnation of ours a heartbeat */
    bool ended;  /* its live row is not there */
    bool final;  /* and never comes again */
    bool named;  /* it took a server, so its live row has been there */
    bool gone;   /* the platform says that the instance has ended */
    uint64_t acked_us;
    uint64_t heard_us; /* 0: never directly */
    uint64_t ended_us;
    uint64_t row_version; /* of its live row; 0: not read yet */
    uint64_t row_seen_us;
    uint64_t watch_us; /* next read */
    uint64_t call;     /* open read or end; 0 none */
} _ow_peer;

typedef enum _ow_server_state {
    _OW_SERVER_OTHER = 0, /* not ours */
    _OW_SERVER_TAKING,
    _OW_SERVER_OWNED,
    _OW_SERVER_HANDING, /* the hand-over's fate is open */
    _OW_SERVER_STATE_NUM
} _ow_server_state;

typedef struct _ow_server {
    char *name;
    char *zone;
    bool checks_fence;
    bool leaving;
    uint64_t reached_us; /* a probe found it; 0: it did not */
    uint64_t probe_us;   /* next probe */
    bool named;          /* by the newest list */
    bool row_known;      /* the row, or that there is none */
    _ow_row row;
    _ow_server_state state;
    uint64_t fence; /* while owned */
    uint64_t settle_us;
    uint64_t call;    /* open take, hand-over or read; 0 none */
    uint64_t call_us; /* when the open hand-over was first asked for */
    uint64_t try_us;  /* nothing new before */
    uint64_t free_us; /* free since; 0: it is not */
    char *written;    /* the row's value in the open commit */
    bool read_wanted;
    bool contested;  /* a peer names another owner with a higher fence */
    char *handed_to; /* streams of ours end there; NULL: none */
    uint64_t handed_fence;
    const char *wish; /* daemon it should go to; NULL: none */
    uint64_t wish_incarnation;
} _ow_server;

typedef enum _ow_call_kind {
    _OW_CALL_RENEW = 0, /* also creates */
    _OW_CALL_CREATED,   /* reads back a create without an answer */
    _OW_CALL_DELETE,    /* the own live row, at a stop */
    _OW_CALL_SCAN,
    _OW_CALL_WATCH,
    _OW_CALL_END,
    _OW_CALL_TAKE,
    _OW_CALL_HAND,
    _OW_CALL_READ,
    _OW_CALL_NUM
} _ow_call_kind;

typedef struct _ow_call {
    _ow_call_kind kind;
    uint64_t number;
    uint64_t sent_us;
    uint64_t incarnation; /* ours when it was sent */
    char *name;           /* server, zone of a scan, or key of a peer */
} _ow_call;

struct ow_machine {
    ow_desc desc; /* resolved */
    char *instance;
    char *zone;
    uint64_t incarnation;
    uint64_t lease_us;
    uint64_t own_us; /* lease less margin */
    GRand *rand;
    _co_outbox *box;
    GHashTable *servers; /* name -> _ow_server */
    GHashTable *peers;   /* "INSTANCE/INCARNATION" -> _ow_peer */
    GHashTable *calls;   /* &number -> _ow_call */
    uint64_t next_number;
    uint64_t work_us; /* last look at everything */
    bool gap;         /* this process did not run for a lease time, and the
                         lease has not been renewed since */
    bool started;
    uint64_t started_us;
    /* own live row */
    uint64_t live_version; /* 0: not there */
    bool create_open;      /* a create stayed without an answer */
    uint64_t live_count;   /* renewals, the row's value */
    uint64_t renewed_us;
    bool renewed;
    uint64_t renew_us; /* next renewal */
    uint64_t renew_call;
    uint64_t failed_us; /* sent time of the newest call that failed */
    bool failed;
    uint64_t answered_us; /* sent time of the newest that was answered */
    /* scans and spread */
    uint64_t scan_us;
    uint64_t scan_call;
    bool spread_dirty;
    GHashTable *daemon_zones; /* zones that have a daemon, a set */
    uint64_t move_us;         /* no move for evenness before */
    uint64_t changed_us;      /* membership or servers */
    bool stopping;
    bool deleted; /* the live row, at a stop */
};

/* -- ownership.c ---------------------------------------------------------- */

_ow_call *_ow_call_open(ow_machine *ow, uint64_t now_us, _ow_call_kind kind,
                        const char *name);
void _ow_call_send(ow_machine *ow, _co_call *call);
ow_action *_ow_act(ow_machine *ow, ow_action_type type,
                   const _ow_server *server);
_ow_peer *_ow_peer_get(ow_machine *ow, const char *instance, const char *zone,
                       uint64_t incarnation);
_ow_peer *_ow_peer_find(const ow_machine *ow, const char *instance,
                        uint64_t incarnation);
bool _ow_peer_alive(const _ow_peer *peer);
void _ow_peer_end(_ow_peer *peer, uint64_t now_us);
/* An absent row that may yet be created does not count any more. */
void _ow_peer_back(_ow_peer *peer, uint64_t now_us);

/* -- ownership_event.c ---------------------------------------------------- */

er_code _ow_feed_peer(ow_machine *ow, uint64_t now_us, const ow_event *event);
er_code _ow_feed_gone(ow_machine *ow, uint64_t now_us, const ow_event *event);
er_code _ow_feed_server(ow_machine *ow, uint64_t now_us,
                        const ow_event *event);

/* -- ownership_lease.c ---------------------------------------------------- */

void _ow_lease_work(ow_machine *ow, uint64_t now_us);
/* Adds the own live row's renewal to a commit. */
void _ow_lease_add(ow_machine *ow, _co_call *call);
void _ow_lease_renewed(ow_machine *ow, const _ow_call *call, uint64_t version);
/* The own row's condition failed; row as it stands. */
void _ow_lease_conflict(ow_machine *ow, uint64_t now_us, const pf_row *row);
bool _ow_is_tombstone(const pf_row *row);
void _ow_lease_result(ow_machine *ow, uint64_t now_us, const _ow_call *call,
                      const co_table_result *result);
void _ow_create_result(ow_machine *ow, uint64_t now_us, const _ow_call *call,
                       const co_table_result *result);
void _ow_delete_result(ow_machine *ow, uint64_t now_us,
                       const co_table_result *result);
bool _ow_lease_fresh(const ow_machine *ow, uint64_t now_us);
/* Every peer of our zone and of the zone named has acknowledged lately. */
bool _ow_acks_fresh(const ow_machine *ow, uint64_t now_us, uint64_t age_us,
                    const char *zone);
/* What the lease allows on servers of a zone, which are taken by daemons of
   that zone and of ours. */
ow_use _ow_lease_use(const ow_machine *ow, uint64_t now_us, const char *zone,
                     bool checks_fence);

/* -- ownership_watch.c ---------------------------------------------------- */

/* What acts against an incarnation never acknowledges it again. */
void _ow_refuse(ow_machine *ow, const char *instance, uint64_t incarnation);
void _ow_watch_work(ow_machine *ow, uint64_t now_us);
void _ow_watch_result(ow_machine *ow, uint64_t now_us, const _ow_call *call,
                      const co_table_result *result);
void _ow_end_result(ow_machine *ow, uint64_t now_us, const _ow_call *call,
                    const co_table_result *result);

/* -- ownership_server.c --------------------------------------------------- */

void _ow_row_clear(_ow_row *row);
/* Takes in a newer state of a server's row. */
void _ow_row_update(ow_machine *ow, uint64_t now_us, _ow_server *server,
                    const pf_row *row);
void _ow_server_work(ow_machine *ow, uint64_t now_us);
void _ow_server_result(ow_machine *ow, uint64_t now_us, const _ow_call *call,
                       const co_table_result *result);
void _ow_server_lose(ow_machine *ow, _ow_server *server, bool planned);
void _ow_settle_set(ow_machine *ow, _ow_server *server, uint64_t settle_us);

/* -- ownership_spread.c --------------------------------------------------- */

/* Chooses each server's daemon anew when membership has changed. */
void _ow_spread(ow_machine *ow);
/* This daemon looks after a zone's servers: its own zone, or one without
   daemons. */
bool _ow_spread_covers(const ow_machine *ow, const _ow_server *server);
/* Place of this daemon among those that could act on a name. */
uint32_t _ow_spread_rank(const ow_machine *ow, const char *name);

#endif
