#include "lacewing/timer.h"

#include <glib.h>

#define _TM_CAPACITY 65536

struct tm_service {
    GHashTable *timers; /* id -> _tm_timer */
    uint64_t next_id;
    uint32_t capacity;
};

typedef struct _tm_timer {
    tm_service *service;
    uint64_t id;
    guint source_id;
    bool once;
    tm_call call;
    void *user_data;
} _tm_timer;

static void
_tm_free(void *data)
{
    _tm_timer *timer = data;
    if (timer->source_id) {
        g_source_remove(timer->source_id);
    }
    g_free(timer);
}

tm_service *
tm_create(const tm_desc *desc)
{
    tm_service *timers = g_new0(tm_service, 1);
    timers->timers =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, _tm_free);
    timers->next_id = 1;
    timers->capacity =
        desc->timer_capacity ? desc->timer_capacity : _TM_CAPACITY;
    return timers;
}

void
tm_destroy(tm_service *timers)
{
    if (timers) {
        g_hash_table_unref(timers->timers);
        g_free(timers);
    }
}

static gboolean
_tm_fire(void *data)
{
    _tm_timer *timer = data;
    tm_service *service = timer->service;
    uint64_t id = timer->id;
    tm_call call = timer->call;
    void *user_data = timer->user_data;
    bool once = timer->once;
    if (once) {
        timer->source_id = 0;
        g_hash_table_remove(service->timers, &id);
    }
    call((uint64_t)g_get_monotonic_time(), user_data);
    return once ? G_SOURCE_REMOVE : G_SOURCE_CONTINUE;
}

tm_timer
tm_make_timer(tm_service *timers, const tm_timer_desc *desc)
{
    g_assert(desc->call);
    if (g_hash_table_size(timers->timers) >= timers->capacity) {
        return (tm_timer){0};
    }
    _tm_timer *timer = g_new0(_tm_timer, 1);
    timer->service = timers;
    timer->id = timers->next_id++;
    timer->once = desc->once;
    timer->call = desc->call;
    timer->user_data = desc->user_data;
    g_hash_table_insert(timers->timers, &timer->id, timer);
    timer->source_id = g_timeout_add(desc->period_ms, _tm_fire, timer);
    return (tm_timer){timer->id};
}

void
tm_destroy_timer(tm_service *timers, tm_timer timer)
{
    g_hash_table_remove(timers->timers, &timer.id);
}

bool
tm_is_valid(const tm_service *timers, tm_timer timer)
{
    return g_hash_table_contains(timers->timers, &timer.id);
}

uint64_t
tm_query_now_us(const tm_service *timers)
{
    (void)timers;
    return (uint64_t)g_get_monotonic_time();
}

uint64_t
tm_query_wall_ms(void)
{
    return (uint64_t)g_get_real_time() / 1000;
}
