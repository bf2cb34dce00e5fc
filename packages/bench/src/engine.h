/*
 * engine.h: fake of one backend server's model engine (prefix en_).
 *
 * Slots for requests, slots for adapters, continuous batching whose step
 * slows with the batch, prefill within the step in which a job joins, a
 * prefix cache whose events come late and with gaps, and reports of load
 * that are two seconds old. Whatever the engine has to tell is pushed on the
 * event queue and reaches the sink from there, never from within a call.
 *
 *     en_engine *engine = en_create(&(en_desc){.queue = queue,
 *         .store = store, .sink = on_event, .user_data = world});
 *     en_load(engine, 7);
 *     en_send(engine, &(en_job){.adapter = 7, .length = 64});
 *     en_destroy(engine);
 *
 * Limits: one thread; the queue and the store outlive the engine.
 */
#ifndef BENCH_ENGINE_H
#define BENCH_ENGINE_H

#include "event_queue.h"
#include "lacewing/decisions.h"
#include "weight_store.h"

/* One request as the engine sees it. */
typedef struct en_job {
    uint64_t key; /* the user's own name of the attempt */
    uint32_t adapter;
    uint32_t priority; /* less is sooner */
    uint32_t prompt_tokens;
    uint32_t length; /* tokens of the whole answer */
    uint32_t made;   /* tokens from index 0; set to resume_from */
    uint64_t prefix; /* 0 none */
    /* kept by the engine */
    uint64_t sequence;
    uint64_t progress_us; /* of the last report of progress */
    bool started;
    bool first_token;
    bool pausing;
} en_job;

/* What the engine tells. Types: FIRST_TOKEN, PROGRESS, FINISHED, FAILED,
   PAUSED of a job; LOAD_DONE, LOAD_FAILED, EVICT_DONE of an adapter;
   LOAD_REPORT; CACHE. */
typedef struct en_note {
    lwd_event_type type;
    uint32_t server;
    uint64_t key;
    uint32_t adapter;
    uint32_t tokens;
    lwd_failure failure;
    uint32_t running;
    uint32_t waiting;
    uint64_t sampled_us;
    uint64_t prefix;
    bool resident;
} en_note;

typedef void (*en_sink)(void *user_data, uint64_t now_us, const en_note *note);

typedef struct en_desc {
    uint32_t server; /* index, comes back in each note */
    uint32_t seed;
    uint32_t slots;         /* default EN_SLOTS */
    uint32_t adapter_slots; /* default EN_ADAPTER_SLOTS */
    double slowness;        /* of each step; default 1 */
    eq_queue *queue;        /* required */
    ws_store *store;        /* required */
    en_sink sink;           /* required */
    void *user_data;
} en_desc;

#define EN_SLOTS 12
#define EN_ADAPTER_SLOTS 32
#define EN_STEP_US 20000.0    /* of an empty batch */
#define EN_STEP_JOB_US 1200.0 /* more for each job in it */
#define EN_PREFILL_US 250.0   /* one prompt token */
#define EN_COLD_START_MS 5000

typedef struct en_totals {
    uint64_t steps;
    uint64_t tokens;
} en_totals;

typedef struct en_engine en_engine;

en_engine *en_create(const en_desc *desc);
void en_destroy(en_engine *engine);
/* Takes in a job. */
void en_send(en_engine *engine, const en_job *job);
/* Stops a job at once; nothing more is told of it. */
bool en_cancel(en_engine *engine, uint64_t key);
/* Stops a job at the end of the step and tells PAUSED. */
void en_pause(en_engine *engine, uint64_t key);
void en_load(en_engine *engine, uint32_t adapter);
/* Refused without a word while a job uses the adapter. */
void en_evict(en_engine *engine, uint32_t adapter);
/* Dies: jobs fail, adapters and caches are lost; up after a cold start. */
void en_restart(en_engine *engine);
/* Slows each step tenfold or whatever the factor says; 1 ends it. */
void en_slow(en_engine *engine, double factor);

/* queries */
en_totals en_query_totals(const en_engine *engine);
bool en_query_up(const en_engine *engine);
bool en_query_resident(const en_engine *engine, uint32_t adapter);
/* Time since which the adapter is held; 0 when it is not. */
uint64_t en_query_loaded_us(const en_engine *engine, uint32_t adapter);
/* Time of one step with so many jobs and prompt tokens. */
uint64_t en_query_step_us(const en_engine *engine, uint32_t jobs,
                          uint32_t prompt_tokens);

#endif
