/*
 * heap.h: intrusive pairing heaps (prefix hp_).
 *
 * The least key comes first; equal keys leave in the order of insertion. The
 * node is a field of the item, so nothing is allocated. Push is O(1), pop and
 * remove are O(log n) amortised. A zeroed heap is empty, a zeroed node is in
 * no heap.
 *
 * Limits: the order of equal keys holds for insertions less than 2^31 apart.
 */
#ifndef LACEWING_DECISIONS_HEAP_H
#define LACEWING_DECISIONS_HEAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct hp_node {
    struct hp_node *child; /* first child */
    struct hp_node *next;  /* next sibling */
    struct hp_node
        *previous; /* previous sibling; the parent of a first child */
    uint64_t key;
    uint32_t order; /* of insertion, breaks ties of equal keys */
    bool queued;    /* in a heap */
} hp_node;

typedef struct hp_heap {
    hp_node *root;
    uint32_t count;
    uint32_t pushes; /* the order of the next node, may wrap around */
} hp_heap;

/* Returns the item that contains a node; NULL for NULL. */
#define HP_ITEM(node, type, member)                                           \
    ((node) ? (type *)(void *)((char *)(node)-offsetof(type, member))         \
            : (type *)NULL)

/* commands */
/* Inserts a node, which must not be in a heap. */
void hp_push(hp_heap *heap, hp_node *node, uint64_t key);
/* Removes a node from its heap; does nothing when it is in none. */
void hp_remove(hp_heap *heap, hp_node *node);
/* Removes and returns the least node; NULL when the heap is empty. */
hp_node *hp_pop(hp_heap *heap);

/* queries */
/* Returns the least node; NULL when the heap is empty. */
hp_node *hp_query_least(const hp_heap *heap);

#endif
