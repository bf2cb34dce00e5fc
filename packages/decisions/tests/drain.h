/* drain.h: takes all pending actions out of a policy and finds some of them
   by their type (prefix drain_). */
#ifndef LACEWING_TESTS_DRAIN_H
#define LACEWING_TESTS_DRAIN_H

#include "lacewing/decisions.h"
#include <stddef.h>

#define DRAIN_MAX 512

typedef struct drain {
    lwd_action actions[DRAIN_MAX];
    uint32_t count;
} drain;

/* Returns the pending actions, up to DRAIN_MAX; valid until the next call. */
static inline drain *
drain_all(lwd_policy *policy)
{
    static drain taken;
    taken.count = 0;
    while (taken.count < DRAIN_MAX &&
           lwd_next_action(policy, &taken.actions[taken.count])) {
        taken.count++;
    }
    return &taken;
}

/* Returns the action of a type at index nth among them, or NULL. */
static inline const lwd_action *
drain_find(const drain *taken, lwd_action_type type, uint32_t nth)
{
    for (uint32_t at = 0; at < taken->count; at++) {
        if (taken->actions[at].type == type && nth-- == 0) {
            return &taken->actions[at];
        }
    }
    return NULL;
}

static inline uint32_t
drain_count(const drain *taken, lwd_action_type type)
{
    uint32_t count = 0;
    while (drain_find(taken, type, count)) {
        count++;
    }
    return count;
}

#endif
