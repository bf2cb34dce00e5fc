/*
 * lease.h: which instance gives a backend server orders (prefix le_).
 *
 * Two kinds of rows in the own table of the platform's store:
 *
 *   i/INSTANCE  one for each running instance, written anew every renew_ms
 *               under the condition of its last version
 *   o/SERVER    the instance that orders and its incarnation; written when
 *               that changes only; its version is the fence
 *
 * An instance orders while its last acknowledged renewal was sent less than
 * valid_ms ago. Another ends it by removing its row, under the condition
 * that the row has not changed, after it stood unchanged on the other's own
 * clock for valid_ms, which the row tells, and lease_ms: the old one is silent
 * for lease_ms before any server of it has a new holder. A holder that leaves
 * gives its servers up in the store; they wait for quiet_ms. A machine that
 * starts again takes its own servers back at once, with a higher fence. Fences
 * are versions of the store, so they rise also where rows were removed or are
 * written late. One that holds more than others gives servers up for them, one
 * at a time.
 *
 * Where there are many instances, those that are meant to hold no server renew
 * more rarely, and take so much longer to be ended.
 *
 *     le_feed_row(lease, now_us, "i/b", value, 17);
 *     if (le_next_tx(lease, now_us, &tx)) { write it; le_feed_result(...); }
 *     if (le_query_fence(lease, clock_us, server_id)) { order }
 *
 * No sockets and no clock: the time comes in, of CLOCK_BOOTTIME, so that a
 * suspended process finds its lease lapsed.
 *
 * Limits: one transaction at a time; names hold no slash.
 */
#ifndef LACEWING_LEASE_H
#define LACEWING_LEASE_H

#include "lacewing/dialect.h"

typedef struct le_lease le_lease;

typedef struct le_desc {
    const char *instance; /* required */
    const char *zone;     /* required */
    const char *address;  /* for other instances, IP:PORT */
    uint32_t link_mbps;   /* for other instances; 0: not told */
    uint64_t incarnation; /* required, another at each start */
    uint32_t lease_ms;    /* holders are this far apart; default 3000 */
    uint32_t renew_ms;    /* default lease_ms / 3 */
    uint32_t many;        /* above so many instances only some hold servers;
                             default 24 */
} le_desc;

typedef struct le_peer {
    const char *instance;
    const char *zone;
    const char *address;
    uint64_t incarnation;
    uint32_t link_mbps; /* of its network link; 0: not told */
    bool leaving;
} le_peer;

/* A row of a server, or of a silent instance, in the transaction that was
   taken last: what it is written for and on which belief. */
typedef struct le_change {
    const char *kind;
    const char *server; /* NULL: the row of an instance */
    const char *holder; /* as believed, or that instance; NULL: none */
    const char *why;
    uint64_t version;       /* of the row as believed; 0: none */
    uint64_t age_us;        /* since this version was first seen; 0: none */
    uint64_t holder_age_us; /* since the holder's own row was; 0: none known */
} le_change;

le_lease *le_create(const le_desc *desc);
void le_destroy(le_lease *lease);

/* Rows of the own table, as read or followed; value NULL: removed. */
void le_feed_row(le_lease *lease, uint64_t now_us, const dl_row *row);
/* All rows were read; those not fed since le_begin_read() are gone. */
void le_begin_read(le_lease *lease);
void le_end_read(le_lease *lease, uint64_t now_us);
/* The store answered a read of the own table that was up to date then. */
void le_feed_fresh(le_lease *lease, uint64_t now_us);
/* The store did not answer for a while: others may not have renewed. */
void le_note_interruption(le_lease *lease);
/* Servers that take orders. One that is removed gets none from here any more;
   its row stays for quiet_ms, so that it is ours still if it comes back. */
void le_put_server(le_lease *lease, const char *id, const char *zone);
void le_remove_server(le_lease *lease, const char *id);
/* The instance will leave: it takes no more servers, others see that. */
void le_announce_leave(le_lease *lease);
/* It leaves now: no order from now on, servers are given up. */
void le_leave(le_lease *lease);

/* The next transaction to write; valid until the next call. False: none. */
bool le_next_tx(le_lease *lease, uint64_t now_us, dl_tx *tx);
/* What came of it. rows: of ER_CONFLICT; version: of ER_OK. */
void le_feed_result(le_lease *lease, uint64_t now_us, er_code code,
                    uint64_t version, const GArray *rows);

/* queries */
/* Fence of an order to a server now; 0: none may be given from here. Ask
   right before each order, with the clock read then. */
uint64_t le_query_fence(const le_lease *lease, uint64_t clock_us,
                        const char *server);
/* Another instance that orders a server, as far as known; NULL: none. */
const char *le_query_holder(const le_lease *lease, const char *server);
/* Pause between two reads of the own table, so that renewals are seen. */
uint32_t le_query_pause_ms(const le_lease *lease);
uint32_t le_query_live(const le_lease *lease);
/* Other instances that do not leave. */
uint32_t le_query_others(const le_lease *lease);
/* Of all rows but for their renewals. */
uint64_t le_query_digest(const le_lease *lease);
/* Of the other instances. */
uint64_t le_query_peer_digest(const le_lease *lease);
bool le_query_held(const le_lease *lease, uint64_t clock_us);
bool le_query_given_up(const le_lease *lease);
typedef void (*le_peer_call)(const le_peer *peer, void *user_data);
typedef void (*le_change_call)(const le_change *change, void *user_data);
/* Right after le_next_tx(); nothing for renewals. */
void le_each_change(const le_lease *lease, uint64_t now_us,
                    le_change_call call, void *user_data);
void le_each_peer(const le_lease *lease, le_peer_call call, void *user_data);

#endif
