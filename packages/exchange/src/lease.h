/*
 * lease.h: decides which instance may give orders to a backend server
 * (prefix le_).
 *
 * Orders are commands to load or evict adapters and models. The leases are
 * kept as two kinds of rows in the own table, the instances' table in the
 * platform's store:
 *
 *   i/INSTANCE  one for each running instance, rewritten every renew_ms under
 *               the condition that it still has the version last written
 *   o/SERVER    the holder of a server, with its incarnation; written only
 *               when the holder changes; the row's version is the fencing
 *               number
 *   e/ERA       written once in each era of the store, see below
 *
 * An instance may give orders while its last acknowledged renewal was sent
 * less than its validity ago. The validity is valid_ms in its row, about two
 * renewal intervals. Another instance ends the lease by removing that row, on
 * condition that it is unchanged, once it has seen the row unchanged on its
 * own clock for valid_ms plus lease_ms. So the former holder has given no
 * order for lease_ms before a new holder gives one.
 *
 * An instance that leaves marks its server rows as given up. They can be
 * claimed after lease_ms and a margin. An instance that restarts under the
 * same name reclaims its own servers at once, with a higher fencing number.
 * Fencing numbers are versions of the whole store, so they rise even where a
 * row was removed in between or a write is carried out late. An instance that
 * holds at least two servers more than another gives up servers for it, one
 * at a time.
 *
 * The store may be restored from an older copy (dl_query_era()), whose rows
 * name holders of before. The table is then read again before anything is
 * written. An instance that could give orders until then claims its servers
 * again at once; servers of any other state can be claimed when the lease of
 * each instance that has not noticed yet has ended. Then e/ERA is written. An
 * instance that starts and finds rows, but not that one, waits as well.
 *
 * Renewals are further apart the more instances there are. Above
 * subset_threshold instances only some of them hold servers; the others renew
 * more rarely still, and it takes longer until their lease can be ended.
 *
 *     le_feed_row(lease, now_us, &row);
 *     if (le_next_tx(lease, now_us, &tx)) { write it; le_feed_result(...); }
 *     if (le_query_fence(lease, clock_us, server_id)) { give the order }
 *
 * The module opens no sockets and reads no clock: callers pass the time of
 * CLOCK_BOOTTIME, so that a process that was suspended finds its lease
 * expired.
 *
 * Limits: one transaction in flight; instance names and server ids contain no
 * slash.
 */
#ifndef LACEWING_LEASE_H
#define LACEWING_LEASE_H

#include "lacewing/dialect.h"

typedef struct le_lease le_lease;

typedef struct le_desc {
    const char *instance; /* required */
    const char *zone;     /* required */
    const char *address;  /* published to other instances, IP:PORT */
    uint32_t link_mbps;   /* published to other instances; 0: unknown */
    uint64_t incarnation; /* required, different at each start */
    uint32_t lease_ms;    /* least time between the last order of one holder
                             and the first of the next; default 3000 */
    uint32_t renew_ms;    /* default lease_ms / 3 */
    uint32_t subset_threshold; /* above this many instances only some hold
                                  servers; default 24 */
} le_desc;

typedef struct le_peer {
    const char *instance;
    const char *zone;
    const char *address;
    uint64_t incarnation;
    uint32_t link_mbps; /* of its network link; 0: unknown */
    bool leaving;
} le_peer;

/* A change made by the last transaction to the row of a server, or the
   removal of the row of an expired instance, and the state it is based on. */
typedef struct le_change {
    const char *kind;
    const char *server; /* NULL: the row of an instance */
    const char *holder; /* last known holder, or that instance; NULL: none */
    const char *why;
    uint64_t version;       /* last known version of the row; 0: no row */
    uint64_t age_us;        /* since this version was first seen; 0: no row */
    uint64_t holder_age_us; /* the same of the holder's instance row; 0: the
                               instance has no known row */
} le_change;

le_lease *le_create(const le_desc *desc);
void le_destroy(le_lease *lease);

/* Takes in a row of the own table as read or followed; value NULL: removed. */
void le_feed_row(le_lease *lease, uint64_t now_us, const dl_row *row);
/* Enclose a read of the whole table: le_end_read() drops the rows that were
   not fed since le_begin_read(). version: of the store. */
void le_begin_read(le_lease *lease, uint64_t now_us, uint64_t version);
void le_end_read(le_lease *lease, uint64_t now_us);
/* Notes that the store answered a read of the own table with its current
   content. */
void le_note_store_answer(le_lease *lease, uint64_t now_us);
/* Notes that the store did not answer for a while, in which other instances
   may not have been able to renew. */
void le_note_store_interruption(le_lease *lease);
/* Lists a server that takes orders, or removes it from the list. A removed
   server gets no more orders from here. Its row stays for lease_ms and a
   margin, so that it is still held here if it is listed again. */
void le_put_server(le_lease *lease, const char *id, const char *zone);
void le_remove_server(le_lease *lease, const char *id);
/* Announces that this instance will leave: it claims no more servers, and its
   row tells other instances. */
void le_announce_leave(le_lease *lease);
/* Leaves now: no more orders are permitted, and the servers are given up. */
void le_leave(le_lease *lease);

/* Fills the next transaction to write, valid until the next call. Returns
   false if there is none. */
bool le_next_tx(le_lease *lease, uint64_t now_us, dl_tx *tx);
/* Takes in the result of that transaction. rows: of ER_CONFLICT; version: of
   ER_OK. */
void le_feed_result(le_lease *lease, uint64_t now_us, er_code code,
                    uint64_t version, const GArray *rows);

/* queries */
/* Returns the fencing number for an order to a server now; 0: this instance
   may give none. Call it right before each order, with the time read then. */
uint64_t le_query_fence(const le_lease *lease, uint64_t clock_us,
                        const char *server);
/* Returns the other instance that is known to hold a server; NULL: none. */
const char *le_query_holder(const le_lease *lease, const char *server);
/* Returns the pause between two reads of the own table that is short enough
   to see renewals in time. */
uint32_t le_query_read_pause_ms(const le_lease *lease);
/* Returns the number of instances that do not leave, at least 1. */
uint32_t le_query_live_count(const le_lease *lease);
/* Returns the number of other instances that do not leave. */
uint32_t le_query_live_peer_count(const le_lease *lease);
/* Returns a digest of all rows that does not change with renewals. */
uint64_t le_query_digest(const le_lease *lease);
/* Returns a digest of the rows of instances alone, without renewals. */
uint64_t le_query_peer_digest(const le_lease *lease);
/* Tells whether the own table was read, since the last restoration of the
   store if there was one. */
bool le_query_table_known(const le_lease *lease);
/* Tells whether the lease of this instance is valid. */
bool le_query_lease_valid(const le_lease *lease, uint64_t clock_us);
/* Tells whether all servers are given up after le_leave(). */
bool le_query_all_given_up(const le_lease *lease);
typedef void (*le_peer_callback)(const le_peer *peer, void *user_data);
typedef void (*le_change_callback)(const le_change *change, void *user_data);
/* Reports each row change of the last transaction but renewals. Call it right
   after le_next_tx(). */
void le_each_change(const le_lease *lease, uint64_t now_us,
                    le_change_callback call, void *user_data);
/* Reports each other instance, also those that leave. */
void le_each_peer(const le_lease *lease, le_peer_callback call,
                  void *user_data);

#endif
