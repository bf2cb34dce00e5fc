#include "prefix_cache.h"

#include <glib.h>
#include <string.h>

#define _PC_CAPACITY 256
#define _PC_LAG_MS 500
#define _PC_GAP_EVERY 13
#define _PC_HEX 16

typedef struct _pc_event {
    uint64_t sequence;
    uint64_t at_us;
    char prefix[_PC_HEX + 1];
    bool added;
} _pc_event;

struct pc_cache {
    pc_desc desc;
    GQueue order;      /* prefixes, the latest used first */
    GHashTable *links; /* prefix -> link of order */
    GQueue events;     /* _pc_event, the oldest first */
    uint64_t sequence;
};

/* -- private -------------------------------------------------------------- */

static char *
_pc_prefix(const char *prompt)
{
    gsize size = MIN(strlen(prompt), PC_PREFIX_BYTES);
    char *hex = g_compute_checksum_for_data(G_CHECKSUM_MD5,
                                            (const guchar *)prompt, size);
    hex[_PC_HEX] = '\0';
    return hex;
}

static void
_pc_note(pc_cache *cache, uint64_t now_us, const char *prefix, bool added)
{
    cache->sequence++;
    if (cache->sequence % cache->desc.gap_every == 0) {
        return;
    }
    _pc_event *event = g_new0(_pc_event, 1);
    event->sequence = cache->sequence;
    event->at_us = now_us;
    event->added = added;
    g_strlcpy(event->prefix, prefix, sizeof(event->prefix));
    g_queue_push_tail(&cache->events, event);
    if (cache->events.length > PC_EVENTS) {
        g_free(g_queue_pop_head(&cache->events));
    }
}

static void
_pc_drop_last(pc_cache *cache, uint64_t now_us)
{
    g_autofree char *prefix = g_queue_pop_tail(&cache->order);
    g_hash_table_remove(cache->links, prefix);
    _pc_note(cache, now_us, prefix, false);
}

/* -- public --------------------------------------------------------------- */

pc_cache *
pc_create(const pc_desc *desc)
{
    pc_cache *cache = g_new0(pc_cache, 1);
    cache->desc = (pc_desc){
        .capacity = desc->capacity ? desc->capacity : _PC_CAPACITY,
        .lag_ms = desc->lag_ms ? desc->lag_ms : _PC_LAG_MS,
        .gap_every = desc->gap_every ? desc->gap_every : _PC_GAP_EVERY,
    };
    g_queue_init(&cache->order);
    g_queue_init(&cache->events);
    cache->links = g_hash_table_new(g_str_hash, g_str_equal);
    return cache;
}

void
pc_destroy(pc_cache *cache)
{
    g_hash_table_unref(cache->links);
    g_queue_clear_full(&cache->order, g_free);
    g_queue_clear_full(&cache->events, g_free);
    g_free(cache);
}

bool
pc_touch(pc_cache *cache, uint64_t now_us, const char *prompt)
{
    char *prefix = _pc_prefix(prompt);
    GList *link = g_hash_table_lookup(cache->links, prefix);
    if (link) {
        g_queue_unlink(&cache->order, link);
        g_queue_push_head_link(&cache->order, link);
        g_free(prefix);
        return true;
    }
    g_queue_push_head(&cache->order, prefix);
    g_hash_table_insert(cache->links, prefix, cache->order.head);
    _pc_note(cache, now_us, prefix, true);
    if (cache->order.length > cache->desc.capacity) {
        _pc_drop_last(cache, now_us);
    }
    return false;
}

void
pc_clear(pc_cache *cache, uint64_t now_us)
{
    while (cache->order.length) {
        _pc_drop_last(cache, now_us);
    }
}

char *
pc_query_json(const pc_cache *cache, uint64_t now_us, uint64_t after)
{
    GString *page = g_string_new("");
    uint64_t next = after;
    for (GList *item = cache->events.head; item; item = item->next) {
        const _pc_event *event = item->data;
        bool published =
            event->at_us + cache->desc.lag_ms * UINT64_C(1000) <= now_us;
        if (!published || event->sequence <= after) {
            continue;
        }
        g_string_append_printf(page,
                               "%s{\"seq\":%" G_GUINT64_FORMAT
                               ",\"prefix\":\"%s\","
                               "\"added\":%s}",
                               page->len ? "," : "", event->sequence,
                               event->prefix, event->added ? "true" : "false");
        next = event->sequence;
    }
    char *json = g_strdup_printf(
        "{\"next\":%" G_GUINT64_FORMAT ",\"events\":[%s]}", next, page->str);
    g_string_free(page, TRUE);
    return json;
}
