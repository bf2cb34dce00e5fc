/* The scheduler of virtual time: a binary heap of callbacks. */
#include "event_queue.h"
#include <glib.h>

typedef struct eq_item {
    uint64_t at_us;
    uint64_t sequence; /* of the push, breaks ties of equal times */
    eq_callback callback;
    void *owner;
    eq_args args;
} eq_item;

struct eq_queue {
    GArray *items; /* eq_item, a binary heap */
    uint64_t now_us;
    uint64_t sequence;
};

eq_queue *
eq_create(void)
{
    eq_queue *queue = g_new0(eq_queue, 1);
    queue->items = g_array_new(FALSE, FALSE, sizeof(eq_item));
    return queue;
}

void
eq_destroy(eq_queue *queue)
{
    for (guint i = 0; i < queue->items->len; i++) {
        g_free(g_array_index(queue->items, eq_item, i).args.data);
    }
    g_array_unref(queue->items);
    g_free(queue);
}

static bool
_is_before(const eq_item *one, const eq_item *other)
{
    if (one->at_us != other->at_us) {
        return one->at_us < other->at_us;
    }
    return one->sequence < other->sequence;
}

static void
_sift_up(eq_item *items, guint at)
{
    eq_item item = items[at];
    while (at > 0 && _is_before(&item, &items[(at - 1) / 2])) {
        items[at] = items[(at - 1) / 2];
        at = (at - 1) / 2;
    }
    items[at] = item;
}

static void
_sift_down(eq_item *items, guint count)
{
    eq_item item = items[0];
    guint at = 0;
    for (guint child = 1; child < count; child = 2 * at + 1) {
        if (child + 1 < count &&
            _is_before(&items[child + 1], &items[child])) {
            child++;
        }
        if (!_is_before(&items[child], &item)) {
            break;
        }
        items[at] = items[child];
        at = child;
    }
    items[at] = item;
}

void
eq_push(eq_queue *queue, uint64_t at_us, eq_callback callback, void *owner,
        eq_args args)
{
    eq_item item = {.at_us = MAX(at_us, queue->now_us),
                    .sequence = queue->sequence++,
                    .callback = callback,
                    .owner = owner,
                    .args = args};
    g_array_append_val(queue->items, item);
    _sift_up((eq_item *)(void *)queue->items->data, queue->items->len - 1);
}

bool
eq_run_next(eq_queue *queue)
{
    guint count = queue->items->len;
    if (count == 0) {
        return false;
    }
    eq_item *items = (eq_item *)(void *)queue->items->data;
    eq_item next = items[0];
    items[0] = items[count - 1];
    g_array_set_size(queue->items, count - 1);
    if (count > 2) {
        _sift_down(items, count - 1);
    }
    queue->now_us = next.at_us;
    next.callback(next.owner, next.at_us, &next.args);
    return true;
}

uint64_t
eq_query_now_us(const eq_queue *queue)
{
    return queue->now_us;
}
