/*
 * orders.h: what one backend server is ordered to hold (prefix od_).
 *
 * One od_plan for each server that this instance holds the lease of. It asks
 * the server for its state first, loads the model, then adapters as they are
 * asked for, making room by unloading what is needed least. One order is
 * under way at a time; each carries the number of orders accepted before, so
 * that one that is carried out late does nothing. After an order without an
 * answer, or a count that differs, the server is asked for its state again.
 *
 *     od_want(plan, adapter, now_us);
 *     while (od_next(plan, now_us, room, &step)) { carry it out }
 *     od_feed_order(plan, now_us, DL_ORDER_ACCEPTED);
 *
 * Answers the load of adapters that are asked for faster than they arrive:
 * the one that is used most goes first.
 *
 * No sockets and no clock. Limits: places are counted with everything that
 * may be at the server, so that no order exceeds its room.
 */
#ifndef LACEWING_ORDERS_H
#define LACEWING_ORDERS_H

#include "fleet.h"

typedef struct od_plan od_plan;

typedef enum od_step_kind {
    OD_NOTHING = 0,
    OD_REPORT, /* ask the server for its state */
    OD_ORDER   /* send step.order, without holder and fence */
} od_step_kind;

typedef struct od_step {
    od_step_kind kind;
    dl_order order;
    bool asks; /* after a load that is under way: no further load */
} od_step;

typedef struct od_desc {
    fl_fleet *fleet;           /* required */
    fl_server *server;         /* required */
    uint32_t loading_capacity; /* adapters on their way at once; default 4 */
    uint32_t adapter_load_ms;  /* usual time of one; default 250 */
} od_desc;

/* What the configuration says of the server's service. */
typedef struct od_room {
    const char *model; /* to hold */
    uint32_t model_load_ms;
    double model_mb;
    double adapter_mb;
    double server_mb;
    uint32_t max_adapters;
    bool may_load_model;   /* the share of model loads allows one now */
    bool may_load_adapter; /* the share of adapters on their way, too */
} od_room;

od_plan *od_create(const od_desc *desc);
void od_destroy(od_plan *plan);

/* A request needs an adapter here. */
void od_want(od_plan *plan, fl_adapter *adapter, uint64_t now_us);
/* What the server holds is not known any more. */
void od_forget(od_plan *plan, uint64_t retry_us);

/* The next step; nothing while one is under way. */
od_step od_next(od_plan *plan, uint64_t now_us, const od_room *room);
void od_feed_order(od_plan *plan, uint64_t now_us, dl_order_result result);
void od_feed_report(od_plan *plan, uint64_t now_us, const dl_server *report);
/* No answer came. */
void od_feed_silence(od_plan *plan, uint64_t now_us);

/* queries */
bool od_query_known(const od_plan *plan);
/* Loads are on their way or wait, or the server's state is to be asked for. */
bool od_query_busy(const od_plan *plan);
uint32_t od_query_loading(const od_plan *plan);
/* Of these, from the weight store. */
uint32_t od_query_fetching(const od_plan *plan);
/* Places that can be had now, less the loads that wait; may be negative. */
int32_t od_query_room(const od_plan *plan, uint64_t now_us,
                      const od_room *room);
/* Duration of the load from the weight store that was found to be done last;
   0: none since the last call. */
double od_take_load_ms(od_plan *plan);
/* Rises with each change of what the server holds. */
uint64_t od_query_number(const od_plan *plan);

#endif
