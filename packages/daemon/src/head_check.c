#include "head_check.h"

#include "http_reply.h"
#include "lacewing/counter.h"
#include "lacewing/http1.h"
#include "lacewing/log.h"
#include <stdbool.h>
#include <string.h>

/* Below the limit at which libsoup closes the connection without an answer. */
#define _HK_HEAD_BYTES (32 * 1024)
/* Bytes read and discarded after a refusal, so that the answer is not lost in
   a reset: four times the size of a 2 MB head from a fault report. */
#define _HK_MAX_DROPPED_BYTES (8 * 1024 * 1024)

/* -- private: input stream with checks ------------------------------------ */

typedef struct _hk_input {
    GFilterInputStream parent;
    GOutputStream *output;
    GSocket *socket;
    h1_reader *reader;
    uint32_t refused_status; /* HTTP status; 0: nothing refused */
    uint64_t dropped_bytes;
    bool refusal_sent;
} _hk_input;

typedef struct _hk_inputClass {
    GFilterInputStreamClass parent;
} _hk_inputClass;

static void _hk_pollable_init(GPollableInputStreamInterface *pollable);

static GType _hk_input_get_type(void);
G_DEFINE_TYPE_WITH_CODE(_hk_input, _hk_input, G_TYPE_FILTER_INPUT_STREAM,
                        G_IMPLEMENT_INTERFACE(G_TYPE_POLLABLE_INPUT_STREAM,
                                              _hk_pollable_init))

/* Returns false: a body follows if the head says so. */
static bool
_hk_on_head(const h1_head *head, void *user_data)
{
    (void)head;
    (void)user_data;
    return false;
}

static void
_hk_on_body(const char *bytes, size_t count, void *user_data)
{
    (void)bytes;
    (void)count;
    (void)user_data;
}

static const h1_callbacks _hk_calls = {.head = _hk_on_head,
                                       .body = _hk_on_body};

/* Returns the number of bytes that the library may see: all, or those before a
   refused request. */
static size_t
_hk_check_requests(_hk_input *input, const char *bytes, size_t count)
{
    size_t used = 0;
    size_t passed = 0;
    while (used < count) {
        used += h1_feed(input->reader, bytes + used, count - used);
        switch (h1_query_state(input->reader)) {
        case H1_DONE:
            h1_reset(input->reader);
            passed = used;
            break;
        case H1_TOO_LARGE:
            input->refused_status = 431;
            return passed;
        case H1_BROKEN:
            input->refused_status = 400;
            return passed;
        default:
            break;
        }
    }
    return count;
}

/* Sends the refusal and shuts down the output. Called when the library reads
   again: it has then answered all earlier requests, so that no other answer is
   being written. */
static void
_hk_send_refusal(_hk_input *input)
{
    input->refusal_sent = true;
    er_code code =
        input->refused_status == 431 ? ER_HEAD_TOO_LARGE : ER_BAD_REQUEST;
    ct_count_refused(code);
    lg_write(LG_CALL_REFUSED, "type", er_query_name(code), "ran", "not_run",
             NULL);
    g_autofree char *body =
        hp_format_error(&(hp_refusal){.code = code, .ran = DR_RAN_NOT_RUN});
    g_autofree char *text = g_strdup_printf(
        "HTTP/1.1 %u %s\r\nConnection: close\r\n"
        "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
        input->refused_status, h1_query_reason(input->refused_status),
        strlen(body), body);
    g_autoptr(GError) error = NULL;
    gssize sent = g_pollable_output_stream_write_nonblocking(
        G_POLLABLE_OUTPUT_STREAM(input->output), text, strlen(text), NULL,
        &error);
    if (sent < 0 || !g_socket_shutdown(input->socket, FALSE, TRUE, &error)) {
        lg_write(LG_REFUSAL_NOT_SENT, "reason", error->message, NULL);
    }
}

/* Returns whether a refusal is to be sent at the next read of the library. The
   read must then happen even if the caller sends no more bytes. */
static bool
_hk_answer_pending(const _hk_input *input)
{
    return input->refused_status && !input->refusal_sent;
}

/* Handles input after a refusal: discards it, and ends the input when the
   limit is reached. */
static gssize
_hk_discard(_hk_input *input, gssize size, GError **error)
{
    if (_hk_answer_pending(input)) {
        _hk_send_refusal(input);
    }
    input->dropped_bytes += (uint64_t)MAX(size, 0);
    if (size <= 0 || input->dropped_bytes > _HK_MAX_DROPPED_BYTES) {
        return size < 0 ? size : 0;
    }
    g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK,
                        "dropping what follows a refused request");
    return -1;
}

static gssize
_hk_read_nonblocking(GPollableInputStream *stream, void *buffer, gsize count,
                     GError **error)
{
    _hk_input *input = (_hk_input *)stream;
    GInputStream *base = G_FILTER_INPUT_STREAM(stream)->base_stream;
    gssize size = g_pollable_input_stream_read_nonblocking(
        G_POLLABLE_INPUT_STREAM(base), buffer, count, NULL, error);
    if (input->refused_status) {
        return _hk_discard(input, size, error);
    }
    if (size <= 0) {
        return size;
    }
    size_t passed = _hk_check_requests(input, buffer, (size_t)size);
    return passed ? (gssize)passed : _hk_discard(input, size, error);
}

static GSource *
_hk_create_source(GPollableInputStream *stream, GCancellable *cancellable)
{
    GInputStream *base = G_FILTER_INPUT_STREAM(stream)->base_stream;
    if (_hk_answer_pending((_hk_input *)stream)) {
        GSource *now = g_pollable_source_new_full(stream, NULL, cancellable);
        g_source_set_ready_time(now, 0);
        return now;
    }
    g_autoptr(GSource) readable = g_pollable_input_stream_create_source(
        G_POLLABLE_INPUT_STREAM(base), NULL);
    return g_pollable_source_new_full(stream, readable, cancellable);
}

static gboolean
_hk_is_readable(GPollableInputStream *stream)
{
    GInputStream *base = G_FILTER_INPUT_STREAM(stream)->base_stream;
    return _hk_answer_pending((_hk_input *)stream) ||
           g_pollable_input_stream_is_readable(G_POLLABLE_INPUT_STREAM(base));
}

static void
_hk_pollable_init(GPollableInputStreamInterface *pollable)
{
    pollable->read_nonblocking = _hk_read_nonblocking;
    pollable->create_source = _hk_create_source;
    pollable->is_readable = _hk_is_readable;
}

/* Required by the base class; the library uses only nonblocking reads. */
static gssize
_hk_read(GInputStream *stream, void *buffer, gsize count,
         GCancellable *cancellable, GError **error)
{
    (void)cancellable;
    return _hk_read_nonblocking(G_POLLABLE_INPUT_STREAM(stream), buffer, count,
                                error);
}

static void
_hk_input_finalize(GObject *object)
{
    _hk_input *input = (_hk_input *)object;
    h1_destroy(input->reader);
    g_clear_object(&input->output);
    g_clear_object(&input->socket);
    G_OBJECT_CLASS(_hk_input_parent_class)->finalize(object);
}

static void
_hk_input_class_init(_hk_inputClass *class)
{
    G_OBJECT_CLASS(class)->finalize = _hk_input_finalize;
    G_INPUT_STREAM_CLASS(class)->read_fn = _hk_read;
}

static void
_hk_input_init(_hk_input *input)
{
    (void)input;
}

/* -- private: the wrapped connection -------------------------------------- */

typedef struct _hk_stream {
    GIOStream parent;
    GIOStream *base;
    GInputStream *input;
} _hk_stream;

typedef struct _hk_streamClass {
    GIOStreamClass parent;
} _hk_streamClass;

static GType _hk_stream_get_type(void);
G_DEFINE_TYPE(_hk_stream, _hk_stream, G_TYPE_IO_STREAM)

static GInputStream *
_hk_stream_input(GIOStream *stream)
{
    return ((_hk_stream *)stream)->input;
}

static GOutputStream *
_hk_stream_output(GIOStream *stream)
{
    return g_io_stream_get_output_stream(((_hk_stream *)stream)->base);
}

static gboolean
_hk_stream_close(GIOStream *stream, GCancellable *cancellable, GError **error)
{
    return g_io_stream_close(((_hk_stream *)stream)->base, cancellable, error);
}

static void
_hk_stream_finalize(GObject *object)
{
    _hk_stream *stream = (_hk_stream *)object;
    G_OBJECT_CLASS(_hk_stream_parent_class)->finalize(object);
    g_clear_object(&stream->input);
    g_clear_object(&stream->base);
}

static void
_hk_stream_class_init(_hk_streamClass *class)
{
    G_OBJECT_CLASS(class)->finalize = _hk_stream_finalize;
    G_IO_STREAM_CLASS(class)->get_input_stream = _hk_stream_input;
    G_IO_STREAM_CLASS(class)->get_output_stream = _hk_stream_output;
    G_IO_STREAM_CLASS(class)->close_fn = _hk_stream_close;
}

static void
_hk_stream_init(_hk_stream *stream)
{
    (void)stream;
}

/* -- public --------------------------------------------------------------- */

GIOStream *
hk_wrap(const hk_desc *desc)
{
    g_assert(desc->base && desc->socket);
    _hk_input *input = g_object_new(_hk_input_get_type(), "base-stream",
                                    g_io_stream_get_input_stream(desc->base),
                                    "close-base-stream", FALSE, NULL);
    input->output = g_object_ref(g_io_stream_get_output_stream(desc->base));
    input->socket = g_object_ref(desc->socket);
    input->reader = h1_create(&(h1_desc){
        .kind = H1_REQUEST,
        .head_bytes = desc->head_bytes ? desc->head_bytes : _HK_HEAD_BYTES,
        .calls = &_hk_calls,
        .user_data = input});
    _hk_stream *stream = g_object_new(_hk_stream_get_type(), NULL);
    stream->base = g_object_ref(desc->base);
    stream->input = G_INPUT_STREAM(input);
    return G_IO_STREAM(stream);
}
