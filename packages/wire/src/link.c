#include "lacewing/link.h"
#include "lacewing/counter.h"
#include "lacewing/frame.h"

#define _LK_READ_BUFFER_BYTES (64 * 1024)
#define _LK_DEFAULT_QUEUE_BYTES_MAX (16 * 1024 * 1024)

struct lk_link {
    uint32_t references; /* one of the owner until lk_destroy(), and one for
                            each asynchronous operation in progress */
    GIOStream *stream;
    GCancellable *cancellable;
    fr_decoder *decoder;
    GByteArray *queued;  /* to be written next */
    GByteArray *writing; /* being written */
    bool write_pending;
    bool closed;
    lk_message_call on_message;
    lk_closed_call on_closed;
    void *user_data;
    uint32_t queue_bytes_max;
    uint64_t bytes_in;
    uint64_t bytes_out;
    uint8_t read_buffer[_LK_READ_BUFFER_BYTES];
};

static void _lk_start_read(lk_link *link);
static void _lk_start_write(lk_link *link);

static void
_lk_unref(lk_link *link)
{
    link->references--;
    if (link->references > 0) {
        return;
    }
    g_object_unref(link->stream);
    g_object_unref(link->cancellable);
    fr_destroy(link->decoder);
    g_byte_array_unref(link->queued);
    g_byte_array_unref(link->writing);
    g_free(link);
}

static void
_lk_close(lk_link *link)
{
    link->closed = true;
    g_cancellable_cancel(link->cancellable);
    g_io_stream_close_async(link->stream, G_PRIORITY_DEFAULT, NULL, NULL,
                            NULL);
}

static void
_lk_fail(lk_link *link, const er_status *why)
{
    if (link->closed) {
        return;
    }
    _lk_close(link);
    if (link->on_closed) {
        link->on_closed(link, why, link->user_data);
    }
}

static void
_lk_fail_connection(lk_link *link, const GError *error)
{
    er_status why = {0};
    er_set(&why, ER_CONNECTION, "%s",
           error ? error->message : "connection closed by the other end");
    _lk_fail(link, &why);
}

/* -- private: reading ----------------------------------------------------- */

static void
_lk_deliver(lk_link *link)
{
    while (!link->closed) {
        er_status status = {0};
        Lacewing__Envelope *envelope = NULL;
        if (fr_next(link->decoder, &envelope, &status) != ER_OK) {
            ct_add(CT_FRAMES_REFUSED, 1);
            _lk_fail(link, &status);
            return;
        }
        if (!envelope) {
            return;
        }
        link->on_message(link, envelope, link->user_data);
        lacewing__envelope__free_unpacked(envelope, NULL);
    }
}

static void
_lk_on_end(lk_link *link, const GError *error)
{
    er_status why = {0};
    if (!error && fr_query_end(link->decoder, &why) != ER_OK) {
        ct_add(CT_FRAMES_REFUSED, 1);
        _lk_fail(link, &why);
        return;
    }
    _lk_fail_connection(link, error);
}

static void
_lk_on_read(GObject *source, GAsyncResult *result, void *data)
{
    lk_link *link = data;
    g_autoptr(GError) error = NULL;
    gssize size =
        g_input_stream_read_finish(G_INPUT_STREAM(source), result, &error);
    if (!link->closed && size <= 0) {
        _lk_on_end(link, error);
    }
    else if (!link->closed) {
        link->bytes_in += (uint64_t)size;
        ct_add(CT_LINK_BYTES_IN, size);
        fr_push(link->decoder, link->read_buffer, (size_t)size);
        _lk_deliver(link);
        if (!link->closed) {
            _lk_start_read(link);
        }
    }
    _lk_unref(link);
}

static void
_lk_start_read(lk_link *link)
{
    link->references++;
    g_input_stream_read_async(g_io_stream_get_input_stream(link->stream),
                              link->read_buffer, sizeof(link->read_buffer),
                              G_PRIORITY_DEFAULT, link->cancellable,
                              _lk_on_read, link);
}

/* -- private: writing ----------------------------------------------------- */

static void
_lk_on_written(GObject *source, GAsyncResult *result, void *data)
{
    lk_link *link = data;
    g_autoptr(GError) error = NULL;
    gsize size = 0;
    gboolean done = g_output_stream_write_all_finish(G_OUTPUT_STREAM(source),
                                                     result, &size, &error);
    link->write_pending = false;
    link->bytes_out += size;
    ct_add(CT_LINK_BYTES_OUT, (int64_t)size);
    g_byte_array_set_size(link->writing, 0);
    if (!done) {
        _lk_fail_connection(link, error);
    }
    else if (!link->closed) {
        _lk_start_write(link);
    }
    _lk_unref(link);
}

static void
_lk_start_write(lk_link *link)
{
    if (link->write_pending || link->queued->len == 0) {
        return;
    }
    GByteArray *next = link->queued;
    link->queued = link->writing;
    link->writing = next;
    link->write_pending = true;
    link->references++;
    g_output_stream_write_all_async(
        g_io_stream_get_output_stream(link->stream), next->data, next->len,
        G_PRIORITY_DEFAULT, link->cancellable, _lk_on_written, link);
}

/* -- public --------------------------------------------------------------- */

lk_link *
lk_create(const lk_desc *desc)
{
    g_assert(desc->stream && desc->on_message && desc->on_closed);
    lk_link *link = g_new0(lk_link, 1);
    link->references = 1;
    link->stream = g_object_ref(desc->stream);
    link->cancellable = g_cancellable_new();
    link->decoder = fr_create(&(fr_desc){0});
    link->queued = g_byte_array_new();
    link->writing = g_byte_array_new();
    link->on_message = desc->on_message;
    link->on_closed = desc->on_closed;
    link->user_data = desc->user_data;
    link->queue_bytes_max = desc->queue_bytes_max
                                ? desc->queue_bytes_max
                                : _LK_DEFAULT_QUEUE_BYTES_MAX;
    _lk_start_read(link);
    return link;
}

void
lk_destroy(lk_link *link)
{
    if (!link) {
        return;
    }
    link->on_closed = NULL;
    if (!link->closed) {
        _lk_close(link);
    }
    _lk_unref(link);
}

bool
lk_send(lk_link *link, const Lacewing__Envelope *envelope)
{
    if (link->closed) {
        return false;
    }
    fr_encode(envelope, link->queued);
    if (link->queued->len > link->queue_bytes_max) {
        er_status why = {0};
        er_set(&why, ER_OVERLOADED, "the send queue exceeds its limit");
        _lk_fail(link, &why);
        return false;
    }
    _lk_start_write(link);
    return true;
}

bool
lk_is_valid(const lk_link *link)
{
    return link && !link->closed;
}

uint64_t
lk_query_bytes_in(const lk_link *link)
{
    return link->bytes_in;
}

uint64_t
lk_query_bytes_out(const lk_link *link)
{
    return link->bytes_out;
}

uint32_t
lk_query_queued_bytes(const lk_link *link)
{
    return link->queued->len + link->writing->len;
}
