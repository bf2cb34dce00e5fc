#include "pool.h"

#include <glib.h>
#include <string.h>

void
po_setup(po_pool *pool, const po_desc *desc)
{
    *pool = (po_pool){.desc = *desc};
    uint64_t most = (uint64_t)1 << desc->index_bits;
    if (pool->desc.capacity > most) {
        pool->desc.capacity = (uint32_t)most;
    }
    uint32_t capacity = pool->desc.capacity;
    pool->items = g_malloc0_n(capacity, desc->item_bytes);
    pool->generations = g_new0(uint32_t, capacity);
    pool->free_slots = g_new0(uint32_t, capacity);
    pool->live = g_new0(uint8_t, capacity);
}

void
po_shutdown(po_pool *pool)
{
    g_free(pool->items);
    g_free(pool->generations);
    g_free(pool->free_slots);
    g_free(pool->live);
    *pool = (po_pool){0};
}

static uint64_t
_po_id(const po_pool *pool, uint32_t slot)
{
    return (uint64_t)pool->generations[slot] << pool->desc.index_bits | slot;
}

/* Returns the next generation; skips 0 so that no id is 0. */
static uint32_t
_po_next_generation(const po_pool *pool, uint32_t generation)
{
    uint64_t mask = ((uint64_t)1 << pool->desc.generation_bits) - 1;
    uint32_t next = (uint32_t)(((uint64_t)generation + 1) & mask);
    return next ? next : 1;
}

void *
po_make(po_pool *pool, uint64_t *id)
{
    uint32_t slot = 0;
    if (pool->free_count) {
        slot = pool->free_slots[--pool->free_count];
    }
    else if (pool->used_slots < pool->desc.capacity) {
        slot = pool->used_slots++;
    }
    else {
        return NULL;
    }
    pool->generations[slot] =
        _po_next_generation(pool, pool->generations[slot]);
    pool->live[slot] = 1;
    char *item = pool->items + (size_t)slot * pool->desc.item_bytes;
    memset(item, 0, pool->desc.item_bytes);
    *id = _po_id(pool, slot);
    return item;
}

void
po_destroy(po_pool *pool, void *item)
{
    uint32_t slot = po_query_index(pool, item);
    g_assert(pool->live[slot]);
    pool->live[slot] = 0;
    pool->free_slots[pool->free_count++] = slot;
}

void *
po_query_item(const po_pool *pool, uint64_t id)
{
    uint64_t slot = id & (((uint64_t)1 << pool->desc.index_bits) - 1);
    if (slot >= pool->used_slots || !pool->live[slot] ||
        _po_id(pool, (uint32_t)slot) != id) {
        return NULL;
    }
    return pool->items + slot * pool->desc.item_bytes;
}

bool
po_query_stale(const po_pool *pool, uint64_t id)
{
    uint64_t slot = id & (((uint64_t)1 << pool->desc.index_bits) - 1);
    uint64_t generation = id >> pool->desc.index_bits;
    return id != 0 && slot < pool->used_slots && generation != 0 &&
           generation <= pool->generations[slot] && !po_query_item(pool, id);
}

uint32_t
po_query_index(const po_pool *pool, const void *item)
{
    return (uint32_t)((size_t)((const char *)item - pool->items) /
                      pool->desc.item_bytes);
}

uint32_t
po_query_live(const po_pool *pool)
{
    return pool->used_slots - pool->free_count;
}

size_t
po_query_bytes(const po_pool *pool)
{
    return (size_t)pool->desc.capacity *
           (pool->desc.item_bytes + 2 * sizeof(uint32_t) + 1);
}
