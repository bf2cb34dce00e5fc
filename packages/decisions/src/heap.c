#include "heap.h"

#include <glib.h>

/* The comparison of orders is correct after the counter wraps around. */
static bool
_hp_before(const hp_node *left, const hp_node *right)
{
    if (left->key != right->key) {
        return left->key < right->key;
    }
    return (int32_t)(left->order - right->order) < 0;
}

/* Melds two trees into one; either may be NULL. */
static hp_node *
_hp_meld(hp_node *left, hp_node *right)
{
    if (!left || !right) {
        return left ? left : right;
    }
    if (_hp_before(right, left)) {
        hp_node *swapped = left;
        left = right;
        right = swapped;
    }
    right->previous = left;
    right->next = left->child;
    if (left->child) {
        left->child->previous = right;
    }
    left->child = right;
    return left;
}

/* Melds a list of siblings into one tree: in pairs first, then all pairs.
   The two passes give the amortised bound of O(log n). */
static hp_node *
_hp_meld_siblings(hp_node *first)
{
    hp_node *pairs = NULL;
    while (first) {
        hp_node *second = first->next;
        hp_node *rest = second ? second->next : NULL;
        first->next = NULL;
        if (second) {
            second->next = NULL;
        }
        hp_node *pair = _hp_meld(first, second);
        pair->next = pairs;
        pairs = pair;
        first = rest;
    }
    hp_node *root = NULL;
    while (pairs) {
        hp_node *rest = pairs->next;
        pairs->next = NULL;
        root = _hp_meld(root, pairs);
        pairs = rest;
    }
    if (root) {
        root->previous = NULL;
    }
    return root;
}

void
hp_push(hp_heap *heap, hp_node *node, uint64_t key)
{
    g_assert(!node->queued);
    *node = (hp_node){.key = key, .order = heap->pushes++, .queued = true};
    heap->root = _hp_meld(heap->root, node);
    heap->count++;
}

/* Cuts a node that is not a root out of its siblings. */
static void
_hp_unlink(hp_node *node)
{
    if (node->previous->child == node) {
        node->previous->child = node->next;
    }
    else {
        node->previous->next = node->next;
    }
    if (node->next) {
        node->next->previous = node->previous;
    }
}

void
hp_remove(hp_heap *heap, hp_node *node)
{
    if (!node->queued) {
        return;
    }
    hp_node *children = _hp_meld_siblings(node->child);
    if (heap->root == node) {
        heap->root = children;
    }
    else {
        _hp_unlink(node);
        heap->root = _hp_meld(heap->root, children);
    }
    *node = (hp_node){0};
    heap->count--;
}

hp_node *
hp_pop(hp_heap *heap)
{
    hp_node *least = heap->root;
    if (least) {
        hp_remove(heap, least);
    }
    return least;
}

hp_node *
hp_query_least(const hp_heap *heap)
{
    return heap->root;
}
