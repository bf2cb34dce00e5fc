#include "prefix_cache.h"

#include <glib.h>
#include <string.h>

#define _PC_DEFAULT_CAPACITY 256
#define _PC_DEFAULT_LAG_MS 500
#define _PC_DEFAULT_GAP_EVERY 13
#define _PC_PREFIX_DIGITS 16

typedef struct _pc_event {
    uint64_t sequence;
    uint64_t time_us;
    char prefix[_PC_PREFIX_DIGITS + 1];
    bool added; /* false: evicted */
} _pc_event;

struct pc_cache {
    pc_desc desc;
    GQueue lru;        /* prefixes, the most recently used first */
    GHashTable *links; /* prefix -> its link in lru */
    GQueue events;     /* _pc_event, the oldest first */
    uint64_t sequence; /* of the latest event, lost ones included */
};

/* -- private -------------------------------------------------------------- */

static char *
_pc_prefix(const char *prompt)
{
    gsize size = MIN(strlen(prompt), PC_PREFIX_BYTES);
    char *hex = g_compute_checksum_for_data(G_CHECKSUM_MD5,
                                            (const guchar *)prompt, size);
    hex[_PC_PREFIX_DIGITS] = '\0';
    return hex;
}

/* Records an event, or only counts it if it is one of those to lose. */
static void
_pc_add_event(pc_cache *cache, uint64_t now_us, const char *prefix, bool added)
{
    cache->sequence++;
    if (cache->sequence % cache->desc.gap_every == 0) {
        return;
    }
    _pc_event *event = g_new0(_pc_event, 1);
    event->sequence = cache->sequence;
    event->time_us = now_us;
    event->added = added;
    g_strlcpy(event->prefix, prefix, sizeof(event->prefix));
    g_queue_push_tail(&cache->events, event);
    if (cache->events.length > PC_EVENTS_MAX) {
        g_free(g_queue_pop_head(&cache->events));
    }
}

static void
_pc_evict_oldest(pc_cache *cache, uint64_t now_us)
{
    g_autofree char *prefix = g_queue_pop_tail(&cache->lru);
    g_hash_table_remove(cache->links, prefix);
    _pc_add_event(cache, now_us, prefix, false);
}

/* -- public --------------------------------------------------------------- */

pc_cache *
pc_create(const pc_desc *desc)
{
    pc_cache *cache = g_new0(pc_cache, 1);
    cache->desc = (pc_desc){
        .capacity = desc->capacity ? desc->capacity : _PC_DEFAULT_CAPACITY,
        .lag_ms = desc->lag_ms ? desc->lag_ms : _PC_DEFAULT_LAG_MS,
        .gap_every = desc->gap_every ? desc->gap_every : _PC_DEFAULT_GAP_EVERY,
    };
    g_queue_init(&cache->lru);
    g_queue_init(&cache->events);
    cache->links = g_hash_table_new(g_str_hash, g_str_equal);
    return cache;
}

void
pc_destroy(pc_cache *cache)
{
    g_hash_table_unref(cache->links);
    g_queue_clear_full(&cache->lru, g_free);
    g_queue_clear_full(&cache->events, g_free);
    g_free(cache);
}

bool
pc_touch(pc_cache *cache, uint64_t now_us, const char *prompt)
{
    char *prefix = _pc_prefix(prompt);
    GList *link = g_hash_table_lookup(cache->links, prefix);
    if (link) {
        g_queue_unlink(&cache->lru, link);
        g_queue_push_head_link(&cache->lru, link);
        g_free(prefix);
        return true;
    }
    g_queue_push_head(&cache->lru, prefix);
    g_hash_table_insert(cache->links, prefix, cache->lru.head);
    _pc_add_event(cache, now_us, prefix, true);
    if (cache->lru.length > cache->desc.capacity) {
        _pc_evict_oldest(cache, now_us);
    }
    return false;
}

void
pc_clear(pc_cache *cache, uint64_t now_us)
{
    while (cache->lru.length) {
        _pc_evict_oldest(cache, now_us);
    }
}

char *
pc_query_events_json(const pc_cache *cache, uint64_t now_us, uint64_t after)
{
    GString *events_json = g_string_new("");
    uint64_t next = after;
    for (GList *item = cache->events.head; item; item = item->next) {
        const _pc_event *event = item->data;
        bool published =
            event->time_us + cache->desc.lag_ms * UINT64_C(1000) <= now_us;
        if (!published || event->sequence <= after) {
            continue;
        }
        g_string_append_printf(events_json,
                               "%s{\"seq\":%" G_GUINT64_FORMAT
                               ",\"prefix\":\"%s\","
                               "\"added\":%s}",
                               events_json->len ? "," : "", event->sequence,
                               event->prefix, event->added ? "true" : "false");
        next = event->sequence;
    }
    char *json =
        g_strdup_printf("{\"next\":%" G_GUINT64_FORMAT ",\"events\":[%s]}",
                        next, events_json->str);
    g_string_free(events_json, TRUE);
    return json;
}
