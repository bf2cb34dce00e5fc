/*
 * log.h: structured logs (prefix lg_).
 *
 * One line an entry: time, level, the part's prefix, a short sentence from
 * the item list, then key=value fields; JSON lines by choice. Items live in
 * LG_ITEMS so that each line has one code and one text.
 *
 *     lg_setup(&(lg_desc){.level = LG_LEVEL_INFO, .json = true});
 *     lg_write(LG_LINK_LOST, "peer", "2", "why", "timeout", NULL);
 *
 * Limits: lines go to standard error, which may block, unless lg_desc.bounded
 * is set; not for use from several threads
 * before lg_setup() has returned.
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

/* Names of the levels from debug on, for settings; NULL-terminated. */
extern const char *const lg_level_choices[];

/* code, level, part, text */
#define LG_ITEMS(X)                                                           \
    X(LG_STARTED, INFO, "daemon", "started")                                  \
    X(LG_STOPPING, INFO, "daemon", "stopping")                                \
    X(LG_STOP_WAITS, INFO, "daemon", "stop waits")                            \
    X(LG_STOPPED, INFO, "daemon", "stopped")                                  \
    X(LG_LONG_TURN, WARNING, "daemon", "turn of the loop took long")          \
    X(LG_SETTINGS_REFUSED, ERROR, "daemon", "settings refused")               \
    X(LG_SETTINGS_READ, INFO, "daemon", "settings read again")                \
    X(LG_LISTEN_FAILED, ERROR, "daemon", "cannot listen")                     \
    X(LG_TLS_RELOADED, INFO, "daemon", "certificate reloaded")                \
    X(LG_TLS_REFUSED, ERROR, "daemon", "certificate refused")                 \
    X(LG_CALL_REFUSED, INFO, "caller", "request refused")                     \
    X(LG_REFUSAL_NOT_SENT, WARNING, "caller", "refusal could not be written") \
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
    X(LG_OUTCOME_WRITTEN, DEBUG, "claims", "outcome written")                 \
    X(LG_PLATFORM_DOWN, WARNING, "platform", "table not reachable")           \
    X(LG_PLATFORM_UP, INFO, "platform", "table reachable again")              \
    X(LG_CONFIG_IN_FORCE, INFO, "config", "version in force")                 \
    X(LG_CONFIG_REFUSED, WARNING, "config", "change refused")                 \
    X(LG_CONFIG_ACCEPTED, INFO, "config", "change accepted")                  \
    X(LG_POISON, WARNING, "poison", "request convicted")                      \
    X(LG_ADMIN_CALL, INFO, "admin", "call")                                   \
    X(LG_STORE_LOST, WARNING, "store", "not reachable")                       \
    X(LG_STORE_REGAINED, INFO, "store", "reachable again")                    \
    X(LG_STORE_REQUEST, DEBUG, "store", "asked")                              \
    X(LG_STORE_HISTORY_GONE, WARNING, "store", "history gone, reads all")     \
    X(LG_ROW_REFUSED, WARNING, "store", "row not understood")                 \
    X(LG_LEASE_ACQUIRED, INFO, "lease", "held")                               \
    X(LG_LEASE_LOST, WARNING, "lease", "lapsed")                              \
    X(LG_HOLDER_WRITE, INFO, "lease", "row of a holder is written")           \
    X(LG_SERVER_STARTED, INFO, "fleet", "backend server began")               \
    X(LG_SERVER_LEAVES, INFO, "fleet", "backend server leaves")               \
    X(LG_SERVER_LEAVE_CANCELLED, INFO, "fleet",                               \
      "backend server leaves no more")                                        \
    X(LG_SERVER_PAUSES, INFO, "fleet", "backend server asked for a pause")    \
    X(LG_SERVER_RESUMES, INFO, "fleet", "backend server's pause is over")     \
    X(LG_NOTICE_REFUSED, WARNING, "fleet",                                    \
      "backend server's notice not understood")                               \
    X(LG_SERVER_GONE, INFO, "fleet", "backend server gone")                   \
    X(LG_HOLDER_STARTED, INFO, "orders", "orders a backend server")           \
    X(LG_HOLDER_ENDED, INFO, "orders", "orders a backend server no more")     \
    X(LG_HOLDER_SILENT, WARNING, "orders",                                    \
      "holder of a backend server does not answer")                           \
    X(LG_LOAD_REQUESTED, INFO, "orders", "load asked for")                    \
    X(LG_ORDER_SENT, DEBUG, "orders", "order")                                \
    X(LG_ORDER_FAILED, WARNING, "orders", "order without effect")             \
    X(LG_REPORT_READ, DEBUG, "orders", "state of a backend server")           \
    X(LG_VERSION_NEW, INFO, "config", "adapter version declared")             \
    X(LG_REQUEST_LOAD, INFO, "request", "load asked for")                     \
    X(LG_REQUEST_SENT, INFO, "request", "sent")                               \
    X(LG_REQUEST_SEND_ENDED, INFO, "request", "send without a good answer")   \
    X(LG_REQUEST_REFUSED, INFO, "request", "refused, not run")                \
    X(LG_REQUEST_FAILED, WARNING, "request", "failed")                        \
    X(LG_REQUEST_BROKEN, WARNING, "request", "answer broken off")             \
    X(LG_REQUEST_CANCELLED, INFO, "request", "caller left")                   \
    X(LG_REQUEST_ANSWERED, INFO, "request", "answered")                       \
    X(LG_STANDIN, INFO, "stand-in", "event")

typedef enum lg_item {
#define LG_ENUM(code, level, part, text) code,
    LG_ITEMS(LG_ENUM)
#undef LG_ENUM
        LG_ITEM_NUM
} lg_item;

typedef struct lg_desc {
    lg_level level;         /* least level written; default info */
    bool json;              /* JSON lines in place of key=value */
    const char *instance;   /* name added to each line; default none */
    bool bounded;           /* to standard output, never blocking: what it does
                               not take is kept up to pending_bytes, then
                               dropped, counted and told */
    uint32_t pending_bytes; /* default LG_PENDING_BYTES */
    uint32_t requests_per_s; /* healthy requests told whole; default
                                LG_REQUESTS_PER_S */
} lg_desc;

#define LG_PENDING_BYTES (256 * 1024)
/* Some 15 lines a second: less than a thousandth of a processor. */
#define LG_REQUESTS_PER_S 5

void lg_setup(const lg_desc *desc);
void lg_shutdown(void);
bool lg_is_valid(void);

/* Writes one entry; pairs of key and value follow, closed with NULL. */
void lg_write(lg_item item, ...) __attribute__((sentinel));

/* Counts a request, and says whether its routine lines are to be written: all
   of them on every instance, or none. By a hash of the id, so that as many as
   lg_desc.requests_per_s are told, from the rate of the second before. */
bool lg_sample(const char *request);

/* Lines that were dropped because the output took none. */
uint64_t lg_query_dropped(void);

/* Level of a name ("debug"...); LG_LEVEL_NUM when it is not one. */
lg_level lg_query_level(const char *name);

#endif
