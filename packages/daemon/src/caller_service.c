/* Handles callers' calls of plain services: POST /v1/services/OPERATION. */
#include "caller_private.h"

#include "lacewing/counter.h"
#include <string.h>

#define _CA_SERVICES_PATH "/v1/services/"

typedef struct _ca_call {
    _ca_request *request;
    uint64_t call_id;
    char *operation;
} _ca_call;

static void
_ca_call_free(_ca_call *call)
{
    _ca_request_free(call->request);
    g_free(call->operation);
    g_free(call);
}

static void
_ca_call_record(const _ca_call *call, const cs_answer *answer)
{
    ex_entry entry = {.code = answer->code,
                      .ran = answer->ran,
                      .replayed = answer->replayed};
    g_strlcpy(entry.model, call->operation, sizeof(entry.model));
    g_strlcpy(entry.server, answer->server ? answer->server : "",
              sizeof(entry.server));
    _ca_request_record(call->request, &entry);
}

static void
_ca_on_answer(const cs_answer *answer, void *data)
{
    _ca_call *call = data;
    SoupServerMessage *message = call->request->message;
    _ca_call_record(call, answer);
    if (answer->code != ER_OK) {
        hp_refuse(message,
                  &(hp_refusal){.code = answer->code,
                                .ran = answer->ran,
                                .retry_after_ms = answer->retry_after_ms});
    }
    else {
        if (answer->replayed) {
            soup_message_headers_replace(
                soup_server_message_get_response_headers(message),
                "X-Replayed", "true");
        }
        hp_text(message, answer->http_status, "application/json",
                answer->body ? answer->body : "{}");
    }
    soup_server_message_unpause(message);
    _ca_call_free(call);
}

/* Gives up the answer, as the caller's connection has ended. */
static void
_ca_on_disconnect(_ca_request *request)
{
    _ca_call *call = request->user_data;
    cs_abandon(request->server->calls, call->call_id);
    _ca_call_record(call,
                    &(cs_answer){.code = ER_CANCELLED, .ran = DR_RAN_UNKNOWN});
    ct_add(CT_CANCELLED, 1);
    soup_server_message_set_status(request->message,
                                   er_query_http(ER_CANCELLED), NULL);
    soup_server_message_unpause(request->message);
    _ca_call_free(call);
}

/* Returns the call operation that the path names, or NULL. */
static const dc_operation *
_ca_find_call_operation(const ca_server *server, const char *path)
{
    if (!g_str_has_prefix(path, _CA_SERVICES_PATH)) {
        return NULL;
    }
    const dc_operation *operation =
        dc_query_operation(server->config, path + strlen(_CA_SERVICES_PATH));
    if (!operation || operation->kind != DC_OPERATION_CALL) {
        return NULL;
    }
    return operation;
}

static void
_ca_submit_call(_ca_request *request, const dc_operation *operation,
                const char *key)
{
    g_autoptr(GBytes) body = soup_message_body_flatten(
        soup_server_message_get_request_body(request->message));
    _ca_call *call = g_new0(_ca_call, 1);
    call->request = request;
    call->operation = g_strdup(operation->name);
    call->call_id =
        cs_submit(request->server->calls,
                  &(cs_call_desc){.operation = operation,
                                  .team = request->team,
                                  .key = key,
                                  .body = body,
                                  .time_left_ms = request->deadline_ms,
                                  .on_answer = _ca_on_answer,
                                  .user_data = call});
    if (!call->call_id) {
        _ca_refuse(request->message, ER_BAD_REQUEST,
                   "Idempotency-Key must have 1 to 256 bytes");
        _ca_call_free(call);
        return;
    }
    request->user_data = call;
    _ca_request_defer(request, _ca_on_disconnect);
}

void
_ca_on_service(SoupServer *soup, SoupServerMessage *message, const char *path,
               GHashTable *query, void *data)
{
    (void)soup;
    (void)query;
    ca_server *server = data;
    _ca_request *request = _ca_request_create(server, message);
    if (!request) {
        return;
    }
    const dc_operation *operation = _ca_find_call_operation(server, path);
    const char *key = soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), "Idempotency-Key");
    g_autoptr(JsonParser) parser = json_parser_new();
    if (!operation) {
        _ca_refuse(message, ER_UNKNOWN_OPERATION, path);
    }
    else if (!operation->idempotent && (!key || !*key)) {
        _ca_refuse(message, ER_KEY_MISSING,
                   "this operation needs an Idempotency-Key");
    }
    else if (_ca_request_set_deadline(request, operation) &&
             _ca_parse_body(message, parser)) {
        _ca_submit_call(request, operation, key);
        return;
    }
    _ca_request_free(request);
}
