/*
 * node_private.h: shared by the sources of a node (prefix nd_).
 *
 * Times in us are those of the loop's clock.
 */
#ifndef LACEWING_ND_PRIVATE_H
#define LACEWING_ND_PRIVATE_H

#include "caller.h"
#include "crash_watch.h"
#include "exchange.h"
#include "gossip.h"
#include "lacewing/http_client.h"
#include "lacewing/node.h"
#include "lease.h"
#include "limit_share.h"
#include "orderer.h"
#include "watch.h"

/* The last report of another instance on streams that callers take up again.
 */
typedef struct nd_peer_origins {
    gp_origins known;
    uint64_t heard_us;
} nd_peer_origins;

struct nd_node {
    nd_desc desc;
    tm_service *timers;
    nc_hub *hub;
    hc_client *client;
    fl_fleet *fleet;
    le_lease *lease;
    or_orderer *orderer;
    gp_peers *peers;
    /* When a table whose digest differs at other instances is read from the
       store; 0: no read is due. */
    uint64_t refetch_us[KR_TABLE_NUM];
    xc_core *core;
    cw_watch *crash_watch;
    qt_quotas *quotas;
    so_origins *origins;
    struct {
        bool known; /* the table was read once */
        bool reading;
        bool writing;
        bool written; /* this instance has a row */
        bool wanted;  /* requests wait for a read */
        bool mixed;   /* as it was logged */
        uint64_t read_began_us;
        uint64_t wrote_us;         /* when the last write was sent */
        uint64_t paced_until_us;   /* see _ND_WRITE_STREAMS_BURST */
        uint64_t written_revision; /* so_query_revision() of that row */
        /* of that row, so_query_further_revision() and the store's clock */
        uint64_t sent_further_revision;
        uint64_t sent_store_ms;
        /* the same of the row that is stored; 0: none of this process is */
        uint64_t stored_further_revision;
        uint64_t stored_ms;
        uint64_t late_write_us;    /* a write without an answer may take effect
                                      until then; 0: there is none */
        uint64_t servers_noted_us; /* 0: the list has changed since */
        uint64_t store_lost_us;    /* when the store stopped answering; 0: it
                                      answers */
        uint64_t era; /* of the store, as the rows were last read or written */
        uint64_t store_now_ms; /* the store's clock at store_now_us */
        uint64_t store_now_us;
        char *page_after;    /* last key of the page that was read; NULL: none
                                is being read */
        GPtrArray *obsolete; /* keys of rows that nobody needs */
        GHashTable *peers;   /* instance -> nd_peer_origins */
    } streams;
    su_suspects *suspects;
    GHashTable *limit_shares; /* server id -> ls_share, divided here */
    cr_port *caller_port;
    cr_port *status_port; /* for /readyz and /metrics */
    wt_group store;
    wt_watch *operator_watch;
    wt_watch *server_watch;
    wt_watch *own_watch;
    rc_table *config;             /* in force; NULL: none yet */
    uint64_t config_row_version;  /* of the row that it was read from */
    uint64_t restored_version;    /* entries of the list up to this one may be
                                     those of a copy that the store was restored
                                     from; 0: none are */
    GHashTable *unlisted_servers; /* id -> when it is removed, in us */
    GHashTable *servers_in_read;  /* ids that the current read of the whole
                                     list returned; NULL: none is running */
    bool servers_known;           /* the list was read once */
    kr_known_rows *known_rows;
    uint64_t own_recovery_us; /* end of the own table's last interruption */
    uint64_t own_written_us;  /* answer to the last successful transaction */
    uint64_t tx_sent_us;      /* when the last transaction was sent */
    GArray *tx_rows;          /* dl_row that the last transaction writes */
    uint64_t sent_own_digest; /* of the own table, as last sent to others */
    bool lease_held;
    bool ready_logged;
    tm_timer tick;
    tm_timer fast_timer; /* see nd_start_fast_timer() */
    uint32_t tick_count;
    uint64_t loads_sent_us;   /* when load was last sent to other instances */
    uint64_t servers_sent_us; /* when server states were last sent to them */
    uint64_t incarnation;     /* random, different at each start */
    uint64_t stop_us;         /* when the stop began; 0: not stopping */
    bool stopped;
};

/* -- node_tables.c: tables of the store ----------------------------------- */
extern const wt_callbacks nd_operator_callbacks;
extern const wt_callbacks nd_server_callbacks;
extern const wt_callbacks nd_own_callbacks;
/* Returns the digest of what this instance knows of a table. */
uint64_t nd_query_digest(const nd_node *node, kr_table table);
wt_watch *nd_query_watch(const nd_node *node, kr_table table);
/* Applies a row that another instance read from the store or wrote. */
void nd_on_peer_row(kr_table table, const dl_row *row, void *user_data);
/* Compares another instance's digest of a table with that of this instance.
   If they are equal, the next call to the store is put off, except for the own
   table; if they differ, the store is asked for changes. */
void nd_on_peer_digest(kr_table table, const gp_table_digest *known,
                       void *user_data);
/* Sends the requests that wait for adapters which this server has loaded. */
void nd_wake_waiting_requests(fl_server *server, void *user_data);
/* Lets instances take the server's lease if it is ready and runs models. */
void nd_add_lease_candidate(fl_server *server, void *user_data);
/* Removes the servers that are missing from the list for too long. */
void nd_remove_unlisted_servers(nd_node *node);
/* Sends the next transaction of the lease, if there is one. */
void nd_send_lease_tx(nd_node *node);

/* -- node_notices.c: servers that leave or are paused --------------------- */
/* Applies the notice in the head of a server's answer. */
void nd_on_server_notice(const fl_server_notice *report, void *user_data);
/* Another instance received an answer that says that a server leaves. */
void nd_on_peer_leaving(const char *id, uint64_t born_ms, void *user_data);
/* Logs that a server leaves, closes the idle connections to it and gives it no
   more orders. */
void nd_begin_leaving(nd_node *node, fl_server *server);
/* Logs that a server accepts requests again; before: its record until then. */
void nd_end_leaving(nd_node *node, const fl_server *server,
                    const nt_notice *before);
/* Ends leaving where the list contradicts it, and updates the metrics. */
void nd_review_notices(nd_node *node);

/* -- node_limits.c: servers with rate limits ------------------------------ */
/* Applies what the head of a server's answer says of a rate limit. */
void nd_apply_limit(nd_node *node, const fl_server_notice *report);
/* From other instances, see gp_callbacks. */
void nd_on_peer_limit(const fl_peer_limit *limit, void *user_data);
void nd_on_permits_asked(const char *instance, const char *id,
                         const pm_ask *ask, void *user_data);
void nd_on_permits_granted(const char *id, uint64_t born_ms, uint32_t count,
                           void *user_data);
/* Asks for permits that are wanted, and grants those that this instance
   divides. */
void nd_run_limits(nd_node *node);

/* -- node_crashes.c: servers that crash ----------------------------------- */
extern const cw_callbacks nd_crash_callbacks;
extern const su_callbacks nd_suspects_callbacks;
void nd_on_answer_broken(const cw_broken *broken, void *user_data);
void nd_on_answer_good(const fl_server *server, uint64_t born_ms,
                       void *user_data);
/* From other instances. */
void nd_on_peer_crash(const su_crash *crash, void *user_data);
void nd_on_peer_block(const su_block *block, void *user_data);
void nd_on_peer_cleared(uint64_t item, uint64_t began_us, void *user_data);
bool nd_may_probe_content(void *user_data);
/* Sends what is blocked to all if this instance is one that does; call it once
   a second. */
void nd_send_blocks(nd_node *node);

/* -- node_streams.c: streams that callers may take up again --------------- */
/* Reads and writes the rows of the streams' table that are due; call it on
   each tick. */
void nd_run_streams(nd_node *node);
/* Returns the key of an instance's row of streams. */
char *nd_make_streams_key(const char *instance);
/* See xc_callbacks. */
void nd_find_origins(void *user_data);
void nd_on_stream_began(void *user_data);
bool nd_query_origins_known(void *user_data);
bool nd_query_store_lost_by_most(uint64_t since_us, void *user_data);
/* See gp_callbacks. */
bool nd_query_own_origins(gp_origins *out, void *user_data);
void nd_on_peer_origins(const char *instance, uint64_t incarnation,
                        const gp_origins *known, void *user_data);

/* -- node.c --------------------------------------------------------------- */
/* Starts the fast timer if loads are in progress at servers held here, or a
   crash is observed or counted. */
void nd_start_fast_timer(nd_node *node);
/* Sends other instances the digest of a table and its rows that changed. */
void nd_send_table(nd_node *node, kr_table table);

#endif
