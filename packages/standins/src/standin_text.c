#include "lacewing/standin_text.h"

#include <glib.h>
#include <string.h>

#define _TX_TOKEN_COUNT_MARKER "#tokens="

/* -- private -------------------------------------------------------------- */

/* One step of the pseudo-random generator splitmix64. */
static uint64_t
_tx_mix(uint64_t value)
{
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31);
}

/* -- public --------------------------------------------------------------- */

uint64_t
tx_query_seed(const char *model, const char *prompt)
{
    g_autoptr(GChecksum) checksum = g_checksum_new(G_CHECKSUM_MD5);
    g_checksum_update(checksum, (const guchar *)model,
                      (gssize)strlen(model) + 1);
    g_checksum_update(checksum, (const guchar *)prompt,
                      (gssize)strlen(prompt));
    guint8 digest[16];
    gsize size = sizeof(digest);
    g_checksum_get_digest(checksum, digest, &size);
    uint64_t seed = 0;
    memcpy(&seed, digest, sizeof(seed));
    return seed;
}

void
tx_query_token(uint64_t seed, const char *model, uint32_t index,
               char text[TX_TOKEN_BYTES])
{
    if (index == 0) {
        g_snprintf(text, TX_TOKEN_BYTES, "%s:", model);
        return;
    }
    uint32_t word = (uint32_t)(_tx_mix(seed + index) >> 40);
    g_snprintf(text, TX_TOKEN_BYTES, " %06x", word);
}

uint32_t
tx_query_token_count(const char *prompt, uint32_t max_tokens)
{
    const char *marker = strstr(prompt, _TX_TOKEN_COUNT_MARKER);
    if (!marker) {
        return max_tokens;
    }
    uint64_t requested =
        g_ascii_strtoull(marker + strlen(_TX_TOKEN_COUNT_MARKER), NULL, 10);
    return (uint32_t)CLAMP(requested, 1, MAX(max_tokens, 1));
}

char *
tx_query_answer(const char *model, const char *prompt, uint32_t max_tokens)
{
    uint64_t seed = tx_query_seed(model, prompt);
    uint32_t length = tx_query_token_count(prompt, max_tokens);
    GString *answer = g_string_new(NULL);
    for (uint32_t i = 0; i < length; i++) {
        char text[TX_TOKEN_BYTES];
        tx_query_token(seed, model, i, text);
        g_string_append(answer, text);
    }
    return g_string_free(answer, FALSE);
}
