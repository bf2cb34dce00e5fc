/*
 * orderer.h: carries out the orders of the servers held here (prefix or_).
 *
 * Keeps an od_plan for each server whose lease this instance holds, sends its
 * steps, and checks the lease with the clock right before each. The number of
 * adapters on their way, and of model loads, is this instance's share of what
 * the weight store bears.
 *
 * Limits: one order under way for each server.
 */
#ifndef LACEWING_ORDERER_H
#define LACEWING_ORDERER_H

#include "lacewing/call.h"
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
    /* What a server held here has has changed. */
    void (*changed)(fl_server *server, void *user_data);
    /* What a server said of itself with the head of an answer. */
    void (*heard)(const fl_server_notice *heard, void *user_data);
    void *user_data;
} or_desc;

or_orderer *or_create(const or_desc *desc);
void or_destroy(or_orderer *orderer);

void or_set_table(or_orderer *orderer, rc_table *table);
/* False: the server is not held here. */
bool or_want(or_orderer *orderer, fl_server *server, fl_adapter *adapter);
/* The server does not hold what it was thought to. */
void or_mismatch(or_orderer *orderer, fl_server *server);
/* Begins and ends plans by the lease, and sends what is due. */
void or_tick(or_orderer *orderer);
/* Before a server is dropped from the fleet. */
void or_forget_server(or_orderer *orderer, fl_server *server);

/* queries */
uint64_t or_query_number(const fl_server *server);
/* Of a server held here: od_query_room(); false: it is not known. */
bool or_query_room(or_orderer *orderer, const fl_server *server, int32_t *out);
bool or_query_held(const fl_server *server);
/* Loads or orders of any server held here are under way or wait. */
bool or_query_loading(const or_orderer *orderer);

#endif
