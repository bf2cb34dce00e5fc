/*
 * arrivals.h: deployments and the requests that reach them (prefix ar_).
 *
 * A trace is the whole list of requests of one run, drawn from a seed before
 * the run starts, so that every policy gets the same ones. Adapters follow
 * Zipf's law over a shuffled list; its head moves as the hot set shifts.
 * Most work is short notes; a small part is long export paperwork.
 *
 *     ar_trace *trace = ar_create(&(ar_desc){
 *         .deployment = ar_query_deployment("trust"), .seed = 7,
 *         .scenario = AR_NOMINAL});
 *     for (uint32_t i = 0; i < trace->count; i++) {
 *         use(&trace->requests[i]);
 *     }
 *     ar_destroy(trace);
 *
 * Limits: read-only once made; may then be shared between threads.
 */
#ifndef BENCH_ARRIVALS_H
#define BENCH_ARRIVALS_H

#include <stdbool.h>
#include <stdint.h>

typedef struct ar_deployment {
    const char *name;
    uint32_t servers;
    uint32_t zones;
    uint32_t instances;
    uint32_t hop_us; /* one way between instances */
    uint32_t adapters;
    uint32_t loads_per_s_milli; /* of the weight store */
    uint32_t transit_bound;     /* loads at no loss of speed */
} ar_deployment;

typedef enum ar_scenario {
    AR_NOMINAL = 0, /* 1x, no faults */
    AR_SHORT_ONLY,  /* the same short requests without the long ones */
    AR_SLOWED,      /* nominal requests, two servers slowed for moments */
    AR_STEADY,      /* 1x with swings, hot set shifts, a restart, a leaving
                       server */
    AR_DOUBLE,      /* 2x */
    AR_CREST,       /* a 5x swing within 3 s, the hot set shifted */
    AR_SCENARIO_NUM
} ar_scenario;

#define AR_MEASURE_START_US 90000000ULL
#define AR_MEASURE_END_US 210000000ULL
#define AR_ARRIVALS_END_US 270000000ULL
#define AR_CREST_START_US 120000000ULL
#define AR_CREST_RISE_US 3000000ULL
#define AR_CREST_END_US 150000000ULL

#define AR_LOAD_1X 0.8      /* of capacity */
#define AR_CREST_BEFORE 0.3 /* of capacity; five times that at the crest */
#define AR_CREST_FACTOR 5.0

typedef struct ar_request {
    uint64_t at_us;
    uint64_t deadline_us;
    uint64_t prefix;
    uint64_t fingerprint;
    uint32_t adapter;
    uint32_t operation;
    uint32_t team;
    uint32_t prompt_tokens;
    uint32_t max_tokens;
    uint32_t length; /* tokens of the answer, not known to the policy */
    bool long_work;
    bool measured; /* stands in the figures */
} ar_request;

typedef struct ar_trace {
    ar_request *requests; /* by time */
    uint32_t count;
    double rate_1x; /* requests a second */
} ar_trace;

typedef struct ar_desc {
    const ar_deployment *deployment; /* required */
    uint32_t seed;
    ar_scenario scenario;
} ar_desc;

ar_trace *ar_create(const ar_desc *desc);
void ar_destroy(ar_trace *trace);

/* queries */
/* NULL when there is none of that name. */
const ar_deployment *ar_query_deployment(const char *name);
/* The deployments in order; NULL past the last. */
const ar_deployment *ar_query_deployment_at(uint32_t index);
/* How many times slower than the normal server this one is. */
double ar_query_slowness(const ar_deployment *deployment, uint32_t server);
/* Requests a second that the servers can run, full batches all the time. */
double ar_query_server_capacity(const ar_deployment *deployment);
/* Requests a second at which the best fixed placement uses up the store. */
double ar_query_store_capacity(const ar_deployment *deployment);

#endif
