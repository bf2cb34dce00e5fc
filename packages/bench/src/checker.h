/*
 * checker.h: counts what a policy must never do (prefix vc_).
 *
 * The checker sees each action of every instance and what the engines did
 * with it, and knows nothing of how the policy decides. A leg is one
 * request as one instance sees it: the entry's own, or a forwarded one whose
 * parent is the leg it came from.
 *
 *     vc_checker *checker = vc_create(&(vc_desc){.servers = 18,
 *         .adapters = 3000, .loads_per_s_milli = 6000,
 *         .loads_in_transit = 16});
 *     vc_enter(checker, 0, 7, VC_NO_PARENT);
 *     vc_send(checker, now_us, 0, 3, 7);
 *     vc_finish(checker, 0);
 *     uint32_t count = vc_query_total(checker);
 *     vc_destroy(checker);
 *
 * Limits: one thread; legs are numbered from 0 without gaps.
 */
#ifndef BENCH_CHECKER_H
#define BENCH_CHECKER_H

#include <stdbool.h>
#include <stdint.h>

#define VC_NO_PARENT UINT32_MAX
#define VC_LEAVING_GRACE_US 3000000ULL

/* code, name */
#define VC_KINDS(X)                                                           \
    X(VC_WRONG_ADAPTER, "wrong_adapter")                                      \
    X(VC_EVICTED_IN_USE, "evicted_in_use")                                    \
    X(VC_STORE_RATE, "store_rate")                                            \
    X(VC_STORE_TRANSIT, "store_transit")                                      \
    X(VC_SENT_TO_LEAVING, "sent_to_leaving")                                  \
    X(VC_REFUSED_BUT_SENT, "refused_but_sent")                                \
    X(VC_TWO_ENDS, "two_ends")                                                \
    X(VC_SENT_AFTER_END, "sent_after_end")

typedef enum vc_kind {
#define VC_ENUM(code, name) code,
    VC_KINDS(VC_ENUM)
#undef VC_ENUM
        VC_KIND_NUM
} vc_kind;

typedef struct vc_desc {
    uint32_t servers;           /* required */
    uint32_t adapters;          /* required */
    uint32_t loads_per_s_milli; /* of the store; required */
    uint32_t loads_in_transit;  /* over all instances; required; also the
                                   burst that the rate allows */
} vc_desc;

typedef struct vc_checker vc_checker;

vc_checker *vc_create(const vc_desc *desc);
void vc_destroy(vc_checker *checker);

/* commands */
void vc_enter(vc_checker *checker, uint32_t leg, uint32_t adapter,
              uint32_t parent);
void vc_send(vc_checker *checker, uint64_t now_us, uint32_t leg,
             uint32_t server, uint32_t adapter);
/* The engine is done with an attempt; not_started: it told so. */
void vc_attempt_over(vc_checker *checker, uint32_t leg, uint32_t server,
                     uint32_t adapter, bool not_started);
void vc_load(vc_checker *checker, uint64_t now_us);
void vc_load_over(vc_checker *checker);
void vc_evict(vc_checker *checker, uint32_t server, uint32_t adapter);
void vc_leaving(vc_checker *checker, uint64_t now_us, uint32_t server);
/* A leg's end, by refusal and by any other way. */
void vc_refuse(vc_checker *checker, uint32_t leg, bool ran);
void vc_finish(vc_checker *checker, uint32_t leg);

/* queries */
uint32_t vc_query(const vc_checker *checker, vc_kind kind);
uint32_t vc_query_total(const vc_checker *checker);
const char *vc_query_name(vc_kind kind);

#endif
