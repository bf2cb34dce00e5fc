/* exchange_private.h: shared by the source files of the exchange (prefix
   xc_). */
#ifndef LACEWING_XC_PRIVATE_H
#define LACEWING_XC_PRIVATE_H

#include "budget.h"
#include "byte_budget.h"
#include "exchange.h"
#include "lacewing/counter.h"
#include "lacewing/histogram.h"
#include "lacewing/log.h"
#include "limited_wait.h"
#include "stream_position.h"

/* Most sends of one request, including those that a server refused. */
#define XC_MAX_SENDS 4
/* Least time after which a refused caller may retry. */
#define XC_RETRY_AFTER_MS 400
/* Longest event id in a log line, with its end; longer ones are cut. */
#define XC_EVENT_ID_LOG_BYTES 41

struct xc_core {
    xc_desc desc;
    rc_table *table;
    GQueue active;           /* xc_exchange, all */
    GQueue waiting_capacity; /* xc_exchange in XC_WAITING_CAPACITY */
    GQueue waiting_origin;   /* xc_exchange in XC_WAITING_ORIGIN */
    GHashTable *budgets;     /* service -> bg_budget */
    GHashTable *returns;     /* service -> lw_returns */
    bb_budget answer_bytes;  /* see xc_exchange.answer_bytes */
    GRand *random;
    uint64_t leave_us;       /* this instance ends then; 0: it stays */
    bool callers_redirected; /* the platform sends new callers elsewhere */
};

typedef enum xc_state {
    XC_NEW = 0,
    XC_WAITING_COPY,     /* in adapter->waiting */
    XC_WAITING_CAPACITY, /* in core->waiting_capacity */
    XC_WAITING_ORIGIN,   /* in core->waiting_origin */
    XC_SENT              /* a server has it */
} xc_state;

/* One send of a request to a server; its state is kept after its end, until
   the next send. A piece is the bytes of one us_callbacks.body. */
typedef struct xc_send_state {
    us_conn *upstream; /* NULL: the send has ended */
    fl_server *server; /* NULL: the send has ended */
    char server_id[40];
    uint64_t software_hash; /* fl_server.software_hash at the time of the send:
                               another process may get the server's id */
    uint64_t server_started_ms; /* start of the server's process, at the time
                                   of the send */
    bool pause_requested; /* the server refused it and asked for a pause */
    bool is_probe; /* it is the first request at the server after a pause */
    uint64_t sent_us;
    uint64_t connect_deadline_us; /* a new connection is given up then */
    uint64_t copy_version;   /* of the adapter at the server; 0: not known */
    uint32_t unread_tokens;  /* of its prompt, not processed yet */
    uint64_t queued_tokens;  /* unread at the server when it was sent, its own
                                included */
    bool refused;            /* the server did not run it */
    bool answer_invalid;     /* not forwarded: unsigned, without a request id,
                                encoded, too long, or, for a resumed stream, with
                                another status or media type */
    bool answer_too_long;    /* an event or a plain answer is over its limit */
    bool answer_crowded_out; /* memory for all answers was used up, and this
                                was the largest */
    uint32_t status;         /* of the answer; 0: no head yet */
    GString *answer_headers;
    GByteArray *answer_body; /* buffered; of an answer that is no stream */
    char *media_type;        /* of a stream; NULL: its head has not come */
    /* Of a stream: what came before its first whole event, while another send
       may still bring one; NULL: none. */
    GByteArray *early;
    uint32_t piece_count;    /* of a stream, as first_piece_us */
    uint64_t first_piece_us; /* set with piece_count */
    bool good_noted;         /* see xc_note_good() */
    bool silence_reported;   /* see xc_report_if_silent() */
    bool paused;          /* for want of memory, reading waits until the caller
                             has taken all bytes */
    uint64_t unpaused_us; /* end of the last such pause; 0: none */
    char last_bytes[3];   /* of the body; 0: none */
    /* Event after which it asks its server to go on, for the log; "-": none.
     */
    char resume_after[XC_EVENT_ID_LOG_BYTES];
} xc_send_state;

typedef struct xc_exchange {
    xc_core *core;
    cr_conn *caller;
    GList link;      /* in core->active */
    GList wait_link; /* in adapter->waiting or core->waiting_capacity */
    xc_state state;
    const h1_head *head; /* of the request; owned by the caller's connection */
    const char *body;
    size_t body_count;
    const char *id;
    su_content content; /* see xc_get_content() and xc_get_fingerprint() */
    bool parts_read;    /* content has the parts of its prompt */
    rc_table *table;    /* reference that keeps route and service alive */
    const rc_route *route;
    const rc_service *service;
    /* NULL: the route is public or needs no key; kept alive by the table */
    const wp_workspace *workspace;
    uint32_t quota_amount; /* drawn on the workspace's quota */
    fl_adapter *adapter;   /* NULL: a plain service */
    uint32_t prompt_tokens;
    uint32_t max_tokens;  /* that a stream may produce */
    uint32_t hint_tokens; /* the caller's estimate of them; 0: none */
    uint64_t received_us;
    uint64_t deadline_us;      /* earlier of the caller's and the route's */
    uint64_t waiting_since_us; /* without a server; 0: it does not wait */
    uint64_t asked_us;         /* last request for a load of its adapter */
    bool logged;               /* routine events are logged, not just errors */
    uint64_t attempt_hash; /* of the attempt that brought the caller the first
                              event of its stream */
    uint64_t caller_deadline_us;
    uint64_t origin_asked_us; /* when that attempt was first looked for */
    uint64_t origin_asked_store_ms; /* not before that, on the store's clock;
                                       0: not known yet */
    bool origin_named;              /* the caller names that attempt */
    bool owes_resend; /* the next send draws on the retry budget first */
    uint64_t slot_wait_until_us; /* until then it goes only to servers with a
                                    free slot; 0: to any */
    /* Software version whose servers alone may go on with the stream; 0: any,
       no event has come. */
    uint64_t software_hash;
    bool answer_begun;    /* the caller has the head of the answer; a
                             further send continues its body */
    bool no_load_target;  /* no server can load its adapter now */
    bool skipped_leaving; /* a server was skipped as it leaves */
    bool skipped_paused;  /* a server was skipped as it is paused */
    bool skipped_limited; /* a server was skipped for want of a permit */
    bool wanted_permit;   /* since the last send, see fl_request.waited */
    bool probes_content;  /* its content is blocked; it may be sent */
    bool may_repeat;      /* its kind may run again after a failure */
    bool may_have_run;    /* a send of it may run or have run */
    xc_send_state send;
    /* A second send, until one of the two brings an event or a plain answer;
       there is one while its upstream is set. The functions of a send work on
       `send`, see xc_select_send(). */
    xc_send_state other;
    const fl_server *tried[FL_MAX_TRIED];
    uint32_t tried_count;
    uint32_t send_count;
    const fl_server *sent_to[XC_MAX_SENDS]; /* servers of these sends */
    uint32_t possible_runs; /* sends that may have run or may still run it */
    char *media_type;       /* of the stream that the caller gets; NULL: it has
                               not begun */
    bb_share answer_bytes; /* memory that the answer_body of the sends take, or
                              what the caller of a stream has not read */
    /* streams; a piece is the bytes of one us_callbacks.body */
    uint64_t first_piece_us;
    uint64_t last_piece_us;
    uint64_t max_gap_us;    /* longest time between two pieces */
    const char *source_end; /* how the last send that brought events ended, for
                               the log; NULL: none has */
    uint32_t piece_count;
    sp_position *position; /* resumable streams: the events that the caller
                              has; NULL: the request cannot be resumed */
} xc_exchange;

uint64_t xc_now_us(const xc_exchange *exchange);
/* Returns the histogram label of the route's kind. */
hg_label xc_query_label(const xc_exchange *exchange);
/* Returns whether the retry budget allows to send the request once more, and
   draws on it. */
bool xc_take_resend(const xc_exchange *exchange, uint64_t now_us);
/* Returns the retry budget of a service; creates it on first use. */
bg_budget *xc_get_retry_budget(xc_core *core, const char *service);

/* Chooses a server and sends the request, or lets it wait, or ends it. */
void xc_dispatch(xc_exchange *exchange);
/* Takes the request out of the queue that it waits in. */
void xc_stop_waiting(xc_exchange *exchange);
/* Ends a request that has no send under way: refuses it if it is known not to
   have run, else fails it. */
void xc_give_up(xc_exchange *exchange, ct_unserved_reason why);
/* Frees the exchange; the caller has its answer, or is gone. */
void xc_free(xc_exchange *exchange);

/* -- exchange_names.c */
/* Returns whether no engine that the route may lead to has the model or
   adapter that the request names. Names that any of them may have count as
   known, and so do all while the configuration may be out of date. */
bool xc_query_unknown_adapter(const xc_exchange *exchange);

/* -- exchange_workspace.c */
/* Finds the workspace of the caller by its key. Returns false, with the
   request answered, if the route needs a key and the caller's is missing or
   unknown.
 */
bool xc_find_workspace(xc_exchange *exchange);
/* Draws on the quota of the workspace. Returns false, with the request
   answered, if that is used up. */
bool xc_take_quota(xc_exchange *exchange);
/* Gives back what a request has drawn that did not run. */
void xc_return_quota(xc_exchange *exchange);
/* Returns whether a header of the caller is kept from the server: its key, and
   the name of its workspace, which only the system may set. */
bool xc_hides_header(const xc_exchange *exchange, const char *name);
/* Returns the rank of the request, 0 is the highest. */
uint32_t xc_query_priority(const xc_exchange *exchange);

/* -- exchange_send.c */
/* Sends the request to the chosen server. Returns false if no connection could
   be had. */
bool xc_send(xc_exchange *exchange, const fl_choice *choice);
/* Goes on reading the server's answer, as the caller has taken all of it so
   far. */
void xc_resume_reading(xc_exchange *exchange);
/* Sets the memory that the exchange takes to that of its plain answers. */
void xc_count_answer_bodies(xc_exchange *exchange);
/* Frees the buffers of plain answers. */
void xc_drop_answer_body(xc_exchange *exchange);
/* Returns whether the stream consists of events. */
bool xc_query_has_events(const xc_exchange *exchange);
/* Reports to the fleet that the server has read the prompt; first_ms: time to
   the first event, 0 if the send ends without one. */
void xc_end_prompt_read(xc_exchange *exchange, double first_ms);
/* Cancels a send whose answer is too long, then sends the request elsewhere or
   fails it. */
void xc_end_long_answer(xc_exchange *exchange);
/* Refuses the request with a time to retry after, or fails it if it may have
   run. */
void xc_refuse_or_fail(xc_exchange *exchange, uint32_t retry_after_ms,
                       ct_unserved_reason why);
/* Cancels the current send; the server stops work on it. */
void xc_cancel_send(xc_exchange *exchange, fl_outcome outcome);
/* Logs the end of a send without a good answer, and has all later lines of the
   request logged. */
void xc_log_send_ended(xc_exchange *exchange, const char *why);

/* -- exchange_origin.c */
/* Finds the software version that began the caller's stream, if it takes one
   up again. Returns false if the request waits for it, or was refused. */
bool xc_find_origin(xc_exchange *exchange);
/* Dispatches a request that waits for it where the store cannot tell, or
   refuses it if its wait has lasted too long. Returns whether it did either.
 */
bool xc_end_origin_wait(xc_exchange *exchange, uint64_t now_us);
/* The stream is to go on at another server. Where only some servers can, it
   waits for a free slot, as a refusal would leave its caller without the rest.
 */
void xc_wait_for_slot(xc_exchange *exchange);
/* The first event of a send is forwarded. */
void xc_note_origin(xc_exchange *exchange);
/* The caller has the whole answer, as far as is known here. */
void xc_note_stream_done(xc_exchange *exchange);

/* -- exchange_second.c */
/* Lets the send under way go on beside the next one. */
void xc_keep_send(xc_exchange *exchange);
/* The send has ended: goes on with the other one. Returns false if there is
   none. */
bool xc_continue_other(xc_exchange *exchange);
/* Makes the send of this connection xc_exchange.send. */
void xc_select_send(xc_exchange *exchange, const us_conn *conn);
/* The same with the send that began last. */
void xc_select_latest_send(xc_exchange *exchange);
/* Cancels the other send, if there is one; why: for the log. */
void xc_cancel_other(xc_exchange *exchange, const char *why);
void xc_cancel_all_sends(xc_exchange *exchange, fl_outcome outcome);
/* A piece of a stream has come. Returns false if it waits for a whole event,
   as another send may bring one before; else cancels that one. *early: all
   bytes to forward in place of the piece, to be freed; NULL: just the piece.
 */
bool xc_take_piece(xc_exchange *exchange, const char *bytes, size_t count,
                   GByteArray **early);
/* Frees the buffers of a send that has ended, and clears it. */
void xc_clear_send(xc_exchange *exchange, xc_send_state *send);
bool xc_query_has_other(const xc_exchange *exchange);

/* -- exchange_answer.c */
/* Answers that the request did not run and never will; with 429 or 503, that
   the caller may retry after retry_after_ms. */
void xc_refuse(xc_exchange *exchange, uint32_t status, uint32_t retry_after_ms,
               ct_unserved_reason why);
/* Answers with an error that says nothing about whether the request ran; cuts
   off an answer that has begun. */
void xc_fail(xc_exchange *exchange, uint32_t status, ct_unserved_reason why);
/* Logs one line with the state of the request. */
void xc_log_outcome(lg_item item, const xc_exchange *exchange,
                    const char *why);
/* Completes the caller's answer with what the server sent. */
void xc_finish_answer(xc_exchange *exchange);
/* Sends the head of a stream to the caller. */
void xc_begin_answer(xc_exchange *exchange);
/* Forwards a piece of a stream; of a resumable one, whole events only. */
void xc_forward_events(xc_exchange *exchange, const char *bytes, size_t count);
/* Creates the position of a resumable stream, after the event that the request
   names as the caller's last one. */
void xc_create_position(xc_exchange *exchange);
/* Returns whether another server can go on after what the caller has. */
bool xc_query_can_resume(const xc_exchange *exchange);
/* Returns whether the body of the current send, as far as it has come, ends
   with a whole event. */
bool xc_query_ends_with_event(const xc_exchange *exchange);

/* -- exchange_content.c */
/* Returns the hash of what the request asks for: it is the same each time the
   request comes, under whatever id and through whatever instance. */
uint64_t xc_get_fingerprint(xc_exchange *exchange);
/* Returns the content with its fingerprint and the parts of its prompt. */
const su_content *xc_get_content(xc_exchange *exchange);
/* Ends the request if its content was blocked, unless it is sent as a probe.
   Returns true if it has ended. */
bool xc_end_if_blocked(xc_exchange *exchange);
/* Notes that the server answers the content and has not crashed. Call it when
   events have come for some time, and at the end of a good answer. */
void xc_note_good(xc_exchange *exchange);
/* Returns whether events of the current send have come for so long that its
   content crashes no server as it begins to answer. */
bool xc_query_under_way(const xc_exchange *exchange);
/* Reports that the server broke off the answer to the current send. */
void xc_report_broken(xc_exchange *exchange);
/* The same for a send that is given up, if it was silent for some time. */
void xc_report_if_silent(xc_exchange *exchange);

#endif
