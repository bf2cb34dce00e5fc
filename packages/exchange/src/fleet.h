/*
 * fleet.h: backend servers, what they hold and how busy they are
 * (prefix fl_).
 *
 * One view of all backend servers: the platform's entries, copies of adapters
 * with their versions, requests under way from here and from other instances,
 * and what our own requests learned of speed and failures. It chooses the
 * server of a request, the server that an adapter is loaded to, and the copy
 * that makes way. No sockets and no clock: the time comes in.
 *
 *     fl_adapter *adapter = fl_intern(fleet, "base/a17");
 *     fl_choice choice;
 *     if (fl_choose(fleet, &(fl_want){.service = "s", .adapter = adapter,
 *                                     .now_us = now_us}, &choice)) {
 *         fl_begin(fleet, choice.server, adapter);
 *         ... send ...
 *         fl_end(fleet, choice.server, adapter, &outcome);
 *     }
 *
 * Answers the load of a skewed set of adapters, each server holding few of
 * them, on servers of different and changing speed.
 *
 * Limits: servers and adapters live until fl_destroy(); a server that is gone
 * stays as a record with state FL_GONE while requests refer to it.
 */
#ifndef LACEWING_FLEET_H
#define LACEWING_FLEET_H

#include "lacewing/dialect.h"
#include "notice.h"

#define FL_TRIED 4
/* Servers that an adapter remembers to have been dropped by. */
#define FL_DROPPED 8

typedef struct fl_fleet fl_fleet;
typedef struct fl_server fl_server;
typedef struct fl_adapter fl_adapter;

typedef enum fl_state {
    FL_STATE_DEFAULT = 0, /* gone */
    FL_READY,
    FL_LEAVING,
    FL_GONE
} fl_state;

/* An adapter at a server, or a model itself. */
typedef struct fl_copy {
    fl_adapter *adapter;
    fl_server *server;
    uint64_t version; /* 0: not told */
    bool loading;
    uint64_t since_us; /* of this state */
    uint64_t asked_us; /* of the holder: not asked after before */
    uint32_t own_in_flight;
    uint64_t used_us;   /* last word of requests under way with it */
    GArray *peer_loads; /* fl_peer_load; NULL: none was told */
} fl_copy;

/* A server that dropped the adapter, and how many it had dropped by then. */
typedef struct fl_dropped {
    const fl_server *server;
    uint64_t number;
} fl_dropped;

struct fl_adapter {
    char *key; /* MODEL/ADAPTER, or MODEL */
    uint64_t hash;
    char *model;
    char *name;          /* NULL: the model itself */
    uint64_t version;    /* newest that was declared; 0: none */
    uint64_t version_us; /* it was declared then or later */
    GPtrArray *copies;   /* fl_copy */
    double use;          /* requests, halved every 4 s */
    uint64_t use_us;
    uint32_t uses_to_tell; /* requests from here since peers were told */
    GQueue waiting;        /* of the exchange: requests without a copy */
    uint64_t asked_us;     /* of the exchange: last order asked for */
    fl_server *asked_at;   /* the server that was asked for then */
    fl_dropped dropped[FL_DROPPED]; /* the latest */
    uint32_t dropped_next;
};

typedef struct fl_peer_load {
    uint32_t peer; /* hash of its name */
    uint32_t in_flight;
    uint32_t unread; /* prompt tokens of those without a first event */
    uint64_t at_us;
} fl_peer_load;

struct fl_server {
    char *id;
    char *address;
    char *service;
    char *zone;
    uint64_t hash;
    uint32_t slots;
    fl_state state;
    uint64_t born_ms;
    GPtrArray *copies; /* fl_copy, models too */
    uint32_t own_in_flight;
    GArray *peer_loads; /* fl_peer_load */
    dl_load load;       /* as it told last */
    uint64_t load_us;
    double event_ms;          /* streams: between two events; 0: not known */
    uint32_t streams_to_tell; /* that ended since peers were told */
    double event_ms_to_tell;  /* sum over these */
    double latency_ms;        /* plain services: of an answer */
    uint32_t own_unread;    /* as fl_peer_load.unread, of requests from here */
    double read_ms;         /* of 1000 prompt tokens; 0: not known */
    uint32_t reads_to_tell; /* that ended since peers were told */
    double read_ms_to_tell; /* sum over these */
    int32_t room;     /* places that can be had now, less loads that wait */
    uint64_t room_us; /* when its holder said so; 0: never */
    uint32_t asks;    /* for loads, from here since then */
    uint64_t drops;   /* copies that it dropped */
    uint32_t most_copies; /* that it had at once */
    double failing;       /* share of late requests that failed, 0 to 1 */
    uint32_t failed_in_row;
    uint64_t shunned_until_us;
    nt_notice notice;     /* what it said of itself; a word that it leaves
                             shows in the state, too */
    bool orders_possible; /* an instance may give it orders now */
    /* Its holder was asked for a load and has not answered since; 0: none. */
    uint64_t asked_us;
    uint64_t holder_silent_until_us; /* taken to give no orders */
    void *pool;                      /* of the exchange: its connections */
    void *orders; /* of the exchange: its orders, if owned here */
};

typedef struct fl_want {
    const char *service;
    fl_adapter *adapter;    /* NULL: any server of the service */
    const char *zone;       /* preferred */
    uint32_t prompt_tokens; /* 0: not told */
    uint64_t now_us;
    const fl_server *tried[FL_TRIED]; /* not again */
    uint32_t tried_count;
} fl_want;

typedef enum fl_why {
    FL_WHY_DEFAULT = 0,
    FL_CHOSEN,
    FL_NO_SERVER, /* none of that service can be used */
    FL_NO_COPY,   /* none of them holds the adapter in its version */
    FL_ALL_FULL,  /* all that could are full */
    FL_ALL_LEAVE, /* all that could said that they leave */
    FL_ALL_PAUSED /* all that could asked for a pause */
} fl_why;

typedef struct fl_choice {
    fl_why why;
    fl_server *server; /* FL_ALL_PAUSED: that is back first */
    uint64_t version;  /* that the request must find; 0: any */
    bool more_copies;  /* demand asks for a further copy */
    uint64_t back_us;  /* FL_ALL_PAUSED: when */
    bool held_leaving; /* a server was left out that said it leaves */
    bool held_paused;  /* one that is paused was */
} fl_choice;

typedef enum fl_outcome {
    FL_OUTCOME_DEFAULT = 0, /* says nothing of the server */
    FL_GOOD,
    FL_BAD_ANSWER,  /* an error of the server, or a spoilt answer */
    FL_UNREACHABLE, /* no connection */
    FL_REFUSED      /* it did not run the request */
} fl_outcome;

typedef struct fl_result {
    fl_outcome outcome;
    double latency_ms; /* FL_GOOD: to the whole answer; 0: not measured */
    double event_ms;   /* FL_GOOD, streams: between events; 0: none */
    uint64_t now_us;
} fl_result;

/* What the process of a server said that began then. */
typedef struct fl_heard {
    const char *id; /* required */
    uint64_t born_ms;
    nt_source source; /* required, NT_ANSWER or NT_PEER */
    dl_notice said;   /* NT_ANSWER */
    uint64_t now_us;
} fl_heard;

typedef struct fl_desc {
    uint32_t version_ms; /* a new version is used within; default 5000 */
    uint32_t drain_ms;   /* a leaving server gets nothing new after; default
                            2000 */
    double pause_most_s; /* a server's pause is no longer; default 30 */
    uint32_t seed;       /* default 1 */
} fl_desc;

fl_fleet *fl_create(const fl_desc *desc);
void fl_destroy(fl_fleet *fleet);

/* Entries of the platform. True: it is new or began anew. */
bool fl_put_server(fl_fleet *fleet, const dl_server *entry, fl_server **out);
void fl_remove_server(fl_fleet *fleet, const char *id);
/* Returns nt_change, of *out; a word of a server that is not known yet is kept
   for its entry (*out is NULL then). */
uint32_t fl_hear(fl_fleet *fleet, const fl_heard *heard, fl_server **out);
/* See nt_note_store_version(). */
void fl_note_store(fl_fleet *fleet, uint64_t version, uint64_t asked_us);
/* Where all servers of a service said that they leave, the list counts for
   those whose entry contradicts that, see nt_query_contradicted(). Calls back
   for each, with what was known of it before. */
typedef void (*fl_stays_call)(fl_server *server, const nt_notice *before,
                              void *user_data);
void fl_settle_words(fl_fleet *fleet, uint64_t list_us, fl_stays_call call,
                     void *user_data);

fl_adapter *fl_intern(fl_fleet *fleet, const char *key);
/* A new version, declared at since_us at the earliest; 0: long ago. */
void fl_declare_version(fl_fleet *fleet, const char *model, const char *name,
                        uint64_t version, uint64_t since_us);

fl_copy *fl_put_copy(fl_server *server, fl_adapter *adapter, uint64_t version,
                     bool loading, uint64_t now_us);
/* The same by names; name NULL: the model itself. Returns the adapter. */
fl_adapter *fl_put_named(fl_fleet *fleet, fl_server *server, const char *model,
                         const char *name, uint64_t version, bool loading,
                         uint64_t now_us);
void fl_drop_copy(fl_server *server, fl_adapter *adapter);
/* Drops the copies of all adapters (fl_adapter *) that are not in the set. */
void fl_keep_copies(fl_server *server, GHashTable *adapters);

/* Streams that other instances had there. */
void fl_learn_streams(fl_server *server, uint32_t streams,
                      double event_ms_sum);
/* Prompts that other instances had read there: time of 1000 tokens. */
void fl_learn_reads(fl_server *server, uint32_t reads, double read_ms_sum);
/* A load from the weight store took so long. */
void fl_learn_fetch(fl_fleet *fleet, double load_ms);
/* Requests of other instances. */
void fl_set_peer_load(fl_server *server, uint32_t peer, uint32_t in_flight,
                      uint64_t now_us);
void fl_set_peer_unread(fl_server *server, uint32_t peer, uint32_t tokens);
/* Those with one copy, by the hash of its adapter. */
void fl_set_peer_use(fl_server *server, uint32_t peer, uint32_t adapter,
                     uint32_t in_flight, uint64_t now_us);
/* Before the whole of what a peer has under way with a server's copies. */
void fl_clear_peer_uses(fl_server *server, uint32_t peer);
/* Word of its holder. */
void fl_set_room(fl_server *server, int32_t room, uint64_t now_us);
void fl_add_use(fl_adapter *adapter, double uses, uint64_t now_us);
/* A request of this instance. */
void fl_use(fl_fleet *fleet, fl_adapter *adapter, uint64_t now_us);

bool fl_choose(fl_fleet *fleet, const fl_want *want, fl_choice *out);
/* Server to load a further copy to; NULL: none can take orders. */
fl_server *fl_place(fl_fleet *fleet, const char *service, fl_adapter *adapter,
                    uint64_t now_us);
/* Loaded copy that is needed least and not in use; NULL: none. */
fl_copy *fl_query_victim(const fl_server *server, uint64_t now_us);

void fl_begin(fl_server *server, fl_adapter *adapter, uint64_t now_us);
void fl_end(fl_server *server, fl_adapter *adapter, const fl_result *result);
/* A prompt that is to be read there. Returns the tokens that are to be read
   before its first event, its own included. */
uint32_t fl_begin_read(fl_server *server, uint32_t tokens, uint64_t now_us);
/* Its first event came after first_ms, or never (0). */
void fl_end_read(fl_server *server, uint32_t tokens, uint32_t ahead,
                 double first_ms);
void fl_told_load(fl_server *server, const dl_load *load, uint64_t now_us);

/* queries */
fl_server *fl_query_server(const fl_fleet *fleet, const char *id);
fl_copy *fl_query_copy(const fl_server *server, const fl_adapter *adapter);
uint32_t fl_query_in_flight(const fl_server *server, uint64_t now_us);
double fl_query_use(const fl_adapter *adapter, uint64_t now_us);
/* Time until a prompt of so many tokens is read. */
double fl_query_read_ms(const fl_server *server, uint32_t tokens,
                        uint64_t now_us);
/* A request from anywhere may be using it. */
bool fl_query_in_use(const fl_copy *copy, uint64_t now_us);
/* The server had it lately: a load is short and free. */
bool fl_query_at_hand(const fl_server *server, const fl_adapter *adapter);
bool fl_query_current(const fl_copy *copy);
/* From then on nothing may begin on a version older than the newest. */
uint64_t fl_query_old_until_us(const fl_fleet *fleet,
                               const fl_adapter *adapter);
uint32_t fl_query_usable(const fl_fleet *fleet, const char *service);
/* A load that is on its way there is worth waiting for. */
bool fl_query_awaited(const fl_fleet *fleet, const fl_copy *copy,
                      uint64_t now_us);
typedef void (*fl_server_call)(fl_server *server, void *user_data);
void fl_each_server(const fl_fleet *fleet, fl_server_call call,
                    void *user_data);
typedef void (*fl_adapter_call)(fl_adapter *adapter, void *user_data);
/* Adapters with uses to tell, each once; the list begins anew. */
void fl_each_used(fl_fleet *fleet, fl_adapter_call call, void *user_data);

#endif
