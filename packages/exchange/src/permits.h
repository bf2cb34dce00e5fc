/*
 * permits.h: permits to send to a rate-limited server (prefix pm_).
 *
 * While a server is limited, each request, order or report that this instance
 * sends to it takes a permit. Permits come from the instance that divides the
 * server's limit (limit_share.h): this one asks for as many as its requests
 * would use soon, and again while they are wanted. A permit lasts for
 * PM_LIFETIME_US; those that were not used are reported with the next ask, so
 * that they can be granted again.
 *
 *     if (pm_query_any(permits, now_us)) { pm_take(permits, now_us); send }
 *     else { pm_note_wanted(permits, 0, now_us); }
 *     if (pm_take_ask(permits, now_us, &ask)) { send the ask }
 *     pm_add(permits, count, now_us);
 *
 * Made for demand that is spread unevenly over the instances.
 *
 * No sockets and no clock.
 */
#ifndef LACEWING_PERMITS_H
#define LACEWING_PERMITS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A permit is used within this time. */
#define PM_LIFETIME_US 1500000
/* Most grants held at a time; beyond it, the newest two are merged. */
#define PM_MAX_GRANTS 16

/* What wants a permit; bits that may be combined. */
typedef enum pm_want {
    PM_COUNTED = 1, /* it was noted before, or is an order or a report */
    PM_URGENT = 2   /* a request that no other server can serve now */
} pm_want;

typedef struct pm_grant {
    uint32_t count;
    uint64_t until_us;
} pm_grant;

typedef struct pm_permits {
    pm_grant grants[PM_MAX_GRANTS]; /* oldest first */
    uint32_t grant_count;
    uint32_t expired;        /* unused, since the last ask */
    uint64_t expired_us;     /* when the last of these expired */
    double wanted;           /* decaying count of requests */
    uint64_t wanted_us;      /* when it was computed */
    uint64_t last_wanted_us; /* last call of pm_note_wanted(); 0: none */
    uint64_t urgent_us;      /* the last one with PM_URGENT; 0: none */
    uint64_t asked_us;       /* last ask; 0: none */
    double granted;          /* decaying count of permits */
    uint64_t granted_us;     /* when it was computed */
} pm_permits;

typedef struct pm_ask {
    uint32_t wanted;  /* permits, besides those that are held */
    uint32_t weight;  /* permits that would be used soon, held ones included */
    bool urgent;      /* a request waits that no other server can serve */
    uint32_t expired; /* granted permits that were not used */
} pm_ask;

/* A request or an order would be sent to the server if there were a permit, or
   is sent with one. want: pm_want. */
void pm_note_wanted(pm_permits *permits, uint32_t want, uint64_t now_us);
/* Adds permits that were granted. */
void pm_add(pm_permits *permits, uint32_t count, uint64_t now_us);
/* Uses up a permit, if there is one. */
void pm_take(pm_permits *permits, uint64_t now_us);
/* Fills the ask that is due. Returns false if none is. */
bool pm_take_ask(pm_permits *permits, uint64_t now_us, pm_ask *out);

/* queries */
bool pm_query_any(const pm_permits *permits, uint64_t now_us);
/* Returns the permits that were granted per second lately. */
double pm_query_per_s(const pm_permits *permits, uint64_t now_us);

#endif
