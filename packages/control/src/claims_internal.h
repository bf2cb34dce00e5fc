/*
 * claims_internal.h: state of the claims machine, shared by its files.
 *
 *   claims.c        create and destroy, commands, events, queries
 *   claims_flow.c   the state machine of a claim, driven by its row
 *   claims_write.c  group commit, reads and table results
 *   claims_row.c    encoding and decoding of rows
 *
 * A row's value is one line, ATTEMPT INSTANCE INCARNATION HASH STATE STATUS,
 * followed by the outcome.
 */
#ifndef LACEWING_CLAIMS_INTERNAL_H
#define LACEWING_CLAIMS_INTERNAL_H

#include "lacewing/claims.h"
#include "support.h"

/* Interval of ticks while claims are open or the table is down. */
#define _CL_TICK_US UINT64_C(5000)

/* -- private: rows -------------------------------------------------------- */

typedef enum _cl_row_state {
    _CL_ROW_CLAIMED = 0,
    _CL_ROW_DONE,
    _CL_ROW_UNKNOWN,  /* sent; the outcome is not stored and never will be */
    _CL_ROW_NOT_SENT, /* abandoned by its claimer; may be overwritten */
    _CL_ROW_STATE_NUM
} _cl_row_state;

typedef struct _cl_row {
    uint64_t version; /* 0: the row is absent */
    char *attempt;
    char *instance;
    char *hash;
    char *outcome;
    uint64_t incarnation;
    uint32_t status;
    _cl_row_state state;
} _cl_row;

/* Decodes a row, also an absent one; false when its value is malformed. */
bool _cl_row_parse(const pf_row *row, _cl_row *out);
void _cl_row_clear(_cl_row *row);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(_cl_row, _cl_row_clear)
char *_cl_row_format(const _cl_row *row);
/* Returns the table key; team and key are percent-encoded. */
char *_cl_row_key(const char *team, const char *key);

/* -- private: claims ------------------------------------------------------ */

/* What is known of the daemon that wrote a row. */
typedef enum _cl_liveness {
    _CL_ALIVE_UNKNOWN = 0, /* never heard of */
    _CL_ALIVE_YES,
    _CL_ALIVE_NO,
} _cl_liveness;

typedef enum _cl_phase {
    _CL_PHASE_FREE = 0,
    _CL_PHASE_QUEUED,     /* its claim waits for a transaction */
    _CL_PHASE_COMMITTING, /* its claim is in a transaction in flight */
    _CL_PHASE_READING,    /* reading the row: its commit had no answer */
    _CL_PHASE_WAITING,    /* another attempt has claimed the row */
    _CL_PHASE_SENT,       /* the operation was sent */
    _CL_PHASE_CLOSING,    /* writing the final state of the row */
    _CL_PHASE_NUM
} _cl_phase;

typedef struct _cl_slot {
    cl_claim id;
    _cl_phase phase;
    uint64_t tag;
    char *row_key;
    char *attempt;
    char *hash;
    uint64_t start_us;
    uint64_t deadline_us;
    uint64_t expected_version; /* condition of the next write */
    uint64_t phase_start_us;
    uint64_t next_poll_us;       /* next read while waiting */
    uint64_t read_number;        /* read in flight; 0: none */
    bool answered;               /* no further answer is wanted */
    bool commit_sent;            /* a claim was sent, so it may take effect */
    bool abandoned;              /* this attempt must never be sent */
    bool claimer_unknown;        /* waiting for a claimer never heard of */
    _cl_row_state closing_state; /* what closing writes */
    uint32_t status;
    char *outcome;
} _cl_slot;

typedef struct _cl_call {
    uint64_t number;
    uint64_t sent_us;
    GArray *ids; /* cl_claim: the rows of a commit in order, or the one
                    read; none for a probe */
    bool is_read;
} _cl_call;

struct cl_machine {
    cl_desc desc; /* resolved */
    char *instance;
    GRand *rand;
    _co_outbox *outbox;
    _cl_slot *slots;
    uint32_t *free_slots;
    uint32_t free_count;
    uint64_t generation;
    uint64_t next_attempt;
    uint64_t next_number;
    GPtrArray *active;          /* _cl_slot in use */
    GQueue queue;               /* _cl_slot: writes not yet in a transaction */
    GHashTable *keys_in_flight; /* set of row keys in transactions */
    GHashTable *calls;          /* &number -> _cl_call */
    GHashTable *peers;          /* "INSTANCE/INCARNATION" -> _cl_liveness */
    uint32_t commits_in_flight;
    uint32_t failures; /* consecutive table calls without an answer */
    bool table_down;
    uint64_t next_probe_us; /* next probe while the table is down */
    uint64_t probe_number;  /* probe in flight; 0: none */
    uint64_t last_tick_us;
    cl_stats stats;
};

/* -- claims.c ------------------------------------------------------------- */

/* Returns NULL when the claim has ended or never was. */
_cl_slot *_cl_find_slot(const cl_machine *cl, cl_claim claim);
void _cl_release_slot(cl_machine *cl, _cl_slot *slot);
/* Registers a table call under a new number, so that its result is found. */
_cl_call *_cl_call_register(cl_machine *cl, uint64_t now_us, bool is_read);
/* Appends a CL_ACTION_TABLE; takes the call. */
void _cl_push_table_call(cl_machine *cl, _co_call *call);
/* Answers the caller without an outcome, unless it has an answer already. */
void _cl_answer(cl_machine *cl, _cl_slot *slot, er_code code, cl_ran ran);

/* -- claims_flow.c -------------------------------------------------------- */

/* The slot's write was committed. */
void _cl_write_committed(cl_machine *cl, uint64_t now_us, _cl_slot *slot,
                         uint64_t version);
/* Decides by the current row, known after a conflict or a read. */
void _cl_handle_row(cl_machine *cl, uint64_t now_us, _cl_slot *slot,
                    const pf_row *row);
/* The slot's commit had no answer: it may or may not have taken effect. */
void _cl_write_unanswered(cl_machine *cl, uint64_t now_us, _cl_slot *slot);
void _cl_read_failed(cl_machine *cl, uint64_t now_us, _cl_slot *slot);
/* Handles the timeouts of one claim and the polls of its row. May release the
   slot. */
void _cl_check_timeouts(cl_machine *cl, uint64_t now_us, _cl_slot *slot);
/* Makes sure that the attempt is never sent. Releases the slot when nothing
   was committed, else marks the row not_sent; a commit in flight is settled
   by its result. */
void _cl_abandon(cl_machine *cl, uint64_t now_us, _cl_slot *slot);
/* Queues the write of the row's final state. */
void _cl_start_closing(cl_machine *cl, uint64_t now_us, _cl_slot *slot,
                       _cl_row_state state);

/* -- claims_write.c ------------------------------------------------------- */

void _cl_enqueue(cl_machine *cl, uint64_t now_us, _cl_slot *slot);
void _cl_dequeue(cl_machine *cl, _cl_slot *slot);
/* Sends all transactions that are due. */
void _cl_flush(cl_machine *cl, uint64_t now_us);
/* While the table is down, sends one read at a time to find out whether it is
   reachable again. */
void _cl_probe_table(cl_machine *cl, uint64_t now_us);
/* Sends a read of the claim's row. */
void _cl_read_row(cl_machine *cl, uint64_t now_us, _cl_slot *slot);
er_code _cl_feed_table(cl_machine *cl, uint64_t now_us,
                       const co_table_result *result);

#endif
