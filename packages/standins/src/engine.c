#include "engine.h"

#include "adapters.h"
#include "lacewing/standin_text.h"
#include <string.h>
#include <unistd.h>

#define _EN_DEFAULT_SLOTS 16 /* for requests and for adapters */
#define _EN_DEFAULT_TOKENS_PER_S 40
#define _EN_DEFAULT_SLOWDOWN_PCT 3
#define _EN_DEFAULT_PREFILL_TOKENS_PER_S 4000
#define _EN_DEFAULT_COLD_START_MS 1500
#define _EN_BYTES_PER_TOKEN 4
#define _EN_HISTORY_PROMPT_BYTES 64
/* A prompt with a cached prefix is read this many times as fast. */
#define _EN_CACHED_PREFILL_DIVISOR 4
#define _EN_CRASH_EXIT_CODE 71

typedef struct _en_run {
    char *attempt;
    char *model;
    char *prompt;
    uint64_t seed;           /* of the token texts */
    uint64_t sequence;       /* order of arrival */
    int64_t priority;        /* lower numbers run first */
    uint32_t next_token;     /* index of the next token to generate */
    uint32_t end_token;      /* index after the last token of the answer */
    bool prompt_sets_length; /* the prompt contains "#tokens=" */
    bool prefix_cached;
    uint64_t prefill_end_us; /* when its prompt has been read */
    void *user_data;
} _en_run;

struct en_engine {
    en_desc desc;
    char incarnation[32];
    ad_slots *adapters;
    GPtrArray *running;    /* of _en_run */
    GQueue waiting;        /* of _en_run, the next to start first */
    GHashTable *open_runs; /* attempt -> _en_run, running or waiting */
    uint64_t next_sequence;
    tm_timer step_timer; /* zero while no step is scheduled */
    uint64_t cold_start_end_us;
    double slow_factor; /* until slow_end_us */
    uint64_t slow_end_us;
    char *crash_text;
};

static void _en_schedule(en_engine *engine);

/* -- private: runs -------------------------------------------------------- */

static void
_en_run_free(_en_run *run)
{
    g_free(run->attempt);
    g_free(run->model);
    g_free(run->prompt);
    g_free(run);
}

/* Orders runs by priority, then by arrival. */
static int
_en_compare_runs(const void *left, const void *right, void *user_data)
{
    (void)user_data;
    const _en_run *a = left;
    const _en_run *b = right;
    if (a->priority != b->priority) {
        return a->priority < b->priority ? -1 : 1;
    }
    return a->sequence < b->sequence ? -1 : 1;
}

/* Begins an event of the history; the caller ends it with hs_end(). */
static void
_en_begin_run_entry(const en_engine *engine, const char *event,
                    const _en_run *run)
{
    hs_begin(engine->desc.history, event);
    hs_add_text(engine->desc.history, "attempt", run->attempt);
    hs_add_text(engine->desc.history, "model", run->model);
    hs_add_text(engine->desc.history, "incarnation", engine->incarnation);
    hs_add_int(engine->desc.history, "tokens", run->next_token);
}

static void
_en_finish_run(en_engine *engine, _en_run *run, en_finish_reason reason)
{
    static const char *const reason_names[EN_FINISH_NUM] = {
        [EN_FINISH_DEFAULT] = "stop",        [EN_FINISH_LENGTH] = "length",
        [EN_FINISH_ABORTED] = "broken",      [EN_FINISH_EVICTED] = "evicted",
        [EN_FINISH_CANCELLED] = "cancelled", [EN_FINISH_PAUSED] = "paused",
    };
    _en_begin_run_entry(engine, "completion", run);
    hs_add_text(engine->desc.history, "reason", reason_names[reason]);
    hs_end(engine->desc.history);
    g_hash_table_remove(engine->open_runs, run->attempt);
    engine->desc.callbacks->on_finish(reason, run->next_token, run->user_data);
    _en_run_free(run);
}

static void
_en_start_run(en_engine *engine, _en_run *run)
{
    _en_begin_run_entry(engine, "start", run);
    g_autofree char *prompt_start =
        g_strndup(run->prompt, _EN_HISTORY_PROMPT_BYTES);
    hs_add_text(engine->desc.history, "prompt", prompt_start);
    hs_end(engine->desc.history);
    if (engine->crash_text && strstr(run->prompt, engine->crash_text)) {
        _exit(_EN_CRASH_EXIT_CODE);
    }
    uint64_t bytes = strlen(run->prompt);
    uint64_t prefill_us = bytes * 1000000U / _EN_BYTES_PER_TOKEN /
                          engine->desc.prefill_tokens_per_s;
    prefill_us /= run->prefix_cached ? _EN_CACHED_PREFILL_DIVISOR : 1;
    run->prefill_end_us = tm_query_now_us(engine->desc.timers) + prefill_us;
    g_ptr_array_add(engine->running, run);
}

/* -- private: steps ------------------------------------------------------- */

static uint32_t
_en_step_ms(const en_engine *engine)
{
    uint32_t others = MAX(engine->running->len, 1) - 1;
    double ms = 1000.0 / engine->desc.tokens_per_s;
    ms *= 1.0 + others * engine->desc.slowdown_pct / 100.0;
    ms *= en_query_slow_factor(engine);
    return (uint32_t)MAX(ms + 0.5, 1.0);
}

static void
_en_generate_token(en_engine *engine, _en_run *run)
{
    char text[TX_TOKEN_BYTES];
    tx_query_token(run->seed, run->model, run->next_token, text);
    engine->desc.callbacks->on_token(run->next_token, text, run->user_data);
    run->next_token++;
}

static void
_en_on_step(uint64_t now_us, void *user_data)
{
    en_engine *engine = user_data;
    engine->step_timer = (tm_timer){0};
    for (guint i = 0; i < engine->running->len;) {
        _en_run *run = g_ptr_array_index(engine->running, i);
        if (run->prefill_end_us <= now_us &&
            run->next_token < run->end_token) {
            _en_generate_token(engine, run);
        }
        if (run->next_token < run->end_token) {
            i++;
            continue;
        }
        g_ptr_array_remove_index_fast(engine->running, i);
        _en_finish_run(engine, run,
                       run->prompt_sets_length ? EN_FINISH_DEFAULT
                                               : EN_FINISH_LENGTH);
    }
    _en_schedule(engine);
}

/* Starts waiting runs while slots are free and schedules the next step. */
static void
_en_schedule(en_engine *engine)
{
    while (engine->running->len < engine->desc.slots &&
           !g_queue_is_empty(&engine->waiting)) {
        _en_run *run = g_queue_pop_head(&engine->waiting);
        if (ad_query_resident(engine->adapters, run->model)) {
            _en_start_run(engine, run);
        }
        else {
            _en_finish_run(engine, run, EN_FINISH_EVICTED);
        }
    }
    if (engine->running->len && !engine->step_timer.id) {
        engine->step_timer =
            tm_make_timer(engine->desc.timers,
                          &(tm_timer_desc){.period_ms = _en_step_ms(engine),
                                           .once = true,
                                           .call = _en_on_step,
                                           .user_data = engine});
    }
}

/* -- private: adapters ---------------------------------------------------- */

/* Begins an event of the history; the caller ends it with hs_end(). */
static void
_en_begin_adapter_entry(const en_engine *engine, const char *event,
                        const char *model)
{
    hs_begin(engine->desc.history, event);
    hs_add_text(engine->desc.history, "model", model);
    hs_add_text(engine->desc.history, "incarnation", engine->incarnation);
}

/* Counts the open runs of a model. */
static uint32_t
_en_count_runs(const en_engine *engine, const char *model)
{
    uint32_t runs = 0;
    for (guint i = 0; i < engine->running->len; i++) {
        const _en_run *run = g_ptr_array_index(engine->running, i);
        runs += g_str_equal(run->model, model);
    }
    for (GList *item = engine->waiting.head; item; item = item->next) {
        runs += g_str_equal(((const _en_run *)item->data)->model, model);
    }
    return runs;
}

static void
_en_set_incarnation(en_engine *engine)
{
    g_snprintf(engine->incarnation, sizeof(engine->incarnation),
               "%" G_GINT64_MODIFIER "x-%x", g_get_real_time(),
               g_random_int());
}

/* -- public --------------------------------------------------------------- */

en_engine *
en_create(const en_desc *desc)
{
    g_assert(desc->callbacks && desc->history && desc->timers);
    en_engine *engine = g_new0(en_engine, 1);
    engine->desc = *desc;
    en_desc *resolved = &engine->desc;
    resolved->slots = desc->slots ? desc->slots : _EN_DEFAULT_SLOTS;
    resolved->tokens_per_s =
        desc->tokens_per_s ? desc->tokens_per_s : _EN_DEFAULT_TOKENS_PER_S;
    resolved->slowdown_pct =
        desc->slowdown_pct ? desc->slowdown_pct : _EN_DEFAULT_SLOWDOWN_PCT;
    resolved->prefill_tokens_per_s = desc->prefill_tokens_per_s
                                         ? desc->prefill_tokens_per_s
                                         : _EN_DEFAULT_PREFILL_TOKENS_PER_S;
    resolved->cold_start_ms =
        desc->cold_start_ms ? desc->cold_start_ms : _EN_DEFAULT_COLD_START_MS;
    engine->adapters = ad_create(desc->adapter_slots ? desc->adapter_slots
                                                     : _EN_DEFAULT_SLOTS);
    engine->running = g_ptr_array_new();
    g_queue_init(&engine->waiting);
    engine->open_runs = g_hash_table_new(g_str_hash, g_str_equal);
    _en_set_incarnation(engine);
    return engine;
}

static void
_en_abort_runs(en_engine *engine)
{
    while (engine->running->len) {
        _en_finish_run(engine,
                       g_ptr_array_steal_index_fast(engine->running, 0),
                       EN_FINISH_ABORTED);
    }
    _en_run *run;
    while ((run = g_queue_pop_head(&engine->waiting))) {
        _en_finish_run(engine, run, EN_FINISH_ABORTED);
    }
}

void
en_destroy(en_engine *engine)
{
    _en_abort_runs(engine);
    tm_destroy_timer(engine->desc.timers, engine->step_timer);
    g_ptr_array_unref(engine->running);
    g_hash_table_unref(engine->open_runs);
    ad_destroy(engine->adapters);
    g_free(engine->crash_text);
    g_free(engine);
}

er_code
en_add_run(en_engine *engine, const en_run_desc *desc)
{
    if (en_query_starting(engine)) {
        return ER_NOT_READY;
    }
    if (!ad_query_resident(engine->adapters, desc->model)) {
        return ER_UNKNOWN_MODEL;
    }
    if (g_hash_table_contains(engine->open_runs, desc->attempt)) {
        return ER_CONFLICT;
    }
    _en_run *run = g_new0(_en_run, 1);
    run->attempt = g_strdup(desc->attempt);
    run->model = g_strdup(desc->model);
    run->prompt = g_strdup(desc->prompt);
    run->seed = tx_query_seed(desc->model, desc->prompt);
    run->sequence = engine->next_sequence++;
    run->priority = desc->priority;
    run->next_token = desc->resume_from;
    run->end_token = tx_query_token_count(desc->prompt, desc->max_tokens);
    run->prompt_sets_length = strstr(desc->prompt, "#tokens=") != NULL;
    run->prefix_cached = desc->prefix_cached;
    run->user_data = desc->user_data;
    g_hash_table_insert(engine->open_runs, run->attempt, run);
    g_queue_insert_sorted(&engine->waiting, run, _en_compare_runs, NULL);
    _en_schedule(engine);
    return ER_OK;
}

bool
en_end_run(en_engine *engine, const char *attempt, en_finish_reason reason,
           uint32_t *tokens)
{
    _en_run *run = g_hash_table_lookup(engine->open_runs, attempt);
    if (!run) {
        return false;
    }
    *tokens = run->next_token;
    if (!g_queue_remove(&engine->waiting, run)) {
        g_ptr_array_remove_fast(engine->running, run);
    }
    _en_finish_run(engine, run, reason);
    _en_schedule(engine);
    return true;
}

en_load_result
en_begin_load(en_engine *engine, const char *model)
{
    return en_query_starting(engine) ? EN_LOAD_STARTING
                                     : ad_begin_load(engine->adapters, model);
}

bool
en_end_load(en_engine *engine, const char *model, bool loaded)
{
    if (!ad_end_load(engine->adapters, model, loaded)) {
        return false;
    }
    _en_begin_adapter_entry(engine, "load", model);
    hs_add_bool(engine->desc.history, "loaded", loaded);
    hs_end(engine->desc.history);
    return true;
}

bool
en_evict(en_engine *engine, const char *model)
{
    uint32_t runs = _en_count_runs(engine, model);
    if (!ad_evict(engine->adapters, model)) {
        return false;
    }
    _en_begin_adapter_entry(engine, "evict", model);
    hs_add_bool(engine->desc.history, "in_use", runs > 0);
    hs_end(engine->desc.history);
    return true;
}

void
en_restart(en_engine *engine)
{
    ad_clear(engine->adapters);
    _en_abort_runs(engine);
    _en_set_incarnation(engine);
    engine->cold_start_end_us = tm_query_now_us(engine->desc.timers) +
                                engine->desc.cold_start_ms * UINT64_C(1000);
}

void
en_slow_down(en_engine *engine, double factor, uint32_t ms)
{
    engine->slow_factor = factor;
    engine->slow_end_us =
        tm_query_now_us(engine->desc.timers) + ms * UINT64_C(1000);
}

void
en_set_crash_text(en_engine *engine, const char *text)
{
    g_free(engine->crash_text);
    engine->crash_text = text && *text ? g_strdup(text) : NULL;
}

uint32_t
en_query_running(const en_engine *engine)
{
    return engine->running->len;
}

uint32_t
en_query_waiting(const en_engine *engine)
{
    return engine->waiting.length;
}

bool
en_query_starting(const en_engine *engine)
{
    return tm_query_now_us(engine->desc.timers) < engine->cold_start_end_us;
}

const char *
en_query_incarnation(const en_engine *engine)
{
    return engine->incarnation;
}

char *
en_query_adapters_json(const en_engine *engine)
{
    return ad_query_json(engine->adapters);
}

double
en_query_slow_factor(const en_engine *engine)
{
    bool slow = tm_query_now_us(engine->desc.timers) < engine->slow_end_us;
    return slow ? engine->slow_factor : 1.0;
}
