/* node_private.h: what the parts of a node share (prefix nd_). */
#ifndef LACEWING_ND_PRIVATE_H
#define LACEWING_ND_PRIVATE_H

#include "caller.h"
#include "exchange.h"
#include "gossip.h"
#include "lacewing/call.h"
#include "lacewing/exchange.h"
#include "lease.h"
#include "orderer.h"
#include "watch.h"

struct nd_node {
    nd_desc desc;
    tm_service *timers;
    nc_hub *hub;
    hc_client *client;
    fl_fleet *fleet;
    le_lease *lease;
    or_orderer *orderer;
    gp_peers *peers;
    /* When a table is asked for that others know something else of; 0: they
       do not. */
    uint64_t missing_us[NW_TABLE_NUM];
    xc_core *core;
    cr_port *callers;
    cr_port *pages;
    wt_group store;
    wt_watch *operator_watch;
    wt_watch *server_watch;
    wt_watch *own_watch;
    rc_table *table;
    GHashTable *lapsed;       /* server id -> when it goes, in us */
    GHashTable *read_servers; /* ids of the read under way; or NULL */
    bool servers_known;
    nw_known_rows *news;
    uint64_t own_regained_us;
    uint64_t own_written_us;
    uint64_t tx_sent_us; /* the last transaction of it */
    GArray *tx_rows;     /* dl_row that it writes */
    uint64_t own_digest; /* of the own table, as told last */
    bool lease_held;
    bool ready_said;
    tm_timer beat;
    tm_timer fast; /* runs while there is anything to look at soon */
    uint32_t beats;
    uint64_t told_loads_us;
    uint64_t told_servers_us;
    uint64_t incarnation;
    uint64_t stop_us; /* when the stop began; 0: none */
    bool stopped;
};

/* -- node_tables.c: what the tables of the store say ---------------------- */
extern const wt_callbacks nd_operator_calls;
extern const wt_callbacks nd_server_calls;
extern const wt_callbacks nd_own_calls;
uint64_t nd_query_digest(const nd_node *node, nw_table table);
wt_watch *nd_watch_of(const nd_node *node, nw_table table);
void nd_on_told_row(nw_table table, const dl_row *row, void *user_data);
void nd_on_known(nw_table table, const gp_table_digest *known,
                 void *user_data);
void nd_wake_server(fl_server *server, void *user_data);
/* It may take orders, if it is ready and runs models. */
void nd_offer(fl_server *server, void *user_data);
void nd_end_lapsed(nd_node *node);
void nd_write_tx(nd_node *node);

/* -- node_notices.c: what servers say of themselves ----------------------- */
void nd_on_heard(const fl_server_notice *heard, void *user_data);
/* Another instance heard that a server leaves. */
void nd_on_told_leaving(const char *id, uint64_t born_ms, void *user_data);
/* It is known to leave from now on. */
void nd_begin_leaving(nd_node *node, fl_server *server);
/* It takes requests again; before: what was known of it. */
void nd_end_leaving(nd_node *node, const fl_server *server,
                    const nt_notice *before);
void nd_look_at_notices(nd_node *node);

/* -- node.c: tells other instances what is known of a table of the store -- */
void nd_tell_table(nd_node *node, nw_table table);

#endif
