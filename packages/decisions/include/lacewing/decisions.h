/*
 * decisions.h: which request runs where and when (prefix lwd_).
 *
 * The decisions of one instance: routing, placement and loads of adapters,
 * order of work, admission, stragglers, hedging and requests that crash
 * backend servers. No sockets, threads, clocks or global state: typed events
 * and the time go in, typed actions come out, randomness is seeded. The same
 * sequence of calls gives the same actions. One process may hold any number
 * of independent instances.
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
 * One instance is both the entry of its callers' requests and the owner of
 * some backend servers. A request meant for a server of another instance
 * leaves as LWD_ACTION_FORWARD; there it enters by lwd_make_request() with
 * .forwarded and .server set. What an owner knows of its servers leaves as
 * LWD_ACTION_SUMMARY and enters the others as LWD_EVENT_SUMMARY.
 *
 * The life of a request: it enters, is queued, is sent (LWD_ACTION_SEND,
 * each an attempt of its own), and ends by exactly one of: the event
 * LWD_EVENT_FINISHED of one of its attempts, the event LWD_EVENT_CALLER_GONE,
 * the event LWD_EVENT_FORWARD_FINISHED, or the action LWD_ACTION_REFUSE.
 * After that its id is stale and events that name it are dropped with
 * ER_STALE. Attempts that are still open then get LWD_ACTION_CANCEL first.
 *
 * After each call that takes the time, drain lwd_next_action() and call
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
 * Limits: not safe for use from two threads at once; times are microseconds
 * from any fixed start and never run backwards; pools are sized at creation
 * and a full pool gives id 0 with ER_POOL_FULL.
 */
#ifndef LACEWING_DECISIONS_H
#define LACEWING_DECISIONS_H

#include "lacewing/error.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* -- ids: slot and generation; 0 is never valid --------------------------- */

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

typedef enum lwd_resource_state {
    LWD_STATE_INITIAL = 0, /* no such id */
    LWD_STATE_ALLOC,       /* made, not usable yet */
    LWD_STATE_VALID,
    LWD_STATE_FAILED, /* made, but out of use for now */
    LWD_STATE_NUM
} lwd_resource_state;

/* -- descriptions: zero means default ------------------------------------- */

/* Parts that can be switched off one at a time, for measuring. */
typedef enum lwd_part {
    LWD_PART_PLACEMENT = 1 << 0,  /* copies by popularity, eviction choice */
    LWD_PART_LOADS = 1 << 1,      /* order and budget of loads, prefetch */
    LWD_PART_ROUTING = 1 << 2,    /* affinity with bounded load */
    LWD_PART_ORDER = 1 << 3,      /* order by expected length, ageing, pause */
    LWD_PART_ADMISSION = 1 << 4,  /* refusal of what cannot be in time */
    LWD_PART_STRAGGLERS = 1 << 5, /* ejection, probes, hedging */
    LWD_PART_NUM = 6
} lwd_part;

typedef struct lwd_desc {
    uint64_t seed;              /* of all random choices; default 1 */
    uint32_t instance;          /* this instance's number */
    uint32_t zone;              /* this instance's availability zone */
    uint32_t server_capacity;   /* default 640 */
    uint32_t adapter_capacity;  /* default 16384 */
    uint32_t request_capacity;  /* in flight; default 8192 */
    uint32_t action_capacity;   /* not yet drained; default 8192 */
    uint32_t loads_per_s_milli; /* this instance's share of the weight
                                   store's rate, in loads per 1000 s;
                                   default 1000 */
    uint32_t loads_in_transit;  /* this instance's share of loads at once;
                                   default 1 */
    uint32_t load_ms;           /* expected time of one load; default 250 */
    uint32_t hop_us;            /* one way to another instance of the
                                   region; default 1000 */
    uint32_t first_token_target_ms; /* default 700 */
    uint32_t token_interval_ms;     /* target between tokens; default 55 */
    uint32_t eject_share_pct;       /* most servers of a zone out at once;
                                       default 34 */
    uint32_t hedge_budget_pct; /* second attempts, of requests; default 3 */
    uint32_t retry_budget_pct; /* retries, of successes; default 10 */
    uint32_t convict_deaths;   /* server deaths that convict a request;
                                  default 2 */
    uint32_t parts_off;        /* lwd_part bits switched off */
} lwd_desc;

/* No instance is known to own a server: nothing is forwarded for it. */
#define LWD_OWNER_NONE UINT32_MAX

typedef struct lwd_server_desc {
    uint64_t tag;           /* the user's own name of it */
    uint32_t zone;          /* availability zone */
    uint32_t slots;         /* requests that run at once; default 16 */
    uint32_t adapter_slots; /* adapters held at once; default 16 */
    uint32_t tokens_per_s;  /* of one request alone, if known; default 40 */
    uint32_t prefill_per_s; /* prompt tokens a second; default 4000 */
    uint32_t owner;         /* instance that owns it, or LWD_OWNER_NONE */
    bool owned;             /* this instance owns it */
    bool pausable;          /* its engine can pause and resume streams */
} lwd_server_desc;

typedef struct lwd_adapter_desc {
    uint64_t tag;    /* the user's own name of adapter and version */
    uint64_t hash;   /* the same on every instance; places its copies;
                        default: a mix of tag */
    uint32_t pinned; /* copies to hold always; default 0 */
} lwd_adapter_desc;

typedef struct lwd_request_desc {
    uint64_t tag;           /* comes back in each action on it */
    lwd_adapter adapter;    /* adapter and version it must run on */
    uint32_t team;          /* for fair shares; default 0 */
    uint32_t team_weight;   /* share of the team against others; default 1 */
    uint32_t operation;     /* kind of work, for learned lengths (0..63) */
    uint32_t prompt_tokens; /* default 1 */
    uint32_t max_tokens;    /* bound of the answer; default 256 */
    uint32_t resume_from;   /* tokens the caller has already */
    uint64_t deadline_us;   /* for the whole answer; default: none */
    uint64_t fingerprint;   /* of the content, same for a resend; 0 none */
    uint64_t prefix;        /* hash of the prompt's prefix; 0 none */
    lwd_server server;      /* forwarded: the server it was sent here for */
    bool forwarded;         /* entered at another instance */
} lwd_request_desc;

/* -- events --------------------------------------------------------------- */

typedef enum lwd_event_type {
    LWD_EVENT_DEFAULT = 0, /* refused */
    /* Time has passed. Fields: none. */
    LWD_EVENT_TICK,
    /* The caller has left. Fields: request. */
    LWD_EVENT_CALLER_GONE,
    /* First token of an attempt. Fields: attempt. */
    LWD_EVENT_FIRST_TOKEN,
    /* Tokens an attempt has made so far. Fields: attempt, tokens. */
    LWD_EVENT_PROGRESS,
    /* An attempt ended whole. Fields: attempt, tokens. */
    LWD_EVENT_FINISHED,
    /* An attempt ended early. Fields: attempt, tokens, failure. */
    LWD_EVENT_FAILED,
    /* An attempt has paused as asked. Fields: attempt, tokens. */
    LWD_EVENT_PAUSED,
    /* A forwarded request ended whole there. Fields: request, tokens. */
    LWD_EVENT_FORWARD_FINISHED,
    /* A forwarded request came back. Fields: request, reason, tokens,
       failure (NOT_STARTED: it did not run there), retry_after_ms. */
    LWD_EVENT_FORWARD_FAILED,
    /* A server's state changed. Fields: server, server_state. */
    LWD_EVENT_SERVER_STATE,
    /* Who owns a server changed. Fields: server, owner (or LWD_OWNER_NONE),
       owned,
       settle_us: no eviction there before this time, and only adapters named
       by LWD_EVENT_RESIDENT or loaded since are used (an engine that ignores
       fencing numbers may still get the old owner's orders). */
    LWD_EVENT_OWNER,
    /* A server holds an adapter, as the engine listed it. Fields: server,
       adapter, resident (false: it does not). */
    LWD_EVENT_RESIDENT,
    /* A load order ended well. Fields: server, adapter. */
    LWD_EVENT_LOAD_DONE,
    /* A load order failed. Fields: server, adapter. */
    LWD_EVENT_LOAD_FAILED,
    /* An eviction ended. Fields: server, adapter. */
    LWD_EVENT_EVICT_DONE,
    /* The engine's own report, late. Fields: server, running, waiting,
       sampled_us. */
    LWD_EVENT_LOAD_REPORT,
    /* The engine's prefix cache, late and with gaps. Fields: server, prefix,
       resident. */
    LWD_EVENT_CACHE,
    /* What the owner of a server says of it. Fields: server, summary. */
    LWD_EVENT_SUMMARY,
    /* This instance's share of the weight store. Fields:
       loads_per_s_milli, loads_in_transit. */
    LWD_EVENT_WEIGHT_SHARE,
    /* Another instance saw a death. Fields: fingerprint, deaths. */
    LWD_EVENT_SUSPECT,
    LWD_EVENT_NUM
} lwd_event_type;

typedef enum lwd_server_state {
    LWD_SERVER_DEFAULT = 0, /* ready */
    LWD_SERVER_READY,
    LWD_SERVER_RESTARTED, /* ready again, empty */
    LWD_SERVER_LEAVING,   /* finishes its work, gets nothing new; final */
    LWD_SERVER_DOWN,
    LWD_SERVER_STATE_NUM
} lwd_server_state;

typedef enum lwd_failure {
    LWD_FAILURE_DEFAULT = 0,  /* broken */
    LWD_FAILURE_NOT_STARTED,  /* certain: nothing ran */
    LWD_FAILURE_BROKEN,       /* the stream broke */
    LWD_FAILURE_DIED,         /* the server died with it running */
    LWD_FAILURE_NOT_RESIDENT, /* the engine does not hold the adapter */
    LWD_FAILURE_FENCED,       /* the engine obeys a newer owner */
    LWD_FAILURE_NUM
} lwd_failure;

#define LWD_SUMMARY_CHANGES 16

/* What an owner tells of one server: totals, and changes of residency. */
typedef struct lwd_summary {
    uint64_t sequence;          /* of this server and owner; older dropped */
    uint32_t running;           /* requests running */
    uint32_t waiting;           /* requests queued */
    uint32_t backlog_ms;        /* expected wait of a new short request */
    uint32_t load_wait_ms;      /* expected wait for an adapter not held */
    uint32_t token_interval_us; /* learned, between tokens of one stream */
    bool ejected;               /* a straggler for now */
    uint32_t change_count;      /* changes below */
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
    uint64_t settle_us;
    uint64_t fingerprint;
    uint64_t prefix;
    bool owned;
    bool resident;
    const lwd_summary *summary; /* valid during the call */
} lwd_event;

/* -- actions -------------------------------------------------------------- */

typedef enum lwd_action_type {
    LWD_ACTION_DEFAULT = 0,
    /* Send a request to an owned server. Fields: request, tag, attempt,
       server, adapter, priority (less is sooner), resume_from, hedge. */
    LWD_ACTION_SEND,
    /* Hand a request to the owner of a server. Fields: request, tag, server,
       instance, adapter, resume_from. */
    LWD_ACTION_FORWARD,
    /* Final: tell the caller (or the instance that forwarded it). Fields:
       request, tag, reason, retry_after_ms, ran (false: certainly not). */
    LWD_ACTION_REFUSE,
    /* Stop an attempt. Fields: request, tag, attempt, server. */
    LWD_ACTION_CANCEL,
    /* Stop a forwarded request. Fields: request, tag, server, instance. */
    LWD_ACTION_CANCEL_FORWARD,
    /* Pause an attempt; it goes on by a later SEND with resume_from.
       Fields: request, tag, attempt, server. */
    LWD_ACTION_PAUSE,
    /* Order a load. Fields: server, adapter. */
    LWD_ACTION_LOAD,
    /* Order an eviction. Fields: server, adapter. */
    LWD_ACTION_EVICT,
    /* Tell the peers of an owned server. Fields: server, summary. */
    LWD_ACTION_SUMMARY,
    /* Tell the peers of a death. Fields: fingerprint, deaths. */
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

/* What a server looks like to this instance. */
typedef struct lwd_server_info {
    uint64_t tag;
    uint32_t running;
    uint32_t waiting;
    uint32_t backlog_ms;
    uint32_t token_interval_us;
    uint32_t resident;
    uint32_t loading;
    uint32_t owner;
    bool owned;
    bool ejected;
    bool leaving;
} lwd_server_info;

/* One way of deciding. lwd_create() gives the project's; a baseline or an
   earlier version implements the same table and is driven the same way. */
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

struct lwd_policy {
    const lwd_policy_vt *vt;
};

lwd_policy *lwd_create(const lwd_desc *desc);
void lwd_destroy(lwd_policy *policy);

lwd_server lwd_make_server(lwd_policy *policy, uint64_t now_us,
                           const lwd_server_desc *desc);
/* Its work is routed elsewhere, as with LWD_SERVER_DOWN. */
void lwd_destroy_server(lwd_policy *policy, uint64_t now_us,
                        lwd_server server);
lwd_adapter lwd_make_adapter(lwd_policy *policy, uint64_t now_us,
                             const lwd_adapter_desc *desc);
/* Requests on it that have not started are refused with ER_UNKNOWN_MODEL. */
void lwd_destroy_adapter(lwd_policy *policy, uint64_t now_us,
                         lwd_adapter adapter);
/* Takes in one request; its first actions may be ready at once. */
lwd_request lwd_make_request(lwd_policy *policy, uint64_t now_us,
                             const lwd_request_desc *desc);
/* Takes in one event. ER_STALE and ER_INVALID_ID change nothing. */
er_code lwd_feed(lwd_policy *policy, uint64_t now_us, const lwd_event *event);
/* New targets and budgets of a policy made by lwd_create(): of the desc,
   load_ms, first_token_target_ms, token_interval_ms, eject_share_pct,
   hedge_budget_pct, retry_budget_pct and convict_deaths; the rest is not
   read. */
void lwd_set_limits(lwd_policy *policy, const lwd_desc *desc);
/* Takes out the next action, in order; false when there is none. */
bool lwd_next_action(lwd_policy *policy, lwd_action *action);

/* Time by which LWD_EVENT_TICK is wanted; UINT64_MAX: not at all. */
uint64_t lwd_query_wakeup_us(const lwd_policy *policy);

/* The queries below are for policies made by lwd_create(). */
lwd_resource_state lwd_query_server_state(const lwd_policy *policy,
                                          lwd_server server);
lwd_resource_state lwd_query_adapter_state(const lwd_policy *policy,
                                           lwd_adapter adapter);
lwd_resource_state lwd_query_request_state(const lwd_policy *policy,
                                           lwd_request request);
bool lwd_query_server_info(const lwd_policy *policy, lwd_server server,
                           lwd_server_info *info);
bool lwd_query_resident(const lwd_policy *policy, lwd_server server,
                        lwd_adapter adapter);
/* Bytes that the instance holds with its pools full. */
size_t lwd_query_bytes(const lwd_policy *policy);
/* Code and message of the last failure of any call. */
const er_status *lwd_query_last_status(const lwd_policy *policy);

#endif
