/*
 * chain.h: the versioned chain of configuration changes (prefix cc_).
 *
 *   config/change/VERSION    12 digits; created only if absent: that
 *                            conditional create is the commit. A line with
 *                            the change's id, one with who, then its text
 *   audit/change/VERSION     in the same transaction
 *   audit/refused/ID         a refused change
 *   config/snapshot          version of the newest snapshot
 *   object config-VERSION    whole text of the configuration
 *
 * The texts are opaque here: the daemon folds each change into its
 * configuration when CC_ACTION_APPLY names it, in order, each once, and
 * gives the whole text for a snapshot when asked. Versions only grow; none is
 * ever taken back. A daemon polls with one scan after its version, at once
 * when a peer's heartbeat names a newer one, and fetches from such a peer
 * when the table is down. It is ready (cc_query_ready()) once its version is
 * at least as new as any that it has heard of and it has had the table's
 * word, or, with the table down, its peers' word for peer_wait_ms.
 *
 *     cc_submit(cc, now_us, &(cc_submit_desc){.tag = 1, .expect = 41,
 *         .id = "u-17", .who = "ana", .text = edits, .audit = record});
 *     ... CC_ACTION_SUBMITTED tells what became of it ...
 *
 * commands:  cc_create cc_destroy cc_submit cc_give_snapshot cc_feed
 *            cc_next_action
 * queries:   cc_query_wakeup_us cc_query_version cc_query_ready
 *            cc_query_newest_heard cc_query_text cc_query_behind
 *
 * Limits: see control.h; the last keep_changes texts are held in memory for
 * peers and conflict answers.
 */
#ifndef LACEWING_CHAIN_H
#define LACEWING_CHAIN_H

#include "lacewing/control.h"

typedef struct cc_desc {
    const char *instance;       /* required */
    uint64_t seed;              /* default 1 */
    uint32_t poll_ms;           /* mean period; default 10000 */
    uint32_t poll_jitter_pct;   /* default 30 */
    uint32_t retry_ms;          /* after a failed call; default 500 */
    uint32_t peer_wait_ms;      /* start with the table down; default 2000 */
    uint32_t snapshot_every;    /* changes; default 64 */
    uint32_t keep_changes;      /* default 64 */
    uint32_t submit_timeout_ms; /* until its fate must be known, else
                                   ER_TIMEOUT; default 5000 */
    bool unsafe_any_version;    /* tests only: a change overwrites */
    bool unsafe_take_older;     /* tests only: an older text is applied */
} cc_desc;

typedef struct cc_submit_desc {
    uint64_t tag;
    uint64_t expect;   /* version the operator saw; the change becomes
                          expect + 1 */
    const char *id;    /* required: unique id of the change */
    const char *who;   /* required */
    const char *text;  /* required: the change, opaque */
    const char *audit; /* required: the audit record, opaque */
} cc_submit_desc;

typedef enum cc_event_type {
    CC_EVENT_DEFAULT = 0, /* refused */
    /* Time has passed. Fields: none. */
    CC_EVENT_TICK,
    /* A table call has ended. Fields: table. */
    CC_EVENT_TABLE,
    /* A heartbeat names the version in force at a peer. Fields: instance,
       version. */
    CC_EVENT_HEARD,
    /* A peer is gone. Fields: instance. */
    CC_EVENT_PEER_GONE,
    /* What a peer sent by CC_ACTION_SEND_TEXT. Fields: instance, version,
       text, snapshot. */
    CC_EVENT_TEXT,
    /* A peer asks for changes from a version on. Fields: instance, version. */
    CC_EVENT_FETCH,
    /* An object call has ended. Fields: number, code, text (of a get). */
    CC_EVENT_OBJECT,
    CC_EVENT_NUM
} cc_event_type;

typedef struct cc_event {
    cc_event_type type;
    const co_table_result *table;
    const char *instance;
    const char *text;
    uint64_t version;
    uint64_t number;
    er_code code;
    bool snapshot;
} cc_event;

typedef enum cc_action_type {
    CC_ACTION_DEFAULT = 0,
    /* Make a call of the table. Fields: table. */
    CC_ACTION_TABLE,
    /* Fold one change in; it is in force now. Fields: version, text, who. */
    CC_ACTION_APPLY,
    /* Replace the whole configuration; in force now. Fields: version, text. */
    CC_ACTION_APPLY_SNAPSHOT,
    /* What became of a submitted change. Fields: tag, code, version. ER_OK:
       committed as version. ER_CONFLICT: version and text of the change that
       was there first, and its who (text NULL: too long ago, and version is
       the one in force). ER_PLATFORM_DOWN: not committed.
       ER_TIMEOUT: open; ask with the same id again. */
    CC_ACTION_SUBMITTED,
    /* Ask a peer for changes. Fields: instance, version (from). */
    CC_ACTION_FETCH,
    /* Send a change, or the whole configuration, to a peer, which feeds it
       as it is. Fields: instance, version, text, snapshot. */
    CC_ACTION_SEND_TEXT,
    /* Call cc_give_snapshot() with the whole text of version. Fields:
       version. */
    CC_ACTION_WANT_SNAPSHOT,
    /* Store an object. Fields: number, key, text. */
    CC_ACTION_PUT,
    /* Fetch an object. Fields: number, key. */
    CC_ACTION_GET,
    CC_ACTION_NUM
} cc_action_type;

typedef struct cc_action {
    cc_action_type type;
    co_table_call table;
    uint64_t tag;
    uint64_t version;
    uint64_t number;
    er_code code;
    const char *instance;
    const char *key;
    const char *text;
    const char *who;
    bool snapshot;
} cc_action;

typedef struct cc_machine cc_machine;

cc_machine *cc_create(const cc_desc *desc);
void cc_destroy(cc_machine *cc);
/* ER_OK: its fate comes as CC_ACTION_SUBMITTED. */
er_code cc_submit(cc_machine *cc, uint64_t now_us, const cc_submit_desc *desc);
/* The whole configuration at a version, as asked for. */
void cc_give_snapshot(cc_machine *cc, uint64_t now_us, uint64_t version,
                      const char *text);
er_code cc_feed(cc_machine *cc, uint64_t now_us, const cc_event *event);
bool cc_next_action(cc_machine *cc, cc_action *action);

/* queries */
uint64_t cc_query_wakeup_us(const cc_machine *cc);
uint64_t cc_query_version(const cc_machine *cc);
/* Requests may be served from the version in force. Never turns false
   again. */
bool cc_query_ready(const cc_machine *cc);
uint64_t cc_query_newest_heard(const cc_machine *cc);
/* Text of a change that is still held; NULL when it is not. */
const char *cc_query_text(const cc_machine *cc, uint64_t version);
/* Calls back for each peer whose version is below the newest heard. */
void cc_query_behind(const cc_machine *cc,
                     void (*call)(const char *instance, uint64_t version,
                                  void *user_data),
                     void *user_data);

#endif
