/*
 * orders.h: plans the load and unload orders of one server (prefix od_).
 *
 * There is one od_plan for each server whose lease this instance holds. It
 * queries the server's state first, loads the model, then adapters as they are
 * requested, and evicts the least needed ones to make space. One order is in
 * flight at a time. Each order carries the number of orders accepted before
 * it, so that the server rejects one that arrives late. After an order without
 * an answer, or a count that differs, the server's state is queried again.
 *
 *     od_request_load(plan, adapter, now_us);
 *     while ((step = od_next(plan, now_us, limits)).kind) { carry it out }
 *     od_feed_order_result(plan, now_us, DL_ORDER_ACCEPTED);
 *
 * Made for adapters that are requested faster than they can be loaded: the
 * most used one is loaded first.
 *
 * No sockets and no clock. Limits: everything that may be at the server counts
 * against its adapter capacity, so that no order exceeds it.
 */
#ifndef LACEWING_ORDERS_H
#define LACEWING_ORDERS_H

#include "fleet.h"

typedef struct od_plan od_plan;

typedef enum od_step_kind {
    OD_NOTHING = 0,
    OD_REPORT, /* query the server's state */
    OD_ORDER   /* send step.order, after setting its holder and fence */
} od_step_kind;

typedef struct od_step {
    od_step_kind kind;
    dl_order order;
    bool is_poll; /* repeats a load order to see whether it is done */
} od_step;

typedef struct od_desc {
    fl_fleet *fleet;           /* required */
    fl_server *server;         /* required */
    uint32_t loading_capacity; /* concurrent adapter loads; default 4 */
    uint32_t adapter_load_ms;  /* usual duration of one; default 250 */
} od_desc;

/* What the configuration says of the server's service, and whether the rate
   limits allow a load now. */
typedef struct od_limits {
    const char *model; /* model that the server must hold */
    uint32_t model_load_ms;
    double model_mb;
    double adapter_mb;
    double server_mb;
    uint32_t max_adapters;
    bool may_load_model;   /* the rate of model loads allows one now */
    bool may_load_adapter; /* the limit of concurrent adapter loads from the
                              weight store allows one now */
} od_limits;

od_plan *od_create(const od_desc *desc);
void od_destroy(od_plan *plan);

/* Notes that a request needs an adapter at this server. */
void od_request_load(od_plan *plan, fl_adapter *adapter, uint64_t now_us);
/* Marks the server's state as unknown; it is queried from retry_us on. */
void od_invalidate(od_plan *plan, uint64_t retry_us);

/* Returns the next step; OD_NOTHING while one is in flight. */
od_step od_next(od_plan *plan, uint64_t now_us, const od_limits *limits);
void od_feed_order_result(od_plan *plan, uint64_t now_us,
                          dl_order_result result);
void od_feed_report(od_plan *plan, uint64_t now_us, const dl_server *report);
/* The step in flight got no usable answer. */
void od_feed_no_answer(od_plan *plan, uint64_t now_us);

/* queries */
bool od_query_state_known(const od_plan *plan);
/* Returns whether loads are pending or in progress, or the server's state must
   be queried. */
bool od_query_work_pending(const od_plan *plan);
/* Returns the number of adapter loads in progress. */
uint32_t od_query_loading_count(const od_plan *plan);
/* Returns how many of these fetch from the weight store. */
uint32_t od_query_fetch_count(const od_plan *plan);
/* Returns how many adapters can be loaded now, by free capacity and eviction,
   less the pending loads; may be negative. */
int32_t od_query_load_capacity(const od_plan *plan, uint64_t now_us,
                               const od_limits *limits);
/* Returns the duration of the latest completed load from the weight store, and
   resets it; 0: none since the last call. */
double od_take_fetch_ms(od_plan *plan);
/* Returns a number that rises with each change of the server's state. */
uint64_t od_query_revision(const od_plan *plan);

#endif
