/*
 * claims_internal.h: state of the claims machine, shared by its files.
 *
 *   claims.c        commands, events, queries, life of the machine
 *   claims_flow.c   what a claim does next, by what its row says
 *   claims_write.c  group commit
 *   claims_row.c    text of the rows
 *
 * A row's value is one line, ATTEMPT INSTANCE INCARNATION HASH STATE STATUS,
 * and the outcome after it.
 */
#ifndef LACEWING_CLAIMS_INTERNAL_H
#define LACEWING_CLAIMS_INTERNAL_H

#include "lacewing/claims.h"
#include "support.h"

#define _CL_TICK_US UINT64_C(5000)

/* -- private: rows -------------------------------------------------------- */

typedef enum _cl_row_state {
    _CL_ROW_CLAIMED = 0,
    _CL_ROW_DONE,
    _CL_ROW_UNKNOWN,  /* sent; the outcome is not known and never will be */
    _CL_ROW_NOT_SENT, /* given up by its claimer, may be written over */
    _CL_ROW_STATE_NUM
} _cl_row_state;

typedef struct _cl_row {
    uint64_t version; /* 0: absent */
    char *attempt;
    char *instance;
    char *hash;
    char *outcome;
    uint64_t incarnation;
    uint32_t status;
    _cl_row_state state;
} _cl_row;

/* False when the text is not a claim row. */
bool _cl_row_parse(const pf_row *row, _cl_row *out);
void _cl_row_clear(_cl_row *row);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC(_cl_row, _cl_row_clear)
char *_cl_row_format(const _cl_row *row);
char *_cl_row_key(const char *team, const char *key);

/* -- private: claims ------------------------------------------------------ */

typedef enum _cl_phase {
    _CL_PHASE_FREE = 0,
    _CL_PHASE_QUEUED,     /* its write has not been asked for */
    _CL_PHASE_COMMITTING, /* its write is under way */
    _CL_PHASE_READING,    /* the row is being read back */
    _CL_PHASE_WAITING,    /* another attempt runs */
    _CL_PHASE_SENT,
    _CL_PHASE_CLOSING, /* the row's last state is still to be written */
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
    uint64_t expect;    /* row version that the next write needs */
    uint64_t since_us;  /* of the present phase */
    uint64_t poll_us;   /* next read while waiting */
    uint64_t call;      /* open read; 0 none */
    bool answered;      /* no further answer is wanted */
    bool asked;         /* a claim was asked for, so that it may take effect */
    bool abandoned;     /* never send */
    bool unknown_alive; /* waiting for a claimer never heard of */
    _cl_row_state close; /* what closing writes */
    uint32_t status;
    char *outcome;
} _cl_slot;

typedef struct _cl_call {
    uint64_t number;
    uint64_t sent_us;
    GArray *ids; /* cl_claim: rows of a commit in order, or the one read */
    bool is_read;
} _cl_call;

struct cl_machine {
    cl_desc desc; /* resolved */
    char *instance;
    GRand *rand;
    _co_outbox *box;
    _cl_slot *slots;
    uint32_t *free_slots;
    uint32_t free_count;
    uint64_t generation;
    uint64_t next_attempt;
    uint64_t next_number;
    GPtrArray *active;     /* _cl_slot in use */
    GQueue queue;          /* _cl_slot: writes to be asked for */
    GHashTable *busy;      /* row keys under way, a set */
    GHashTable *calls;     /* &number -> _cl_call */
    GHashTable *peers;     /* "INSTANCE/INCARNATION" -> alive (1 or 2) */
    uint32_t commits_open; /* transactions under way */
    uint32_t failures;     /* calls in a row without an answer */
    bool down;
    uint64_t probe_us;   /* next trial while down */
    uint64_t probe_call; /* open trial; 0 none */
    uint64_t tick_us;
    cl_stats stats;
};

/* -- claims.c ------------------------------------------------------------- */

_cl_slot *_cl_find(const cl_machine *cl, cl_claim claim);
void _cl_release(cl_machine *cl, _cl_slot *slot);
_cl_call *_cl_call_open(cl_machine *cl, uint64_t now_us, bool is_read);
void _cl_call_send(cl_machine *cl, _co_call *call);
void _cl_answer(cl_machine *cl, _cl_slot *slot, er_code code, cl_ran ran);

/* -- claims_flow.c -------------------------------------------------------- */

/* The slot's write took effect. */
void _cl_written(cl_machine *cl, uint64_t now_us, _cl_slot *slot,
                 uint64_t version);
/* The row as it stands, after a conflict or a read. */
void _cl_seen(cl_machine *cl, uint64_t now_us, _cl_slot *slot,
              const pf_row *row);
/* It is open whether the slot's write took effect. */
void _cl_unanswered(cl_machine *cl, uint64_t now_us, _cl_slot *slot);
void _cl_read_failed(cl_machine *cl, uint64_t now_us, _cl_slot *slot);
/* Time-outs of one claim. */
void _cl_look(cl_machine *cl, uint64_t now_us, _cl_slot *slot);
/* The attempt is never sent from now on. */
void _cl_abandon(cl_machine *cl, uint64_t now_us, _cl_slot *slot);
void _cl_close(cl_machine *cl, uint64_t now_us, _cl_slot *slot,
               _cl_row_state state);

/* -- claims_write.c ------------------------------------------------------- */

void _cl_enqueue(cl_machine *cl, uint64_t now_us, _cl_slot *slot);
/* Takes the slot out of the queue. */
void _cl_dequeue(cl_machine *cl, _cl_slot *slot);
/* Asks for transactions as far as they are due. */
void _cl_flush(cl_machine *cl, uint64_t now_us);
void _cl_probe(cl_machine *cl, uint64_t now_us);
void _cl_read(cl_machine *cl, uint64_t now_us, _cl_slot *slot);
er_code _cl_feed_table(cl_machine *cl, uint64_t now_us,
                       const co_table_result *result);

#endif
