#include "lacewing/hash.h"

#include <glib.h>
#include <string.h>

uint64_t
hs_u64_bytes(const void *bytes, size_t size)
{
    g_autoptr(GChecksum) checksum = g_checksum_new(G_CHECKSUM_SHA256);
    g_checksum_update(checksum, bytes, (gssize)size);
    guint8 digest[32];
    gsize digest_bytes = sizeof(digest);
    g_checksum_get_digest(checksum, digest, &digest_bytes);
    uint64_t big_endian;
    memcpy(&big_endian, digest, sizeof(big_endian));
    return GUINT64_FROM_BE(big_endian);
}

uint64_t
hs_u64(const char *text)
{
    return hs_u64_bytes(text, strlen(text));
}

char *
hs_sha256(const char *text)
{
    return g_compute_checksum_for_string(G_CHECKSUM_SHA256, text, -1);
}
