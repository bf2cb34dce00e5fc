/*
 * histogram.h: latency histograms of the process (prefix hg_).
 *
 * HG_ITEMS lists all histograms. Each is split by the label "kind", whose
 * values are in HG_LABELS. They are exported in the Prometheus text format at
 * /metrics, in seconds.
 *
 *     hg_observe(HG_ANSWER, HG_SAFE, now_us - received_us);
 *     hg_append_text(page);
 *
 * Limits: one set for the process, without locks: all calls come from one
 * thread.
 */
#ifndef LACEWING_HISTOGRAM_H
#define LACEWING_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

/* Code, metric name without the prefix "lacewing_", help text. */
#define HG_ITEMS(X)                                                           \
    X(HG_WAIT, "wait_seconds",                                                \
      "Time from receiving a request to its first send")                      \
    X(HG_FIRST_PIECE, "first_piece_seconds",                                  \
      "Time from receiving a request to the first piece of its stream")       \
    X(HG_ANSWER, "answer_seconds",                                            \
      "Time from receiving a request to the end of its answer")               \
    X(HG_LOAD, "load_seconds", "Time from ordering a load to its end")        \
    X(HG_STORE_CALL, "store_call_seconds",                                    \
      "Duration of calls to the platform's store")

/* Code, value of the label "kind". */
#define HG_LABELS(X)                                                          \
    X(HG_SAFE, "safe")                                                        \
    X(HG_UNSAFE, "unsafe")                                                    \
    X(HG_STREAM, "stream")                                                    \
    X(HG_RESUMABLE, "resumable_stream")                                       \
    X(HG_ADAPTER, "adapter")                                                  \
    X(HG_MODEL, "model")                                                      \
    X(HG_READ, "read")                                                        \
    X(HG_WRITE, "write")

typedef enum hg_item {
#define HG_ENUM(code, name, help) code,
    HG_ITEMS(HG_ENUM)
#undef HG_ENUM
        HG_ITEM_NUM
} hg_item;

typedef enum hg_label {
#define HG_ENUM(code, value) code,
    HG_LABELS(HG_ENUM)
#undef HG_ENUM
        HG_LABEL_NUM
} hg_label;

void hg_observe(hg_item item, hg_label label, uint64_t time_us);

/* Appends all histograms to a metrics page; a kind without observations is
   left out. */
void hg_append_text(GString *page);

/* Queries. */
const char *hg_query_name(hg_item item);
const char *hg_query_help(hg_item item);

#endif
