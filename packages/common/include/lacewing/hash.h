/*
 * hash.h: hashes that are equal on every instance (prefix hs_).
 *
 * The hashes depend on the input alone, so that instances can compare them
 * and store them.
 *
 *     uint64_t tag = hs_u64("adapter-7@3");
 *     g_autofree char *digest = hs_sha256("secret");
 *
 * Limits: plain SHA-256, without salt or key stretching. Suitable for tags and
 * digests of random keys, not for passwords that people choose.
 */
#ifndef LACEWING_HASH_H
#define LACEWING_HASH_H

#include <stddef.h>
#include <stdint.h>

/* Returns the first 8 bytes of the SHA-256 digest as a big-endian number. */
uint64_t hs_u64(const char *text);
uint64_t hs_u64_bytes(const void *bytes, size_t size);
/* Returns the SHA-256 digest of a string in hexadecimal. Free it with
   g_free(). */
char *hs_sha256(const char *text);

#endif
