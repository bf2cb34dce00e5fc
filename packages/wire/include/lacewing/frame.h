/*
 * frame.h: frames on links between daemons (prefix fr_).
 *
 * A frame is a 4-byte big-endian length of the payload, the payload's CRC-32
 * in 4 bytes big-endian, and the payload: one packed Lacewing__Envelope.
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
 * Limits: after a failure the decoder stays failed; the link must be closed,
 * since the next frame's start is unknown.
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
    uint32_t payload_bytes_max; /* default 4 MiB */
} fr_desc;

typedef struct fr_decoder fr_decoder;

fr_decoder *fr_create(const fr_desc *desc);
void fr_destroy(fr_decoder *decoder);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(fr_decoder, fr_destroy)

/* Appends one frame to out. */
void fr_encode(const Lacewing__Envelope *envelope, GByteArray *out);

/* Takes in bytes as they arrived. */
void fr_push(fr_decoder *decoder, const uint8_t *bytes, size_t size);

/* Takes out the next envelope, or NULL when no whole frame is there.
   ER_FRAME_TOO_LARGE, ER_FRAME_CORRUPT: see the limits above. */
er_code fr_next(fr_decoder *decoder, Lacewing__Envelope **envelope,
                er_status *status);

/* Says whether the stream may end here: ER_FRAME_TRUNCATED inside a frame. */
er_code fr_query_end(const fr_decoder *decoder, er_status *status);

#endif
