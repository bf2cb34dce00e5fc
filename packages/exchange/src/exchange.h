/*
 * exchange.h (private): callers' requests and their answers (prefix xc_).
 *
 * An xc_exchange is one caller's request: it waits for a server that holds
 * its adapter, goes to one, and its answer comes back as the server made it.
 * A request is sent again only when it is known not to have run, or when its
 * kind may be repeated. The statuses that promise "not run" are used only
 * then; otherwise the caller gets 502 or 504, or an answer that ends early.
 *
 * commands: xc_create xc_destroy xc_set_table xc_wake xc_tick xc_leave
 * queries:  xc_query_active
 *
 * Limits: one core a process; the loop's thread.
 */
#ifndef LACEWING_XC_EXCHANGE_H
#define LACEWING_XC_EXCHANGE_H

#include "caller.h"
#include "fleet.h"
#include "lacewing/call.h"
#include "lacewing/dialect.h"

typedef struct xc_core xc_core;

typedef struct xc_calls {
    /* An adapter is wanted at a server, by this request; NULL: by one that is
       not logged. */
    void (*ask)(fl_server *server, fl_adapter *adapter, const char *request,
                void *user_data);
    /* A server said that it does not hold what it was thought to hold. */
    void (*mismatch)(fl_server *server, fl_adapter *adapter, void *user_data);
    /* What a server said of itself with the head of an answer. */
    void (*heard)(const fl_server_notice *heard, void *user_data);
    /* Instances that share the budgets. */
    uint32_t (*live)(void *user_data);
    /* Others that do not leave. */
    uint32_t (*others)(void *user_data);
    /* The configuration is known to be the newest. */
    bool (*config_fresh)(void *user_data);
} xc_calls;

typedef struct xc_desc {
    lp_loop *loop;             /* required */
    nc_hub *hub;               /* required */
    fl_fleet *fleet;           /* required */
    const dl_dialect *dialect; /* required */
    const char *zone;          /* required */
    double retry_ratio;
    double retry_slack;
    uint32_t retry_window_ms;
    const xc_calls *calls; /* required */
    void *user_data;
} xc_desc;

xc_core *xc_create(const xc_desc *desc);
void xc_destroy(xc_core *core);

void xc_set_table(xc_core *core, rc_table *table);
/* An adapter has a further copy, or lost one. */
void xc_wake(xc_core *core, fl_adapter *adapter);
/* Time-outs and requests that wait; call about every 50 ms. */
void xc_tick(xc_core *core);
/* The instance ends then: what is likely to take longer is refused, and, once
   callers are sent to others only, what might. 0: it stays. */
void xc_set_leave(xc_core *core, uint64_t leave_us, bool others_only);
/* Idle connections to a server that is gone or leaves. */
void xc_drop_server(xc_core *core, fl_server *server);

/* The calls that a cr_port needs. */
const cr_calls *xc_query_caller_calls(void);

#endif
