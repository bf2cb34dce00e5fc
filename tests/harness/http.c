#include "http.h"

#include <arpa/inet.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define _HT_DEFAULT_TIMEOUT_MS 30000

static SoupMessage *
_ht_create_message(const ht_desc *desc)
{
    const char *method = desc->method;
    if (!method) {
        method = desc->body ? "POST" : "GET";
    }
    SoupMessage *message = soup_message_new(method, desc->url);
    SoupMessageHeaders *headers = soup_message_get_request_headers(message);
    if (desc->key) {
        g_autofree char *bearer = g_strdup_printf("Bearer %s", desc->key);
        soup_message_headers_append(headers, "Authorization", bearer);
    }
    if (desc->idempotency_key) {
        soup_message_headers_append(headers, "Idempotency-Key",
                                    desc->idempotency_key);
    }
    if (desc->deadline_ms) {
        g_autofree char *text = g_strdup_printf("%u", desc->deadline_ms);
        soup_message_headers_append(headers, "X-Deadline-Ms", text);
    }
    if (desc->body) {
        g_autoptr(GBytes) body = g_bytes_new(desc->body, strlen(desc->body));
        soup_message_set_request_body_from_bytes(message, "application/json",
                                                 body);
    }
    return message;
}

/* A request whose response has not arrived. */
typedef struct _ht_pending {
    GMainLoop *loop;
    GCancellable *cancel;
    GBytes *body; /* NULL until the response is complete */
} _ht_pending;

static void
_ht_on_response(GObject *source, GAsyncResult *result, void *data)
{
    _ht_pending *pending = data;
    pending->body =
        soup_session_send_and_read_finish(SOUP_SESSION(source), result, NULL);
    g_main_loop_quit(pending->loop);
}

static gboolean
_ht_on_timeout(void *data)
{
    g_cancellable_cancel(((_ht_pending *)data)->cancel);
    return G_SOURCE_REMOVE;
}

void
ht_send_request(const ht_desc *desc, ht_response *response)
{
    GMainContext *context = g_main_context_new();
    g_main_context_push_thread_default(context);
    SoupSession *session = soup_session_new();
    if (desc->ca) {
        g_autoptr(GTlsDatabase) authority =
            g_tls_file_database_new(desc->ca, NULL);
        soup_session_set_tls_database(session, authority);
    }
    g_autoptr(SoupMessage) message = _ht_create_message(desc);
    _ht_pending pending = {.loop = g_main_loop_new(context, FALSE),
                           .cancel = g_cancellable_new()};
    GSource *timeout = g_timeout_source_new(
        desc->timeout_ms ? desc->timeout_ms : _HT_DEFAULT_TIMEOUT_MS);
    g_source_set_callback(timeout, _ht_on_timeout, &pending, NULL);
    g_source_attach(timeout, context);
    soup_session_send_and_read_async(session, message, G_PRIORITY_DEFAULT,
                                     pending.cancel, _ht_on_response,
                                     &pending);
    g_main_loop_run(pending.loop);
    if (pending.body) {
        gsize size = 0;
        const char *bytes = g_bytes_get_data(pending.body, &size);
        response->status = soup_message_get_status(message);
        response->body = g_strndup(bytes ? bytes : "", size);
        response->request_id = g_strdup(soup_message_headers_get_one(
            soup_message_get_response_headers(message), "X-Request-Id"));
        g_bytes_unref(pending.body);
    }
    else {
        response->body = g_strdup("");
    }
    g_source_destroy(timeout);
    g_source_unref(timeout);
    g_object_unref(pending.cancel);
    g_main_loop_unref(pending.loop);
    soup_session_abort(session);
    g_object_unref(session);
    g_main_context_pop_thread_default(context);
    g_main_context_unref(context);
}

void
ht_clear(ht_response *response)
{
    g_clear_pointer(&response->body, g_free);
    g_clear_pointer(&response->request_id, g_free);
}

/* Text of the first choice in a completion object, which is a chunk of a
   stream or a complete response. Returns NULL if the JSON is no such object.
   The parser owns the text. */
static const char *
_ht_choice_text(JsonParser *parser, const char *json)
{
    if (!json_parser_load_from_data(parser, json, -1, NULL) ||
        !JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser))) {
        return NULL;
    }
    JsonObject *object = json_node_get_object(json_parser_get_root(parser));
    if (!json_object_has_member(object, "choices")) {
        return NULL;
    }
    JsonObject *choice = json_array_get_object_element(
        json_object_get_array_member(object, "choices"), 0);
    static const char *const fields[] = {"delta", "message"};
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        if (json_object_has_member(choice, fields[i])) {
            return json_object_get_string_member_with_default(
                json_object_get_object_member(choice, fields[i]), "content",
                NULL);
        }
    }
    return json_object_get_string_member_with_default(choice, "text", NULL);
}

/* Joins the chunks of a stream. Returns NULL if it did not end with [DONE]. */
static char *
_ht_stream_text(const ht_response *response)
{
    g_autoptr(GString) text = g_string_new(NULL);
    g_auto(GStrv) lines = g_strsplit(response->body, "\n", -1);
    for (char **line = lines; *line; line++) {
        if (!g_str_has_prefix(*line, "data: ")) {
            continue;
        }
        const char *data = *line + strlen("data: ");
        if (strcmp(data, "[DONE]") == 0) {
            return g_strdup(text->str);
        }
        g_autoptr(JsonParser) parser = json_parser_new();
        const char *chunk = _ht_choice_text(parser, data);
        if (!chunk) {
            return NULL;
        }
        g_string_append(text, chunk);
    }
    return NULL;
}

char *
ht_query_text(const ht_response *response)
{
    if (response->status != 200) {
        return NULL;
    }
    if (g_str_has_prefix(response->body, "data:")) {
        return _ht_stream_text(response);
    }
    g_autoptr(JsonParser) parser = json_parser_new();
    return g_strdup(_ht_choice_text(parser, response->body));
}

char *
ht_query_error_field(const ht_response *response, const char *field)
{
    g_autoptr(JsonParser) parser = json_parser_new();
    if (!json_parser_load_from_data(parser, response->body, -1, NULL)) {
        return NULL;
    }
    JsonNode *root = json_parser_get_root(parser);
    if (!root || !JSON_NODE_HOLDS_OBJECT(root) ||
        !json_object_has_member(json_node_get_object(root), "error")) {
        return NULL;
    }
    JsonObject *error =
        json_object_get_object_member(json_node_get_object(root), "error");
    return g_strdup(
        json_object_get_string_member_with_default(error, field, NULL));
}

int
ht_connect(const char *url)
{
    g_auto(GStrv) parts = g_strsplit(url + strlen("http://"), ":", 2);
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_port = htons((uint16_t)atoi(parts[1])),
    };
    inet_pton(AF_INET, parts[0], &address.sin_addr);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}
