/*
 * log.h: structured logs (prefix lg_).
 *
 * Each entry is one line: time, level, part of the program, a fixed text, then
 * key=value fields; or the same as a JSON object. LG_ITEMS lists all entries,
 * so that each has one code, level and text.
 *
 *     lg_setup(&(lg_desc){.level = LG_LEVEL_INFO, .json = true});
 *     lg_write(LG_LINK_LOST, "peer", "2", "why", "timeout", NULL);
 *
 * An instance that takes many requests logs a sample of them: it asks
 * lg_sample() once for each request and writes its entries or leaves them out.
 *
 * Limits: lines go to standard error, which may block, unless lg_desc.bounded
 * is set. Not for use from several threads before lg_setup() has returned.
 */
#ifndef LACEWING_LOG_H
#define LACEWING_LOG_H

#include <stdbool.h>
#include <stdint.h>

typedef enum lg_level {
    LG_LEVEL_DEFAULT = 0, /* info */
    LG_LEVEL_DEBUG,
    LG_LEVEL_INFO,
    LG_LEVEL_WARNING,
    LG_LEVEL_ERROR,
    LG_LEVEL_NUM
} lg_level;

/* Names of the levels, from debug to error, for settings. NULL-terminated. */
extern const char *const lg_level_choices[];

/* Code, level, part of the program, text. */
#define LG_ITEMS(X)                                                           \
    X(LG_STARTED, INFO, "daemon", "started")                                  \
    X(LG_STOPPING, INFO, "daemon", "stopping")                                \
    X(LG_STOP_WAITS, INFO, "daemon", "stop waits for open work")              \
    X(LG_STOPPED, INFO, "daemon", "stopped")                                  \
    X(LG_LONG_TURN, WARNING, "daemon",                                        \
      "iteration of the event loop took long")                                \
    X(LG_SETTINGS_REFUSED, ERROR, "daemon", "settings rejected")              \
    X(LG_SETTINGS_READ, INFO, "daemon", "settings reloaded")                  \
    X(LG_LISTEN_FAILED, ERROR, "daemon", "cannot listen")                     \
    X(LG_TLS_RELOADED, INFO, "daemon", "certificate reloaded")                \
    X(LG_TLS_REFUSED, ERROR, "daemon", "certificate rejected")                \
    X(LG_CALL_REFUSED, INFO, "caller", "request refused")                     \
    X(LG_REFUSAL_NOT_SENT, WARNING, "caller", "refusal could not be sent")    \
    X(LG_CALL_DONE, DEBUG, "caller", "request answered")                      \
    X(LG_CALL_FAILED, WARNING, "caller", "request failed")                    \
    X(LG_LINK_UP, INFO, "link", "connected")                                  \
    X(LG_LINK_LOST, WARNING, "link", "connection lost")                       \
    X(LG_FRAME_REFUSED, WARNING, "link", "frame refused")                     \
    X(LG_PEER_READY, INFO, "peers", "peer ready")                             \
    X(LG_PEER_LEAVING, INFO, "peers", "peer leaving")                         \
    X(LG_PEER_DEAD, WARNING, "peers", "peer dead")                            \
    X(LG_OWNER_TAKEN, INFO, "owner", "backend server taken over")             \
    X(LG_OWNER_LOST, WARNING, "owner", "backend server lost")                 \
    X(LG_OWNER_HANDED, INFO, "owner", "backend server handed over")           \
    X(LG_SERVER_FAILED, WARNING, "owner", "backend server failed")            \
    X(LG_SERVER_RESTARTED, WARNING, "owner", "backend server restarted")      \
    X(LG_SERVER_LEAVING, INFO, "owner", "backend server leaving")             \
    X(LG_LOAD_STARTED, DEBUG, "owner", "adapter load started")                \
    X(LG_LOAD_FAILED, WARNING, "owner", "adapter load failed")                \
    X(LG_CLAIM_FAILED, WARNING, "claims", "claim not written")                \
    X(LG_OUTCOME_WRITTEN, DEBUG, "claims", "outcome of a call written")       \
    X(LG_PLATFORM_DOWN, WARNING, "platform", "table service not reachable")   \
    X(LG_PLATFORM_UP, INFO, "platform", "table service reachable again")      \
    X(LG_CONFIG_IN_FORCE, INFO, "config", "configuration version in force")   \
    X(LG_CONFIG_REFUSED, WARNING, "config", "configuration change refused")   \
    X(LG_CONFIG_ACCEPTED, INFO, "config", "configuration change accepted")    \
    X(LG_POISON, WARNING, "poison", "request known to crash backend servers") \
    X(LG_ADMIN_CALL, INFO, "admin", "call answered")                          \
    X(LG_STORE_LOST, WARNING, "store", "table not reachable")                 \
    X(LG_STORE_REGAINED, INFO, "store", "table reachable again")              \
    X(LG_STORE_REQUEST, DEBUG, "store", "request sent")                       \
    X(LG_STORE_HISTORY_GONE, WARNING, "store",                                \
      "change history of a table no longer available, reading all rows")      \
    X(LG_STORE_RESTORED, WARNING, "store",                                    \
      "store was restored from an older copy, reading all rows")              \
    X(LG_ROW_REFUSED, WARNING, "store", "row could not be read")              \
    X(LG_LEASE_ACQUIRED, INFO, "lease", "acquired")                           \
    X(LG_LEASE_LOST, WARNING, "lease", "no longer held")                      \
    X(LG_HOLDER_WRITE, INFO, "lease", "writing the row of a holder")          \
    X(LG_SERVER_STARTED, INFO, "fleet", "backend server started")             \
    X(LG_SERVER_LEAVES, INFO, "fleet", "backend server is leaving")           \
    X(LG_SERVER_LEAVE_CANCELLED, INFO, "fleet",                               \
      "backend server is no longer leaving")                                  \
    X(LG_SERVER_PAUSES, INFO, "fleet", "backend server asked for a pause")    \
    X(LG_SERVER_RESUMES, INFO, "fleet", "backend server's pause is over")     \
    X(LG_SERVER_LIMITED, INFO, "fleet", "backend server named a rate limit")  \
    X(LG_SERVER_UNLIMITED, INFO, "fleet",                                     \
      "backend server's rate limit is over")                                  \
    X(LG_NOTICE_REFUSED, WARNING, "fleet",                                    \
      "notice of a backend server could not be read")                         \
    X(LG_SOFTWARE_MIXED, INFO, "fleet",                                       \
      "servers of several software versions in one service")                  \
    X(LG_SOFTWARE_UNIFORM, INFO, "fleet",                                     \
      "one software version in each service for long")                        \
    X(LG_SERVER_GONE, INFO, "fleet", "backend server removed")                \
    X(LG_SERVER_CRASHED, WARNING, "fleet", "backend server crashed")          \
    X(LG_CRASH_COUNTED, INFO, "suspects", "crash of a server counted")        \
    X(LG_CONTENT_BLOCKED, WARNING, "suspects",                                \
      "content crashes backend servers, refused from now on")                 \
    X(LG_PART_KNOWN_GOOD, INFO, "suspects",                                   \
      "part was answered well before, others told")                           \
    X(LG_CONTENT_CLEARED, INFO, "suspects", "content no longer suspected")    \
    X(LG_CONTENT_PROBED, INFO, "request", "sent to probe its content")        \
    X(LG_HOLDER_STARTED, INFO, "orders", "became holder of a backend server") \
    X(LG_HOLDER_ENDED, INFO, "orders",                                        \
      "no longer holder of a backend server")                                 \
    X(LG_HOLDER_SILENT, WARNING, "orders",                                    \
      "holder of a backend server does not answer")                           \
    X(LG_LOAD_REQUESTED, INFO, "orders",                                      \
      "load requested by another instance")                                   \
    X(LG_ORDER_SENT, DEBUG, "orders", "order sent")                           \
    X(LG_ORDER_FAILED, WARNING, "orders", "order failed")                     \
    X(LG_REPORT_READ, DEBUG, "orders", "state of a backend server received")  \
    X(LG_VERSION_NEW, INFO, "config", "adapter version declared")             \
    X(LG_REQUEST_LOAD, INFO, "request", "load requested")                     \
    X(LG_REQUEST_SENT, INFO, "request", "sent to a backend server")           \
    X(LG_REQUEST_SEND_ENDED, INFO, "request",                                 \
      "no valid answer from a backend server")                                \
    X(LG_REQUEST_SEND_KEPT, INFO, "request",                                  \
      "backend server is silent, asking another one as well")                 \
    X(LG_REQUEST_RESUMED, INFO, "request", "first event of a resumed stream") \
    X(LG_REQUEST_REFUSED, INFO, "request", "refused, not run")                \
    X(LG_REQUEST_FAILED, WARNING, "request", "failed")                        \
    X(LG_REQUEST_BROKEN, WARNING, "request", "answer broken off")             \
    X(LG_REQUEST_CANCELLED, INFO, "request", "caller disconnected")           \
    X(LG_REQUEST_ANSWERED, INFO, "request", "answered")                       \
    X(LG_STANDIN, INFO, "stand-in", "event")

typedef enum lg_item {
#define LG_ENUM(code, level, part, text) code,
    LG_ITEMS(LG_ENUM)
#undef LG_ENUM
        LG_ITEM_NUM
} lg_item;

typedef struct lg_desc {
    lg_level level;         /* lowest level that is written; default info */
    bool json;              /* JSON lines instead of key=value */
    const char *instance;   /* name added to each line; default none */
    bool bounded;           /* write to standard output without blocking: up to
                               pending_bytes of lines wait for it, further
                               lines are dropped and their number is logged */
    uint32_t pending_bytes; /* default LG_PENDING_BYTES */
    uint32_t requests_per_s; /* requests whose routine lines are written, see
                                lg_sample(); default LG_REQUESTS_PER_S */
} lg_desc;

#define LG_PENDING_BYTES (256 * 1024)
/* About 15 lines per second, which take less than a thousandth of a CPU. */
#define LG_REQUESTS_PER_S 5

void lg_setup(const lg_desc *desc);
void lg_shutdown(void);
bool lg_is_valid(void);

/* Writes one entry. Pairs of key and value follow, terminated by NULL; a NULL
   value ends the list too. */
void lg_write(lg_item item, ...) __attribute__((sentinel));

/* Counts a request and returns whether its routine lines are to be written,
   either all of them or none. The request's id is hashed for this, so that all
   instances choose the same requests if their shares are equal. The share
   follows from the rate of the second before, so that about
   lg_desc.requests_per_s requests are logged. At level debug all are. */
bool lg_sample(const char *request);

/* Number of lines dropped because the output did not accept them in time. */
uint64_t lg_query_dropped(void);

/* Returns the level of a name such as "debug", or LG_LEVEL_NUM if there is
   none. */
lg_level lg_query_level(const char *name);

#endif
