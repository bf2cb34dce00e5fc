/*
 * calls.h: calls of plain services (prefix cs_).
 *
 * An idempotent operation goes to a service of the own zone first and again
 * elsewhere when that fails. One that may not be repeated is claimed first
 * (cl_) and then sent once; another server is tried only while it is certain
 * that nothing has reached one.
 *
 *     uint64_t call = cs_submit(calls, &(cs_call_desc){
 *         .operation = operation, .team = "t", .key = "k", .body = bytes,
 *         .time_left_ms = 2000, .answer = on_answer, .user_data = self});
 *     cs_leave(calls, call);
 *
 * Limits: one main context. The answer comes once, never from inside
 * cs_submit(), and not after cs_leave().
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
    uint32_t http_status; /* with ER_OK: of the service */
    const char *body;     /* with ER_OK */
    bool replayed;        /* an earlier attempt's answer */
    const char *server;   /* with ER_OK, unless replayed */
} cs_answer;

typedef void (*cs_answer_call)(const cs_answer *answer, void *user_data);

typedef struct cs_call_desc {
    const dc_operation *operation; /* required */
    const char *team;              /* required */
    const char *key;               /* required unless idempotent */
    GBytes *body;                  /* required */
    uint32_t time_left_ms;         /* required */
    cs_answer_call answer;         /* required */
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
/* The server gets nothing new from now on. */
void cs_set_leaving(cs_calls *calls, const char *server);
void cs_take_peer(cs_calls *calls, const char *instance, uint64_t incarnation,
                  bool alive);
uint64_t cs_submit(cs_calls *calls, const cs_call_desc *desc);
void cs_leave(cs_calls *calls, uint64_t call);

/* queries */
/* Calls without an answer, and outcomes not yet written. */
uint32_t cs_query_open(const cs_calls *calls);
uint32_t cs_query_unwritten(const cs_calls *calls);
cl_stats cs_query_stats(const cs_calls *calls);

#endif
