/*
 * state.h: what one policy holds (prefix dp_); private to the library.
 *
 * Requests that are not running stand in the pending queues of their adapter.
 * A server with a free slot takes the best of the pending requests of the
 * adapters that it holds; so a slow server takes less by itself. A copy is
 * one adapter on one server: ordered, held, or being evicted.
 *
 * All times are microseconds of the user's clock, all token counts are of
 * one answer from its first token.
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
#define DP_HOMES 8
#define DP_OPERATIONS 64
#define DP_LENGTH_CELLS 4096
#define DP_BATCH_MAX 64
#define DP_ZONES 64
#define DP_TEAMS 256
#define DP_SUSPECTS 1024
#define DP_PREFIXES 4096
#define DP_CHANGES 64

typedef struct dp_policy dp_policy;
typedef struct dp_server dp_server;
typedef struct dp_adapter dp_adapter;
typedef struct dp_copy dp_copy;
typedef struct dp_request dp_request;
typedef struct dp_attempt dp_attempt;

typedef enum dp_timer_kind {
    DP_TIMER_DEFAULT = 0, /* none */
    DP_TIMER_REQUEST,     /* give up, or the end of a retry's delay */
    DP_TIMER_COPY,        /* the answer to an order is overdue */
    DP_TIMER_ATTEMPT,     /* a cancelled attempt is over by now */
    DP_TIMER_SERVER,      /* progress is due */
    DP_TIMER_SUMMARY,     /* tell the peers of a server */
    DP_TIMER_ADAPTER,     /* end of the delay after a failed load */
    DP_TIMER_LOADS,       /* the next load is within the budget */
    DP_TIMER_NUM
} dp_timer_kind;

typedef struct dp_timer {
    hp_node node;
    dp_timer_kind kind;
} dp_timer;

/* Classes of pending work; each is ordered by itself. */
typedef enum dp_class {
    DP_CLASS_SHORT = 0,
    DP_CLASS_LONG,
    DP_CLASS_SUSPECT, /* ran on a server that died */
    DP_CLASS_NUM
} dp_class;

typedef enum dp_copy_state {
    DP_COPY_DEFAULT = 0,
    DP_COPY_ROOM,    /* place kept, the eviction before it still runs */
    DP_COPY_ORDERED, /* place free, waits for the budget of loads */
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
    DP_PHASE_DELAYED, /* before a retry */
    DP_PHASE_NUM
} dp_phase;

struct dp_copy {
    uint64_t told_us; /* when its owner told of it last; not own servers */
    dp_server *server;
    dp_adapter *adapter;
    dp_copy *next_hashed;
    dp_copy *successor;   /* evicting: the copy that waits for the place */
    dp_copy *predecessor; /* waiting for the place: what is evicted */
    li_link of_server;
    li_link of_adapter;
    li_link active;  /* in the server's list while its adapter has pending */
    li_link ordered; /* in the policy's list in DP_COPY_ORDERED */
    hp_node idle;    /* in the server's heap while it may be evicted */
    dp_timer timer;
    uint32_t running;
    uint8_t state;
    bool is_active;
    bool prefetched; /* loaded without waiting work and not used yet */
};

/* Observed pace of one server. */
typedef struct dp_pace {
    double normal;         /* interval over the model's, slow average */
    double recent;         /* the same, fast average */
    uint32_t observations; /* since it was made or restarted */
    uint64_t last_us;      /* last progress of any attempt */
} dp_pace;

struct dp_server {
    lwd_server id;
    lwd_server_desc desc;
    lwd_server_state state; /* READY, LEAVING or DOWN */
    uint64_t settle_us;
    li_list copies;
    uint32_t places;  /* adapter slots taken, orders included */
    uint32_t loading; /* loads in transit */
    hp_heap idle;
    li_list active;   /* copies, held or coming, with pending requests */
    li_list attempts; /* open and closing */
    uint32_t running;
    uint32_t long_running;
    uint32_t suspects_running;
    uint32_t running_tokens; /* expected, not made yet */
    uint32_t prefill_tokens; /* of attempts without a first token */
    uint32_t prefills;       /* first tokens of all its attempts */
    dp_pace pace;
    dp_timer progress_timer;
    /* stragglers */
    bool ejected;
    uint64_t probe_us; /* ejected: a probe may go at this time */
    uint32_t ejections;
    /* summaries */
    dp_timer summary_timer;
    uint64_t summary_sequence;
    lwd_summary told; /* not owned: what its owner said last */
    uint32_t forwarded;
    uint32_t forwarded_since; /* since that summary */
    struct {
        uint64_t adapter_tag;
        bool resident;
    } changes[DP_CHANGES];
    uint32_t change_first;
    uint32_t change_count;
    uint32_t zone_slot;
};

struct dp_adapter {
    lwd_adapter id;
    lwd_adapter_desc desc;
    li_list copies; /* on own and other servers */
    uint32_t own_resident;
    uint32_t coming; /* copies on their way on own servers */
    hp_heap pending[DP_CLASS_NUM];
    uint32_t pending_count;
    uint64_t pending_tokens;
    uint32_t requests; /* not ended */
    double popularity; /* log of the decayed count of requests */
    double recent;     /* the same, decayed within seconds */
    hp_node wanted;    /* in the policy's heap of loads to order */
    hp_node absent;    /* in the policy's heap of adapters held nowhere */
    dp_timer timer;
    uint32_t load_failures;
    dp_server *failed_on;
    uint32_t homes_epoch;
    uint32_t home_count;
    uint16_t homes[DP_HOMES]; /* indices of servers, best first */
    bool extra;               /* wanted although it is held somewhere */
    bool delayed;             /* after a failed load */
    bool destroyed;
};

struct dp_attempt {
    lwd_attempt id;
    dp_request *request; /* NULL: cancelled, and perhaps still running */
    dp_server *server;
    dp_copy *copy; /* NULL: the server does not hold it any more */
    lwd_adapter adapter;
    li_link of_server;
    dp_timer timer;
    uint64_t sent_us;
    uint64_t last_us;        /* of its last progress, or sent_us */
    uint32_t tokens;         /* made so far, counted from the answer's first */
    uint32_t counted_tokens; /* its part of the server's running_tokens */
    uint32_t prefill_tokens;
    uint32_t prefill_mark; /* the server's prefills at last_us */
    uint64_t first_us;     /* of its first token */
    uint32_t first_tokens; /* tokens then */
    bool first_token;
    bool hedge;
    bool long_work;
    bool suspect;
    bool pausing;
};

struct dp_request {
    lwd_request id;
    uint64_t tag;
    dp_adapter *adapter;
    dp_attempt *attempts[2];
    dp_server *target; /* forwarded to */
    hp_node pending;
    dp_timer timer;
    uint64_t entered_us;
    uint64_t deadline_us; /* 0: none */
    uint64_t fingerprint;
    uint64_t prefix;
    uint64_t none_us; /* since when no server could take it; 0: one could */
    uint32_t team;
    uint32_t operation;
    uint32_t prompt_tokens;
    uint32_t max_tokens;
    uint32_t resume_from;
    uint32_t entered_tokens;  /* made before it entered here */
    uint32_t expected_tokens; /* of the whole answer */
    uint32_t pending_tokens;  /* its part of the adapter's */
    uint32_t team_tokens;     /* its part of the team's */
    uint8_t phase;
    uint8_t class_;
    uint8_t retries;
    uint8_t forwards;
    uint8_t moves;
    bool forwarded;
    bool may_have_run;
    bool rescued; /* sent on from a server too slow for it */
};

/* One action without the summary, which is filled in when taken out. */
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

typedef struct dp_length {
    float mean;
    uint32_t count;
} dp_length;

typedef struct dp_zone {
    uint32_t zone;
    uint32_t servers;
    uint32_t ejected;
    bool used;
} dp_zone;

typedef struct dp_team {
    uint32_t team;
    uint32_t weight;
    uint32_t requests; /* not ended */
    uint64_t tokens;   /* expected, of requests that have not ended */
} dp_team;

typedef struct dp_suspect {
    uint64_t fingerprint;
    uint64_t seen_us;
    uint32_t deaths;
} dp_suspect;

typedef struct dp_prefix {
    uint64_t prefix;
    uint16_t server;
    bool held;
} dp_prefix;

struct dp_policy {
    lwd_policy base; /* first */
    lwd_desc desc;
    uint64_t now_us;
    uint64_t random;
    er_status status;
    po_pool servers;
    po_pool adapters;
    po_pool requests;
    po_pool attempts;
    po_pool copies;
    dp_copy **copy_buckets;
    uint32_t copy_bucket_mask;
    GHashTable *adapter_tags; /* tag -> dp_adapter */
    hp_heap timers;
    uint32_t homes_epoch;
    uint32_t usable_own; /* own servers that take new work */
    uint32_t pending_count;
    uint64_t pending_tokens;
    uint64_t own_slots; /* of the usable own servers */
    /* actions */
    dp_action *actions;
    uint32_t action_first;
    uint32_t action_count;
    /* loads */
    hp_heap wanted;
    hp_heap absent;
    li_list ordered; /* copies in DP_COPY_ORDERED */
    dp_timer loads_timer;
    uint64_t next_load_us;
    uint32_t rooms; /* copies in ROOM or ORDERED */
    uint32_t in_transit;
    /* learned */
    dp_length operation_lengths[DP_OPERATIONS];
    dp_length lengths[DP_LENGTH_CELLS];
    double mean_tokens;
    double curve[DP_BATCH_MAX + 1];
    double token_us;      /* usual time of a token, prefill of others in it */
    double report_gap_us; /* usual time between reports of progress */
    /* budgets */
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
dp_part_on(const dp_policy *policy, lwd_part part)
{
    return (policy->desc.parts_off & (uint32_t)part) == 0;
}

/* -- timers (timers.c) ---------------------------------------------------- */

/* Sets a timer anew; a time in the past fires in the next call. */
void ti_set(dp_policy *policy, dp_timer *timer, dp_timer_kind kind,
            uint64_t at_us);
void ti_clear(dp_policy *policy, dp_timer *timer);
/* Takes the new time alone; it never runs back. */
void ti_take_time(dp_policy *policy, uint64_t now_us);
/* Takes the new time and fires what is due. */
void ti_advance(dp_policy *policy, uint64_t now_us);

/* -- randomness (random.c) ------------------------------------------------ */

/* A well mixed value of another; the same everywhere. */
uint64_t rd_mix(uint64_t value);
/* The next number below a bound; bound > 0. */
uint64_t rd_next(dp_policy *policy, uint64_t bound);

#endif
