/*
 * suspects.h: finds requests, and parts of prompts, that crash backend servers
 * (prefix su_).
 *
 * A request that crashes the server that begins to answer it comes again with
 * the same content, under another id and through another instance. Each crash
 * names the contents that the server was running, told by all instances that
 * had requests there: the same crash told twice counts once, two crashes count
 * twice, whoever saw them. How far an answer had come tells how likely its
 * request crashed the server, but proves nothing: other requests are often at
 * the same stage or a likelier one.
 *
 * An item is a content, or a part of a prompt that different contents share.
 * An item is blocked after su_desc.block_crashes crashes since it was last
 * answered in which it was among the likeliest, or after one crash more in
 * which it was at the server at all: a harmful item is at each server that
 * crashes by it and is never answered well, a sound one of usual traffic is
 * answered elsewhere. Requests with a blocked item are refused from then on.
 * Crashes with a blocked item count against nothing else. A part must have
 * crashed servers in different contents; one that is known to have been
 * answered well before needs more crashes, over some time, as sound requests
 * also share parts with the harmful ones. An instance that knows of such
 * answers tells those that may not, as requests with the part need not come
 * everywhere. Servers that crash at the same moment, as in a power failure,
 * count as one crash. A good answer that began after the first crash clears an
 * item again.
 *
 * So that a wrong block ends without an answer to clear it, one request
 * at a time may probe the item, at intervals that grow.
 *
 *     su_note_crash(suspects, &(su_crash){.server = hash, ...}, now_us);
 *     su_tick(suspects, now_us);  - calls back for what it blocked
 *     if (su_check(suspects, &content, now_us, &verdict) == SU_REFUSED) {
 *         ... refuse, with verdict.retry_ms ...
 *     }
 *
 * No sockets and no clock. Made for a fleet in which servers also crash by
 * themselves, some of them at once. Limits: the last SU_MAX_CRASHES crashes
 * with SU_MAX_CANDIDATES contents each, SU_MAX_BLOCKED blocks, the
 * first SU_MAX_PARTS parts of a prompt.
 */
#ifndef LACEWING_SUSPECTS_H
#define LACEWING_SUSPECTS_H

#include <stdbool.h>
#include <stdint.h>

#define SU_MAX_CRASHES 64
#define SU_MAX_CANDIDATES 32
#define SU_MAX_PARTS 16
#define SU_MAX_BLOCKED 256

typedef struct su_suspects su_suspects;

/* What a request asks for. */
typedef struct su_content {
    uint64_t fingerprint;         /* of all of it; 0: not known */
    uint64_t parts[SU_MAX_PARTS]; /* of the prompt, that others may share */
    uint32_t part_count;
} su_content;

/* A content that a server was running when it crashed. */
typedef struct su_candidate {
    su_content content;
    uint32_t likelihood; /* 1 and more: of two candidates of a crash, the one
                            with more caused it more likely */
} su_candidate;

/* A crash as one instance saw it. */
typedef struct su_crash {
    uint64_t server;  /* hash of its id */
    uint64_t born_ms; /* start of the process that ended */
    uint64_t at_us;
    const su_candidate *candidates;
    uint32_t candidate_count;
} su_crash;

typedef struct su_block {
    uint64_t item; /* fingerprint or part */
    bool is_part;
    uint32_t crashes;        /* that led to it */
    uint64_t first_crash_us; /* of these */
    uint64_t since_us;
} su_block;

/* A crash that was counted, with what all instances reported of it. */
typedef struct su_counted {
    uint64_t server; /* hash of its id */
    uint32_t candidate_count;
    uint32_t likeliest_count; /* candidates of the highest likelihood */
    uint32_t likelihood;      /* of these */
} su_counted;

typedef enum su_status {
    SU_FREE = 0, /* not blocked */
    SU_PROBE,    /* blocked, but a probe is due */
    SU_REFUSED
} su_status;

typedef struct su_verdict {
    uint32_t retry_ms; /* SU_REFUSED: time to the next probe */
} su_verdict;

typedef struct su_callbacks {
    /* A crash of which all reports should have arrived is counted; NULL: not
       needed. */
    void (*counted)(const su_counted *counted, void *user_data);
    /* The crashes reported here blocked an item. */
    void (*blocked)(const su_block *block, void *user_data);
    /* A suspected or blocked item was answered well. */
    void (*cleared)(uint64_t item, uint64_t began_us, void *user_data);
    /* A part that others may block was answered well here before: the last
       such answer began at good_us. */
    void (*known_good)(uint64_t part, uint64_t good_us, void *user_data);
} su_callbacks;

typedef struct su_desc {
    uint32_t block_crashes; /* default 2 */
    uint64_t seed; /* another one at each instance: which tells first */
    const su_callbacks *callbacks; /* required */
    void *user_data;
} su_desc;

su_suspects *su_create(const su_desc *desc);
void su_destroy(su_suspects *suspects);

/* Adds what one instance knows of a crash. */
void su_note_crash(su_suspects *suspects, const su_crash *crash,
                   uint64_t now_us);
/* A server answered the content well; it began to answer at began_us. */
void su_note_good(su_suspects *suspects, const su_content *content,
                  uint64_t began_us);
/* The same for an item that another instance cleared, or a part that it knows
   to be good; does not call back. */
void su_note_cleared(su_suspects *suspects, uint64_t item, uint64_t began_us);
/* Adds a block by another instance, unless it is one of a part that is known
   here to be good, for too few crashes for such a part. */
void su_adopt(su_suspects *suspects, const su_block *block, uint64_t now_us);
/* Counts the crashes of which all reports should have arrived. */
void su_tick(su_suspects *suspects, uint64_t now_us);
/* Notes that the content was sent as the probe that is due. */
void su_note_probe(su_suspects *suspects, const su_content *content,
                   uint64_t now_us);

/* queries */
/* Returns whether the content may be sent. *out is set unless it is free. */
su_status su_check(const su_suspects *suspects, const su_content *content,
                   uint64_t now_us, su_verdict *out);
/* True if the fingerprints of requests matter at present: some are suspected
   or blocked. */
bool su_query_active(const su_suspects *suspects);
/* True if a crash was not counted or the others were not told yet: su_tick()
   has something to do. */
bool su_query_pending(const su_suspects *suspects);
uint32_t su_query_blocked_count(const su_suspects *suspects);
typedef void (*su_block_callback)(const su_block *block, void *user_data);
void su_each_blocked(const su_suspects *suspects, su_block_callback call,
                     void *user_data);

#endif
