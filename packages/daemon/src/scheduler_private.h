/* scheduler_private.h: what the files of the scheduler share. */
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
    char *incarnation; /* of the engine, as last listed */
    char *owner;       /* instance that owns it; NULL: not known */
    bool owned;
    bool settled; /* the list of its adapters was read since sc_own() */
    bool leaving;
    bool yielding; /* given up as planned, streams still under way */
    bool down;     /* owned: does not answer; else: its owner does not */
    bool checking; /* a list order is open */
    uint64_t fence;
    uint64_t owned_us; /* when it was taken over */
    uint64_t settle_until_us;
    uint32_t open;       /* attempts on it */
    sc_server_desc desc; /* its strings are not valid */
} _sc_server;

typedef struct _sc_model {
    lwd_adapter id;
    char *name;
} _sc_model;

typedef struct _sc_draft {
    sc_scheduler *scheduler;
    uint64_t id;
    lwd_request request;
    dr_sink *sink; /* NULL: the taker has left */
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
    uint32_t next_index; /* next token the sink wants */
    uint32_t attempts;   /* made so far; numbers them */
    bool held;
    bool started;             /* some attempt may have run */
    uint32_t forward_attempt; /* open forward; 0: none */
    char *forward_instance;
    char last_server[64];
} _sc_draft;

/* One stream on an owned backend server. */
typedef struct _sc_attempt {
    sc_scheduler *scheduler;
    lwd_attempt id;
    uint64_t draft_id;
    _sc_server *server;
    be_stream *stream;
    uint32_t tokens;
    uint64_t started_us;
} _sc_attempt;

struct sc_scheduler {
    lwd_policy *policy;
    tm_service *timers;
    const sc_out *out;
    void *out_data;
    char *instance;
    char *zone;
    GHashTable *servers;        /* name -> _sc_server */
    GHashTable *servers_by_id;  /* lwd_server.id -> _sc_server */
    GHashTable *servers_by_tag; /* tag -> _sc_server */
    GHashTable *models;         /* name -> _sc_model */
    GHashTable *models_by_id;   /* lwd_adapter.id -> _sc_model */
    GHashTable *drafts;         /* id -> _sc_draft */
    GHashTable *attempts;       /* lwd_attempt.id -> _sc_attempt */
    GPtrArray *instances;       /* number - 1 -> name */
    GHashTable *unreachable;    /* set of instance names */
    uint64_t next_draft;
    wk_wakeup wakeup;
    tm_timer checks;
    guint pump_source;
    bool pumping;
};

uint64_t _sc_now_us(const sc_scheduler *scheduler);
uint32_t _sc_instance_number(sc_scheduler *scheduler, const char *name);
const char *_sc_instance_name(const sc_scheduler *scheduler, uint32_t number);
_sc_server *_sc_find_server(const sc_scheduler *scheduler, lwd_server id);

/* Feeds an event and carries out what follows. */
void _sc_feed(sc_scheduler *scheduler, const lwd_event *event);
void _sc_pump(sc_scheduler *scheduler);
/* The same from the main loop, for callers inside the scheduler's users. */
void _sc_pump_later(sc_scheduler *scheduler);

/* scheduler_draft.c: actions on drafts */
void _sc_act_send(sc_scheduler *scheduler, const lwd_action *action);
void _sc_act_forward(sc_scheduler *scheduler, const lwd_action *action);
void _sc_act_refuse(sc_scheduler *scheduler, const lwd_action *action);
void _sc_act_cancel(sc_scheduler *scheduler, const lwd_action *action);
void _sc_act_cancel_forward(sc_scheduler *scheduler, const lwd_action *action);
void _sc_act_pause(sc_scheduler *scheduler, const lwd_action *action);
void _sc_draft_free(void *draft);
void _sc_attempt_free(void *attempt);

_sc_draft *_sc_find_draft(sc_scheduler *scheduler, uint64_t id);
/* Passes a token on unless it is late or doubled. */
void _sc_draft_token(_sc_draft *draft, uint32_t index, const char *text);
/* Takes the draft out, then tells its sink. */
void _sc_draft_end(_sc_draft *draft, const dr_end *end);

/* scheduler_forward.c */
void _sc_cancel_forward(_sc_draft *draft);
/* Tells the owner how many tokens were passed on. */
void _sc_send_credit(const _sc_draft *draft);
/* Ends forwards whose deadline has passed without a word. */
void _sc_check_forwards(sc_scheduler *scheduler);

/* scheduler_server.c: actions on servers, and their checks */
void _sc_act_load(sc_scheduler *scheduler, const lwd_action *action);
void _sc_act_evict(sc_scheduler *scheduler, const lwd_action *action);
void _sc_server_free(void *server);
void _sc_feed_state(_sc_server *server, lwd_server_state state);
/* This instance owns it, with the time before which nothing is evicted. */
void _sc_feed_own(_sc_server *server);

/* scheduler_check.c */
void _sc_server_check(_sc_server *server);
void _sc_server_died(_sc_server *server);
/* A stream on it has ended. */
void _sc_server_released(_sc_server *server);
void _sc_check_servers(uint64_t now_us, void *scheduler);

#endif
