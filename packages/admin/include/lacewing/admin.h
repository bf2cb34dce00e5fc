/*
 * admin.h: the administration API (prefix ad_).
 *
 * HTTP handlers, mounted on a server of the caller's, for what operators and
 * teams see and change: configuration, servers, adapters and versions, teams,
 * limits, status, audit trail, explanations. docs/ADMIN_API.md has each call.
 *
 *     ad_admin *admin = ad_setup(&(ad_desc){
 *         .server = server, .table = table, .host = &host.base});
 *     ...
 *     ad_shutdown(admin);
 *
 * Every change is a list of edits against the version that its author saw. It
 * is checked here (role, team, the configuration that results) and handed to
 * the host, which commits the change and its audit record in one transaction
 * of the table. So a change that cannot be written to the audit trail is not
 * accepted. Refused changes get a row of their own, "audit/refused/...".
 *
 * The host is the process that mounts the handlers: it holds the
 * configuration in force, commits changes and knows its live state.
 *
 * commands:  ad_setup ad_shutdown
 * queries:   ad_query_open_calls ad_record_query_text ad_query_change_key
 *
 * Limits: one main context; a body up to AD_BODY_BYTES_MAX; the host and the
 * table must outlive the calls still open (ad_query_open_calls()).
 */
#ifndef LACEWING_ADMIN_H
#define LACEWING_ADMIN_H

#include "lacewing/config.h"
#include "lacewing/store.h"
#include <libsoup/soup.h>

#define AD_BODY_BYTES_MAX (512 * 1024)
/* Refused changes written to the table by one instance. */
#define AD_REFUSED_ROWS_PER_S 5
/* Most versions that one roll back goes back over. */
#define AD_ROLLBACK_VERSIONS_MAX 1000

#define AD_CHANGE_PREFIX "audit/change/"
#define AD_REFUSED_PREFIX "audit/refused/"

/* A change on its way into the chain. */
typedef struct ad_change {
    uint64_t expect;   /* version its author saw; it becomes expect + 1 */
    const char *id;    /* unique id; the same again gives the same outcome */
    const char *who;   /* team:role:first digits of the key's hash */
    const char *text;  /* edits, as dc_edits_parse() reads them */
    const char *audit; /* audit record, JSON */
} ad_change;

/* ER_OK: committed as version. ER_CONFLICT: not committed, another change is
   there. ER_PLATFORM_DOWN: not committed. ER_TIMEOUT: open; the same id again
   tells. */
typedef struct ad_outcome {
    er_code code;
    uint64_t version;
} ad_outcome;

typedef void (*ad_outcome_callback)(const ad_outcome *outcome,
                                    void *user_data);

typedef struct ad_host ad_host;

typedef struct ad_host_vt {
    /* Configuration in force and its version; borrowed. NULL: none yet. */
    dc_config *(*config)(ad_host *host, uint64_t *version);
    /* Commits the change and its audit record in one transaction; calls back
       exactly once. The strings are good during the call only. */
    void (*submit)(ad_host *host, const ad_change *change,
                   ad_outcome_callback call, void *user_data);
    /* JSON object: this instance, its peers and who is behind. */
    char *(*status)(ad_host *host);
    /* JSON list of objects with "name": live state of backend servers. */
    char *(*servers)(ad_host *host);
    /* JSON object on a recent request; NULL: not known. team NULL: of any
       team. */
    char *(*explain)(ad_host *host, const char *request, const char *team);
} ad_host_vt;

/* Behaviour varies by the vtable. status, servers and explain may be NULL. */
struct ad_host {
    const ad_host_vt *vt;
};

typedef struct ad_desc {
    SoupServer *server; /* required; handlers go in under path */
    const char *path;   /* default "/admin/v1" */
    pf_table *table;    /* required; reads of the trail, refused changes */
    ad_host *host;      /* required */
} ad_desc;

typedef struct ad_admin ad_admin;

ad_admin *ad_setup(const ad_desc *desc);
/* Takes the handlers out; calls still open are answered first. */
void ad_shutdown(ad_admin *admin);

/* queries */
/* Calls not yet answered. */
uint32_t ad_query_open_calls(const ad_admin *admin);
/* Row of the audit record of a version; free with g_free(). */
char *ad_query_change_key(uint64_t version);

/* What an audit record says of a change. */
typedef struct ad_record {
    uint64_t version; /* the change's own; refused: the one in force */
    uint64_t when_ms; /* wall clock */
    const char *id;
    const char *who;
    const char *team; /* of who */
    const char *note; /* NULL: none */
    er_code refused;  /* ER_OK: accepted */
    const char *why;  /* refused: message */
    const dc_config *before;
    const dc_config *after; /* NULL: refused before there was one */
    const dc_edits *edits;
} ad_record;

/* The record as JSON; free with g_free(). */
char *ad_record_query_text(const ad_record *record);

#endif
