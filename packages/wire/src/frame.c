#include "lacewing/frame.h"

#include <string.h>
#include <zlib.h>

#define _FR_DEFAULT_PAYLOAD_BYTES_MAX (4 * 1024 * 1024)

struct fr_decoder {
    GByteArray *buffer;
    size_t read_offset; /* start of the next frame in buffer */
    uint32_t payload_bytes_max;
    er_code failure; /* of an earlier frame; ER_OK: none */
};

static void
_fr_put_u32(uint8_t *bytes, uint32_t value)
{
    uint32_t big_endian = GUINT32_TO_BE(value);
    memcpy(bytes, &big_endian, sizeof(big_endian));
}

static uint32_t
_fr_get_u32(const uint8_t *bytes)
{
    uint32_t big_endian;
    memcpy(&big_endian, bytes, sizeof(big_endian));
    return GUINT32_FROM_BE(big_endian);
}

static uint32_t
_fr_checksum(const uint8_t *bytes, size_t size)
{
    return (uint32_t)crc32(0L, bytes, (uInt)size);
}

fr_decoder *
fr_create(const fr_desc *desc)
{
    fr_decoder *decoder = g_new0(fr_decoder, 1);
    decoder->buffer = g_byte_array_new();
    decoder->payload_bytes_max = desc->payload_bytes_max
                                     ? desc->payload_bytes_max
                                     : _FR_DEFAULT_PAYLOAD_BYTES_MAX;
    return decoder;
}

void
fr_destroy(fr_decoder *decoder)
{
    if (decoder) {
        g_byte_array_unref(decoder->buffer);
        g_free(decoder);
    }
}

void
fr_encode(const Lacewing__Envelope *envelope, GByteArray *out)
{
    size_t size = lacewing__envelope__get_packed_size(envelope);
    guint start = out->len;
    g_byte_array_set_size(out, start + FR_HEADER_BYTES + (guint)size);
    uint8_t *frame = out->data + start;
    lacewing__envelope__pack(envelope, frame + FR_HEADER_BYTES);
    _fr_put_u32(frame, (uint32_t)size);
    _fr_put_u32(frame + 4, _fr_checksum(frame + FR_HEADER_BYTES, size));
}

static void
_fr_compact(fr_decoder *decoder)
{
    if (decoder->read_offset == decoder->buffer->len) {
        g_byte_array_set_size(decoder->buffer, 0);
        decoder->read_offset = 0;
    }
    else if (decoder->read_offset > decoder->buffer->len / 2) {
        g_byte_array_remove_range(decoder->buffer, 0,
                                  (guint)decoder->read_offset);
        decoder->read_offset = 0;
    }
}

void
fr_push(fr_decoder *decoder, const uint8_t *bytes, size_t size)
{
    if (decoder->failure != ER_OK) {
        return;
    }
    _fr_compact(decoder);
    g_byte_array_append(decoder->buffer, bytes, (guint)size);
}

static er_code
_fr_fail(fr_decoder *decoder, er_code code, er_status *status,
         const char *message)
{
    decoder->failure = code;
    return er_set(status, code, "%s", message);
}

er_code
fr_next(fr_decoder *decoder, Lacewing__Envelope **envelope, er_status *status)
{
    *envelope = NULL;
    if (decoder->failure != ER_OK) {
        return er_set(status, decoder->failure,
                      "an earlier frame was invalid");
    }
    const uint8_t *frame = decoder->buffer->data + decoder->read_offset;
    size_t available = decoder->buffer->len - decoder->read_offset;
    if (available < FR_HEADER_BYTES) {
        return ER_OK;
    }
    uint32_t size = _fr_get_u32(frame);
    if (size > decoder->payload_bytes_max) {
        return _fr_fail(decoder, ER_FRAME_TOO_LARGE, status,
                        "the frame's length exceeds the limit");
    }
    if (available < FR_HEADER_BYTES + (size_t)size) {
        return ER_OK;
    }
    const uint8_t *payload = frame + FR_HEADER_BYTES;
    if (_fr_checksum(payload, size) != _fr_get_u32(frame + 4)) {
        return _fr_fail(decoder, ER_FRAME_CORRUPT, status,
                        "the frame's checksum does not match");
    }
    *envelope = lacewing__envelope__unpack(NULL, size, payload);
    if (!*envelope) {
        return _fr_fail(decoder, ER_FRAME_CORRUPT, status,
                        "the frame's payload is not a valid envelope");
    }
    decoder->read_offset += FR_HEADER_BYTES + size;
    return ER_OK;
}

er_code
fr_query_end(const fr_decoder *decoder, er_status *status)
{
    if (decoder->read_offset == decoder->buffer->len) {
        return ER_OK;
    }
    return er_set(status, ER_FRAME_TRUNCATED,
                  "the connection ended within a frame");
}
