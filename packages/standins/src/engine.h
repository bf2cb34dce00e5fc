/*
 * engine.h: a model engine without its HTTP (prefix en_).
 *
 * Slots with continuous batching: each step gives every running request one
 * token and takes longer the more run. Beyond the slots requests wait, the
 * least priority number first, then the oldest. Adapters are held in a fixed
 * number of places; an order to evict one that is in use is carried out, as
 * a careless engine would, and noted.
 *
 *     en_engine *engine = en_create(&(en_desc){.slots = 16,
 *         .calls = &calls, .history = history});
 *     en_begin_load(engine, "a@v");
 *     en_end_load(engine, "a@v", true);
 *     en_add_run(engine, &(en_run_desc){.attempt = "r/1", .model = "a@v",
 *         .prompt = "p", .max_tokens = 8, .user_data = stream});
 *
 * The history holds start, completion, load, evict.
 *
 * Limits: one main context; steps of whole milliseconds.
 */
#ifndef LACEWING_STANDIN_ENGINE_H
#define LACEWING_STANDIN_ENGINE_H

#include "history.h"
#include "lacewing/error.h"
#include "lacewing/timer.h"

typedef struct en_engine en_engine;

/* How a run came to its end. */
typedef enum en_end {
    EN_END_DEFAULT = 0, /* the prompt's own end */
    EN_END_LENGTH,      /* max_tokens */
    EN_END_BROKEN,      /* the engine restarted: no end event */
    EN_END_EVICTED,     /* its adapter went before it started */
    EN_END_CANCELLED,
    EN_END_PAUSED,
    EN_END_NUM
} en_end;

typedef enum en_load {
    EN_LOAD_DEFAULT = 0, /* begun: en_end_load() must follow */
    EN_LOAD_HELD,        /* held already */
    EN_LOAD_JOINED,      /* another load of it is under way */
    EN_LOAD_NO_ROOM,
    EN_LOAD_STARTING, /* cold start */
    EN_LOAD_NUM
} en_load;

/* Calls into the user; none may call back into the engine. */
typedef struct en_calls {
    void (*token)(uint32_t index, const char *text, void *user_data);
    void (*end)(en_end end, uint32_t tokens, void *user_data);
} en_calls;

typedef struct en_desc {
    uint32_t slots;         /* default 16 */
    uint32_t adapter_slots; /* default 16 */
    uint32_t tokens_per_s;  /* of one request alone; default 40 */
    uint32_t slowdown_pct;  /* of a step for each further request; default 3 */
    uint32_t prefill_per_s; /* prompt tokens a second; default 4000 */
    uint32_t cold_ms;       /* cold start after a restart; default 1500 */
    const en_calls *calls;  /* required */
    hs_history *history;    /* required */
    tm_service *timers;     /* required */
} en_desc;

typedef struct en_run_desc {
    const char *attempt; /* unique among open runs */
    const char *model;
    const char *prompt;
    uint32_t max_tokens;
    uint32_t resume_from;
    int64_t priority; /* less is sooner */
    bool cached;      /* the prompt's prefix is cached */
    void *user_data;
} en_run_desc;

en_engine *en_create(const en_desc *desc);
void en_destroy(en_engine *engine);

/* ER_UNKNOWN_MODEL: not held; ER_NOT_READY: cold start; ER_CONFLICT: the
   attempt is open already. */
er_code en_add_run(en_engine *engine, const en_run_desc *desc);
/* Ends an open run; false when there is none. */
bool en_remove_run(en_engine *engine, const char *attempt, en_end end,
                   uint32_t *tokens);
en_load en_begin_load(en_engine *engine, const char *model);
/* False when a restart has forgotten the load. */
bool en_end_load(en_engine *engine, const char *model, bool loaded);
bool en_evict(en_engine *engine, const char *model);
/* Loses all runs and adapters, then starts cold. */
void en_restart(en_engine *engine);
/* Steps take factor times as long for this time. */
void en_slow(en_engine *engine, double factor, uint32_t ms);
/* Starting a run whose prompt holds this text ends the process. */
void en_set_crash_text(en_engine *engine, const char *text);

/* queries */
uint32_t en_query_running(const en_engine *engine);
uint32_t en_query_waiting(const en_engine *engine);
bool en_query_starting(const en_engine *engine);
const char *en_query_incarnation(const en_engine *engine);
/* Names of the adapters held, as a JSON array; free with g_free(). */
char *en_query_adapters(const en_engine *engine);
double en_query_slowness(const en_engine *engine);

#endif
