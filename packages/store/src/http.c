#include "http.h"

#include <libsoup/soup.h>

#define _HT_DEFAULT_TIMEOUT_MS 2000
#define _HT_DEFAULT_CONNECTIONS 8

struct ht_client {
    char *base_url;
    char *identity;
    uint32_t timeout_ms;
    uint32_t connections;
    SoupSession *session; /* for new calls */
    GHashTable *calls;    /* set of _ht_call in flight */
};

typedef struct _ht_call {
    ht_client *client; /* NULL once destroyed: no callback runs */
    SoupSession *session;
    SoupMessage *message;
    GCancellable *cancel;
    guint timer;
    bool timed_out;
    ht_callback callback;
    void *user_data;
} _ht_call;

/* -- private: sessions ---------------------------------------------------- */

static SoupSession *
_ht_session_create(const ht_client *client)
{
    return soup_session_new_with_options(
        "max-conns", (int)client->connections, "max-conns-per-host",
        (int)client->connections, "timeout", 0, NULL);
}

/* Makes later calls use new connections, unless another timed out call has
   already replaced the session. */
static void
_ht_renew_session(ht_client *client, const SoupSession *unresponsive)
{
    if (client->session == unresponsive) {
        g_object_unref(client->session);
        client->session = _ht_session_create(client);
    }
}

/* -- private: calls ------------------------------------------------------- */

static er_code
_ht_status_code(uint32_t status)
{
    if (status >= 200 && status < 300) {
        return ER_OK;
    }
    switch (status) {
    case SOUP_STATUS_CONFLICT:
        return ER_CONFLICT;
    case SOUP_STATUS_NOT_FOUND:
        return ER_NOT_FOUND;
    default:
        break;
    }
    bool client_error = status >= 400 && status < 500;
    return client_error ? ER_BAD_REQUEST : ER_PLATFORM_DOWN;
}

static void
_ht_call_free(_ht_call *call)
{
    g_clear_handle_id(&call->timer, g_source_remove);
    g_object_unref(call->session);
    g_object_unref(call->message);
    g_object_unref(call->cancel);
    g_free(call);
}

static gboolean
_ht_on_timeout(void *data)
{
    _ht_call *call = data;
    call->timer = 0;
    call->timed_out = true;
    g_cancellable_cancel(call->cancel);
    return G_SOURCE_REMOVE;
}

static void
_ht_on_answer(GObject *source, GAsyncResult *result, void *data)
{
    _ht_call *call = data;
    ht_client *client = call->client;
    g_autoptr(GBytes) body =
        soup_session_send_and_read_finish(SOUP_SESSION(source), result, NULL);
    if (!client) {
        _ht_call_free(call);
        return;
    }
    er_code code = ER_PLATFORM_DOWN;
    if (call->timed_out) {
        code = ER_TIMEOUT;
        _ht_renew_session(client, call->session);
    }
    else if (body) {
        code = _ht_status_code(soup_message_get_status(call->message));
    }
    g_hash_table_remove(client->calls, call);
    bool has_body = code == ER_OK || code == ER_CONFLICT;
    call->callback(code, has_body ? body : NULL, call->user_data);
    _ht_call_free(call);
}

static SoupMessage *
_ht_message(const ht_client *client, const ht_request *request)
{
    g_autofree char *url = g_strconcat(client->base_url, request->path, NULL);
    SoupMessage *message = soup_message_new(request->method, url);
    g_assert(message);
    if (client->identity) {
        soup_message_headers_replace(soup_message_get_request_headers(message),
                                     "X-Lacewing-Instance", client->identity);
    }
    if (request->body) {
        const char *type = request->type ? request->type : "application/json";
        soup_message_set_request_body_from_bytes(message, type, request->body);
    }
    return message;
}

/* -- public --------------------------------------------------------------- */

ht_client *
ht_create(const pf_http_desc *desc)
{
    g_assert(desc->base_url);
    ht_client *client = g_new0(ht_client, 1);
    client->base_url = g_strdup(desc->base_url);
    client->identity = g_strdup(desc->identity);
    client->timeout_ms =
        desc->timeout_ms ? desc->timeout_ms : _HT_DEFAULT_TIMEOUT_MS;
    client->connections =
        desc->connections ? desc->connections : _HT_DEFAULT_CONNECTIONS;
    client->session = _ht_session_create(client);
    client->calls = g_hash_table_new(NULL, NULL);
    return client;
}

void
ht_destroy(ht_client *client)
{
    GHashTableIter iter;
    void *item;
    g_hash_table_iter_init(&iter, client->calls);
    while (g_hash_table_iter_next(&iter, &item, NULL)) {
        _ht_call *call = item;
        call->client = NULL;
        g_clear_handle_id(&call->timer, g_source_remove);
        g_hash_table_iter_remove(&iter);
        g_cancellable_cancel(call->cancel);
        call->callback(ER_CANCELLED, NULL, call->user_data);
    }
    g_hash_table_unref(client->calls);
    g_object_unref(client->session);
    g_free(client->base_url);
    g_free(client->identity);
    g_free(client);
}

void
ht_send(ht_client *client, const ht_request *request)
{
    _ht_call *call = g_new0(_ht_call, 1);
    call->client = client;
    call->session = g_object_ref(client->session);
    call->message = _ht_message(client, request);
    call->cancel = g_cancellable_new();
    call->callback = request->callback;
    call->user_data = request->user_data;
    call->timer = g_timeout_add(client->timeout_ms, _ht_on_timeout, call);
    g_hash_table_add(client->calls, call);
    soup_session_send_and_read_async(call->session, call->message,
                                     G_PRIORITY_DEFAULT, call->cancel,
                                     _ht_on_answer, call);
}
