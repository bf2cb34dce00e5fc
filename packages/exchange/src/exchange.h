/*
 * exchange.h (private): forwards callers' requests to backend servers
 * (prefix xc_).
 *
 * An xc_exchange is one caller's request. It waits until a server that holds
 * its adapter has capacity, is sent there, and the server's answer goes to
 * the caller unchanged. A request is sent again only if the earlier send is
 * known not to have run, or if its kind may be repeated. Statuses that
 * promise that the request did not run are used only when that is known;
 * otherwise the caller gets 502 or 504, or a stream that ends early.
 *
 * The xc_core handles requests as the cr_callbacks of a cr_port, see
 * xc_query_caller_callbacks().
 *
 * commands: xc_create xc_destroy xc_set_table xc_dispatch_waiting xc_tick
 *           xc_set_leave_time xc_close_idle_connections xc_end_blocked
 *           xc_note_origins_read xc_check_listens
 * queries:  xc_query_caller_callbacks
 *
 * Limits: one core in a process; called on the loop's thread only.
 */
#ifndef LACEWING_XC_EXCHANGE_H
#define LACEWING_XC_EXCHANGE_H

#include "caller.h"
#include "crash_watch.h"
#include "fleet.h"
#include "lacewing/dialect.h"
#include "lacewing/http_client.h"
#include "quota.h"
#include "stream_origins.h"
#include "suspects.h"

typedef struct xc_core xc_core;

typedef struct xc_callbacks {
    /* Asks for an adapter to be loaded at a server. request: id of the
       request that needs it, for the log; NULL if that is not logged. */
    void (*request_load)(fl_server *server, fl_adapter *adapter,
                         const char *request, void *user_data);
    /* A server answered that it does not hold an adapter that it was believed
       to hold. */
    void (*mismatch)(fl_server *server, fl_adapter *adapter, void *user_data);
    /* The head of an answer carried a notice of the server on itself. */
    void (*server_notice)(const fl_server_notice *notice, void *user_data);
    /* A server broke off an answer, or gave none for some time; it may have
       crashed. */
    void (*answer_broken)(const cw_broken *broken, void *user_data);
    /* A server process gave a whole answer. */
    void (*answer_good)(const fl_server *server, uint64_t born_ms,
                        void *user_data);
    /* Whether a probe of a blocked content may be sent from here. */
    bool (*may_probe)(void *user_data);
    /* Number of instances that share the retry budgets. */
    uint32_t (*count_live)(void *user_data);
    /* Number of other instances that are not leaving. */
    uint32_t (*count_staying_peers)(void *user_data);
    /* True if the configuration is known to be the newest. */
    bool (*config_fresh)(void *user_data);
    /* Asks for a read of what other instances know of streams; answered by
       xc_note_origins_read(). */
    void (*find_origins)(void *user_data);
    /* A stream of this instance began, and was noted. */
    void (*stream_began)(void *user_data);
    /* True if what earlier processes knew of streams was read, and the list of
       servers is recent enough to tell the base of a service. */
    bool (*origins_known)(void *user_data);
    /* True if most instances, this one included, have lost the store and know
       of no mixed service, as reported later than since_us, and origins_known
       held when this one lost it. */
    bool (*store_lost_by_most)(uint64_t since_us, void *user_data);
} xc_callbacks;

typedef struct xc_desc {
    lp_loop *loop;             /* required */
    nc_hub *hub;               /* required */
    fl_fleet *fleet;           /* required */
    su_suspects *suspects;     /* required */
    qt_quotas *quotas;         /* required */
    so_origins *origins;       /* required */
    const dl_dialect *dialect; /* required */
    const char *zone;          /* required */
    uint64_t max_answer_bytes; /* memory for servers' answers that are
                                  buffered whole; default 64 MiB */
    double retry_ratio;        /* see bg_desc, for these three */
    double retry_slack;
    uint32_t retry_window_ms;
    const xc_callbacks *callbacks; /* required */
    void *user_data;
} xc_desc;

xc_core *xc_create(const xc_desc *desc);
void xc_destroy(xc_core *core);

/* Sets the configuration for requests that arrive from now on; takes a
   reference to it. */
void xc_set_table(xc_core *core, rc_table *table);
/* Dispatches the requests that wait for the adapter; call it when the adapter
   has gained or lost a copy. */
void xc_dispatch_waiting(xc_core *core, fl_adapter *adapter);
/* Dispatches the requests that wait for capacity; call it when there is more
   of it. */
void xc_dispatch_waiting_capacity(xc_core *core);
/* Handles time-outs and requests that wait for capacity; call it about every
   50 ms. */
void xc_tick(xc_core *core);
/* Sets when this instance ends; 0: it stays. Requests that would probably
   take longer are refused, and once the platform sends new callers elsewhere
   (callers_redirected), also those that possibly would. */
void xc_set_leave_time(xc_core *core, uint64_t leave_us,
                       bool callers_redirected);
/* Closes idle connections to a server; call it when the server leaves or is
   gone. */
void xc_close_idle_connections(xc_core *core, fl_server *server);
/* Ends requests whose content was blocked and that no server has begun to
   answer; call it after a block. */
void xc_end_blocked(xc_core *core);
/* A read of other instances' streams that began at began_us has ended, at
   store_ms of the store's clock: dispatches or refuses the requests that wait
   for it. */
void xc_note_origins_read(xc_core *core, uint64_t began_us, uint64_t store_ms);
/* Returns whether a server accepts connections, by those that are open or were
   refused since since_us; tries to open one if neither is the case. */
cw_listens xc_check_listens(xc_core *core, fl_server *server,
                            uint64_t since_us);

/* Returns the callbacks for a cr_port, whose user_data must be the core. */
const cr_callbacks *xc_query_caller_callbacks(void);

#endif
