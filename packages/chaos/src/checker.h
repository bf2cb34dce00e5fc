/*
 * checker.h: checks the history of a run for violations of what callers and
 * operators are promised (prefix hk_).
 *
 * A history holds the answers that callers got, the work that the stand-ins
 * did, the configuration versions that the daemons reported as in force, and
 * the faults that were injected. Events may be added in any order.
 *
 *     hk_history *history = hk_create();
 *     hk_add(history, &(hk_event){.type = HK_RUN, .at_us = 5,
 *                                 .subject = "s1", .key = "booking-1"});
 *     hk_report report;
 *     hk_check(history, &report);
 *     hk_clear_report(&report);
 *     hk_destroy(history);
 *
 * Violations:
 *     doubled         the same booking key ran more than once
 *     wrong_adapter   a draft's text is not the one that its model gives
 *     evicted_in_use  an adapter was evicted during a run that used it
 *     false_not_run   a request was refused as not run, but it ran
 *     cut_off         an answer ended early or went silent, or a planned stop
 *                     ended a stream, with no fault at its daemon
 *     reverted        a daemon went back to an older configuration version or
 *                     ended with one older than an accepted change, or two
 *                     changes were accepted as the same version
 *     lost            a booking was answered as done but never ran
 *     differing       a booking was answered as done with two different texts
 *     leaving_served  a server started work more than HK_LEAVING_GRACE_US
 *                     after it began to leave
 *
 * Not checked: whether a refusal as run or unknown is true; the runs of a
 * service that crashed before it wrote its history entry.
 *
 * Limits: times are CLOCK_REALTIME microseconds of one machine.
 */
#ifndef LACEWING_CHAOS_CHECKER_H
#define LACEWING_CHAOS_CHECKER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Work that a server starts within this time after it began to leave is no
   violation. */
#define HK_LEAVING_GRACE_US (3 * INT64_C(1000000))

typedef enum hk_type {
    HK_TYPE_DEFAULT = 0, /* invalid */
    /* A caller's request, from sending to its end. Subject: the daemon.
       Uses at_us, end_us, outcome, text, not_run, pieces, deadline_ms, and
       key (booking) or model and prompt (draft); a look-up has neither. */
    HK_CALL,
    /* A plain service ran a booking. Subject: the service. Uses key. */
    HK_RUN,
    /* An engine started a draft. Subject: the engine. Uses incarnation,
       attempt, model, prompt. */
    HK_START,
    /* The run of an attempt ended. Subject: the engine. Uses incarnation,
       attempt. */
    HK_END,
    /* An engine evicted an adapter. Subject: the engine. Uses incarnation,
       model. */
    HK_EVICT,
    /* A daemon reported the version in force. Subject: the daemon. */
    HK_CONFIG,
    /* A change was accepted as this version. Subject: the operator. */
    HK_ACCEPTED,
    /* An injected fault from at_us to end_us. Where the subject is the name
       of a daemon, the fault excuses answers that were cut off there. */
    HK_FAULT,
    /* A server began to leave. Subject: the server. */
    HK_LEAVING,
    /* Version in force at the end of the run; 0: unknown. Subject: the
       daemon. */
    HK_FINAL,
    HK_TYPE_NUM
} hk_type;

typedef enum hk_outcome {
    HK_OUTCOME_DEFAULT = 0, /* answered in full */
    HK_WRONG,               /* a full answer with the wrong text */
    HK_REFUSED,             /* an error with a type, also within a stream */
    HK_BROKEN,              /* ended early or malformed */
    HK_SILENT,              /* no further data before the timeout */
    HK_OUTCOME_NUM
} hk_outcome;

typedef struct hk_event {
    hk_type type;
    int64_t at_us;
    int64_t end_us;
    const char *subject; /* see hk_type */
    const char *incarnation;
    const char *attempt;
    const char *model;
    const char *key;    /* of a booking */
    const char *prompt; /* of a draft; unique among calls */
    const char *text;   /* the answer, or the error type of a refusal */
    hk_outcome outcome;
    bool not_run;         /* the refusal says that the request did not run */
    uint32_t pieces;      /* of the stream that were received */
    uint32_t deadline_ms; /* 0: none */
    uint64_t version;     /* of the configuration; 0: unknown */
} hk_event;

/* code, name in the report and in its last line */
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
    uint64_t calls; /* drafts, look-ups and bookings */
    uint64_t faults;
    uint64_t in_time;    /* calls answered in full within their deadline */
    GPtrArray *findings; /* char *, one line per violation */
} hk_report;

typedef struct hk_history hk_history;

hk_history *hk_create(void);
void hk_destroy(hk_history *history);
/* Copies the event and its strings. */
void hk_add(hk_history *history, const hk_event *event);
/* Sorts the events by time and fills report; free it with
   hk_clear_report(). */
void hk_check(hk_history *history, hk_report *report);
void hk_clear_report(hk_report *report);

/* queries */
const char *hk_query_violation_name(hk_violation violation);
/* Sum of the counts of all violations. */
uint64_t hk_query_violation_total(const hk_report *report);

#endif
