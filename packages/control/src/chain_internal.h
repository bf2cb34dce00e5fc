/*
 * chain_internal.h: state of the configuration chain, shared by its files.
 *
 *   chain.c         create and destroy, events, queries
 *   chain_sync.c    reading the chain from the table and from peers
 *   chain_submit.c  changes submitted by operators, and writing snapshots
 *
 * The value of a change row is "ID\nWHO\nTEXT".
 */
#ifndef LACEWING_CHAIN_INTERNAL_H
#define LACEWING_CHAIN_INTERNAL_H

#include "lacewing/chain.h"
#include "support.h"

#define _CC_PREFIX "config/change/"
#define _CC_SNAPSHOT_KEY "config/snapshot"
#define _CC_SCAN_ROWS 100 /* rows in one scan */
/* Least time between two polls when a newer version is known, and from a
   peer's text to the next fetch. */
#define _CC_MIN_POLL_INTERVAL_US UINT64_C(200000)

typedef struct _cc_change {
    uint64_t version;
    char *id;
    char *who;
    char *text;
} _cc_change;

typedef enum _cc_call_kind {
    _CC_CALL_SCAN = 0,
    _CC_CALL_READ_SNAPSHOT_ROW, /* when the daemon starts */
    _CC_CALL_SUBMIT,
    _CC_CALL_READ_BACK,          /* of a commit that had no answer */
    _CC_CALL_AUDIT_REFUSED,      /* audit row of a refused change */
    _CC_CALL_WRITE_SNAPSHOT_ROW, /* names the newest snapshot */
    _CC_CALL_NUM
} _cc_call_kind;

typedef struct _cc_call {
    uint64_t number;
    _cc_call_kind kind;
    uint64_t tag; /* of the submit; or the snapshot's version */
} _cc_call;

typedef struct _cc_submit {
    uint64_t tag;
    uint64_t expect;
    uint64_t deadline_us;
    uint64_t next_try_us; /* next commit or read back */
    bool commit_sent;     /* a commit may have taken effect */
    bool needs_read_back; /* the next call reads the row back */
    bool call_open;       /* a call is in flight */
    bool chain_polled;    /* the chain was read since the submit */
    char *id;
    char *who;
    char *text;
    char *audit;
} _cc_submit;

struct cc_machine {
    cc_desc desc; /* resolved */
    char *instance;
    GRand *rand;
    _co_outbox *outbox;
    uint64_t version;
    uint64_t newest_known;          /* applied here or reported by a peer */
    GHashTable *peers;              /* instance -> &version in force there */
    GQueue recent_changes;          /* _cc_change, oldest first */
    GHashTable *calls;              /* &number -> _cc_call */
    GPtrArray *submits;             /* _cc_submit */
    GPtrArray *snapshot_requesters; /* instances waiting for the whole
                                       text */
    uint64_t next_number;
    bool started;
    uint64_t start_us;
    uint64_t last_run_us;   /* last run of _cc_run_due_work() */
    uint64_t next_poll_us;  /* next scan, or read of the snapshot row */
    uint64_t last_poll_us;  /* when the last scan was sent */
    bool poll_open;         /* a scan or that read is in flight */
    bool snapshot_row_read; /* its read was sent and has not failed */
    bool caught_up;         /* a scan reached the end of the chain */
    bool table_failing;     /* the last table call had no answer */
    bool ready;
    uint64_t next_fetch_us; /* next fetch from a peer */
    uint64_t get_number;    /* get of a snapshot in flight; 0: none */
    uint64_t get_version;
    uint64_t put_number; /* put of a snapshot in flight; 0: none */
    uint64_t put_version;
    uint64_t requested_version;    /* snapshot to be stored; 0: none */
    uint64_t snapshot_row_version; /* table version of the snapshot row */
};

/* -- chain.c -------------------------------------------------------------- */

/* Appends an action for the daemon and returns it for filling in. */
cc_action *_cc_push_action(cc_machine *cc, cc_action_type type);
/* Registers a table call under a new number, so that its result is found. */
_cc_call *_cc_call_register(cc_machine *cc, _cc_call_kind kind, uint64_t tag);
/* Appends a CC_ACTION_TABLE; takes the call. */
void _cc_push_table_call(cc_machine *cc, _co_call *call);
/* Returns prefix and 12-digit version; free with g_free(). */
char *_cc_version_key(const char *prefix, uint64_t version);

/* -- chain_sync.c ------------------------------------------------------- */

/* Fills change from its row; false when the row is malformed. */
bool _cc_change_parse(const pf_row *row, _cc_change *change);
void _cc_change_clear(_cc_change *change);
/* Returns a change that is still held, or NULL. */
const _cc_change *_cc_find_change(const cc_machine *cc, uint64_t version);
/* Applies a change if its version is the next one, and keeps it among the
   recent changes. Takes its strings either way. */
bool _cc_apply_change(cc_machine *cc, _cc_change *change);
/* Starts the poll or fetch that is due and updates readiness. */
void _cc_sync(cc_machine *cc, uint64_t now_us);
/* Moves the next poll forward to _CC_MIN_POLL_INTERVAL_US after the last. */
void _cc_poll_soon(cc_machine *cc, uint64_t now_us);
void _cc_scan_result(cc_machine *cc, uint64_t now_us,
                     const co_table_result *result);
/* Gets the snapshot that the row names if it is newer. */
void _cc_snapshot_row_result(cc_machine *cc, uint64_t now_us,
                             const co_table_result *result);
void _cc_snapshot_object_result(cc_machine *cc, uint64_t now_us,
                                const cc_event *event);
/* Applies a change or a whole configuration that a peer sent. */
void _cc_apply_peer_text(cc_machine *cc, uint64_t now_us,
                         const cc_event *event);
/* Sends a peer all changes from event->version on, or asks for the whole text
   when the first of them is no longer held. */
void _cc_serve_fetch(cc_machine *cc, const cc_event *event);
/* Sends the whole text to all peers that wait for it. */
void _cc_serve_snapshot(cc_machine *cc, uint64_t version, const char *text);

/* -- chain_submit.c ------------------------------------------------------- */

void _cc_submit_free(void *submit);
/* Makes the next step of each open submit. */
void _cc_run_submits(cc_machine *cc, uint64_t now_us);
void _cc_submit_result(cc_machine *cc, uint64_t now_us, const _cc_call *call,
                       const co_table_result *result);
void _cc_read_back_result(cc_machine *cc, uint64_t now_us,
                          const _cc_call *call, const co_table_result *result);
/* Stores the whole text as an object if this version was requested and no
   other put is in flight. */
void _cc_put_snapshot(cc_machine *cc, uint64_t version, const char *text);
/* Names a stored snapshot in the snapshot row. */
void _cc_put_snapshot_result(cc_machine *cc, er_code code);
/* After a conflict it writes again unless the row names a newer snapshot. */
void _cc_write_snapshot_row_result(cc_machine *cc, const _cc_call *call,
                                   const co_table_result *result);

#endif
