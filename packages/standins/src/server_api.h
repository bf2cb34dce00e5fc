/*
 * server_api.h: the stand-in backend server; this part is common to engines
 * and plain services (prefix sv_): fencing, health, fault injection, the
 * platform's list of instances.
 *
 * Besides the orders of the shell, POST /control takes for both kinds:
 *
 *     slow     factor ms        work takes factor times as long for ms
 *     leaving  [lag_ms]         /healthz says leaving at once, the
 *                               platform's list does after the lag
 *
 * and for engines:
 *
 *     restart_empty             aborts the runs, loses the adapters and
 *                               begins a cold start
 *     fail_loads count          the next adapter loads fail
 *     crash_on  text            the process exits when a run starts whose
 *                               prompt contains the text; "" turns this off
 *
 *     sv_server *server = sv_create(&(sv_desc){.kind = SV_ENGINE, ...},
 *                                   &status);
 *     sv_run(server);
 *     sv_destroy(server);
 */
#ifndef LACEWING_STANDIN_SERVER_API_H
#define LACEWING_STANDIN_SERVER_API_H

#include "engine.h"
#include "platform_client.h"
#include "prefix_cache.h"
#include "shell.h"

typedef enum sv_kind {
    SV_KIND_DEFAULT = 0, /* engine */
    SV_ENGINE,
    SV_SERVICE,
    SV_KIND_NUM
} sv_kind;

typedef struct sv_desc {
    sh_desc shell; /* set listen, port_file, history and max_seconds */
    sv_kind kind;
    const char *platform;   /* URL; without one, loads take load_ms */
    const char *name;       /* default "server" */
    const char *zone;       /* default "zone" */
    bool check_fence;       /* refuse requests with a stale fencing number */
    uint32_t load_ms;       /* of a load without a platform; default 250 */
    uint32_t report_lag_ms; /* age of load reports; default 500 */
    uint32_t call_ms;       /* of one call to a plain service; default 20 */
    en_desc engine;         /* slots and speeds */
    pc_desc cache;
} sv_desc;

typedef struct sv_server sv_server;

/* Returns NULL and sets the status if it can't listen. */
sv_server *sv_create(const sv_desc *desc, er_status *status);
void sv_destroy(sv_server *server);
/* Serves until the time limit or SIGTERM. */
void sv_run(sv_server *server);

/* -- for engine_api.c and service_api.c ----------------------------------- */

/* Functions of one kind of server. The argument kind is the object that
   ea_create() or vc_create() returned. */
typedef struct sv_kind_vt {
    void (*destroy)(void *kind);
    /* Handles an HTTP request. */
    void (*handle)(void *kind, SoupServerMessage *message, const char *path,
                   GHashTable *query);
    /* Carries out an order of POST /control; returns false if the order is
       unknown. */
    bool (*order)(void *kind, const char *order, JsonObject *body);
    const char *(*incarnation)(void *kind);
} sv_kind_vt;

/* First member of the struct of each kind. */
typedef struct sv_kind_base {
    const sv_kind_vt *vt;
} sv_kind_base;

/* The parts of the server that a kind uses; the server owns them. */
typedef struct sv_context {
    sv_server *server;
    sh_shell *shell;
    tm_service *timers;
    pl_client *platform; /* NULL if the server has no platform */
} sv_context;

/* The engine, engine_api.c. */
sv_kind_base *ea_create(const sv_context *context, const sv_desc *desc);
/* The plain service, service_api.c. */
sv_kind_base *vc_create(const sv_context *context, const sv_desc *desc);

/* Records a request and its fencing number in the history and remembers the
   highest number. If the server checks fencing numbers and this one is lower
   than the highest, answers with status 409 and returns false. order: name
   of the request in the history. */
bool sv_admit(sv_server *server, SoupServerMessage *message,
              const char *order);

#endif
