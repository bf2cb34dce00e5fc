/*
 * internal.h: functions that the files of the administration API share
 * (private).
 *
 * A request becomes an ad_call (ad_call_create()). admin.c reads its author
 * and body (request.c) and passes it to the handler of its path. Each handler
 * takes over the call and ends it with exactly one ad_answer_...() function,
 * at once or after a read or commit of the table.
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
    uint32_t open_calls;     /* not yet answered */
    uint64_t refused_second; /* wall clock; second of refused_rows */
    uint32_t refused_rows;   /* refusals in that second, written or not */
};

/* Author of a call, copied from the configuration in force on arrival. */
typedef struct ad_actor {
    char *team;
    char *who; /* team:role:first digits of the key's hash */
    dc_role role;
} ad_actor;

/* One request to the API, from its arrival to its answer. */
typedef struct ad_call {
    ad_admin *admin;
    SoupServerMessage *message;
    GHashTable *query; /* query of the URL; may be NULL */
    char **path_parts; /* path after ad_desc.path, split at "/" */
    JsonNode *body;    /* JSON object; NULL without a body */
    ad_actor actor;
    dc_config *config; /* in force when it arrived */
    uint64_t version;  /* version of config */
    gulong finished_handler;
    bool finished; /* connection ended; no answer can be sent */
} ad_call;

/* Drops one reference. ad_setup() and each open call hold one. */
void ad_admin_unref(ad_admin *admin);

/* -- call.c: lifetime and answers of a call ------------------------------- */

ad_call *ad_call_create(ad_admin *admin, SoupServerMessage *message,
                        const char *path, GHashTable *query);
/* Each of these sends the answer and frees the call. */
void ad_answer_json(ad_call *call, uint32_t http, JsonBuilder *builder);
void ad_answer_text(ad_call *call, uint32_t http, const char *type,
                    const char *text);
void ad_answer_error(ad_call *call, const er_status *status);
/* Returns an open object {"error":..., "message":...}; the caller may add
   members and must end the object. */
JsonBuilder *ad_error_begin(const er_status *status);

/* -- request.c: reading a call -------------------------------------------- */

/* Fills call->actor from the key in the Authorization header. */
er_code ad_read_actor(ad_call *call, er_status *status);
/* Parses the request's body into call->body; an empty body is allowed. */
er_code ad_read_body(ad_call *call, er_status *status);
/* Returns a string parameter from the body, or else from the URL's query.
   Returns NULL if neither has it. */
const char *ad_call_string(const ad_call *call, const char *name);
/* Reads a parameter that is a whole number, from the same places; sets number
   to fallback if neither has it. */
er_code ad_call_number(const ad_call *call, const char *name,
                       uint64_t fallback, uint64_t *number, er_status *status);
/* Returns true if the body has this member with the value true. */
bool ad_call_flag(const ad_call *call, const char *name);
/* Returns true if a member of the body is a parameter of the call itself, not
   a key of the configuration group that it changes. */
bool ad_is_call_parameter(const char *name);
/* Returns a JSON value in the syntax of the configuration; free with g_free().
   Returns NULL if the configuration cannot express it. */
char *ad_value_text(JsonNode *node);

/* -- change.c: checking and committing a change --------------------------- */

/* Checks and commits the change and answers the call; takes over call and
   edits. */
void ad_change_begin(ad_call *call, dc_edits *edits);
/* Writes a refusal to the audit trail and answers the call with status; takes
   over call. edits may be NULL. */
void ad_change_refuse(ad_call *call, const dc_edits *edits,
                      const er_status *status);

/* -- authorize.c: permissions of roles and teams -------------------------- */

/* Returns true if the author of the call may read this group. */
bool ad_may_read(const ad_call *call, dc_kind kind, const char *name);
/* Checks the edits against call->config and against the configuration after
   them; fails with ER_FORBIDDEN. */
er_code ad_may_edit(const ad_call *call, const dc_config *after,
                    const dc_edits *edits, er_status *status);

/* -- resources.c: the groups of the configuration ------------------------- */

/* Returns true, and sets kind, if the path's first part names a kind of
   group. */
bool ad_resource_kind(const char *part, dc_kind *kind);
void ad_resource_handle(ad_call *call, dc_kind kind);

/* -- roll.c: adapter version shares, team keys ---------------------------- */

/* POST adapters/NAME/roll and adapters/NAME/rollback. */
void ad_adapter_roll_handle(ad_call *call, const char *name);
void ad_adapter_rollback_handle(ad_call *call, const char *name);
/* POST teams/NAME/keys. */
void ad_team_keys_handle(ad_call *call, const char *name);

/* -- trail.c: reading the audit trail ------------------------------------- */

/* State of a read of the audit trail that answers a call. */
typedef struct ad_trail_read {
    ad_call *call;
    uint64_t expect; /* version that the author of the change saw */
    char *id;        /* id of the change; NULL if not needed */
} ad_trail_read;

ad_trail_read *ad_trail_read_create(ad_call *call);
void ad_trail_read_free(ad_trail_read *reading);
/* Answers with code that the trail cannot be read; frees call and reading. */
void ad_trail_read_fail(ad_trail_read *reading, er_code code);
/* Parses the audit record of a row. Returns NULL if the row has no value or
   the value is not a JSON object. */
JsonNode *ad_parse_record(const pf_row *row);

/* GET audit. */
void ad_audit_handle(ad_call *call);
/* GET changes/ID. */
void ad_change_outcome_handle(ad_call *call, const char *id);
/* Answers a conflict with the changes made after version expect. If the first
   of them has this id, the author's change was committed earlier, and that is
   answered instead. */
void ad_answer_conflict(ad_call *call, uint64_t expect, const char *id);
/* Answers that a change is committed as version; changed is false if the edits
   have no effect, so that no version was created. */
void ad_answer_committed(ad_call *call, uint64_t version, const char *id,
                         bool changed);

/* -- rollback.c: rollback of the configuration ---------------------------- */

/* POST rollback. */
void ad_config_rollback_handle(ad_call *call);

#endif
