/*
 * checker.h: counts violations of the rules that every policy must keep
 * (prefix ck_).
 *
 * Is told each event fed to a policy and each action taken out of it, with
 * the tags of requests, adapters and servers, which are used as array indices
 * here. It does not look into the policy.
 */
#ifndef LACEWING_TESTS_CHECKER_H
#define LACEWING_TESTS_CHECKER_H

#include "lacewing/decisions.h"
#include <glib.h>

#define CK_SERVERS 16
#define CK_ADAPTERS 64
#define CK_REQUESTS 8192
/* A cancelled attempt may still run for this long; less than the 500 ms after
   which the policy counts it as ended. */
#define CK_CANCEL_US 400000
/* Largest number of loads that the load rate allows at once. */
#define CK_BURST 2.0

/* The rules; each kind counts the actions that break it:
   CK_WRONG_ADAPTER       sent with another adapter than the request's
   CK_NOT_HELD            sent to a server that does not hold the adapter
   CK_EVICTED_IN_USE      evicted while an attempt may use the adapter
   CK_EVICTED_UNSETTLED   evicted before handover_until_us
   CK_TWO_ENDS            a request ended twice
   CK_SENT_AFTER_END      sent or forwarded after its end
   CK_SENT_TO_LEAVING     sent to a leaving server, or loaded there
   CK_REFUSED_BUT_SENT    refused as not run although it may have run
   CK_LOAD_RATE           loads faster than the load rate
   CK_LOAD_TRANSIT        more loads in transit than allowed
   CK_LOADED_TWICE        loaded where it is held, being loaded or evicted
   CK_TOO_MANY_RUNNING    sent to a server without a free slot */
#define CK_KINDS(X)                                                           \
    X(CK_WRONG_ADAPTER)                                                       \
    X(CK_NOT_HELD)                                                            \
    X(CK_EVICTED_IN_USE)                                                      \
    X(CK_EVICTED_UNSETTLED)                                                   \
    X(CK_TWO_ENDS)                                                            \
    X(CK_SENT_AFTER_END)                                                      \
    X(CK_SENT_TO_LEAVING)                                                     \
    X(CK_REFUSED_BUT_SENT)                                                    \
    X(CK_LOAD_RATE)                                                           \
    X(CK_LOAD_TRANSIT)                                                        \
    X(CK_LOADED_TWICE)                                                        \
    X(CK_TOO_MANY_RUNNING)

typedef enum ck_kind {
#define CK_ENUM(kind) kind,
    CK_KINDS(CK_ENUM)
#undef CK_ENUM
        CK_KIND_NUM
} ck_kind;

static const char *const ck_names[] = {
#define CK_NAME(kind) #kind,
    CK_KINDS(CK_NAME)
#undef CK_NAME
};

typedef enum ck_copy_state {
    CK_ABSENT = 0,
    CK_LOADING,
    CK_RESIDENT,
    CK_EVICTING,
} ck_copy_state;

typedef struct ck_attempt {
    uint64_t tag;
    uint32_t server;
    uint32_t adapter;
    uint64_t cancelled_us; /* 0: not cancelled */
} ck_attempt;

typedef struct ck_request {
    uint32_t adapter;
    uint32_t may_have_run; /* attempts and forwards that may have run */
    bool ended;
} ck_request;

typedef struct ck_checker {
    ck_copy_state copy_states[CK_SERVERS][CK_ADAPTERS];
    bool leaving[CK_SERVERS];
    uint64_t handover_until_us[CK_SERVERS]; /* no evictions before */
    uint32_t slots;                         /* of each server */
    ck_request requests[CK_REQUESTS];
    GHashTable *attempts;  /* id -> ck_attempt */
    double rate;           /* loads per second */
    double allowance;      /* loads allowed now, a token bucket */
    uint64_t allowance_us; /* time of the last refill */
    uint32_t in_transit;
    uint32_t max_in_transit;
    uint32_t counts[CK_KIND_NUM];
} ck_checker;

static inline ck_checker *
ck_create(double rate, uint32_t max_in_transit, uint32_t slots)
{
    ck_checker *checker = g_new0(ck_checker, 1);
    checker->attempts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    checker->rate = rate;
    checker->max_in_transit = max_in_transit;
    checker->allowance = MIN(CK_BURST, max_in_transit);
    checker->slots = slots;
    return checker;
}

static inline void
ck_destroy(ck_checker *checker)
{
    g_hash_table_unref(checker->attempts);
    g_free(checker);
}

static inline uint32_t
ck_total_violations(const ck_checker *checker)
{
    uint32_t total = 0;
    for (uint32_t kind = 0; kind < CK_KIND_NUM; kind++) {
        total += checker->counts[kind];
    }
    return total;
}

/* -- events --------------------------------------------------------------- */

static inline void
ck_on_request(ck_checker *checker, uint64_t tag, uint32_t adapter)
{
    checker->requests[tag] = (ck_request){.adapter = adapter};
}

static inline void
ck_on_request_end(ck_checker *checker, uint64_t tag)
{
    ck_request *request = &checker->requests[tag];
    checker->counts[CK_TWO_ENDS] += request->ended ? 1 : 0;
    request->ended = true;
}

/* Records the end of an attempt; ran is false when it certainly did not
   run. */
static inline void
ck_on_attempt_end(ck_checker *checker, uint64_t id, bool ran)
{
    ck_attempt *attempt = g_hash_table_lookup(checker->attempts, &id);
    if (attempt) {
        checker->requests[attempt->tag].may_have_run -= ran ? 0 : 1;
        g_hash_table_remove(checker->attempts, &id);
    }
}

static inline void
ck_on_load_end(ck_checker *checker, uint32_t server, uint32_t adapter,
               bool done)
{
    if (checker->copy_states[server][adapter] == CK_LOADING) {
        checker->in_transit--;
        checker->copy_states[server][adapter] = done ? CK_RESIDENT : CK_ABSENT;
    }
}

/* Records that the server lost all adapters and attempts. */
static inline void
ck_on_server_emptied(ck_checker *checker, uint32_t server)
{
    for (uint32_t adapter = 0; adapter < CK_ADAPTERS; adapter++) {
        ck_on_load_end(checker, server, adapter, false);
        checker->copy_states[server][adapter] = CK_ABSENT;
    }
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, checker->attempts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((ck_attempt *)value)->server == server) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* -- actions -------------------------------------------------------------- */

/* Returns the number of attempts on a server that are not cancelled. Sets
   in_use when an attempt, cancelled or not, may still use the adapter. */
static inline uint32_t
ck_count_running(const ck_checker *checker, uint64_t now_us, uint32_t server,
                 uint32_t adapter, bool *in_use)
{
    uint32_t running = 0;
    GHashTableIter iter;
    gpointer value = NULL;
    g_hash_table_iter_init(&iter, checker->attempts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const ck_attempt *attempt = value;
        bool over = attempt->cancelled_us &&
                    now_us > attempt->cancelled_us + CK_CANCEL_US;
        if (attempt->server != server || over) {
            continue;
        }
        running += attempt->cancelled_us ? 0 : 1;
        *in_use = *in_use || attempt->adapter == adapter;
    }
    return running;
}

static inline void
ck_on_send(ck_checker *checker, uint64_t now_us, const lwd_action *action)
{
    uint32_t server = (uint32_t)action->server_tag;
    uint32_t adapter = (uint32_t)action->adapter_tag;
    ck_request *request = &checker->requests[action->tag];
    bool in_use = false;
    uint32_t running =
        ck_count_running(checker, now_us, server, adapter, &in_use);
    checker->counts[CK_TOO_MANY_RUNNING] += running >= checker->slots;
    checker->counts[CK_WRONG_ADAPTER] += request->adapter != adapter;
    checker->counts[CK_SENT_AFTER_END] += request->ended;
    checker->counts[CK_NOT_HELD] +=
        checker->copy_states[server][adapter] != CK_RESIDENT;
    checker->counts[CK_SENT_TO_LEAVING] += checker->leaving[server];
    request->may_have_run++;
    ck_attempt attempt = {
        .tag = action->tag, .server = server, .adapter = adapter};
    g_hash_table_insert(
        checker->attempts,
        g_memdup2(&action->attempt.id, sizeof(action->attempt.id)),
        g_memdup2(&attempt, sizeof(attempt)));
}

static inline void
ck_on_load(ck_checker *checker, uint64_t now_us, uint32_t server,
           uint32_t adapter)
{
    double passed_s = (double)(now_us - checker->allowance_us) / 1e6;
    double most = MIN(CK_BURST, checker->max_in_transit);
    checker->allowance =
        MIN(most, checker->allowance + passed_s * checker->rate);
    checker->allowance_us = now_us;
    /* 0.999 allows for rounding of the allowance. */
    checker->counts[CK_LOAD_RATE] += checker->allowance < 0.999;
    checker->allowance -= 1;
    checker->in_transit++;
    checker->counts[CK_LOAD_TRANSIT] +=
        checker->in_transit > checker->max_in_transit;
    checker->counts[CK_LOADED_TWICE] +=
        checker->copy_states[server][adapter] != CK_ABSENT;
    checker->counts[CK_SENT_TO_LEAVING] += checker->leaving[server];
    checker->copy_states[server][adapter] = CK_LOADING;
}

static inline void
ck_on_evict(ck_checker *checker, uint64_t now_us, uint32_t server,
            uint32_t adapter)
{
    bool in_use = false;
    ck_count_running(checker, now_us, server, adapter, &in_use);
    checker->counts[CK_EVICTED_IN_USE] += in_use;
    checker->counts[CK_EVICTED_UNSETTLED] +=
        now_us < checker->handover_until_us[server];
    /* The policy also evicts after a load that got no answer in time. */
    ck_on_load_end(checker, server, adapter, true);
    checker->copy_states[server][adapter] = CK_EVICTING;
}

static inline void
ck_on_cancel(ck_checker *checker, uint64_t now_us, uint64_t id)
{
    ck_attempt *attempt = g_hash_table_lookup(checker->attempts, &id);
    if (attempt && !attempt->cancelled_us) {
        attempt->cancelled_us = now_us;
    }
}

static inline void
ck_on_action(ck_checker *checker, uint64_t now_us, const lwd_action *action)
{
    uint32_t server = (uint32_t)action->server_tag;
    uint32_t adapter = (uint32_t)action->adapter_tag;
    switch (action->type) {
    case LWD_ACTION_SEND:
        ck_on_send(checker, now_us, action);
        break;
    case LWD_ACTION_FORWARD:
        checker->counts[CK_SENT_AFTER_END] +=
            checker->requests[action->tag].ended;
        checker->requests[action->tag].may_have_run++;
        break;
    case LWD_ACTION_REFUSE:
        checker->counts[CK_REFUSED_BUT_SENT] +=
            !action->ran && checker->requests[action->tag].may_have_run > 0;
        ck_on_request_end(checker, action->tag);
        break;
    case LWD_ACTION_CANCEL:
        ck_on_cancel(checker, now_us, action->attempt.id);
        break;
    case LWD_ACTION_LOAD:
        ck_on_load(checker, now_us, server, adapter);
        break;
    case LWD_ACTION_EVICT:
        ck_on_evict(checker, now_us, server, adapter);
        break;
    default:
        break;
    }
}

#endif
