/*
 * decisions.h: decides which request runs where and when (prefix lwd_).
 *
 * Holds the scheduling policy of one instance: routing, placement and loads
 * of adapters, order of requests, admission, straggling servers, hedging, and
 * requests that crash backend servers. It uses no sockets, threads, clocks or
 * global state: typed events and the time go in, typed actions come out, and
 * randomness is seeded. The same sequence of calls gives the same actions.
 * One process may hold any number of independent policies.
 *
 *     lwd_policy *policy = lwd_create(&(lwd_desc){.seed = 1});
 *     lwd_server server = lwd_make_server(policy, now_us,
 *         &(lwd_server_desc){.slots = 16, .adapter_slots = 32,
 *                            .owned = true});
 *     lwd_adapter adapter = lwd_make_adapter(policy, now_us,
 *         &(lwd_adapter_desc){.tag = 7});
 *     lwd_request request = lwd_make_request(policy, now_us,
 *         &(lwd_request_desc){.adapter = adapter, .max_tokens = 64,
 *                             .deadline_us = now_us + 2000000});
 *     lwd_action action;
 *     while (lwd_next_action(policy, &action)) {
 *         carry_out(&action);
 *     }
 *     lwd_feed(policy, now_us, &(lwd_event){
 *         .type = LWD_EVENT_FIRST_TOKEN, .attempt = action.attempt});
 *     lwd_destroy(policy);
 *
 * An instance accepts requests from its callers and owns some of the backend
 * servers. LWD_ACTION_FORWARD hands a request to the instance that owns the
 * chosen server, where it enters by lwd_make_request() with .forwarded and
 * .server set. An owner publishes the state of its servers with
 * LWD_ACTION_SUMMARY, which the other instances take in as
 * LWD_EVENT_SUMMARY.
 *
 * Life cycle of a request: it enters, is queued, and is sent one or more
 * times (each LWD_ACTION_SEND is one attempt). It ends by exactly one of: the
 * event LWD_EVENT_FINISHED of one of its attempts, the event
 * LWD_EVENT_CALLER_GONE, the event LWD_EVENT_FORWARD_FINISHED, or the action
 * LWD_ACTION_REFUSE. Attempts that are still open get LWD_ACTION_CANCEL
 * first. Afterwards its id is stale, and events that name it are dropped with
 * ER_STALE.
 *
 * After each call that takes the time, drain lwd_next_action(). Feed
 * LWD_EVENT_TICK no later than lwd_query_wakeup_us().
 *
 * commands:  lwd_create lwd_destroy lwd_make_server lwd_destroy_server
 *            lwd_make_adapter lwd_destroy_adapter lwd_make_request lwd_feed
 *            lwd_next_action lwd_set_limits
 * queries:   lwd_query_wakeup_us lwd_query_server_state
 *            lwd_query_adapter_state lwd_query_request_state
 *            lwd_query_server_info lwd_query_resident lwd_query_bytes
 *            lwd_query_last_status
 *
 * Limits: a policy must not be used from two threads at once. Times are
 * microseconds since any fixed start; an earlier time than the last one is
 * ignored. Pools are sized at creation; a full pool gives id 0 with
 * ER_POOL_FULL.
 */
#ifndef LACEWING_DECISIONS_H
#define LACEWING_DECISIONS_H

#include "lacewing/error.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* -- ids: slot index and generation; 0 is never valid --------------------- */

typedef struct lwd_server {
    uint32_t id;
} lwd_server;
typedef struct lwd_adapter {
    uint32_t id;
} lwd_adapter;
typedef struct lwd_request {
    uint64_t id;
} lwd_request;
typedef struct lwd_attempt {
    uint64_t id;
} lwd_attempt;

/* Server: VALID when ready and not ejected by this instance, else FAILED.
   Adapter: VALID when some server holds or loads it, else ALLOC; FAILED during
   the backoff after a failed load. Request: ALLOC while it is queued, VALID
   while it runs or is forwarded, FAILED during the delay before it is routed
   again. */
typedef enum lwd_resource_state {
    LWD_STATE_INITIAL = 0, /* no such id */
    LWD_STATE_ALLOC,       /* created, not usable yet */
    LWD_STATE_VALID,
    LWD_STATE_FAILED, /* temporarily unusable */
    LWD_STATE_NUM
} lwd_resource_state;

/* -- descriptions: zero means default ------------------------------------- */

/* Features that can be disabled one by one, to measure what each gains. */
typedef enum lwd_feature {
    LWD_FEATURE_PLACEMENT = 1 << 0,  /* copies by popularity, evictions */
    LWD_FEATURE_LOADS = 1 << 1,      /* load order, extra copies, prefetch */
    LWD_FEATURE_ROUTING = 1 << 2,    /* affinity with bounded load */
    LWD_FEATURE_ORDER = 1 << 3,      /* order by length, with ageing */
    LWD_FEATURE_ADMISSION = 1 << 4,  /* refuses what would be late */
    LWD_FEATURE_STRAGGLERS = 1 << 5, /* ejection, probes, hedging */
    LWD_FEATURE_NUM = 6
} lwd_feature;

typedef struct lwd_desc {
    uint64_t seed;              /* of all random choices; default 1 */
    uint32_t instance;          /* this instance's number */
    uint32_t zone;              /* this instance's availability zone */
    uint32_t server_capacity;   /* default 640 */
    uint32_t adapter_capacity;  /* default 16384 */
    uint32_t request_capacity;  /* not ended; default 8192 */
    uint32_t action_capacity;   /* not yet taken out; default 8192 */
    uint32_t loads_per_s_milli; /* this instance's share of the weight
                                   store's rate, in loads per 1000 s;
                                   default 1000 */
    uint32_t loads_in_transit;  /* this instance's share of concurrent
                                   loads; default 1 */
    uint32_t load_ms;           /* expected time of one load; default 250 */
    uint32_t hop_us;            /* one-way latency to another instance of
                                   the region; default 1000 */
    uint32_t first_token_target_ms; /* default 700 */
    uint32_t token_interval_ms;     /* target between tokens; default 55; not
                                       used by this library's policy */
    uint32_t eject_share_pct;       /* largest share of a zone's servers
                                       ejected at once, but at least one
                                       server; default 34 */
    uint32_t hedge_budget_pct;      /* hedges, as a share of successes;
                                       default 3 */
    uint32_t retry_budget_pct;      /* retries, as a share of successes;
                                       default 10 */
    uint32_t poison_deaths;         /* server deaths after which a request is
                                       refused with ER_POISON; default 2 */
    uint32_t disabled_features;     /* lwd_feature bits */
} lwd_desc;

/* The owner of a server is not known: no request is forwarded to it. */
#define LWD_OWNER_NONE UINT32_MAX

typedef struct lwd_server_desc {
    uint64_t tag;           /* chosen by the user, comes back in actions */
    uint32_t zone;          /* availability zone */
    uint32_t slots;         /* concurrent requests; default 16 */
    uint32_t adapter_slots; /* resident adapters; default 16 */
    uint32_t tokens_per_s;  /* with one request running; default 40 */
    uint32_t prefill_per_s; /* prompt tokens per second; default 4000 */
    uint32_t owner;         /* instance that owns it, or LWD_OWNER_NONE */
    bool owned;             /* by this instance */
    bool pausable;          /* its engine can pause and resume streams; not
                               used by this library's policy */
} lwd_server_desc;

typedef struct lwd_adapter_desc {
    uint64_t tag;    /* of adapter and version, chosen by the user */
    uint64_t hash;   /* places its copies, so it must be the same on every
                        instance; default: a hash of tag */
    uint32_t pinned; /* copies to keep resident; default 0 */
} lwd_adapter_desc;

typedef struct lwd_request_desc {
    uint64_t tag;           /* chosen by the user, comes back in actions */
    lwd_adapter adapter;    /* adapter and version it must run on */
    uint32_t team;          /* for fair sharing; default 0 */
    uint32_t team_weight;   /* relative share of the team; default 1 */
    uint32_t operation;     /* 0..63; answer lengths are learned for each */
    uint32_t prompt_tokens; /* default 1 */
    uint32_t max_tokens;    /* upper bound of the answer; default 256 */
    uint32_t resume_from;   /* tokens that the caller already has */
    uint64_t deadline_us;   /* for the whole answer; default: none */
    uint64_t fingerprint;   /* hash of the content; 0: none */
    uint64_t prefix;        /* hash of the prompt's prefix; 0: none */
    lwd_server server;      /* forwarded: the server chosen at its entry; not
                               used by this library's policy, which chooses
                               among all servers of this instance */
    bool forwarded;         /* entered at another instance */
} lwd_request_desc;

/* -- events --------------------------------------------------------------- */

typedef enum lwd_event_type {
    LWD_EVENT_DEFAULT = 0, /* invalid: ER_BAD_REQUEST */
    /* Fires due timers. Fields: none. */
    LWD_EVENT_TICK,
    /* The caller closed its connection. Fields: request. */
    LWD_EVENT_CALLER_GONE,
    /* An attempt made its first token. Fields: attempt, tokens (as PROGRESS;
       0: one more than its SEND named). */
    LWD_EVENT_FIRST_TOKEN,
    /* An attempt has made tokens; tokens is the total so far, with those of
       earlier attempts. Fields: attempt, tokens. */
    LWD_EVENT_PROGRESS,
    /* An attempt completed the answer. Fields: attempt, tokens. */
    LWD_EVENT_FINISHED,
    /* An attempt failed. Fields: attempt, tokens, failure. */
    LWD_EVENT_FAILED,
    /* An attempt stopped on LWD_ACTION_PAUSE. Fields: attempt, tokens. */
    LWD_EVENT_PAUSED,
    /* The other instance completed a forwarded request. Fields: request,
       tokens. */
    LWD_EVENT_FORWARD_FINISHED,
    /* The other instance gave a forwarded request back. Fields: request,
       reason, tokens, failure (NOT_STARTED: it did not run there),
       retry_after_ms. */
    LWD_EVENT_FORWARD_FAILED,
    /* A server changed its state. Fields: server, server_state. */
    LWD_EVENT_SERVER_STATE,
    /* The owner of a server changed. Fields: server, owner (or
       LWD_OWNER_NONE), owned, handover_until_us. Before handover_until_us
       nothing is evicted there, and only adapters that LWD_EVENT_RESIDENT
       listed or that were loaded since are used: an engine that does not
       check fencing tokens may still obey orders of the old owner. */
    LWD_EVENT_OWNER,
    /* The engine of a server listed an adapter. Fields: server, adapter,
       resident (false: it is not resident). */
    LWD_EVENT_RESIDENT,
    /* A load succeeded. Fields: server, adapter. */
    LWD_EVENT_LOAD_DONE,
    /* A load failed. Fields: server, adapter. */
    LWD_EVENT_LOAD_FAILED,
    /* An eviction ended. Fields: server, adapter. */
    LWD_EVENT_EVICT_DONE,
    /* The engine reported its load. Not used: the report is late, and the
       count of the policy itself is newer. Fields: server, running, waiting,
       sampled_us. */
    LWD_EVENT_LOAD_REPORT,
    /* The engine reported a change of its prefix cache. Reports may be late
       or missing. Fields: server, prefix, resident. */
    LWD_EVENT_CACHE,
    /* The owner of a server published its summary. Fields: server,
       summary. */
    LWD_EVENT_SUMMARY,
    /* This instance's share of the weight store changed. Fields:
       loads_per_s_milli, loads_in_transit; 0 in either allows no loads. */
    LWD_EVENT_WEIGHT_SHARE,
    /* Another instance saw a server die with a request running. Fields:
       fingerprint, deaths (of that fingerprint so far). */
    LWD_EVENT_SUSPECT,
    LWD_EVENT_NUM
} lwd_event_type;

typedef enum lwd_server_state {
    LWD_SERVER_DEFAULT = 0, /* ready */
    LWD_SERVER_READY,
    LWD_SERVER_RESTARTED, /* ready, with no adapters resident */
    LWD_SERVER_LEAVING,   /* finishes its requests, gets no new ones; final */
    LWD_SERVER_DOWN,
    LWD_SERVER_STATE_NUM
} lwd_server_state;

typedef enum lwd_failure {
    LWD_FAILURE_DEFAULT = 0,  /* as LWD_FAILURE_BROKEN */
    LWD_FAILURE_NOT_STARTED,  /* it certainly did not run */
    LWD_FAILURE_BROKEN,       /* the stream broke off */
    LWD_FAILURE_DIED,         /* the server died while it ran */
    LWD_FAILURE_NOT_RESIDENT, /* the adapter is not in the engine */
    LWD_FAILURE_FENCED,       /* the engine has seen a newer fencing token */
    LWD_FAILURE_NUM
} lwd_failure;

#define LWD_SUMMARY_CHANGES 16

/* Load of one server and recent residency changes, published by its owner. */
typedef struct lwd_summary {
    uint64_t sequence;          /* of this server and owner; older ones are
                                   dropped */
    uint32_t running;           /* requests running */
    uint32_t waiting;           /* requests queued */
    uint32_t backlog_ms;        /* expected wait of a new short request */
    uint32_t load_wait_ms;      /* expected time until a missing adapter
                                   is loaded */
    uint32_t token_interval_us; /* learned, of one stream */
    bool ejected;               /* as a straggler */
    uint32_t change_count;      /* entries of changes in use */
    struct {
        uint64_t adapter_tag;
        bool resident;
    } changes[LWD_SUMMARY_CHANGES];
} lwd_summary;

typedef struct lwd_event {
    lwd_event_type type;
    lwd_request request;
    lwd_attempt attempt;
    lwd_server server;
    lwd_adapter adapter;
    lwd_failure failure;
    lwd_server_state server_state;
    er_code reason;
    uint32_t tokens;
    uint32_t running;
    uint32_t waiting;
    uint32_t owner;
    uint32_t deaths;
    uint32_t retry_after_ms;
    uint32_t loads_per_s_milli;
    uint32_t loads_in_transit;
    uint64_t sampled_us;
    uint64_t handover_until_us;
    uint64_t fingerprint;
    uint64_t prefix;
    bool owned;
    bool resident;
    const lwd_summary *summary; /* needed only during the call */
} lwd_event;

/* -- actions -------------------------------------------------------------- */

typedef enum lwd_action_type {
    LWD_ACTION_DEFAULT = 0,
    /* Send a request to an owned server. Fields: request, tag, attempt,
       server, adapter, priority (lower runs first), resume_from, hedge. */
    LWD_ACTION_SEND,
    /* Forward a request to the owner of a server. Fields: request, tag,
       server, instance, adapter, resume_from. */
    LWD_ACTION_FORWARD,
    /* Refuse a request to its caller, or to the instance that forwarded it;
       this ends it. Fields: request, tag, reason, retry_after_ms, ran (false:
       it certainly did not run). */
    LWD_ACTION_REFUSE,
    /* Stop an attempt. Fields: request, tag, attempt, server. */
    LWD_ACTION_CANCEL,
    /* Stop a forwarded request. Fields: request, tag, server, instance. */
    LWD_ACTION_CANCEL_FORWARD,
    /* Pause an attempt; a later SEND continues it from resume_from. This
       library's policy does not order it. Fields: request, tag, attempt,
       server. */
    LWD_ACTION_PAUSE,
    /* Load an adapter. Fields: server, adapter. */
    LWD_ACTION_LOAD,
    /* Evict an adapter. Fields: server, adapter. */
    LWD_ACTION_EVICT,
    /* Publish the summary of an owned server to the other instances. Fields:
       server, summary. */
    LWD_ACTION_SUMMARY,
    /* Report a server death to the other instances. Fields: fingerprint,
       deaths (of that fingerprint so far). */
    LWD_ACTION_SUSPECT,
    LWD_ACTION_NUM
} lwd_action_type;

typedef struct lwd_action {
    lwd_action_type type;
    lwd_request request;
    uint64_t tag;
    lwd_attempt attempt;
    lwd_server server;
    lwd_adapter adapter;
    uint64_t server_tag;
    uint64_t adapter_tag;
    uint32_t instance;
    uint32_t priority;
    uint32_t resume_from;
    uint32_t retry_after_ms;
    uint32_t deaths;
    er_code reason;
    uint64_t fingerprint;
    bool ran;
    bool hedge;
    lwd_summary summary;
} lwd_action;

/* -- the policy ----------------------------------------------------------- */

typedef struct lwd_policy lwd_policy;

/* State of a server as this instance knows it: from its own records if it owns
   the server, else from the owner's last summary. */
typedef struct lwd_server_info {
    uint64_t tag;
    uint32_t running;           /* requests running */
    uint32_t waiting;           /* requests queued for it */
    uint32_t backlog_ms;        /* expected wait of a new request */
    uint32_t token_interval_us; /* expected, of one stream */
    uint32_t resident;          /* adapter slots in use without those of
                                   loading; also counts slots reserved for a
                                   load and adapters being evicted */
    uint32_t loading;           /* loads in transit */
    uint32_t owner;             /* instance, or LWD_OWNER_NONE */
    bool owned;                 /* by this instance */
    bool ejected;               /* as a straggler */
    bool leaving;               /* LWD_SERVER_LEAVING */
} lwd_server_info;

/* Function table of a policy. lwd_create() makes this library's policy; a
   baseline or an earlier version implements the same table, so that they can
   be compared under the same driver. */
typedef struct lwd_policy_vt {
    void (*destroy)(lwd_policy *policy);
    lwd_server (*make_server)(lwd_policy *policy, uint64_t now_us,
                              const lwd_server_desc *desc);
    void (*destroy_server)(lwd_policy *policy, uint64_t now_us,
                           lwd_server server);
    lwd_adapter (*make_adapter)(lwd_policy *policy, uint64_t now_us,
                                const lwd_adapter_desc *desc);
    void (*destroy_adapter)(lwd_policy *policy, uint64_t now_us,
                            lwd_adapter adapter);
    lwd_request (*make_request)(lwd_policy *policy, uint64_t now_us,
                                const lwd_request_desc *desc);
    er_code (*feed)(lwd_policy *policy, uint64_t now_us,
                    const lwd_event *event);
    bool (*next_action)(lwd_policy *policy, lwd_action *action);
    uint64_t (*query_wakeup_us)(const lwd_policy *policy);
} lwd_policy_vt;

/* First member of each implementation's own struct. */
struct lwd_policy {
    const lwd_policy_vt *vt;
};

/* Creates this library's policy; desc is copied. */
lwd_policy *lwd_create(const lwd_desc *desc);
void lwd_destroy(lwd_policy *policy);

/* Adds a server. It is ready, and no adapter is resident on it. */
lwd_server lwd_make_server(lwd_policy *policy, uint64_t now_us,
                           const lwd_server_desc *desc);
/* Removes a server. Its requests are routed elsewhere, as with
   LWD_SERVER_DOWN. */
void lwd_destroy_server(lwd_policy *policy, uint64_t now_us,
                        lwd_server server);
lwd_adapter lwd_make_adapter(lwd_policy *policy, uint64_t now_us,
                             const lwd_adapter_desc *desc);
/* Removes an adapter. Its requests that have not started are refused with
   ER_UNKNOWN_MODEL. */
void lwd_destroy_adapter(lwd_policy *policy, uint64_t now_us,
                         lwd_adapter adapter);
/* Adds a request; its first actions may be ready at once. Returns id 0 with
   ER_UNKNOWN_MODEL if the adapter is unknown, with ER_POOL_FULL if the pool of
   requests is full or half of the action queue is in use. */
lwd_request lwd_make_request(lwd_policy *policy, uint64_t now_us,
                             const lwd_request_desc *desc);
/* Handles one event. After ER_STALE or ER_INVALID_ID nothing has changed,
   except that the end of a cancelled attempt is recorded. */
er_code lwd_feed(lwd_policy *policy, uint64_t now_us, const lwd_event *event);
/* Changes targets and budgets of a policy made by lwd_create(). Reads only
   load_ms, first_token_target_ms, token_interval_ms, eject_share_pct,
   hedge_budget_pct, retry_budget_pct and poison_deaths of the desc, of which
   0 again means the default. */
void lwd_set_limits(lwd_policy *policy, const lwd_desc *desc);
/* Takes out the oldest action; returns false when there is none. */
bool lwd_next_action(lwd_policy *policy, lwd_action *action);

/* Returns the time at which LWD_EVENT_TICK is due; UINT64_MAX: never. */
uint64_t lwd_query_wakeup_us(const lwd_policy *policy);

/* The queries below need a policy made by lwd_create(). */
lwd_resource_state lwd_query_server_state(const lwd_policy *policy,
                                          lwd_server server);
lwd_resource_state lwd_query_adapter_state(const lwd_policy *policy,
                                           lwd_adapter adapter);
lwd_resource_state lwd_query_request_state(const lwd_policy *policy,
                                           lwd_request request);
/* Returns false if the server is unknown. */
bool lwd_query_server_info(const lwd_policy *policy, lwd_server server,
                           lwd_server_info *info);
/* Returns whether the server holds the adapter, as this instance knows; false
   if either is unknown. */
bool lwd_query_resident(const lwd_policy *policy, lwd_server server,
                        lwd_adapter adapter);
/* Returns the bytes that the policy allocates, with its pools full. */
size_t lwd_query_bytes(const lwd_policy *policy);
/* Returns code and message of the last call that failed. */
const er_status *lwd_query_last_status(const lwd_policy *policy);

#endif
