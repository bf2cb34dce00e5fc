/*
 * admin.c: registers the handlers, routes calls by method and path, and
 * answers the calls on the whole configuration and on live state.
 */
#include "internal.h"

#include "lacewing/feasibility.h"
#include <string.h>

#define DEFAULT_PATH "/admin/v1"
#define VERSION_HEADER "X-Lacewing-Version"

/* -- private: calls on the whole configuration ---------------------------- */

static er_code
_ad_require_operator(const ad_call *call, er_status *status)
{
    if (call->actor.role == DC_ROLE_OPERATOR) {
        return ER_OK;
    }
    return er_set(status, ER_FORBIDDEN,
                  "not allowed with role %s: role operator is required",
                  dc_query_role_name(call->actor.role));
}

static void
_ad_get_config(ad_call *call)
{
    er_status status = {0};
    if (_ad_require_operator(call, &status) != ER_OK) {
        ad_answer_error(call, &status);
        return;
    }
    g_autofree char *text = dc_query_text(call->config);
    g_autofree char *version =
        g_strdup_printf("%" G_GUINT64_FORMAT, call->version);
    soup_message_headers_replace(
        soup_server_message_get_response_headers(call->message),
        VERSION_HEADER, version);
    ad_answer_text(call, SOUP_STATUS_OK, "text/plain", text);
}

static er_code
_ad_parse_body_edits(const ad_call *call, dc_edits **edits, er_status *status)
{
    JsonObject *body = call->body ? json_node_get_object(call->body) : NULL;
    JsonNode *list = body ? json_object_get_member(body, "edits") : NULL;
    if (!list) {
        return er_set(status, ER_BAD_REQUEST,
                      "edits is required and must be a list");
    }
    g_autofree char *text = json_to_string(list, FALSE);
    return dc_edits_parse(text, edits, status);
}

static void
_ad_post_config(ad_call *call)
{
    dc_edits *edits = NULL;
    er_status status = {0};
    if (_ad_parse_body_edits(call, &edits, &status) != ER_OK) {
        ad_change_refuse(call, NULL, &status);
        return;
    }
    ad_change_begin(call, edits);
}

static void
_ad_answer_findings(ad_call *call, const dc_config *config)
{
    g_autoptr(dc_findings) findings = dc_check_feasibility(config);
    g_autoptr(JsonBuilder) builder = json_builder_new();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "findings");
    json_builder_begin_array(builder);
    for (uint32_t i = 0; i < dc_findings_query_count(findings); i++) {
        const dc_finding *finding = dc_findings_query_at(findings, i);
        json_builder_begin_object(builder);
        json_builder_set_member_name(builder, "finding");
        json_builder_add_string_value(builder,
                                      dc_query_finding_name(finding->code));
        json_builder_set_member_name(builder, "error");
        json_builder_add_boolean_value(
            builder, dc_query_finding_is_error(finding->code));
        json_builder_set_member_name(builder, "group");
        json_builder_add_string_value(builder, finding->group);
        json_builder_set_member_name(builder, "message");
        json_builder_add_string_value(builder, finding->message);
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    ad_answer_json(call, SOUP_STATUS_OK, builder);
}

/* Answers the findings on the configuration after the edits, without
   committing them (dry run). */
static void
_ad_post_check(ad_call *call)
{
    g_autoptr(dc_edits) edits = NULL;
    g_autoptr(dc_config) after = NULL;
    er_status status = {0};
    er_code code = _ad_require_operator(call, &status);
    if (code == ER_OK) {
        code = _ad_parse_body_edits(call, &edits, &status);
    }
    if (code == ER_OK) {
        code = dc_apply_edits(call->config, edits, &after, &status);
    }
    if (code != ER_OK) {
        ad_answer_error(call, &status);
        return;
    }
    _ad_answer_findings(call, after);
}

/* -- private: live state -------------------------------------------------- */

static void
_ad_get_status(ad_call *call)
{
    ad_host *host = call->admin->host;
    er_status status = {0};
    if (_ad_require_operator(call, &status) != ER_OK) {
        ad_answer_error(call, &status);
        return;
    }
    g_autofree char *text = host->vt->status ? host->vt->status(host) : NULL;
    ad_answer_text(call, SOUP_STATUS_OK, "application/json",
                   text ? text : "{}");
}

static void
_ad_get_explain(ad_call *call, const char *request)
{
    ad_host *host = call->admin->host;
    const char *team =
        call->actor.role == DC_ROLE_OPERATOR ? NULL : call->actor.team;
    g_autofree char *text =
        host->vt->explain ? host->vt->explain(host, request, team) : NULL;
    if (!text) {
        er_status status = {0};
        er_set(&status, ER_NOT_FOUND,
               "request %s is unknown to this instance or no longer recorded",
               request);
        ad_answer_error(call, &status);
        return;
    }
    ad_answer_text(call, SOUP_STATUS_OK, "application/json", text);
}

/* -- private: routing ----------------------------------------------------- */

typedef void (*ad_handler)(ad_call *call);

static const struct {
    const char *method;
    const char *part;
    ad_handler handler;
} routes[] = {
    {"GET", "config", _ad_get_config},
    {"POST", "config", _ad_post_config},
    {"POST", "check", _ad_post_check},
    {"GET", "status", _ad_get_status},
    {"GET", "audit", ad_audit_handle},
    {"POST", "rollback", ad_config_rollback_handle},
};

typedef void (*ad_named_handler)(ad_call *call, const char *name);

/* Paths PART/NAME and PART/NAME/VERB. */
static const struct {
    const char *method;
    const char *part;
    const char *verb;
    ad_named_handler handler;
} named_routes[] = {
    {"GET", "explain", NULL, _ad_get_explain},
    {"GET", "changes", NULL, ad_change_outcome_handle},
    {"POST", "adapters", "roll", ad_adapter_roll_handle},
    {"POST", "adapters", "rollback", ad_adapter_rollback_handle},
    {"POST", "teams", "keys", ad_team_keys_handle},
};

static bool
_ad_route_unnamed(ad_call *call, const char *method)
{
    for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
        if (strcmp(routes[i].part, call->path_parts[0]) == 0 &&
            strcmp(routes[i].method, method) == 0) {
            routes[i].handler(call);
            return true;
        }
    }
    return false;
}

static bool
_ad_route_named(ad_call *call, const char *method, uint32_t count)
{
    const char *verb = count > 2 ? call->path_parts[2] : NULL;
    for (size_t i = 0; i < G_N_ELEMENTS(named_routes); i++) {
        if (strcmp(named_routes[i].part, call->path_parts[0]) == 0 &&
            strcmp(named_routes[i].method, method) == 0 &&
            g_strcmp0(named_routes[i].verb, verb) == 0) {
            named_routes[i].handler(call, call->path_parts[1]);
            return true;
        }
    }
    return false;
}

static void
_ad_route(ad_call *call)
{
    const char *method = soup_server_message_get_method(call->message);
    uint32_t count = g_strv_length(call->path_parts);
    dc_kind kind = DC_KIND_NUM;
    if (count == 1 && _ad_route_unnamed(call, method)) {
        return;
    }
    if ((count == 2 || count == 3) && _ad_route_named(call, method, count)) {
        return;
    }
    if (count >= 1 && count <= 2 &&
        ad_resource_kind(call->path_parts[0], &kind)) {
        ad_resource_handle(call, kind);
        return;
    }
    er_status status = {0};
    er_set(&status, ER_NOT_FOUND, "no such call: unknown method or path");
    ad_answer_error(call, &status);
}

static void
_ad_on_message(SoupServer *server, SoupServerMessage *message,
               const char *path, GHashTable *query, void *data)
{
    (void)server;
    ad_admin *admin = data;
    const char *rest = path + strlen(admin->path);
    ad_call *call =
        ad_call_create(admin, message, *rest == '/' ? rest + 1 : rest, query);
    er_status status = {0};
    er_code code = ad_read_actor(call, &status);
    if (code == ER_OK) {
        code = ad_read_body(call, &status);
    }
    if (code != ER_OK) {
        ad_answer_error(call, &status);
        return;
    }
    _ad_route(call);
}

/* Refuses a body that is too large by its Content-Length, before it is
   read. */
static void
_ad_on_headers(SoupServer *server, SoupServerMessage *message,
               const char *path, GHashTable *query, void *data)
{
    (void)server;
    (void)path;
    (void)query;
    (void)data;
    goffset length = soup_message_headers_get_content_length(
        soup_server_message_get_request_headers(message));
    if (length > AD_BODY_BYTES_MAX) {
        soup_server_message_set_status(message,
                                       er_query_http(ER_BODY_TOO_LARGE), NULL);
    }
}

/* -- public --------------------------------------------------------------- */

ad_admin *
ad_setup(const ad_desc *desc)
{
    g_assert(desc->server && desc->table && desc->host);
    ad_admin *admin = g_rc_box_new0(ad_admin);
    admin->server = g_object_ref(desc->server);
    admin->path = g_strdup(desc->path ? desc->path : DEFAULT_PATH);
    admin->table = desc->table;
    admin->host = desc->host;
    soup_server_add_early_handler(admin->server, admin->path, _ad_on_headers,
                                  admin, NULL);
    soup_server_add_handler(admin->server, admin->path, _ad_on_message, admin,
                            NULL);
    return admin;
}

static void
_ad_admin_clear(void *data)
{
    ad_admin *admin = data;
    g_free(admin->path);
    g_object_unref(admin->server);
}

void
ad_admin_unref(ad_admin *admin)
{
    g_rc_box_release_full(admin, _ad_admin_clear);
}

void
ad_shutdown(ad_admin *admin)
{
    if (admin) {
        soup_server_remove_handler(admin->server, admin->path);
        ad_admin_unref(admin);
    }
}

uint32_t
ad_query_open_calls(const ad_admin *admin)
{
    return admin->open_calls;
}
