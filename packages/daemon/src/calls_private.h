/* calls_private.h: what the files of calls share. */
#ifndef LACEWING_CALLS_PRIVATE_H
#define LACEWING_CALLS_PRIVATE_H

#include "calls.h"
#include "lacewing/backend.h"

typedef struct _cs_server {
    char *name;
    char *zone;
    be_server *backend;
    bool leaving;
    uint64_t rests_until_us; /* after a failure; tried last until then */
} _cs_server;

typedef struct _cs_call {
    cs_calls *calls;
    uint64_t id;
    char *operation;
    char *key;
    char **servers; /* allowed; empty: all */
    bool idempotent;
    GBytes *body;
    uint64_t deadline_us;
    cs_answer_call answer; /* NULL: the caller has left or is answered */
    bool sending;          /* a request to a service is open */
    void *user_data;
    cl_claim claim; /* id 0: idempotent */
    char *attempt;
    char *server; /* name of the one last tried */
    uint32_t tries;
    uint32_t skip; /* position in the order of servers */
} _cs_call;

struct cs_calls {
    cl_machine *claims;
    tm_service *timers;
    tb_table *table;
    wk_wakeup wakeup;
    char *instance;
    char *zone;
    uint64_t incarnation;
    GHashTable *servers; /* name -> _cs_server */
    GHashTable *leaving; /* set of names, whether configured or not */
    GHashTable *calls;   /* id -> _cs_call */
    uint64_t next_call;
    uint32_t turn; /* spreads calls over equal servers */
    bool pumping;
};

uint64_t _cs_now_us(const cs_calls *calls);

/* calls_server.c */
void _cs_server_free(void *server);
/* The call->skip-th best server; NULL when there are not so many. */
_cs_server *_cs_choose(const _cs_call *call);

#endif
