#include "lacewing/timer.h"

#include <glib.h>

#define _TM_DEFAULT_CAPACITY 65536
#define _TM_US_PER_MS 1000

/* All timers share one GSource, because the main context checks every source
   in each iteration. */
struct tm_service {
    GHashTable *timers; /* id -> _tm_timer */
    GSequence *due;     /* of _tm_timer, by due time */
    GSource *source;
    uint64_t next_id;
    uint32_t capacity;
};

typedef struct _tm_timer {
    uint64_t id;
    uint64_t due_us; /* monotonic time */
    uint32_t period_ms;
    bool once;
    tm_call call;
    void *user_data;
    GSequenceIter *due_iter; /* position in due; NULL if removed from it */
} _tm_timer;

/* -- private: timers by due time ------------------------------------------ */

static gint
_tm_compare(gconstpointer a, gconstpointer b, gpointer user_data)
{
    (void)user_data;
    const _tm_timer *left = a;
    const _tm_timer *right = b;
    if (left->due_us != right->due_us) {
        return left->due_us < right->due_us ? -1 : 1;
    }
    return left->id < right->id ? -1 : left->id > right->id;
}

static _tm_timer *
_tm_soonest(const tm_service *timers)
{
    GSequenceIter *first = g_sequence_get_begin_iter(timers->due);
    return g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
}

static void
_tm_arm(tm_service *timers)
{
    const _tm_timer *soonest = _tm_soonest(timers);
    g_source_set_ready_time(timers->source,
                            soonest ? (gint64)soonest->due_us : -1);
}

static void
_tm_insert(tm_service *timers, _tm_timer *timer, uint64_t due_us)
{
    timer->due_us = due_us;
    timer->due_iter =
        g_sequence_insert_sorted(timers->due, timer, _tm_compare, NULL);
}

/* -- private: event source ------------------------------------------------ */

static void
_tm_fire(tm_service *timers, _tm_timer *timer, uint64_t now_us)
{
    tm_call call = timer->call;
    void *user_data = timer->user_data;
    g_sequence_remove(timer->due_iter);
    timer->due_iter = NULL;
    if (timer->once) {
        g_hash_table_remove(timers->timers, &timer->id);
    }
    else {
        _tm_insert(timers, timer,
                   now_us + (uint64_t)timer->period_ms * _TM_US_PER_MS);
    }
    call(now_us, user_data);
}

static gboolean
_tm_dispatch(GSource *source, GSourceFunc callback, gpointer data)
{
    (void)source;
    (void)callback;
    tm_service *timers = *(tm_service **)(void *)(source + 1);
    (void)data;
    uint64_t now_us = (uint64_t)g_get_monotonic_time();
    _tm_timer *timer;
    while ((timer = _tm_soonest(timers)) && timer->due_us <= now_us) {
        _tm_fire(timers, timer, now_us);
    }
    _tm_arm(timers);
    return G_SOURCE_CONTINUE;
}

static GSourceFuncs _tm_source_funcs = {.dispatch = _tm_dispatch};

static void
_tm_free(void *data)
{
    _tm_timer *timer = data;
    if (timer->due_iter) {
        g_sequence_remove(timer->due_iter);
    }
    g_free(timer);
}

/* -- public --------------------------------------------------------------- */

tm_service *
tm_create(const tm_desc *desc)
{
    tm_service *timers = g_new0(tm_service, 1);
    timers->timers =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, _tm_free);
    timers->due = g_sequence_new(NULL);
    timers->next_id = 1;
    timers->capacity =
        desc->timer_capacity ? desc->timer_capacity : _TM_DEFAULT_CAPACITY;
    timers->source =
        g_source_new(&_tm_source_funcs, sizeof(GSource) + sizeof(timers));
    *(tm_service **)(void *)(timers->source + 1) = timers;
    g_source_attach(timers->source, NULL);
    return timers;
}

void
tm_destroy(tm_service *timers)
{
    if (timers) {
        g_source_destroy(timers->source);
        g_source_unref(timers->source);
        g_hash_table_unref(timers->timers);
        g_sequence_free(timers->due);
        g_free(timers);
    }
}

tm_timer
tm_make_timer(tm_service *timers, const tm_timer_desc *desc)
{
    g_assert(desc->call);
    if (g_hash_table_size(timers->timers) >= timers->capacity) {
        return (tm_timer){0};
    }
    _tm_timer *timer = g_new0(_tm_timer, 1);
    timer->id = timers->next_id++;
    timer->period_ms = desc->period_ms;
    timer->once = desc->once;
    timer->call = desc->call;
    timer->user_data = desc->user_data;
    g_hash_table_insert(timers->timers, &timer->id, timer);
    _tm_insert(timers, timer,
               (uint64_t)g_get_monotonic_time() +
                   (uint64_t)desc->period_ms * _TM_US_PER_MS);
    _tm_arm(timers);
    return (tm_timer){timer->id};
}

void
tm_destroy_timer(tm_service *timers, tm_timer timer)
{
    if (timer.id && g_hash_table_remove(timers->timers, &timer.id)) {
        _tm_arm(timers);
    }
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
