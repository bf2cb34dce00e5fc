/* HTTP requests to a test host, sent from the same process. */
#ifndef LACEWING_ADMIN_TEST_HTTP_CLIENT_H
#define LACEWING_ADMIN_TEST_HTTP_CLIENT_H

#include "host.h"

typedef struct http_response {
    bool done;
    uint32_t status;
    char *text;
} http_response;

static void
host_on_response(GObject *source, GAsyncResult *result, void *data)
{
    http_response *response = data;
    SoupMessage *message =
        soup_session_get_async_result_message(SOUP_SESSION(source), result);
    g_autoptr(GError) error = NULL;
    g_autoptr(GBytes) bytes = soup_session_send_and_read_finish(
        SOUP_SESSION(source), result, &error);
    ck_assert_msg(bytes, "%s", error ? error->message : "");
    gsize size = 0;
    const char *text = g_bytes_get_data(bytes, &size);
    response->text = g_strndup(text ? text : "", size);
    response->status = soup_message_get_status(message);
    response->done = true;
}

/* Sends one request and waits for the response; key and body may be NULL. Free
   the response's text with g_free(). */
static http_response
host_request(host *api, const char *method, const char *path, const char *key,
             const char *body)
{
    g_autofree char *url = g_strconcat(api->url, path, NULL);
    g_autoptr(SoupMessage) message = soup_message_new(method, url);
    if (key) {
        g_autofree char *bearer = g_strconcat("Bearer ", key, NULL);
        soup_message_headers_append(soup_message_get_request_headers(message),
                                    "Authorization", bearer);
    }
    if (body) {
        g_autoptr(GBytes) bytes = g_bytes_new(body, strlen(body));
        soup_message_set_request_body_from_bytes(message, "application/json",
                                                 bytes);
    }
    http_response response = {0};
    soup_session_send_and_read_async(api->session, message, G_PRIORITY_DEFAULT,
                                     NULL, host_on_response, &response);
    while (!response.done) {
        g_main_context_iteration(NULL, TRUE);
    }
    return response;
}

#endif
