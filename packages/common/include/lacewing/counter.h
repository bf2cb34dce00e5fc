/*
 * counter.h: counters and gauges of the process (prefix ct_).
 *
 * CT_ITEMS lists all counters and gauges. Refusals are also counted by error
 * code, and unserved requests by outcome and reason. All are exported in the
 * Prometheus text format at /metrics, together with the histograms of
 * histogram.h.
 *
 *     ct_add(CT_REQUESTS, 1);
 *     g_autofree char *page = ct_query_text();
 *
 * Limits: one set for the process, updated with relaxed atomics: values read
 * at one time need not be consistent with each other.
 */
#ifndef LACEWING_COUNTER_H
#define LACEWING_COUNTER_H

#include "lacewing/error.h"
#include <stdint.h>

/* Code, metric name without the prefix "lacewing_", type, help text. */
#define CT_ITEMS(X)                                                           \
    X(CT_REQUESTS, "requests_total", "counter", "Requests accepted")          \
    X(CT_ANSWERED, "answered_total", "counter",                               \
      "Requests answered completely")                                         \
    X(CT_IN_TIME, "answered_in_time_total", "counter",                        \
      "Requests answered before their deadline")                              \
    X(CT_FORWARDED, "forwarded_total", "counter",                             \
      "Requests forwarded to the owner of a backend server")                  \
    X(CT_RESUMED, "resumed_total", "counter",                                 \
      "Streams resumed by another attempt")                                   \
    X(CT_HEDGED, "hedged_total", "counter",                                   \
      "Hedged attempts, started in parallel with another one")                \
    X(CT_CANCELLED, "cancelled_total", "counter",                             \
      "Requests cancelled because the caller disconnected")                   \
    X(CT_TOKENS, "tokens_total", "counter", "Tokens passed to callers")       \
    X(CT_STREAMS_SLOWED, "streams_slowed_total", "counter",                   \
      "Streams whose server was read slower for want of memory")              \
    X(CT_ANSWERS_TOO_LONG, "answers_too_long_total", "counter",               \
      "Servers' answers given up as too long, or for want of memory")         \
    X(CT_PIECES_DROPPED, "pieces_dropped_total", "counter",                   \
      "Late or duplicate pieces of streams dropped")                          \
    X(CT_FIRST_TOKEN_MS, "first_token_ms_total", "counter",                   \
      "Sum of the times to the first token")                                  \
    X(CT_LOAD_WAIT_MS, "load_wait_ms_total", "counter",                       \
      "Sum of the times that requests waited for an adapter load")            \
    X(CT_LOADS, "adapter_loads_total", "counter", "Adapter loads ordered")    \
    X(CT_LOAD_FAILURES, "adapter_load_failures_total", "counter",             \
      "Adapter loads that failed")                                            \
    X(CT_EVICTIONS, "adapter_evictions_total", "counter",                     \
      "Adapter evictions ordered")                                            \
    X(CT_CLAIMS, "claims_total", "counter", "Claims written")                 \
    X(CT_CLAIM_WRITES, "claim_writes_total", "counter",                       \
      "Table transactions with claims or outcomes")                           \
    X(CT_TABLE_READS, "table_reads_total", "counter", "Table reads")          \
    X(CT_TABLE_WRITES, "table_writes_total", "counter", "Table writes")       \
    X(CT_TABLE_FAILURES, "table_failures_total", "counter",                   \
      "Table calls without a usable answer")                                  \
    X(CT_LINK_BYTES_IN, "link_bytes_in_total", "counter",                     \
      "Bytes received on links between daemons")                              \
    X(CT_LINK_BYTES_OUT, "link_bytes_out_total", "counter",                   \
      "Bytes sent on links between daemons")                                  \
    X(CT_CONTROL_BYTES_OUT, "control_bytes_out_total", "counter",             \
      "Control bytes sent on links between daemons")                          \
    X(CT_FRAMES_REFUSED, "frames_refused_total", "counter",                   \
      "Frames refused on links between daemons")                              \
    X(CT_STORE_CALLS, "store_calls_total", "counter",                         \
      "Calls to the platform's store")                                        \
    X(CT_STORE_RESTORED, "store_restored_total", "counter",                   \
      "Tables read again as the store was restored from an older copy")       \
    X(CT_ORDERS, "orders_total", "counter", "Orders sent to servers")         \
    X(CT_REPORTS, "reports_total", "counter",                                 \
      "Calls to servers that read their state")                               \
    X(CT_SENT, "sent_total", "counter", "Requests sent to servers")           \
    X(CT_SENT_AGAIN, "sent_again_total", "counter",                           \
      "Requests sent again, to another server")                               \
    X(CT_HELD_LEAVING, "held_back_leaving_total", "counter",                  \
      "Requests not sent to a server because it announced that it leaves")    \
    X(CT_HELD_PAUSED, "held_back_paused_total", "counter",                    \
      "Requests not sent to a server because it asked for a pause")           \
    X(CT_HELD_LIMITED, "held_back_limited_total", "counter",                  \
      "Requests not sent to a server for want of a permit")                   \
    X(CT_PERMITS, "permits_total", "counter",                                 \
      "Permits received to send to servers with a rate limit")                \
    X(CT_SAID_LEAVING, "servers_said_leaving_total", "counter",               \
      "Servers that announced in an answer that they leave")                  \
    X(CT_SAID_PAUSE, "servers_said_pause_total", "counter",                   \
      "Answers of servers that asked for a pause")                            \
    X(CT_PAUSES_CAPPED, "pauses_capped_total", "counter",                     \
      "Pauses shortened to the longest that is allowed")                      \
    X(CT_LIMITS_STARTED, "server_limits_total", "counter",                    \
      "Rate limits that servers began to name")                               \
    X(CT_SENT_TO_LIMITED, "sent_to_limited_total", "counter",                 \
      "Requests sent to servers with a rate limit")                           \
    X(CT_ORDERS_TO_LIMITED, "orders_to_limited_total", "counter",             \
      "Orders sent to servers with a rate limit")                             \
    X(CT_REPORTS_TO_LIMITED, "reports_to_limited_total", "counter",           \
      "Calls that read the state of servers with a rate limit")               \
    X(CT_NOTICES_REFUSED, "notices_refused_total", "counter",                 \
      "Notices of servers that could not be read")                            \
    X(CT_SERVER_CRASHES, "server_crashes_total", "counter",                   \
      "Servers that crashed while they answered requests of this instance")   \
    X(CT_FAILED, "failed_total", "counter",                                   \
      "Requests that failed with an unknown outcome")                         \
    X(CT_BROKEN, "broken_total", "counter", "Answers broken off")             \
    X(CT_LONG_TURNS, "long_turns_total", "counter",                           \
      "Iterations of the event loop that kept callers and servers waiting "   \
      "long")                                                                 \
    X(CT_CONFIG_VERSION, "config_version", "gauge",                           \
      "Configuration version in force")                                       \
    X(CT_ANSWER_BYTES, "answer_bytes", "gauge",                               \
      "Memory for answers of servers that callers have not got")              \
    X(CT_OPEN_REQUESTS, "open_requests", "gauge", "Requests in flight")       \
    X(CT_CONTENTS_BLOCKED, "contents_blocked", "gauge",                       \
      "Contents of requests that are refused as they crash servers")          \
    X(CT_SERVERS_LEAVING, "servers_leaving", "gauge",                         \
      "Servers that are leaving, by their own notice or by the server list")  \
    X(CT_SERVERS_PAUSED, "servers_paused", "gauge",                           \
      "Servers that get no requests because they asked for a pause")          \
    X(CT_SERVERS_LIMITED, "servers_limited", "gauge",                         \
      "Servers that named a rate limit")                                      \
    X(CT_OWNED_SERVERS, "owned_servers", "gauge",                             \
      "Backend servers owned by this instance")                               \
    X(CT_PEERS_READY, "peers_ready", "gauge", "Peers known to be ready")

/* Why a request was not served: code, value of the label "why", text in logs.
 */
#define CT_UNSERVED_REASONS(X)                                                \
    X(CT_UNSERVED_NO_COPY, "no_copy", "no copy of the adapter")               \
    X(CT_UNSERVED_SERVERS_FULL, "servers_full", "all servers full")           \
    X(CT_UNSERVED_NO_SERVER, "no_server", "no server")                        \
    X(CT_UNSERVED_SOFTWARE, "software",                                       \
      "no server of the software version that began the stream")              \
    X(CT_UNSERVED_ORIGIN, "origin",                                           \
      "software version that began the stream not known")                     \
    X(CT_UNSERVED_SERVERS_LEAVE, "servers_leave",                             \
      "all servers announced that they leave")                                \
    X(CT_UNSERVED_SERVERS_PAUSED, "servers_paused",                           \
      "all servers asked for a pause")                                        \
    X(CT_UNSERVED_SERVERS_LIMITED, "servers_limited",                         \
      "rate limits of all servers reached")                                   \
    X(CT_UNSERVED_INSTANCE_LEAVES, "instance_leaves", "instance is leaving")  \
    X(CT_UNSERVED_NO_SERVICE, "no_service", "no such service")                \
    X(CT_UNSERVED_NO_REQUEST_ID, "no_request_id", "no request id")            \
    X(CT_UNSERVED_UNKNOWN_ADAPTER, "unknown_adapter",                         \
      "no such model or adapter in the configuration")                        \
    X(CT_UNSERVED_AMBIGUOUS_KEY, "ambiguous_key", "more than one key")        \
    X(CT_UNSERVED_NO_KEY, "no_key", "no key of a workspace")                  \
    X(CT_UNSERVED_UNKNOWN_KEY, "unknown_key",                                 \
      "the key belongs to no workspace")                                      \
    X(CT_UNSERVED_QUOTA, "quota", "quota of the workspace used up")           \
    X(CT_UNSERVED_PROMPT_TOO_LARGE, "prompt_too_large",                       \
      "prompt larger than the memory of any server")                          \
    X(CT_UNSERVED_CRASHES_SERVERS, "crashes_servers",                         \
      "its content crashes servers")                                          \
    X(CT_UNSERVED_NOT_RUN, "not_run", "not run by any server")                \
    X(CT_UNSERVED_VERSION, "version",                                         \
      "a new adapter version was due before the answer")                      \
    X(CT_UNSERVED_SERVER_FAILED, "server_failed", "server failed")            \
    X(CT_UNSERVED_TIME_OVER, "time_over", "timed out")

typedef enum ct_unserved_reason {
#define CT_ENUM(code, label, text) code,
    CT_UNSERVED_REASONS(CT_ENUM)
#undef CT_ENUM
        CT_UNSERVED_NUM
} ct_unserved_reason;

/* What the caller of an unserved request got. */
typedef enum ct_outcome {
    CT_OUTCOME_REFUSED = 0, /* an answer that says that it did not run */
    CT_OUTCOME_FAILED,      /* an error that leaves open whether it ran */
    CT_OUTCOME_BROKEN,      /* an answer that visibly broke off */
    CT_OUTCOME_NUM
} ct_outcome;

typedef enum ct_item {
#define CT_ENUM(code, name, kind, help) code,
    CT_ITEMS(CT_ENUM)
#undef CT_ENUM
        CT_ITEM_NUM
} ct_item;

void ct_add(ct_item item, int64_t amount);
void ct_set(ct_item item, int64_t value);
/* Counts one refusal by its reason. */
void ct_count_refused(er_code reason);
/* Counts one request that was not served, by outcome and reason. */
void ct_count_unserved(ct_outcome outcome, ct_unserved_reason reason);

/* Queries. */
int64_t ct_query(ct_item item);
int64_t ct_query_refused(er_code reason);
int64_t ct_query_unserved(ct_outcome outcome, ct_unserved_reason reason);
const char *ct_query_unserved_text(ct_unserved_reason reason);
/* Returns the reference of all metrics in Markdown. Free it with g_free(). */
char *ct_query_reference(void);
/* Returns the metrics page, histograms included. Free it with g_free(). */
char *ct_query_text(void);

#endif
