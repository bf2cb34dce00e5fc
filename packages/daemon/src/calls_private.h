/* calls_private.h: shared by the sources of calls. */
#ifndef LACEWING_CALLS_PRIVATE_H
#define LACEWING_CALLS_PRIVATE_H

#include "calls.h"
#include "lacewing/backend.h"

typedef struct _cs_server {
    char *name;
    char *zone;
    be_server *backend;
    bool leaving;               /* gets no new calls */
    uint64_t cooldown_until_us; /* after a failure; tried last until then */
} _cs_server;

typedef struct _cs_call {
    cs_calls *calls;
    uint64_t id;
    char *operation;
    char *key;
    char **servers; /* names of those allowed; empty: all */
    bool idempotent;
    GBytes *body;
    uint64_t deadline_us;
    cs_answer_callback on_answer; /* NULL: abandoned or answered */
    bool in_flight;               /* a request to a service is open */
    void *user_data;
    cl_claim claim; /* id 0: idempotent */
    char *attempt;  /* id of the attempt, sent with the request */
    char *server;   /* name of the one last tried */
    uint32_t tries;
    uint32_t next_candidate; /* position in the ranked servers */
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
    GHashTable *leaving; /* set of server names, configured or not */
    GHashTable *calls;   /* id -> _cs_call */
    uint64_t next_call;
    uint32_t turn; /* not used; call ids spread calls over equal servers */
    bool running_actions; /* guards against recursion */
};

uint64_t _cs_now_us(const cs_calls *calls);

/* calls_server.c */
void _cs_server_free(void *server);
/* Returns the server at position call->next_candidate in the ranking of those
   eligible, best first; NULL if there are not so many. */
_cs_server *_cs_choose_server(const _cs_call *call);

#endif
