/*
 * notice.h: what a backend server said of itself (prefix nt_).
 *
 * Two beliefs of each server, each with its source and age. Leaving: it takes
 * nothing new any more; from its own answers, from other instances that had
 * such an answer, or from the list of servers. Paused: it turned a request of
 * ours away and wants nothing from us for some time; after that one request
 * tries it, and the others follow when it answers without a further pause.
 *
 *     if (nt_hear(&server->notice, rules, &said, now_us) & NT_LEAVES) { ... }
 *     if (nt_query_open(&server->notice, now_us)) {
 *         nt_begin(&server->notice, now_us);
 *         ... send ...
 *     }
 *
 * When leaving ends: never by time alone, since nothing tells that the server
 * stays. The record is set up anew for another process (another id, or a newer
 * start of the same id). A list that says ready ends only what a list began,
 * as its entries may be older than the server's word. The one exception is
 * decided by the fleet where all servers of a service said that they leave,
 * see nt_query_contradicted().
 *
 * No sockets and no clock. Limits: pauses of this instance only; they are not
 * told to others.
 */
#ifndef LACEWING_NOTICE_H
#define LACEWING_NOTICE_H

#include "lacewing/dialect.h"

typedef enum nt_source {
    NT_SOURCE_DEFAULT = 0, /* it was not said */
    NT_LIST,
    NT_PEER,
    NT_ANSWER
} nt_source;

/* What changed; any of them together. */
typedef enum nt_change {
    NT_LEAVES = 1,  /* it did not leave before */
    NT_PAUSES = 2,  /* it was not paused before */
    NT_RESUMES = 4, /* it takes requests again */
    NT_CAPPED = 8,  /* the pause is shorter here than it asked for */
    NT_UNREAD = 16  /* the first notice that could not be read */
} nt_change;

typedef struct nt_rules {
    uint64_t drain_us;      /* a leaving server gets nothing new after */
    uint64_t pause_most_us; /* no pause is longer */
    GRand *random;          /* required */
} nt_rules;

typedef struct nt_notice {
    nt_source leaving;   /* NT_SOURCE_DEFAULT: it does not leave */
    uint64_t leaving_us; /* since */
    uint64_t said_us;    /* first word of its own, told by whomever; 0: none */
    uint64_t word_us;    /* the last one */
    uint64_t floor;     /* version of the store after the first; 0: none yet */
    uint64_t ready;     /* version of its entry if that says ready, else 0 */
    bool unread;        /* a notice of its could not be read */
    bool disbelieved;   /* its own newer entry contradicted its word */
    uint64_t paused_us; /* since; 0: it is not paused */
    uint64_t reopens_us; /* then one request tries it */
    uint64_t trial_us;   /* that request was sent; 0: none is */
} nt_notice;

/* Another process has the id. */
void nt_reset(nt_notice *notice);
/* An answer of the server. Returns nt_change. */
uint32_t nt_hear(nt_notice *notice, const nt_rules *rules,
                 const dl_notice *said, uint64_t now_us);
/* Another instance had an answer that said leaving. Returns nt_change. */
uint32_t nt_hear_peer(nt_notice *notice, uint64_t now_us);
/* Its entry in the list. */
void nt_take_entry(nt_notice *notice, bool ready, uint64_t version);
/* The store was at this version when it answered a call that was sent then. */
void nt_note_store(nt_notice *notice, uint64_t version, uint64_t asked_us);
/* Its word counts no more, the list's does. */
void nt_disbelieve(nt_notice *notice);
/* A request or an order goes to the server. */
void nt_begin(nt_notice *notice, uint64_t now_us);
/* It brought no answer. */
void nt_end_unheard(nt_notice *notice);

/* queries */
bool nt_query_leaving(const nt_notice *notice);
/* By its own word, told by whomever. */
bool nt_query_said_leaving(const nt_notice *notice);
/* It is paused, or was and the request that tries it is under way. */
bool nt_query_paused(const nt_notice *notice, uint64_t now_us);
/* Requests and orders may go there. */
bool nt_query_open(const nt_notice *notice, uint64_t now_us);
/* Paused: when a request may go there. */
uint64_t nt_query_back_us(const nt_notice *notice, uint64_t now_us);
/* Its entry was written after its first word and says ready, in a list that is
   known as of list_us, a drain time after its last word or later. */
bool nt_query_contradicted(const nt_notice *notice, const nt_rules *rules,
                           uint64_t list_us);
const char *nt_query_source_name(nt_source source);

#endif
