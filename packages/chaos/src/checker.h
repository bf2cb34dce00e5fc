/*
 * checker.h: holds a history of a run against what must always hold
 * (prefix hk_).
 *
 * A history is what callers were told, what the stand-ins truly did, which
 * configuration versions the daemons said were in force, and which faults
 * were made. The checker takes it as it is; order does not matter.
 *
 *     hk_history *history = hk_create();
 *     hk_add(history, &(hk_event){.type = HK_RUN, .at_us = 5,
 *                                 .who = "s1", .key = "booking-1"});
 *     hk_report report;
 *     hk_check(history, &report);
 *     hk_clear_report(&report);
 *
 * What it finds:
 *     doubled         a booking's key that ran more than once
 *     wrong_adapter   a draft with another text than its model gives
 *     evicted_in_use  an eviction while a run of that adapter was open
 *     false_not_run   refused as not run, but it ran
 *     cut_off         an answer that ended early or went silent, or a stream
 *                     ended by a planned stop, with no fault at its daemon
 *     reverted        a daemon that went back in its configuration, one that
 *                     ended behind an accepted change, two changes accepted
 *                     as the same version
 *     lost            a booking answered as done that never ran
 *     differing       a booking answered as done with two different texts
 *     leaving_served  work started on a server HK_LEAVING_US after it began
 *                     to leave
 *
 * What it cannot tell: whether a refusal as run or unknown is true; what a
 * service did that crashed before its entry was written.
 *
 * Limits: times are CLOCK_REALTIME microseconds of one machine.
 */
#ifndef LACEWING_CHAOS_CHECKER_H
#define LACEWING_CHAOS_CHECKER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define HK_LEAVING_US (3 * INT64_C(1000000))

typedef enum hk_type {
    HK_TYPE_DEFAULT = 0, /* none */
    HK_CALL,     /* who: daemon; key or prompt; at_us to end_us; outcome */
    HK_RUN,      /* who: service; key */
    HK_START,    /* who: engine; incarnation, attempt, model, prompt */
    HK_END,      /* who: engine; incarnation, attempt */
    HK_EVICT,    /* who: engine; incarnation, model */
    HK_CONFIG,   /* who: daemon; version in force */
    HK_ACCEPTED, /* who: operator; version that a change was accepted as */
    HK_FAULT,    /* who: daemon or server; at_us to end_us */
    HK_LEAVING,  /* who: server */
    HK_FINAL,    /* who: daemon; version in force at the end */
    HK_TYPE_NUM
} hk_type;

typedef enum hk_outcome {
    HK_OUTCOME_DEFAULT = 0, /* whole */
    HK_WRONG,
    HK_REFUSED,
    HK_BROKEN,
    HK_SILENT,
    HK_OUTCOME_NUM
} hk_outcome;

typedef struct hk_event {
    hk_type type;
    int64_t at_us;
    int64_t end_us;
    const char *who;
    const char *incarnation;
    const char *attempt;
    const char *model;
    const char *key;    /* of a booking */
    const char *prompt; /* of a draft; unique among calls */
    const char *text;   /* of a call: the answer or the error's type */
    hk_outcome outcome;
    bool not_run; /* the refusal said so */
    uint32_t pieces;
    uint32_t deadline_ms;
    uint64_t version;
} hk_event;

/* code, name in the report */
#define HK_VIOLATIONS(X)                                                      \
    X(HK_DOUBLED, "doubled")                                                  \
    X(HK_WRONG_ADAPTER, "wrong_adapter")                                      \
    X(HK_EVICTED_IN_USE, "evicted_in_use")                                    \
    X(HK_FALSE_NOT_RUN, "false_not_run")                                      \
    X(HK_CUT_OFF, "cut_off")                                                  \
    X(HK_REVERTED, "reverted")                                                \
    X(HK_LOST, "lost")                                                        \
    X(HK_DIFFERING, "differing")                                              \
    X(HK_LEAVING_SERVED, "leaving_served")

typedef enum hk_violation {
#define HK_ENUM(code, name) code,
    HK_VIOLATIONS(HK_ENUM)
#undef HK_ENUM
        HK_VIOLATION_NUM
} hk_violation;

typedef struct hk_report {
    uint64_t counts[HK_VIOLATION_NUM];
    uint64_t calls;
    uint64_t faults;
    uint64_t in_time;    /* calls answered whole before their deadline */
    GPtrArray *evidence; /* one line for each violation */
} hk_report;

typedef struct hk_history hk_history;

hk_history *hk_create(void);
void hk_destroy(hk_history *history);
/* Copies the event and its strings. */
void hk_add(hk_history *history, const hk_event *event);
/* Fills report; free with hk_clear_report(). */
void hk_check(hk_history *history, hk_report *report);
void hk_clear_report(hk_report *report);

/* queries */
const char *hk_query_name(hk_violation violation);
uint64_t hk_query_violations(const hk_report *report);

#endif
