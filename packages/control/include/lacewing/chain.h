/*
 * chain.h: the versioned chain of configuration changes (prefix cc_).
 *
 * Stored in the table and the object store:
 *
 *   config/change/VERSION    one change; VERSION has 12 digits. The row is
 *                            created only if absent: this conditional create
 *                            is the commit. It holds a line with the change's
 *                            id, a line with its author, then its text
 *   audit/change/VERSION     audit record, written in the same transaction
 *   audit/refused/ID         audit record of a refused change
 *   config/snapshot          version of the newest snapshot
 *   object config-VERSION    whole text of the configuration
 *
 * The texts are opaque to this module. The daemon applies each change to its
 * configuration when CC_ACTION_APPLY names it (in order, each exactly once)
 * and provides the whole text for a snapshot when asked. Versions only grow;
 * none is ever withdrawn.
 *
 * A daemon polls with one scan after its own version, and at once when a
 * peer's heartbeat names a newer one. When the table is down it fetches from
 * such a peer instead. It is ready (cc_query_ready()) once its version is at
 * least as new as any it has heard of and it has either read the chain to its
 * end or, with the table down, given its peers peer_wait_ms to report theirs.
 *
 *     cc_submit(cc, now_us, &(cc_submit_desc){.tag = 1, .expect = 41,
 *         .id = "u-17", .who = "ana", .text = edits, .audit = record});
 *     ... CC_ACTION_SUBMIT_RESULT reports the outcome ...
 *
 * commands:  cc_create cc_destroy cc_submit cc_provide_snapshot cc_feed
 *            cc_next_action
 * queries:   cc_query_wakeup_us cc_query_version cc_query_ready
 *            cc_query_newest_known cc_query_change_text
 *            cc_query_lagging_peers
 *
 * Limits: see control.h; the last keep_changes texts are held in memory, to
 * send to peers and to report with conflicts.
 */
#ifndef LACEWING_CHAIN_H
#define LACEWING_CHAIN_H

#include "lacewing/control.h"

typedef struct cc_desc {
    const char *instance;       /* required */
    uint64_t seed;              /* default 1 */
    uint32_t poll_ms;           /* mean poll interval; default 10000 */
    uint32_t poll_jitter_pct;   /* default 30 */
    uint32_t retry_ms;          /* after a failed call; default 500 */
    uint32_t peer_wait_ms;      /* wait for peers' versions when starting with
                                   the table down; default 2000 */
    uint32_t snapshot_every;    /* changes between snapshots; default 64 */
    uint32_t keep_changes;      /* texts held in memory; default 64 */
    uint32_t submit_timeout_ms; /* a change whose outcome is not known by then
                                   ends with ER_TIMEOUT; default 5000 */
    bool unsafe_overwrite_change; /* tests only: the commit of a change
                                     overwrites an existing row */
    bool unsafe_apply_older;      /* tests only: older versions are applied */
} cc_desc;

typedef struct cc_submit_desc {
    uint64_t tag;      /* returned with the result; unique among the changes
                          that have not ended */
    uint64_t expect;   /* version that the operator saw; the change becomes
                          expect + 1 */
    const char *id;    /* required: unique id of the change */
    const char *who;   /* required: author of the change */
    const char *text;  /* required: the change, opaque */
    const char *audit; /* required: the audit record, opaque */
} cc_submit_desc;

typedef enum cc_event_type {
    CC_EVENT_DEFAULT = 0, /* refused */
    /* Time has passed. Fields: none. */
    CC_EVENT_TICK,
    /* A table call has ended. Fields: table. */
    CC_EVENT_TABLE,
    /* A heartbeat reports the version in force at a peer. Fields: instance,
       version. */
    CC_EVENT_PEER_VERSION,
    /* A peer is gone. Fields: instance. */
    CC_EVENT_PEER_GONE,
    /* A text arrived that a peer sent by CC_ACTION_SEND_TEXT. Fields:
       instance, version, text, snapshot. */
    CC_EVENT_TEXT_RECEIVED,
    /* A peer asks for all changes from a version on. Fields: instance,
       version. */
    CC_EVENT_FETCH_REQUESTED,
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
    /* Make a table call. Fields: table. */
    CC_ACTION_TABLE,
    /* Apply one change; its version is now in force. Fields: version, text,
       who. */
    CC_ACTION_APPLY,
    /* Replace the whole configuration; its version is now in force. Fields:
       version, text. */
    CC_ACTION_APPLY_SNAPSHOT,
    /* A submitted change has ended. Fields: tag, code, version.
       ER_OK: committed as version.
       ER_CONFLICT: another change has that version; version, text and who
       are the other change's. If its text is no longer held, text is NULL and
       version is the one in force.
       ER_PLATFORM_DOWN: not committed.
       ER_TIMEOUT: not known whether it was committed; submit it again with
       the same id. */
    CC_ACTION_SUBMIT_RESULT,
    /* Ask a peer for changes. Fields: instance, version (the first). */
    CC_ACTION_FETCH_FROM_PEER,
    /* Send a change, or the whole configuration, to a peer, which feeds it
       unchanged as CC_EVENT_TEXT_RECEIVED. Fields: instance, version, text,
       snapshot. */
    CC_ACTION_SEND_TEXT,
    /* Call cc_provide_snapshot() with the whole text of version. Fields:
       version. */
    CC_ACTION_REQUEST_SNAPSHOT,
    /* Store an object. Fields: number, key, text. */
    CC_ACTION_PUT_OBJECT,
    /* Read an object. Fields: number, key. */
    CC_ACTION_GET_OBJECT,
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

/* Returns NULL when a required field is missing. */
cc_machine *cc_create(const cc_desc *desc);
void cc_destroy(cc_machine *cc);
/* With ER_OK the outcome follows as CC_ACTION_SUBMIT_RESULT. Returns
   ER_BAD_REQUEST when a required field is missing, or when id or who contains
   a newline. */
er_code cc_submit(cc_machine *cc, uint64_t now_us, const cc_submit_desc *desc);
/* Passes in the whole configuration that CC_ACTION_REQUEST_SNAPSHOT asked
   for. */
void cc_provide_snapshot(cc_machine *cc, uint64_t now_us, uint64_t version,
                         const char *text);
er_code cc_feed(cc_machine *cc, uint64_t now_us, const cc_event *event);
bool cc_next_action(cc_machine *cc, cc_action *action);

/* queries */
uint64_t cc_query_wakeup_us(const cc_machine *cc);
uint64_t cc_query_version(const cc_machine *cc);
/* True once requests may be served from the version in force; it stays true
   from then on. */
bool cc_query_ready(const cc_machine *cc);
/* The newest version that this daemon has applied or that a peer reported. */
uint64_t cc_query_newest_known(const cc_machine *cc);
/* Returns the text of a change, or NULL when it is no longer held. */
const char *cc_query_change_text(const cc_machine *cc, uint64_t version);
/* Calls back for each peer whose version is below the newest known. */
void cc_query_lagging_peers(const cc_machine *cc,
                            void (*call)(const char *instance,
                                         uint64_t version, void *user_data),
                            void *user_data);

#endif
