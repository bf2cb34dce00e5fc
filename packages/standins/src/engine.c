#include "engine.h"

#include "adapters.h"
#include "lacewing/standin_text.h"
#include <string.h>
#include <unistd.h>

#define _EN_SLOTS 16
#define _EN_TOKENS_PER_S 40
#define _EN_SLOWDOWN_PCT 3
#define _EN_PREFILL_PER_S 4000
#define _EN_COLD_MS 1500
#define _EN_BYTES_PER_TOKEN 4
#define _EN_PROMPT_NOTED_BYTES 64
#define _EN_CACHED_SHARE 4 /* a cached prefix takes this part of its time */
#define _EN_EXIT_CRASH 71

typedef struct _en_run {
    char *attempt;
    char *model;
    char *prompt;
    uint64_t seed;
    uint64_t sequence;
    int64_t priority;
    uint32_t next; /* index of the next token */
    uint32_t end;  /* tokens of the whole answer */
    bool own_end;  /* the answer ends by itself */
    bool cached;
    uint64_t ready_us; /* its prompt is read */
    void *user_data;
} _en_run;

struct en_engine {
    en_desc desc;
    char incarnation[32];
    ad_places *places;
    GPtrArray *running;
    GQueue waiting;   /* _en_run in order */
    GHashTable *open; /* attempt -> _en_run */
    uint64_t sequence;
    tm_timer step;
    uint64_t cold_until_us;
    double slow_factor;
    uint64_t slow_until_us;
    char *crash_text;
};

static void _en_fill(en_engine *engine);

/* -- private: runs -------------------------------------------------------- */

static void
_en_run_free(_en_run *run)
{
    g_free(run->attempt);
    g_free(run->model);
    g_free(run->prompt);
    g_free(run);
}

static int
_en_compare(const void *left, const void *right, void *user_data)
{
    (void)user_data;
    const _en_run *a = left;
    const _en_run *b = right;
    if (a->priority != b->priority) {
        return a->priority < b->priority ? -1 : 1;
    }
    return a->sequence < b->sequence ? -1 : 1;
}

static void
_en_note_run(const en_engine *engine, const char *event, const _en_run *run)
{
    hs_begin(engine->desc.history, event);
    hs_add_text(engine->desc.history, "attempt", run->attempt);
    hs_add_text(engine->desc.history, "model", run->model);
    hs_add_text(engine->desc.history, "incarnation", engine->incarnation);
    hs_add_int(engine->desc.history, "tokens", run->next);
}

static void
_en_finish(en_engine *engine, _en_run *run, en_end end)
{
    static const char *const names[EN_END_NUM] = {
        [EN_END_DEFAULT] = "stop",        [EN_END_LENGTH] = "length",
        [EN_END_BROKEN] = "broken",       [EN_END_EVICTED] = "evicted",
        [EN_END_CANCELLED] = "cancelled", [EN_END_PAUSED] = "paused",
    };
    _en_note_run(engine, "completion", run);
    hs_add_text(engine->desc.history, "reason", names[end]);
    hs_end(engine->desc.history);
    g_hash_table_remove(engine->open, run->attempt);
    engine->desc.calls->end(end, run->next, run->user_data);
    _en_run_free(run);
}

static void
_en_start(en_engine *engine, _en_run *run)
{
    _en_note_run(engine, "start", run);
    g_autofree char *head = g_strndup(run->prompt, _EN_PROMPT_NOTED_BYTES);
    hs_add_text(engine->desc.history, "prompt", head);
    hs_end(engine->desc.history);
    if (engine->crash_text && strstr(run->prompt, engine->crash_text)) {
        _exit(_EN_EXIT_CRASH);
    }
    uint64_t bytes = strlen(run->prompt);
    uint64_t prefill_us =
        bytes * 1000000U / _EN_BYTES_PER_TOKEN / engine->desc.prefill_per_s;
    prefill_us /= run->cached ? _EN_CACHED_SHARE : 1;
    run->ready_us = tm_query_now_us(engine->desc.timers) + prefill_us;
    g_ptr_array_add(engine->running, run);
}

/* -- private: steps ------------------------------------------------------- */

static uint32_t
_en_step_ms(const en_engine *engine)
{
    uint32_t others = MAX(engine->running->len, 1) - 1;
    double ms = 1000.0 / engine->desc.tokens_per_s;
    ms *= 1.0 + others * engine->desc.slowdown_pct / 100.0;
    ms *= en_query_slowness(engine);
    return (uint32_t)MAX(ms + 0.5, 1.0);
}

static void
_en_produce(en_engine *engine, _en_run *run)
{
    char text[TX_TOKEN_BYTES];
    tx_query_token(run->seed, run->model, run->next, text);
    engine->desc.calls->token(run->next, text, run->user_data);
    run->next++;
}

static void
_en_on_step(uint64_t now_us, void *user_data)
{
    en_engine *engine = user_data;
    engine->step = (tm_timer){0};
    for (guint i = 0; i < engine->running->len;) {
        _en_run *run = g_ptr_array_index(engine->running, i);
        if (run->ready_us <= now_us && run->next < run->end) {
            _en_produce(engine, run);
        }
        if (run->next < run->end) {
            i++;
            continue;
        }
        g_ptr_array_remove_index_fast(engine->running, i);
        _en_finish(engine, run, run->own_end ? EN_END_DEFAULT : EN_END_LENGTH);
    }
    _en_fill(engine);
}

static void
_en_fill(en_engine *engine)
{
    while (engine->running->len < engine->desc.slots &&
           !g_queue_is_empty(&engine->waiting)) {
        _en_run *run = g_queue_pop_head(&engine->waiting);
        if (ad_query_held(engine->places, run->model)) {
            _en_start(engine, run);
        }
        else {
            _en_finish(engine, run, EN_END_EVICTED);
        }
    }
    if (engine->running->len && !engine->step.id) {
        engine->step =
            tm_make_timer(engine->desc.timers,
                          &(tm_timer_desc){.period_ms = _en_step_ms(engine),
                                           .once = true,
                                           .call = _en_on_step,
                                           .user_data = engine});
    }
}

/* -- private: adapters ---------------------------------------------------- */

static void
_en_note_adapter(const en_engine *engine, const char *event, const char *model)
{
    hs_begin(engine->desc.history, event);
    hs_add_text(engine->desc.history, "model", model);
    hs_add_text(engine->desc.history, "incarnation", engine->incarnation);
}

static uint32_t
_en_users(const en_engine *engine, const char *model)
{
    uint32_t users = 0;
    for (guint i = 0; i < engine->running->len; i++) {
        const _en_run *run = g_ptr_array_index(engine->running, i);
        users += g_str_equal(run->model, model);
    }
    for (GList *item = engine->waiting.head; item; item = item->next) {
        users += g_str_equal(((const _en_run *)item->data)->model, model);
    }
    return users;
}

static void
_en_new_incarnation(en_engine *engine)
{
    g_snprintf(engine->incarnation, sizeof(engine->incarnation),
               "%" G_GINT64_MODIFIER "x-%x", g_get_real_time(),
               g_random_int());
}

/* -- public --------------------------------------------------------------- */

en_engine *
en_create(const en_desc *desc)
{
    g_assert(desc->calls && desc->history && desc->timers);
    en_engine *engine = g_new0(en_engine, 1);
    engine->desc = *desc;
    en_desc *own = &engine->desc;
    own->slots = desc->slots ? desc->slots : _EN_SLOTS;
    own->tokens_per_s =
        desc->tokens_per_s ? desc->tokens_per_s : _EN_TOKENS_PER_S;
    own->slowdown_pct =
        desc->slowdown_pct ? desc->slowdown_pct : _EN_SLOWDOWN_PCT;
    own->prefill_per_s =
        desc->prefill_per_s ? desc->prefill_per_s : _EN_PREFILL_PER_S;
    own->cold_ms = desc->cold_ms ? desc->cold_ms : _EN_COLD_MS;
    engine->places =
        ad_create(desc->adapter_slots ? desc->adapter_slots : _EN_SLOTS);
    engine->running = g_ptr_array_new();
    g_queue_init(&engine->waiting);
    engine->open = g_hash_table_new(g_str_hash, g_str_equal);
    _en_new_incarnation(engine);
    return engine;
}

static void
_en_drop_runs(en_engine *engine)
{
    while (engine->running->len) {
        _en_finish(engine, g_ptr_array_steal_index_fast(engine->running, 0),
                   EN_END_BROKEN);
    }
    _en_run *run;
    while ((run = g_queue_pop_head(&engine->waiting))) {
        _en_finish(engine, run, EN_END_BROKEN);
    }
}

void
en_destroy(en_engine *engine)
{
    _en_drop_runs(engine);
    tm_destroy_timer(engine->desc.timers, engine->step);
    g_ptr_array_unref(engine->running);
    g_hash_table_unref(engine->open);
    ad_destroy(engine->places);
    g_free(engine->crash_text);
    g_free(engine);
}

er_code
en_add_run(en_engine *engine, const en_run_desc *desc)
{
    if (en_query_starting(engine)) {
        return ER_NOT_READY;
    }
    if (!ad_query_held(engine->places, desc->model)) {
        return ER_UNKNOWN_MODEL;
    }
    if (g_hash_table_contains(engine->open, desc->attempt)) {
        return ER_CONFLICT;
    }
    _en_run *run = g_new0(_en_run, 1);
    run->attempt = g_strdup(desc->attempt);
    run->model = g_strdup(desc->model);
    run->prompt = g_strdup(desc->prompt);
    run->seed = tx_query_seed(desc->model, desc->prompt);
    run->sequence = engine->sequence++;
    run->priority = desc->priority;
    run->next = desc->resume_from;
    run->end = tx_query_token_count(desc->prompt, desc->max_tokens);
    run->own_end = strstr(desc->prompt, "#tokens=") != NULL;
    run->cached = desc->cached;
    run->user_data = desc->user_data;
    g_hash_table_insert(engine->open, run->attempt, run);
    g_queue_insert_sorted(&engine->waiting, run, _en_compare, NULL);
    _en_fill(engine);
    return ER_OK;
}

bool
en_remove_run(en_engine *engine, const char *attempt, en_end end,
              uint32_t *tokens)
{
    _en_run *run = g_hash_table_lookup(engine->open, attempt);
    if (!run) {
        return false;
    }
    *tokens = run->next;
    if (!g_queue_remove(&engine->waiting, run)) {
        g_ptr_array_remove_fast(engine->running, run);
    }
    _en_finish(engine, run, end);
    _en_fill(engine);
    return true;
}

en_load
en_begin_load(en_engine *engine, const char *model)
{
    return en_query_starting(engine) ? EN_LOAD_STARTING
                                     : ad_begin(engine->places, model);
}

bool
en_end_load(en_engine *engine, const char *model, bool loaded)
{
    if (!ad_end(engine->places, model, loaded)) {
        return false;
    }
    _en_note_adapter(engine, "load", model);
    hs_add_bool(engine->desc.history, "loaded", loaded);
    hs_end(engine->desc.history);
    return true;
}

bool
en_evict(en_engine *engine, const char *model)
{
    uint32_t users = _en_users(engine, model);
    if (!ad_evict(engine->places, model)) {
        return false;
    }
    _en_note_adapter(engine, "evict", model);
    hs_add_bool(engine->desc.history, "in_use", users > 0);
    hs_end(engine->desc.history);
    return true;
}

void
en_restart(en_engine *engine)
{
    ad_clear(engine->places);
    _en_drop_runs(engine);
    _en_new_incarnation(engine);
    engine->cold_until_us = tm_query_now_us(engine->desc.timers) +
                            engine->desc.cold_ms * UINT64_C(1000);
}

void
en_slow(en_engine *engine, double factor, uint32_t ms)
{
    engine->slow_factor = factor;
    engine->slow_until_us =
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
    return tm_query_now_us(engine->desc.timers) < engine->cold_until_us;
}

const char *
en_query_incarnation(const en_engine *engine)
{
    return engine->incarnation;
}

char *
en_query_adapters(const en_engine *engine)
{
    return ad_query_json(engine->places);
}

double
en_query_slowness(const en_engine *engine)
{
    bool slow = tm_query_now_us(engine->desc.timers) < engine->slow_until_us;
    return slow ? engine->slow_factor : 1.0;
}
