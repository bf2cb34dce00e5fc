/*
 * weight_share.h: this daemon's share of the weight store (prefix ws_).
 *
 * The weight store's rate is for everybody. Each daemon's own share is the
 * whole divided by the configured number of instances, so that no partition
 * can exceed it. A daemon with loads waiting asks peers; one with rate to
 * spare lends a part for a time. The lender gives the part up, for longer
 * than the time it names, before the grant leaves; the borrower counts the
 * time from when it asked. A daemon that has just started holds back what an
 * earlier life may have lent. Lost, late or doubled messages therefore only
 * waste rate.
 *
 *     ws_machine *ws = ws_create(&(ws_desc){.instance = "a",
 *         .loads_per_s_milli = 6000, .loads_in_transit = 16,
 *         .instances = 6});
 *     ws_set_demand(ws, now_us, 3);
 *
 * commands:  ws_create ws_destroy ws_set_total ws_set_demand ws_feed
 *            ws_next_action
 * queries:   ws_query_wakeup_us ws_query_rate_milli ws_query_lent_milli
 *            ws_query_borrowed_milli
 *
 * Limits: see control.h; rates are loads per 1000 s.
 */
#ifndef LACEWING_WEIGHT_SHARE_H
#define LACEWING_WEIGHT_SHARE_H

#include "lacewing/control.h"

typedef struct ws_desc {
    const char *instance;       /* required */
    uint64_t seed;              /* default 1 */
    uint32_t loads_per_s_milli; /* of the whole store; default 1000 */
    uint32_t loads_in_transit;  /* of the whole store at once; default 2 */
    uint32_t instances;         /* configured daemons; default 1 */
    uint32_t loan_ms;           /* default 5000 */
    uint32_t loan_margin_ms;    /* the lender waits this much longer;
                                   default 500 */
    uint32_t ask_ms;            /* least time between asks; default 500 */
    uint32_t loan_capacity;     /* loans out at once; default 64 */
    bool unsafe_full_start;     /* tests only: forgets that an earlier life may
                                   have lent */
    bool unsafe_count_from_grant; /* tests only: the borrower counts the time
                                     from the grant's arrival */
} ws_desc;

typedef enum ws_event_type {
    WS_EVENT_DEFAULT = 0, /* refused */
    /* Time has passed. Fields: none. */
    WS_EVENT_TICK,
    /* A peer is there to ask, or is gone. Fields: instance, alive. */
    WS_EVENT_PEER,
    /* A peer asks. Fields: instance, number, rate_milli. */
    WS_EVENT_ASK,
    /* A peer lends. Fields: instance, number (of our ask), rate_milli (0:
       none to spare), duration_ms. */
    WS_EVENT_GRANT,
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
    /* Ask a peer. Fields: instance, number, rate_milli. */
    WS_ACTION_ASK,
    /* Answer an ask. Fields: instance, number, rate_milli, duration_ms. */
    WS_ACTION_GRANT,
    /* This daemon's rate changed. Fields: rate_milli, in_transit. */
    WS_ACTION_SHARE,
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

ws_machine *ws_create(const ws_desc *desc);
void ws_destroy(ws_machine *ws);
/* A new configuration of the whole. A smaller share is in force at once; a
   larger one only after every loan of the old has ended. */
void ws_set_total(ws_machine *ws, uint64_t now_us, uint32_t loads_per_s_milli,
                  uint32_t loads_in_transit, uint32_t instances);
/* Loads that wait here now. */
void ws_set_demand(ws_machine *ws, uint64_t now_us, uint32_t waiting);
er_code ws_feed(ws_machine *ws, uint64_t now_us, const ws_event *event);
bool ws_next_action(ws_machine *ws, ws_action *action);

/* queries */
uint64_t ws_query_wakeup_us(const ws_machine *ws);
uint32_t ws_query_rate_milli(const ws_machine *ws, uint64_t now_us);
uint32_t ws_query_lent_milli(const ws_machine *ws, uint64_t now_us);
uint32_t ws_query_borrowed_milli(const ws_machine *ws, uint64_t now_us);

#endif
