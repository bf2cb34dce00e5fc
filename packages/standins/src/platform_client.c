#include "platform_client.h"

#include <libsoup/soup.h>

#define _PL_CONNECTIONS_MAX 32

struct pl_client {
    char *base_url;
    char *name;
    SoupSession *session;
};

typedef struct _pl_request {
    SoupMessage *message;
    pl_fetch_call call; /* NULL: the answer is ignored */
    void *user_data;
} _pl_request;

/* -- private -------------------------------------------------------------- */

static void
_pl_on_answer(GObject *source, GAsyncResult *result, void *data)
{
    g_autofree _pl_request *request = data;
    g_autoptr(SoupMessage) message = request->message;
    g_autoptr(GBytes) body =
        soup_session_send_and_read_finish(SOUP_SESSION(source), result, NULL);
    if (request->call) {
        bool done = body && soup_message_get_status(message) == 200;
        request->call(done, request->user_data);
    }
}

static void
_pl_post(pl_client *client, const char *path, const char *text,
         pl_fetch_call call, void *user_data)
{
    g_autofree char *url = g_strconcat(client->base_url, path, NULL);
    g_autoptr(GBytes) body = g_bytes_new(text, strlen(text));
    _pl_request *request = g_new0(_pl_request, 1);
    request->message = soup_message_new("POST", url);
    request->call = call;
    request->user_data = user_data;
    soup_message_set_request_body_from_bytes(request->message,
                                             "application/json", body);
    soup_session_send_and_read_async(client->session, request->message,
                                     G_PRIORITY_DEFAULT, NULL, _pl_on_answer,
                                     request);
}

/* -- public --------------------------------------------------------------- */

pl_client *
pl_create(const char *base_url, const char *name)
{
    pl_client *client = g_new0(pl_client, 1);
    client->base_url = g_strdup(base_url);
    client->name = g_strdup(name);
    client->session = soup_session_new_with_options(
        "max-conns", _PL_CONNECTIONS_MAX, "max-conns-per-host",
        _PL_CONNECTIONS_MAX, NULL);
    return client;
}

void
pl_destroy(pl_client *client)
{
    if (client) {
        g_object_unref(client->session);
        g_free(client->base_url);
        g_free(client->name);
        g_free(client);
    }
}

void
pl_fetch_weights(pl_client *client, const char *adapter, const char *version,
                 pl_fetch_call call, void *user_data)
{
    g_autofree char *text = g_strdup_printf(
        "{\"adapter\":\"%s\",\"version\":\"%s\",\"server\":\"%s\"}", adapter,
        version, client->name);
    _pl_post(client, "/weights/fetch", text, call, user_data);
}

void
pl_register(pl_client *client, const char *zone, uint16_t port)
{
    g_autofree char *text = g_strdup_printf(
        "{\"order\":\"instance\",\"name\":\"%s\",\"zone\":\"%s\","
        "\"address\":\"127.0.0.1:%u\",\"kind\":\"server\"}",
        client->name, zone, port);
    _pl_post(client, "/control", text, NULL, NULL);
}

void
pl_report_leaving(pl_client *client, uint32_t lag_ms)
{
    g_autofree char *text = g_strdup_printf(
        "{\"order\":\"leaving\",\"name\":\"%s\",\"lag_ms\":%u}", client->name,
        lag_ms);
    _pl_post(client, "/control", text, NULL, NULL);
}
