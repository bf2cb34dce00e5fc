/*
 * claims.h: operations that run at most once (prefix cl_).
 *
 * Each pair of team and idempotency key has one row in the table,
 *
 *   claim/TEAM/KEY   attempt, instance, incarnation, hash of the body,
 *                    state (claimed, done, unknown, not_sent), outcome
 *
 * and only the daemon whose attempt the row names sends the operation, once.
 * A claim never expires and is never taken over. The one exception is a row
 * that its own claimer marked not_sent: the claimer has abandoned the attempt
 * and will never send it, so a resend of the request may write its own attempt
 * over that row.
 *
 *     cl_claim claim = cl_make_claim(cl, now_us, &(cl_claim_desc){
 *         .tag = 7, .team = "t", .key = "k", .body_hash = sha256,
 *         .deadline_us = now_us + 2000000});
 *     ... CL_ACTION_SEND: send the operation ...
 *     cl_finish(cl, now_us, claim, CL_RESULT_DONE, 200, "{...}");
 *     ... CL_ACTION_ANSWER: answer the caller ...
 *
 * Every claim ends with exactly one CL_ACTION_ANSWER. CL_ACTION_SEND comes
 * before it at most once, and then the answer comes only after cl_finish()
 * or the deadline. `ran` in an answer is CL_RAN_NO only where it is certain
 * that this attempt never runs.
 *
 * Claims and outcomes use group commit: a transaction carries all rows that
 * are queued, and at most `max_transactions` are in flight. A row whose
 * condition fails is taken out and the others are committed again at once. To
 * fill a transaction, outcomes wait up to outcome_linger_ms, claims up to
 * claim_linger_ms.
 *
 * Table down: while calls fail, a new claim is refused at once with
 * ER_PLATFORM_DOWN, CL_RAN_NO and a retry delay. A claim whose commit gets no
 * answer is abandoned, never sent, and its row is marked not_sent as soon as
 * the table answers again, so that a resend can proceed.
 *
 * CL_RAN_NO applies only to the request that it answers. It does not change
 * what was answered to an earlier request with the same key.
 *
 * commands:  cl_create cl_destroy cl_make_claim cl_finish cl_detach_caller
 *            cl_feed cl_next_action
 * queries:   cl_query_wakeup_us cl_query_unanswered_count
 *            cl_query_unwritten_count cl_query_table_down
 *            cl_query_claim_state cl_query_stats
 *
 * Limits: see control.h; an outcome holds at most CL_OUTCOME_BYTES; keys are
 * at most CL_KEY_BYTES long and may hold any bytes but NUL.
 */
#ifndef LACEWING_CLAIMS_H
#define LACEWING_CLAIMS_H

#include "lacewing/control.h"

#define CL_OUTCOME_BYTES (256 * 1024)
#define CL_KEY_BYTES 256

/* Handle made of a slot index and a generation; 0 is never valid. */
typedef struct cl_claim {
    uint64_t id;
} cl_claim;

typedef enum cl_claim_state {
    CL_STATE_NONE = 0, /* no such claim */
    CL_STATE_PENDING,  /* it is not decided yet which attempt has the row */
    CL_STATE_SENT,     /* this attempt has the row and was sent */
    CL_STATE_ENDED,    /* answered, or its final row state is being written */
    CL_STATE_NUM
} cl_claim_state;

typedef struct cl_desc {
    const char *instance;        /* required */
    uint64_t incarnation;        /* required */
    uint64_t seed;               /* default 1 */
    uint32_t claim_capacity;     /* open claims; default 4096 */
    uint32_t batch_rows;         /* rows in a transaction; default 64 */
    uint32_t batch_bytes;        /* a transaction takes no further row once
                                    its values hold this; default 524288 */
    uint32_t max_transactions;   /* in flight at once; default 4 */
    uint32_t claim_linger_ms;    /* longest wait of a claim for others to fill
                                    its transaction; default 10 */
    uint32_t outcome_linger_ms;  /* the same for an outcome; default 200 */
    uint32_t claim_timeout_ms;   /* a claim whose row is not decided by then
                                    is abandoned; default 1500 */
    uint32_t probe_ms;           /* probe interval while the table is down;
                                    default 500 */
    uint32_t unknown_claimer_ms; /* a claimer never heard of counts as gone
                                    after this; default 2000 */
    uint32_t poll_ms;            /* interval between reads of a row that
                                    another attempt has claimed; default 100 */
    uint32_t retry_after_ms;     /* sent to refused callers; default 1000 */
    bool unsafe_send_on_timeout; /* tests only: sends although the claim's
                                    commit has no answer */
    bool unsafe_take_over;       /* tests only: takes over the row of a dead
                                    or unknown claimer */
    bool unsafe_unconditional_claim; /* tests only: claims without a version
                                        condition */
    bool no_group_commit; /* one transaction for each row, for comparison */
} cl_desc;

typedef struct cl_claim_desc {
    uint64_t tag;          /* returned in each action on this claim */
    const char *team;      /* required */
    const char *key;       /* required: the caller's idempotency key */
    const char *body_hash; /* required: SHA-256 in hex of operation and body */
    uint64_t deadline_us;  /* the caller stops waiting; default: after 30 s */
} cl_claim_desc;

/* Result of an attempt that CL_ACTION_SEND asked for. */
typedef enum cl_result {
    CL_RESULT_DEFAULT = 0, /* unknown */
    CL_RESULT_UNKNOWN,     /* sent, but no complete answer came */
    CL_RESULT_DONE,        /* the service answered: status and body */
    CL_RESULT_NOT_SENT,    /* certain: no byte reached the service and none
                              will */
    CL_RESULT_NUM
} cl_result;

/* Whether the attempt ran. */
typedef enum cl_ran {
    CL_RAN_NO = 0, /* certain */
    CL_RAN_YES,
    CL_RAN_UNKNOWN,
    CL_RAN_NUM
} cl_ran;

typedef enum cl_event_type {
    CL_EVENT_DEFAULT = 0, /* refused */
    /* Time has passed. Fields: none. */
    CL_EVENT_TICK,
    /* A table call has ended. Fields: table. */
    CL_EVENT_TABLE,
    /* An incarnation of a daemon is alive, or is gone. Fields: instance,
       incarnation, alive. */
    CL_EVENT_PEER_LIVENESS,
    CL_EVENT_NUM
} cl_event_type;

typedef struct cl_event {
    cl_event_type type;
    const co_table_result *table;
    const char *instance;
    uint64_t incarnation;
    bool alive;
} cl_event;

typedef enum cl_action_type {
    CL_ACTION_DEFAULT = 0,
    /* Make a table call. Fields: table. */
    CL_ACTION_TABLE,
    /* Send the operation, once. Fields: claim, tag, attempt. */
    CL_ACTION_SEND,
    /* Answer the caller. Fields: claim, tag, code, ran, retry_after_ms;
       with ER_OK also status and outcome of the service, and replayed (read
       from the row; an earlier attempt ran). */
    CL_ACTION_ANSWER,
    CL_ACTION_NUM
} cl_action_type;

typedef struct cl_action {
    cl_action_type type;
    co_table_call table;
    cl_claim claim;
    uint64_t tag;
    const char *attempt; /* unique among all attempts of all instances */
    er_code code;
    cl_ran ran;
    uint32_t retry_after_ms;
    uint32_t status; /* HTTP status of the service's answer */
    const char *outcome;
    bool replayed;
} cl_action;

typedef struct cl_stats {
    uint64_t claims;       /* rows claimed by this instance */
    uint64_t outcomes;     /* outcomes written */
    uint64_t transactions; /* commits sent */
    uint64_t reads;        /* reads sent */
    uint64_t conflicts;    /* rows taken out of a transaction */
    uint64_t refused;      /* refused at once because the table is down */
    uint64_t abandoned;    /* abandoned without an answer from the table */
} cl_stats;

typedef struct cl_machine cl_machine;

/* Returns NULL when a required field is missing or claim_capacity exceeds
   1048575, the highest slot index that fits into a cl_claim. */
cl_machine *cl_create(const cl_desc *desc);
void cl_destroy(cl_machine *cl);
/* Starts a claim for one operation. With all claim_capacity slots in use or
   an invalid field it returns id 0 and no action follows: the caller of this
   function answers ER_POOL_FULL or ER_BAD_REQUEST, not run. */
cl_claim cl_make_claim(cl_machine *cl, uint64_t now_us,
                       const cl_claim_desc *desc);
/* Ends the attempt that CL_ACTION_SEND asked for. status and outcome are used
   only with CL_RESULT_DONE. Returns ER_STALE when the claim was not sent or
   has ended. */
er_code cl_finish(cl_machine *cl, uint64_t now_us, cl_claim claim,
                  cl_result result, uint32_t status, const char *outcome);
/* The caller has disconnected: no answer is produced. A sent attempt goes on
   and its outcome is stored; one not yet sent is abandoned. */
er_code cl_detach_caller(cl_machine *cl, uint64_t now_us, cl_claim claim);
er_code cl_feed(cl_machine *cl, uint64_t now_us, const cl_event *event);
bool cl_next_action(cl_machine *cl, cl_action *action);

/* queries */
uint64_t cl_query_wakeup_us(const cl_machine *cl);
/* Number of claims whose caller has no answer yet. */
uint32_t cl_query_unanswered_count(const cl_machine *cl);
/* Number of outcomes and not_sent marks still to be written; a daemon that
   stops waits until it is 0. */
uint32_t cl_query_unwritten_count(const cl_machine *cl);
bool cl_query_table_down(const cl_machine *cl);
cl_claim_state cl_query_claim_state(const cl_machine *cl, cl_claim claim);
cl_stats cl_query_stats(const cl_machine *cl);

#endif
