/*
 * timer.h: the timer service that parts subscribe to (prefix tm_).
 *
 * One service for each main context. A part subscribes with a period or for
 * one shot and gets the monotonic time with each call. Parts take the time
 * from here only, so that a test can drive them by hand.
 *
 *     tm_service *timers = tm_create(&(tm_desc){0});
 *     tm_timer beat = tm_make_timer(timers, &(tm_timer_desc){
 *         .period_ms = 200, .call = on_beat, .user_data = peer});
 *     tm_destroy_timer(timers, beat);
 *     tm_destroy(timers);
 *
 * Limits: one thread, the one that runs the context; resolution 1 ms.
 */
#ifndef LACEWING_TIMER_H
#define LACEWING_TIMER_H

#include <stdbool.h>
#include <stdint.h>

typedef struct tm_service tm_service;

/* Id with generation; 0 is never a timer. */
typedef struct tm_timer {
    uint64_t id;
} tm_timer;

typedef void (*tm_call)(uint64_t now_us, void *user_data);

typedef struct tm_desc {
    uint32_t timer_capacity; /* live timers; default 65536 */
} tm_desc;

typedef struct tm_timer_desc {
    uint32_t period_ms; /* time to the first call and between calls */
    bool once;          /* one call, then the timer ends by itself */
    tm_call call;       /* required */
    void *user_data;
} tm_timer_desc;

tm_service *tm_create(const tm_desc *desc);
void tm_destroy(tm_service *timers);

tm_timer tm_make_timer(tm_service *timers, const tm_timer_desc *desc);
/* Ends a timer; a timer that has ended already is left alone. */
void tm_destroy_timer(tm_service *timers, tm_timer timer);

/* queries */
bool tm_is_valid(const tm_service *timers, tm_timer timer);
uint64_t tm_query_now_us(const tm_service *timers);
/* Wall-clock time, only for records that people read. */
uint64_t tm_query_wall_ms(void);

#endif
