#include "byte_budget.h"

void
bb_set(bb_budget *budget, bb_share *share, void *owner, uint64_t bytes)
{
    if (share->bytes == 0 && bytes > 0) {
        share->owner = owner;
        share->link.data = share;
        g_queue_push_tail_link(&budget->shares, &share->link);
    }
    else if (share->bytes > 0 && bytes == 0) {
        g_queue_unlink(&budget->shares, &share->link);
    }
    budget->used_bytes += bytes - share->bytes;
    share->bytes = bytes;
}

void *
bb_query_excess(const bb_budget *budget)
{
    if (budget->used_bytes <= budget->max_bytes) {
        return NULL;
    }
    const bb_share *largest = NULL;
    for (const GList *at = budget->shares.head; at; at = at->next) {
        const bb_share *share = at->data;
        if (!largest || share->bytes > largest->bytes) {
            largest = share;
        }
    }
    return largest ? largest->owner : NULL;
}
