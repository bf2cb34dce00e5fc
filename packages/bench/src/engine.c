/* Fake of one backend server's engine. */
#include "engine.h"
#include "prefix_cache.h"
#include <glib.h>

#define CACHE_EVENT_DELAY_US 1000000
#define CACHE_EVENT_LOSS_PERCENT 10 /* of cache events */
#define CACHED_PROMPT_SHARE 0.6     /* of a prompt's tokens, on a cache hit */
#define REPORT_PERIOD_US 500000
#define REPORT_DELAY_US 2000000
#define PROGRESS_PERIOD_US 100000

typedef enum en_adapter_state {
    EN_ADAPTER_NONE = 0, /* the slot is free */
    EN_ADAPTER_LOADING,
    EN_ADAPTER_RESIDENT,
} en_adapter_state;

/* An adapter slot. */
typedef struct en_adapter {
    en_adapter_state state;
    uint32_t adapter;
    uint64_t loaded_us;
} en_adapter;

struct en_engine {
    en_desc desc;
    GRand *random;
    GArray *running; /* en_job */
    GArray *waiting; /* en_job, by priority and sequence */
    en_adapter *adapters;
    px_cache cache;
    uint64_t sequence;
    uint64_t generation; /* number of restarts; callbacks and loads of an
                            earlier generation have no effect */
    double fault_factor; /* on the time of a step, set by en_slow() */
    bool up;
    bool stepping; /* a step is running */
    en_totals totals;
};

/* -- private: events ------------------------------------------------------ */

static void
_deliver_event(void *owner, uint64_t now_us, const eq_args *args)
{
    en_engine *engine = owner;
    g_autofree en_event *event = args->data;
    engine->desc.on_event(engine->desc.user_data, now_us, event);
}

static void
_emit(en_engine *engine, uint64_t delay_us, const en_event *event)
{
    en_event *copy = g_memdup2(event, sizeof(*event));
    copy->server = engine->desc.server;
    uint64_t now_us = eq_query_now_us(engine->desc.queue);
    eq_push(engine->desc.queue, now_us + delay_us, _deliver_event, engine,
            (eq_args){.data = copy});
}

static void
_emit_job_event(en_engine *engine, const en_job *job, lwd_event_type type)
{
    _emit(engine, 0,
          &(en_event){
              .type = type, .key = job->key, .tokens = job->tokens_made});
}

static void
_emit_failed(en_engine *engine, const en_job *job, lwd_failure failure)
{
    _emit(engine, 0,
          &(en_event){.type = LWD_EVENT_FAILED,
                      .key = job->key,
                      .tokens = job->tokens_made,
                      .failure = failure});
}

static void
_on_report(void *owner, uint64_t now_us, const eq_args *args)
{
    (void)args;
    en_engine *engine = owner;
    if (engine->up) {
        _emit(engine, REPORT_DELAY_US,
              &(en_event){.type = LWD_EVENT_LOAD_REPORT,
                          .running = engine->running->len,
                          .waiting = engine->waiting->len,
                          .sampled_us = now_us});
    }
    eq_push(engine->desc.queue, now_us + REPORT_PERIOD_US, _on_report, engine,
            (eq_args){0});
}

/* -- private: prefix cache ------------------------------------------------ */

static void
_emit_cache_event(en_engine *engine, uint64_t prefix, bool resident)
{
    if (g_rand_int_range(engine->random, 0, 100) < CACHE_EVENT_LOSS_PERCENT) {
        return;
    }
    _emit(engine, CACHE_EVENT_DELAY_US,
          &(en_event){.type = LWD_EVENT_CACHE,
                      .prefix = prefix,
                      .resident = resident});
}

/* Uses a prefix of the cache; returns true if it was cached. */
static bool
_use_prefix(en_engine *engine, uint64_t prefix)
{
    px_touch_result result = px_touch(&engine->cache, prefix);
    if (result.evicted != 0) {
        _emit_cache_event(engine, result.evicted, false);
    }
    if (!result.hit) {
        _emit_cache_event(engine, prefix, true);
    }
    return result.hit;
}

static uint32_t
_prefill_tokens(en_engine *engine, const en_job *job)
{
    uint32_t tokens = job->prompt_tokens;
    if (job->prefix != 0 && _use_prefix(engine, job->prefix)) {
        tokens -= (uint32_t)(tokens * CACHED_PROMPT_SHARE);
    }
    return tokens + job->tokens_made;
}

/* -- private: steps ------------------------------------------------------- */

static void _on_step(void *owner, uint64_t now_us, const eq_args *args);

static void
_begin_step(en_engine *engine)
{
    uint32_t prefill = 0;
    while (engine->waiting->len > 0 &&
           engine->running->len < engine->desc.slots) {
        en_job job = g_array_index(engine->waiting, en_job, 0);
        g_array_remove_index(engine->waiting, 0);
        prefill += _prefill_tokens(engine, &job);
        job.started = true;
        g_array_append_val(engine->running, job);
    }
    engine->stepping = engine->running->len > 0;
    if (!engine->stepping) {
        return;
    }
    engine->totals.steps++;
    uint64_t time_us = en_query_step_us(engine, engine->running->len, prefill);
    eq_push(engine->desc.queue, eq_query_now_us(engine->desc.queue) + time_us,
            _on_step, engine, (eq_args){.value = engine->generation});
}

/* Makes one more token of a job; returns true if the job leaves the batch. */
static bool
_advance(en_engine *engine, en_job *job, uint64_t now_us)
{
    job->tokens_made++;
    engine->totals.tokens++;
    if (!job->first_token) {
        job->first_token = true;
        job->progress_us = now_us;
        _emit_job_event(engine, job, LWD_EVENT_FIRST_TOKEN);
    }
    if (job->tokens_made >= job->answer_tokens) {
        _emit_job_event(engine, job, LWD_EVENT_FINISHED);
        return true;
    }
    if (job->pausing) {
        _emit_job_event(engine, job, LWD_EVENT_PAUSED);
        return true;
    }
    if (now_us - job->progress_us >= PROGRESS_PERIOD_US) {
        job->progress_us = now_us;
        _emit_job_event(engine, job, LWD_EVENT_PROGRESS);
    }
    return false;
}

static void
_on_step(void *owner, uint64_t now_us, const eq_args *args)
{
    en_engine *engine = owner;
    if (args->value != engine->generation) {
        return;
    }
    guint kept = 0;
    for (guint i = 0; i < engine->running->len; i++) {
        en_job *job = &g_array_index(engine->running, en_job, i);
        if (!_advance(engine, job, now_us)) {
            g_array_index(engine->running, en_job, kept) = *job;
            kept++;
        }
    }
    g_array_set_size(engine->running, kept);
    _begin_step(engine);
}

/* The first step begins after all callbacks that are due at the same time, so
   that jobs that are sent together start in the same step. */
static void
_on_step_start(void *owner, uint64_t now_us, const eq_args *args)
{
    (void)now_us;
    en_engine *engine = owner;
    if (args->value == engine->generation && !engine->stepping) {
        _begin_step(engine);
    }
}

static void
_schedule_step(en_engine *engine)
{
    if (!engine->stepping) {
        eq_push(engine->desc.queue, 0, _on_step_start, engine,
                (eq_args){.value = engine->generation});
    }
}

/* -- private: adapters ---------------------------------------------------- */

static en_adapter *
_find_adapter(const en_engine *engine, uint32_t adapter)
{
    for (uint32_t i = 0; i < engine->desc.adapter_slots; i++) {
        en_adapter *entry = &engine->adapters[i];
        if (entry->state != EN_ADAPTER_NONE && entry->adapter == adapter) {
            return entry;
        }
    }
    return NULL;
}

static en_adapter *
_find_free_slot(const en_engine *engine)
{
    for (uint32_t i = 0; i < engine->desc.adapter_slots; i++) {
        if (engine->adapters[i].state == EN_ADAPTER_NONE) {
            return &engine->adapters[i];
        }
    }
    return NULL;
}

/* A load that the weight store is transferring. */
typedef struct en_load_transfer {
    uint32_t adapter;
    uint64_t generation;
    bool failed;
} en_load_transfer;

static void
_on_loaded(void *owner, uint64_t now_us, const eq_args *args)
{
    en_engine *engine = owner;
    g_autofree en_load_transfer *transfer = args->data;
    ws_finish(engine->desc.store);
    if (transfer->generation != engine->generation) {
        return; /* en_restart() has reported the failure */
    }
    en_adapter *entry = _find_adapter(engine, transfer->adapter);
    g_assert(entry != NULL && entry->state == EN_ADAPTER_LOADING);
    entry->state = transfer->failed ? EN_ADAPTER_NONE : EN_ADAPTER_RESIDENT;
    entry->loaded_us = now_us;
    _emit(engine, 0,
          &(en_event){.type = transfer->failed ? LWD_EVENT_LOAD_FAILED
                                               : LWD_EVENT_LOAD_DONE,
                      .adapter = transfer->adapter});
}

static bool
_in_use(const GArray *jobs, uint32_t adapter)
{
    for (guint i = 0; i < jobs->len; i++) {
        if (g_array_index(jobs, en_job, i).adapter == adapter) {
            return true;
        }
    }
    return false;
}

static int
_find_job(const GArray *jobs, uint64_t key)
{
    for (guint i = 0; i < jobs->len; i++) {
        if (g_array_index(jobs, en_job, i).key == key) {
            return (int)i;
        }
    }
    return -1;
}

/* -- create and destroy --------------------------------------------------- */

en_engine *
en_create(const en_desc *desc)
{
    en_engine *engine = g_new0(en_engine, 1);
    engine->desc = *desc;
    engine->desc.slots = desc->slots ? desc->slots : EN_SLOTS;
    engine->desc.adapter_slots =
        desc->adapter_slots ? desc->adapter_slots : EN_ADAPTER_SLOTS;
    engine->desc.slowness = desc->slowness > 0 ? desc->slowness : 1;
    engine->fault_factor = 1;
    engine->up = true;
    engine->random = g_rand_new_with_seed(desc->seed);
    engine->running = g_array_new(FALSE, FALSE, sizeof(en_job));
    engine->waiting = g_array_new(FALSE, FALSE, sizeof(en_job));
    engine->adapters = g_new0(en_adapter, engine->desc.adapter_slots);
    /* The first reports of the servers are spread over the period. */
    uint64_t first_us = REPORT_PERIOD_US / 20 * (desc->server % 20 + 1);
    eq_push(desc->queue, first_us, _on_report, engine, (eq_args){0});
    return engine;
}

void
en_destroy(en_engine *engine)
{
    g_rand_free(engine->random);
    g_array_unref(engine->running);
    g_array_unref(engine->waiting);
    g_free(engine->adapters);
    g_free(engine);
}

/* -- commands ------------------------------------------------------------- */

void
en_send(en_engine *engine, const en_job *job)
{
    if (!engine->up) {
        _emit_failed(engine, job, LWD_FAILURE_NOT_STARTED);
        return;
    }
    if (!en_query_resident(engine, job->adapter)) {
        _emit_failed(engine, job, LWD_FAILURE_NOT_RESIDENT);
        return;
    }
    en_job copy = *job;
    copy.sequence = engine->sequence++;
    copy.started = false;
    copy.first_token = false;
    copy.pausing = false;
    guint at = engine->waiting->len;
    while (at > 0 && g_array_index(engine->waiting, en_job, at - 1).priority >
                         copy.priority) {
        at--;
    }
    g_array_insert_val(engine->waiting, at, copy);
    _schedule_step(engine);
}

bool
en_cancel(en_engine *engine, uint64_t key)
{
    int at = _find_job(engine->waiting, key);
    if (at >= 0) {
        g_array_remove_index(engine->waiting, (guint)at);
        return true;
    }
    at = _find_job(engine->running, key);
    if (at >= 0) {
        g_array_remove_index(engine->running, (guint)at);
        return true;
    }
    return false;
}

void
en_pause(en_engine *engine, uint64_t key)
{
    int at = _find_job(engine->running, key);
    if (at >= 0) {
        g_array_index(engine->running, en_job, at).pausing = true;
        return;
    }
    at = _find_job(engine->waiting, key);
    if (at >= 0) {
        en_job job = g_array_index(engine->waiting, en_job, at);
        g_array_remove_index(engine->waiting, (guint)at);
        _emit_job_event(engine, &job, LWD_EVENT_PAUSED);
    }
}

void
en_load(en_engine *engine, uint32_t adapter)
{
    en_adapter *slot = _find_free_slot(engine);
    if (!engine->up || slot == NULL ||
        _find_adapter(engine, adapter) != NULL) {
        _emit(engine, 0,
              &(en_event){.type = LWD_EVENT_LOAD_FAILED, .adapter = adapter});
        return;
    }
    *slot = (en_adapter){.state = EN_ADAPTER_LOADING, .adapter = adapter};
    ws_load load =
        ws_start(engine->desc.store, eq_query_now_us(engine->desc.queue));
    en_load_transfer *transfer = g_new0(en_load_transfer, 1);
    *transfer = (en_load_transfer){.adapter = adapter,
                                   .generation = engine->generation,
                                   .failed = load.failed};
    eq_push(engine->desc.queue, load.done_us, _on_loaded, engine,
            (eq_args){.data = transfer});
}

void
en_evict(en_engine *engine, uint32_t adapter)
{
    en_adapter *entry = _find_adapter(engine, adapter);
    if (entry == NULL || entry->state != EN_ADAPTER_RESIDENT ||
        _in_use(engine->running, adapter) ||
        _in_use(engine->waiting, adapter)) {
        return;
    }
    entry->state = EN_ADAPTER_NONE;
    _emit(engine, 0,
          &(en_event){.type = LWD_EVENT_EVICT_DONE, .adapter = adapter});
}

static void
_on_cold_start_done(void *owner, uint64_t now_us, const eq_args *args)
{
    (void)now_us;
    en_engine *engine = owner;
    if (args->value == engine->generation) {
        engine->up = true;
    }
}

void
en_restart(en_engine *engine)
{
    engine->generation++;
    engine->up = false;
    engine->stepping = false;
    for (guint i = 0; i < engine->running->len; i++) {
        _emit_failed(engine, &g_array_index(engine->running, en_job, i),
                     LWD_FAILURE_DIED);
    }
    for (guint i = 0; i < engine->waiting->len; i++) {
        _emit_failed(engine, &g_array_index(engine->waiting, en_job, i),
                     LWD_FAILURE_NOT_STARTED);
    }
    g_array_set_size(engine->running, 0);
    g_array_set_size(engine->waiting, 0);
    for (uint32_t i = 0; i < engine->desc.adapter_slots; i++) {
        if (engine->adapters[i].state == EN_ADAPTER_LOADING) {
            _emit(engine, 0,
                  &(en_event){.type = LWD_EVENT_LOAD_FAILED,
                              .adapter = engine->adapters[i].adapter});
        }
        engine->adapters[i].state = EN_ADAPTER_NONE;
    }
    engine->cache = (px_cache){0};
    uint64_t now_us = eq_query_now_us(engine->desc.queue);
    eq_push(engine->desc.queue, now_us + EN_COLD_START_MS * 1000ULL,
            _on_cold_start_done, engine,
            (eq_args){.value = engine->generation});
}

void
en_slow(en_engine *engine, double factor)
{
    engine->fault_factor = factor;
}

/* -- queries -------------------------------------------------------------- */

en_totals
en_query_totals(const en_engine *engine)
{
    return engine->totals;
}

bool
en_query_up(const en_engine *engine)
{
    return engine->up;
}

bool
en_query_resident(const en_engine *engine, uint32_t adapter)
{
    return en_query_loaded_us(engine, adapter) != 0;
}

uint64_t
en_query_loaded_us(const en_engine *engine, uint32_t adapter)
{
    const en_adapter *entry = _find_adapter(engine, adapter);
    if (entry == NULL || entry->state != EN_ADAPTER_RESIDENT) {
        return 0;
    }
    return entry->loaded_us;
}

uint64_t
en_query_step_us(const en_engine *engine, uint32_t jobs,
                 uint32_t prompt_tokens)
{
    double time_us = EN_STEP_BASE_US + EN_STEP_PER_JOB_US * jobs +
                     EN_PREFILL_PER_TOKEN_US * prompt_tokens;
    return (uint64_t)(time_us * engine->desc.slowness * engine->fault_factor);
}
