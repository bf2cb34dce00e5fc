/*
 * timer.h: periodic and one-shot timers (prefix tm_).
 *
 * A service runs the timers of one main context and passes the monotonic time
 * to each callback. Other modules take the time only from here, so that tests
 * can control it.
 *
 *     tm_service *timers = tm_create(&(tm_desc){0});
 *     tm_timer heartbeat = tm_make_timer(timers, &(tm_timer_desc){
 *         .period_ms = 200, .call = on_heartbeat, .user_data = peer});
 *     tm_destroy_timer(timers, heartbeat);
 *     tm_destroy(timers);
 *
 * A periodic timer is due again one period after its last call, so that calls
 * missed while the loop was busy are not made up for.
 *
 * Limits: all calls come from the thread that runs the default main context;
 * resolution 1 ms.
 */
#ifndef LACEWING_TIMER_H
#define LACEWING_TIMER_H

#include <stdbool.h>
#include <stdint.h>

typedef struct tm_service tm_service;

/* Handle of a timer. Ids are not reused; 0 is never a timer. */
typedef struct tm_timer {
    uint64_t id;
} tm_timer;

typedef void (*tm_call)(uint64_t now_us, void *user_data);

typedef struct tm_desc {
    uint32_t timer_capacity; /* most timers at one time; default 65536 */
} tm_desc;

typedef struct tm_timer_desc {
    uint32_t period_ms; /* time to the first call and between calls */
    bool once;          /* the timer ends by itself before its first call */
    tm_call call;       /* required; may create and destroy timers */
    void *user_data;
} tm_timer_desc;

tm_service *tm_create(const tm_desc *desc);
void tm_destroy(tm_service *timers);

/* Starts a timer. Its id is 0 if timer_capacity timers exist. */
tm_timer tm_make_timer(tm_service *timers, const tm_timer_desc *desc);
/* Ends a timer. Has no effect on one that has already ended. */
void tm_destroy_timer(tm_service *timers, tm_timer timer);

/* Queries. tm_is_valid() returns whether a timer has not ended yet. */
bool tm_is_valid(const tm_service *timers, tm_timer timer);
uint64_t tm_query_now_us(const tm_service *timers);
/* Returns the wall-clock time, which may jump: only for records that people
   read. */
uint64_t tm_query_wall_ms(void);

#endif
