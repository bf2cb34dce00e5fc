/*
 * checker.h: counts a policy's violations of its guarantees (prefix vc_).
 *
 * The checker is told each action of every instance and its outcome at the
 * engine; it does not depend on how the policy decides. A leg is the part of a
 * request that one instance handles: the first leg is that of the entry
 * instance, and each forward adds a leg whose parent is the leg that forwarded
 * it.
 *
 *     vc_checker *checker = vc_create(&(vc_desc){.servers = 18,
 *         .adapters = 3000, .loads_per_s_milli = 6000,
 *         .loads_in_transit = 16});
 *     vc_add_leg(checker, 0, 7, VC_NO_PARENT);
 *     vc_start_attempt(checker, now_us, 0, 3, 7);
 *     vc_end_leg(checker, 0);
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
/* Time after the start of leaving in which requests may still be sent. */
#define VC_LEAVING_GRACE_US 3000000ULL

/* Kinds of violations (code, name in the output):
   - VC_WRONG_ADAPTER: an attempt names another adapter than its request
   - VC_EVICTED_IN_USE: an adapter was evicted while an attempt used it
   - VC_STORE_RATE: loads were ordered faster than the store's rate
   - VC_STORE_TRANSIT: too many loads were in transit
   - VC_SENT_TO_LEAVING: an attempt was sent after VC_LEAVING_GRACE_US
   - VC_REFUSED_BUT_SENT: a refusal says that the request did not run, although
     an attempt may have run
   - VC_TWO_ENDS: a leg ended twice
   - VC_SENT_AFTER_END: an attempt was sent for a leg that had ended */
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
    uint32_t loads_per_s_milli; /* loads per 1000 s of the weight store;
                                   required */
    uint32_t loads_in_transit;  /* limit over all instances, also the burst
                                   that the rate allows; required */
} vc_desc;

typedef struct vc_checker vc_checker;

vc_checker *vc_create(const vc_desc *desc);
void vc_destroy(vc_checker *checker);

/* commands */
/* Adds a leg; its number must be the next one. */
void vc_add_leg(vc_checker *checker, uint32_t leg, uint32_t adapter,
                uint32_t parent);
void vc_start_attempt(vc_checker *checker, uint64_t now_us, uint32_t leg,
                      uint32_t server, uint32_t adapter);
/* Records that an attempt has ended; not_started: the engine confirmed that it
   did not start. */
void vc_end_attempt(vc_checker *checker, uint32_t leg, uint32_t server,
                    uint32_t adapter, bool not_started);
void vc_start_load(vc_checker *checker, uint64_t now_us);
void vc_end_load(vc_checker *checker);
void vc_evict(vc_checker *checker, uint32_t server, uint32_t adapter);
void vc_set_leaving(vc_checker *checker, uint64_t now_us, uint32_t server);
/* Record the end of a leg: by refusal, where ran is what the refusal says, or
   in any other way. */
void vc_refuse_leg(vc_checker *checker, uint32_t leg, bool ran);
void vc_end_leg(vc_checker *checker, uint32_t leg);

/* queries */
uint32_t vc_query_count(const vc_checker *checker, vc_kind kind);
uint32_t vc_query_total(const vc_checker *checker);
const char *vc_query_name(vc_kind kind);

#endif
