/*
 * world.h: one run of one policy over the fakes (prefix wd_).
 *
 * The entry instances of a deployment, each with a policy of its own, the
 * servers' engines, the weight store, the checker, and between them one queue
 * of virtual time. Arrivals go to the instances in turn as a balancer would
 * send them; a server's notes go to the instance that owns it; what one
 * instance tells another takes the deployment's one-way latency. Callers
 * leave at their deadline.
 *
 *     wd_result result;
 *     wd_run(&(wd_desc){.deployment = deployment, .trace = trace,
 *         .policy = WD_POLICY_OURS}, &result);
 *     use(result.outcomes[0].end);
 *     wd_clear(&result);
 *
 * Limits: one thread a run; runs share nothing but the trace.
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

typedef enum wd_end {
    WD_OPEN = 0,
    WD_ANSWERED, /* whole, by the deadline */
    WD_LATE,     /* the caller left at the deadline */
    WD_REFUSED,
} wd_end;

typedef struct wd_outcome {
    wd_end end;
    uint64_t end_us;
    uint64_t stall_us;     /* waited for loads */
    uint64_t wait_from_us; /* start of the present wait */
} wd_outcome;

typedef struct wd_desc {
    const ar_deployment *deployment; /* required */
    const ar_trace *trace;           /* required */
    ar_scenario scenario;
    uint32_t seed;
    wd_policy_kind policy;
    uint32_t parts_off; /* lwd_feature bits, of our policy */
} wd_desc;

typedef struct wd_result {
    wd_outcome *outcomes; /* by request of the trace */
    uint32_t count;
    en_totals window; /* within the measured time */
    en_totals all;
    uint64_t useful_tokens; /* of answers in time, whole run */
    uint32_t forwards;
    uint32_t attempts;
    uint32_t loads;
    uint32_t violations[VC_KIND_NUM];
    uint32_t violation_count;
} wd_result;

void wd_run(const wd_desc *desc, wd_result *result);
void wd_clear(wd_result *result);

#endif
