/*
 * pool.h: pools of fixed size whose ids have generations (prefix po_).
 *
 * A pool allocates its items, all of one size, when it is set up. The
 * generation of a slot counts its uses, so that an id of an earlier use is
 * recognised as stale. An id has the slot index in its low index_bits and the
 * generation in the generation_bits above them; it is never 0.
 *
 * Limits: after 2^generation_bits - 1 uses of a slot its ids repeat.
 */
#ifndef LACEWING_DECISIONS_POOL_H
#define LACEWING_DECISIONS_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct po_desc {
    uint32_t capacity; /* items, at most 2^index_bits */
    size_t item_bytes; /* size of one item */
    uint32_t index_bits;
    uint32_t generation_bits;
} po_desc;

typedef struct po_pool {
    po_desc desc;
    char *items;
    uint32_t *generations; /* of the current or last use */
    uint32_t *free_slots;  /* a stack */
    uint32_t free_count;
    uint32_t used_slots; /* slots below this index have been used */
    uint8_t *live;       /* 1: the slot holds an item */
} po_pool;

void po_setup(po_pool *pool, const po_desc *desc);
void po_shutdown(po_pool *pool);

/* commands */
/* Creates a zeroed item and sets its id; returns NULL when the pool is
   full. */
void *po_make(po_pool *pool, uint64_t *id);
/* Frees the slot of an item; its id is stale from then on. */
void po_destroy(po_pool *pool, void *item);

/* queries */
/* Returns the live item of an id; NULL for a stale or unknown id. */
void *po_query_item(const po_pool *pool, uint64_t id);
/* Returns true when the item of the id has been destroyed. */
bool po_query_stale(const po_pool *pool, uint64_t id);
/* Returns the slot index of an item. */
uint32_t po_query_index(const po_pool *pool, const void *item);
/* Returns the number of live items. */
uint32_t po_query_live(const po_pool *pool);
/* Returns the bytes allocated. */
size_t po_query_bytes(const po_pool *pool);

#endif
