/*
 * gossip.h: datagrams between instances (prefix gp_).
 *
 * Each instance tells the others what the servers that it orders hold, how
 * many requests it has under way at each server, and which adapters its
 * callers asked for; it asks the holder of a server to load an adapter; and it
 * tells once of a server that said in an answer that it leaves. All of it is
 * state or can be heard again, so a lost datagram only costs time.
 *
 * Among many instances words go through relays of each zone (relay.h).
 *
 * Limits: a word holds at most one server's state, some 600 bytes; a datagram
 * of a relay some 8 kB of words.
 */
#ifndef LACEWING_GOSSIP_H
#define LACEWING_GOSSIP_H

#include "fleet.h"
#include "lacewing/loop.h"
#include "lease.h"
#include "news.h"

typedef struct gp_peers gp_peers;

/* What is known of a table: a digest of what matters, and when it was so;
   0: it is not known. */
typedef struct gp_known {
    uint64_t digest;
    uint64_t at_us;
} gp_known;

typedef struct gp_calls {
    /* Another instance had this row from the store, or wrote it. */
    void (*row)(nw_table table, const dl_row *row, void *user_data);
    /* Another instance knew this of a table; at_us on this one's clock. */
    void (*known)(nw_table table, const gp_known *known, void *user_data);
    /* Another instance asks this one to load an adapter, for a request; NULL:
       for one that is not logged. True: it orders that server, and tells so.
     */
    bool (*asked)(fl_server *server, fl_adapter *adapter, const char *request,
                  void *user_data);
    /* Of the last change that is known of a server held here. */
    uint64_t (*number)(const fl_server *server);
    /* Room of a server for loads; false: it is not held here. */
    bool (*room)(fl_server *server, int32_t *out, void *user_data);
    /* Another instance had an answer of a server's process that began then:
       it leaves. */
    void (*leaving)(const char *id, uint64_t born_ms, void *user_data);
    /* What a server holds has changed, as its holder tells. */
    void (*changed)(fl_server *server, void *user_data);
} gp_calls;

typedef struct gp_desc {
    lp_loop *loop;        /* required */
    fl_fleet *fleet;      /* required */
    le_lease *lease;      /* required */
    const char *instance; /* required */
    const char *zone;     /* required */
    const char *address;  /* required, IP:PORT of datagrams */
    uint32_t link_mbps;   /* of our network link; 0: not told */
    uint64_t incarnation;
    const gp_calls *calls;
    void *user_data;
} gp_desc;

gp_peers *gp_create(const gp_desc *desc, er_status *status);
void gp_destroy(gp_peers *peers);

/* Asks the holder of a server. False: none is known. */
bool gp_ask(gp_peers *peers, fl_server *server, fl_adapter *adapter,
            const char *request);
/* Passes on what came from others since the last call, if we are a relay. */
void gp_pass_on(gp_peers *peers);
/* Tells all others what a server holds that is ordered from here, if that has
   changed since it was told, or again all the same. */
void gp_tell_server(gp_peers *peers, fl_server *server, uint64_t number,
                    bool again);
/* Tells all others that a server said that it leaves. Call once for each. */
void gp_tell_leaving(gp_peers *peers, const fl_server *server);
/* Tells all others the requests under way here, where their number changed or
   the last word is old, and uses since last time; with what is known of the
   own table, whose news may have been lost. */
void gp_tell_load(gp_peers *peers, const gp_known *own);
/* Tells all others what is known of one of the store's tables, and dl_rows of
   it that are new; a few small ones at the most, else they ask the store. */
void gp_tell_table(gp_peers *peers, nw_table table, const gp_known *known,
                   const GArray *rows);

/* queries */
/* Our place among those that follow a table, see wt_set_poll_rank(). */
uint32_t gp_query_turn(gp_peers *peers, nw_table table);
/* So many instances that the store is asked by few of them, in turn. */
bool gp_query_many(gp_peers *peers);
/* Words go by way of relays. */
bool gp_query_spread(gp_peers *peers);
/* When the holder of a server last told what it holds; 0: never. */
uint64_t gp_query_told_us(const gp_peers *peers, const fl_server *server);

#endif
