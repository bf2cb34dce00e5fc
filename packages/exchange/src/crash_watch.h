/*
 * crash_watch.h: tells a server that has crashed from one that broke off an
 * answer (prefix cw_).
 *
 * A faulty server breaks off single answers and goes on. A server whose
 * process has ended breaks off all of them, and accepts no connection until it
 * is started again. So the first answer that breaks off starts an observation
 * of that server process: if one of its connections outlives it, or a new one
 * can be opened, it runs; if a new one is refused, it has crashed. Then the
 * requests whose answers broke off in the meantime are reported together.
 *
 * A server whose machine falls silent breaks off nothing and refuses nothing:
 * its answers end as it is back with another process, as the connection times
 * out or as their callers leave. Such requests are kept for a while. If the
 * server list names a later process in place of theirs by then, and theirs has
 * given no good answer since, it has crashed with them.
 *
 *     cw_note_broken(watch, &(cw_broken){.server = server, ...}, now_us);
 *     ...
 *     cw_tick(watch, now_us);  - calls back for each server that has crashed
 *
 * No sockets and no clock: the caller answers whether the server listens and
 * what the server list says. Limits: CW_MAX_REQUESTS requests of a crash; the
 * least likely ones give way. A server that is silent and does not come back
 * at its address or with its id is not reported, as the path to it may be
 * lost.
 */
#ifndef LACEWING_CRASH_WATCH_H
#define LACEWING_CRASH_WATCH_H

#include "fleet.h"
#include "suspects.h"

#define CW_MAX_REQUESTS SU_MAX_CANDIDATES

typedef struct cw_watch cw_watch;

typedef enum cw_listens {
    CW_LISTENS_DEFAULT = 0, /* not known yet */
    CW_LISTENS_YES,
    CW_LISTENS_NO
} cw_listens;

/* What a server had sent of an answer that broke off, by how likely it is that
   this request crashed the server as it began to answer. */
typedef enum cw_progress {
    CW_PROGRESS_DEFAULT = 0, /* it had been answering for some time */
    CW_NO_HEAD,              /* nothing: the request may have been queued */
    CW_JUST_BEGUN,           /* its first events */
    CW_HEAD_ONLY             /* a head without an event */
} cw_progress;

/* A request whose answer broke off. */
typedef struct cw_request {
    su_content content;
    cw_progress progress;
} cw_request;

typedef struct cw_broken {
    fl_server *server;
    uint64_t born_ms; /* start of the process that had the request */
    bool gave_up; /* the answer did not break off: it was waited for in vain
                     and given up */
    cw_request request;
} cw_broken;

typedef struct cw_crash {
    fl_server *server;
    uint64_t born_ms;
    uint64_t at_us; /* when the first answer broke off */
    const cw_request *requests;
    uint32_t request_count;
} cw_crash;

typedef struct cw_callbacks {
    /* Returns whether the server accepts connections, by what was learned
       since since_us; finds it out if it is not known. */
    cw_listens (*listens)(fl_server *server, uint64_t since_us,
                          void *user_data);
    /* Returns whether a later process has taken the place of the one that
       started at born_ms. */
    bool (*replaced)(const fl_server *server, uint64_t born_ms,
                     void *user_data);
    void (*crashed)(const cw_crash *crash, void *user_data);
} cw_callbacks;

typedef struct cw_desc {
    const cw_callbacks *callbacks; /* required */
    void *user_data;
} cw_desc;

cw_watch *cw_create(const cw_desc *desc);
void cw_destroy(cw_watch *watch);
/* Adds a request whose answer broke off, or was given up after silence. */
void cw_note_broken(cw_watch *watch, const cw_broken *broken, uint64_t now_us);
/* The process gave a good answer: it has not fallen silent. */
void cw_note_answered(cw_watch *watch, const fl_server *server,
                      uint64_t born_ms);
/* Decides on the servers under observation; call it every 20 ms or so. */
void cw_tick(cw_watch *watch, uint64_t now_us);

/* queries */
/* Returns whether a server is under observation. */
bool cw_query_pending(const cw_watch *watch);

#endif
