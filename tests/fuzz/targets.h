/*
 * targets.h: fuzz targets for the decoders of untrusted input (prefix fz_).
 *
 * Each target passes arbitrary bytes to one decoder or writer, which must
 * neither crash nor read out of bounds, and aborts where the property that is
 * named at it does not hold. The libFuzzer programs fuzz_NAME (clang,
 * -DLACEWING_FUZZ=ON) search for input that breaks a decoder. test_fuzz runs
 * the targets on a fixed corpus and on mutations of it with a fixed seed.
 *
 *     fz_frames(bytes, size);
 *
 * No target keeps state between calls.
 */
#ifndef LACEWING_FUZZ_TARGETS_H
#define LACEWING_FUZZ_TARGETS_H

#include <stddef.h>
#include <stdint.h>

/* Frames and envelopes of the links between instances. */
void fz_frames(const uint8_t *bytes, size_t size);
/* Server-sent events from engines. */
void fz_events(const uint8_t *bytes, size_t size);
/* Edits of the configuration, as the administration API accepts them. */
void fz_edits(const uint8_t *bytes, size_t size);
/* A complete configuration (INI). */
void fz_config(const uint8_t *bytes, size_t size);
/* HTTP/1.1 requests and responses. */
void fz_http(const uint8_t *bytes, size_t size);
/* Events of a stream that is cut into pieces: the same events as in one piece,
   nothing of an unfinished one, and work that is linear in the bytes. */
void fz_stream(const uint8_t *bytes, size_t size);
/* An order with names made of the bytes: it has its own members and no other,
   with these names as their values. */
void fz_order(const uint8_t *bytes, size_t size);
/* Rows, operators, servers and reports in the dialect of the users'
   platform. */
void fz_platform(const uint8_t *bytes, size_t size);

#endif
