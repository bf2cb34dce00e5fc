/* exchange_private.h: what the parts of the exchange share (prefix xc_). */
#ifndef LACEWING_XC_PRIVATE_H
#define LACEWING_XC_PRIVATE_H

#include "budget.h"
#include "exchange.h"
#include "lacewing/counter.h"
#include "lacewing/histogram.h"
#include "lacewing/log.h"

/* A request goes to so many servers at the most, refusals included. */
#define XC_SENDS 4
/* Longest event of a stream that can go on elsewhere: it is kept until it is
   whole. Those of the platform have some 50 bytes. */
#define XC_EVENT_BYTES (256 * 1024)

struct xc_core {
    xc_desc desc;
    rc_table *table;
    GQueue active;       /* xc_exchange */
    GQueue crowded;      /* xc_exchange that wait for room at any server */
    GHashTable *budgets; /* service -> bg_budget */
    GRand *random;
    uint64_t leave_us; /* the instance ends then; 0: it stays */
    bool others_only;  /* the platform sends new callers elsewhere */
};

typedef enum xc_state {
    XC_NEW = 0,
    XC_WAITS_COPY, /* in adapter->waiting */
    XC_WAITS_ROOM, /* in core->crowded */
    XC_SENT        /* a server has it */
} xc_state;

typedef struct xc_exchange {
    xc_core *core;
    cr_conn *caller;
    GList link;      /* in core->active */
    GList wait_link; /* in adapter->waiting or core->crowded */
    xc_state state;
    const h1_head *head; /* of the request, kept by the caller's connection */
    const char *body;
    size_t body_count;
    const char *id;
    rc_table *table; /* holds route and service */
    const rc_route *route;
    const rc_service *service;
    fl_adapter *adapter; /* NULL: a plain service */
    uint32_t prompt_tokens;
    uint32_t most_tokens; /* that a stream may have */
    uint32_t hint_tokens; /* the caller's guess of them; 0: none */
    uint64_t begun_us;
    uint64_t end_us;         /* the caller or the route waits no longer */
    uint64_t waits_since_us; /* without a server; 0: it does not */
    uint64_t asked_us;       /* last time an adapter was asked for */
    bool told;               /* its routine lines are logged */
    bool begun;              /* the caller has the head of the answer */
    bool no_place;           /* nobody can have its adapter loaded now */
    bool held_leaving;       /* it was kept from a server that leaves */
    bool held_paused;        /* and from one that is paused */
    bool may_repeat;         /* its kind may run again after a failure */
    bool may_have_run;
    /* the send under way */
    us_line *line;
    fl_server *server;
    uint64_t born_ms; /* of its process, when it was sent */
    bool asked_pause; /* the server turned it away for some time */
    bool tries;       /* it is the first at the server after a pause */
    const fl_server *tried[FL_MAX_TRIED];
    uint32_t tried_count;
    uint32_t sends;
    uint32_t ran_at; /* servers that may have run it */
    uint64_t sent_us;
    uint64_t connect_until_us; /* a new connection is given up then */
    uint64_t version; /* of the adapter that is sure to serve; 0: any */
    uint32_t unread;  /* prompt tokens that the server is to read */
    uint32_t ahead;   /* the same with those before them, when it was sent */
    bool refused;
    bool spoilt;
    bool overrun;    /* the answer is longer than any may be */
    uint32_t status; /* of the answer */
    GString *answer_headers;
    GByteArray *answer; /* gathered, when it is not passed on as it comes */
    /* streams */
    uint64_t first_us;
    uint64_t last_us;
    uint64_t pause_us;    /* longest between two pieces */
    char answered_by[40]; /* server of the last send */
    uint32_t pieces;
    GByteArray *event; /* resumable: the event that is not whole yet */
    char *last_event;  /* id of the last whole event that was passed on */
    bool resumed;
} xc_exchange;

uint64_t xc_now_us(const xc_exchange *exchange);
hg_label xc_query_label(const xc_exchange *exchange);
bg_budget *xc_budget(xc_core *core, const char *service);

/* Looks for a server and sends, or waits, or refuses. */
void xc_dispatch(xc_exchange *exchange);
void xc_stop_waiting(xc_exchange *exchange);
/* Ends it without a send: refused if that is true, else failed. */
void xc_give_up(xc_exchange *exchange, ct_end why);
/* Frees it; the caller has had its answer, or has left. */
void xc_free(xc_exchange *exchange);

/* -- exchange_send.c */
/* False: no connection could be had. */
bool xc_send(xc_exchange *exchange, fl_server *server, uint64_t version);
/* The server has read the prompt, or ends without: first_ms 0. */
void xc_end_read(xc_exchange *exchange, double first_ms);
/* Ends a send whose answer goes on without end: elsewhere, or failed. */
void xc_end_overrun(xc_exchange *exchange);
/* Ends the send under way; the server stops work on it. */
void xc_cancel_send(xc_exchange *exchange, fl_outcome outcome);

/* -- exchange_answer.c */
/* Not run, and never will be: the caller may come back. */
void xc_refuse(xc_exchange *exchange, uint32_t status, uint32_t after_ms,
               ct_end why);
/* Promises nothing. */
void xc_fail(xc_exchange *exchange, uint32_t status, ct_end why);
/* One line with what is known of it. */
void xc_log(lg_item item, const xc_exchange *exchange, const char *why);
/* What the server made, whole. */
void xc_answer(xc_exchange *exchange);
/* The head of a stream. */
void xc_begin_answer(xc_exchange *exchange);
void xc_pass_events(xc_exchange *exchange, const char *bytes, size_t count);

#endif
