#include "http_reply.h"

#include "lacewing/counter.h"
#include "lacewing/log.h"
#include <string.h>

#define _HP_MS_PER_S 1000

void
hp_text(SoupServerMessage *message, uint32_t status, const char *type,
        const char *text)
{
    soup_server_message_set_status(message, status, NULL);
    soup_server_message_set_response(message, type, SOUP_MEMORY_COPY, text,
                                     strlen(text));
}

void
hp_json(SoupServerMessage *message, uint32_t status, JsonBuilder *json)
{
    g_autoptr(JsonNode) root = json_builder_get_root(json);
    g_autofree char *text = json_to_string(root, FALSE);
    hp_text(message, status, "application/json", text);
}

static void
_hp_add_string(JsonBuilder *json, const char *name, const char *value)
{
    json_builder_set_member_name(json, name);
    json_builder_add_string_value(json, value);
}

char *
hp_format_error(const hp_refusal *refusal)
{
    const char *type = er_query_name(refusal->code);
    bool has_message = refusal->message && *refusal->message;
    g_autoptr(JsonBuilder) json = json_builder_new();
    json_builder_begin_object(json);
    json_builder_set_member_name(json, "error");
    json_builder_begin_object(json);
    _hp_add_string(json, "type", type);
    _hp_add_string(json, "message", has_message ? refusal->message : type);
    json_builder_set_member_name(json, "code");
    json_builder_add_int_value(json, er_query_http(refusal->code));
    _hp_add_string(json, "ran", dr_query_ran_name(refusal->ran));
    if (refusal->retry_after_ms) {
        json_builder_set_member_name(json, "retry_after_ms");
        json_builder_add_int_value(json, refusal->retry_after_ms);
    }
    json_builder_end_object(json);
    json_builder_end_object(json);
    g_autoptr(JsonNode) root = json_builder_get_root(json);
    return json_to_string(root, FALSE);
}

void
hp_refuse(SoupServerMessage *message, const hp_refusal *refusal)
{
    ct_count_refused(refusal->code);
    lg_write(LG_CALL_REFUSED, "type", er_query_name(refusal->code), "ran",
             dr_query_ran_name(refusal->ran), NULL);
    if (refusal->retry_after_ms) {
        uint32_t seconds =
            (refusal->retry_after_ms + _HP_MS_PER_S - 1) / _HP_MS_PER_S;
        g_autofree char *text = g_strdup_printf("%u", seconds);
        soup_message_headers_replace(
            soup_server_message_get_response_headers(message), "Retry-After",
            text);
    }
    g_autofree char *body = hp_format_error(refusal);
    hp_text(message, er_query_http(refusal->code), "application/json", body);
}

void
hp_append_quoted(GString *out, const char *text)
{
    g_autoptr(JsonNode) node = json_node_new(JSON_NODE_VALUE);
    json_node_set_string(node, text);
    g_autofree char *quoted = json_to_string(node, FALSE);
    g_string_append(out, quoted);
}
