/* Orders, health checks and calls of plain services. Each is one HTTP request
   with a timeout. */
#include "backend_private.h"

#include "lacewing/json_depth.h"
typedef struct _be_request {
    be_server *server;
    SoupMessage *message;
    GCancellable *cancel;
    gulong server_cancel_handler; /* signal handler ID */
    tm_timer timeout;
    be_order_callback order_callback; /* of an order; else NULL */
    be_call_callback call_callback;   /* of a call; else NULL */
    void *user_data;
    bool timed_out;
} _be_request;

/* -- private: requests ---------------------------------------------------- */

static void
_be_on_server_cancelled(GCancellable *server_cancel, void *data)
{
    (void)server_cancel;
    g_cancellable_cancel(data);
}

static void
_be_on_timeout(uint64_t now_us, void *data)
{
    (void)now_us;
    _be_request *request = data;
    request->timed_out = true;
    g_cancellable_cancel(request->cancel);
}

static _be_request *
_be_request_create(be_server *server, SoupMessage *message,
                   uint32_t timeout_ms, void *user_data)
{
    _be_request *request = g_new0(_be_request, 1);
    request->server = server;
    request->message = message;
    request->cancel = g_cancellable_new();
    request->user_data = user_data;
    request->server_cancel_handler = g_signal_connect_data(
        server->cancel, "cancelled", G_CALLBACK(_be_on_server_cancelled),
        g_object_ref(request->cancel), (GClosureNotify)(void *)g_object_unref,
        0);
    request->timeout =
        tm_make_timer(server->timers, &(tm_timer_desc){.period_ms = timeout_ms,
                                                       .once = true,
                                                       .call = _be_on_timeout,
                                                       .user_data = request});
    return request;
}

static void
_be_request_free(_be_request *request, bool server_gone)
{
    if (!server_gone) {
        tm_destroy_timer(request->server->timers, request->timeout);
        g_signal_handler_disconnect(request->server->cancel,
                                    request->server_cancel_handler);
    }
    g_object_unref(request->message);
    g_object_unref(request->cancel);
    g_free(request);
}

/* Returns true if the request was cancelled by be_destroy(). Its server must
   not be used any more. */
static bool
_be_request_is_abandoned(const _be_request *request)
{
    return !request->timed_out && g_cancellable_is_cancelled(request->cancel);
}

/* -- private: answers ----------------------------------------------------- */

/* Maps the answer to an order to a code. Every error but "fenced" and 404
   counts as a failed load. */
static er_code
_be_order_code(guint http_status, GBytes *body)
{
    if (http_status == SOUP_STATUS_OK) {
        return ER_OK;
    }
    g_autofree char *type = _be_error_type(body);
    if (g_strcmp0(type, "fenced") == 0) {
        return ER_FENCED;
    }
    if (http_status == SOUP_STATUS_NOT_FOUND) {
        return ER_NOT_FOUND;
    }
    return ER_LOAD_FAILED;
}

/* Returns a NULL-terminated array whose strings belong to object. */
static const char **
_be_parse_models(JsonObject *object)
{
    GPtrArray *models = g_ptr_array_new();
    JsonNode *list = json_object_get_member(object, "adapters");
    if (list && JSON_NODE_HOLDS_ARRAY(list)) {
        JsonArray *array = json_node_get_array(list);
        for (guint i = 0; i < json_array_get_length(array); i++) {
            g_ptr_array_add(models,
                            (void *)json_array_get_string_element(array, i));
        }
    }
    g_ptr_array_add(models, NULL);
    return (const char **)g_ptr_array_free(models, FALSE);
}

static void
_be_deliver_order_result(_be_request *request, er_code code, GBytes *body)
{
    gsize size = 0;
    const char *text = body ? g_bytes_get_data(body, &size) : NULL;
    g_autoptr(JsonParser) parser = json_parser_new();
    bool parsed = text && jd_query_fits(text, size) &&
                  json_parser_load_from_data(parser, text, (gssize)size, NULL);
    JsonNode *root = parsed ? json_parser_get_root(parser) : NULL;
    be_order_result result = {.code = code};
    g_autofree const char **models = NULL;
    if (root && JSON_NODE_HOLDS_OBJECT(root)) {
        JsonObject *object = json_node_get_object(root);
        models = _be_parse_models(object);
        result.models = models;
        result.incarnation = _be_json_string(object, "incarnation", "");
        result.leaving = json_object_get_boolean_member_with_default(
            object, "leaving", FALSE);
        result.running = (uint32_t)_be_json_int(object, "running", 0);
        result.waiting = (uint32_t)_be_json_int(object, "waiting", 0);
        result.lag_ms = (uint32_t)_be_json_int(object, "lag_ms", 0);
    }
    request->order_callback(request->server, &result, request->user_data);
}

static void
_be_on_order_answer(GObject *source, GAsyncResult *result, void *data)
{
    _be_request *request = data;
    g_autoptr(GError) error = NULL;
    g_autoptr(GBytes) body = soup_session_send_and_read_finish(
        SOUP_SESSION(source), result, &error);
    if (_be_request_is_abandoned(request)) {
        _be_request_free(request, true);
        return;
    }
    er_code code = request->timed_out ? ER_TIMEOUT : ER_CONNECTION;
    if (body) {
        code = _be_order_code(soup_message_get_status(request->message), body);
    }
    _be_deliver_order_result(request, code, body);
    _be_request_free(request, false);
}

static void
_be_send_order(be_server *server, SoupMessage *message, uint32_t timeout_ms,
               be_order_callback callback, void *user_data)
{
    _be_request *request =
        _be_request_create(server, message, timeout_ms, user_data);
    request->order_callback = callback;
    soup_session_send_and_read_async(server->session, message,
                                     G_PRIORITY_DEFAULT, request->cancel,
                                     _be_on_order_answer, request);
}

static void
_be_send_adapter_order(be_server *server, const char *path, const char *model,
                       be_order_callback callback, void *user_data)
{
    SoupMessage *message = _be_message(server, "POST", path);
    g_auto(GStrv) parts = g_strsplit(model, "@", 2);
    g_autoptr(JsonBuilder) json = json_builder_new();
    json_builder_begin_object(json);
    json_builder_set_member_name(json, "lora_name");
    json_builder_add_string_value(json, parts[0]);
    json_builder_set_member_name(json, "version");
    json_builder_add_string_value(json, parts[1] ? parts[1] : "");
    json_builder_end_object(json);
    _be_set_json(message, json);
    _be_send_order(server, message, server->order_timeout_ms, callback,
                   user_data);
}

/* -- public: orders ------------------------------------------------------- */

void
be_load(be_server *server, const char *model, be_order_callback callback,
        void *user_data)
{
    _be_send_adapter_order(server, "/v1/load_lora_adapter", model, callback,
                           user_data);
}

void
be_evict(be_server *server, const char *model, be_order_callback callback,
         void *user_data)
{
    _be_send_adapter_order(server, "/v1/unload_lora_adapter", model, callback,
                           user_data);
}

void
be_list_adapters(be_server *server, be_order_callback callback,
                 void *user_data)
{
    _be_send_order(server, _be_message(server, "GET", "/v1/adapters"),
                   server->probe_timeout_ms, callback, user_data);
}

void
be_fetch_report(be_server *server, be_order_callback callback, void *user_data)
{
    _be_send_order(server, _be_message(server, "GET", "/v1/load"),
                   server->order_timeout_ms, callback, user_data);
}

void
be_check_health(be_server *server, be_order_callback callback, void *user_data)
{
    SoupMessage *message = _be_message(server, "GET", "/healthz");
    soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
    _be_send_order(server, message, server->probe_timeout_ms, callback,
                   user_data);
}

/* -- public: calls of plain services -------------------------------------- */

static void
_be_set_call_failure(const _be_request *request, const GError *error,
                     be_call_result *result)
{
    if (_be_never_connected(error)) {
        result->code = ER_SERVER_FAILED;
        result->ran = BE_RAN_NO;
    }
    else {
        result->code = request->timed_out ? ER_TIMEOUT : ER_CONNECTION;
        result->ran = BE_RAN_UNKNOWN;
    }
    er_set(&result->status, result->code, "%s", error->message);
}

static void
_be_set_call_answer(const _be_request *request, GBytes *body,
                    be_call_result *result)
{
    result->http_status = soup_message_get_status(request->message);
    result->body = body;
    if (result->http_status < 400) {
        result->code = ER_OK;
        result->ran = BE_RAN_YES;
        return;
    }
    result->code = ER_SERVER_FAILED;
    /* 503: the service did not start the operation. */
    result->ran = result->http_status == 503 ? BE_RAN_NO : BE_RAN_UNKNOWN;
    er_set(&result->status, result->code,
           "the service answered with HTTP status %u", result->http_status);
}

static void
_be_on_call_answer(GObject *source, GAsyncResult *async_result, void *data)
{
    _be_request *request = data;
    g_autoptr(GError) error = NULL;
    g_autoptr(GBytes) body = soup_session_send_and_read_finish(
        SOUP_SESSION(source), async_result, &error);
    if (_be_request_is_abandoned(request)) {
        _be_request_free(request, true);
        return;
    }
    be_call_result result = {0};
    if (body) {
        _be_set_call_answer(request, body, &result);
    }
    else {
        _be_set_call_failure(request, error, &result);
    }
    request->call_callback(request->server, &result, request->user_data);
    _be_request_free(request, false);
}

void
be_call(be_server *server, const be_call_desc *desc)
{
    g_assert(desc->operation && desc->attempt && desc->body && desc->call);
    g_autofree char *path = g_strdup_printf("/call/%s", desc->operation);
    SoupMessage *message = _be_message(server, "POST", path);
    SoupMessageHeaders *headers = soup_message_get_request_headers(message);
    soup_message_headers_append(headers, "X-Attempt", desc->attempt);
    if (desc->key) {
        soup_message_headers_append(headers, "Idempotency-Key", desc->key);
    }
    if (!desc->repeatable) {
        soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
    }
    soup_message_set_request_body_from_bytes(message, "application/json",
                                             desc->body);
    uint32_t timeout_ms =
        desc->timeout_ms ? desc->timeout_ms : server->order_timeout_ms;
    _be_request *request =
        _be_request_create(server, message, timeout_ms, desc->user_data);
    request->call_callback = desc->call;
    soup_session_send_and_read_async(server->session, message,
                                     G_PRIORITY_DEFAULT, request->cancel,
                                     _be_on_call_answer, request);
}
