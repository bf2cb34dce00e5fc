/*
 * gossip.h: UDP gossip between instances (prefix gp_).
 *
 * Each instance broadcasts the state of the servers whose lease it holds, its
 * in-flight requests at each server, how often its callers asked for each
 * adapter, and what it knows of the store's tables. It sends a load request
 * to the holder of a server, and broadcasts once that a server announced in an
 * answer that it leaves. Everything is state that is sent again or can be
 * learned elsewhere, so a lost datagram only costs time.
 *
 * Where there are many instances, broadcasts go through relays in each zone
 * (relay.h).
 *
 * Limits: a message holds the state of at most one server, some 600 bytes,
 * with at most 256 adapters of a model; a relay's datagram holds some 8 kB of
 * messages.
 */
#ifndef LACEWING_GOSSIP_H
#define LACEWING_GOSSIP_H

#include "fleet.h"
#include "known_rows.h"
#include "lacewing/loop.h"
#include "lease.h"
#include "quota.h"
#include "suspects.h"

typedef struct gp_peers gp_peers;

/* Digest of the relevant content of a table, and the time at which the table
   had that content; at_us 0: unknown. */
typedef struct gp_table_digest {
    uint64_t digest;
    uint64_t at_us;
} gp_table_digest;

/* What an instance knows that others need for streams that callers take up
   again. */
typedef struct gp_origins {
    bool store_lost;     /* the store does not answer it */
    bool mixed;          /* a service is mixed, see stream_origins.h */
    uint64_t written_ms; /* see so_progress */
} gp_origins;

typedef struct gp_callbacks {
    /* Another instance read this row from the store, or wrote it. */
    void (*row)(kr_table table, const dl_row *row, void *user_data);
    /* Another instance's digest of a table; at_us is on the local clock. */
    void (*table_digest)(kr_table table, const gp_table_digest *known,
                         void *user_data);
    /* Another instance asks this one to load an adapter. request: id of the
       request that needs it, NULL if that one is not logged. Returns true if
       this instance holds the server, whose state is then sent in reply. */
    bool (*load_requested)(fl_server *server, fl_adapter *adapter,
                           const char *request, void *user_data);
    /* Returns the latest state revision of a server held here. */
    uint64_t (*revision)(const fl_server *server);
    /* Stores how many loads a server can accept. Returns false if it is not
       held here or its state is unknown. */
    bool (*load_capacity)(fl_server *server, int32_t *out, void *user_data);
    /* Another instance learned from an answer that this server leaves.
       born_ms: start of the server process that said so. */
    void (*server_leaving)(const char *id, uint64_t born_ms, void *user_data);
    /* Another instance saw a crash, blocked an item or cleared one; times
       are on the local clock. */
    void (*crash)(const su_crash *crash, void *user_data);
    void (*blocked)(const su_block *block, void *user_data);
    void (*cleared)(uint64_t item, uint64_t began_us, void *user_data);
    /* Another instance learned that a server has a rate limit, or none any
       more. */
    void (*server_limit)(const fl_peer_limit *limit, void *user_data);
    /* Another instance asks for permits of a server, or grants some. */
    void (*permits_asked)(const char *instance, const char *id,
                          const pm_ask *ask, void *user_data);
    void (*permits_granted)(const char *id, uint64_t born_ms, uint32_t count,
                            void *user_data);
    /* Stores the report to send. Returns false if there is nothing to report.
     */
    bool (*origins)(gp_origins *out, void *user_data);
    void (*peer_origins)(const char *instance, uint64_t incarnation,
                         const gp_origins *origins, void *user_data);
    /* The holder of a server sent a new state, which has been applied. */
    void (*server_changed)(fl_server *server, void *user_data);
} gp_callbacks;

typedef struct gp_desc {
    lp_loop *loop;        /* required */
    fl_fleet *fleet;      /* required */
    le_lease *lease;      /* required */
    qt_quotas *quotas;    /* required */
    const char *instance; /* required */
    const char *zone;     /* required */
    const char *address;  /* required, IP:PORT of datagrams */
    uint32_t link_mbps;   /* speed of the local network link; 0: unknown */
    uint64_t incarnation;
    const gp_callbacks *callbacks;
    void *user_data;
} gp_desc;

gp_peers *gp_create(const gp_desc *desc, er_status *status);
void gp_destroy(gp_peers *peers);

/* Asks the holder of a server to load an adapter. Returns false if no holder
   is known or the datagram could not be sent. request: see
   gp_callbacks.load_requested. */
bool gp_request_load(gp_peers *peers, fl_server *server, fl_adapter *adapter,
                     const char *request);
/* Relays only: sends the messages queued since the last call to the other
   instances of the zone. */
void gp_flush_relayed(gp_peers *peers);
/* Broadcasts the state of a server held here if it differs from the one sent
   last. force: also if it does not. */
void gp_broadcast_server_state(gp_peers *peers, fl_server *server,
                               uint64_t revision, bool force);
/* Broadcasts that a server announced that it leaves. Call once for each. */
void gp_broadcast_leaving(gp_peers *peers, const fl_server *server);
/* Broadcasts whether a server has a rate limit. */
void gp_broadcast_limit(gp_peers *peers, const fl_server *server);
/* Asks the instance that divides a server's limit for permits. */
void gp_ask_permits(gp_peers *peers, const fl_server *server,
                    const char *receiver, const pm_ask *ask);
void gp_grant_permits(gp_peers *peers, const fl_server *server,
                      const char *receiver, uint32_t count);
/* Broadcast what is known of requests that crash servers. */
void gp_broadcast_crash(gp_peers *peers, const su_crash *crash);
void gp_broadcast_block(gp_peers *peers, const su_block *block);
void gp_broadcast_cleared(gp_peers *peers, uint64_t item, uint64_t began_us);
/* Broadcasts local in-flight counts that changed or were sent too long ago,
   adapter uses since the last call, what was admitted of quotas, and the
   report of gp_callbacks.origins. Adds the digest of the own table, as
   messages about it may have been lost. */
void gp_broadcast_loads(gp_peers *peers, const gp_table_digest *own);
/* Broadcasts the digest of a store table and its new rows (dl_row). Rows that
   are too many or too large for a datagram are left out: receivers then read
   the store. */
void gp_broadcast_table(gp_peers *peers, kr_table table,
                        const gp_table_digest *known, const GArray *rows);

/* queries */
/* Returns the position for wt_set_poll_rank() among the instances that follow
   a table; 0: there are too few to poll in turn. */
uint32_t gp_query_poll_position(gp_peers *peers, kr_table table);
/* Returns the position, from 1, of this instance in the order in which
   instances send what is blocked to all. */
uint32_t gp_query_suspects_position(gp_peers *peers);
/* Returns the instance that divides the rate limit of a server, the same at
   all instances that know of each other; may be this one. leaving: this one
   leaves. */
const char *gp_query_limit_divider(gp_peers *peers, const char *server,
                                   bool leaving);
/* Returns whether there are so many instances that they poll the store in
   turn and share the results. */
bool gp_query_polling_shared(gp_peers *peers);
/* Returns whether broadcasts go through relays. */
bool gp_query_relayed(gp_peers *peers);
/* Returns when the holder's latest state of a server arrived; 0: never. */
uint64_t gp_query_state_received_us(const gp_peers *peers,
                                    const fl_server *server);

#endif
