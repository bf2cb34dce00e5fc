/*
 * admin.h: the administration API (prefix ad_).
 *
 * Registers HTTP handlers on a SoupServer of the embedding process. Through
 * them operators and teams read and change the configuration (servers,
 * adapters and versions, teams, limits) and read live status, the audit trail
 * and explanations of requests. docs/ADMIN_API.md describes each call.
 *
 *     ad_admin *admin = ad_setup(&(ad_desc){
 *         .server = server, .table = table, .host = &host.base});
 *     ...
 *     ad_shutdown(admin);
 *
 * Every change is a list of edits against the configuration version that its
 * author saw. This module checks the author's role and team and the resulting
 * configuration, then hands the change to the host, which commits the change
 * and its audit record in one transaction of the table. Thus a change that
 * cannot be written to the audit trail is not accepted. A refused change is
 * recorded in a row of its own, "audit/refused/...", at a bounded rate
 * (AD_REFUSED_ROWS_PER_S).
 *
 * The host (ad_host) is the process that registers the handlers: it holds the
 * configuration in force, commits changes and reports its live state.
 *
 * commands:  ad_setup ad_shutdown
 * queries:   ad_query_open_calls ad_record_query_text ad_query_change_key
 *
 * Limits: all functions and handlers run in one main context. A request body
 * holds up to AD_BODY_BYTES_MAX bytes. The host and the table must outlive the
 * open calls (ad_query_open_calls()).
 */
#ifndef LACEWING_ADMIN_H
#define LACEWING_ADMIN_H

#include "lacewing/config.h"
#include "lacewing/store.h"
#include <libsoup/soup.h>

#define AD_BODY_BYTES_MAX (512 * 1024)
/* Most refused changes that one instance writes to the table each second. */
#define AD_REFUSED_ROWS_PER_S 5
/* Most versions that one rollback can undo. */
#define AD_ROLLBACK_VERSIONS_MAX 1000

/* Prefixes of the table keys of audit records. */
#define AD_CHANGE_PREFIX "audit/change/"
#define AD_REFUSED_PREFIX "audit/refused/"

/* A checked change that the host is to commit as the next version. */
typedef struct ad_change {
    uint64_t expect;   /* version its author saw; it becomes expect + 1 */
    const char *id;    /* unique; same id and expect again: same outcome */
    const char *who;   /* team:role:first digits of the key's hash */
    const char *text;  /* edits, in the format of dc_edits_parse() */
    const char *audit; /* audit record, JSON */
} ad_change;

/* Result of a commit. The codes:
   ER_OK             committed as version;
   ER_CONFLICT       not committed, another change has become expect + 1;
   ER_PLATFORM_DOWN  not committed;
   ER_TIMEOUT        unknown; sending the change again with the same id and
                     expect returns the outcome. */
typedef struct ad_outcome {
    er_code code;
    uint64_t version; /* valid with ER_OK */
} ad_outcome;

typedef void (*ad_outcome_callback)(const ad_outcome *outcome,
                                    void *user_data);

typedef struct ad_host ad_host;

typedef struct ad_host_vt {
    /* Returns the configuration in force, borrowed, and its version. Returns
       NULL if the host has no configuration yet. */
    dc_config *(*config)(ad_host *host, uint64_t *version);
    /* Commits the change and its audit record in one transaction, then calls
       callback exactly once. The strings of change are valid only until
       submit() returns. */
    void (*submit)(ad_host *host, const ad_change *change,
                   ad_outcome_callback callback, void *user_data);
    /* Returns a JSON object on this instance and its peers, with the peers
       whose configuration is behind; free with g_free(). */
    char *(*status)(ad_host *host);
    /* Returns a JSON list with the live state of the backend servers, one
       object with a member "name" for each; free with g_free(). */
    char *(*servers)(ad_host *host);
    /* Returns a JSON object that explains a recent request, or NULL if the
       request is unknown or belongs to another team; free with g_free(). With
       team NULL, requests of all teams are looked up. */
    char *(*explain)(ad_host *host, const char *request, const char *team);
} ad_host_vt;

/* Base of the embedding process's host object. In the vtable, config and
   submit are required; status, servers and explain may be NULL. */
struct ad_host {
    const ad_host_vt *vt;
};

typedef struct ad_desc {
    SoupServer *server; /* required; the handlers are added under path */
    const char *path;   /* default "/admin/v1" */
    pf_table *table;    /* required; audit trail: read, refusals written */
    ad_host *host;      /* required */
} ad_desc;

typedef struct ad_admin ad_admin;

ad_admin *ad_setup(const ad_desc *desc);
/* Removes the handlers. Open calls stay valid until they are answered. Does
   nothing if admin is NULL. */
void ad_shutdown(ad_admin *admin);

/* queries */
/* Returns the number of calls that are not yet answered. */
uint32_t ad_query_open_calls(const ad_admin *admin);
/* Returns the table key of a version's audit record; free with g_free(). */
char *ad_query_change_key(uint64_t version);

/* Contents of the audit record of one change. */
typedef struct ad_record {
    uint64_t version; /* accepted: the new one; refused: the one in force */
    uint64_t when_ms; /* wall clock */
    const char *id;   /* ad_change.id */
    const char *who;  /* ad_change.who */
    const char *team; /* team of the author */
    const char *note; /* author's comment; may be NULL */
    er_code refused;  /* reason of the refusal; ER_OK if accepted */
    const char *why;  /* message of the refusal */
    const dc_config *before; /* NULL: old values and undo are left out */
    const dc_config *after;  /* NULL if refused before the edits applied */
    const dc_edits *edits;   /* may be NULL */
} ad_record;

/* Returns the record as JSON; free with g_free(). */
char *ad_record_query_text(const ad_record *record);

#endif
