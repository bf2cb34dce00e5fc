/* request.c: reads the author, the body and the parameters of a call. */
#include "internal.h"

#include "lacewing/json_depth.h"
#include <string.h>

/* Leading digits of a key's hash that identify the key in logs and records. */
#define KEY_HASH_DIGITS 8
#define BEARER "Bearer "

/* -- private: actor ------------------------------------------------------- */

static const char *
_ad_bearer_key(const ad_call *call)
{
    SoupMessageHeaders *headers =
        soup_server_message_get_request_headers(call->message);
    const char *value = soup_message_headers_get_one(headers, "Authorization");
    if (!value || !g_str_has_prefix(value, BEARER)) {
        return NULL;
    }
    return value + strlen(BEARER);
}

er_code
ad_read_actor(ad_call *call, er_status *status)
{
    const char *secret = _ad_bearer_key(call);
    if (!secret) {
        return er_set(status, ER_UNAUTHORIZED,
                      "a key is required: Authorization: Bearer KEY");
    }
    if (!call->config) {
        return er_set(status, ER_NOT_READY,
                      "this instance has no configuration yet");
    }
    const dc_key *key = dc_query_key_by_secret(call->config, secret);
    if (!key) {
        return er_set(status, ER_UNAUTHORIZED, "this key belongs to no team");
    }
    call->actor.role = key->role;
    call->actor.team = g_strdup(key->team);
    call->actor.who =
        g_strdup_printf("%s:%s:%.*s", key->team, dc_query_role_name(key->role),
                        KEY_HASH_DIGITS, key->hash);
    return ER_OK;
}

/* -- body ----------------------------------------------------------------- */

er_code
ad_read_body(ad_call *call, er_status *status)
{
    SoupMessageBody *body =
        soup_server_message_get_request_body(call->message);
    if (body->length > AD_BODY_BYTES_MAX) {
        return er_set(status, ER_BODY_TOO_LARGE,
                      "body: at most %d bytes are allowed", AD_BODY_BYTES_MAX);
    }
    g_autoptr(GBytes) bytes = soup_message_body_flatten(body);
    gsize size = 0;
    const char *text = g_bytes_get_data(bytes, &size);
    if (size == 0) {
        return ER_OK;
    }
    if (!jd_query_fits(text, size)) {
        return er_set(status, ER_BAD_REQUEST, "body: nested too deeply");
    }
    g_autoptr(JsonParser) parser = json_parser_new_immutable();
    g_autoptr(GError) error = NULL;
    if (!json_parser_load_from_data(parser, text, (gssize)size, &error)) {
        return er_set(status, ER_BAD_REQUEST, "body: %s", error->message);
    }
    JsonNode *root = json_parser_get_root(parser);
    if (!root || !JSON_NODE_HOLDS_OBJECT(root)) {
        return er_set(status, ER_BAD_REQUEST, "body: must be a JSON object");
    }
    call->body = json_node_ref(root);
    return ER_OK;
}

/* Joins the values with "; ", as lists are written in the configuration. A
   value that holds the separator cannot be expressed. */
static char *
_ad_list_text(JsonArray *list)
{
    g_autoptr(GStrvBuilder) parts = g_strv_builder_new();
    for (uint32_t i = 0; i < json_array_get_length(list); i++) {
        JsonNode *node = json_array_get_element(list, i);
        g_autofree char *text =
            JSON_NODE_HOLDS_VALUE(node) ? ad_value_text(node) : NULL;
        if (!text || strchr(text, ';')) {
            return NULL;
        }
        g_strv_builder_add(parts, text);
    }
    g_auto(GStrv) all = g_strv_builder_end(parts);
    return g_strjoinv("; ", all);
}

char *
ad_value_text(JsonNode *node)
{
    if (JSON_NODE_HOLDS_ARRAY(node)) {
        return _ad_list_text(json_node_get_array(node));
    }
    if (!JSON_NODE_HOLDS_VALUE(node)) {
        return NULL;
    }
    char number[G_ASCII_DTOSTR_BUF_SIZE];
    switch (json_node_get_value_type(node)) {
    case G_TYPE_STRING:
        return g_strdup(json_node_get_string(node));
    case G_TYPE_INT64:
        return g_strdup_printf("%" G_GINT64_FORMAT, json_node_get_int(node));
    case G_TYPE_DOUBLE:
        return g_strdup(
            g_ascii_dtostr(number, sizeof number, json_node_get_double(node)));
    case G_TYPE_BOOLEAN:
        return g_strdup(json_node_get_boolean(node) ? "true" : "false");
    default:
        return NULL;
    }
}

/* -- parameters of the call ----------------------------------------------- */

static const char *const call_parameters[] = {"expect", "id",    "note",
                                              "force",  "edits", NULL};

bool
ad_is_call_parameter(const char *name)
{
    return g_strv_contains(call_parameters, name);
}

static JsonNode *
_ad_body_member(const ad_call *call, const char *name)
{
    if (!call->body) {
        return NULL;
    }
    return json_object_get_member(json_node_get_object(call->body), name);
}

const char *
ad_call_string(const ad_call *call, const char *name)
{
    JsonNode *node = _ad_body_member(call, name);
    if (node && JSON_NODE_HOLDS_VALUE(node) &&
        json_node_get_value_type(node) == G_TYPE_STRING) {
        return json_node_get_string(node);
    }
    return call->query ? g_hash_table_lookup(call->query, name) : NULL;
}

er_code
ad_call_number(const ad_call *call, const char *name, uint64_t fallback,
               uint64_t *number, er_status *status)
{
    JsonNode *node = _ad_body_member(call, name);
    const char *given = ad_call_string(call, name);
    g_autofree char *text = node ? ad_value_text(node) : g_strdup(given);
    *number = fallback;
    guint64 value = 0;
    if (!node && !given) {
        return ER_OK;
    }
    if (!text ||
        !g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT64, &value, NULL)) {
        return er_set(status, ER_BAD_REQUEST,
                      "%s: must be a whole number, 0 or more", name);
    }
    *number = value;
    return ER_OK;
}

bool
ad_call_flag(const ad_call *call, const char *name)
{
    JsonNode *node = _ad_body_member(call, name);
    return node && JSON_NODE_HOLDS_VALUE(node) &&
           json_node_get_value_type(node) == G_TYPE_BOOLEAN &&
           json_node_get_boolean(node);
}
