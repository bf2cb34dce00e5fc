/*
 * scheduler.h: runs drafts on backend servers (prefix sc_).
 *
 * Owns this instance's lwd_policy, the connections to the backend servers and
 * every draft in flight. Feeds events to the policy and executes the actions
 * that it returns: sends, loads, evictions, forwards, refusals.
 *
 *     sc_scheduler *scheduler = sc_create(&(sc_desc){
 *         .timers = timers, .callbacks = &callbacks, .user_data = self});
 *     sc_set_server(scheduler, &(sc_server_desc){.name = "s1", ...});
 *     sc_set_model(scheduler, "a@1", 0);
 *     sc_own(scheduler, "s1", 7, 0);
 *     uint64_t draft = sc_submit(scheduler, &(sc_draft_desc){...});
 *     sc_cancel(scheduler, draft);
 *
 * Limits: all calls come from one main context. sc_submit() calls no member
 * of sc_callbacks before it returns.
 */
#ifndef LACEWING_SCHEDULER_H
#define LACEWING_SCHEDULER_H

#include "draft.h"
#include "lacewing/decisions.h"
#include "lacewing/timer.h"
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct sc_scheduler sc_scheduler;

/* A draft that is forwarded to the instance that owns the chosen server. */
typedef struct sc_forward {
    uint64_t draft;
    uint32_t attempt; /* number of this attempt, from 1 */
    const char *instance;
    const char *server;
    const char *model;
    const char *prompt;
    const char *team;
    uint32_t team_weight;
    uint32_t operation; /* its position in the configuration */
    uint32_t prompt_tokens;
    uint32_t max_tokens;
    uint32_t resume_from;  /* tokens that the caller already has */
    uint32_t time_left_ms; /* 0: no deadline */
    uint64_t fingerprint;  /* hash of the model and the prompt */
    uint64_t prefix;       /* hash of the model and the prompt's start */
} sc_forward;

/* Callbacks to the other tasks of the instance. */
typedef struct sc_callbacks {
    /* Returns false when there is no link to that instance; nothing was sent
       then. */
    bool (*send_forward)(const sc_forward *forward, void *data);
    void (*cancel_forward)(uint64_t draft, uint32_t attempt,
                           const char *instance, void *data);
    /* Publishes the load and the resident adapters of an owned server. */
    void (*publish_summary)(const char *server, const lwd_summary *summary,
                            void *data);
    /* Reports how often servers died while they ran this request. */
    void (*publish_suspect)(uint64_t fingerprint, uint32_t deaths, void *data);
    /* A backend server refused an order: it has seen a newer fence. */
    void (*fenced)(const char *server, void *data);
    /* Returns whether the lease still allows orders to this server; with
       evict, whether it allows evictions. */
    bool (*may_order)(const char *server, bool evict, void *data);
    /* Tells the instance that runs a forwarded draft how many of its tokens
       were passed on, which lets it send more. */
    void (*send_credit)(uint64_t draft, uint32_t attempt, const char *instance,
                        uint32_t tokens, void *data);
    /* No stream of this instance is left on a server that it hands over. */
    void (*handover_drained)(const char *server, void *data);
    /* Number of running requests in an engine's report that are not known to
       be this instance's. */
    void (*foreign_requests)(const char *server, uint32_t count, void *data);
    /* Result of sc_probe(). */
    void (*probe_done)(const char *server, bool reached, void *data);
    /* An owned backend server reported that it is leaving. */
    void (*server_leaving)(const char *server, void *data);
} sc_callbacks;

typedef struct sc_desc {
    tm_service *timers;            /* required */
    const sc_callbacks *callbacks; /* required, all members set */
    void *user_data;
    const char *instance; /* required: name of this instance */
    const char *zone;     /* required */
    lwd_desc policy;      /* instance and zone are set by the scheduler */
} sc_desc;

sc_scheduler *sc_create(const sc_desc *desc);
void sc_destroy(sc_scheduler *scheduler);

/* -- servers, models and ownership ---------------------------------------- */

typedef struct sc_server_desc {
    const char *name;
    const char *zone;
    const char *address;
    uint32_t slots;         /* concurrent requests */
    uint32_t adapter_slots; /* adapters resident at once */
    uint32_t tokens_per_s;  /* 0: not known */
    uint32_t prefill_per_s; /* prompt tokens; 0: not known */
    bool pausable;
    bool leaving; /* gets no new drafts */
} sc_server_desc;

/* Adds a server. A known one is replaced, which aborts its streams, if its
   address, zone, slots, adapter slots or pausable have changed. */
void sc_set_server(sc_scheduler *scheduler, const sc_server_desc *desc);
void sc_remove_server(sc_scheduler *scheduler, const char *name);
/* Adds ADAPTER@VERSION, of which pinned copies are to stay resident. A known
   one keeps its former number. */
void sc_set_model(sc_scheduler *scheduler, const char *model, uint32_t pinned);
void sc_remove_model(sc_scheduler *scheduler, const char *model);

/* Sets the targets and budgets of the policy; see lwd_set_limits(). */
void sc_set_limits(sc_scheduler *scheduler, const lwd_desc *limits);

/* Makes this instance the server's owner. Its adapters are not evicted before
   evict_after_us. */
void sc_own(sc_scheduler *scheduler, const char *server, uint64_t fence,
            uint64_t evict_after_us);
/* Changes the time before which no adapter of an owned server is evicted. */
void sc_set_evict_after(sc_scheduler *scheduler, const char *server,
                        uint64_t evict_after_us);
/* Ends the ownership of a server. planned: running streams finish, then
   sc_callbacks.handover_drained is called; otherwise they are aborted and
   resumed elsewhere. */
void sc_disown(sc_scheduler *scheduler, const char *server, bool planned);
/* Records the instance that owns a server that is not owned here. */
void sc_set_owner(sc_scheduler *scheduler, const char *server,
                  const char *instance);
/* Sets whether the instance answers. Servers of an unreachable instance get
   no drafts. */
void sc_set_reachable(sc_scheduler *scheduler, const char *instance,
                      bool reachable);
/* Excludes the server from new drafts, permanently. */
void sc_set_leaving(sc_scheduler *scheduler, const char *server);
/* Sends a health check to a server, also one that is not owned; the result
   goes to sc_callbacks.probe_done. */
void sc_probe(sc_scheduler *scheduler, const char *server);

/* -- drafts --------------------------------------------------------------- */

typedef struct sc_draft_desc {
    dr_sink *sink;      /* required */
    const char *model;  /* required: ADAPTER@VERSION */
    const char *prompt; /* required */
    const char *team;
    uint32_t team_weight; /* relative share of the team */
    uint32_t operation;   /* its position in the configuration */
    uint32_t prompt_tokens;
    uint32_t max_tokens;
    uint32_t resume_from;  /* tokens that the caller already has */
    uint32_t time_left_ms; /* 0: no deadline */
    uint64_t fingerprint;  /* hash of the model and the prompt, which
                              identifies a request that crashes servers */
    uint64_t prefix;       /* hash of the model and the prompt's start, which
                              an engine may have in its prefix cache */
    const char *server; /* if forwarded here: the chosen server; else NULL */
} sc_draft_desc;

/* Returns the id of the draft; 0 with a status when it is refused at once (the
   sink is not called then). */
uint64_t sc_submit(sc_scheduler *scheduler, const sc_draft_desc *desc,
                   er_status *status);
/* Ends the draft without a call of its sink, whose receiver has gone. */
void sc_cancel(sc_scheduler *scheduler, uint64_t draft);
/* Sets whether the receiver of the tokens exerts back pressure; while it does,
   the engine's streams are not read. */
void sc_set_backpressure(sc_scheduler *scheduler, uint64_t draft, bool on);

/* -- from other instances ------------------------------------------------- */

/* A token of a forwarded draft. attempt is that of sc_forward; answers to an
   earlier attempt are dropped. */
void sc_receive_piece(sc_scheduler *scheduler, uint64_t draft,
                      uint32_t attempt, uint32_t index, const char *text);
/* The end of a forwarded draft. */
void sc_receive_final(sc_scheduler *scheduler, uint64_t draft,
                      uint32_t attempt, const dr_end *end);
/* Resumes drafts that were forwarded to an instance whose link is lost. */
void sc_handle_link_lost(sc_scheduler *scheduler, const char *instance);
/* The load and the changes of resident adapters of a server that another
   instance owns. */
void sc_receive_summary(sc_scheduler *scheduler, const char *server,
                        const lwd_summary *summary);
/* How often servers died while they ran this request, as another instance
   reported. */
void sc_receive_suspect(sc_scheduler *scheduler, uint64_t fingerprint,
                        uint32_t deaths);
/* Sets this instance's share of the weight store's load limits. */
void sc_set_weight_share(sc_scheduler *scheduler, uint32_t loads_per_s_milli,
                         uint32_t loads_in_transit);

/* -- queries -------------------------------------------------------------- */

/* Returns the number of drafts in flight. */
uint32_t sc_query_open_drafts(const sc_scheduler *scheduler);
/* Returns the number of streams that this instance has open on the server. */
uint32_t sc_query_open_attempts(const sc_scheduler *scheduler,
                                const char *server);
/* Returns whether any backend server could be given a draft now. */
bool sc_query_any_server_usable(const sc_scheduler *scheduler);
bool sc_query_has_model(const sc_scheduler *scheduler, const char *model);
/* Appends an array with one object for each server to an open builder. */
void sc_query_servers(const sc_scheduler *scheduler, JsonBuilder *json);

#endif
