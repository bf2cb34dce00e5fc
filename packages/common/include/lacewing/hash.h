/*
 * hash.h: hashes that are the same on every instance (prefix hs_).
 *
 *     uint64_t tag = hs_u64("adapter-7@3");
 *     g_autofree char *digest = hs_sha256("secret");
 *
 * Limits: built on GLib's SHA-256; for tags and key digests, not for
 * passwords that people choose.
 */
#ifndef LACEWING_HASH_H
#define LACEWING_HASH_H

#include <stddef.h>
#include <stdint.h>

/* First 8 bytes, big-endian, of the SHA-256 of a string. */
uint64_t hs_u64(const char *text);
uint64_t hs_u64_bytes(const void *bytes, size_t size);
/* SHA-256 of a string in hexadecimal; free with g_free(). */
char *hs_sha256(const char *text);

#endif
