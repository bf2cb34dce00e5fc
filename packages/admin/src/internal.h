/*
 * internal.h: parts of the administration API (private).
 */
#ifndef LACEWING_ADMIN_INTERNAL_H
#define LACEWING_ADMIN_INTERNAL_H

#include "lacewing/admin.h"
#include <json-glib/json-glib.h>

struct ad_admin {
    SoupServer *server;
    char *path;
    pf_table *table;
    ad_host *host;
    uint32_t open;
    uint64_t refused_second; /* of the rows counted below */
    uint32_t refused_rows;
};

/* Who calls, copied from the configuration at the time. */
typedef struct ad_actor {
    char *team;
    char *who;
    dc_role role;
} ad_actor;

/* One call, from its arrival to its answer. */
typedef struct ad_call {
    ad_admin *admin;
    SoupServerMessage *message;
    GHashTable *query; /* of the URL; may be NULL */
    char **parts;      /* of the path behind ad_desc.path */
    JsonNode *body;    /* NULL: none */
    ad_actor actor;
    dc_config *config; /* in force when it arrived */
    uint64_t version;
    gulong finished_handler;
    bool gone; /* the client has left */
} ad_call;

/* Open calls hold a reference each. */
void ad_admin_unref(ad_admin *admin);

/* -- call.c: life and answers of a call ----------------------------------- */

ad_call *ad_call_create(ad_admin *admin, SoupServerMessage *message,
                        const char *path, GHashTable *query);
/* Each ends the call. */
void ad_answer_json(ad_call *call, uint32_t http, JsonBuilder *builder);
void ad_answer_text(ad_call *call, uint32_t http, const char *type,
                    const char *text);
void ad_answer_error(ad_call *call, const er_status *status);
/* {"error":..., "message":...} begun; the caller adds members and ends it. */
JsonBuilder *ad_error_begin(const er_status *status);

/* -- request.c: reading a call -------------------------------------------- */

/* Fills call->actor from the key in the header. */
er_code ad_read_actor(ad_call *call, er_status *status);
er_code ad_read_body(ad_call *call, er_status *status);
/* A text of the body, else of the URL's query; NULL: neither has it. */
const char *ad_call_text(const ad_call *call, const char *name);
/* The same for a whole number; fallback when it is not there. */
er_code ad_call_number(const ad_call *call, const char *name,
                       uint64_t fallback, uint64_t *number, er_status *status);
/* True when the body has this member and it is true. */
bool ad_call_flag(const ad_call *call, const char *name);
/* Whether a member of the body belongs to the call, not to a group. */
bool ad_is_call_member(const char *name);
/* A JSON value as the configuration writes it; NULL: cannot be one. */
char *ad_value_text(JsonNode *node);

/* -- change.c: a change and its outcome ----------------------------------- */

/* Checks, commits and answers; takes over edits and ends the call. */
void ad_change_begin(ad_call *call, dc_edits *edits);
/* Answers a refusal and writes it to the trail; edits may be NULL. */
void ad_change_refuse(ad_call *call, const dc_edits *edits,
                      const er_status *status);

/* -- authorize.c ---------------------------------------------------------- */

bool ad_may_see(const ad_call *call, dc_kind kind, const char *name);
er_code ad_may_edit(const ad_call *call, const dc_config *after,
                    const dc_edits *edits, er_status *status);

/* -- resources.c: the groups of the configuration ------------------------- */

/* True when the path's first part names a kind of group. */
bool ad_resource_kind(const char *part, dc_kind *kind);
void ad_resource_handle(ad_call *call, dc_kind kind);

/* -- roll.c: versions of an adapter, keys of a team ----------------------- */

/* POST adapters/NAME/roll and adapters/NAME/rollback. */
void ad_roll_handle(ad_call *call, const char *name);
void ad_roll_back_handle(ad_call *call, const char *name);
/* POST teams/NAME/keys. */
void ad_keys_handle(ad_call *call, const char *name);

/* -- trail.c: reading the audit trail ------------------------------------- */

/* A read of the trail on behalf of a call. */
typedef struct ad_reading {
    ad_call *call;
    uint64_t expect; /* version the author of the change saw */
    char *id;
} ad_reading;

ad_reading *ad_reading_create(ad_call *call);
void ad_reading_free(ad_reading *reading);
/* Answers that the trail cannot be read; ends call and reading. */
void ad_reading_failed(ad_reading *reading, er_code code);
/* The record of a row; NULL: there is none. */
JsonNode *ad_row_record(const pf_row *row);

void ad_audit_handle(ad_call *call);
void ad_change_find_handle(ad_call *call, const char *id);
/* Answers a conflict with the changes made after a version; when the first of
   them has this id, the change was committed before and that is the answer. */
void ad_conflict_answer(ad_call *call, uint64_t expect, const char *id);
/* Answers that a change is committed. */
void ad_committed_answer(ad_call *call, uint64_t version, const char *id,
                         bool changed);

/* -- rollback.c ----------------------------------------------------------- */

void ad_rollback_handle(ad_call *call);

#endif
