/*
 * orderer.h: sends the orders of the servers held here (prefix or_).
 *
 * Keeps an od_plan for each server whose lease this instance holds, sends its
 * steps, and checks the lease against the clock right before each order. The
 * number of concurrent adapter loads, and the rate of model loads, are limited
 * to this instance's share of the weight store's capacity.
 *
 * Limits: one order in flight for each server.
 */
#ifndef LACEWING_ORDERER_H
#define LACEWING_ORDERER_H

#include "lacewing/http_client.h"
#include "lease.h"
#include "orders.h"

typedef struct or_orderer or_orderer;

typedef struct or_desc {
    hc_client *client;         /* required */
    lp_loop *loop;             /* required */
    fl_fleet *fleet;           /* required */
    le_lease *lease;           /* required */
    const dl_dialect *dialect; /* required */
    const char *instance;      /* required */
    /* Called after each answered or failed step: the state of a server held
       here may have changed. */
    void (*server_changed)(fl_server *server, void *user_data);
    /* Called for what a server says of itself in the head of an answer, such
       as that it leaves or asks for a pause. */
    void (*server_notice)(const fl_server_notice *report, void *user_data);
    void *user_data;
} or_desc;

or_orderer *or_create(const or_desc *desc);
void or_destroy(or_orderer *orderer);

/* Sets the configuration, from which the limits of each service are taken;
   takes a reference to it. */
void or_set_table(or_orderer *orderer, rc_table *table);
/* Requests the load of an adapter. Returns false if the server is not held
   here. */
bool or_request_load(or_orderer *orderer, fl_server *server,
                     fl_adapter *adapter);
/* Marks the state of a server as unknown, after an answer that contradicts it:
   it is queried again shortly. */
void or_invalidate(or_orderer *orderer, fl_server *server);
/* Begins and ends plans as leases come and go, and sends the steps that are
   due. */
void or_tick(or_orderer *orderer);
/* Ends the plan of a server. Call before the fleet drops the server. */
void or_remove_server(or_orderer *orderer, fl_server *server);

/* queries */
/* Returns the revision of the state of a server held here, which rises with
   each change and each new plan; 0: it is not held here. */
uint64_t or_query_revision(const fl_server *server);
/* Stores od_query_load_capacity() of a server held here. Returns false if it
   is not held here, or its state or its service is unknown. */
bool or_query_load_capacity(or_orderer *orderer, const fl_server *server,
                            int32_t *out);
bool or_query_held(const fl_server *server);
/* Returns whether any server held here has a request in flight, or pending or
   unfinished loads. */
bool or_query_work_pending(const or_orderer *orderer);

#endif
