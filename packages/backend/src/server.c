/* The client object, its requests and JSON helpers. */
#include "backend_private.h"

#include "lacewing/json_depth.h"
#include <math.h>
#include <string.h>

#define _BE_DEFAULT_CONNECTIONS 512
#define _BE_DEFAULT_STALL_TIMEOUT_MS 1500
#define _BE_DEFAULT_START_TIMEOUT_MS 15000
#define _BE_DEFAULT_ORDER_TIMEOUT_MS 10000
#define _BE_DEFAULT_PROBE_TIMEOUT_MS 500

static uint32_t
_be_or_default(uint32_t value, uint32_t fallback)
{
    return value ? value : fallback;
}

be_server *
be_create(const be_desc *desc)
{
    g_assert(desc->address && desc->timers);
    be_server *server = g_new0(be_server, 1);
    guint connections =
        _be_or_default(desc->connections, _BE_DEFAULT_CONNECTIONS);
    server->address = g_strdup(desc->address);
    server->timers = desc->timers;
    server->cancel = g_cancellable_new();
    server->owner = g_strdup("");
    server->stall_timeout_ms =
        _be_or_default(desc->stall_timeout_ms, _BE_DEFAULT_STALL_TIMEOUT_MS);
    server->start_timeout_ms =
        _be_or_default(desc->start_timeout_ms, _BE_DEFAULT_START_TIMEOUT_MS);
    server->order_timeout_ms =
        _be_or_default(desc->order_timeout_ms, _BE_DEFAULT_ORDER_TIMEOUT_MS);
    server->probe_timeout_ms =
        _be_or_default(desc->probe_timeout_ms, _BE_DEFAULT_PROBE_TIMEOUT_MS);
    server->streams = g_hash_table_new(NULL, NULL);
    server->session = soup_session_new_with_options(
        "max-conns", connections, "max-conns-per-host", connections, "timeout",
        0, "idle-timeout", 30, NULL);
    return server;
}

void
be_destroy(be_server *server)
{
    if (!server) {
        return;
    }
    g_autoptr(GList) streams = g_hash_table_get_keys(server->streams);
    for (GList *item = streams; item; item = item->next) {
        be_stream_destroy(item->data);
    }
    g_cancellable_cancel(server->cancel);
    g_object_unref(server->cancel);
    g_hash_table_unref(server->streams);
    g_object_unref(server->session);
    g_free(server->address);
    g_free(server->owner);
    g_free(server);
}

void
be_set_fence(be_server *server, uint64_t fence, const char *owner)
{
    server->fence = fence;
    g_free(server->owner);
    server->owner = g_strdup(owner);
}

SoupMessage *
_be_message(be_server *server, const char *method, const char *path)
{
    g_autofree char *uri =
        g_strdup_printf("http://%s%s", server->address, path);
    g_autofree char *fence =
        g_strdup_printf("%" G_GUINT64_FORMAT, server->fence);
    SoupMessage *message = soup_message_new(method, uri);
    SoupMessageHeaders *headers = soup_message_get_request_headers(message);
    soup_message_headers_append(headers, "X-Fence", fence);
    soup_message_headers_append(headers, "X-Owner", server->owner);
    return message;
}

void
_be_set_json(SoupMessage *message, JsonBuilder *builder)
{
    g_autoptr(JsonNode) root = json_builder_get_root(builder);
    char *text = json_to_string(root, FALSE);
    g_autoptr(GBytes) body = g_bytes_new_take(text, strlen(text));
    soup_message_set_request_body_from_bytes(message, "application/json",
                                             body);
}

/* Returns the type of a member's value; G_TYPE_INVALID if it has none. */
static GType
_be_json_type(JsonObject *object, const char *name)
{
    JsonNode *node = json_object_get_member(object, name);
    return node && JSON_NODE_HOLDS_VALUE(node) ? json_node_get_value_type(node)
                                               : G_TYPE_INVALID;
}

const char *
_be_json_string(JsonObject *object, const char *name, const char *fallback)
{
    return _be_json_type(object, name) == G_TYPE_STRING
               ? json_object_get_string_member(object, name)
               : fallback;
}

int64_t
_be_json_int(JsonObject *object, const char *name, int64_t fallback)
{
    GType type = _be_json_type(object, name);
    return type == G_TYPE_INT64 || type == G_TYPE_DOUBLE
               ? json_object_get_int_member(object, name)
               : fallback;
}

int64_t
_be_json_count(JsonObject *object, const char *name)
{
    GType type = _be_json_type(object, name);
    if (type != G_TYPE_INT64 && type != G_TYPE_DOUBLE) {
        return -1;
    }
    double value = json_object_get_double_member(object, name);
    bool whole = value >= 0 && value <= UINT32_MAX && value == floor(value);
    return whole ? (int64_t)value : -1;
}

char *
_be_error_type(GBytes *body)
{
    gsize size = 0;
    const char *text = g_bytes_get_data(body, &size);
    g_autoptr(JsonParser) parser = json_parser_new();
    if (!size || !jd_query_fits(text, size) ||
        !json_parser_load_from_data(parser, text, (gssize)size, NULL)) {
        return NULL;
    }
    JsonNode *root = json_parser_get_root(parser);
    if (!root || !JSON_NODE_HOLDS_OBJECT(root)) {
        return NULL;
    }
    JsonObject *object = json_node_get_object(root);
    JsonNode *error = json_object_get_member(object, "error");
    if (!error || !JSON_NODE_HOLDS_OBJECT(error)) {
        return NULL;
    }
    return g_strdup(
        _be_json_string(json_node_get_object(error), "type", NULL));
}

bool
_be_never_connected(const GError *error)
{
    return g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) ||
           g_error_matches(error, G_IO_ERROR, G_IO_ERROR_HOST_UNREACHABLE) ||
           g_error_matches(error, G_IO_ERROR, G_IO_ERROR_NETWORK_UNREACHABLE);
}

uint32_t
be_query_open_streams(const be_server *server)
{
    return g_hash_table_size(server->streams);
}

const char *
be_query_address(const be_server *server)
{
    return server->address;
}
