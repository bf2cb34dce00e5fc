/* scheduler_private.h: types and functions shared by the scheduler's files. */
#ifndef LACEWING_SCHEDULER_PRIVATE_H
#define LACEWING_SCHEDULER_PRIVATE_H

#include "lacewing/backend.h"
#include "scheduler.h"
#include "wakeup.h"
#include <glib.h>

typedef struct _sc_server {
    sc_scheduler *scheduler;
    lwd_server id;
    char *name;
    char *zone;
    be_server *backend;
    char *incarnation; /* of the engine, from its last list of adapters */
    char *owner;       /* instance that owns it; NULL: not known */
    bool owned;
    bool adapters_listed; /* list of its adapters read since sc_own() */
    bool leaving;
    bool handing_over; /* planned handover, streams still running */
    bool down;    /* owned: it does not answer; else: its owner does not */
    bool listing; /* a request for the list of its adapters is in flight */
    uint64_t fence;
    uint64_t acquired_us; /* time of sc_own() */
    uint64_t evict_after_us;
    uint32_t open_attempts; /* attempts of this instance on it */
    sc_server_desc desc;    /* its string pointers are not valid */
} _sc_server;

typedef struct _sc_model {
    lwd_adapter id;
    char *name;   /* ADAPTER@VERSION */
    bool removed; /* not configured; drafts still use the entry */
} _sc_model;

typedef struct _sc_draft {
    sc_scheduler *scheduler;
    uint64_t id;
    lwd_request request;
    dr_sink *sink; /* NULL: its receiver has gone */
    _sc_model *model;
    char *prompt;
    char *team;
    uint32_t team_weight;
    uint32_t operation;
    uint32_t prompt_tokens;
    uint32_t max_tokens;
    uint64_t deadline_us; /* 0: none */
    uint64_t fingerprint;
    uint64_t prefix;
    uint32_t next_index; /* index of the next token for the sink */
    uint32_t attempts;   /* attempts made so far; the number of the latest */
    bool backpressure;
    bool may_have_run;        /* an engine may have run part of it */
    uint32_t forward_attempt; /* attempt number of the open forward; 0: none */
    char *forward_instance;
    char last_server[64]; /* not used; server of the latest forward */
} _sc_draft;

/* One stream on an owned backend server. */
typedef struct _sc_attempt {
    sc_scheduler *scheduler;
    lwd_attempt id;
    uint64_t draft_id;
    _sc_server *server;
    be_stream *stream;
    uint32_t tokens;
    uint64_t started_us; /* not used */
} _sc_attempt;

struct sc_scheduler {
    lwd_policy *policy;
    tm_service *timers;
    const sc_callbacks *callbacks;
    void *user_data;
    char *instance;
    char *zone;
    GHashTable *servers;        /* name -> _sc_server */
    GHashTable *servers_by_id;  /* lwd_server.id -> _sc_server */
    GHashTable *servers_by_tag; /* not used */
    GHashTable *models;         /* name -> _sc_model */
    GHashTable *models_by_id;   /* lwd_adapter.id -> _sc_model */
    GHashTable *drafts;         /* id -> _sc_draft */
    GHashTable *attempts;       /* lwd_attempt.id -> _sc_attempt */
    GPtrArray *instances;       /* instance number - 1 -> name */
    GHashTable *unreachable;    /* set of instance names */
    uint64_t next_draft;
    wk_wakeup wakeup;
    tm_timer checks;
    guint run_source; /* of _sc_run_actions_later(); 0: none */
    bool running_actions;
};

uint64_t _sc_now_us(const sc_scheduler *scheduler);
/* The policy knows instances by number, from 1. Returns that of the name, a
   new one if it has none yet. */
uint32_t _sc_instance_number(sc_scheduler *scheduler, const char *name);
/* Returns NULL for an unknown number. */
const char *_sc_instance_name(const sc_scheduler *scheduler, uint32_t number);
_sc_server *_sc_find_server(const sc_scheduler *scheduler, lwd_server id);

/* Feeds an event to the policy and executes the actions that follow. */
void _sc_feed(sc_scheduler *scheduler, const lwd_event *event);
/* Executes the policy's pending actions and sets its next wakeup. */
void _sc_run_actions(sc_scheduler *scheduler);
/* Does so from the main loop, so that no callback is called from within the
   current call of the scheduler. */
void _sc_run_actions_later(sc_scheduler *scheduler);

/* scheduler_draft.c: drafts and their actions */
void _sc_act_send(sc_scheduler *scheduler, const lwd_action *action);
void _sc_act_forward(sc_scheduler *scheduler, const lwd_action *action);
void _sc_act_refuse(sc_scheduler *scheduler, const lwd_action *action);
void _sc_act_cancel(sc_scheduler *scheduler, const lwd_action *action);
void _sc_act_cancel_forward(sc_scheduler *scheduler, const lwd_action *action);
void _sc_act_pause(sc_scheduler *scheduler, const lwd_action *action);
void _sc_draft_free(void *draft);
void _sc_attempt_free(void *attempt);

_sc_draft *_sc_find_draft(sc_scheduler *scheduler, uint64_t id);
/* Passes a token to the sink; drops one that is late or a duplicate. */
void _sc_deliver_token(_sc_draft *draft, uint32_t index, const char *text);
/* Removes the draft, then ends its sink. */
void _sc_end_draft(_sc_draft *draft, const dr_end *end);

/* scheduler_forward.c */
void _sc_cancel_forward(_sc_draft *draft);
/* Tells the instance that runs the forwarded draft how many tokens were
   received. */
void _sc_send_credit(const _sc_draft *draft);
/* Fails forwards that were not answered by their deadline. */
void _sc_check_forwards(sc_scheduler *scheduler);

/* scheduler_server.c: servers and their actions */
void _sc_act_load(sc_scheduler *scheduler, const lwd_action *action);
void _sc_act_evict(sc_scheduler *scheduler, const lwd_action *action);
void _sc_server_free(void *server);
void _sc_feed_state(_sc_server *server, lwd_server_state state);
/* Tells the policy that this instance owns the server, and the time before
   which it may evict nothing there. */
void _sc_feed_own(_sc_server *server);

/* scheduler_check.c: checks of owned servers */
/* Requests the server's list of adapters, its health and its load report,
   unless a list is already in flight. */
void _sc_check_server(_sc_server *server);
void _sc_mark_server_down(_sc_server *server);
/* Completes a planned handover if no attempt is left on the server. */
void _sc_finish_handover_if_drained(_sc_server *server);
/* Timer callback: checks the owned servers and the open forwards. */
void _sc_check_servers(uint64_t now_us, void *scheduler);

#endif
