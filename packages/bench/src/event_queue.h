/*
 * event_queue.h: virtual time (prefix eq_).
 *
 * Calls to make at given times, made in the order of time and, at the same
 * time, in the order in which they were pushed.
 *
 *     eq_queue *queue = eq_create();
 *     eq_push(queue, 1000, on_step, engine, (eq_args){.index = 3});
 *     while (eq_run_next(queue)) {
 *     }
 *     eq_destroy(queue);
 *
 * Limits: one thread. What eq_args.data points to comes from GLib's
 * allocator; the call frees it, and eq_destroy() frees what was not called.
 */
#ifndef BENCH_EVENT_QUEUE_H
#define BENCH_EVENT_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct eq_queue eq_queue;

/* What a call gets besides its owner. */
typedef struct eq_args {
    uint32_t index;
    uint64_t value;
    void *data;
} eq_args;

typedef void (*eq_call)(void *owner, uint64_t now_us, const eq_args *args);

eq_queue *eq_create(void);
void eq_destroy(eq_queue *queue);
/* A time that has passed stands for now. */
void eq_push(eq_queue *queue, uint64_t at_us, eq_call call, void *owner,
             eq_args args);
/* Makes the next call; false when there is none. */
bool eq_run_next(eq_queue *queue);

/* queries */
uint64_t eq_query_now_us(const eq_queue *queue);

#endif
