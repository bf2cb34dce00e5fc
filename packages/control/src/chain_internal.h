/*
 * chain_internal.h: state of the configuration chain, shared by its files.
 *
 *   chain.c         life, events, queries
 *   chain_follow.c  polls, peers' texts and what comes into force
 *   chain_submit.c  changes of operators, and snapshots
 *
 * A change row is "ID\nWHO\nTEXT".
 */
#ifndef LACEWING_CHAIN_INTERNAL_H
#define LACEWING_CHAIN_INTERNAL_H

#include "lacewing/chain.h"
#include "support.h"

#define _CC_PREFIX "config/change/"
#define _CC_SNAPSHOT_KEY "config/snapshot"
#define _CC_SCAN_ROWS 100
#define _CC_HURRY_US UINT64_C(200000) /* least time between hurried polls */

typedef struct _cc_change {
    uint64_t version;
    char *id;
    char *who;
    char *text;
} _cc_change;

typedef enum _cc_call_kind {
    _CC_CALL_SCAN = 0,
    _CC_CALL_SNAPSHOT_ROW, /* read at the start */
    _CC_CALL_SUBMIT,
    _CC_CALL_READ_BACK, /* of a submit without an answer */
    _CC_CALL_REFUSED,   /* audit row of a refused change */
    _CC_CALL_POINT,     /* writes the snapshot row */
    _CC_CALL_NUM
} _cc_call_kind;

typedef struct _cc_call {
    uint64_t number;
    _cc_call_kind kind;
    uint64_t tag; /* of the submit; version of a snapshot */
} _cc_call;

typedef struct _cc_submit {
    uint64_t tag;
    uint64_t expect;
    uint64_t until_us;
    uint64_t try_us; /* next commit or read back */
    bool asked;      /* a commit may have taken effect */
    bool read_back;  /* next is a read back */
    bool open;       /* a call is under way */
    bool polled;     /* the chain was read after it came in */
    char *id;
    char *who;
    char *text;
    char *audit;
} _cc_submit;

struct cc_machine {
    cc_desc desc; /* resolved */
    char *instance;
    GRand *rand;
    _co_outbox *box;
    uint64_t version;
    uint64_t newest_heard;
    GHashTable *peers;  /* instance -> &version */
    GQueue kept;        /* _cc_change, ascending */
    GHashTable *calls;  /* &number -> _cc_call */
    GPtrArray *submits; /* _cc_submit */
    GPtrArray *askers;  /* instances that wait for the whole text */
    uint64_t next_number;
    bool started;
    uint64_t start_us;
    uint64_t work_us;   /* last look at everything */
    uint64_t poll_us;   /* next scan */
    uint64_t polled_us; /* when the last was asked for */
    bool poll_open;
    bool looked;    /* the snapshot row was read, or could not be */
    bool caught_up; /* the table's end of the chain was seen */
    bool failing;   /* the last call of the table had no answer */
    bool ready;
    uint64_t fetch_us;   /* next fetch from a peer */
    uint64_t get_number; /* open get of a snapshot; 0 none */
    uint64_t get_version;
    uint64_t put_number; /* open put of a snapshot; 0 none */
    uint64_t put_version;
    uint64_t want_version;  /* snapshot to be stored; 0 none */
    uint64_t point_version; /* row version of the snapshot row */
};

/* -- chain.c -------------------------------------------------------------- */

cc_action *_cc_act(cc_machine *cc, cc_action_type type);
_cc_call *_cc_call_open(cc_machine *cc, _cc_call_kind kind, uint64_t tag);
void _cc_call_send(cc_machine *cc, _co_call *call);
char *_cc_key(const char *prefix, uint64_t version);

/* -- chain_follow.c ------------------------------------------------------- */

bool _cc_change_parse(const pf_row *row, _cc_change *change);
void _cc_change_clear(_cc_change *change);
const _cc_change *_cc_kept(const cc_machine *cc, uint64_t version);
/* Brings one change into force when it is the next; takes its texts. */
bool _cc_apply(cc_machine *cc, _cc_change *change);
void _cc_follow(cc_machine *cc, uint64_t now_us);
void _cc_hurry(cc_machine *cc, uint64_t now_us);
void _cc_scan_result(cc_machine *cc, uint64_t now_us,
                     const co_table_result *result);
void _cc_look_result(cc_machine *cc, uint64_t now_us,
                     const co_table_result *result);
void _cc_got_object(cc_machine *cc, uint64_t now_us, const cc_event *event);
void _cc_take_text(cc_machine *cc, uint64_t now_us, const cc_event *event);
void _cc_serve(cc_machine *cc, const cc_event *event);
void _cc_serve_whole(cc_machine *cc, uint64_t version, const char *text);

/* -- chain_submit.c ------------------------------------------------------- */

void _cc_submit_free(void *submit);
void _cc_submit_work(cc_machine *cc, uint64_t now_us);
void _cc_submit_result(cc_machine *cc, uint64_t now_us, const _cc_call *call,
                       const co_table_result *result);
void _cc_read_back_result(cc_machine *cc, uint64_t now_us,
                          const _cc_call *call, const co_table_result *result);
/* Stores a snapshot that was asked for. */
void _cc_store(cc_machine *cc, uint64_t version, const char *text);
void _cc_stored(cc_machine *cc, er_code code);
void _cc_point_result(cc_machine *cc, const _cc_call *call,
                      const co_table_result *result);

#endif
