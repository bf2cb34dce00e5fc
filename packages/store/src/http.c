#include "http.h"

#include <libsoup/soup.h>

#define _HT_TIMEOUT_MS 2000
#define _HT_CONNECTIONS 8

struct ht_client {
    char *base_url;
    char *identity;
    uint32_t timeout_ms;
    uint32_t connections;
    SoupSession *session; /* for new calls */
    GHashTable *open;     /* set of _ht_open */
};

typedef struct _ht_open {
    ht_client *client; /* NULL: it has ended, nobody is told */
    SoupSession *session;
    SoupMessage *message;
    GCancellable *cancel;
    guint timer;
    bool timed_out;
    ht_call call;
    void *user_data;
} _ht_open;

/* -- private: sessions ---------------------------------------------------- */

static SoupSession *
_ht_session_create(const ht_client *client)
{
    return soup_session_new_with_options(
        "max-conns", (int)client->connections, "max-conns-per-host",
        (int)client->connections, "timeout", 0, NULL);
}

static void
_ht_renew_session(ht_client *client, const SoupSession *silent)
{
    if (client->session == silent) {
        g_object_unref(client->session);
        client->session = _ht_session_create(client);
    }
}

/* -- private: calls ------------------------------------------------------- */

static er_code
_ht_code(uint32_t status)
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
    bool refused = status >= 400 && status < 500;
    return refused ? ER_BAD_REQUEST : ER_PLATFORM_DOWN;
}

static void
_ht_open_free(_ht_open *open)
{
    g_clear_handle_id(&open->timer, g_source_remove);
    g_object_unref(open->session);
    g_object_unref(open->message);
    g_object_unref(open->cancel);
    g_free(open);
}

static gboolean
_ht_on_timeout(void *data)
{
    _ht_open *open = data;
    open->timer = 0;
    open->timed_out = true;
    g_cancellable_cancel(open->cancel);
    return G_SOURCE_REMOVE;
}

static void
_ht_on_answer(GObject *source, GAsyncResult *result, void *data)
{
    _ht_open *open = data;
    ht_client *client = open->client;
    g_autoptr(GBytes) body =
        soup_session_send_and_read_finish(SOUP_SESSION(source), result, NULL);
    if (!client) {
        _ht_open_free(open);
        return;
    }
    er_code code = ER_PLATFORM_DOWN;
    if (open->timed_out) {
        code = ER_TIMEOUT;
        _ht_renew_session(client, open->session);
    }
    else if (body) {
        code = _ht_code(soup_message_get_status(open->message));
    }
    g_hash_table_remove(client->open, open);
    bool has_body = code == ER_OK || code == ER_CONFLICT;
    open->call(code, has_body ? body : NULL, open->user_data);
    _ht_open_free(open);
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
    client->timeout_ms = desc->timeout_ms ? desc->timeout_ms : _HT_TIMEOUT_MS;
    client->connections =
        desc->connections ? desc->connections : _HT_CONNECTIONS;
    client->session = _ht_session_create(client);
    client->open = g_hash_table_new(NULL, NULL);
    return client;
}

void
ht_destroy(ht_client *client)
{
    GHashTableIter iter;
    void *item;
    g_hash_table_iter_init(&iter, client->open);
    while (g_hash_table_iter_next(&iter, &item, NULL)) {
        _ht_open *open = item;
        open->client = NULL;
        g_clear_handle_id(&open->timer, g_source_remove);
        g_hash_table_iter_remove(&iter);
        g_cancellable_cancel(open->cancel);
        open->call(ER_CANCELLED, NULL, open->user_data);
    }
    g_hash_table_unref(client->open);
    g_object_unref(client->session);
    g_free(client->base_url);
    g_free(client->identity);
    g_free(client);
}

void
ht_send(ht_client *client, const ht_request *request)
{
    _ht_open *open = g_new0(_ht_open, 1);
    open->client = client;
    open->session = g_object_ref(client->session);
    open->message = _ht_message(client, request);
    open->cancel = g_cancellable_new();
    open->call = request->call;
    open->user_data = request->user_data;
    open->timer = g_timeout_add(client->timeout_ms, _ht_on_timeout, open);
    g_hash_table_add(client->open, open);
    soup_session_send_and_read_async(open->session, open->message,
                                     G_PRIORITY_DEFAULT, open->cancel,
                                     _ht_on_answer, open);
}
