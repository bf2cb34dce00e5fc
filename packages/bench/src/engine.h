/*
 * engine.h: fake of one backend server's engine (prefix en_).
 *
 * It models slots for requests and for adapters, continuous batching whose
 * step takes longer with a larger batch, prefill within the step in which a
 * job joins the batch, a prefix cache whose events are delayed and in part
 * lost, and load reports that are two seconds old. Events are pushed on the
 * event queue and reach the callback on_event from there, never from within a
 * call of this module.
 *
 *     en_engine *engine = en_create(&(en_desc){.queue = queue,
 *         .store = store, .on_event = on_event, .user_data = world});
 *     en_load(engine, 7);
 *     en_send(engine, &(en_job){.adapter = 7, .answer_tokens = 64});
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
    uint64_t key; /* names the attempt in events; chosen by the sender */
    uint32_t adapter;
    uint32_t priority; /* a lower value starts first */
    uint32_t prompt_tokens;
    uint32_t answer_tokens; /* length of the whole answer */
    uint32_t tokens_made;   /* of the answer so far; sent as resume_from */
    uint64_t prefix;        /* 0: none */
    /* set by the engine */
    uint64_t sequence;
    uint64_t progress_us; /* time of the last PROGRESS or FIRST_TOKEN */
    bool started;
    bool first_token;
    bool pausing;
} en_job;

/* An event of the engine. Types: FIRST_TOKEN, PROGRESS, FINISHED, FAILED,
   PAUSED of a job; LOAD_DONE, LOAD_FAILED, EVICT_DONE of an adapter;
   LOAD_REPORT; CACHE. Fields that do not belong to the type are 0. */
typedef struct en_event {
    lwd_event_type type;
    uint32_t server;
    uint64_t key;
    uint32_t adapter;
    uint32_t tokens; /* of the answer so far */
    lwd_failure failure;
    uint32_t running;    /* jobs in the batch */
    uint32_t waiting;    /* jobs */
    uint64_t sampled_us; /* time at which the LOAD_REPORT was made */
    uint64_t prefix;
    bool resident;
} en_event;

typedef void (*en_event_callback)(void *user_data, uint64_t now_us,
                                  const en_event *event);

typedef struct en_desc {
    uint32_t server; /* index, repeated in each event */
    uint32_t seed;
    uint32_t slots;             /* default EN_SLOTS */
    uint32_t adapter_slots;     /* default EN_ADAPTER_SLOTS */
    double slowness;            /* factor on the time of a step; default 1 */
    eq_queue *queue;            /* required */
    ws_store *store;            /* required */
    en_event_callback on_event; /* required */
    void *user_data;
} en_desc;

#define EN_SLOTS 12
#define EN_ADAPTER_SLOTS 32
#define EN_STEP_BASE_US 20000.0       /* time of a step without any job */
#define EN_STEP_PER_JOB_US 1200.0     /* added for each job in the batch */
#define EN_PREFILL_PER_TOKEN_US 250.0 /* added for each prompt token */
#define EN_COLD_START_MS 5000

typedef struct en_totals {
    uint64_t steps;
    uint64_t tokens; /* generated */
} en_totals;

typedef struct en_engine en_engine;

en_engine *en_create(const en_desc *desc);
void en_destroy(en_engine *engine);
/* Queues a job. If the engine is down or the adapter is not resident, the job
   fails with an event. */
void en_send(en_engine *engine, const en_job *job);
/* Stops a job at once, without any further event. Returns false if no job has
   the key. */
bool en_cancel(en_engine *engine, uint64_t key);
/* Stops a running job at the end of its step, a waiting one at once; the job
   ends with PAUSED, or with FINISHED if the step completes it. */
void en_pause(en_engine *engine, uint64_t key);
/* Starts a load, which ends with LOAD_DONE or LOAD_FAILED. */
void en_load(en_engine *engine, uint32_t adapter);
/* Evicts an adapter. Does nothing, without any event, if a job uses the
   adapter or it is not resident. */
void en_evict(en_engine *engine, uint32_t adapter);
/* Simulates a crash: all jobs and loads fail, and adapters and the prefix
   cache are lost. The engine is up again after EN_COLD_START_MS. */
void en_restart(en_engine *engine);
/* Multiplies the time of each step by a factor; 1 restores the normal speed.
 */
void en_slow(en_engine *engine, double factor);

/* queries */
en_totals en_query_totals(const en_engine *engine);
bool en_query_up(const en_engine *engine);
bool en_query_resident(const en_engine *engine, uint32_t adapter);
/* Returns when the adapter became resident; 0 if it is not resident. */
uint64_t en_query_loaded_us(const en_engine *engine, uint32_t adapter);
/* Returns the time of one step with this many jobs in the batch and this many
   tokens to prefill. */
uint64_t en_query_step_us(const en_engine *engine, uint32_t jobs,
                          uint32_t prompt_tokens);

#endif
