/* The prompt prefixes that an engine holds. */
#include "prefix_cache.h"

px_use
px_touch(px_cache *cache, uint64_t prefix)
{
    uint32_t at = 0;
    while (at < cache->count && cache->prefixes[at] != prefix) {
        at++;
    }
    px_use use = {.held = at < cache->count};
    if (!use.held && cache->count < PX_PREFIXES) {
        cache->count++;
    }
    else if (!use.held) {
        at = 0;
        use.evicted = cache->prefixes[0];
    }
    for (; at + 1 < cache->count; at++) {
        cache->prefixes[at] = cache->prefixes[at + 1];
    }
    cache->prefixes[cache->count - 1] = prefix;
    return use;
}
