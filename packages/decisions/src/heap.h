/*
 * heap.h: intrusive pairing heaps (prefix hp_).
 *
 * Least key first; equal keys leave in the order they came. The node lives in
 * the item, nothing is allocated. Push is O(1), pop and remove O(log n)
 * amortised. A zeroed heap is empty, a zeroed node is in no heap.
 */
#ifndef LACEWING_DECISIONS_HEAP_H
#define LACEWING_DECISIONS_HEAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct hp_node {
    struct hp_node *child;    /* first child */
    struct hp_node *next;     /* next sibling */
    struct hp_node *previous; /* previous sibling, or parent of a first one */
    uint64_t key;
    uint32_t order; /* of arrival, parts equal keys */
    bool queued;
} hp_node;

typedef struct hp_heap {
    hp_node *root;
    uint32_t count;
    uint32_t pushes;
} hp_heap;

/* The item that holds a node; NULL for NULL. */
#define HP_ITEM(node, type, member)                                           \
    ((node) ? (type *)(void *)((char *)(node)-offsetof(type, member))         \
            : (type *)NULL)

/* commands */
void hp_push(hp_heap *heap, hp_node *node, uint64_t key);
/* Takes a node out; one that is in no heap is left alone. */
void hp_remove(hp_heap *heap, hp_node *node);
/* Takes the least node out; NULL when the heap is empty. */
hp_node *hp_pop(hp_heap *heap);

/* queries */
hp_node *hp_query_least(const hp_heap *heap);

#endif
