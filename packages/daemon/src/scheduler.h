/*
 * scheduler.h: carries out the decisions for drafts (prefix sc_).
 *
 * Owns this instance's lwd_policy, the connections to the backend servers and
 * every draft in flight. Feeds the policy with what happens and carries out
 * its actions: sends, loads, evictions, forwards, refusals.
 *
 *     sc_scheduler *scheduler = sc_create(&(sc_desc){
 *         .timers = timers, .out = &out, .out_data = self});
 *     sc_set_server(scheduler, &(sc_server_desc){.name = "s1", ...});
 *     sc_set_model(scheduler, "a@1", 0);
 *     sc_own(scheduler, "s1", 7, 0);
 *     uint64_t draft = sc_submit(scheduler, &(sc_draft_desc){...});
 *     sc_cancel(scheduler, draft);
 *
 * Limits: one main context; the out table is never called from inside
 * sc_submit().
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

/* A draft handed to another instance. */
typedef struct sc_forward {
    uint64_t draft;
    uint32_t attempt;
    const char *instance;
    const char *server;
    const char *model;
    const char *prompt;
    const char *team;
    uint32_t team_weight;
    uint32_t operation;
    uint32_t prompt_tokens;
    uint32_t max_tokens;
    uint32_t resume_from;
    uint32_t time_left_ms; /* 0: no deadline */
    uint64_t fingerprint;
    uint64_t prefix;
} sc_forward;

/* What the scheduler says to other tasks. */
typedef struct sc_out {
    /* False: there is no link to that instance; nothing was sent. */
    bool (*forward)(const sc_forward *forward, void *data);
    void (*cancel_forward)(uint64_t draft, uint32_t attempt,
                           const char *instance, void *data);
    void (*summary)(const char *server, const lwd_summary *summary,
                    void *data);
    void (*suspect)(uint64_t fingerprint, uint32_t deaths, void *data);
    /* A backend server obeys a newer owner. */
    void (*fenced)(const char *server, void *data);
    /* Whether the lease still allows orders to this server; evict: also
       evictions. */
    bool (*may_order)(const char *server, bool evict, void *data);
    /* The taker of a forwarded draft has passed on this many tokens. */
    void (*credit)(uint64_t draft, uint32_t attempt, const char *instance,
                   uint32_t tokens, void *data);
    /* No stream of ours is left on a server that was given up as planned. */
    void (*idle)(const char *server, void *data);
    /* An engine's report: requests there that are not from this instance. */
    void (*foreign)(const char *server, uint32_t count, void *data);
    /* What came of sc_probe(). */
    void (*reached)(const char *server, bool reached, void *data);
    /* An owned backend server said that it is leaving. */
    void (*server_leaving)(const char *server, void *data);
} sc_out;

typedef struct sc_desc {
    tm_service *timers; /* required */
    const sc_out *out;  /* required, all members set */
    void *out_data;
    const char *instance; /* required: this instance's name */
    const char *zone;     /* required */
    lwd_desc policy;      /* instance and zone are set by the scheduler */
} sc_desc;

sc_scheduler *sc_create(const sc_desc *desc);
void sc_destroy(sc_scheduler *scheduler);

/* -- what there is: from the configuration and the ownership -------------- */

typedef struct sc_server_desc {
    const char *name;
    const char *zone;
    const char *address;
    uint32_t slots;
    uint32_t adapter_slots;
    uint32_t tokens_per_s;  /* 0: not known */
    uint32_t prefill_per_s; /* 0: not known */
    bool pausable;
    bool leaving; /* gets nothing new */
} sc_server_desc;

void sc_set_server(sc_scheduler *scheduler, const sc_server_desc *desc);
void sc_remove_server(sc_scheduler *scheduler, const char *name);
void sc_set_model(sc_scheduler *scheduler, const char *model, uint32_t pinned);
void sc_remove_model(sc_scheduler *scheduler, const char *model);

/* Targets and budgets of the decisions; see lwd_set_limits(). */
void sc_set_limits(sc_scheduler *scheduler, const lwd_desc *limits);

/* This instance owns the server from now on. No eviction there before
   settle_us. */
void sc_own(sc_scheduler *scheduler, const char *server, uint64_t fence,
            uint64_t settle_us);
void sc_set_settle(sc_scheduler *scheduler, const char *server,
                   uint64_t settle_us);
/* Gives a server up. planned: streams under way end by themselves, then
   sc_out.idle is called; else they are broken off and resumed elsewhere. */
void sc_disown(sc_scheduler *scheduler, const char *server, bool planned);
/* Another instance owns the server. */
void sc_set_owner(sc_scheduler *scheduler, const char *server,
                  const char *instance);
/* Whether the instance answers: servers of one that does not get nothing. */
void sc_set_reachable(sc_scheduler *scheduler, const char *instance,
                      bool reachable);
/* The server gets nothing new; for good. */
void sc_set_leaving(sc_scheduler *scheduler, const char *server);
/* Asks a server that is not owned whether it is there. */
void sc_probe(sc_scheduler *scheduler, const char *server);

/* -- drafts --------------------------------------------------------------- */

typedef struct sc_draft_desc {
    dr_sink *sink;      /* required */
    const char *model;  /* required: ADAPTER@VERSION */
    const char *prompt; /* required */
    const char *team;
    uint32_t team_weight;
    uint32_t operation;
    uint32_t prompt_tokens;
    uint32_t max_tokens;
    uint32_t resume_from;
    uint32_t time_left_ms; /* 0: none */
    uint64_t fingerprint;
    uint64_t prefix;
    const char *server; /* forwarded here for this server; NULL: not */
} sc_draft_desc;

/* Id of the draft; 0 with a status when it was refused outright (the sink is
   not called then). */
uint64_t sc_submit(sc_scheduler *scheduler, const sc_draft_desc *desc,
                   er_status *status);
/* The taker has left: ends the draft without a call of its sink. */
void sc_cancel(sc_scheduler *scheduler, uint64_t draft);
/* Back pressure from the taker. */
void sc_set_held(sc_scheduler *scheduler, uint64_t draft, bool held);

/* -- from other instances ------------------------------------------------- */

void sc_take_piece(sc_scheduler *scheduler, uint64_t draft, uint32_t attempt,
                   uint32_t index, const char *text);
void sc_take_final(sc_scheduler *scheduler, uint64_t draft, uint32_t attempt,
                   const dr_end *end);
/* The link to an instance is lost: what was forwarded there is resumed. */
void sc_take_link_lost(sc_scheduler *scheduler, const char *instance);
void sc_take_summary(sc_scheduler *scheduler, const char *server,
                     const lwd_summary *summary);
void sc_take_suspect(sc_scheduler *scheduler, uint64_t fingerprint,
                     uint32_t deaths);
void sc_set_weight_share(sc_scheduler *scheduler, uint32_t loads_per_s_milli,
                         uint32_t loads_in_transit);

/* -- queries -------------------------------------------------------------- */

uint32_t sc_query_open(const sc_scheduler *scheduler);
uint32_t sc_query_open_on(const sc_scheduler *scheduler, const char *server);
/* Whether any backend server could take a draft now. */
bool sc_query_usable(const sc_scheduler *scheduler);
bool sc_query_has_model(const sc_scheduler *scheduler, const char *model);
/* Appends an array with one object for each server to an open builder. */
void sc_query_servers(const sc_scheduler *scheduler, JsonBuilder *json);

#endif
