/*
 * notice.h: availability that a backend server reported of itself
 * (prefix nt_).
 *
 * Holds two conditions of one server, each with its source and time:
 *
 *   leaving  The server accepts no new requests any more. Reported by the
 *            server's answers to this instance, by other instances that
 *            received such an answer, or by the list of servers.
 *   paused   The server rejected a request of this instance and asked for no
 *            requests for some time. When the pause is over, one request
 *            probes the server; the others follow if the answer to it asks
 *            for no further pause.
 *
 *     if (nt_apply_answer(&server->notice, rules, &reported, now_us) &
 *         NT_STARTED_LEAVING) { ... }
 *     if (nt_query_available(&server->notice, now_us)) {
 *         nt_begin_request(&server->notice, now_us);
 *         ... send ...
 *     }
 *
 * Leaving never ends by time alone, as nothing reports that a server stays.
 * The record is reset for another process (another id, or a later start of the
 * same id). An entry of the list that says ready ends leaving only if the list
 * began it, as entries may be older than the server's own notice. The one
 * exception is made by the fleet where all servers of a service reported that
 * they leave, see nt_query_contradicted().
 *
 * No sockets and no clock. Limits: pauses apply to this instance only; they
 * are not sent to others.
 */
#ifndef LACEWING_NOTICE_H
#define LACEWING_NOTICE_H

#include "lacewing/dialect.h"

/* Source of a leaving notice, in order of precedence. */
typedef enum nt_source {
    NT_SOURCE_DEFAULT = 0, /* none: the server does not leave */
    NT_LIST,               /* entry of the list of servers */
    NT_PEER,               /* another instance that received an answer */
    NT_ANSWER              /* answer of the server to this instance */
} nt_source;

/* Changes of a record; bits that may be combined. */
typedef enum nt_change {
    NT_STARTED_LEAVING = 1,  /* was not leaving before */
    NT_STARTED_PAUSE = 2,    /* was not paused before */
    NT_RESUMED = 4,          /* accepts requests again after a pause */
    NT_PAUSE_CAPPED = 8,     /* the pause was cut to max_pause_us */
    NT_FIRST_UNREADABLE = 16 /* first notice of it that could not be read */
} nt_change;

typedef struct nt_rules {
    uint64_t drain_us;     /* time after which a leaving server gets no new
                              requests */
    uint64_t max_pause_us; /* longer pauses are cut to this */
    GRand *random;         /* required */
} nt_rules;

typedef struct nt_notice {
    nt_source leaving;        /* NT_SOURCE_DEFAULT: not leaving */
    uint64_t leaving_us;      /* since when */
    uint64_t first_notice_us; /* first report that it leaves, by an answer or
                                 by another instance; 0: none */
    uint64_t last_notice_us;  /* the last such report */
    uint64_t store_version;   /* of the store, read after the first report;
                                 0: not known yet */
    uint64_t ready_version;   /* version of its entry if that says ready,
                                 else 0 */
    bool had_unreadable;      /* a notice could not be read */
    bool leaving_ignored;     /* a newer entry of its own contradicted its
                                 leaving notice */
    uint64_t paused_us;       /* start of the pause; 0: not paused */
    uint64_t paused_until_us; /* then one request may probe it */
    uint64_t probe_sent_us;   /* when the probe was sent; 0: none in flight */
} nt_notice;

/* Clears the record for another process of the same id. */
void nt_reset(nt_notice *notice);
/* Applies an answer of the server. Returns nt_change. */
uint32_t nt_apply_answer(nt_notice *notice, const nt_rules *rules,
                         const dl_notice *reported, uint64_t now_us);
/* Applies the report of another instance that received an answer that said
   leaving. Returns nt_change. */
uint32_t nt_apply_peer_report(nt_notice *notice, uint64_t now_us);
/* Applies the server's entry in the list. version 0: the entry may be older
   than what was known before, so it ends nothing. */
void nt_apply_list_entry(nt_notice *notice, bool ready, uint64_t version);
/* Notes the version that the store had when it answered a call sent at
   asked_us. */
void nt_note_store_version(nt_notice *notice, uint64_t version,
                           uint64_t asked_us);
/* Ends leaving and ignores further leaving notices of this process, direct or
   from other instances; only the list counts from now on. */
void nt_ignore_leaving(nt_notice *notice);
/* A request or an order is sent to the server; it is the probe if a pause is
   over. */
void nt_begin_request(nt_notice *notice, uint64_t now_us);
/* The request ended without an answer; another one may probe the server. */
void nt_end_unanswered(nt_notice *notice);

/* queries */
bool nt_query_leaving(const nt_notice *notice);
/* Returns whether the server itself reported that it leaves, directly or
   through another instance. */
bool nt_query_reported_leaving(const nt_notice *notice);
/* Returns whether the server is paused, or the pause is over and the probe is
   in flight. */
bool nt_query_paused(const nt_notice *notice, uint64_t now_us);
/* Returns whether requests and orders may be sent to the server. */
bool nt_query_available(const nt_notice *notice, uint64_t now_us);
/* Returns when the pause allows a request; now_us if it allows one now. */
uint64_t nt_query_available_us(const nt_notice *notice, uint64_t now_us);
/* Returns whether the list contradicts the server's leaving notices: its entry
   says ready and was written after the first notice, and the list is known as
   of list_us, which is at least drain_us after the last notice. */
bool nt_query_contradicted(const nt_notice *notice, const nt_rules *rules,
                           uint64_t list_us);
const char *nt_query_source_name(nt_source source);

#endif
