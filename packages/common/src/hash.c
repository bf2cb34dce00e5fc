#include "lacewing/hash.h"

#include <glib.h>
#include <string.h>

uint64_t
hs_u64_bytes(const void *bytes, size_t size)
{
    g_autoptr(GChecksum) sum = g_checksum_new(G_CHECKSUM_SHA256);
    g_checksum_update(sum, bytes, (gssize)size);
    guint8 digest[32];
    gsize digest_bytes = sizeof(digest);
    g_checksum_get_digest(sum, digest, &digest_bytes);
    uint64_t big;
    memcpy(&big, digest, sizeof(big));
    return GUINT64_FROM_BE(big);
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
