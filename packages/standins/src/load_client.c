#include "load_client.h"

#include "lacewing/standin_text.h"
#include "load_answer.h"
#include <libsoup/soup.h>

#define _LC_CONNECTIONS 4096
#define _LC_TIMEOUT_MS 30000
#define _LC_READ_BYTES 16384

/* A session walks its list of requests for each one; several keep it short. */
#define _LC_SESSIONS 32

struct lc_client {
    SoupSession *sessions[_LC_SESSIONS];
    uint32_t next; /* session */
    char *secret;
    uint32_t open;
};

typedef struct _lc_call {
    lc_client *client;
    SoupMessage *message;
    GCancellable *cancel;
    GInputStream *stream;
    guint timer;
    bool timed_out;
    bool draft;
    char *expected; /* text of a draft */
    la_answer answer;
    uint64_t first_us;
    lc_done_callback done;
    void *user_data;
    char buffer[_LC_READ_BYTES];
} _lc_call;

/* -- private: end --------------------------------------------------------- */

static void
_lc_free(_lc_call *call)
{
    g_clear_handle_id(&call->timer, g_source_remove);
    g_clear_object(&call->stream);
    g_object_unref(call->message);
    g_object_unref(call->cancel);
    g_free(call->expected);
    la_clear(&call->answer);
    g_free(call);
}

static lc_outcome
_lc_judge(const _lc_call *call)
{
    if (call->timed_out) {
        return LC_SILENT;
    }
    if (la_query_is_refusal(&call->answer)) {
        return LC_REFUSED;
    }
    if (!la_query_is_complete(&call->answer)) {
        return LC_BROKEN;
    }
    const char *text = la_query_text(&call->answer);
    bool wrong = call->draft && !g_str_equal(text, call->expected);
    return wrong ? LC_WRONG : LC_OUTCOME_DEFAULT;
}

static void
_lc_finish(_lc_call *call)
{
    call->client->open--;
    la_end(&call->answer);
    lc_result result = {
        .outcome = _lc_judge(call),
        .status = soup_message_get_status(call->message),
        .type = call->answer.type,
        .ran = call->answer.ran,
        .text = la_query_text(&call->answer),
        .retry_after_ms = call->answer.retry_after_ms,
        .tokens = call->answer.text_events,
        .first_us = call->first_us,
        .end_us = (uint64_t)g_get_monotonic_time(),
    };
    call->done(&result, call->user_data);
    _lc_free(call);
}

/* -- private: reading ----------------------------------------------------- */

static void _lc_read(_lc_call *call);

static void
_lc_on_read(GObject *source, GAsyncResult *result, void *data)
{
    _lc_call *call = data;
    gssize size =
        g_input_stream_read_finish(G_INPUT_STREAM(source), result, NULL);
    if (size < 0) {
        call->answer.cut_off = true;
    }
    if (size <= 0) {
        _lc_finish(call);
        return;
    }
    la_feed(&call->answer, call->buffer, (size_t)size);
    if (!call->first_us && call->answer.text_events) {
        call->first_us = (uint64_t)g_get_monotonic_time();
    }
    _lc_read(call);
}

static void
_lc_read(_lc_call *call)
{
    g_input_stream_read_async(call->stream, call->buffer, _LC_READ_BYTES,
                              G_PRIORITY_DEFAULT, call->cancel, _lc_on_read,
                              call);
}

static void
_lc_on_head(GObject *source, GAsyncResult *result, void *data)
{
    _lc_call *call = data;
    call->stream =
        soup_session_send_finish(SOUP_SESSION(source), result, NULL);
    if (!call->stream) {
        call->answer.cut_off = true;
        _lc_finish(call);
        return;
    }
    const char *type = soup_message_headers_get_content_type(
        soup_message_get_response_headers(call->message), NULL);
    la_begin(&call->answer, soup_message_get_status(call->message),
             g_strcmp0(type, "text/event-stream") == 0, call->draft);
    _lc_read(call);
}

static gboolean
_lc_on_timeout(void *data)
{
    _lc_call *call = data;
    call->timer = 0;
    call->timed_out = true;
    g_cancellable_cancel(call->cancel);
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
        desc->connections ? desc->connections : _LC_CONNECTIONS;
    int each = (int)(connections / _LC_SESSIONS) + 1;
    for (uint32_t i = 0; i < _LC_SESSIONS; i++) {
        client->sessions[i] = soup_session_new_with_options(
            "max-conns", each, "max-conns-per-host", each, NULL);
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
    _lc_call *call = g_new0(_lc_call, 1);
    uint32_t timeout_ms = desc->timeout_ms ? desc->timeout_ms : _LC_TIMEOUT_MS;
    call->client = client;
    call->draft = !desc->operation;
    call->message = _lc_message(client, desc);
    call->cancel = g_cancellable_new();
    call->done = desc->done;
    call->user_data = desc->user_data;
    if (call->draft) {
        call->expected =
            tx_query_answer(desc->model, desc->prompt, desc->max_tokens);
    }
    la_setup(&call->answer);
    call->timer = g_timeout_add(timeout_ms, _lc_on_timeout, call);
    client->open++;
    SoupSession *session = client->sessions[client->next++ % _LC_SESSIONS];
    soup_session_send_async(session, call->message, G_PRIORITY_DEFAULT,
                            call->cancel, _lc_on_head, call);
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
