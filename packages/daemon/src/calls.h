/*
 * calls.h: sends callers' calls to plain services (prefix cs_).
 *
 * A call is sent to a server of this instance's zone if there is one. An
 * idempotent operation that fails is retried on another server. One that is
 * not idempotent is claimed in the table first (cl_) and then sent once;
 * another server is tried only if the request certainly reached none before.
 * A call makes at most 3 attempts to send.
 *
 *     uint64_t call = cs_submit(calls, &(cs_call_desc){
 *         .operation = operation, .team = "t", .key = "k", .body = bytes,
 *         .time_left_ms = 2000, .on_answer = on_answer, .user_data = self});
 *     cs_abandon(calls, call);
 *
 * Limits: one main context. on_answer is called once, never from inside
 * cs_submit(), and not after cs_abandon().
 */
#ifndef LACEWING_CALLS_H
#define LACEWING_CALLS_H

#include "draft.h"
#include "lacewing/claims.h"
#include "lacewing/config.h"
#include "table_calls.h"
#include "wakeup.h"

typedef struct cs_calls cs_calls;

typedef struct cs_answer {
    er_code code;
    dr_ran ran;
    uint32_t retry_after_ms;
    uint32_t http_status; /* with ER_OK: from the service */
    const char *body;     /* with ER_OK */
    bool replayed;        /* stored outcome of an earlier attempt */
    const char *server;   /* with ER_OK, unless replayed */
} cs_answer;

typedef void (*cs_answer_callback)(const cs_answer *answer, void *user_data);

typedef struct cs_call_desc {
    const dc_operation *operation; /* required */
    const char *team;              /* required */
    const char *key;       /* idempotency key; required unless idempotent */
    GBytes *body;          /* required */
    uint32_t time_left_ms; /* required */
    cs_answer_callback on_answer; /* required */
    void *user_data;
} cs_call_desc;

typedef struct cs_desc {
    tm_service *timers;
    tb_table *table;
    const char *instance;
    const char *zone;
    uint64_t incarnation;
} cs_desc;

cs_calls *cs_create(const cs_desc *desc);
void cs_destroy(cs_calls *calls);
void cs_set_config(cs_calls *calls, const dc_config *config);
/* Sends no new calls to the server from now on, configured or not. */
void cs_set_leaving(cs_calls *calls, const char *server);
/* Reports that an instance is alive or dead, for claims that it holds. */
void cs_update_peer(cs_calls *calls, const char *instance,
                    uint64_t incarnation, bool alive);
/* Returns the call's id; 0 if the key is not valid, and then on_answer is not
   called. */
uint64_t cs_submit(cs_calls *calls, const cs_call_desc *desc);
/* Drops the answer, as the caller has disconnected. An idempotent call goes on
   without it. A claimed call that was sent goes on and its outcome is stored;
   one that was not is given up. */
void cs_abandon(cs_calls *calls, uint64_t call);

/* queries */
/* Calls that have not ended: unanswered, or with a request in flight. */
uint32_t cs_query_open_calls(const cs_calls *calls);
/* Outcomes of claimed calls that are not yet in the table. */
uint32_t cs_query_unwritten_outcomes(const cs_calls *calls);
cl_stats cs_query_stats(const cs_calls *calls);

#endif
