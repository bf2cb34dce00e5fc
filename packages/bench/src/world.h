/*
 * world.h: the simulation of one run of one policy (prefix wd_).
 *
 * Simulates the entry instances of a deployment, each with a policy of its
 * own, the engines of the servers, the weight store and the checker, all on
 * one queue of virtual time. Requests go to the instances in turn, as from a
 * load balancer. The events of a server go to the instance that owns it.
 * Messages between instances take the deployment's one-way latency. Callers
 * leave at their deadline.
 *
 *     wd_result result;
 *     wd_run(&(wd_desc){.deployment = deployment, .trace = trace,
 *         .policy = WD_POLICY_OURS}, &result);
 *     handle(result.outcomes[0].status);
 *     wd_clear(&result);
 *
 * Limits: one thread per run; runs share only the trace, which is read-only.
 */
#ifndef BENCH_WORLD_H
#define BENCH_WORLD_H

#include "arrivals.h"
#include "checker.h"
#include "engine.h"

typedef enum wd_policy_kind {
    WD_POLICY_DEFAULT = 0, /* ours */
    WD_POLICY_OURS,
    WD_POLICY_BASELINE, /* one instance that owns every server */
    WD_POLICY_NUM
} wd_policy_kind;

typedef enum wd_status {
    WD_OPEN = 0,
    WD_ANSWERED, /* completely, by the deadline */
    WD_LATE,     /* the caller left at the deadline */
    WD_REFUSED,
} wd_status;

typedef struct wd_outcome {
    wd_status status;
    uint64_t end_us;        /* time of the end */
    uint64_t stall_us;      /* total time spent waiting for adapter loads */
    uint64_t wait_start_us; /* start of the current wait */
} wd_outcome;

typedef struct wd_desc {
    const ar_deployment *deployment; /* required */
    const ar_trace *trace;           /* required */
    ar_scenario scenario;
    uint32_t seed;
    wd_policy_kind policy;
    uint32_t disabled_features; /* of our policy, lwd_feature bits */
} wd_desc;

typedef struct wd_result {
    wd_outcome *outcomes; /* by index of the request in the trace */
    uint32_t count;       /* of outcomes */
    en_totals window;     /* within the measured period */
    en_totals whole_run;
    uint64_t useful_tokens; /* of answers in time, in the whole run */
    uint32_t forwards;
    uint32_t attempts;
    uint32_t loads;
    uint32_t violations[VC_KIND_NUM];
    uint32_t violation_count; /* of all kinds */
} wd_result;

/* Executes the run; clear the result with wd_clear(). */
void wd_run(const wd_desc *desc, wd_result *result);
void wd_clear(wd_result *result);

#endif
