/*
 * targets.h: decoders under fuzzing (prefix fz_).
 *
 * Each target takes any bytes and must neither crash nor read out of bounds.
 * fuzz_NAME (clang, -DLACEWING_FUZZ=ON) searches for bytes that break one;
 * test_fuzz replays a fixed corpus and fixed mutations of it on every run.
 *
 *     fz_frames(bytes, size);
 *
 * Limits: no target keeps state between calls.
 */
#ifndef LACEWING_FUZZ_TARGETS_H
#define LACEWING_FUZZ_TARGETS_H

#include <stddef.h>
#include <stdint.h>

/* Frames and envelopes of the links between instances. */
void fz_frames(const uint8_t *bytes, size_t size);
/* Server-sent events of engines. */
void fz_events(const uint8_t *bytes, size_t size);
/* Edits of the configuration, as the administration API takes them. */
void fz_edits(const uint8_t *bytes, size_t size);
/* A whole configuration. */
void fz_config(const uint8_t *bytes, size_t size);
/* Requests and answers in HTTP/1.1. */
void fz_http(const uint8_t *bytes, size_t size);
/* Rows, entries and reports of the users' platform. */
void fz_platform(const uint8_t *bytes, size_t size);

#endif
