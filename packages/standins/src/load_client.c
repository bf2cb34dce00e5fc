#include "load_client.h"

#include "lacewing/standin_text.h"
#include "load_answer.h"
#include <libsoup/soup.h>

#define _LC_CONNECTIONS_MAX 4096
#define _LC_TIMEOUT_MS 30000
#define _LC_READ_BYTES 16384

/* A session searches its list of requests for each new one; several
   sessions keep the lists short. */
#define _LC_SESSIONS 32

struct lc_client {
    SoupSession *sessions[_LC_SESSIONS];
    uint32_t next_session;
    char *secret;
    uint32_t open; /* requests */
};

typedef struct _lc_request {
    lc_client *client;
    SoupMessage *message;
    GCancellable *cancel;
    GInputStream *stream;
    guint timer;
    bool timed_out;
    bool draft;
    char *expected; /* text of a draft; NULL for a call of a service */
    la_answer answer;
    uint64_t first_us;
    lc_done_callback done;
    void *user_data;
    char buffer[_LC_READ_BYTES];
} _lc_request;

/* -- private: end --------------------------------------------------------- */

static void
_lc_free(_lc_request *request)
{
    g_clear_handle_id(&request->timer, g_source_remove);
    g_clear_object(&request->stream);
    g_object_unref(request->message);
    g_object_unref(request->cancel);
    g_free(request->expected);
    la_clear(&request->answer);
    g_free(request);
}

static lc_outcome
_lc_classify(const _lc_request *request)
{
    if (request->timed_out) {
        return LC_SILENT;
    }
    if (la_query_is_refusal(&request->answer)) {
        return LC_REFUSED;
    }
    if (!la_query_is_complete(&request->answer)) {
        return LC_BROKEN;
    }
    const char *text = la_query_text(&request->answer);
    bool is_wrong = request->draft && !g_str_equal(text, request->expected);
    return is_wrong ? LC_WRONG : LC_OUTCOME_DEFAULT;
}

static void
_lc_finish(_lc_request *request)
{
    request->client->open--;
    la_end(&request->answer);
    lc_result result = {
        .outcome = _lc_classify(request),
        .status = soup_message_get_status(request->message),
        .type = request->answer.type,
        .ran = request->answer.ran,
        .text = la_query_text(&request->answer),
        .retry_after_ms = request->answer.retry_after_ms,
        .tokens = request->answer.text_events,
        .first_us = request->first_us,
        .end_us = (uint64_t)g_get_monotonic_time(),
    };
    request->done(&result, request->user_data);
    _lc_free(request);
}

/* -- private: reading ----------------------------------------------------- */

static void _lc_read(_lc_request *request);

static void
_lc_on_read(GObject *source, GAsyncResult *result, void *data)
{
    _lc_request *request = data;
    gssize size =
        g_input_stream_read_finish(G_INPUT_STREAM(source), result, NULL);
    if (size < 0) {
        request->answer.cut_off = true;
    }
    if (size <= 0) {
        _lc_finish(request);
        return;
    }
    la_feed(&request->answer, request->buffer, (size_t)size);
    if (!request->first_us && request->answer.text_events) {
        request->first_us = (uint64_t)g_get_monotonic_time();
    }
    _lc_read(request);
}

static void
_lc_read(_lc_request *request)
{
    g_input_stream_read_async(request->stream, request->buffer, _LC_READ_BYTES,
                              G_PRIORITY_DEFAULT, request->cancel, _lc_on_read,
                              request);
}

static void
_lc_on_headers(GObject *source, GAsyncResult *result, void *data)
{
    _lc_request *request = data;
    request->stream =
        soup_session_send_finish(SOUP_SESSION(source), result, NULL);
    if (!request->stream) {
        request->answer.cut_off = true;
        _lc_finish(request);
        return;
    }
    const char *type = soup_message_headers_get_content_type(
        soup_message_get_response_headers(request->message), NULL);
    la_begin(&request->answer, soup_message_get_status(request->message),
             g_strcmp0(type, "text/event-stream") == 0, request->draft);
    _lc_read(request);
}

static gboolean
_lc_on_timeout(void *data)
{
    _lc_request *request = data;
    request->timer = 0;
    request->timed_out = true;
    g_cancellable_cancel(request->cancel);
    return G_SOURCE_REMOVE;
}

/* -- private: sending ----------------------------------------------------- */

static void
_lc_add_text(GString *body, const char *name, const char *text)
{
    g_autofree char *escaped = g_strescape(text, NULL);
    g_string_append_printf(body, "\"%s\":\"%s\",", name, escaped);
}

static char *
_lc_draft_body(const lc_request_desc *desc)
{
    GString *body = g_string_new("{");
    _lc_add_text(body, "model", desc->model);
    _lc_add_text(body, "prompt", desc->prompt);
    g_string_append_printf(body, "\"max_tokens\":%u,\"stream\":%s}",
                           desc->max_tokens,
                           desc->stream || desc->direct ? "true" : "false");
    return g_string_free(body, FALSE);
}

static char *
_lc_url(const lc_request_desc *desc)
{
    const char *path = "/v1/completions";
    if (desc->operation) {
        path = desc->direct ? "/call/" : "/v1/services/";
    }
    return g_strconcat(desc->url, path, desc->operation, NULL);
}

static void
_lc_add_headers(const lc_client *client, const lc_request_desc *desc,
                SoupMessageHeaders *headers)
{
    if (desc->key) {
        soup_message_headers_replace(headers, "Idempotency-Key", desc->key);
    }
    if (desc->direct && desc->id) {
        soup_message_headers_replace(headers, "X-Attempt", desc->id);
    }
    if (desc->deadline_ms) {
        g_autofree char *text = g_strdup_printf("%u", desc->deadline_ms);
        soup_message_headers_replace(headers, "X-Deadline-Ms", text);
    }
    if (client->secret) {
        g_autofree char *text = g_strconcat("Bearer ", client->secret, NULL);
        soup_message_headers_replace(headers, "Authorization", text);
    }
}

static SoupMessage *
_lc_message(const lc_client *client, const lc_request_desc *desc)
{
    g_autofree char *url = _lc_url(desc);
    SoupMessage *message = soup_message_new("POST", url);
    g_assert(message);
    char *text = desc->operation ? g_strdup(desc->body ? desc->body : "{}")
                                 : _lc_draft_body(desc);
    g_autoptr(GBytes) body = g_bytes_new_take(text, strlen(text));
    soup_message_set_request_body_from_bytes(message, "application/json",
                                             body);
    _lc_add_headers(client, desc, soup_message_get_request_headers(message));
    return message;
}

/* -- public --------------------------------------------------------------- */

lc_client *
lc_create(const lc_desc *desc)
{
    lc_client *client = g_new0(lc_client, 1);
    uint32_t connections =
        desc->connections ? desc->connections : _LC_CONNECTIONS_MAX;
    int per_session = (int)(connections / _LC_SESSIONS) + 1;
    for (uint32_t i = 0; i < _LC_SESSIONS; i++) {
        client->sessions[i] = soup_session_new_with_options(
            "max-conns", per_session, "max-conns-per-host", per_session, NULL);
    }
    client->secret = g_strdup(desc->secret);
    return client;
}

void
lc_destroy(lc_client *client)
{
    g_assert(client->open == 0);
    for (uint32_t i = 0; i < _LC_SESSIONS; i++) {
        g_object_unref(client->sessions[i]);
    }
    g_free(client->secret);
    g_free(client);
}

void
lc_send(lc_client *client, const lc_request_desc *desc)
{
    _lc_request *request = g_new0(_lc_request, 1);
    uint32_t timeout_ms = desc->timeout_ms ? desc->timeout_ms : _LC_TIMEOUT_MS;
    request->client = client;
    request->draft = !desc->operation;
    request->message = _lc_message(client, desc);
    request->cancel = g_cancellable_new();
    request->done = desc->done;
    request->user_data = desc->user_data;
    if (request->draft) {
        request->expected =
            tx_query_answer(desc->model, desc->prompt, desc->max_tokens);
    }
    la_setup(&request->answer);
    request->timer = g_timeout_add(timeout_ms, _lc_on_timeout, request);
    client->open++;
    SoupSession *session =
        client->sessions[client->next_session++ % _LC_SESSIONS];
    soup_session_send_async(session, request->message, G_PRIORITY_DEFAULT,
                            request->cancel, _lc_on_headers, request);
}

uint32_t
lc_query_open_requests(const lc_client *client)
{
    return client->open;
}

const char *
lc_query_outcome_name(lc_outcome outcome)
{
    static const char *const names[LC_OUTCOME_NUM] = {
        [LC_OUTCOME_DEFAULT] = "whole", [LC_WRONG] = "wrong",
        [LC_REFUSED] = "refused",       [LC_BROKEN] = "broken",
        [LC_SILENT] = "silent",
    };
    return names[outcome];
}
