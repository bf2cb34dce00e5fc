/*
 * suspects_private.h: shared by the parts of the search for requests that
 * crash servers: suspects.c (reports, blocks, probes), suspects_count.c (what
 * the crashes say of an item) and suspects_known.c (parts that were answered
 * well).
 */
#ifndef LACEWING_SUSPECTS_PRIVATE_H
#define LACEWING_SUSPECTS_PRIVATE_H

#include "suspects.h"

#include <glib.h>

/* Parts whose last good answer is remembered: sets of entries, the oldest of
   which gives way. */
#define SU_KNOWN_SETS 512
#define SU_KNOWN_WAYS 8
/* Most cleared items that are remembered. */
#define SU_MAX_CLEARED 256
/* Least crashes that block a part which was answered well before. */
#define SU_KNOWN_PART_CRASHES 4

/* A crash. */
typedef struct su_record {
    uint64_t server;
    uint64_t born_ms;
    uint64_t at_us;  /* earliest report */
    uint64_t due_us; /* when it is counted */
    su_candidate candidates[SU_MAX_CANDIDATES];
    uint32_t candidate_count;
    bool counted; /* no report has come since it was counted */
    bool fresh;   /* its items have not been judged since it was counted */
    /* A blocked part, or a blocked item of either kind, accounts for it; set
       by su_choose_block(). */
    bool has_blocked_part;
    bool has_blocked_item;
} su_record;

typedef struct su_blocked {
    su_block block;
    uint64_t probed_us; /* last probe sent from here; 0: none */
} su_blocked;

typedef struct su_cleared {
    uint64_t item;
    uint64_t began_us;
} su_cleared;

/* A part and when an answer on it that went well began last. */
typedef struct su_known {
    uint64_t part;
    uint64_t good_us;
    uint64_t told_us; /* when the instances told each other last; 0: not yet */
} su_known;

/* A part of which the others are to be told that it was answered well. */
typedef struct su_announcement {
    uint64_t part;
    uint64_t due_us;
} su_announcement;

struct su_suspects {
    su_desc desc;
    su_known known[SU_KNOWN_SETS][SU_KNOWN_WAYS];
    su_record records[SU_MAX_CRASHES];  /* ring */
    uint64_t record_count;              /* added so far */
    GArray *blocked;                    /* su_blocked, oldest first */
    uint64_t latest_us;                 /* of a call that named the time */
    GArray *announcements;              /* su_announcement */
    su_cleared cleared[SU_MAX_CLEARED]; /* ring */
    uint32_t next_cleared;
};

/* -- suspects.c ----------------------------------------------------------- */

su_blocked *su_find_blocked(const su_suspects *suspects, uint64_t item);
uint32_t su_query_kept_records(const su_suspects *suspects);

/* -- suspects_count.c ----------------------------------------------------- */

/* Returns the highest likelihood of a candidate of the crash. */
uint32_t su_query_top_likelihood(const su_record *record);
bool su_contains(const su_content *content, uint64_t item);
/* Returns how many crashes a blocked item may have caused. */
uint32_t su_count_crashes(const su_suspects *suspects, uint64_t item,
                          uint64_t now_us);
/* Finds the item to block next, of those in fresh crashes. Returns false if
   there is none. */
bool su_choose_block(su_suspects *suspects, uint64_t now_us, su_block *out);

/* -- suspects_known.c ----------------------------------------------------- */

/* Returns when a good answer on the part began last; 0: none is known. */
uint64_t su_query_last_good_us(su_suspects *suspects, uint64_t part);
void su_remember_good(su_suspects *suspects, uint64_t part, uint64_t began_us);
/* Plans to tell the others that a part was answered well, unless that is not
   known here or they were told lately. */
void su_plan_announcement(su_suspects *suspects, uint64_t part,
                          uint64_t now_us);
/* Notes that all have been told, here or by another instance. */
void su_cancel_announcement(su_suspects *suspects, uint64_t part);
/* Tells the others what is due. */
void su_send_announcements(su_suspects *suspects, uint64_t now_us);

#endif
