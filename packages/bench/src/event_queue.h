/*
 * event_queue.h: the scheduler of virtual time (prefix eq_).
 *
 * Calls callbacks in the order of their due times; those due at the same time
 * are called in the order in which they were pushed. The virtual clock jumps
 * to the due time of each callback.
 *
 *     eq_queue *queue = eq_create();
 *     eq_push(queue, 1000, on_step, engine, (eq_args){.index = 3});
 *     while (eq_run_next(queue)) {
 *     }
 *     eq_destroy(queue);
 *
 * Limits: one thread. eq_args.data is allocated with GLib's allocator or NULL;
 * the callback frees it, and eq_destroy() frees that of callbacks not called.
 */
#ifndef BENCH_EVENT_QUEUE_H
#define BENCH_EVENT_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct eq_queue eq_queue;

/* Arguments of a callback besides its owner; their meaning is up to it. */
typedef struct eq_args {
    uint32_t index;
    uint64_t value;
    void *data;
} eq_args;

typedef void (*eq_callback)(void *owner, uint64_t now_us, const eq_args *args);

eq_queue *eq_create(void);
void eq_destroy(eq_queue *queue);
/* Schedules a callback; one that is due in the past is called at the present
   time. */
void eq_push(eq_queue *queue, uint64_t at_us, eq_callback callback,
             void *owner, eq_args args);
/* Advances the clock to the next callback and calls it. Returns false if none
   is scheduled. */
bool eq_run_next(eq_queue *queue);

/* queries */
uint64_t eq_query_now_us(const eq_queue *queue);

#endif
