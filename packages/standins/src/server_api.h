/*
 * server_api.h: what both kinds of stand-in backend server share (prefix
 * sv_): fencing, health, orders, the platform.
 *
 * Orders beside those of the shell, for both kinds:
 *
 *     slow     factor ms        work takes factor times as long
 *     leaving  [lag_ms]         says so itself, and in the platform's list
 *                               after the lag
 *
 * for engines:
 *
 *     restart_empty [cold_ms]   loses runs and adapters, starts cold
 *     fail_loads count          the next loads fail
 *     crash_on  text            a prompt that holds the text ends the process
 *                               when it starts to run; "" ends the order
 *
 *     sv_server *server = sv_create(&(sv_desc){.kind = SV_ENGINE, ...});
 *     sv_run(server);
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
    sh_desc shell; /* listen, port_file, history, max_seconds */
    sv_kind kind;
    const char *platform;   /* URL; default none: loads take load_ms */
    const char *name;       /* default "server" */
    const char *zone;       /* default "zone" */
    bool check_fence;       /* refuse an old fencing number */
    uint32_t load_ms;       /* of a load without a platform; default 250 */
    uint32_t report_lag_ms; /* of load reports; default 500 */
    uint32_t service_ms;    /* of one call of a service; default 20 */
    en_desc engine;         /* slots and speeds */
    pc_desc cache;
} sv_desc;

typedef struct sv_server sv_server;

sv_server *sv_create(const sv_desc *desc, er_status *status);
void sv_destroy(sv_server *server);
void sv_run(sv_server *server);

/* -- for engine_api.c and service_api.c ----------------------------------- */

/* What a kind of server does. */
typedef struct sv_kind_vt {
    void (*destroy)(void *kind);
    void (*handle)(void *kind, SoupServerMessage *message, const char *path,
                   GHashTable *query);
    bool (*order)(void *kind, const char *order, JsonObject *body);
    const char *(*incarnation)(void *kind);
} sv_kind_vt;

/* First member of a kind's own struct. */
typedef struct sv_kind_base {
    const sv_kind_vt *vt;
} sv_kind_base;

/* What a kind is given. */
typedef struct sv_context {
    sv_server *server;
    sh_shell *shell;
    tm_service *timers;
    pl_client *platform; /* NULL: none */
} sv_context;

sv_kind_base *ea_create(const sv_context *context, const sv_desc *desc);
sv_kind_base *vc_create(const sv_context *context, const sv_desc *desc);

/* Checks and notes the fencing number of an order or request; answers it
   and returns false when it is old and this server checks. */
bool sv_admit(sv_server *server, SoupServerMessage *message,
              const char *order);

#endif
