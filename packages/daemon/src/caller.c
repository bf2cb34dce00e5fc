/* The callers' HTTP server: request checks, size limits, pages. */
#include "caller_private.h"

#include "lacewing/counter.h"
#include "lacewing/hash.h"
#include "lacewing/json_depth.h"
#include <errno.h>
#include <glib-unix.h>
#include <inttypes.h>
#include <string.h>
#include <sys/socket.h>

#define _CA_CONNECTIONS_MAX 8192         /* default of ca_desc */
#define _CA_IDLE_TIMEOUT_S 60            /* default of ca_desc */
#define _CA_DEADLINE_MS_MAX 3600000      /* of X-Deadline-Ms: one hour */
#define _CA_BODY_BYTES_MAX (1024 * 1024) /* until the configuration is set */
#define _CA_RETRY_AFTER_MS 1000          /* stopping, not ready, overloaded */

/* -- private: requests ---------------------------------------------------- */

void
_ca_refuse(SoupServerMessage *message, er_code code, const char *text)
{
    hp_refuse(
        message,
        &(hp_refusal){.code = code, .ran = DR_RAN_NOT_RUN, .message = text});
}

static void
_ca_refuse_with_retry(SoupServerMessage *message, er_code code,
                      uint32_t retry_after_ms)
{
    hp_refuse(message, &(hp_refusal){.code = code,
                                     .ran = DR_RAN_NOT_RUN,
                                     .retry_after_ms = retry_after_ms});
}

static const char *
_ca_request_header(SoupServerMessage *message, const char *name)
{
    return soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), name);
}

/* Returns the key of the Authorization header, or NULL. */
static const dc_key *
_ca_find_key(const ca_server *server, SoupServerMessage *message)
{
    const char *text = _ca_request_header(message, "Authorization");
    if (!text || !g_str_has_prefix(text, "Bearer ")) {
        return NULL;
    }
    return dc_query_key_by_secret(server->config, text + strlen("Bearer "));
}

/* Takes one request from the team's rate, of which each entry instance grants
   an equal part. Returns false after refusing the request. */
static bool
_ca_check_rate(ca_server *server, const dc_team *team,
               SoupServerMessage *message)
{
    if (!team->requests_per_s) {
        return true;
    }
    const dc_limits *limits = dc_query_limits(server->config);
    uint64_t rate_milli = (uint64_t)team->requests_per_s * 1000 /
                          MAX(limits->entry_instances, 1);
    uint32_t wait_ms = 0;
    if (lm_take(server->rate_limiter, team->name, MAX(rate_milli, 1),
                tm_query_now_us(server->timers), &wait_ms)) {
        return true;
    }
    _ca_refuse_with_retry(message, ER_SHARE_EXCEEDED, wait_ms);
    return false;
}

/* Returns false after refusing the request, if the server is stopping, has no
   configuration or has too many requests open. */
static bool
_ca_check_accepting(const ca_server *server, SoupServerMessage *message)
{
    if (server->stopping) {
        _ca_refuse_with_retry(message, ER_STOPPING, _CA_RETRY_AFTER_MS);
        return false;
    }
    if (!server->config) {
        _ca_refuse_with_retry(message, ER_NOT_READY, _CA_RETRY_AFTER_MS);
        return false;
    }
    if (server->open_requests >=
        dc_query_limits(server->config)->requests_open_max) {
        _ca_refuse_with_retry(message, ER_OVERLOADED, _CA_RETRY_AFTER_MS);
        return false;
    }
    return true;
}

_ca_request *
_ca_request_create(ca_server *server, SoupServerMessage *message)
{
    if (strcmp(soup_server_message_get_method(message), "POST") != 0) {
        _ca_refuse(message, ER_BAD_REQUEST, "the method must be POST");
        return NULL;
    }
    if (!_ca_check_accepting(server, message)) {
        return NULL;
    }
    const dc_key *key = _ca_find_key(server, message);
    const dc_team *team =
        key ? dc_query_team(server->config, key->team) : NULL;
    if (!team) {
        _ca_refuse(message, ER_UNAUTHORIZED,
                   "no team has the key in the Authorization header");
        return NULL;
    }
    if (!_ca_check_rate(server, team, message)) {
        return NULL;
    }
    _ca_request *request = g_new0(_ca_request, 1);
    request->server = server;
    request->message = g_object_ref(message);
    request->team_weight = team->weight;
    request->started_us = tm_query_now_us(server->timers);
    g_strlcpy(request->team, team->name, sizeof(request->team));
    g_snprintf(request->id, sizeof(request->id), "%s-%" PRIx64 "-%" PRIu64,
               server->instance, server->incarnation, server->next_request++);
    soup_message_headers_replace(
        soup_server_message_get_response_headers(message), "X-Request-Id",
        request->id);
    server->open_requests++;
    ct_add(CT_REQUESTS, 1);
    return request;
}

void
_ca_request_free(_ca_request *request)
{
    request->server->open_requests--;
    if (request->disconnect_source) {
        g_source_remove(request->disconnect_source);
    }
    if (request->finished_handler) {
        g_signal_handler_disconnect(request->message,
                                    request->finished_handler);
    }
    g_object_unref(request->message);
    g_free(request);
}

/* Peeks at the socket to tell a closed connection from a pipelined request. */
static gboolean
_ca_on_socket_event(gint fd, GIOCondition condition, void *data)
{
    _ca_request *request = data;
    char byte;
    ssize_t size = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    bool broken = size < 0 && errno != EAGAIN && errno != EINTR;
    if (size == 0 || broken || (condition & (G_IO_ERR | G_IO_HUP))) {
        request->disconnect_source = 0;
        request->on_disconnect(request);
        return G_SOURCE_REMOVE;
    }
    if (size > 0) {
        /* The connection's next request is waiting, so the caller is still
           connected. Stops watching: the socket would stay readable. */
        request->disconnect_source = 0;
        return G_SOURCE_REMOVE;
    }
    return G_SOURCE_CONTINUE;
}

static void
_ca_on_finished(SoupServerMessage *message, void *data)
{
    (void)message;
    _ca_request *request = data;
    request->on_disconnect(request);
}

void
_ca_request_defer(_ca_request *request,
                  void (*on_disconnect)(_ca_request *request))
{
    soup_server_message_pause(request->message);
    request->on_disconnect = on_disconnect;
    request->finished_handler = g_signal_connect(
        request->message, "finished", G_CALLBACK(_ca_on_finished), request);
    GSocket *socket = _ca_query_socket(request->message);
    if (socket) {
        request->disconnect_source = g_unix_fd_add(
            g_socket_get_fd(socket), G_IO_IN | G_IO_HUP | G_IO_ERR,
            _ca_on_socket_event, request);
    }
}

bool
_ca_request_set_deadline(_ca_request *request, const dc_operation *operation)
{
    request->deadline_ms = operation->deadline_ms;
    const char *text = _ca_request_header(request->message, "X-Deadline-Ms");
    if (!text) {
        return true;
    }
    guint64 deadline_ms = 0;
    if (!g_ascii_string_to_unsigned(text, 10, 1, _CA_DEADLINE_MS_MAX,
                                    &deadline_ms, NULL)) {
        _ca_refuse(request->message, ER_BAD_REQUEST,
                   "X-Deadline-Ms must be 1 to 3600000 (milliseconds)");
        return false;
    }
    request->deadline_ms = (uint32_t)deadline_ms;
    return true;
}

uint32_t
_ca_request_elapsed_ms(const _ca_request *request)
{
    uint64_t now_us = tm_query_now_us(request->server->timers);
    return (uint32_t)((now_us - request->started_us) / 1000);
}

void
_ca_request_record(const _ca_request *request, ex_entry *entry)
{
    g_strlcpy(entry->id, request->id, sizeof(entry->id));
    g_strlcpy(entry->team, request->team, sizeof(entry->team));
    entry->total_ms = _ca_request_elapsed_ms(request);
    entry->deadline_ms = request->deadline_ms;
    if (entry->code == ER_OK) {
        ct_add(CT_ANSWERED, 1);
        if (entry->total_ms <= entry->deadline_ms) {
            ct_add(CT_IN_TIME, 1);
        }
    }
    ex_add(request->server->explain, entry);
}

JsonObject *
_ca_parse_body(SoupServerMessage *message, JsonParser *parser)
{
    g_autoptr(GBytes) body = soup_message_body_flatten(
        soup_server_message_get_request_body(message));
    gsize size = 0;
    const char *text = g_bytes_get_data(body, &size);
    JsonNode *root = NULL;
    if (size && g_utf8_validate_len(text, size, NULL) &&
        jd_query_fits(text, size) &&
        json_parser_load_from_data(parser, text, (gssize)size, NULL)) {
        root = json_parser_get_root(parser);
    }
    if (!root || !JSON_NODE_HOLDS_OBJECT(root)) {
        _ca_refuse(message, ER_BAD_REQUEST, "the body is not a JSON object");
        return NULL;
    }
    return json_node_get_object(root);
}

/* -- private: body size --------------------------------------------------- */

static goffset
_ca_body_bytes_max(const ca_server *server)
{
    return server->config ? dc_query_limits(server->config)->body_bytes_max
                          : _CA_BODY_BYTES_MAX;
}

/* Counts the bytes of a body without a stated length as they arrive. */
typedef struct _ca_body_counter {
    goffset bytes;
    goffset bytes_max;
} _ca_body_counter;

/* Drops the body once it is over the limit; the request is refused when its
   end has arrived. */
static void
_ca_on_chunk(SoupServerMessage *message, GBytes *chunk, void *data)
{
    _ca_body_counter *count = data;
    count->bytes += (goffset)g_bytes_get_size(chunk);
    if (count->bytes > count->bytes_max) {
        SoupMessageBody *body = soup_server_message_get_request_body(message);
        soup_message_body_set_accumulate(body, FALSE);
        soup_message_body_truncate(body);
    }
}

static void
_ca_on_body_received(SoupServerMessage *message, void *data)
{
    const _ca_body_counter *count = data;
    if (count->bytes > count->bytes_max) {
        _ca_refuse(message, ER_BODY_TOO_LARGE, NULL);
    }
}

/* Early handler. Refuses a body whose stated length is over the limit, before
   it is read; counts the bytes of one without a stated length. */
static void
_ca_on_headers(SoupServer *soup, SoupServerMessage *message, const char *path,
               GHashTable *query, void *data)
{
    (void)soup;
    (void)path;
    (void)query;
    const ca_server *server = data;
    SoupMessageHeaders *headers =
        soup_server_message_get_request_headers(message);
    goffset bytes_max = _ca_body_bytes_max(server);
    if (soup_message_headers_get_encoding(headers) ==
        SOUP_ENCODING_CONTENT_LENGTH) {
        if (soup_message_headers_get_content_length(headers) > bytes_max) {
            _ca_refuse(message, ER_BODY_TOO_LARGE, NULL);
        }
        return;
    }
    _ca_body_counter *count = g_new0(_ca_body_counter, 1);
    count->bytes_max = bytes_max;
    g_signal_connect_data(message, "got-chunk", G_CALLBACK(_ca_on_chunk),
                          count, (GClosureNotify)(void *)g_free, 0);
    g_signal_connect(message, "got-body", G_CALLBACK(_ca_on_body_received),
                     count);
}

/* -- private: pages ------------------------------------------------------- */

static void
_ca_on_metrics(SoupServer *soup, SoupServerMessage *message, const char *path,
               GHashTable *query, void *data)
{
    (void)soup;
    (void)path;
    (void)query;
    (void)data;
    g_autofree char *page = ct_query_text();
    hp_text(message, SOUP_STATUS_OK, "text/plain; version=0.0.4", page);
}

static void
_ca_on_health(SoupServer *soup, SoupServerMessage *message, const char *path,
              GHashTable *query, void *data)
{
    (void)soup;
    (void)path;
    (void)query;
    (void)data;
    hp_text(message, SOUP_STATUS_OK, "text/plain", "ok\n");
}

static void
_ca_on_ready(SoupServer *soup, SoupServerMessage *message, const char *path,
             GHashTable *query, void *data)
{
    (void)soup;
    (void)path;
    (void)query;
    const ca_server *server = data;
    bool ready = server->ready && !server->stopping &&
                 sc_query_any_server_usable(server->scheduler);
    hp_text(message, ready ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE,
            "text/plain", ready ? "ready\n" : "not ready\n");
}

static void
_ca_add_model(JsonBuilder *json, const dc_adapter *adapter,
              const char *version)
{
    g_autofree char *id = g_strdup_printf("%s@%s", adapter->name, version);
    json_builder_begin_object(json);
    json_builder_set_member_name(json, "id");
    json_builder_add_string_value(json, id);
    json_builder_set_member_name(json, "object");
    json_builder_add_string_value(json, "model");
    json_builder_set_member_name(json, "owned_by");
    json_builder_add_string_value(json, adapter->team);
    json_builder_set_member_name(json, "parent");
    json_builder_add_string_value(json, adapter->model);
    json_builder_end_object(json);
}

static void
_ca_add_models(const dc_config *config, const char *team, JsonBuilder *json)
{
    for (uint32_t i = 0; i < dc_query_count(config, DC_ADAPTER); i++) {
        const dc_adapter *adapter = dc_query_adapter_at(config, i);
        if (strcmp(adapter->team, team) != 0) {
            continue;
        }
        for (char **version = adapter->versions; *version; version++) {
            _ca_add_model(json, adapter, *version);
        }
    }
}

static void
_ca_on_models(SoupServer *soup, SoupServerMessage *message, const char *path,
              GHashTable *query, void *data)
{
    (void)soup;
    (void)path;
    (void)query;
    const ca_server *server = data;
    if (!_ca_check_accepting(server, message)) {
        return;
    }
    const dc_key *key = _ca_find_key(server, message);
    if (!key) {
        _ca_refuse(message, ER_UNAUTHORIZED,
                   "no team has the key in the Authorization header");
        return;
    }
    g_autoptr(JsonBuilder) json = json_builder_new();
    json_builder_begin_object(json);
    json_builder_set_member_name(json, "object");
    json_builder_add_string_value(json, "list");
    json_builder_set_member_name(json, "data");
    json_builder_begin_array(json);
    _ca_add_models(server->config, key->team, json);
    json_builder_end_array(json);
    json_builder_end_object(json);
    hp_json(message, SOUP_STATUS_OK, json);
}

static void
_ca_on_unknown_path(SoupServer *soup, SoupServerMessage *message,
                    const char *path, GHashTable *query, void *data)
{
    (void)soup;
    (void)query;
    (void)data;
    _ca_refuse(message, ER_NOT_FOUND, path);
}

/* -- public --------------------------------------------------------------- */

/* Every path gets the early handler that checks the body size, since libsoup
   calls only the handlers of the path that matches best. */
static const struct {
    const char *path; /* NULL: all other paths */
    SoupServerCallback handler;
} _ca_handlers[] = {
    {NULL, _ca_on_unknown_path},
    {"/v1/completions", _ca_on_completions},
    {"/v1/chat/completions", _ca_on_chat},
    {"/v1/services", _ca_on_service},
    {"/v1/models", _ca_on_models},
    {"/metrics", _ca_on_metrics},
    {"/healthz", _ca_on_health},
    {"/readyz", _ca_on_ready},
};

static void
_ca_add_handlers(ca_server *server)
{
    for (size_t i = 0; i < G_N_ELEMENTS(_ca_handlers); i++) {
        soup_server_add_early_handler(server->soup, _ca_handlers[i].path,
                                      _ca_on_headers, server, NULL);
        soup_server_add_handler(server->soup, _ca_handlers[i].path,
                                _ca_handlers[i].handler, server, NULL);
    }
}

ca_server *
ca_create(const ca_desc *desc, er_status *status)
{
    ca_server *server = g_new0(ca_server, 1);
    server->timers = desc->timers;
    server->scheduler = desc->scheduler;
    server->calls = desc->calls;
    server->explain = desc->explain;
    server->tls = desc->tls;
    server->instance = g_strdup(desc->instance);
    server->incarnation = desc->incarnation;
    server->next_request = 1;
    server->connections_max =
        desc->connections_max ? desc->connections_max : _CA_CONNECTIONS_MAX;
    server->idle_timeout_s =
        desc->idle_timeout_s ? desc->idle_timeout_s : _CA_IDLE_TIMEOUT_S;
    server->rate_limiter = lm_create();
    server->soup =
        soup_server_new("server-header", "lacewing", "raw-paths", FALSE, NULL);
    server->service = g_socket_service_new();
    _ca_add_handlers(server);
    if (_ca_enable_keep_alive(server, status) != ER_OK ||
        _ca_listen(server, desc->address, status) != ER_OK) {
        g_clear_pointer(&server, ca_destroy);
    }
    return server;
}

void
ca_destroy(ca_server *server)
{
    if (server) {
        g_socket_service_stop(server->service);
        g_socket_listener_close(G_SOCKET_LISTENER(server->service));
        g_object_unref(server->service);
        soup_server_disconnect(server->soup);
        g_clear_object(&server->soup);
        g_clear_pointer(&server->config, dc_unref);
        lm_destroy(server->rate_limiter);
        g_free(server->instance);
        g_free(server);
    }
}

void
ca_set_config(ca_server *server, const dc_config *config)
{
    g_clear_pointer(&server->config, dc_unref);
    server->config = dc_ref((dc_config *)config);
}

void
ca_set_ready(ca_server *server, bool ready)
{
    server->ready = ready;
}

void
ca_stop(ca_server *server)
{
    server->stopping = true;
}

uint32_t
ca_query_open_requests(const ca_server *server)
{
    return server->open_requests;
}
