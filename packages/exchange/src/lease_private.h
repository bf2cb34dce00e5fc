/* lease_private.h: what the parts of the leases share (prefix le_). */
#ifndef LACEWING_LE_PRIVATE_H
#define LACEWING_LE_PRIVATE_H

#include "lease.h"

/* Rows that one transaction writes. */
#define LE_TX_ROWS 40
/* Conditions and writes of one transaction, as the store takes them. */
#define LE_TX_ENTRIES 100
/* Those of one server: its row, written under its version and its holder's. */
#define LE_TX_SERVER_ENTRIES 3

typedef struct le_peer_row {
    le_peer public;
    char *instance;
    char *zone;
    char *address;
    uint64_t version;
    uint64_t seen_us;  /* when this version was first seen */
    uint64_t valid_us; /* it orders so long after a renewal */
    bool read;
} le_peer_row;

typedef struct le_server_row {
    char *id;
    char *zone; /* NULL: not listed */
    char *holder;
    uint64_t incarnation;
    bool given_up;
    bool giving;      /* we are giving it up: no order, whatever comes of it */
    uint64_t version; /* of its row; 0: none */
    uint64_t removed_version; /* of the last removal that the store told */
    uint64_t since_us;        /* of this row, or of the entry without one */
    uint64_t free_us;     /* when it was first seen free to be claimed; 0 */
    uint64_t unlisted_us; /* no order from here since then at the latest; 0 */
    bool read;
} le_server_row;

typedef enum le_tx_kind {
    LE_TX_NONE = 0,
    LE_TX_RENEW,
    LE_TX_END,
    LE_TX_CLAIM,
    LE_TX_GIVE_UP,
    LE_TX_PRUNE,
    LE_TX_EVEN /* gives one server up for an instance that has fewer */
} le_tx_kind;

/* What the row of a server says of its holder. */
typedef enum le_state {
    LE_STATE_DEFAULT = 0, /* held by another */
    LE_STATE_NO_HOLDER,
    LE_STATE_OURS,        /* held by this incarnation */
    LE_STATE_OURS_BEFORE, /* of our machine, by another incarnation */
    LE_STATE_OURS_GIVING, /* ours; a transaction gives it up, unanswered */
    LE_STATE_GIVEN_UP,
    LE_STATE_HOLDER_ANEW, /* its holder has another incarnation now */
    LE_STATE_HOLDER_GONE, /* its holder has no row */
    LE_STATE_NUM
} le_state;

/* Of all rows, until one changes. */
typedef struct le_counts {
    bool valid;
    uint64_t digest;
    uint64_t peer_digest;
    uint32_t live;
    uint32_t others; /* of them, but for the own row */
} le_counts;

struct le_lease {
    char *instance;
    char *zone;
    char *address;
    uint32_t link_mbps;
    uint64_t incarnation;
    uint64_t lease_us;
    uint64_t quiet_us;
    uint64_t renew_us;
    uint32_t many;
    bool idle; /* holds nothing and is not meant to, when it last renewed */
    GHashTable *peers;   /* name -> le_peer_row, ourselves too */
    GHashTable *servers; /* id -> le_server_row */
    bool known;          /* the own table has been read */
    le_counts *counts;
    bool registered;
    uint64_t registered_us;
    uint64_t row_version; /* of our own row */
    uint64_t renewed_us;  /* when the last good renewal was sent */
    uint64_t valid_us;    /* as that renewal says */
    uint64_t tx_valid_us; /* as the renewal under way says */
    uint64_t next_renew_us;
    uint64_t retry_us;   /* no other transaction before: the store is away */
    uint32_t failures;   /* transactions in a row that it did not take */
    uint64_t contact_us; /* since when the store answers; 0: it does not */
    uint64_t even_us;    /* when a server was last given up for evenness */
    bool leaving;        /* takes no more servers */
    bool left;           /* orders no more */
    bool given_up;
    le_tx_kind tx;
    uint64_t tx_sent_us;
    GPtrArray *tx_servers; /* le_server_row of the transaction */
    char *tx_peer;
    GArray *conditions; /* dl_condition */
    GArray *writes;     /* dl_write */
    GPtrArray *keys;
};

void le_free_peer(void *data);
void le_free_server(void *data);
void le_clear_write(void *data);
le_server_row *le_server_of(le_lease *lease, const char *id);
bool le_is_self(const le_lease *lease, const char *instance);
void le_lose(le_lease *lease);
void le_feed_instance(le_lease *lease, uint64_t now_us, const char *name,
                      const dl_row *row);
void le_feed_holder(le_lease *lease, uint64_t now_us, const char *id,
                    const dl_row *row);
/* A read did not have the row; a newer one may be told still. */
void le_clear_holder(le_server_row *server, uint64_t now_us);
uint64_t le_takeover_us(const le_lease *lease, const le_peer_row *peer);
char *le_meant_for(const le_lease *lease, const le_server_row *server,
                   uint64_t now_us);
/* Has a server, or is meant to have one. */
bool le_is_holder(const le_lease *lease, uint64_t now_us);
bool le_row_is_own(const le_lease *lease, const le_server_row *server);
bool le_holds(const le_lease *lease, const le_server_row *server);
le_state le_state_of(const le_lease *lease, const le_server_row *server);
bool le_may_claim(const le_lease *lease, le_server_row *server,
                  uint64_t now_us);
uint64_t le_renew_us(const le_lease *lease);
uint64_t le_valid_us(const le_lease *lease);
le_tx_kind le_fill_tx(le_lease *lease, uint64_t now_us);

#endif
