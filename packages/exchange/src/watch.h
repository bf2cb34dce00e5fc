/*
 * watch.h: follows the platform's tables (prefix wt_).
 *
 * Reads each table once, then asks for its changes. An answer that history is
 * no longer there, or a row that is missing from a new read, is told as
 * removals. After an interruption it goes on from the version it had.
 *
 * Calls are priced, and all instances ask for the same: an instance that hears
 * from another what the table was a moment ago puts its own call off
 * (wt_note_fresh), and one that hears of a change asks at once (wt_ask_now).
 *
 * Limits: one answer at a time for each table.
 */
#ifndef LACEWING_WATCH_H
#define LACEWING_WATCH_H

#include "lacewing/call.h"
#include "lacewing/dialect.h"

typedef struct wt_watch wt_watch;

typedef struct wt_calls {
    /* A row as it is now; value NULL: removed. */
    void (*row)(const dl_row *row, void *user_data);
    /* A read of the whole table begins and ends; what it does not hold is
       gone. */
    void (*read_began)(void *user_data);
    void (*read_ended)(void *user_data);
    /* The table is known as of this version of the store. */
    void (*fresh)(uint64_t version, void *user_data);
} wt_calls;

/* Watches of one store: while it is away one of them tries it, the others
   when that one has its answer. */
typedef struct wt_group {
    wt_watch *tries; /* NULL: the store is not known to be away */
    GPtrArray *watches;
} wt_group;

typedef struct wt_desc {
    hc_client *client;         /* required */
    lp_loop *loop;             /* required */
    tm_service *timers;        /* required */
    const dl_dialect *dialect; /* required */
    const char *address;       /* required, of the store */
    const char *table;         /* required */
    uint32_t pause_ms;         /* between two answers; up to as much
                                  more by chance */
    uint32_t wait_ms;          /* the store holds a call; default 3000 */
    wt_group *group;           /* required */
    const wt_calls *calls;     /* required */
    void *user_data;
} wt_desc;

wt_watch *wt_create(const wt_desc *desc);
void wt_destroy(wt_watch *watch);

/* The table was at this time what is known of it here. */
void wt_note_fresh(wt_watch *watch, uint64_t at_us);
/* What is known may be wrong: the whole table is read again. */
void wt_read_again(wt_watch *watch);
/* It has changed since. */
void wt_ask_now(wt_watch *watch);
/* Place of this instance, from 1, among those that follow the table and tell
   each other: the first asks, the next ones when no word of it came, all
   others as if there were no turns. 0: by chance. */
void wt_set_turn(wt_watch *watch, uint32_t turn);
void wt_set_pause(wt_watch *watch, uint32_t pause_ms);

/* queries */
/* Time from one word of a table to the next call for it. */
void wt_query_pause_range(uint32_t pause_ms, uint32_t turn, uint32_t *least_ms,
                          uint32_t *most_ms);
/* When the call was sent whose answer told the table last; 0: never. */
uint64_t wt_query_fresh_us(const wt_watch *watch);
/* Of the store, up to which the table is known from it; 0: not yet. */
uint64_t wt_query_version(const wt_watch *watch);
/* Length of the last interruption and when it ended; 0: none. */
uint64_t wt_query_gap_us(const wt_watch *watch);
uint64_t wt_query_regained_us(const wt_watch *watch);
bool wt_query_reachable(const wt_watch *watch);

#endif
