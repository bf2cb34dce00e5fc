/*
 * histogram.h: the process's own latency histograms (prefix hg_).
 *
 * A fixed list of histograms from HG_ITEMS, each split by a label from
 * HG_LABELS, written as text for /metrics. Parts observe; only the metrics
 * page reads.
 *
 *     hg_observe(HG_ANSWER, HG_SAFE, now_us - begun_us);
 *     hg_append_text(page);
 *
 * Limits: one process-wide set; one thread observes and reads.
 */
#ifndef LACEWING_HISTOGRAM_H
#define LACEWING_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

/* code, name, help */
#define HG_ITEMS(X)                                                           \
    X(HG_WAIT, "wait_seconds", "From a request to its first send")            \
    X(HG_FIRST_PIECE, "first_piece_seconds",                                  \
      "From a request to the first piece of its stream")                      \
    X(HG_ANSWER, "answer_seconds", "From a request to its whole answer")      \
    X(HG_LOAD, "load_seconds", "From an order of a load to its end")          \
    X(HG_STORE_CALL, "store_call_seconds", "Calls of the platform's store")

/* code, value of the label kind */
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

/* queries */
/* Adds all that were observed to a metrics page. */
void hg_append_text(GString *page);
const char *hg_query_name(hg_item item);
const char *hg_query_help(hg_item item);

#endif
