/*
 * pool.h: fixed pools with generations (prefix po_).
 *
 * Items of one size, allocated once. Each slot counts its uses in a
 * generation of generation_bits, so that an old id is seen as stale; an id is
 * the generation above the slot's index and is never 0.
 *
 * Limits: a generation comes round after 2^generation_bits uses of one slot.
 */
#ifndef LACEWING_DECISIONS_POOL_H
#define LACEWING_DECISIONS_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct po_desc {
    uint32_t capacity;        /* items */
    size_t item_bytes;        /* of one item */
    uint32_t index_bits;      /* of the id that are the slot's index */
    uint32_t generation_bits; /* of the id above those */
} po_desc;

typedef struct po_pool {
    po_desc desc;
    char *items;
    uint32_t *generations; /* of the present or next use */
    uint32_t *free_slots;  /* a stack */
    uint32_t free_count;
    uint32_t used_slots; /* slots below were used at least once */
    uint8_t *live;
} po_pool;

void po_setup(po_pool *pool, const po_desc *desc);
void po_shutdown(po_pool *pool);

/* commands */
/* A zeroed item and its id; NULL when the pool is full. */
void *po_make(po_pool *pool, uint64_t *id);
/* Ends an item; its id is stale from now on. */
void po_destroy(po_pool *pool, void *item);

/* queries */
/* The live item of an id; NULL for a stale or foreign one. */
void *po_query_item(const po_pool *pool, uint64_t id);
/* True when the id was given out once and its item has ended. */
bool po_query_stale(const po_pool *pool, uint64_t id);
uint32_t po_query_index(const po_pool *pool, const void *item);
uint32_t po_query_live(const po_pool *pool);
/* Bytes allocated. */
size_t po_query_bytes(const po_pool *pool);

#endif
