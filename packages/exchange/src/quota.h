/*
 * quota.h: quotas of workspaces over all instances (prefix qt_).
 *
 * Each instance admits requests by itself. It keeps an estimate of the token
 * bucket that all instances share: filled at the quota's rate, less what is
 * admitted here and what the others say that they admitted. While the bucket
 * has room for all that is asked, everything is admitted; beyond that, each
 * request with the probability that brings the sum over all instances to the
 * rate. Nobody divides the quota, and no instance waits for another one.
 *
 *     qt_quotas *quotas = qt_create();
 *     qt_set_limits(quotas, workspaces, now);
 *     qt_verdict verdict = qt_admit(quotas, "desk", 3, g_rand_double(r), now);
 *     if (!verdict.admitted) { refuse, to return after verdict.retry_ms }
 *     qt_each_unreported(quotas, now, send_use, self);
 *     qt_feed(quotas, "entry-2", incarnation, &use, now);
 *
 * Counts between instances are sums since the start of the sender's process,
 * so a lost message costs only time. An instance that is not heard keeps the
 * part of the quota that it had when it was last heard: what is on the other
 * side of a cut link is neither used here nor refused there.
 *
 * An instance that has just started knows nothing of the others; for 2 s it
 * uses an equal part of the quota by itself.
 *
 * Answers demand above a quota that comes through many instances at once,
 * unevenly and in jumps. No sockets and no clock.
 */
#ifndef LACEWING_QUOTA_H
#define LACEWING_QUOTA_H

#include "lacewing/workspaces.h"
#include <stdbool.h>
#include <stdint.h>

typedef struct qt_quotas qt_quotas;

typedef struct qt_verdict {
    bool admitted;
    uint32_t retry_ms; /* not admitted: time until there is likely room */
} qt_verdict;

/* Sums of one instance for one workspace since its process began. */
typedef struct qt_use {
    uint32_t workspace; /* hash of its name */
    uint64_t admitted;
    uint64_t refused;
} qt_use;

typedef void (*qt_use_callback)(const qt_use *use, void *user_data);

qt_quotas *qt_create(void);
void qt_destroy(qt_quotas *quotas);

/* Sets the quotas of all workspaces of a configuration; NULL: there are none.
   Those of other workspaces are removed. */
void qt_set_limits(qt_quotas *quotas, const wp_table *workspaces,
                   uint64_t now_us);
/* Sets how many instances there are, this one included. */
void qt_set_instance_count(qt_quotas *quotas, uint32_t count);
/* Decides on a request. draw: a random number from 0 to below 1. A workspace
   without a quota is admitted always. */
qt_verdict qt_admit(qt_quotas *quotas, const char *workspace, uint32_t amount,
                    double draw, uint64_t now_us);
/* Gives back what was admitted and has not run. */
void qt_refund(qt_quotas *quotas, const char *workspace, uint32_t amount,
               uint64_t now_us);
/* Another instance was heard, whether or not it told sums. */
void qt_note_heard(qt_quotas *quotas, const char *instance, uint64_t now_us);
/* Takes in sums of another instance, after qt_note_heard(). */
void qt_feed(qt_quotas *quotas, const char *instance, uint64_t incarnation,
             const qt_use *use, uint64_t now_us);
/* Calls back for the own sums that are due to be sent. Call it for each
   message to all instances, several times a second. */
void qt_each_unreported(qt_quotas *quotas, uint64_t now_us,
                        qt_use_callback call, void *user_data);

/* queries */
/* Returns the part of the quotas that instances hold which are heard, this one
   included: 1 unless some were lost. */
double qt_query_heard_part(const qt_quotas *quotas, const char *workspace);

#endif
