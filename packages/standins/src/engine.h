/*
 * engine.h: a simulated model engine, without its HTTP API (prefix en_).
 *
 * The engine runs up to a fixed number of requests at once with continuous
 * batching: each step generates one token for every running request, and a
 * step takes longer the more requests run. Requests beyond the slots wait,
 * ordered by priority number (lowest first) and then by arrival. Adapters
 * occupy a fixed number of adapter slots. An adapter that is in use can be
 * evicted, as in an engine that doesn't check; the history then says so.
 *
 * A model is named "ADAPTER@VERSION". The user loads it, adds runs and gets
 * their tokens through the callbacks:
 *
 *     en_engine *engine = en_create(&(en_desc){.slots = 16,
 *         .callbacks = &callbacks, .history = history, .timers = timers});
 *     en_begin_load(engine, "a@v");
 *     en_end_load(engine, "a@v", true);
 *     en_add_run(engine, &(en_run_desc){.attempt = "r/1", .model = "a@v",
 *         .prompt = "p", .max_tokens = 8, .user_data = stream});
 *
 * The history gets the events start, completion, load and evict.
 *
 * Limits: one main context; steps are rounded to whole milliseconds.
 */
#ifndef LACEWING_STANDIN_ENGINE_H
#define LACEWING_STANDIN_ENGINE_H

#include "history.h"
#include "lacewing/error.h"
#include "lacewing/timer.h"

typedef struct en_engine en_engine;

/* Why a run finished. */
typedef enum en_finish_reason {
    EN_FINISH_DEFAULT = 0, /* all tokens sent; the prompt set the length */
    EN_FINISH_LENGTH,      /* all max_tokens tokens sent */
    EN_FINISH_ABORTED,     /* restart or destroy: no end event is sent */
    EN_FINISH_EVICTED,     /* the adapter was evicted before the run started */
    EN_FINISH_CANCELLED,
    EN_FINISH_PAUSED,
    EN_FINISH_NUM
} en_finish_reason;

/* Outcome of en_begin_load(). */
typedef enum en_load_result {
    EN_LOAD_DEFAULT = 0,  /* begun: en_end_load() must follow */
    EN_LOAD_RESIDENT,     /* loaded already */
    EN_LOAD_IN_PROGRESS,  /* another load of the model has not ended */
    EN_LOAD_NO_FREE_SLOT, /* every adapter slot is taken */
    EN_LOAD_STARTING,     /* refused during the cold start */
    EN_LOAD_NUM
} en_load_result;

/* Callbacks to the user of the engine; they must not call the engine. */
typedef struct en_callbacks {
    /* A token was generated; index counts from the start of the answer. */
    void (*on_token)(uint32_t index, const char *text, void *user_data);
    /* A run finished; tokens is the index after its last token. */
    void (*on_finish)(en_finish_reason reason, uint32_t tokens,
                      void *user_data);
} en_callbacks;

typedef struct en_desc {
    uint32_t slots;                /* requests that run at once; default 16 */
    uint32_t adapter_slots;        /* default 16 */
    uint32_t tokens_per_s;         /* of a request that runs alone; default
                                      40 */
    uint32_t slowdown_pct;         /* added to a step for each further running
                                      request; default 3 */
    uint32_t prefill_tokens_per_s; /* prompt tokens read; default 4000 */
    uint32_t cold_start_ms;        /* after a restart; default 1500 */
    const en_callbacks *callbacks; /* required */
    hs_history *history;           /* required */
    tm_service *timers;            /* required */
} en_desc;

typedef struct en_run_desc {
    const char *attempt; /* name of the attempt, unique among open runs */
    const char *model;
    const char *prompt;
    uint32_t max_tokens;
    uint32_t resume_from; /* index of the first token to generate */
    int64_t priority;     /* lower numbers run first */
    bool prefix_cached;   /* the prompt's prefix is in the cache */
    void *user_data;      /* passed to the callbacks */
} en_run_desc;

en_engine *en_create(const en_desc *desc);
/* Finishes all runs as EN_FINISH_ABORTED first. */
void en_destroy(en_engine *engine);

/* Starts a run, or queues it while no slot is free. Returns ER_NOT_READY
   during the cold start, ER_UNKNOWN_MODEL if the model is not resident and
   ER_CONFLICT if the attempt is open already. */
er_code en_add_run(en_engine *engine, const en_run_desc *desc);
/* Finishes an open run for this reason and sets *tokens to the index after
   its last token. Returns false if no such run is open. */
bool en_end_run(en_engine *engine, const char *attempt,
                en_finish_reason reason, uint32_t *tokens);
/* Takes an adapter slot for the model; the caller simulates the load. */
en_load_result en_begin_load(en_engine *engine, const char *model);
/* Returns false if no load is in progress, as after a restart. */
bool en_end_load(en_engine *engine, const char *model, bool loaded);
/* Evicts a model even if runs use it. Returns false if it is not resident. */
bool en_evict(en_engine *engine, const char *model);
/* Aborts all runs, empties the adapter slots, takes a new incarnation and
   begins a cold start. */
void en_restart(en_engine *engine);
/* Makes steps take factor times as long for the next ms milliseconds. */
void en_slow_down(en_engine *engine, double factor, uint32_t ms);
/* The process exits when a run starts whose prompt contains the text; NULL
   or "" turns this off. */
void en_set_crash_text(en_engine *engine, const char *text);

/* queries */
uint32_t en_query_running(const en_engine *engine);
uint32_t en_query_waiting(const en_engine *engine);
/* Whether the cold start after a restart has not ended. */
bool en_query_starting(const en_engine *engine);
const char *en_query_incarnation(const en_engine *engine);
/* JSON array of the resident models' names; free with g_free(). */
char *en_query_adapters_json(const en_engine *engine);
/* Factor by which work currently takes longer; 1 without a slowdown. */
double en_query_slow_factor(const en_engine *engine);

#endif
