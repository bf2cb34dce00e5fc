/*
 * watch.h: follows the tables of the platform's store (prefix wt_).
 *
 * Reads each table once, page by page, then polls for its changes; the store
 * holds a poll until something changes or wait_ms has passed. If the store no
 * longer has the history since the last version, the whole table is read
 * again, and the rows missing from that read count as removed. So it is if the
 * store was restored from a copy (dl_query_era()), as changes made since
 * cannot be told from lost ones. After an interruption polling goes on from
 * the last known version.
 *
 * Each request to the store has a price, and all instances make the same ones.
 * So an instance that hears from another that the table was unchanged a moment
 * ago postpones its own poll (wt_note_fresh), and one that hears of a change
 * polls at once (wt_poll_now).
 *
 * Limits: one request in flight for each table.
 */
#ifndef LACEWING_WATCH_H
#define LACEWING_WATCH_H

#include "lacewing/dialect.h"
#include "lacewing/http_client.h"

typedef struct wt_watch wt_watch;

typedef struct wt_callbacks {
    /* Reports a row as it is now; value NULL: removed. */
    void (*row)(const dl_row *row, void *user_data);
    /* Enclose a read of the whole table; rows not reported in between are
       gone. version: of the store at its beginning. restored: the store was
       restored since the table was known last; what is read may be older. */
    void (*read_began)(uint64_t version, bool restored, void *user_data);
    void (*read_ended)(void *user_data);
    /* Reports that the table is known as of this version of the store. */
    void (*fresh)(uint64_t version, void *user_data);
} wt_callbacks;

/* The watches of one store. While it does not answer, one of them retries
   often; the others retry when that one has its answer. */
typedef struct wt_group {
    wt_watch *prober; /* NULL: the store is not known to be unreachable */
    GPtrArray *watches;
} wt_group;

typedef struct wt_desc {
    hc_client *client;         /* required */
    lp_loop *loop;             /* required */
    tm_service *timers;        /* required */
    const dl_dialect *dialect; /* required */
    const char *address;       /* required, of the store */
    const char *table;         /* required */
    uint32_t pause_ms;         /* from an answer to the next poll; without a
                                  rank up to twice that, at random */
    uint32_t wait_ms;          /* the store holds a poll; default 3000 */
    wt_group *group;           /* required */
    const wt_callbacks *callbacks; /* required */
    void *user_data;
} wt_desc;

wt_watch *wt_create(const wt_desc *desc);
void wt_destroy(wt_watch *watch);

/* Notes that the table still was at at_us as it is known here, and postpones
   the next poll. */
void wt_note_fresh(wt_watch *watch, uint64_t at_us);
/* Reads the whole table again, because what is known of it may be wrong. */
void wt_read_again(wt_watch *watch);
/* Polls at once, because the table is said to have changed. */
void wt_poll_now(wt_watch *watch);
/* Sets the rank of this instance, from 1, among those that follow the table
   and share what they learn. The first polls soonest, the next ones if they
   hear nothing from it, and those beyond the first few as if they had no rank.
   0: no rank, the pause is random. */
void wt_set_poll_rank(wt_watch *watch, uint32_t rank);
void wt_set_pause(wt_watch *watch, uint32_t pause_ms);

/* queries */
/* Returns the bounds of the pause before the next poll. */
void wt_query_pause_range(uint32_t pause_ms, uint32_t rank, uint32_t *min_ms,
                          uint32_t *max_ms);
/* Returns the latest time at which the table was as it is known here; 0:
   never. */
uint64_t wt_query_fresh_us(const wt_watch *watch);
/* Returns the version of the store up to which the table is known from the
   store itself; 0: not yet. */
uint64_t wt_query_version(const wt_watch *watch);
/* Returns the era of the store in which the table was known last. */
uint64_t wt_query_era(const wt_watch *watch);
/* Return the length of the last interruption and when it ended; 0: none. A
   restoration of the store counts as one. */
uint64_t wt_query_outage_us(const wt_watch *watch);
uint64_t wt_query_regained_us(const wt_watch *watch);
bool wt_query_reachable(const wt_watch *watch);

#endif
