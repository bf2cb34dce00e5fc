/*
 * arrivals.h: deployments and their generated workload (prefix ar_).
 *
 * A trace is the list of all requests of one run. It is generated from a seed
 * before the run starts, so that every policy gets the same requests. The
 * popularity of the adapters follows Zipf's law over a shuffled list; the hot
 * set, the head of that list, changes during a run. Most requests are short
 * notes; a small share are long exports of paperwork.
 *
 *     ar_trace *trace = ar_create(&(ar_desc){
 *         .deployment = ar_query_deployment("trust"), .seed = 7,
 *         .scenario = AR_NOMINAL});
 *     for (uint32_t i = 0; i < trace->count; i++) {
 *         handle(&trace->requests[i]);
 *     }
 *     ar_destroy(trace);
 *
 * Limits: a trace is read-only after ar_create() and may be shared between
 * threads.
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
    uint32_t hop_us; /* one-way latency between instances */
    uint32_t adapters;
    uint32_t loads_per_s_milli;    /* rate of the weight store, in loads per
                                      1000 s */
    uint32_t loads_in_transit_max; /* beyond it, loads slow down */
} ar_deployment;

/* Workload and faults of a run. Rates are multiples of the base rate, 1x. */
typedef enum ar_scenario {
    AR_NOMINAL = 0, /* 1x, no faults */
    AR_SHORT_ONLY,  /* AR_NOMINAL without its long requests */
    AR_SLOWED,      /* AR_NOMINAL with two servers that slow down at times */
    AR_STEADY,      /* 1x on average, rising and falling; changes of the hot
                       set, a restart of a server, a leaving server */
    AR_DOUBLE,      /* 2x */
    AR_CREST,       /* a load spike: the rate rises 5x within 3 s, and the hot
                       set changes */
    AR_SCENARIO_NUM
} ar_scenario;

/* Times of a run. Requests that arrive in the measured period count in the
   measures; under AR_CREST it lasts from the start to the end of the spike. */
#define AR_MEASURE_START_US 90000000ULL
#define AR_MEASURE_END_US 210000000ULL
#define AR_ARRIVALS_END_US 270000000ULL
#define AR_CREST_START_US 120000000ULL
#define AR_CREST_RISE_US 3000000ULL
#define AR_CREST_END_US 150000000ULL

/* Rates as shares of the capacity, which is that of the servers or of the
   weight store, whichever is less. The spike is five times the base rate. */
#define AR_LOAD_1X 0.8
#define AR_CREST_BASE_LOAD 0.3 /* before and after the spike */
#define AR_CREST_FACTOR 5.0    /* of the spike, over AR_CREST_BASE_LOAD */

typedef struct ar_request {
    uint64_t at_us;
    uint64_t deadline_us;
    uint64_t prefix;      /* id of the prompt's prefix */
    uint64_t fingerprint; /* id of the request's content, unique in a trace */
    uint32_t adapter;
    uint32_t operation;
    uint32_t team;
    uint32_t prompt_tokens;
    uint32_t max_tokens;
    uint32_t answer_tokens; /* not known to the policy */
    bool long_work;
    bool measured; /* arrives in the measured period */
} ar_request;

typedef struct ar_trace {
    ar_request *requests; /* by time of arrival */
    uint32_t count;
    double rate_1x; /* requests per second */
} ar_trace;

typedef struct ar_desc {
    const ar_deployment *deployment; /* required */
    uint32_t seed;
    ar_scenario scenario;
} ar_desc;

ar_trace *ar_create(const ar_desc *desc);
void ar_destroy(ar_trace *trace);

/* queries */
/* Returns NULL if no deployment has the name. */
const ar_deployment *ar_query_deployment(const char *name);
/* Returns NULL if index is past the last deployment. */
const ar_deployment *ar_query_deployment_at(uint32_t index);
/* Returns the time of a step on this server, as a multiple of that on a normal
   server. */
double ar_query_slowness(const ar_deployment *deployment, uint32_t server);
/* Returns how many requests per second the servers can run with batches that
   are always full. */
double ar_query_server_capacity(const ar_deployment *deployment);
/* Returns the requests per second at which the best fixed placement of the
   adapters uses the whole rate of the weight store. */
double ar_query_store_capacity(const ar_deployment *deployment);

#endif
