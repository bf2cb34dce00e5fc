/*
 * fleet.h: the backend servers, the adapters they hold and their load
 * (prefix fl_).
 *
 * Holds one view of all backend servers: their entries in the platform's
 * list, the copies of adapters at each with their versions, the requests in
 * flight from this and from other instances, and the speed and failures seen
 * by our own requests. It chooses the server for a request, the server that a
 * further copy of an adapter is loaded to, and the copy that is evicted for
 * another. It uses no sockets and no clock: the caller passes in the time.
 *
 *     fl_adapter *adapter = fl_intern(fleet, "base/a17");
 *     fl_choice choice;
 *     if (fl_choose_server(fleet, &(fl_request){.service = "s",
 *                                               .adapter = adapter,
 *                                               .now_us = now_us},
 *                          &choice)) {
 *         fl_begin_request(choice.server, adapter, now_us);
 *         ... send ...
 *         fl_end_request(choice.server, adapter, &result);
 *     }
 *
 * It is made for a skewed demand for many adapters, with servers that hold
 * few of them each and whose speeds differ and change.
 *
 * Limits: servers and adapters are freed by fl_destroy() only; a removed
 * server stays as a record with state FL_GONE, as requests may refer to it.
 */
#ifndef LACEWING_FLEET_H
#define LACEWING_FLEET_H

#include "lacewing/dialect.h"
#include "notice.h"
#include "permits.h"
#include "server_limit.h"

/* Most servers that a request excludes as already tried. */
#define FL_MAX_TRIED 4
/* Servers for which an adapter records when they last dropped it. */
#define FL_MAX_RECENT_DROPS 8

typedef struct fl_fleet fl_fleet;
typedef struct fl_server fl_server;
typedef struct fl_adapter fl_adapter;

typedef enum fl_state {
    FL_STATE_DEFAULT = 0, /* as FL_GONE */
    FL_READY,
    FL_LEAVING,
    FL_GONE
} fl_state;

/* An adapter, or a base model itself, that is resident or loading at a
   server. */
typedef struct fl_copy {
    fl_adapter *adapter;
    fl_server *server;
    uint64_t version; /* 0: not reported */
    bool loading;
    uint64_t since_us; /* start of the present state (loading or loaded) */
    uint64_t next_check_us; /* the holder doesn't ask the server about the
                               load before this */
    uint32_t own_in_flight;
    uint64_t last_used_us; /* last begin or report of requests in flight */
    GArray *peer_loads;    /* fl_peer_load; NULL: none was reported */
} fl_copy;

/* The last time that a server dropped an adapter. */
typedef struct fl_drop {
    const fl_server *server;
    uint64_t drop_number; /* the server's drop_count, this drop included */
} fl_drop;

/* Most declarations kept for an adapter; beyond it, the two oldest are merged.
 */
#define FL_MAX_DECLARED 4

typedef struct fl_declared {
    uint64_t version;
    uint64_t since_us; /* earliest time of the declaration */
} fl_declared;

struct fl_adapter {
    char *key; /* MODEL/ADAPTER, or MODEL */
    uint64_t hash;
    char *model;
    char *name;       /* NULL: the base model itself */
    uint64_t version; /* newest that was declared; 0: none */
    fl_declared declared[FL_MAX_DECLARED]; /* oldest first */
    uint32_t declared_count;
    GPtrArray *copies;  /* fl_copy */
    double demand;      /* decaying count of requests, half-life 4 s */
    uint64_t demand_us; /* when demand was computed */
    uint32_t unreported_requests;  /* own ones, since the last peer report */
    GQueue waiting;                /* exchange: requests without a copy */
    uint64_t last_load_request_us; /* exchange: last request for a load */
    fl_server *last_load_server;   /* exchange: the server of that request */
    fl_drop recent_drops[FL_MAX_RECENT_DROPS];
    uint32_t next_drop; /* index that is overwritten next */
};

/* Requests of another instance in flight at a server or with a copy. */
typedef struct fl_peer_load {
    uint32_t peer; /* hash of its name */
    uint32_t in_flight;
    uint32_t prefill_tokens; /* prompt tokens of requests that have no first
                                event yet; at most what 32 bits hold */
    uint64_t updated_us;
} fl_peer_load;

struct fl_server {
    char *id;
    char *address;
    char *service;
    char *zone;
    uint64_t hash;
    uint32_t slots;
    fl_state state;
    uint64_t born_ms;       /* start of its process */
    char *software;         /* version of its program, any text */
    uint64_t software_hash; /* of the service and that version; not 0 */
    GPtrArray *copies;      /* fl_copy, of adapters and base models */
    uint32_t own_in_flight;
    GArray *peer_loads;    /* fl_peer_load */
    dl_load reported_load; /* of the server's latest answer with a load */
    uint64_t reported_load_us;
    double event_ms; /* streams: average time between two events; 0: not
                        known */
    uint32_t unreported_streams; /* ended since the last peer report */
    double unreported_event_ms;  /* sum over these streams */
    double latency_ms; /* plain services: average time of an answer */
    double held_ms;    /* average time of a request there; 0: not known */
    uint64_t own_prefill_tokens;  /* as fl_peer_load.prefill_tokens, of our own
                                     requests */
    double prefill_ms;            /* per 1000 prompt tokens; 0: not known */
    uint32_t unreported_prefills; /* ended since the last peer report */
    double unreported_prefill_ms; /* sum over these prefills */
    int32_t load_capacity; /* places for adapters that can be had now, less the
                              loads that are queued; may be negative */
    uint64_t load_capacity_us; /* when the holder reported it; 0: never */
    uint32_t requested_loads;  /* loads requested from here since then */
    uint64_t drop_count;       /* copies dropped so far */
    uint32_t max_copies_seen;  /* most copies held at once */
    double failure_rate;       /* moving average of failed requests, 0 to 1 */
    uint32_t consecutive_failures;
    uint64_t cooldown_until_us; /* avoided until then, after failures */
    bool unreachable;     /* no connection could be had for the last request */
    nt_notice notice;     /* what the server announced; an announcement that
                             it leaves also sets the state */
    sl_limit limit;       /* the rate limit that it named */
    pm_permits permits;   /* while it is limited */
    bool orders_possible; /* some instance can give it orders now */
    /* When the oldest load request that its holder has not answered was sent;
       0: none is unanswered. */
    uint64_t unanswered_load_request_us;
    /* Until then the holder is taken to be unreachable, so no orders are
       possible. */
    uint64_t holder_silent_until_us;
    void *pool;   /* exchange: connections to the server */
    void *orders; /* exchange: its orders, if this instance is the owner */
};

/* What a request needs of a server. */
typedef struct fl_request {
    const char *service;
    fl_adapter *adapter;    /* NULL: any server of the service */
    const char *zone;       /* preferred */
    uint32_t prompt_tokens; /* 0: not known */
    uint64_t software_hash; /* of the servers that may serve it; 0: any */
    bool needs_slot; /* no server is eligible whose slots are all taken, though
                        it may queue the request */
    uint64_t now_us;
    const fl_server *tried[FL_MAX_TRIED]; /* excluded */
    uint32_t tried_count;
    bool wants_permits; /* permits of limited servers are wanted for it */
    bool waited;        /* it was counted as wanting them before */
} fl_request;

typedef enum fl_choice_status {
    FL_CHOICE_STATUS_DEFAULT = 0,
    FL_CHOSEN,
    FL_NO_SERVER,   /* no server of the service is eligible */
    FL_NO_SOFTWARE, /* no server of the required software version is ready */
    FL_NO_COPY,     /* no eligible server holds the adapter's version */
    FL_ALL_FULL,    /* all candidates are full */
    FL_ALL_LEAVING, /* all servers are leaving, at least one of them by its
                       own announcement */
    FL_ALL_PAUSED,  /* the candidates asked for a pause */
    FL_ALL_LIMITED  /* the candidates have rate limits, and this instance has
                       no permit now */
} fl_choice_status;

typedef struct fl_choice {
    fl_choice_status status;
    fl_server *server; /* the chosen one; FL_ALL_PAUSED: the one whose pause
                          ends first */
    uint64_t version;  /* that must run the request; 0: any */
    uint64_t copy_version;   /* of the server's copy; 0: not known */
    bool needs_another_copy; /* demand calls for a further copy */
    uint64_t resume_us;      /* FL_ALL_PAUSED: end of that pause */
    bool skipped_leaving;    /* a server that announced to leave was skipped */
    bool skipped_paused;     /* a paused server was skipped */
    bool skipped_limited;    /* a server was skipped for want of a permit */
    double permits_per_s;    /* FL_ALL_LIMITED: granted to this instance for
                                the candidates lately */
    double limit_per_s;      /* FL_ALL_LIMITED: sum of their limits */
} fl_choice;

typedef enum fl_outcome {
    FL_OUTCOME_DEFAULT = 0, /* tells nothing about the server */
    FL_SUCCEEDED,
    FL_FAILED,      /* server error, or an unusable or overdue answer */
    FL_UNREACHABLE, /* no connection */
    FL_REFUSED      /* the server did not run the request */
} fl_outcome;

typedef struct fl_result {
    fl_outcome outcome;
    double latency_ms; /* FL_SUCCEEDED: to the whole answer; 0: not measured */
    double event_ms; /* FL_SUCCEEDED, streams: mean between events; 0: none */
    double held_ms;  /* FL_SUCCEEDED: time for which it had the request */
    uint64_t now_us;
} fl_result;

/* What the server process that started at born_ms announced. */
typedef struct fl_server_notice {
    const char *id; /* required */
    uint64_t born_ms;
    nt_source source; /* required, NT_ANSWER or NT_PEER */
    dl_notice notice; /* NT_ANSWER */
    uint64_t sent_us; /* NT_ANSWER: when the request was sent; 0: it is not
                         known whether this is the answer to it */
    uint64_t now_us;
} fl_server_notice;

/* What another instance knows of the rate limit of the server process that
   started at born_ms. */
typedef struct fl_peer_limit {
    const char *id; /* required */
    uint64_t born_ms;
    bool limited;
    double per_s;   /* limited */
    uint64_t at_us; /* on the local clock */
} fl_peer_limit;

typedef struct fl_desc {
    uint32_t rollout_ms; /* time within which a new version is in use; default
                            5000 */
    uint32_t drain_ms;   /* time after which a leaving server gets no new
                            requests; default 2000 */
    double max_pause_s;  /* longer pauses of servers are cut to this; default
                            30 */
    uint32_t seed;       /* default 1 */
} fl_desc;

fl_fleet *fl_create(const fl_desc *desc);
void fl_destroy(fl_fleet *fleet);

/* Adds or updates a server by its entry in the platform's list. Returns true
   if it is new or its process was restarted. */
bool fl_put_server(fl_fleet *fleet, const dl_server *entry, fl_server **out);
void fl_remove_server(fl_fleet *fleet, const char *id);
/* Applies a notice of a server. Returns the nt_change flags of *out. A leaving
   notice of a process that is not listed yet is kept until its entry comes
   (*out is NULL then). */
uint32_t fl_apply_notice(fl_fleet *fleet, const fl_server_notice *report,
                         fl_server **out);
/* Applies the rate limit that the head of an answer named, or that it named
   none. Returns the sl_change flags of *out. */
uint32_t fl_apply_limit(fl_fleet *fleet, const fl_server_notice *report,
                        fl_server **out);
/* Applies what another instance knows of a server's rate limit; at_us: see
   sl_apply_named() or sl_apply_absent(). Returns the sl_change flags of
   *out. */
uint32_t fl_apply_peer_limit(fl_fleet *fleet, const fl_peer_limit *report,
                             fl_server **out);
/* Passes the version of the store on to all servers, see
   nt_note_store_version(). */
void fl_note_store_version(fl_fleet *fleet, uint64_t version,
                           uint64_t asked_us);
typedef void (*fl_override_callback)(fl_server *server,
                                     const nt_notice *before, void *user_data);
/* Where all servers of a service announced that they leave, sets those ready
   again whose entry contradicts the announcement, see nt_query_contradicted().
   list_us: time as of which the list is known. Calls back for each, with its
   notice as it was before. */
void fl_override_contradicted_leaving(fl_fleet *fleet, uint64_t list_us,
                                      fl_override_callback call,
                                      void *user_data);

/* Returns the adapter of a key; creates it if there is none. */
fl_adapter *fl_intern(fl_fleet *fleet, const char *key);
/* Declares a version, at since_us at the earliest; 0: long ago. Versions that
   are not newer than the known one are ignored. */
void fl_declare_version(fl_fleet *fleet, const char *model, const char *name,
                        uint64_t version, uint64_t since_us);

/* Adds or updates a copy. */
fl_copy *fl_put_copy(fl_server *server, fl_adapter *adapter, uint64_t version,
                     bool loading, uint64_t now_us);
/* The same by names; name NULL: the base model itself. Also learns the time
   of a load from the weight store. Returns the adapter. */
fl_adapter *fl_put_copy_by_name(fl_fleet *fleet, fl_server *server,
                                const char *model, const char *name,
                                uint64_t version, bool loading,
                                uint64_t now_us);
void fl_drop_copy(fl_server *server, fl_adapter *adapter);
/* Drops the copies of all adapters (fl_adapter *) that are not in the set. */
void fl_drop_copies_except(fl_server *server, GHashTable *adapters);

/* Updates the mean time between events with that of some streams. */
void fl_update_event_ms(fl_server *server, uint32_t streams,
                        double event_ms_sum);
/* Updates the mean prefill time per 1000 tokens with that of some prompts. */
void fl_update_prefill_ms(fl_server *server, uint32_t prefills,
                          double prefill_ms_sum);
/* Updates the mean time of a load from the weight store. */
void fl_update_fetch_ms(fl_fleet *fleet, double load_ms);
/* Sets how old what is known of other instances' requests is on average. From
   then on, requests are spread over servers that many others choose from at
   the same time, see spread.h; 0, the default: each goes to the server that
   costs least. */
void fl_set_report_age_ms(fl_fleet *fleet, double age_ms);
/* Sets the number of requests that another instance has in flight there. */
void fl_set_peer_in_flight(fl_server *server, uint32_t peer,
                           uint32_t in_flight, uint64_t now_us);
/* Sets the prompt tokens of those that wait for their first event. */
void fl_set_peer_prefill_tokens(fl_server *server, uint32_t peer,
                                uint32_t tokens);
/* Sets the number of those that use one copy, by the hash of its adapter. */
void fl_set_peer_copy_in_flight(fl_server *server, uint32_t peer,
                                uint32_t adapter_hash, uint32_t in_flight,
                                uint64_t now_us);
/* Clears these numbers for all copies of a server, before a full report of the
   peer is applied. */
void fl_clear_peer_copies_in_flight(fl_server *server, uint32_t peer);
/* Sets the load capacity that the server's holder reported. */
void fl_set_load_capacity(fl_server *server, int32_t capacity,
                          uint64_t now_us);
/* Adds requests, of any instance, to the demand for an adapter. */
void fl_add_demand(fl_adapter *adapter, double requests, uint64_t now_us);
/* Counts a request of this instance, also for the next report to peers. */
void fl_count_own_request(fl_fleet *fleet, fl_adapter *adapter,
                          uint64_t now_us);

/* Chooses the server for a request. Returns true if out->status is
   FL_CHOSEN. */
bool fl_choose_server(fl_fleet *fleet, const fl_request *request,
                      fl_choice *out);
/* Returns the server to load a further copy to; NULL: none can take orders.
   Servers with a rate limit come last. */
fl_server *fl_choose_load_server(fl_fleet *fleet, const char *service,
                                 fl_adapter *adapter, uint64_t now_us);
/* The same for a request that may need a software version. */
fl_server *fl_choose_load_server_for(fl_fleet *fleet,
                                     const fl_request *request);
/* Returns the loaded copy that is least needed and not in use; NULL: none. */
fl_copy *fl_query_victim(const fl_server *server, uint64_t now_us);

/* Counts a request of this instance as in flight, until fl_end_request(). */
void fl_begin_request(fl_server *server, fl_adapter *adapter, uint64_t now_us);
void fl_end_request(fl_server *server, fl_adapter *adapter,
                    const fl_result *result);
/* Counts the tokens of a prompt that is sent. Returns all prompt tokens that
   the server processes before the first event, this prompt's included. */
uint64_t fl_begin_prefill(fl_server *server, uint32_t tokens, uint64_t now_us);
/* The first event came after first_ms, or never (0). ahead is the result of
   fl_begin_prefill(). */
void fl_end_prefill(fl_server *server, uint32_t tokens, uint64_t ahead,
                    double first_ms);
/* Stores the load that a server reported with an answer. */
void fl_set_reported_load(fl_server *server, const dl_load *load,
                          uint64_t now_us);

/* queries */
/* Returns fl_server.software_hash. */
uint64_t fl_hash_software(const char *service, const char *software);
/* Returns whether the process of a server that started at born_ms was
   removed. */
bool fl_query_removed(const fl_fleet *fleet, const char *id, uint64_t born_ms);
fl_server *fl_query_server(const fl_fleet *fleet, const char *id);
/* Returns whether a process that started later has the place of the server's
   process that started at born_ms: its id, or its address. The server may have
   been removed. */
bool fl_query_replaced(const fl_fleet *fleet, const fl_server *server,
                       uint64_t born_ms);
fl_copy *fl_query_copy(const fl_server *server, const fl_adapter *adapter);
/* Requests in flight from this and all other instances. */
uint32_t fl_query_in_flight(const fl_server *server, uint64_t now_us);
/* Requests for an adapter lately, decayed with a half-life of 4 s. */
double fl_query_demand(const fl_adapter *adapter, uint64_t now_us);
/* Expected time until a prompt of so many tokens that is sent now has been
   processed, after those in flight. */
double fl_query_prefill_ms(const fl_server *server, uint32_t tokens,
                           uint64_t now_us);
/* True if a request of any instance may be using the copy. */
bool fl_query_in_use(const fl_copy *copy, uint64_t now_us);
/* True if the server held the adapter lately and so still caches its weights:
   a load is short and does not use the weight store. */
bool fl_query_locally_cached(const fl_server *server,
                             const fl_adapter *adapter);
/* True if the copy has the newest declared version. */
bool fl_query_up_to_date(const fl_copy *copy);
/* Time from which no request may begin with this version any more, as a newer
   one was declared. */
uint64_t fl_query_old_version_end_us(const fl_fleet *fleet,
                                     const fl_adapter *adapter,
                                     uint64_t version);
/* True if requests and orders may be sent to the server: it is not leaving,
   not paused, and there is a permit if it is limited. */
bool fl_query_open(const fl_server *server, uint64_t now_us);
/* Number of ready servers of a service. */
uint32_t fl_query_ready_count(const fl_fleet *fleet, const char *service);
/* True if the copy is being loaded and its server will be ready and not paused
   by the time that another load would take. */
bool fl_query_load_worth_waiting(const fl_fleet *fleet, const fl_copy *copy,
                                 uint64_t now_us);
typedef void (*fl_server_callback)(fl_server *server, void *user_data);
void fl_each_server(const fl_fleet *fleet, fl_server_callback call,
                    void *user_data);
typedef void (*fl_adapter_callback)(fl_adapter *adapter, void *user_data);
/* Calls back once for each adapter with unreported requests, and empties the
   list of these adapters. */
void fl_each_unreported(fl_fleet *fleet, fl_adapter_callback call,
                        void *user_data);

#endif
