/*
 * state.h: the state of one policy (prefix dp_); private to the library.
 *
 * Requests that are not running wait in the pending queues of their adapter.
 * A server with a free slot pulls the best pending request among the adapters
 * resident on it, so a slow server gets less work without further rules. A
 * copy is one adapter on one server, from the decision to load it until its
 * eviction has ended.
 *
 * All times are microseconds of the user's clock. All token counts start at
 * the first token of the whole answer, whichever attempt made it.
 */
#ifndef LACEWING_DECISIONS_STATE_H
#define LACEWING_DECISIONS_STATE_H

#include "heap.h"
#include "lacewing/decisions.h"
#include "list.h"
#include "pool.h"
#include <glib.h>

#define DP_US_PER_MS ((uint64_t)1000)
#define DP_US_PER_S ((uint64_t)1000000)
#define DP_HOMES 8             /* preferred servers of one adapter */
#define DP_OPERATIONS 64       /* kinds of work with a learned length */
#define DP_LENGTH_BUCKETS 4096 /* hash table of learned answer lengths */
#define DP_BATCH_MAX 64        /* larger batches count as this one */
#define DP_ZONES 64      /* availability zones; further ones share entries */
#define DP_TEAMS 256     /* hash table; teams that collide share an entry */
#define DP_SUSPECTS 1024 /* fingerprints with server deaths */
#define DP_PREFIXES 4096 /* prompt prefixes in engines' caches */
#define DP_CHANGES 64    /* residency changes kept for one server's summary */

typedef struct dp_policy dp_policy;
typedef struct dp_server dp_server;
typedef struct dp_adapter dp_adapter;
typedef struct dp_copy dp_copy;
typedef struct dp_request dp_request;
typedef struct dp_attempt dp_attempt;

typedef enum dp_timer_kind {
    DP_TIMER_DEFAULT = 0, /* none */
    DP_TIMER_REQUEST,     /* timeout of a pending request, or retry delay */
    DP_TIMER_COPY,        /* timeout of a load or an eviction */
    DP_TIMER_ATTEMPT,     /* a cancelled attempt counts as ended */
    DP_TIMER_SERVER,      /* progress is due */
    DP_TIMER_SUMMARY,     /* publish the summary of an owned server */
    DP_TIMER_ADAPTER,     /* end of the backoff after a failed load */
    DP_TIMER_LOADS,       /* the load budget admits the next load */
    DP_TIMER_NUM
} dp_timer_kind;

typedef struct dp_timer {
    hp_node node;
    dp_timer_kind kind;
} dp_timer;

/* Classes of pending requests; each has a queue of its own. */
typedef enum dp_class {
    DP_CLASS_SHORT = 0,
    DP_CLASS_LONG,
    DP_CLASS_SUSPECT, /* was running on a server that died */
    DP_CLASS_NUM
} dp_class;

typedef enum dp_copy_state {
    DP_COPY_DEFAULT = 0,
    DP_COPY_AWAITING_EVICTION, /* slot reserved, its eviction still runs */
    DP_COPY_AWAITING_BUDGET,   /* slot free, waits for the load budget */
    DP_COPY_LOADING,
    DP_COPY_RESIDENT,
    DP_COPY_EVICTING,
    DP_COPY_NUM
} dp_copy_state;

typedef enum dp_phase {
    DP_PHASE_DEFAULT = 0,
    DP_PHASE_PENDING,
    DP_PHASE_RUNNING,
    DP_PHASE_FORWARDED,
    DP_PHASE_DELAYED, /* in the backoff before a retry */
    DP_PHASE_NUM
} dp_phase;

struct dp_copy {
    uint64_t last_reported_us; /* last summary that listed it; not owned */
    dp_server *server;
    dp_adapter *adapter;
    dp_copy *next_hashed; /* next in its hash bucket */
    dp_copy *successor;   /* evicting: the copy that waits for the slot */
    dp_copy *predecessor; /* awaiting eviction: the copy being evicted */
    li_link server_link;
    li_link adapter_link;
    li_link active_link; /* in the server's list while requests on its adapter
                            are pending */
    li_link budget_link; /* in the policy's budget_queue */
    hp_node evictable_node; /* in the server's heap while evictable */
    dp_timer timer;
    uint32_t running; /* attempts that use it, cancelled ones included */
    uint8_t state;    /* dp_copy_state */
    bool is_active;   /* active_link is in the list */
    bool prefetched;  /* loaded with no request pending, not used yet */
};

/* Observed speed of one server, as the ratio of its token interval to the one
   that its description and batch size predict; above 1 is slower. */
typedef struct dp_pace {
    double normal;             /* slow moving average */
    double recent;             /* fast moving average */
    uint32_t observations;     /* since creation or restart */
    uint64_t last_progress_us; /* of any attempt */
} dp_pace;

struct dp_server {
    lwd_server id;
    lwd_server_desc desc;
    lwd_server_state state;     /* READY, LEAVING or DOWN */
    uint64_t handover_until_us; /* see LWD_EVENT_OWNER */
    li_list copies;
    uint32_t occupied_slots; /* adapter slots of copies in any state */
    uint32_t loading;        /* loads in transit */
    hp_heap evictable;       /* copies, least valuable first */
    li_list active_copies;   /* in any state, with pending requests */
    li_list attempts;        /* open and cancelled ones */
    uint32_t running;
    uint32_t long_running;
    uint32_t suspects_running;
    uint32_t running_tokens; /* expected, not made yet */
    uint32_t prefill_tokens; /* of attempts without a first token */
    uint32_t prefills_done;  /* count of first tokens of all attempts */
    dp_pace pace;
    dp_timer progress_timer;
    /* stragglers */
    bool ejected;
    uint64_t probe_us;  /* ejected: earliest time of the next probe */
    uint32_t ejections; /* since it was last readmitted */
    /* summaries */
    dp_timer summary_timer;
    uint64_t summary_sequence;
    lwd_summary last_summary; /* not owned: received from its owner */
    uint32_t forwarded;       /* requests forwarded to it, not ended */
    uint32_t forwarded_since; /* forwards since last_summary was received */
    struct {
        uint64_t adapter_tag;
        bool resident;
    } changes[DP_CHANGES]; /* ring of changes not yet published */
    uint32_t change_first;
    uint32_t change_count;
    uint32_t zone_slot; /* index into the policy's zones */
};

struct dp_adapter {
    lwd_adapter id;
    lwd_adapter_desc desc;
    li_list copies;                /* on all servers, owned or not */
    uint32_t own_resident;         /* copies resident on owned servers */
    uint32_t incoming_copies;      /* on owned servers, not yet resident */
    hp_heap pending[DP_CLASS_NUM]; /* requests, by or_query_key() */
    uint32_t pending_count;        /* in all classes */
    uint64_t pending_tokens;       /* expected, of these requests */
    uint32_t requests;             /* not ended */
    double popularity;             /* log of the decayed count of requests */
    double recent;                 /* the same, with a decay time of seconds */
    hp_node load_node;             /* in the policy's load_queue */
    hp_node absent_node;           /* in the policy's absent_adapters */
    dp_timer timer;
    uint32_t load_failures;   /* in a row */
    dp_server *failed_on;     /* server of the last failed load; may be NULL */
    uint32_t homes_epoch;     /* of the policy when homes was computed */
    uint32_t home_count;      /* entries of homes in use */
    uint16_t homes[DP_HOMES]; /* indices of its preferred servers, best first,
                                 by rendezvous hashing */
    bool needs_extra_copy;    /* queued although a usable copy exists */
    bool in_load_backoff;     /* after a failed load */
    bool destroyed;
};

struct dp_attempt {
    lwd_attempt id;
    dp_request *request; /* NULL: cancelled, and perhaps still running */
    dp_server *server;
    dp_copy *copy; /* NULL: no longer on the server */
    lwd_adapter adapter;
    li_link server_link;
    dp_timer timer;
    uint64_t sent_us;
    uint64_t last_progress_us; /* or sent_us */
    uint32_t tokens;           /* made so far, of the whole answer */
    uint32_t counted_tokens;   /* its share of the server's running_tokens */
    uint32_t prefill_tokens;
    uint32_t prefills_at_last_progress; /* prefills_done of the server then */
    uint64_t first_token_us;
    uint32_t tokens_at_first_token;
    bool first_token;
    bool hedge;
    bool is_long;
    bool suspect;
    bool pausing;
};

struct dp_request {
    lwd_request id;
    uint64_t tag;
    dp_adapter *adapter;
    dp_attempt *attempts[2]; /* two only while hedged */
    dp_server *target;       /* forwarded to */
    hp_node pending;         /* in its adapter's heap for class_ */
    dp_timer timer;
    uint64_t entered_us;
    uint64_t deadline_us; /* 0: none */
    uint64_t fingerprint;
    uint64_t prefix;
    uint64_t no_server_since_us; /* 0: some server can take it */
    uint32_t team;
    uint32_t operation;
    uint32_t prompt_tokens;
    uint32_t max_tokens;
    uint32_t resume_from;
    uint32_t tokens_at_entry; /* made before it entered here */
    uint32_t expected_tokens; /* of the whole answer */
    uint32_t pending_tokens;  /* its share of the adapter's */
    uint32_t team_tokens;     /* its share of the team's */
    uint8_t phase;            /* dp_phase */
    uint8_t class_;           /* dp_class */
    uint8_t retries;
    uint8_t forwards;
    uint8_t moves;
    bool forwarded;
    bool may_have_run;
    bool left_slow_server; /* moved off a server too slow for its deadline */
};

/* A queued action. A summary is filled in when the action is taken out, so
   that it is current and takes no space in the queue. */
typedef struct dp_action {
    uint64_t request;
    uint64_t tag;
    uint64_t attempt;
    uint64_t fingerprint;
    uint32_t server;
    uint32_t adapter;
    uint64_t server_tag;
    uint64_t adapter_tag;
    uint32_t instance;
    uint32_t priority;
    uint32_t resume_from;
    uint32_t retry_after_ms;
    uint32_t deaths;
    uint16_t reason;
    uint8_t type;
    bool ran;
    bool hedge;
} dp_action;

/* Learned length of answers of one kind. */
typedef struct dp_length {
    float mean;     /* tokens */
    uint32_t count; /* answers seen, counted up to a limit */
} dp_length;

/* Servers of one availability zone. */
typedef struct dp_zone {
    uint32_t zone;
    uint32_t servers; /* owned or not, in any state */
    uint32_t ejected; /* of these, by this instance */
    bool used;
} dp_zone;

typedef struct dp_team {
    uint32_t team;
    uint32_t weight;
    uint32_t requests; /* not ended */
    uint64_t tokens;   /* expected, of requests that have not ended */
} dp_team;

/* Deaths of servers while a request with this fingerprint ran on them. */
typedef struct dp_suspect {
    uint64_t fingerprint;
    uint64_t seen_us;
    uint32_t deaths;
} dp_suspect;

/* Whether a server caches a prompt prefix, as its engine last reported. */
typedef struct dp_prefix {
    uint64_t prefix;
    uint16_t server;
    bool held; /* by the engine's cache */
} dp_prefix;

struct dp_policy {
    lwd_policy base; /* first */
    lwd_desc desc;
    uint64_t now_us;
    uint64_t random;  /* state of the random number generator */
    er_status status; /* of the last call that failed */
    po_pool servers;
    po_pool adapters;
    po_pool requests;
    po_pool attempts;
    po_pool copies;
    dp_copy **copy_buckets; /* hash table of copies by server and adapter */
    uint32_t copy_bucket_mask;
    GHashTable *adapter_tags; /* tag -> dp_adapter */
    hp_heap timers;
    uint32_t homes_epoch;    /* counts changes of the possible homes */
    uint32_t usable_own;     /* owned servers that take new work */
    uint32_t pending_count;  /* requests pending for any adapter */
    uint64_t pending_tokens; /* expected, of these requests */
    uint64_t own_slots;      /* of the usable owned servers */
    /* actions */
    dp_action *actions;
    uint32_t action_first;
    uint32_t action_count;
    /* loads */
    hp_heap load_queue;      /* adapters that need a copy, most urgent first */
    hp_heap absent_adapters; /* without any copy, most popular first */
    li_list budget_queue;    /* copies in DP_COPY_AWAITING_BUDGET */
    dp_timer loads_timer;
    uint64_t next_load_us;    /* the load rate admits no load before */
    uint32_t reserved_copies; /* awaiting eviction or budget */
    uint32_t in_transit;      /* loads ordered and not answered */
    /* learned */
    dp_length operation_lengths[DP_OPERATIONS];
    dp_length lengths[DP_LENGTH_BUCKETS];
    double median_tokens; /* estimate, of all answers; 0: none seen */
    /* Token interval by batch size, relative to a batch of one. */
    double batch_slowdown[DP_BATCH_MAX + 1];
    double mean_token_us;        /* includes the prefill of other requests */
    double progress_interval_us; /* usual time between progress events */
    /* budgets, in attempts that may be made now */
    double retry_budget;
    double hedge_budget;
    dp_zone zones[DP_ZONES];
    dp_team teams[DP_TEAMS];
    uint64_t teams_weight; /* of teams with requests */
    uint64_t teams_tokens;
    dp_suspect suspects[DP_SUSPECTS];
    dp_prefix prefixes[DP_PREFIXES];
};

static inline bool
dp_feature_enabled(const dp_policy *policy, lwd_feature feature)
{
    return (policy->desc.disabled_features & (uint32_t)feature) == 0;
}

/* -- timers (timers.c) ---------------------------------------------------- */

/* Sets or resets a timer. A time in the past fires in the next
   ti_advance(). */
void ti_set(dp_policy *policy, dp_timer *timer, dp_timer_kind kind,
            uint64_t at_us);
void ti_clear(dp_policy *policy, dp_timer *timer);
/* Moves the clock forward without firing timers; an earlier time is
   ignored. */
void ti_set_time(dp_policy *policy, uint64_t now_us);
/* Moves the clock forward and fires the timers that are due. */
void ti_advance(dp_policy *policy, uint64_t now_us);

/* -- randomness (random.c) ------------------------------------------------ */

/* Returns a hash of a value, the same on every instance. */
uint64_t rd_mix(uint64_t value);
/* Returns the next random number below a bound; bound > 0. */
uint64_t rd_next(dp_policy *policy, uint64_t bound);

#endif
