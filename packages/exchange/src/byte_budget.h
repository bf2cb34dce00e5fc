/*
 * byte_budget.h: memory that many buffers share (prefix bb_).
 *
 * Each owner of a buffer has a bb_share and reports its size whenever that
 * changes. While the sum is over the limit, bb_query_excess() names the owner
 * of the largest buffer, which has to free it, so that small buffers are never
 * given up for large ones.
 *
 *     bb_set(budget, &self->share, self, bytes);
 *     while ((owner = bb_query_excess(budget))) { drop_buffer(owner); }
 *
 * This serves servers that answer without end, many at a time. The owner
 * decides what becomes of a request whose buffer it frees.
 *
 * Limits: bb_query_excess() looks at all shares if the budget is exceeded; no
 * memory is allocated here.
 */
#ifndef LACEWING_BYTE_BUDGET_H
#define LACEWING_BYTE_BUDGET_H

#include <glib.h>
#include <stdint.h>

typedef struct bb_budget {
    uint64_t max_bytes;
    uint64_t used_bytes;
    GQueue shares; /* bb_share, all that are not empty */
} bb_budget;

/* Part of its owner; all zero at first. */
typedef struct bb_share {
    GList link; /* in bb_budget.shares */
    void *owner;
    uint64_t bytes;
} bb_share;

/* Sets the size of the owner's buffer; 0: it has none. Must be 0 before the
   owner is freed. */
void bb_set(bb_budget *budget, bb_share *share, void *owner, uint64_t bytes);

/* queries */
/* Returns the owner of the largest buffer if the budget is exceeded, else
   NULL. */
void *bb_query_excess(const bb_budget *budget);

#endif
