/*
 * weight_share.h: this daemon's share of the weight store (prefix ws_).
 *
 * All daemons share the rate limit of the weight store. Each daemon's own
 * share is the whole rate divided by the configured number of instances, so
 * that the whole is not exceeded even while the daemons are partitioned. A
 * daemon with loads waiting requests a loan from its peers; a peer with rate
 * to spare lends part of its share for a limited time. The lender gives that
 * part up before the grant leaves, and for longer than the granted duration;
 * the borrower counts the duration from when it sent the request. A daemon
 * that has just started holds back what it may have lent before the restart.
 * Lost, late or duplicate messages can therefore only waste rate.
 *
 *     ws_machine *ws = ws_create(&(ws_desc){.instance = "a",
 *         .loads_per_s_milli = 6000, .loads_in_transit = 16,
 *         .instances = 6});
 *     ws_set_demand(ws, now_us, 3);
 *
 * commands:  ws_create ws_destroy ws_set_store_limits ws_set_demand ws_feed
 *            ws_next_action
 * queries:   ws_query_wakeup_us ws_query_rate_milli ws_query_lent_milli
 *            ws_query_borrowed_milli
 *
 * Limits: see control.h. Rates with the suffix _milli are in thousandths of a
 * load per second.
 */
#ifndef LACEWING_WEIGHT_SHARE_H
#define LACEWING_WEIGHT_SHARE_H

#include "lacewing/control.h"

typedef struct ws_desc {
    const char *instance;         /* required */
    uint64_t seed;                /* default 1 */
    uint32_t loads_per_s_milli;   /* of the whole store; default 1000 */
    uint32_t loads_in_transit;    /* concurrent loads of the whole store;
                                     default 2 */
    uint32_t instances;           /* configured number of daemons; default 1 */
    uint32_t loan_ms;             /* duration of a loan; default 5000 */
    uint32_t loan_margin_ms;      /* added to the duration at the lender;
                                     default 500 */
    uint32_t request_interval_ms; /* minimum time between loan requests;
                                     default 500 */
    uint32_t loan_capacity;       /* concurrent loans in each direction;
                                     default 64 */
    bool unsafe_full_start;       /* tests only: ignores loans that may have
                                     been granted before a restart */
    bool unsafe_count_from_grant; /* tests only: the borrower counts the
                                     duration from the grant's arrival */
} ws_desc;

typedef enum ws_event_type {
    WS_EVENT_DEFAULT = 0, /* refused */
    /* Time has passed. Fields: none. */
    WS_EVENT_TICK,
    /* A peer is available for loan requests, or is gone. Fields: instance,
       alive. */
    WS_EVENT_PEER,
    /* A peer requests a loan. Fields: instance, number, rate_milli. */
    WS_EVENT_LOAN_REQUEST,
    /* A peer answers our request. Fields: instance, number (of the request),
       rate_milli (0: nothing to lend), duration_ms. */
    WS_EVENT_LOAN_GRANT,
    WS_EVENT_NUM
} ws_event_type;

typedef struct ws_event {
    ws_event_type type;
    const char *instance;
    uint64_t number;
    uint32_t rate_milli;
    uint32_t duration_ms;
    bool alive;
} ws_event;

typedef enum ws_action_type {
    WS_ACTION_DEFAULT = 0,
    /* Request a loan from a peer. Fields: instance, number, rate_milli. */
    WS_ACTION_REQUEST_LOAN,
    /* Answer a peer's request. Fields: instance, number, rate_milli (0:
       nothing to lend), duration_ms. */
    WS_ACTION_GRANT_LOAN,
    /* The limits of this daemon changed. Fields: rate_milli, in_transit. */
    WS_ACTION_RATE_CHANGED,
    WS_ACTION_NUM
} ws_action_type;

typedef struct ws_action {
    ws_action_type type;
    const char *instance;
    uint64_t number;
    uint32_t rate_milli;
    uint32_t duration_ms;
    uint32_t in_transit;
} ws_action;

typedef struct ws_machine ws_machine;

/* Returns NULL when a required field is missing. */
ws_machine *ws_create(const ws_desc *desc);
void ws_destroy(ws_machine *ws);
/* Sets the limits of the whole store and the number of daemons. A smaller
   share takes effect at once; a larger one only after the duration of a loan
   plus margin, when every loan of the old share has ended. */
void ws_set_store_limits(ws_machine *ws, uint64_t now_us,
                         uint32_t loads_per_s_milli, uint32_t loads_in_transit,
                         uint32_t instances);
/* Sets the number of loads that wait on this daemon. */
void ws_set_demand(ws_machine *ws, uint64_t now_us, uint32_t waiting);
er_code ws_feed(ws_machine *ws, uint64_t now_us, const ws_event *event);
bool ws_next_action(ws_machine *ws, ws_action *action);

/* queries */
uint64_t ws_query_wakeup_us(const ws_machine *ws);
/* Returns the rate that this daemon may use: its share, less what it has
   lent, plus what it has borrowed. */
uint32_t ws_query_rate_milli(const ws_machine *ws, uint64_t now_us);
uint32_t ws_query_lent_milli(const ws_machine *ws, uint64_t now_us);
uint32_t ws_query_borrowed_milli(const ws_machine *ws, uint64_t now_us);

#endif
