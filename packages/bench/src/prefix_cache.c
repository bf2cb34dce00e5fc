/* LRU cache of prompt prefixes of an engine. */
#include "prefix_cache.h"

px_touch_result
px_touch(px_cache *cache, uint64_t prefix)
{
    uint32_t at = 0;
    while (at < cache->count && cache->prefixes[at] != prefix) {
        at++;
    }
    px_touch_result result = {.hit = at < cache->count};
    if (!result.hit && cache->count < PX_PREFIXES) {
        cache->count++;
    }
    else if (!result.hit) {
        at = 0;
        result.evicted = cache->prefixes[0];
    }
    for (; at + 1 < cache->count; at++) {
        cache->prefixes[at] = cache->prefixes[at + 1];
    }
    cache->prefixes[cache->count - 1] = prefix;
    return result;
}
