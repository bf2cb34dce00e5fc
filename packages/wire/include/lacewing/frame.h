/*
 * frame.h: message frames on links between daemons (prefix fr_).
 *
 * A frame consists of the length of the payload in bytes, the CRC-32 of the
 * payload, both as 4-byte big-endian numbers, and the payload: one packed
 * Lacewing__Envelope (lacewing.proto). The decoder takes bytes in pieces of
 * any size, as they are received.
 *
 *     fr_encode(&envelope, out);
 *
 *     fr_decoder *decoder = fr_create(&(fr_desc){0});
 *     fr_push(decoder, bytes, size);
 *     Lacewing__Envelope *envelope;
 *     while (fr_next(decoder, &envelope, &status) == ER_OK && envelope) {
 *         lacewing__envelope__free_unpacked(envelope, NULL);
 *     }
 *     fr_destroy(decoder);
 *
 * Limits: after an error the decoder returns that error for ever. The link
 * must be closed, because the start of the next frame is unknown.
 */
#ifndef LACEWING_FRAME_H
#define LACEWING_FRAME_H

#include "lacewing.pb-c.h"
#include "lacewing/error.h"
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#define FR_HEADER_BYTES 8

typedef struct fr_desc {
    uint32_t payload_bytes_max; /* longest payload accepted; default 4 MiB */
} fr_desc;

typedef struct fr_decoder fr_decoder;

fr_decoder *fr_create(const fr_desc *desc);
void fr_destroy(fr_decoder *decoder);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(fr_decoder, fr_destroy)

/* Appends one frame to out. */
void fr_encode(const Lacewing__Envelope *envelope, GByteArray *out);

/* Adds received bytes. */
void fr_push(fr_decoder *decoder, const uint8_t *bytes, size_t size);

/* Returns the next envelope, to be freed by the caller, or NULL if no whole
   frame has been received yet. Fails with ER_FRAME_TOO_LARGE or
   ER_FRAME_CORRUPT, see the limits above. */
er_code fr_next(fr_decoder *decoder, Lacewing__Envelope **envelope,
                er_status *status);

/* Returns ER_OK if the stream may end here, and ER_FRAME_TRUNCATED if it would
   end within a frame. */
er_code fr_query_end(const fr_decoder *decoder, er_status *status);

#endif
