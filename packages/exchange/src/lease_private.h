/* lease_private.h: declarations shared by the lease_*.c files (prefix le_). */
#ifndef LACEWING_LE_PRIVATE_H
#define LACEWING_LE_PRIVATE_H

#include "lease.h"

/* Most server rows that one transaction writes. */
#define LE_TX_MAX_ROWS 40
/* Most conditions and writes of one transaction that the store accepts. */
#define LE_TX_MAX_ENTRIES 100
/* Entries for one server: the write of its row, the condition on its version
   and the condition on its holder's row. */
#define LE_TX_ENTRIES_PER_SERVER 3

typedef struct le_peer_row {
    le_peer public;
    char *instance;
    char *zone;
    char *address;
    uint64_t version;
    uint64_t version_since_us; /* when this version was first seen */
    uint64_t valid_us;         /* validity of its lease after a renewal */
    bool seen_in_read;
} le_peer_row;

typedef struct le_server_row {
    char *id;
    char *zone; /* NULL: not listed */
    char *holder;
    uint64_t incarnation;
    bool given_up;
    bool giving_up;   /* a transaction that gives it up or removes its row was
                         sent: no order from here, whatever the result */
    uint64_t version; /* of its row; 0: none */
    uint64_t removed_version; /* of the last removal that the store reported */
    uint64_t row_since_us;    /* when this row or its absence was first seen */
    uint64_t claimable_since_us; /* when first seen free to be claimed; 0: not
                                    yet */
    uint64_t unlisted_since_us;  /* no order from here since then at the
                                    latest; 0: not yet noted */
    bool seen_in_read;
    bool outdated;    /* the store was restored, and the row was not written
                         since */
    bool held_before; /* outdated: this instance could give it orders until
                         then */
} le_server_row;

typedef enum le_tx_kind {
    LE_TX_NONE = 0,
    LE_TX_RENEW,
    LE_TX_EXPIRE_PEER, /* removes the row of a silent instance */
    LE_TX_CLAIM,
    LE_TX_GIVE_UP,
    LE_TX_SETTLE,   /* writes the row of the era */
    LE_TX_PRUNE,    /* removes our rows of servers that are not listed */
    LE_TX_REBALANCE /* gives one server up for an instance that has fewer */
} le_tx_kind;

/* What the row of a server says of its holder. */
typedef enum le_holder_state {
    LE_STATE_HELD_BY_PEER = 0,
    LE_STATE_NO_HOLDER,
    LE_STATE_OURS,                   /* held by this incarnation */
    LE_STATE_OURS_OTHER_INCARNATION, /* of this instance, by another
                                        incarnation */
    LE_STATE_OURS_GIVING_UP,         /* ours; the transaction that gives it up
                                        has no result yet */
    LE_STATE_GIVEN_UP,
    LE_STATE_HOLDER_RESTARTED, /* its holder has another incarnation now */
    LE_STATE_HOLDER_GONE,      /* its holder has no row */
    LE_STATE_NUM
} le_holder_state;

/* Digests and counts over all rows, cached until a row changes. */
typedef struct le_counts_cache {
    bool valid;
    uint64_t digest;
    uint64_t peer_digest;
    uint32_t live;
    uint32_t others; /* live instances without this one */
} le_counts_cache;

struct le_lease {
    char *instance;
    char *zone;
    char *address;
    uint32_t link_mbps;
    uint64_t incarnation;
    uint64_t lease_us;
    uint64_t guard_us; /* lease_us and a margin for clock drift */
    uint64_t renew_us;
    uint32_t subset_threshold;
    bool idle; /* at its last renewal it held no server and was the preferred
                  holder of none */
    GHashTable *peers;   /* name -> le_peer_row, with our own */
    GHashTable *servers; /* id -> le_server_row */
    bool table_known;    /* see le_query_table_known() */
    uint64_t era;        /* of the rows; see dl_query_era() */
    bool era_known;
    bool era_renewed;           /* the own row was written in this era */
    uint64_t restored_until_us; /* outdated rows of other holders stay until
                                   then; 0: the store was not restored */
    bool era_settled;           /* the row of the era was written */
    uint64_t settle_us;         /* when this instance writes it */
    le_counts_cache *counts_cache;
    bool registered;
    uint64_t registered_us;
    uint64_t row_version; /* of our own row */
    uint64_t renewed_us;  /* when the last acknowledged renewal was sent */
    uint64_t valid_us;    /* validity stated by that renewal */
    uint64_t tx_valid_us; /* validity stated by the renewal in flight */
    uint64_t next_renew_us;
    uint64_t retry_us;         /* after a failure: only renewals before then */
    uint32_t failures;         /* failed transactions in a row */
    uint64_t contact_since_us; /* since when the store answers; 0: not */
    uint64_t last_rebalance_us; /* when a server was last given up for
                                   another instance */
    bool leaving;               /* claims no more servers */
    bool left;                  /* may give no more orders */
    bool all_given_up;
    le_tx_kind tx;
    uint64_t tx_sent_us;
    GPtrArray *tx_servers; /* le_server_row of the transaction */
    char *tx_peer;         /* instance whose row the transaction removes */
    GArray *conditions;    /* dl_condition */
    GArray *writes;        /* dl_write */
    GPtrArray *keys;
};

/* -- lease_era.c: restorations of the store from a copy */
/* Notes the era of a version of the store. */
void le_note_era(le_lease *lease, uint64_t now_us, uint64_t version);
/* Takes in the row of an era. */
void le_feed_era_row(le_lease *lease, const char *era, const dl_row *row);
/* Call it after a read of the whole table: without the row of its era, the
   store may have been restored shortly before this instance started. */
void le_check_era_settled(le_lease *lease, uint64_t now_us, bool first_read);

void le_free_peer(void *data);
void le_free_server(void *data);
void le_clear_write(void *data);
le_server_row *le_get_or_add_server(le_lease *lease, const char *id);
bool le_is_self(const le_lease *lease, const char *instance);
/* Forgets the own row, so that this instance registers anew, with another
   incarnation. */
void le_drop_registration(le_lease *lease);
void le_feed_instance_row(le_lease *lease, uint64_t now_us, const char *name,
                          const dl_row *row);
void le_feed_server_row(le_lease *lease, uint64_t now_us, const char *id,
                        const dl_row *row);
/* Clears what is known of a row that a read did not have. A newer version of
   it may still arrive. */
void le_clear_holder(le_server_row *server, uint64_t now_us);
/* Returns the time from when the present version of an instance's row was
   first seen until others may remove it: its validity and guard_us. */
uint64_t le_takeover_delay_us(const le_lease *lease, const le_peer_row *peer);
/* Returns the instance that claims a server when it is free: of its zone if
   there is one, else of all; NULL: none. Free the name with g_free(). */
char *le_preferred_holder(const le_lease *lease, const le_server_row *server,
                          uint64_t now_us);
/* Tells whether this instance holds a server or is the preferred holder of
   one. */
bool le_expects_servers(const le_lease *lease, uint64_t now_us);
/* Tells whether the row names this incarnation as the holder, whether or not
   it may still give orders. */
bool le_row_is_own(const le_lease *lease, const le_server_row *server);
bool le_holds_server(const le_lease *lease, const le_server_row *server);
le_holder_state le_holder_state_of(const le_lease *lease,
                                   const le_server_row *server);
/* Tells whether this instance may claim a server now, and notes when the
   server was first seen to be free. */
bool le_may_claim(const le_lease *lease, le_server_row *server,
                  uint64_t now_us);
/* Return the interval between renewals, and the time that the lease is valid
   after one was sent. Both grow with the number of instances. */
uint64_t le_renew_interval_us(const le_lease *lease);
uint64_t le_validity_us(const le_lease *lease);
/* Fills the conditions and writes of the next transaction and returns its
   kind. */
le_tx_kind le_fill_tx(le_lease *lease, uint64_t now_us);

#endif
